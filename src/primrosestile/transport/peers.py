"""Messages between the processes of a deployment over pyzmq.

Each process answers on one ROUTER socket and sends requests to each peer through a
DEALER socket of its own. A connection can stall permanently while new ones work,
because a device between the two ends has dropped its state: every request to one peer
then times out while the peer answers others. The first request that times out
therefore closes its socket, and the next request opens another.
"""

import asyncio
import itertools
from contextlib import suppress

import structlog
import zmq
import zmq.asyncio
from zmq.auth.asyncio import AsyncioAuthenticator

from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.messages import (
    Body,
    Envelope,
    Refused,
    decode_envelope,
    encode_envelope,
)
from primrosestile.protocol.peers import Handler
from primrosestile.state.decoding import Undecodable
from primrosestile.state.process import PeerKeys

# Messages; bounds the memory that is held for a peer that does not read.
SEND_LIMIT = 1000

_log = structlog.get_logger()


class _SharedKeyProvider:
    """Accepts only the key that all processes of a deployment share."""

    def __init__(self, keys: PeerKeys) -> None:
        self._public = keys.public.encode()

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether the authenticator should accept the key."""
        return key == self._public


def _set_up_curve(
    socket: zmq.asyncio.Socket, keys: PeerKeys | None, server: bool
) -> None:
    if keys is None:
        return
    socket.curve_secretkey = keys.secret.encode()
    socket.curve_publickey = keys.public.encode()
    if server:
        socket.curve_server = True
    else:
        socket.curve_serverkey = keys.public.encode()


class _Connection:
    """One DEALER socket to one peer, and its pending requests."""

    def __init__(
        self, context: zmq.asyncio.Context, peer: str, keys: PeerKeys | None
    ) -> None:
        self._socket = context.socket(zmq.DEALER)
        self._socket.linger = 0
        self._socket.sndhwm = SEND_LIMIT
        _set_up_curve(self._socket, keys, server=False)
        self._socket.connect(f"tcp://{peer}")
        self._pending: dict[str, asyncio.Future[Body]] = {}
        self._reader = asyncio.create_task(self._read(), name=f"peer {peer}")

    async def _read(self) -> None:
        while True:
            data = await self._socket.recv()
            try:
                envelope = decode_envelope(data)
            except Undecodable:
                continue
            # An answer whose request has timed out is dropped, so a late answer is
            # never taken as the answer to another request.
            future = self._pending.pop(envelope.request_id, None)
            if future is not None and not future.done():
                future.set_result(envelope.body)

    async def exchange(self, envelope: Envelope, timeout: float) -> Body:
        future = asyncio.get_running_loop().create_future()
        self._pending[envelope.request_id] = future
        try:
            async with asyncio.timeout(timeout):
                await self._socket.send(encode_envelope(envelope))
                return await future
        finally:
            self._pending.pop(envelope.request_id, None)

    def close(self) -> None:
        self._reader.cancel()
        self._socket.close()


class ZmqPeers:
    """Sends requests to peers and serves theirs; implements `protocol.peers.Peers`."""

    def __init__(self, name: str, address: str, keys: PeerKeys | None) -> None:
        self._name = name
        self._address = address
        self._keys = keys
        self._context = zmq.asyncio.Context()
        self._connections: dict[str, _Connection] = {}
        self._sequence = itertools.count(1)
        self._authenticator: AsyncioAuthenticator | None = None

    async def ask(self, peer: str, body: Body, timeout: float, epoch: int = 0) -> Body:
        """Send a request and return its answer; see `protocol.peers.Peers`."""
        sequence = next(self._sequence)
        request_id = f"{self._name}.{sequence}"
        envelope = Envelope(self._name, epoch, sequence, request_id, body)
        connection = self._connections.get(peer)
        if connection is None:
            connection = _Connection(self._context, peer, self._keys)
            self._connections[peer] = connection
        try:
            answer = await connection.exchange(envelope, timeout)
        except TimeoutError:
            self._drop(peer, connection)
            raise Failure(ErrorKind.NO_TARGET, f"peer {peer} is silent") from None
        if isinstance(answer, Refused):
            raise Failure(answer.kind, answer.detail)
        return answer

    def _drop(self, peer: str, connection: _Connection) -> None:
        if self._connections.get(peer) is connection:
            del self._connections[peer]
        connection.close()

    async def serve(self, handler: Handler) -> None:
        """Answer peers until cancelled, with one task for each message.

        Raises:
            zmq.ZMQError: When the address cannot be bound.
        """
        if self._keys is not None:
            self._authenticator = AsyncioAuthenticator(self._context)
            self._authenticator.start()
            self._authenticator.configure_curve_callback(
                credentials_provider=_SharedKeyProvider(self._keys)
            )
        socket = self._context.socket(zmq.ROUTER)
        socket.linger = 0
        socket.sndhwm = SEND_LIMIT
        _set_up_curve(socket, self._keys, server=True)
        socket.bind(f"tcp://{self._address}")
        try:
            async with asyncio.TaskGroup() as group:
                while True:
                    identity, data = await socket.recv_multipart()
                    group.create_task(self._answer(socket, identity, data, handler))
        finally:
            socket.close()

    async def _answer(
        self,
        socket: zmq.asyncio.Socket,
        identity: bytes,
        data: bytes,
        handler: Handler,
    ) -> None:
        try:
            envelope = decode_envelope(data)
        except Undecodable:
            _log.warning("peer_message_malformed", size=len(data))
            return
        body = await self._handle(envelope, handler)
        answer = Envelope(
            self._name, 0, next(self._sequence), envelope.request_id, body
        )
        with suppress(zmq.ZMQError):
            await socket.send_multipart([identity, encode_envelope(answer)])

    async def _handle(self, envelope: Envelope, handler: Handler) -> Body:
        try:
            return await handler(envelope)
        except Failure as failure:
            return Refused(failure.kind, failure.detail)
        except Exception:
            # A failing handler must not end the process, which serves every other
            # peer too. The error is logged with its traceback.
            _log.exception("peer_message_failed", sender=envelope.sender)
            return Refused(ErrorKind.INTERNAL, "the handler failed")

    def close(self) -> None:
        """Close every socket; waiting requests time out."""
        for connection in self._connections.values():
            connection.close()
        self._connections.clear()
        if self._authenticator is not None:
            self._authenticator.stop()
        self._context.destroy(linger=0)


def make_peers(name: str, address: str, keys: PeerKeys | None) -> ZmqPeers:
    """Return the peer connections of one process.

    Args:
        name: The process's name, the sender of every message.
        address: `ip:port` to listen on once `serve` runs.
        keys: CURVE keys, or None for unencrypted connections.
    """
    return ZmqPeers(name, address, keys)

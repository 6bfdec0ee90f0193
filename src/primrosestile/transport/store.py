"""The platform's store over the etcd v3 JSON gateway.

A read that fails is retried at the next address. A write is retried there only when
nothing was sent: if the first attempt had taken effect, the second would fail its
compare, and the caller would take its own write for another process's.
"""

from collections.abc import AsyncIterator, Callable, Sequence
from typing import Any, TypeVar

import aiohttp

from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.store import Change, Entry, Page, SwapResult
from primrosestile.state.decoding import Undecodable, decode_json
from primrosestile.transport import gateway
from primrosestile.transport.call_progress import AnswerLimits
from primrosestile.transport.connections import Connections, FailureKinds, Reply
from primrosestile.transport.watch import read_lines
from primrosestile.transport.wire import encode_json

CALL_TIMEOUT_SECONDS = 2.0
# Added for an answer that keeps arriving: the largest one, 16 MB, takes 26 s over
# 5 Mbit/s.
MAX_TRANSFER_SECONDS = 30.0
# The stand-in sends a progress notification each second, and a real store is
# configured to do so as well. Three missed ones mean that the stream is dead.
HEARTBEAT_BOUND_SECONDS = 3.5

_READ = FailureKinds(ErrorKind.STORE_UNAVAILABLE, ErrorKind.STORE_UNAVAILABLE)
_WRITE = FailureKinds(ErrorKind.STORE_UNAVAILABLE, ErrorKind.STORE_ANSWER_LOST)
T = TypeVar("T")


def make_store(
    addresses: Callable[[], Sequence[str]],
    timeout: float = CALL_TIMEOUT_SECONDS,
    heartbeat_bound: float = HEARTBEAT_BOUND_SECONDS,
) -> "GatewayStore":
    """Return the adapter to the store at some addresses.

    Args:
        addresses: Read before each call, so that changes apply at once.
        timeout: Seconds for each call; an answer to a read that has begun may take
            longer.
        heartbeat_bound: Seconds of silence after which a watch is closed.
    """
    return GatewayStore(addresses, timeout, heartbeat_bound)


class GatewayStore:
    """Implements `protocol.store.Store`."""

    def __init__(
        self,
        addresses: Callable[[], Sequence[str]],
        timeout: float,
        heartbeat_bound: float,
    ) -> None:
        self._addresses = addresses
        self._timeout = timeout
        self._read_limits = AnswerLimits(timeout, MAX_TRANSFER_SECONDS)
        self._heartbeat_bound = heartbeat_bound
        self._connections = Connections()
        self._preferred = 0

    async def get(self, key: str) -> Entry | None:
        """Return the value of a key, or None."""
        request = gateway.RangeRequest(key.encode())
        answer = await self._read(request)
        return gateway.read_entry(answer.kvs[0]) if answer.kvs else None

    async def list(self, prefix: str, after: str = "", limit: int = 500) -> Page:
        """Return entries under a prefix whose keys sort after `after`."""
        start = max(prefix, after + "\0") if after else prefix
        request = gateway.RangeRequest(
            start.encode() or b"\0",
            gateway.find_range_end(prefix.encode()),
            str(limit),
        )
        answer = await self._read(request)
        entries = tuple(gateway.read_entry(kv) for kv in answer.kvs)
        return Page(entries, int(answer.header.revision), answer.more)

    async def put(
        self, key: str, value: bytes, expected: int, lease: int = 0
    ) -> SwapResult:
        """Write if the key's mod revision is `expected`; 0 means absent.

        Raises:
            Failure: In addition to the store's kinds, TOO_LARGE for more than a
                megabyte and NOT_FOUND when the lease has expired; in both cases
                nothing was written.
        """
        if len(value) > gateway.VALUE_LIMIT_BYTES:
            raise Failure(ErrorKind.TOO_LARGE, f"{len(value)} bytes under {key}")
        put = gateway.PutRequest(key.encode(), value, str(lease))
        return await self._swap(key, expected, gateway.Operation(request_put=put))

    async def delete(self, key: str, expected: int) -> SwapResult:
        """Remove if the key's mod revision is `expected`."""
        if not expected:
            # A compare with "absent" would succeed and remove nothing.
            return SwapResult(False, 0, await self.get(key))
        removal = gateway.DeleteRequest(key.encode())
        operation = gateway.Operation(request_delete_range=removal)
        return await self._swap(key, expected, operation)

    async def grant_lease(self, seconds: int) -> int:
        """Return the id of a new lease that expires after `seconds`."""
        request = gateway.GrantRequest(str(seconds))
        answer = await self._write(gateway.GRANT_PATH, request, gateway.LeaseResponse)
        return int(answer.ID)

    async def keep_lease(self, lease: int) -> bool:
        """Renew; return False when the lease has already expired."""
        request = gateway.LeaseRequest(str(lease))
        answer = await self._write(
            gateway.KEEPALIVE_PATH, request, gateway.KeepaliveResponse
        )
        return int(answer.result.TTL) > 0

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and remove its keys; an expired lease is not an error."""
        request = gateway.LeaseRequest(str(lease))
        try:
            await self._write(gateway.REVOKE_PATH, request, gateway.LeaseResponse)
        except Failure as failure:
            if failure.kind is not ErrorKind.NOT_FOUND:
                raise

    async def watch(
        self, prefix: str, revision: int
    ) -> AsyncIterator[tuple[Change, ...]]:
        """Yield changes under a prefix, the one at `revision` included.

        Raises:
            Failure: STORE_UNAVAILABLE when the watch breaks or goes silent.
        """
        create = gateway.WatchCreate(
            prefix.encode() or b"\0",
            gateway.find_range_end(prefix.encode()),
            str(revision),
            progress_notify=True,
        )
        body = encode_json(gateway.WatchRequest(create))
        url = f"http://{self._order_addresses()[0]}{gateway.WATCH_PATH}"
        try:
            async for line in read_lines(url, body, self._heartbeat_bound):
                changes = read_changes(line)
                if changes:
                    yield changes
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            self._preferred += 1
            detail = f"the watch of {prefix} broke: {error or type(error).__name__}"
            raise Failure(ErrorKind.STORE_UNAVAILABLE, detail) from error

    async def close(self) -> None:
        """Close every connection."""
        await self._connections.close()

    async def _read(self, request: gateway.RangeRequest) -> gateway.RangeResponse:
        body = encode_json(request)
        last = Failure(ErrorKind.STORE_UNAVAILABLE, "no address is set")
        for address in self._order_addresses():
            try:
                reply = await self._connections.call(
                    address, gateway.RANGE_PATH, body, self._read_limits, _READ
                )
                return read_reply(reply, gateway.RangeResponse, _READ)
            except Failure as failure:
                self._preferred += 1
                last = failure
        raise last

    async def _write(self, path: str, request: Any, kind: type[T]) -> T:
        body = encode_json(request)
        last = Failure(ErrorKind.STORE_UNAVAILABLE, "no address is set")
        for address in self._order_addresses():
            try:
                reply = await self._connections.call(
                    address, path, body, self._timeout, _WRITE
                )
            except Failure as failure:
                self._preferred += 1
                if failure.kind is not ErrorKind.STORE_UNAVAILABLE:
                    raise
                last = failure
            else:
                return read_reply(reply, kind, _WRITE)
        raise last

    async def _swap(
        self, key: str, expected: int, operation: gateway.Operation
    ) -> SwapResult:
        read = gateway.Operation(request_range=gateway.RangeRequest(key.encode()))
        request = gateway.TxnRequest(
            (gateway.Compare(key.encode(), str(expected), "MOD"),),
            (operation,),
            (read,),
        )
        answer = await self._write(gateway.TXN_PATH, request, gateway.TxnResponse)
        revision = int(answer.header.revision)
        if answer.succeeded:
            return SwapResult(True, revision)
        return SwapResult(False, revision, find_current(answer))

    def _order_addresses(self) -> Sequence[str]:
        # The address that answered last comes first, so that one dead address does
        # not cost every call a timeout.
        addresses = tuple(self._addresses())
        if not addresses:
            raise Failure(ErrorKind.STORE_UNAVAILABLE, "no address is set")
        first = self._preferred % len(addresses)
        return addresses[first:] + addresses[:first]


def find_current(answer: gateway.TxnResponse) -> Entry | None:
    """Return the current entry after a failed compare-and-swap; None if absent."""
    for outcome in answer.responses:
        if outcome.response_range is not None and outcome.response_range.kvs:
            return gateway.read_entry(outcome.response_range.kvs[0])
    return None


def read_reply(reply: Reply, kind: type[T], kinds: FailureKinds) -> T:
    """Return the decoded body of a reply.

    Raises:
        Failure: TOO_LARGE or NOT_FOUND when the store refused for that reason,
            `kinds.unsent` for any other refusal, `kinds.lost` when the call may
            have taken effect.
    """
    try:
        if reply.status == 200:
            return decode_json(reply.body, kind)
        error = decode_json(reply.body, gateway.GatewayError)
    except Undecodable as fault:
        raise Failure(
            kinds.lost, f"the store's answer is unreadable: {fault}"
        ) from None
    if error.code == gateway.CODE_INVALID_ARGUMENT and "large" in error.message:
        raise Failure(ErrorKind.TOO_LARGE, error.message)
    if error.code == gateway.CODE_NOT_FOUND:
        raise Failure(ErrorKind.NOT_FOUND, error.message)
    refused = 400 <= reply.status < 500
    raise Failure(kinds.unsent if refused else kinds.lost, error.message)


def read_changes(line: bytes) -> tuple[Change, ...]:
    """Return the changes in one line of a watch; empty for a heartbeat.

    Raises:
        Failure: STORE_UNAVAILABLE when the store ended the watch.
    """
    try:
        result = decode_json(line, gateway.WatchResponse).result
    except Undecodable as fault:
        raise Failure(ErrorKind.STORE_UNAVAILABLE, f"unreadable: {fault}") from None
    if result is None or result.canceled:
        raise Failure(ErrorKind.STORE_UNAVAILABLE, "the store ended the watch")
    return tuple(read_change(event) for event in result.events)


def read_change(event: gateway.Event) -> Change:
    """Return the change in one event of a watch."""
    entry = gateway.read_entry(event.kv)
    removed = event.type == "DELETE"
    return Change(entry.key, entry.mod_revision, None if removed else entry)

"""A loopback proxy that delays, drops or resets traffic on request."""

import asyncio
import contextlib
from enum import Enum

CHUNK_BYTES = 65_536
# Small against the rate of a slow link, so that its connections share it evenly.
SLOW_CHUNK_BYTES = 4_096
DELAY_SECONDS = 0.25


class Mode(Enum):
    """What the proxy does with bytes, also on connections that are already open.

    `SILENT` keeps connections open and forwards nothing; `ONE_WAY` forwards what goes
    to the server and none of its answers; `CLOSED` resets connections.
    """

    GOOD = "good"
    SLOW = "slow"
    SILENT = "silent"
    ONE_WAY = "one way"
    CLOSED = "closed"


class Proxy:
    """Forwards connections to a port of 127.0.0.1.

    Attributes:
        rate: Bytes a second that the answers on all connections share; None for no
            limit.
    """

    def __init__(self, target: int) -> None:
        self.target = target
        self.rate: float | None = None
        self._link_free_at = 0.0
        self.port = 0
        self.mode = Mode.GOOD
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        self.reset()

    def set_mode(self, mode: Mode) -> None:
        self.mode = mode
        if mode is Mode.CLOSED:
            self.reset()

    def reset(self) -> None:
        """Reset every open connection."""
        for writer in list(self._open):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode is Mode.CLOSED:
            writer.transport.abort()
            return
        try:
            server_reader, server_writer = await asyncio.open_connection(
                "127.0.0.1", self.target
            )
        except OSError:
            writer.transport.abort()
            return
        self._open |= {writer, server_writer}
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._forward(reader, server_writer, Mode.SILENT))
                tasks.create_task(self._forward(server_reader, writer, Mode.ONE_WAY))
        finally:
            self._open -= {writer, server_writer}
            writer.transport.abort()
            server_writer.transport.abort()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, stop: Mode
    ) -> None:
        """Forward bytes until one side closes; bytes that are dropped stay lost."""
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(self._find_chunk(stop)):
                if writer.is_closing():
                    break
                if self.mode is Mode.SLOW:
                    await asyncio.sleep(DELAY_SECONDS)
                if self.rate is not None and stop is Mode.ONE_WAY:
                    await self._carry(len(data), self.rate)
                if self.mode in (Mode.SILENT, stop):
                    continue
                writer.write(data)
                await writer.drain()
        writer.transport.abort()

    def _find_chunk(self, stop: Mode) -> int:
        slow = self.rate is not None and stop is Mode.ONE_WAY
        return SLOW_CHUNK_BYTES if slow else CHUNK_BYTES

    async def _carry(self, size: int, rate: float) -> None:
        """Wait until the link has carried this many bytes."""
        now = asyncio.get_running_loop().time()
        self._link_free_at = max(now, self._link_free_at) + size / rate
        await asyncio.sleep(self._link_free_at - now)

"""HTTP connections to the platform, by address, that recover from silence.

A connection can go silent for good while new ones to the same address work,
because something between the two ends has lost track of it. Its neighbours in a
pool are then likely to be silent too, and each of them would cost one caller a
whole timeout. One would notice it as a target that keeps timing out although it
serves others. So after a timeout no idle connection of that address is used
again: the next call opens a new one. A caller that stops waiting after a second
without an answer is evidence as good as a timeout. And when two addresses fall
silent within seconds, whatever lost track of them has likely lost the others too,
so every connection from before is replaced at its next use.

Whether anything may have been sent decides between "not run" and "may have run".
It is taken as sent from the moment a call holds a connection.
"""

import asyncio
import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

import aiohttp
from yarl import URL

from primrosestile.clock import read_clock
from primrosestile.errors import ErrorKind, Failure

# A worker accepts about this many connections; more of them would be refused.
CONNECTIONS_PER_ADDRESS = 64
# Shorter than the time after which common servers close an idle connection, so
# that a call does not meet a connection that is just being closed.
IDLE_SECONDS = 10.0
# A connection on which nothing came for this long was not worth the wait of whoever
# gave it up; opening another costs a few milliseconds.
SILENT_SECONDS = 1.0
# Addresses that fall silent within this time of one another did so for one reason.
TOGETHER_SECONDS = 10.0
# No answer of the platform is larger; a foreign one must not fill the memory.
ANSWER_LIMIT_BYTES = 16_000_000


@dataclass(frozen=True, slots=True)
class FailureKinds:
    """What a failed call means to its caller.

    Attributes:
        unsent: Nothing reached the other end.
        lost: The call may have had its effect.
    """

    unsent: ErrorKind
    lost: ErrorKind


@dataclass(frozen=True, slots=True)
class Reply:
    """A whole answer: its length was stated and is what came."""

    status: int
    headers: Mapping[str, str]
    body: bytes


@dataclass(slots=True)
class _Progress:
    """Whether a call has held a connection yet."""

    sent: bool = False


@dataclass(slots=True)
class _Pool:
    """The connections of one address that are trusted, and who uses them."""

    session: aiohttp.ClientSession
    opened_at: float
    users: int = 0
    retired: bool = False


@dataclass(slots=True)
class _Address:
    """One address: its present pool and the bound over all its pools."""

    places: asyncio.Semaphore
    pool: _Pool | None = None
    urls: dict[str, URL] = field(default_factory=dict)


class _Silence:
    """Which connections are distrusted after silence at several addresses.

    One silent address may be one slow worker. Two within `TOGETHER_SECONDS` point
    to what lies between.
    """

    def __init__(self) -> None:
        self._latest: dict[str, float] = {}
        self._before = -math.inf

    def note(self, address: str, now: float) -> None:
        self._latest = {
            each: at
            for each, at in self._latest.items()
            if now - at <= TOGETHER_SECONDS
        }
        self._latest[address] = now
        if len(self._latest) >= 2 and now - self._before > TOGETHER_SECONDS:
            self._before = now

    def distrusts(self, opened_at: float) -> bool:
        return opened_at < self._before


class Connections:
    """Sends calls to many addresses with a deadline on each."""

    def __init__(self, limit: int = CONNECTIONS_PER_ADDRESS) -> None:
        self._limit = limit
        self._addresses: dict[str, _Address] = {}
        self._silence = _Silence()

    async def call(
        self,
        address: str,
        path: str,
        body: bytes,
        timeout: float,
        kinds: FailureKinds,
        headers: Mapping[str, str] | None = None,
        method: str = "POST",
    ) -> Reply:
        """Send one call and return its whole answer.

        Args:
            address: `ip:port`, with a path prefix when several share it.
            path: Appended to the address.
            body: Sent as it is.
            timeout: Seconds for everything, a wait for a connection included.
            kinds: What to raise.
            headers: Sent besides the usual ones.
            method: HTTP method.

        Raises:
            Failure: `kinds.unsent` when nothing was sent, `kinds.lost` when no
                whole answer came.
        """
        progress = _Progress()
        target = self._find(address)
        started = read_clock()
        try:
            async with asyncio.timeout(timeout), target.places:
                return await self._exchange(
                    target, address, path, body, headers, method, progress
                )
        except asyncio.CancelledError:
            if progress.sent and read_clock() - started >= SILENT_SECONDS:
                self._note_silence(address, target)
            raise
        except TimeoutError:
            self._note_silence(address, target)
            detail = f"{address}{path} did not answer within {timeout:g} s"
        except (aiohttp.ClientError, OSError) as error:
            detail = f"{address}{path}: {error or type(error).__name__}"
        kind = kinds.lost if progress.sent else kinds.unsent
        raise Failure(kind, detail)

    async def close(self) -> None:
        """Close every connection."""
        pools = [each.pool for each in self._addresses.values() if each.pool]
        self._addresses.clear()
        for pool in pools:
            await pool.session.close()

    async def _exchange(
        self,
        target: _Address,
        address: str,
        path: str,
        body: bytes,
        headers: Mapping[str, str] | None,
        method: str,
        progress: _Progress,
    ) -> Reply:
        pool = target.pool
        if pool is not None and self._silence.distrusts(pool.opened_at):
            self._retire(target)
            pool = None
        pool = pool or self._open(target)
        url = target.urls.get(path)
        if url is None:
            url = target.urls[path] = URL(f"http://{address}{path}")
        pool.users += 1
        try:
            async with pool.session.request(
                method,
                url,
                data=body,
                headers=headers,
                allow_redirects=False,
                trace_request_ctx=progress,
            ) as response:
                check_length(response)
                content = await response.read()
                return Reply(response.status, response.headers, content)
        finally:
            pool.users -= 1
            if pool.retired and not pool.users:
                await pool.session.close()

    def _find(self, address: str) -> _Address:
        # Several workers may share one `ip:port`; the bound is each worker's own.
        found = self._addresses.get(address)
        if found is None:
            found = _Address(asyncio.Semaphore(self._limit))
            self._addresses[address] = found
        return found

    def _open(self, target: _Address) -> _Pool:
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=IDLE_SECONDS)
        session = aiohttp.ClientSession(
            connector=connector,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=None),
            trace_configs=[_make_trace()],
            auto_decompress=False,
        )
        target.pool = _Pool(session, read_clock())
        return target.pool

    def _note_silence(self, address: str, target: _Address) -> None:
        self._retire(target)
        self._silence.note(address, read_clock())

    def _retire(self, target: _Address) -> None:
        pool = target.pool
        target.pool = None
        if pool is None:
            return
        pool.retired = True
        if not pool.users:
            close_later(pool.session)


def check_length(response: aiohttp.ClientResponse) -> None:
    """Refuse an answer that is too large to hold.

    Raises:
        aiohttp.ClientPayloadError: When the stated length is over the limit.
    """
    if (response.content_length or 0) > ANSWER_LIMIT_BYTES:
        raise aiohttp.ClientPayloadError("the answer is too large")


def close_later(session: aiohttp.ClientSession) -> None:
    """Close a session that nobody uses, outside the failed call's deadline."""
    task = asyncio.get_running_loop().create_task(session.close())
    _closing.add(task)
    task.add_done_callback(_closing.discard)


_closing: set[asyncio.Task[None]] = set()


def _make_trace() -> aiohttp.TraceConfig:
    async def mark_sent(session: Any, context: SimpleNamespace, _: Any) -> None:
        context.trace_request_ctx.sent = True

    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(mark_sent)
    trace.on_connection_reuseconn.append(mark_sent)
    trace.freeze()
    return trace

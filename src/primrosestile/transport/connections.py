"""HTTP connection pools by address that recover from half-open connections.

A connection can stall permanently while new ones to the same address work, because
a device between the two ends has dropped its state. The other connections of the
pool are then likely to be silent too, and each would cost one caller a whole timeout:
the target keeps timing out for us although it serves others. After a timeout no idle
connection of that address is used again; the next call opens a new one. A caller that
cancels after a second without an answer counts as a timeout. An answer that is still
arriving when its time is over shows a slow link, not a silent connection.

When two addresses go silent within seconds, the same device has likely dropped the
others too, so every connection from before is replaced at its next use.

Whether anything may have been sent decides between "not run" and "may have run". A
call counts as sent from the moment it holds a connection.
"""

import asyncio
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

import aiohttp
from yarl import URL

from primrosestile.clock import read_clock
from primrosestile.errors import ErrorKind, Failure
from primrosestile.transport.call_progress import AnswerLimits, CallProgress, do_nothing

# A worker accepts about this many connections and refuses more.
CONNECTIONS_PER_ADDRESS = 64
# Shorter than the idle timeout of common servers, so that a call does not use a
# connection that the server is just closing.
IDLE_SECONDS = 10.0
# A call that is cancelled after this long without an answer marks its connection as
# silent; opening another costs a few milliseconds.
SILENT_SECONDS = 1.0
# Addresses that go silent within this time of one another have one common cause.
CORRELATED_SECONDS = 10.0
# An answer that states a larger length is rejected; none of the platform's is larger.
ANSWER_LIMIT_BYTES = 16_000_000


@dataclass(frozen=True, slots=True)
class FailureKinds:
    """The error kinds that a failed call raises.

    Attributes:
        unsent: For a call of which nothing was sent.
        lost: For a call that may have taken effect.
    """

    unsent: ErrorKind
    lost: ErrorKind


@dataclass(frozen=True, slots=True)
class Reply:
    """An answer.

    Attributes:
        omitted: Whether the body was larger than the call's limit, and is left out.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    omitted: bool = False


@dataclass(slots=True)
class _Pool:
    """The connections in use for one address, and the number of calls on them."""

    session: aiohttp.ClientSession
    opened_at: float
    users: int = 0
    retired: bool = False


@dataclass(slots=True)
class _Address:
    """One address: its current pool and the connection limit over all its pools."""

    slots: asyncio.Semaphore
    pool: _Pool | None = None
    urls: dict[str, URL] = field(default_factory=dict)


class _SilenceDetector:
    """Detects silence at several addresses and invalidates older connections.

    One silent address may be one slow worker. Two within `CORRELATED_SECONDS` point
    to a device on the network path.
    """

    def __init__(self) -> None:
        self._latest: dict[str, float] = {}
        self._invalid_before = -math.inf

    def record(self, address: str, now: float) -> None:
        self._latest = {
            each: at
            for each, at in self._latest.items()
            if now - at <= CORRELATED_SECONDS
        }
        self._latest[address] = now
        if len(self._latest) >= 2 and now - self._invalid_before > CORRELATED_SECONDS:
            self._invalid_before = now

    def invalidates(self, opened_at: float) -> bool:
        return opened_at < self._invalid_before


class Connections:
    """Sends calls to many addresses with a deadline on each."""

    def __init__(self, limit: int = CONNECTIONS_PER_ADDRESS) -> None:
        self._limit = limit
        self._addresses: dict[str, _Address] = {}
        self._silence_detector = _SilenceDetector()

    async def call(
        self,
        address: str,
        path: str,
        body: bytes,
        timeout: float | AnswerLimits,
        kinds: FailureKinds,
        headers: Mapping[str, str] | None = None,
        method: str = "POST",
        on_answer: Callable[[], None] = do_nothing,
    ) -> Reply:
        """Send one call and return its complete answer.

        Args:
            address: `ip:port`, with a path prefix when several share it.
            path: Appended to the address.
            body: Sent as it is.
            timeout: Seconds for the whole call, including the wait for a connection;
                or limits that leave a large answer time to arrive.
            kinds: The error kinds to raise.
            headers: Sent in addition to the default ones.
            method: HTTP method.
            on_answer: Called when the answer begins.

        Raises:
            Failure: `kinds.unsent` when nothing was sent, `kinds.lost` when no
                complete answer came.
        """
        limits = timeout if isinstance(timeout, AnswerLimits) else AnswerLimits(timeout)
        progress = CallProgress(limits, on_answer)
        silent = False
        target = self._find(address)
        started = read_clock()
        try:
            async with progress.timeout, target.slots:
                return await self._exchange(
                    target, address, path, body, headers, method, progress
                )
        except asyncio.CancelledError:
            if progress.sent and progress.silent_seconds >= SILENT_SECONDS:
                self._note_silence(address, target)
            raise
        except TimeoutError:
            silent = not progress.slow
            if silent:
                self._note_silence(address, target)
            seconds = read_clock() - started
            detail = f"{address}{path} {progress.describe()} within {seconds:.2g} s"
        except (aiohttp.ClientError, OSError) as error:
            detail = f"{address}{path}: {error or type(error).__name__}"
        kind = kinds.lost if progress.sent else kinds.unsent
        raise Failure(kind, detail, silent=silent)

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
        progress: CallProgress,
    ) -> Reply:
        pool = target.pool
        if pool is not None and self._silence_detector.invalidates(pool.opened_at):
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
                content = await progress.read_body(response)
                return Reply(
                    response.status,
                    response.headers,
                    content or b"",
                    omitted=content is None,
                )
        finally:
            pool.users -= 1
            if pool.retired and not pool.users:
                await pool.session.close()

    def _find(self, address: str) -> _Address:
        # Several workers may share one `ip:port`; the limit applies to each worker.
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
        self._silence_detector.record(address, read_clock())

    def _retire(self, target: _Address) -> None:
        pool = target.pool
        target.pool = None
        if pool is None:
            return
        pool.retired = True
        if not pool.users:
            close_later(pool.session)


def check_length(response: aiohttp.ClientResponse) -> None:
    """Reject an answer whose stated length is too large to hold in memory.

    Raises:
        aiohttp.ClientPayloadError: When the stated length is over the limit.
    """
    if (response.content_length or 0) > ANSWER_LIMIT_BYTES:
        raise aiohttp.ClientPayloadError("the answer is too large")


def close_later(session: aiohttp.ClientSession) -> None:
    """Close an unused session in the background, outside the failed call's deadline."""
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

"""The network between one process and the platform's workers and store.

Each process has its own links. A call runs outside of its caller: a caller that is
suspended or killed does not undo what it has sent, and reads its answer late.
"""

import asyncio
import contextvars
import math
from collections import deque
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, TypeVar

from features.doubles.network import run_outside

from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.fleet import (
    OrderAnswer,
    PollAnswer,
    Refusal,
    Restarted,
    StartOrder,
    WorkerCalls,
)
from primrosestile.protocol.store import Entry, Page
from primrosestile.protocol.transactions import (
    CommitResult,
    Condition,
    TransactionalStore,
    WatchBatch,
    Write,
)
from primrosestile.state.workers import WorkerEntry
from primrosestile.transport.call_progress import do_nothing

ORDER_TIMEOUT_SECONDS = 0.45
POLL_SLACK_SECONDS = 0.6
# Delay of a slow call, within the caller's timeout.
SLOW_SECONDS = 0.3
T = TypeVar("T")


class Way(Enum):
    """The outcome of one call to a worker.

    Only an unanswered call may be executed later: a refused one stays refused.
    """

    DONE = "done"
    NEVER_SENT = "never sent"
    LOST_BEFORE = "lost before its effect"
    LOST_AFTER = "carried out unheard"
    LATE = "carried out after its caller gave up"
    TWICE = "carried out unheard, then again late"
    SLOW_THERE = "carried out a little later, answered in time"
    SLOW_BACK = "carried out at once, answered a little later"


@dataclass(slots=True)
class WorkLink:
    """One process's link to the workers.

    Attributes:
        order_ways: The outcomes of its next orders; done when empty.
        look_ways: The outcomes of its next polls; done when empty.
        late_seconds: Delay after which a late call is executed.
        cut: Addresses that its calls don't reach.
        deaf: Addresses whose answers are lost.
    """

    order_ways: deque[Way] = field(default_factory=deque)
    look_ways: deque[Way] = field(default_factory=deque)
    late_seconds: float = 2.0
    cut: set[str] = field(default_factory=set)
    deaf: set[str] = field(default_factory=set)

    def heal(self) -> None:
        """End all faults of the link."""
        self.order_ways.clear()
        self.look_ways.clear()
        self.cut.clear()
        self.deaf.clear()


class LinkedCalls:
    """Implements `protocol.fleet.WorkerCalls` over one process's link."""

    def __init__(self, calls: WorkerCalls, link: WorkLink) -> None:
        self._calls = calls
        self._link = link

    async def poll(
        self,
        entry: WorkerEntry,
        fence: int,
        seen: int,
        until: float | None,
        wait: float,
    ) -> PollAnswer | Refusal | Restarted:
        """Poll a worker."""
        return await self._pass(
            entry,
            self._link.look_ways,
            lambda: self._calls.poll(entry, fence, seen, until, wait),
            wait + POLL_SLACK_SECONDS,
        )

    async def start(
        self, entry: WorkerEntry, fence: int, order: StartOrder
    ) -> OrderAnswer:
        """Start one run."""
        return await self._order(entry, lambda: self._calls.start(entry, fence, order))

    def find_transfer_seconds(self, payload: str) -> float:
        """Return how long the link of this VM needs for a start with a payload."""
        return self._calls.find_transfer_seconds(payload)

    async def stop(
        self, entry: WorkerEntry, fence: int, task: str, run: int
    ) -> OrderAnswer:
        """Stop a run."""
        return await self._order(
            entry, lambda: self._calls.stop(entry, fence, task, run)
        )

    async def pace(
        self, entry: WorkerEntry, fence: int, task: str, run: int, percent: int
    ) -> OrderAnswer:
        """Limit a run's speed to a share of its full speed."""
        return await self._order(
            entry, lambda: self._calls.pace(entry, fence, task, run, percent)
        )

    async def _order(
        self, entry: WorkerEntry, call: Callable[[], Awaitable[OrderAnswer]]
    ) -> OrderAnswer:
        ways = self._link.order_ways
        return await self._pass(entry, ways, call, ORDER_TIMEOUT_SECONDS)

    async def _pass(
        self,
        entry: WorkerEntry,
        ways: deque[Way],
        call: Callable[[], Awaitable[T]],
        timeout: float,
    ) -> T:
        way = ways.popleft() if ways else Way.DONE
        if way is Way.NEVER_SENT:
            raise Failure(ErrorKind.NO_TARGET, "the connection was refused")
        if entry.address in self._link.cut:
            way = Way.LOST_BEFORE
        elif entry.address in self._link.deaf and way is not Way.LATE:
            way = Way.LOST_AFTER
        if way in (Way.LATE, Way.TWICE):
            execute_later(call, self._link.late_seconds)
        if way in (Way.LATE, Way.LOST_BEFORE):
            await asyncio.sleep(timeout)
            raise Failure(ErrorKind.WORKER_UNREACHABLE, "no answer came")
        if way is Way.SLOW_THERE:
            await asyncio.sleep(SLOW_SECONDS)
        answer = await _wait_outside(call, timeout)
        if way in (Way.LOST_AFTER, Way.TWICE):
            raise Failure(ErrorKind.WORKER_UNREACHABLE, "no answer came")
        if way is Way.SLOW_BACK:
            await asyncio.sleep(SLOW_SECONDS)
        return answer


async def _wait_outside(call: Callable[[], Awaitable[T]], timeout: float) -> T:
    try:
        async with asyncio.timeout(timeout):
            return await run_outside(call)
    except TimeoutError:
        raise Failure(ErrorKind.WORKER_UNREACHABLE, "no answer came") from None


def execute_later(call: Callable[[], Awaitable[Any]], seconds: float) -> None:
    """Execute a call on the platform's side after a delay; its answer is dropped."""

    async def execute() -> None:
        await asyncio.sleep(seconds)
        try:
            await call()
        except Failure:
            return

    loop = asyncio.get_running_loop()
    _late.add(task := loop.create_task(execute(), context=contextvars.Context()))
    task.add_done_callback(_late.discard)


# The event loop holds only weak references to its tasks.
_late: set["asyncio.Task[None]"] = set()


class LinkedStore:
    """Implements `protocol.transactions.TransactionalStore` for one process."""

    def __init__(self, store: TransactionalStore) -> None:
        self._store = store

    async def get(
        self,
        key: str,
        recent: bool = True,
        on_part: Callable[[], None] = do_nothing,
    ) -> Entry | None:
        """Return the present value of a key, or None."""
        return await run_outside(lambda: self._store.get(key, recent, on_part))

    async def check(
        self, condition: Condition, on_part: Callable[[], None] = do_nothing
    ) -> CommitResult:
        """Return whether a condition holds; if not, the entry under its key."""
        return await run_outside(lambda: self._store.check(condition, on_part))

    async def list(self, prefix: str, after: str = "") -> Page:
        """Return one page of the entries under a prefix."""
        return await run_outside(lambda: self._store.list(prefix, after))

    async def commit(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write] = (),
        removals: Sequence[str] = (),
        found_bytes: float = math.inf,
    ) -> CommitResult:
        """Apply a transaction if all of its conditions hold."""
        return await run_outside(
            lambda: self._store.commit(conditions, writes, removals, found_bytes)
        )

    async def grant_lease(self, seconds: float) -> int:
        """Return a new lease."""
        return await run_outside(lambda: self._store.grant_lease(seconds))

    async def keep_lease(self, lease: int) -> bool:
        """Renew a lease; return False when it has ended."""
        return await run_outside(lambda: self._store.keep_lease(lease))

    async def watch_once(self, prefix: str, after: int, seconds: float) -> WatchBatch:
        """Return the changes after a revision, as soon as there is one."""
        return await run_outside(lambda: self._store.watch_once(prefix, after, seconds))

"""The connections between one process and the platform, with their faults.

Each process has its own links, so that one process can be cut off from a worker that
another one reaches. A call runs in its own task: stopping or killing the caller does
not undo what it has sent, and a paused caller reads the answer late.
"""

import asyncio
import contextvars
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, TypeVar

from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.store import Change, Entry, Page, Store, SwapResult
from primrosestile.protocol.workers import (
    RequestAnswer,
    RequestOrder,
    Targets,
    TaskOrder,
    WorkerReport,
    Workers,
)

STORE_TIMEOUT_SECONDS = 2.0
CONTROL_TIMEOUT_SECONDS = 1.0
# A broken connection to a target is detected at once, not at the deadline.
CUT_SECONDS = 0.1
T = TypeVar("T")


class Fate(Enum):
    """The outcome of one call."""

    DONE = "done"
    NEVER_SENT = "never sent"
    LOST_BEFORE = "lost before its effect"
    LOST_AFTER = "lost after its effect"
    LATE = "takes effect after its caller gave up"
    TWICE = "takes effect twice"


@dataclass(slots=True)
class Link:
    """One process's connection to the platform.

    Attributes:
        fates: Outcomes of its next calls; DONE when there are none.
        cut: Whether the store is unreachable.
        cut_workers: Workers that are unreachable.
        late_seconds: How long after the timeout a late call takes effect.
    """

    fates: deque[Fate] = field(default_factory=deque)
    cut: bool = False
    cut_workers: set[str] = field(default_factory=set)
    late_seconds: float = 0.5

    def take_fate(self) -> Fate:
        return self.fates.popleft() if self.fates else Fate.DONE


async def run_outside(work: Callable[[], Awaitable[T]]) -> T:
    """Run in a task that continues even if the caller ends."""
    loop = asyncio.get_running_loop()

    async def call() -> T:
        return await work()

    task = loop.create_task(call(), context=contextvars.Context())
    task.add_done_callback(_retrieve_failure)
    return await asyncio.shield(task)


def _retrieve_failure(task: "asyncio.Task[Any]") -> None:
    if not task.cancelled():
        task.exception()


async def pass_link(
    fate: Fate,
    work: Callable[[], Awaitable[T]],
    timeout: float,
    late_seconds: float,
    lost: ErrorKind,
    unsent: ErrorKind,
) -> T:
    """Make one call with a given outcome.

    Raises:
        Failure: `lost` when the answer was lost, `unsent` when it was not sent.
    """
    if fate is Fate.NEVER_SENT:
        raise Failure(unsent, "the connection was refused")
    if fate is Fate.LATE:

        async def run_late() -> None:
            await asyncio.sleep(timeout + late_seconds)
            await work()

        loop = asyncio.get_running_loop()
        late = loop.create_task(run_late(), context=contextvars.Context())
        late.add_done_callback(_retrieve_failure)
    if fate in (Fate.LATE, Fate.LOST_BEFORE):
        await asyncio.sleep(timeout)
        raise Failure(lost, "no answer came")
    answer = await run_outside(work)
    if fate is Fate.LOST_AFTER:
        await asyncio.sleep(timeout)
        raise Failure(lost, "no answer came")
    if fate is Fate.TWICE:
        # The second call fails or repeats the first; its answer is not read.
        await _run_again(work)
    return answer


async def _run_again(work: Callable[[], Awaitable[Any]]) -> None:
    try:
        await run_outside(work)
    except Failure:
        return


class FaultyStore:
    """Implements `protocol.store.Store` over one process's link."""

    def __init__(self, core: Store, link: Link) -> None:
        self._core = core
        self._link = link

    async def get(self, key: str) -> Entry | None:
        return await self._read(lambda: self._core.get(key))

    async def list(self, prefix: str, after: str = "", limit: int = 500) -> Page:
        return await self._read(lambda: self._core.list(prefix, after, limit))

    async def put(
        self, key: str, value: bytes, expected: int, lease: int = 0
    ) -> SwapResult:
        return await self._write(lambda: self._core.put(key, value, expected, lease))

    async def delete(self, key: str, expected: int) -> SwapResult:
        return await self._write(lambda: self._core.delete(key, expected))

    async def grant_lease(self, seconds: int) -> int:
        return await self._write(lambda: self._core.grant_lease(seconds))

    async def keep_lease(self, lease: int) -> bool:
        return await self._write(lambda: self._core.keep_lease(lease))

    async def revoke_lease(self, lease: int) -> None:
        await self._write(lambda: self._core.revoke_lease(lease))

    async def watch(
        self, prefix: str, revision: int
    ) -> AsyncIterator[tuple[Change, ...]]:
        self._check()
        async for changes in self._core.watch(prefix, revision):
            self._check()
            yield changes

    def _check(self) -> None:
        if self._link.cut:
            raise Failure(ErrorKind.STORE_UNAVAILABLE, "the store is out of reach")

    async def _read(self, work: Callable[[], Awaitable[T]]) -> T:
        self._check()
        return await run_outside(work)

    async def _write(self, work: Callable[[], Awaitable[T]]) -> T:
        self._check()
        return await pass_link(
            self._link.take_fate(),
            work,
            STORE_TIMEOUT_SECONDS,
            self._link.late_seconds,
            ErrorKind.STORE_ANSWER_LOST,
            ErrorKind.STORE_UNAVAILABLE,
        )


class FaultyWorkers:
    """Implements `protocol.workers.Workers` over one process's link."""

    def __init__(self, core: Workers, link: Link) -> None:
        self._core = core
        self._link = link

    async def report(self, worker: str, cell: str, epoch: int) -> WorkerReport:
        return await self._call(worker, lambda: self._core.report(worker, cell, epoch))

    async def reserve(
        self, worker: str, cell: str, epoch: int, order: TaskOrder
    ) -> None:
        await self._call(worker, lambda: self._core.reserve(worker, cell, epoch, order))

    async def prepare(
        self, worker: str, cell: str, epoch: int, order: TaskOrder
    ) -> None:
        await self._call(worker, lambda: self._core.prepare(worker, cell, epoch, order))

    async def go(self, worker: str, cell: str, epoch: int, task_id: str) -> None:
        await self._call(worker, lambda: self._core.go(worker, cell, epoch, task_id))

    async def renew(
        self,
        worker: str,
        cell: str,
        epoch: int,
        task_ids: Sequence[str],
        lease_seconds: float,
    ) -> WorkerReport:
        return await self._call(
            worker,
            lambda: self._core.renew(worker, cell, epoch, task_ids, lease_seconds),
        )

    async def checkpoint(
        self, worker: str, cell: str, epoch: int, task_id: str
    ) -> float:
        return await self._call(
            worker, lambda: self._core.checkpoint(worker, cell, epoch, task_id)
        )

    async def throttle(
        self, worker: str, cell: str, epoch: int, task_id: str, share: float
    ) -> None:
        await self._call(
            worker, lambda: self._core.throttle(worker, cell, epoch, task_id, share)
        )

    async def stop(self, worker: str, cell: str, epoch: int, task_id: str) -> None:
        await self._call(worker, lambda: self._core.stop(worker, cell, epoch, task_id))

    async def _call(self, worker: str, work: Callable[[], Awaitable[T]]) -> T:
        fate = self._link.take_fate()
        if worker in self._link.cut_workers:
            fate = Fate.LOST_BEFORE
        return await pass_link(
            fate,
            work,
            CONTROL_TIMEOUT_SECONDS,
            self._link.late_seconds,
            ErrorKind.WORKER_UNREACHABLE,
            ErrorKind.WORKER_UNREACHABLE,
        )


@dataclass(frozen=True, slots=True)
class Reached:
    """One request that reached a target, and the caller's call that it belongs to."""

    call: object
    target: str
    request_id: str
    time: float


current_call: contextvars.ContextVar[object] = contextvars.ContextVar(
    "call", default=None
)


class FaultyTargets:
    """Implements `protocol.workers.Targets` over one process's link."""

    def __init__(self, core: Targets, link: Link, reached: list[Reached]) -> None:
        self._core = core
        self._link = link
        self._reached = reached

    async def send(
        self, target: str, order: RequestOrder, timeout: float
    ) -> RequestAnswer:
        call = current_call.get()

        async def work() -> RequestAnswer:
            now = asyncio.get_running_loop().time()
            self._reached.append(Reached(call, target, order.request_id, now))
            return await self._core.send(target, order, timeout)

        fate = self._link.take_fate()
        if target in self._link.cut_workers:
            fate = Fate.NEVER_SENT
        # A connection delivers a request once; only its answer can be lost.
        if fate is Fate.TWICE:
            fate = Fate.DONE
        return await pass_link(
            fate,
            work,
            min(timeout, CUT_SECONDS),
            self._link.late_seconds,
            ErrorKind.OUTCOME_UNKNOWN,
            ErrorKind.NO_TARGET,
        )

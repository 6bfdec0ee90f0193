"""Extends the leases of all workers while a new owner still loads its state.

Loading may take longer than a worker's lease. Without extensions a change of owner
would then lose hours of work: runs would end as lapsed a few seconds after
`ownership_gained`. An extension needs no knowledge of what runs under the lease; no
other order is given meanwhile.
"""

import asyncio
import math

import structlog

from primrosestile.clock import read_clock
from primrosestile.coordination.work.lease_bounds import LeaseBounds
from primrosestile.coordination.work.term import Term
from primrosestile.coordination.work.worker_clock import ClockReading, WorkerClock
from primrosestile.errors import Failure
from primrosestile.protocol.fleet import PollAnswer, Refusal, WorkerCalls, WorkerList
from primrosestile.state.workers import WorkerEntry

# Most owners have loaded by then. The former owner extended the leases to 7 s at most
# 2.5 s before this one began, so they have not run out.
START_DELAY_SECONDS = 1.5
# Two attempts fit into what is left of a lease.
EXTEND_INTERVAL_SECONDS = 1.5
# A worker's clock is trusted once this many readings agree.
CLOCK_READINGS = 2

_log = structlog.get_logger()


class LeaseExtender:
    """Extends the leases of all listed workers."""

    def __init__(
        self,
        calls: WorkerCalls,
        workers: WorkerList,
        term: Term,
        max_lease_seconds: float,
        bounds: LeaseBounds,
    ) -> None:
        self._calls = calls
        self._bounds = bounds
        self._workers = workers
        self._term = term
        self._max_lease_seconds = max_lease_seconds
        self._clocks: dict[str, WorkerClock] = {}
        self._entries: tuple[WorkerEntry, ...] = ()

    async def run(self) -> None:
        """Extend leases until cancelled."""
        await asyncio.sleep(START_DELAY_SECONDS)
        while self._term.may_extend_leases():
            try:
                self._entries = (await self._workers.list_workers()).entries
            except Failure as failure:
                _log.info("workers_not_listed", reason=str(failure))
            async with asyncio.TaskGroup() as tasks:
                for entry in self._entries:
                    if self._bounds.may_extend(entry.worker):
                        tasks.create_task(self._extend_lease(entry))
            await asyncio.sleep(EXTEND_INTERVAL_SECONDS)

    def find_lease_bound(self, worker: str, now: float) -> float:
        """Return the seconds after which a lease extended here has run out.

        Returns:
            Minus infinity if it was not extended here.
        """
        clock = self._clocks.get(worker)
        if clock is None or not clock.known:
            return -math.inf
        return clock.find_lease_bound(now)

    async def _extend_lease(self, entry: WorkerEntry) -> None:
        """Extend one lease; its end is given by the worker's clock, read first."""
        name = entry.worker
        clock = self._clocks.setdefault(
            name, WorkerClock(name, self._max_lease_seconds)
        )
        for _ in range(CLOCK_READINGS):
            if not clock.known:
                await self._poll(entry, clock, None)
        if clock.known:
            await self._poll(entry, clock, clock.extend(read_clock()))

    async def _poll(
        self, entry: WorkerEntry, clock: WorkerClock, until: float | None
    ) -> None:
        sent_at = read_clock()
        try:
            answer = await self._calls.poll(entry, self._term.fence, 0, until, 0.0)
        except Failure:
            return
        if answer is Refusal.FENCE:
            self._term.lost.set()
        elif isinstance(answer, PollAnswer):
            clock.note(ClockReading(answer.clock, sent_at, read_clock()))

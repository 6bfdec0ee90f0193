"""Keeps what runs alive while a new owner can't read yet what there is.

An owner that reads for longer than leases of workers last would find nothing running
any more: work of hours would be lost by a change of owner, and one would notice by
runs that end as lapsed a few seconds after `ownership_gained`. Extending a lease needs
no knowledge of what runs under it, so that is done meanwhile, and nothing else.
"""

import asyncio

import structlog

from primrosestile.clock import read_clock
from primrosestile.coordination.work.links import CARE_SECONDS
from primrosestile.coordination.work.term import Term
from primrosestile.coordination.work.workerclock import Reading, WorkerClock
from primrosestile.errors import Failure
from primrosestile.protocol.fleet import Refusal, WorkerCalls, WorkerList
from primrosestile.state.workers import WorkerEntry

# Most owners have read all by then. A former owner extended the leases to 7 s until
# 2.5 s before at the most, so there is time for it.
BEGIN_SECONDS = 1.5
# Twice within what is left of a lease.
AGAIN_SECONDS = 1.5
# As many times as it takes to believe one.
CLOCK_LOOKS = 2

_log = structlog.get_logger()


class Caretaker:
    """Extends the leases of all listed workers."""

    def __init__(
        self,
        calls: WorkerCalls,
        workers: WorkerList,
        term: Term,
        lease_longest: float,
    ) -> None:
        self._calls = calls
        self._workers = workers
        self._term = term
        self._lease_longest = lease_longest
        self._clocks: dict[str, WorkerClock] = {}
        self._entries: tuple[WorkerEntry, ...] = ()

    async def run(self) -> None:
        """Extend leases until cancelled."""
        await asyncio.sleep(BEGIN_SECONDS)
        while self._term.may_care(CARE_SECONDS):
            try:
                self._entries = (await self._workers.list_workers()).entries
            except Failure as failure:
                _log.info("workers_not_listed", reason=str(failure))
            async with asyncio.TaskGroup() as tasks:
                for entry in self._entries:
                    tasks.create_task(self._care(entry))
            await asyncio.sleep(AGAIN_SECONDS)

    async def _care(self, entry: WorkerEntry) -> None:
        """Read the worker's clock first; its lease is given in it."""
        name = entry.worker
        clock = self._clocks.setdefault(name, WorkerClock(name, self._lease_longest))
        for _ in range(CLOCK_LOOKS):
            if not clock.known:
                await self._look(entry, clock, None)
        if clock.known:
            await self._look(entry, clock, clock.extend(read_clock()))

    async def _look(
        self, entry: WorkerEntry, clock: WorkerClock, until: float | None
    ) -> None:
        sent_at = read_clock()
        try:
            answer = await self._calls.look(entry, self._term.fence, 0, until, 0.0)
        except Failure:
            return
        if answer is Refusal.FENCE:
            self._term.lost.set()
        elif not isinstance(answer, Refusal):
            clock.note(Reading(answer.clock, sent_at, read_clock()))

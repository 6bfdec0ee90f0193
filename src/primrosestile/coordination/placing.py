"""Carries out the placement decisions of one owned cell.

Each pass asks the decisions, in their order, what to do with each waiting job,
takes the accelerators in the view at once, and starts a task for what takes time.
So two decisions of one pass never give the same accelerators away twice.
"""

import asyncio
from typing import Protocol

import structlog

from primrosestile.clock import read_clock, read_wall_clock
from primrosestile.coordination.actions import JobActions, make_reason
from primrosestile.coordination.celldata import CellData, make_demand, make_holding
from primrosestile.coordination.shifting import (
    find_destination,
    finish_move,
    move_job,
)
from primrosestile.decisions.backfill import order_demands
from primrosestile.decisions.cell import Demand
from primrosestile.decisions.cellchoice import CellPicture
from primrosestile.decisions.placement import (
    NeverFits,
    Placed,
    Reclaim,
    Waits,
    decide_placement,
)
from primrosestile.protocol.store import Store
from primrosestile.state.jobs import JobRecord, JobState, ReasonCode
from primrosestile.state.tenancy import Shape

# A pass without an event: bounds the harm of a wake-up that was missed.
RECHECK_SECONDS = 1.0
# Decisions of one pass. At the larger cells a decision takes up to 2 ms, so a
# pass blocks the loop, and the renewals on it, for at most half a second.
PASS_LIMIT = 256
# Moves begun in one pass: three writes each, so that a full cell's queue does not
# take the store's several hundred writes a second for itself.
SHIFTS_PER_PASS = 16


class Elsewhere(Protocol):
    """What is known of the other cells."""

    def list_pictures(self, organisation: str, shape: Shape) -> list[CellPicture]:
        """Return the cells that could ever hold a shape, this one included."""
        ...

    def note_handed(self, cell: str, accelerators: int) -> None:
        """Note a job that was moved to a cell."""
        ...


_log = structlog.get_logger()


class Placing:
    """Places, reclaims and explains the waiting jobs of one cell."""

    def __init__(
        self,
        data: CellData,
        actions: JobActions,
        store: Store,
        elsewhere: Elsewhere,
    ) -> None:
        self._data = data
        self._actions = actions
        self._store = store
        self._elsewhere = elsewhere
        self._woken = asyncio.Event()
        self._closed = False
        self._shifts_left = SHIFTS_PER_PASS

    def close(self) -> None:
        """Decide nothing more; the cell is about to be handed on."""
        self._closed = True

    def wake(self) -> None:
        """Decide again: a job came, or room did."""
        self._woken.set()

    async def run(self) -> None:
        """Decide until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                self._woken.clear()
                if self._data.command.may_act() and not self._closed:
                    self._run_pass(group)
                try:
                    async with asyncio.timeout(RECHECK_SECONDS):
                        await self._woken.wait()
                except TimeoutError:
                    continue

    async def wait_until_idle(self) -> None:
        """Wait until no action on any job is under way."""
        while self._data.busy:
            # The end of each action wakes this module.
            self._woken.clear()
            await self._woken.wait()

    def list_waiting(self) -> list[JobRecord]:
        """Return the jobs that wait for a place."""
        return self._data.book.list_in(JobState.ACCEPTED)

    def _run_pass(self, group: asyncio.TaskGroup) -> None:
        data = self._data
        waiting = {
            record.spec.job_id: record
            for record in self.list_waiting()
            if record.spec.job_id not in data.busy
        }
        self._cancel_asked(group)
        self._finish_moves(group)
        self._empty_leaving(group)
        self._shifts_left = SHIFTS_PER_PASS
        waiting = {
            job_id: record
            for job_id, record in waiting.items()
            if not record.cancel_requested
        }
        demands = [
            make_demand(record)
            for job_id, record in waiting.items()
            if data.may_try(job_id)
        ]
        now = read_wall_clock()
        policy = data.read_policy()
        ordered = order_demands(demands, data.view, policy, data.run_times, now)
        for demand in ordered[:PASS_LIMIT]:
            self._decide(group, waiting[demand.job_id], demand, now)

    def _cancel_asked(self, group: asyncio.TaskGroup) -> None:
        """Carry out cancellations; a wave of them is one pass over the book."""
        book = self._data.book
        for record in book.list_in(JobState.ACCEPTED) + book.list_in(JobState.STARTED):
            if record.cancel_requested and record.spec.job_id not in self._data.busy:
                self._actions.spawn(group, record, self._actions.cancel(record))

    def _decide(
        self, group: asyncio.TaskGroup, record: JobRecord, demand: Demand, now: float
    ) -> None:
        data = self._data
        if data.is_over_quota(demand):
            data.waiting_reasons[demand.job_id] = make_reason(
                ReasonCode.WAITS_FOR_QUOTA, f"of team {demand.team}"
            )
            return
        data.refresh_usable(demand.evictable)
        decision = decide_placement(data.view, demand, data.read_policy(), now)
        data.refresh_usable()
        match decision:
            case Placed():
                self._start(group, record, decision)
            case Reclaim():
                self._reclaim(group, record, decision)
            case Waits():
                reason = make_reason(decision.reason, decision.detail)
                data.waiting_reasons[demand.job_id] = reason
                self._consider_shift(group, record)
            case NeverFits():
                end = self._actions.end(
                    record, JobState.FAILED, ReasonCode.NEVER_FITS, decision.detail
                )
                self._actions.spawn(group, record, end)

    def _consider_shift(self, group: asyncio.TaskGroup, record: JobRecord) -> None:
        """Move a job that waits here to a cell that could start it now."""
        shape = record.spec.shape
        pictures = self._elsewhere.list_pictures(record.spec.organisation, shape)
        here = next((each for each in pictures if each.cell == self._data.name), None)
        others = [each for each in pictures if each.cell != self._data.name]
        if here is None or self._shifts_left <= 0:
            return
        destination = find_destination(record, here, others)
        if destination is not None:
            self._shifts_left -= 1
            self._elsewhere.note_handed(destination, shape.accelerators)
            move = move_job(self._store, self._data, record, destination)
            self._actions.spawn(group, record, move)

    def _finish_moves(self, group: asyncio.TaskGroup) -> None:
        """Finish what an earlier owner, or a store that failed, left half done."""
        for record in self._data.book.list_in(JobState.MOVING):
            if record.spec.job_id not in self._data.busy:
                finish = finish_move(self._store, self._data, record)
                self._actions.spawn(group, record, finish)

    def _empty_leaving(self, group: asyncio.TaskGroup) -> None:
        """Move what can be moved off workers that are leaving.

        A worker that leaves takes its tasks with it. A job that can be stopped
        with its progress saved loses nothing by going early; one that can't is
        left to finish, which the worker may still allow.
        """
        leaving = {
            name for name, contact in self._data.contacts.items() if contact.leaving
        }
        if not leaving:
            return
        for record in self._data.book.list_in(JobState.STARTED):
            if not record.spec.checkpoints:
                continue
            there = [each.worker for each in record.members if each.worker in leaving]
            if there and record.spec.job_id not in self._data.busy:
                evict = self._actions.evict(
                    record, ReasonCode.WORKER_LEAVING, ", ".join(there)
                )
                self._actions.spawn(group, record, evict)

    def _start(
        self, group: asyncio.TaskGroup, record: JobRecord, placed: Placed
    ) -> None:
        now = read_wall_clock()
        self._data.view.hold(make_holding(record, placed.members, now))
        reason = make_reason(placed.reason, placed.detail)
        start = self._actions.start(record, placed.members, reason)
        self._actions.spawn(group, record, start)

    def _reclaim(
        self, group: asyncio.TaskGroup, record: JobRecord, reclaim: Reclaim
    ) -> None:
        data = self._data
        if any(victim in data.busy for victim in reclaim.victims):
            # Its victims are already being stopped, or are just starting; the
            # end of that action wakes the next pass.
            return
        victims = [data.book.find(victim) for victim in reclaim.victims]
        if any(each is None or each.state is not JobState.STARTED for each in victims):
            return
        data.waiting_reasons[record.spec.job_id] = make_reason(
            ReasonCode.WAITS_FOR_RECLAIM, reclaim.detail
        )
        data.busy.update(reclaim.victims)
        chosen = [each for each in victims if each is not None]
        self._actions.spawn(group, record, self._evict_then_start(record, chosen))

    async def _evict_then_start(
        self, record: JobRecord, victims: list[JobRecord]
    ) -> None:
        """Stop the victims at once, then start the job in the room they leave.

        The job stays busy throughout and is placed here, before another pass can
        give the freed accelerators to a job behind it.
        """
        started_at = read_clock()
        detail = f"for {record.spec.organisation}'s job {record.spec.job_id}"
        try:
            async with asyncio.TaskGroup() as group:
                for victim in victims:
                    group.create_task(
                        self._actions.evict(victim, ReasonCode.RECLAIMED, detail)
                    )
        finally:
            for victim in victims:
                self._data.busy.discard(victim.spec.job_id)
                self._data.stopping.discard(victim.spec.job_id)
        now = read_wall_clock()
        decision = decide_placement(
            self._data.view, make_demand(record), self._data.read_policy(), now
        )
        if not isinstance(decision, Placed):
            return
        self._data.view.hold(make_holding(record, decision.members, now))
        _log.info(
            "guarantee_reclaimed",
            job_id=record.spec.job_id,
            seconds=read_clock() - started_at,
        )
        reason = make_reason(decision.reason, decision.detail)
        await self._actions.start(record, decision.members, reason)

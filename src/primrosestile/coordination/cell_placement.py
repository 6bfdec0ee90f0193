"""Carries out the placement decisions of one owned cell.

Each pass decides on the waiting jobs in their order, holds the accelerators in the view
at once, and starts a task for each action that takes time. So no two decisions of one
pass use the same accelerators.
"""

import asyncio
from collections import Counter
from collections.abc import Collection, Iterable, Iterator, Sequence
from typing import Protocol

import structlog

from primrosestile.clock import read_clock, read_wall_clock
from primrosestile.coordination.actions import JobActions, make_reason
from primrosestile.coordination.cell_data import CellData, make_demand, make_holding
from primrosestile.coordination.housekeeping import Housekeeping
from primrosestile.coordination.job_moves import find_destination, move_job
from primrosestile.decisions.backfill import order_demands
from primrosestile.decisions.cell import Demand, Holding
from primrosestile.decisions.cell_selection import CellSummary
from primrosestile.decisions.placement import (
    Decision,
    NeverFits,
    Placed,
    Reclaim,
    Waits,
)
from primrosestile.decisions.placement_queue import decide_waiting
from primrosestile.decisions.reclaim import is_entitled
from primrosestile.protocol.store import Store
from primrosestile.state.jobs import JobRecord, JobState, ReasonCode
from primrosestile.state.tenancy import Shape

# The longest time between two passes, in case a wake-up was missed.
RECHECK_SECONDS = 1.0
# Jobs within quota that one pass decides on. In the larger cells a decision takes up to
# 2 ms unless it repeats that of an equivalent job, so a pass blocks the loop, and the
# renewals on it, for at most half a second.
PASS_LIMIT = 256
# Moves begun in one pass. Each takes three writes, and the queue of a full cell must
# not use up the store's several hundred writes a second.
MOVES_PER_PASS = 16
OPENING_CHECK_SECONDS = 0.05

_log = structlog.get_logger()


class OtherCells(Protocol):
    """What is known of the other cells."""

    def list_summaries(self, organisation: str, shape: Shape) -> list[CellSummary]:
        """Return the cells that could ever hold a shape, this one included."""
        ...

    def note_handed(self, cell: str, accelerators: int) -> None:
        """Note a job that was moved to a cell."""
        ...

    def count_used(self, skipped: Collection[str]) -> Counter[str]:
        """Return the accelerators that each team holds, without some cells."""
        ...


class CellPlacement:
    """Places, reclaims and explains the waiting jobs of one cell."""

    def __init__(
        self,
        data: CellData,
        actions: JobActions,
        store: Store,
        other_cells: OtherCells,
    ) -> None:
        self._data = data
        self._actions = actions
        self._store = store
        self._other_cells = other_cells
        self._housekeeping = Housekeeping(data, actions, store)
        self._woken = asyncio.Event()
        self._closed = False
        self._moves_left = MOVES_PER_PASS

    def close(self) -> None:
        """Stop deciding, before the cell is handed over."""
        self._closed = True

    def wake(self) -> None:
        """Request a pass, since a job arrived or accelerators became free."""
        self._woken.set()

    async def run(self) -> None:
        """Decide until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                self._woken.clear()
                if self._data.command.may_act() and not self._closed:
                    self._housekeeping.run_pass(group)
                    self._run_pass(group)
                try:
                    async with asyncio.timeout(RECHECK_SECONDS):
                        await self._woken.wait()
                except TimeoutError:
                    continue

    async def wait_until_idle(self) -> None:
        """Wait until no action on any job is in progress."""
        while self._data.busy:
            # The end of each action wakes this module.
            self._woken.clear()
            await self._woken.wait()

    def _run_pass(self, group: asyncio.TaskGroup) -> None:
        data = self._data
        self._moves_left = MOVES_PER_PASS
        demands = [
            make_demand(record)
            for record in data.job_table.list_in(JobState.ACCEPTED)
            if record.spec.job_id not in data.busy and data.may_try(record.spec.job_id)
        ]
        if not demands:
            return
        now = read_wall_clock()
        policy = data.read_policy()
        ordered = order_demands(demands, data.view, policy, data.run_times, now)
        for demand, decision in self._decide_each(ordered, now):
            record = data.job_table.find(demand.job_id)
            if record is not None:
                self._carry_out(group, record, decision)

    def _decide_each(
        self, ordered: Iterable[Demand], now: float
    ) -> Iterator[tuple[Demand, Decision]]:
        """Yield the decisions of one pass; a team over its quota waits.

        A worker in quarantine may get one canary run of restartable work. That work is
        decided on last, with the worker usable; for all other work it must not count as
        free.
        """
        data = self._data
        policy = data.read_policy()
        has_canaries = any(each.is_canary for each in data.contacts.values())
        allowed = self._keep_within_quota(ordered)
        if not has_canaries:
            yield from decide_waiting(data.view, allowed, policy, now)
            return
        data.refresh_usable(evictable=False)
        held_back = []
        for demand, decision in decide_waiting(data.view, allowed, policy, now):
            if demand.evictable and isinstance(decision, Waits):
                held_back.append(demand)
            yield demand, decision
        data.refresh_usable()
        yield from decide_waiting(data.view, held_back, policy, now)

    def _keep_within_quota(self, ordered: Iterable[Demand]) -> Iterator[Demand]:
        data = self._data
        used = data.count_used()
        left = PASS_LIMIT
        for demand in ordered:
            quota = data.read_quota(demand.team)
            if used.get(demand.team, 0) + demand.shape.accelerators > quota:
                reason = make_reason(
                    ReasonCode.WAITS_FOR_QUOTA, f"of team {demand.team}, {quota}"
                )
                data.waiting_reasons[demand.job_id] = reason
                continue
            left -= 1
            if left < 0:
                return
            yield demand
            if demand.job_id in data.busy:
                count = used.get(demand.team, 0) + demand.shape.accelerators
                used[demand.team] = count

    def _carry_out(
        self, group: asyncio.TaskGroup, record: JobRecord, decision: Decision
    ) -> None:
        match decision:
            case Placed():
                self._start(group, record, decision)
            case Reclaim():
                self._reclaim(group, record, decision)
            case Waits():
                reason = make_reason(decision.reason, decision.detail)
                self._data.waiting_reasons[record.spec.job_id] = reason
                self._consider_move(group, record)
            case NeverFits():
                end = self._actions.end(
                    record, JobState.FAILED, ReasonCode.NEVER_FITS, decision.detail
                )
                self._actions.spawn(group, record, end)

    def _consider_move(self, group: asyncio.TaskGroup, record: JobRecord) -> None:
        """Move a job that waits here to a cell that could start it now."""
        if self._moves_left <= 0:
            return
        shape = record.spec.shape
        summaries = self._other_cells.list_summaries(record.spec.organisation, shape)
        here = next((each for each in summaries if each.cell == self._data.name), None)
        others = [each for each in summaries if each.cell != self._data.name]
        if here is None:
            return
        entitled = is_entitled(self._data.view, make_demand(record))
        destination = find_destination(record, entitled, here, others)
        if destination is not None:
            self._moves_left -= 1
            self._other_cells.note_handed(destination, shape.accelerators)
            move = move_job(self._store, self._data, record, destination)
            self._actions.spawn(group, record, move)

    def _make_holding(self, record: JobRecord, placed: Placed | Reclaim) -> Holding:
        return make_holding(
            record, placed.members, read_wall_clock(), self._data.run_times
        )

    def _start(
        self, group: asyncio.TaskGroup, record: JobRecord, placed: Placed
    ) -> None:
        self._data.view.hold(self._make_holding(record, placed))
        reason = make_reason(placed.reason, placed.detail)
        start = self._actions.start(record, placed.members, reason)
        self._actions.spawn(group, record, start)

    def _reclaim(
        self, group: asyncio.TaskGroup, record: JobRecord, reclaim: Reclaim
    ) -> None:
        data = self._data
        # Victims that are being stopped for another job already are only waited for.
        to_stop = [each for each in reclaim.victims if each not in data.view.stopping]
        if any(victim in data.busy for victim in to_stop):
            # The victim is just starting or finishing; the end of that action wakes the
            # next pass.
            return
        chosen = [
            victim
            for each in to_stop
            if (victim := data.job_table.find(each)) is not None
            and victim.state is JobState.STARTED
        ]
        if len(chosen) != len(to_stop):
            return
        data.waiting_reasons[record.spec.job_id] = make_reason(
            ReasonCode.WAITS_FOR_RECLAIM, reclaim.detail
        )
        holding = self._make_holding(record, reclaim)
        data.view.begin_reclaim(holding, reclaim.victims)
        data.busy.update(to_stop)
        reclaiming = self._evict_then_start(record, reclaim, holding, chosen)
        self._actions.spawn(group, record, reclaiming)

    async def _wait_for_others(self, job_id: str, victims: Sequence[str]) -> None:
        """Wait for victims that are being stopped for other jobs."""
        data = self._data
        while not data.view.is_opened(job_id):
            if not any(victim in data.busy for victim in victims):
                return
            await asyncio.sleep(OPENING_CHECK_SECONDS)

    async def _evict_then_start(
        self,
        record: JobRecord,
        reclaim: Reclaim,
        holding: Holding,
        victims: list[JobRecord],
    ) -> None:
        """Stop the victims concurrently, then start the job on their accelerators.

        The view reserves the accelerators meanwhile, so that no other pass gives them
        to a job behind this one.
        """
        started_at = read_clock()
        job_id = record.spec.job_id
        detail = f"for {record.spec.organisation}'s job {job_id}"
        try:
            await self._actions.evict_all(victims, ReasonCode.RECLAIMED, detail)
            await self._wait_for_others(job_id, reclaim.victims)
        finally:
            opened = self._data.view.is_opened(job_id)
            if not opened:
                self._data.view.cancel_reclaim(job_id)
        if not opened:
            return
        self._data.view.hold(holding)
        _log.info("reclaimed", job_id=job_id, seconds=read_clock() - started_at)
        reason = make_reason(reclaim.reason, reclaim.detail)
        await self._actions.start(record, reclaim.members, reason)

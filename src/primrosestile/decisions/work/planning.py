"""One pass over all that waits: what starts where, and what is stopped for it."""

from dataclasses import dataclass

from primrosestile.decisions.work.board import Board
from primrosestile.decisions.work.crashes import is_isolated
from primrosestile.decisions.work.durations import Durations
from primrosestile.decisions.work.evicting import Evictions, give_back
from primrosestile.decisions.work.freeing import (
    Holds,
    add_stopping,
    begin_stopping,
    find_freed,
    hold_freed,
    note_stopping,
)
from primrosestile.decisions.work.mechanisms import Mechanisms, make_mechanisms
from primrosestile.decisions.work.ordering import Rank, find_entitled, rank_units
from primrosestile.decisions.work.placing import (
    Rooms,
    copy_rooms,
    find_idle_pools,
    make_rooms,
    place,
    take_rooms,
)
from primrosestile.decisions.work.preempting import Eviction, is_affordable
from primrosestile.decisions.work.rescuing import Rescue
from primrosestile.decisions.work.reserving import (
    RESERVED_UNITS,
    could_start_before,
    hold_claim,
)
from primrosestile.decisions.work.speeds import Speeds
from primrosestile.decisions.work.units import Unit, Worker

# An eviction that throws away less than this is made at once: what a small urgent
# job itself takes.
CHEAP_CORE_SECONDS = 100.0
# Guaranteed work must have begun 2.9 s after its acceptance. A stop and the start
# after it take half a second, and an expectation may be wrong by as much again.
RECLAIM_WAIT_SECONDS = 1.5
# Units looked at in one pass, so that a full queue costs it a few milliseconds.
LOOK_LIMIT = 200
# They hold nothing, so all passes share them.
MECHANISMS = make_mechanisms()


@dataclass(frozen=True, slots=True)
class Assignment:
    """A unit and a worker for each of its members."""

    unit: Unit
    workers: tuple[Worker, ...]
    rank: Rank


@dataclass(frozen=True, slots=True)
class Stop:
    """A unit that is stopped, for whom, and what that throws away.

    Attributes:
        cost: Core-seconds, of all that is stopped for the same unit.
        again: Work was stopped for the same unit before, and it did not start.
    """

    unit: Unit
    gainer: Unit
    cost: float
    again: bool = False


@dataclass(frozen=True, slots=True)
class Plan:
    """What to do now."""

    starts: tuple[Assignment, ...]
    stops: tuple[Stop, ...]
    rescues: tuple[Rescue, ...] = ()


def make_plan(
    board: Board,
    durations: Durations,
    speeds: Speeds,
    now: float,
    mechanisms: Mechanisms = MECHANISMS,
) -> Plan:
    """Decide on every waiting unit, the most pressing first."""
    return _Pass(board, durations, speeds, now, mechanisms).run()


class _Pass:
    """One pass.

    Attributes:
        rooms: What is free now, less what this pass gave away or keeps.
        soon: The same, with what is being stopped counted as free.
    """

    def __init__(
        self,
        board: Board,
        durations: Durations,
        speeds: Speeds,
        now: float,
        mechanisms: Mechanisms,
    ) -> None:
        self.board = board
        self.durations = durations
        self.now = now
        self.mechanisms = mechanisms
        self.slow = mechanisms.slow_finding(board, durations, speeds, now)
        self.entitled = find_entitled(board)
        self.evictions = Evictions(self.entitled, now, mechanisms.permission)
        self.idle_pools = find_idle_pools(board)
        self.rooms = make_rooms(board, now)
        self.waiting = board.list_waiting(now)
        _mark_wanted(self.waiting, self.rooms)
        note_stopping(board, now)
        self.soon = add_stopping(board, self.rooms, now)
        self.holds = Holds((self.rooms, self.soon), now)
        self.starts: list[Assignment] = []
        self.stops: list[Stop] = []
        self.rescues: list[Rescue] = []
        self.reserved = 0
        self.blocked: list[Unit] = []

    def run(self) -> Plan:
        """Return what to do."""
        self.holds.hold(self.waiting)
        self._rescue()
        held = [
            each for each in self.waiting if each.freed and not self._is_entitled(each)
        ]
        # Units of one step are alike: if one can't go, none of the others can.
        waiting: set[tuple[object, ...]] = set()
        looked = 0
        ranked = rank_units(
            self.waiting,
            self.now,
            self.entitled,
            self.durations,
            self.mechanisms.order,
        )
        for rank, unit in ranked:
            suspicion = (bool(unit.crashes), is_isolated(unit))
            likeness = (unit.step_key, suspicion, *unit.failed_on)
            if likeness in waiting:
                continue
            if not rank.entitled and self.blocked:
                for blocked in self.blocked:
                    self._keep(blocked)
                self.blocked = []
            looked += 1
            if looked > LOOK_LIMIT:
                break
            if not self._start_beside(rank, unit, held):
                waiting.add(likeness)
        return Plan(tuple(self.starts), tuple(self.stops), tuple(self.rescues))

    def _rescue(self) -> None:
        """Stop units of which a member stands still, where they can go on at once.

        Their patience for a rack begins anew: a gang of 1.3 s that went to two racks
        since it had waited long enough took 4.2 s there.
        """
        for rescue in self.mechanisms.rescuing(self.board, self.durations, self.now):
            unit = rescue.unit
            elsewhere = copy_rooms(self.soon)
            give_back(unit, elsewhere)
            elsewhere.pop(rescue.worker.name, None)
            began = unit.ready_at
            unit.ready_at = self.now
            workers = self._place(unit, elsewhere)
            if workers is None:
                unit.ready_at = began
                continue
            self.rescues.append(rescue)
            unit.rescues += 1
            self.board.abandon(unit)
            give_back(unit, self.soon)
            take_rooms(unit, workers, self.soon)
            self.rooms.pop(rescue.worker.name, None)
            self.soon.pop(rescue.worker.name, None)

    def _is_entitled(self, unit: Unit) -> bool:
        return unit.job.job_id in self.entitled

    def _start_beside(self, rank: Rank, unit: Unit, held: list[Unit]) -> bool:
        """Start a unit, guaranteed work where nothing is held for others if it can.

        Args:
            rank: Of the unit.
            unit: To be started.
            held: For which room is held; guaranteed work goes before them.
        """
        if not rank.entitled or not held:
            return self._start(rank, unit)
        self.holds.release([unit])
        if self._start_now(rank, unit):
            return True
        self.holds.release(held)
        started = self._start(rank, unit)
        self.holds.hold(held)
        return started

    def _start_now(self, rank: Rank, unit: Unit) -> bool:
        workers = self._place(unit, self.rooms)
        if workers is None:
            return False
        self.starts.append(Assignment(unit, tuple(workers), rank))
        take_rooms(unit, workers, self.rooms)
        take_rooms(unit, workers, self.soon)
        return True

    def _start(self, rank: Rank, unit: Unit) -> bool:
        """Start a unit, or have room freed or kept for it.

        Returns:
            Whether another unit of the same step may do as well.
        """
        self.holds.release([unit])
        if self._start_now(rank, unit):
            return True
        if self._may_evict(rank) and self._free_room(unit, rank):
            return rank.urgent
        if rank.entitled:
            # Room is kept for it against what is not within a guarantee only.
            self.blocked.append(unit)
        elif rank.urgent or self.reserved < RESERVED_UNITS:
            self.reserved += not rank.urgent
            self._keep(unit)
        return False

    def _place(self, unit: Unit, rooms: Rooms) -> list[Worker] | None:
        seconds = self.durations.guess_unit(unit)
        idle = unit.pool in self.idle_pools
        patience = self.mechanisms.patience(unit, seconds, idle)
        return place(unit, rooms, self.now, seconds, self.slow, patience)

    def _keep(self, unit: Unit) -> None:
        """Keep room for a unit, now and in what is being freed.

        Kept only in what is free now, work would be stopped for a unit further
        back, which then could not have the room.
        """
        if self.mechanisms.keeping(unit, self.rooms, self.durations, self.now):
            hold_claim(unit, self.soon, self.now)

    def _may_evict(self, rank: Rank) -> bool:
        """Whether something may be stopped for a unit.

        Urgent work may always have that. Other work may stop what has a lower
        priority and loses next to nothing, while it can be in time itself. Were it
        stopped only in the last seconds of that, gangs would find too little.
        """
        if rank.urgent or rank.lasting:
            return not rank.useless
        return not rank.late

    def _free_room(self, unit: Unit, rank: Rank) -> bool:
        """Keep the room that is being freed for a unit, or have more freed."""
        workers = find_freed(unit, self.soon, self.now)
        if workers is None:
            unit.freed = ()
            workers = self._place(unit, self.soon)
        if workers is None:
            eviction = self.evictions.find(unit, self.soon)
            if eviction is None or self._should_wait(unit, rank, eviction):
                return False
            seconds = self.durations.guess_unit(unit)
            if not is_affordable(eviction, unit, rank.entitled, seconds):
                return False
            again = unit.freed_rounds > 0
            unit.freed_rounds += 1
            for victim in eviction.units:
                self.stops.append(Stop(victim, unit, eviction.cost, again))
                self.board.abandon(victim)
                begin_stopping(victim, self.now)
                give_back(victim, self.soon)
            self.evictions.note_stopped(eviction.units)
            workers = self._place(unit, self.soon)
            if workers is not None:
                hold_freed(unit, (worker.name for worker in workers), self.now)
        if workers is None:
            return False
        take_rooms(unit, workers, self.soon)
        take_rooms(unit, workers, self.rooms)
        return True

    def _should_wait(self, unit: Unit, rank: Rank, eviction: Eviction) -> bool:
        """Whether room will be there soon enough without stopping anything."""
        if eviction.cost < CHEAP_CORE_SECONDS:
            return False
        latest = unit.job.accepted + RECLAIM_WAIT_SECONDS
        if not rank.late:
            latest = min(latest, self.now + rank.slack)
        return could_start_before(unit, self.rooms, self.durations, self.now, latest)


def _mark_wanted(waiting: list[Unit], rooms: Rooms) -> None:
    for unit in waiting:
        for name in unit.claim:
            if name in rooms:
                rooms[name].wanted = True

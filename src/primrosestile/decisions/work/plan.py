"""One pass over all waiting units: what starts where, and what is stopped for it.

The pass examines the most urgent units first, at most `MAX_UNITS_EXAMINED` of them. The
others only start in what is left free, at most `MAX_UNITS_TRIED` of them, beginning
behind the last one that the former pass tried: a unit that can start does so at the
latest when all in front of it have been tried.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from primrosestile.decisions.work.crashes import is_isolated
from primrosestile.decisions.work.durations import Durations
from primrosestile.decisions.work.evictions import Evictions, give_back
from primrosestile.decisions.work.fit import Fit
from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.decisions.work.headroom import Withholding
from primrosestile.decisions.work.held_room import (
    Holds,
    add_stopping,
    begin_stopping,
    find_freed_workers,
    hold_freed_room,
    record_stopping,
)
from primrosestile.decisions.work.mechanisms import Mechanisms, make_mechanisms
from primrosestile.decisions.work.placement import (
    IDLE_LOCALITY_WAIT_SECONDS,
    find_idle_pools,
    list_avoided,
    place,
    waits_elsewhere,
)
from primrosestile.decisions.work.preemption import Eviction, is_affordable
from primrosestile.decisions.work.preemption_history import record_round, record_stop
from primrosestile.decisions.work.queue_order import Rank, find_entitled, rank_units
from primrosestile.decisions.work.reservations import (
    RESERVED_UNITS,
    could_start_before,
    count_reservation,
)
from primrosestile.decisions.work.restarts import Restart
from primrosestile.decisions.work.rooms import Rooms, copy_rooms, make_rooms, take_rooms
from primrosestile.decisions.work.speeds import Speeds
from primrosestile.decisions.work.stop_effects import NO_EFFECT, StopEffect
from primrosestile.decisions.work.units import Unit, Worker
from primrosestile.decisions.work.waiting_units import list_waiting

# An eviction that wastes less than this is made at once: what a small urgent job itself
# takes.
CHEAP_CORE_SECONDS = 100.0
# Units examined in one pass, so that a full queue costs it only a few milliseconds.
MAX_UNITS_EXAMINED = 200
# Further units that are placed, if they may fit.
MAX_UNITS_TRIED = 50
# Stateless, so all passes share them.
MECHANISMS = make_mechanisms()


@dataclass(frozen=True, slots=True)
class Assignment:
    """A unit and a worker for each of its members."""

    unit: Unit
    workers: tuple[Worker, ...]
    rank: Rank


@dataclass(frozen=True, slots=True)
class Stop:
    """A unit that is stopped, and the gainer, the unit that gets its room.

    Attributes:
        cost: Wasted core-seconds of all units stopped for the gainer in this pass.
        again: Work was stopped for the gainer before, but it has not started.
        stops: How often the unit was stopped for others before.
        effect: What the stop makes of the unit's result.
    """

    unit: Unit
    gainer: Unit
    cost: float
    again: bool = False
    stops: int = 0
    effect: StopEffect = NO_EFFECT


@dataclass(frozen=True, slots=True)
class Plan:
    """The decisions of one pass."""

    starts: tuple[Assignment, ...]
    stops: tuple[Stop, ...]
    restarts: tuple[Restart, ...] = ()


def make_plan(
    fleet_state: FleetState,
    durations: Durations,
    speeds: Speeds,
    now: float,
    mechanisms: Mechanisms = MECHANISMS,
) -> Plan:
    """Decide on the waiting units, the most urgent first."""
    return _Pass(fleet_state, durations, speeds, now, mechanisms).run()


class _Pass:
    """One pass.

    Attributes:
        rooms: What is free now, less what this pass assigned or reserved.
        future_rooms: The same, with what is being stopped counted as free.
    """

    def __init__(
        self,
        fleet_state: FleetState,
        durations: Durations,
        speeds: Speeds,
        now: float,
        mechanisms: Mechanisms,
    ) -> None:
        self.fleet_state = fleet_state
        self.groups = mechanisms.speed_grouping(fleet_state, durations, speeds, now)
        durations = self.groups.adjust(durations)
        self.durations = durations
        self.now = now
        self.mechanisms = mechanisms
        self.slow = mechanisms.slow_finding(fleet_state, durations, speeds, now)
        self.entitled = find_entitled(fleet_state)
        self.stop_rules = mechanisms.stop_rules(
            fleet_state, durations, mechanisms.permission
        )
        self.evictions = Evictions(
            self.entitled, now, self.stop_rules.may_stop, self._compute_stop_cost
        )
        self.idle_pools = find_idle_pools(fleet_state)
        self.rooms = make_rooms(fleet_state, now)
        self.waiting = list_waiting(fleet_state.jobs.values(), now)
        fleet_state.shares.update(
            fleet_state.policy, fleet_state.workers.values(), self.waiting, now
        )
        _mark_reserved(self.waiting, self.rooms)
        record_stopping(fleet_state, now)
        self.future_rooms = add_stopping(fleet_state, self.rooms, now)
        self.holds = Holds((self.rooms, self.future_rooms), now)
        headroom = mechanisms.headroom_finding(fleet_state, self.rooms, now)
        self.withholding = Withholding(
            headroom,
            fleet_state.headroom,
            (self.rooms, self.future_rooms),
            self.idle_pools,
            now,
        )
        self.starts: list[Assignment] = []
        self.stops: list[Stop] = []
        self.restarts: list[Restart] = []
        self.reserved = 0
        self.blocked: list[Unit] = []
        # Units of one step are alike: if one can't start, none of the others can.
        self.unable: set[tuple[object, ...]] = set()
        self.fit = Fit(self.rooms)

    def run(self) -> Plan:
        """Return the decisions."""
        self.holds.hold(self.waiting)
        self._restart_elsewhere()
        held = [
            each
            for each in self.waiting
            if each.freed_workers and not self._is_entitled(each)
        ]
        examined = 0
        ranked = rank_units(
            self.waiting,
            self.now,
            self.entitled,
            self.durations,
            self.mechanisms.order,
            self.fleet_state.shares.is_over,
        )
        for position, (rank, unit) in enumerate(ranked):
            likeness = _find_likeness(unit, self.now)
            if likeness in self.unable or not self.fit.could_hold(unit):
                continue
            if not rank.entitled and self.blocked:
                for blocked in self.blocked:
                    self._reserve(blocked)
                self.blocked = []
            examined += 1
            if examined > MAX_UNITS_EXAMINED:
                self._fill(ranked[position:])
                break
            self.withholding.apply(unit)
            if not self._start_beside(rank, unit, held):
                self.unable.add(likeness)
        self.withholding.finish()
        return Plan(tuple(self.starts), tuple(self.stops), tuple(self.restarts))

    def _fill(self, ranked: Sequence[tuple[Rank, Unit]]) -> None:
        """Start units behind those that were examined, in what is left free."""
        units = [unit for _, unit in ranked]
        last = self.fleet_state.last_tried
        begin = units.index(last) + 1 if last in units else 0
        tried = 0
        for rank, unit in (*ranked[begin:], *ranked[:begin]):
            likeness = _find_likeness(unit, self.now)
            if likeness in self.unable or not self.fit.may_fit(unit):
                continue
            self.fleet_state.last_tried = unit
            self.withholding.apply(unit)
            self.holds.release([unit])
            if not self._start_now(rank, unit):
                self.unable.add(likeness)
            tried += 1
            if tried == MAX_UNITS_TRIED:
                break

    def _compute_stop_cost(self, unit: Unit, now: float) -> float:
        cost = self.stop_rules.compute_cost(unit, now)
        return cost * self.fleet_state.shares.find_cost_factor(unit)

    def _list_restarts(self) -> list[Restart]:
        mechanisms = self.mechanisms
        return [
            restart
            for find in (mechanisms.stall_finding, mechanisms.departure_finding)
            for restart in find(self.fleet_state, self.durations, self.now)
        ]

    def _restart_elsewhere(self) -> None:
        """Stop stalled or departing units if they can restart elsewhere at once.

        Their locality wait starts over: a gang of 1.3 s that went to two racks because
        it had waited long enough took 4.2 s there.
        """
        for restart in self._list_restarts():
            unit = restart.unit
            if unit.abandoned:
                continue
            self.withholding.apply(unit)
            elsewhere = copy_rooms(self.future_rooms)
            give_back(unit, elsewhere)
            elsewhere.pop(restart.worker.name, None)
            began = unit.ready_at
            unit.ready_at = self.now
            workers = self._place(unit, elsewhere)
            if workers is None:
                unit.ready_at = began
                continue
            self.restarts.append(restart)
            unit.restarts += 1
            self.fleet_state.abandon(unit)
            give_back(unit, self.future_rooms)
            take_rooms(unit, workers, self.future_rooms)
            self.rooms.pop(restart.worker.name, None)
            self.future_rooms.pop(restart.worker.name, None)

    def _is_entitled(self, unit: Unit) -> bool:
        return unit.job.job_id in self.entitled

    def _start_beside(self, rank: Rank, unit: Unit, held: list[Unit]) -> bool:
        """Start a unit; guaranteed work takes held room only if nothing else is free.

        Args:
            rank: Of the unit.
            unit: To be started.
            held: Units that have held room and are not guaranteed.
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
        take_rooms(unit, workers, self.future_rooms)
        return True

    def _start(self, rank: Rank, unit: Unit) -> bool:
        """Start a unit, or free or reserve room for it.

        Returns:
            Whether other units of the same step are worth examining.
        """
        self.holds.release([unit])
        if self._start_now(rank, unit):
            return True
        if self._may_evict(rank) and self._free_room(unit, rank):
            return rank.urgent
        if rank.entitled:
            # Reserved later, so that only units outside guarantees make way for it.
            self.blocked.append(unit)
        elif rank.urgent or self.reserved < RESERVED_UNITS:
            reserved = self._reserve(unit)
            self.reserved += reserved and not rank.urgent
        return False

    def _place(self, unit: Unit, rooms: Rooms) -> list[Worker] | None:
        seconds = self.durations.guess_unit(unit)
        idle = unit.pool in self.idle_pools
        locality_wait = self.mechanisms.locality_wait(unit, seconds, idle)
        # Room that was freed for it is used, and guaranteed work never waits for speed.
        may_wait = not (unit.freed_workers or self._is_entitled(unit))
        if (
            idle
            and self.now - (unit.ready_at or self.now) >= IDLE_LOCALITY_WAIT_SECONDS
        ):
            may_wait = False
        return self.groups.place(
            unit, rooms, seconds, self.slow, locality_wait, may_wait
        )

    def _reserve(self, unit: Unit) -> bool:
        """Reserve room for a unit, in what is free and in what is being freed.

        If it were reserved only in what is free now, work would be stopped for a
        lower-ranked unit, which then could not have the room.

        Returns:
            Whether there is any that it can wait for.
        """
        rooms = self.groups.select(unit, self.rooms)
        if not self.mechanisms.reservation(unit, rooms, self.durations, self.now):
            return False
        count_reservation(unit, self.future_rooms, self.now)
        return True

    def _may_evict(self, rank: Rank) -> bool:
        """Whether something may be stopped for a unit.

        For urgent work and services always, unless they are useless by now. Other work
        may stop what has a lower priority and loses almost nothing, for as long as it
        can be in time itself; with stops only in the last seconds before it is late,
        gangs would find too little room.
        """
        if rank.urgent or rank.daemon:
            return not rank.useless
        return not rank.late

    def _free_room(self, unit: Unit, rank: Rank) -> bool:
        """Take room that is being freed for a unit, or have more freed."""
        workers = find_freed_workers(unit, self.future_rooms, self.now)
        if workers is None:
            unit.freed_workers = ()
            workers = self._place(unit, self.future_rooms)
        if workers is None:
            if not self.stop_rules.may_stop_again(unit, self.entitled, self.now):
                return False
            eviction, rooms = self._find_eviction(unit)
            if eviction is None or self._should_wait(unit, rank, eviction):
                return False
            seconds = self.durations.guess_unit(unit)
            if not is_affordable(eviction, unit, rank.entitled, seconds):
                return False
            again = unit.eviction_count > 0
            unit.eviction_count += 1
            for victim in eviction.units:
                effect = self.stop_rules.find_effect(victim, self.now)
                fields = (eviction.cost, again, victim.stop_count, effect)
                self.stops.append(Stop(victim, unit, *fields))
                record_stop(victim)
                self.fleet_state.abandon(victim)
                begin_stopping(victim, self.now)
                give_back(victim, self.future_rooms)
            self.evictions.drop_offers(eviction.units)
            workers = self._place_freed(unit, rooms)
            if workers is not None:
                record_round(unit, (worker.name for worker in workers), self.now)
                until = self.now + self.fleet_state.stop_timing.held
                hold_freed_room(unit, (worker.name for worker in workers), until)
        if workers is None:
            return False
        take_rooms(unit, workers, self.future_rooms)
        take_rooms(unit, workers, self.rooms)
        return True

    def _find_eviction(self, unit: Unit) -> tuple[Eviction | None, Rooms]:
        """Return what to stop for a unit, and the rooms in which that frees room."""
        rooms = self.future_rooms
        for rooms in self.groups.list_choices(unit, self.future_rooms):
            eviction = self.evictions.find(unit, rooms)
            if eviction is not None:
                return eviction, rooms
        return None, rooms

    def _place_freed(self, unit: Unit, rooms: Rooms) -> list[Worker] | None:
        """Place a unit where work was stopped for it; it does not wait elsewhere."""
        seconds = self.durations.guess_unit(unit)
        idle = unit.pool in self.idle_pools
        locality_wait = self.mechanisms.locality_wait(unit, seconds, idle)
        return place(unit, rooms, self.now, seconds, self.slow, locality_wait)

    def _should_wait(self, unit: Unit, rank: Rank, eviction: Eviction) -> bool:
        """Whether room will be free soon enough without stopping anything."""
        cost = eviction.cost
        if rank.entitled:
            cost = self.stop_rules.measure_waste(eviction, self.now)
        if cost < CHEAP_CORE_SECONDS:
            return False
        latest = self.mechanisms.eviction_wait(unit, rank, self.now)
        rooms = self.groups.select(unit, self.rooms)
        return could_start_before(unit, rooms, self.durations, self.now, latest)


def _find_likeness(unit: Unit, now: float) -> tuple[object, ...]:
    """Return what units have in common that can only start together or not at all."""
    return (
        unit.step_key,
        (bool(unit.crashes), is_isolated(unit)),
        bool(unit.failed_on) and waits_elsewhere(unit, now),
        *list_avoided(unit, now),
    )


def _mark_reserved(waiting: list[Unit], rooms: Rooms) -> None:
    for unit in waiting:
        for name in unit.reserved_workers:
            if name in rooms:
                rooms[name].is_reserved = True

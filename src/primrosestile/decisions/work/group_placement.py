"""Places units on workers of one speed group.

Load and harm: see `speed_groups`. A gang goes to one group, or to both only where it
would be worse off otherwise: on both it is as late as on the slow group, and holds fast
workers for twice as long as they need. Patient single tasks fill the slow group, since
they have slack, and leave the fast workers to gangs.
"""

import math
from collections.abc import Collection, Sequence
from typing import Protocol

from primrosestile.decisions.work.durations import Durations
from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.decisions.work.placement import could_hold, find_eligible, place
from primrosestile.decisions.work.queue_order import find_deadline
from primrosestile.decisions.work.reservations import find_earliest_start
from primrosestile.decisions.work.rooms import Room, Rooms
from primrosestile.decisions.work.speed_groups import (
    SpeedGroups,
    find_speed_groups,
    use_speed_groups,
)
from primrosestile.decisions.work.speeds import Speeds
from primrosestile.decisions.work.units import Member, Unit, Worker

# Work of this priority or a higher number has seconds of slack.
PATIENT_PRIORITY = 2


class GroupPlacement(Protocol):
    """Decides on which of the workers with room a unit is placed."""

    def adjust(self, durations: Durations) -> Durations:
        """Return the run times that take account of workers' speeds."""
        ...

    def place(
        self,
        unit: Unit,
        rooms: Rooms,
        seconds: float,
        slow: Collection[str],
        locality_wait: float,
        may_wait: bool,
    ) -> list[Worker] | None:
        """Return a worker for each member, or None when it must or should wait.

        Args:
            unit: To be placed.
            rooms: What is free.
            seconds: Expected run time on usual workers.
            slow: Workers that urgent work avoids.
            locality_wait: For how many seconds it waits for its rack.
            may_wait: Whether it may wait although there is room.
        """
        ...

    def select(self, unit: Unit, rooms: Rooms) -> Rooms:
        """Return the rooms in which room for a unit is reserved or expected."""
        ...

    def list_choices(self, unit: Unit, rooms: Rooms) -> Sequence[Rooms]:
        """Return the rooms in which work may be stopped for a unit, best first."""
        ...


class EvenWorkers:
    """Places units on all workers alike."""

    def __init__(self, now: float) -> None:
        self._now = now

    def adjust(self, durations: Durations) -> Durations:
        """Return the same run times."""
        return durations

    def place(
        self,
        unit: Unit,
        rooms: Rooms,
        seconds: float,
        slow: Collection[str],
        locality_wait: float,
        may_wait: bool,
    ) -> list[Worker] | None:
        """Return a worker for each member, or None when it must wait."""
        return place(unit, rooms, self._now, seconds, slow, locality_wait)

    def select(self, unit: Unit, rooms: Rooms) -> Rooms:
        """Return all rooms."""
        return rooms

    def list_choices(self, unit: Unit, rooms: Rooms) -> Sequence[Rooms]:
        """Return all rooms as the only choice."""
        return (rooms,)


class GroupedDurations(Durations):
    """Run times on the workers where the runs take place, within one pass."""

    def __init__(self, durations: Durations, groups: SpeedGroups) -> None:
        super().__init__()
        self.restore(durations.make_record())
        self._groups = groups
        self._left: dict[int, float] = {}

    def guess_run(self, member: Member) -> float:
        """Return the expected time of a run by the speed of its worker."""
        return self.guess_unit(member.unit) * self._groups.find_factor(member.worker)

    def guess_left(self, member: Member, now: float) -> float:
        """Return the seconds until a member's room is free: a gang's ends as one."""
        if not member.unit.step.gang:
            return super().guess_left(member, now)
        key = id(member.unit)
        left = self._left.get(key)
        if left is None:
            guess = super().guess_left
            left = max(guess(each, now) for each in member.unit.members)
            self._left[key] = left
        return left


class UnevenWorkers:
    """Places units by speed group, within one pass."""

    def __init__(self, groups: SpeedGroups, durations: Durations, now: float) -> None:
        self._groups = groups
        self._durations = durations
        self._now = now

    def adjust(self, durations: Durations) -> Durations:
        """Return the run times by the workers' speeds."""
        return self._durations

    def place(
        self,
        unit: Unit,
        rooms: Rooms,
        seconds: float,
        slow: Collection[str],
        locality_wait: float,
        may_wait: bool,
    ) -> list[Worker] | None:
        """Return a worker for each member, or None when it must or should wait."""
        if unit.step.daemon or not self._groups.slow:
            return place(unit, rooms, self._now, seconds, slow, locality_wait)
        long = seconds * self._groups.slow_factor
        fast_rooms, slow_rooms = self._split(unit, rooms)
        choices = [(fast_rooms, seconds), (slow_rooms, long)]
        if _is_patient(unit):
            choices.reverse()
            may_wait = False
        for group, taken in choices:
            if group is slow_rooms and may_wait and self._should_wait(unit, rooms):
                return None
            if _could_host(unit, group, self._now):
                # Outside its rack a gang takes longer than beside a slow worker.
                found = place(unit, group, self._now, taken, slow, math.inf)
                if found is not None:
                    return found
        if may_wait and self._should_wait(unit, rooms, mixed=True):
            return None
        return place(unit, rooms, self._now, long, slow, locality_wait)

    def select(self, unit: Unit, rooms: Rooms) -> Rooms:
        """Return the group in which a unit could end first, or all rooms."""
        if not self._groups.slow or unit.step.daemon or _is_patient(unit):
            return rooms
        fast_rooms, slow_rooms = self._split(unit, rooms)
        slow_reserved = [each in slow_rooms for each in unit.reserved_workers]
        if slow_reserved and len(set(slow_reserved)) == 1:
            # Reservations stay where they are.
            return slow_rooms if slow_reserved[0] else fast_rooms
        hosts = _could_host(unit, fast_rooms, self._now)
        if hosts and unit.job.queue.priority == 0:
            return fast_rooms
        if not _could_host(unit, slow_rooms, self._now):
            return fast_rooms if hosts else rooms
        if not hosts:
            return slow_rooms
        ends = [
            self._find_end(unit, group, factor)
            for group, factor in (
                (fast_rooms, 1.0),
                (slow_rooms, self._groups.slow_factor),
            )
        ]
        return slow_rooms if ends[1] < ends[0] else fast_rooms

    def list_choices(self, unit: Unit, rooms: Rooms) -> Sequence[Rooms]:
        """Return the fast group and then all, or all if it can't hold the unit."""
        if not self._groups.slow or unit.step.daemon or _is_patient(unit):
            return (rooms,)
        fast_rooms, _ = self._split(unit, rooms)
        if not _could_host(unit, fast_rooms, self._now):
            return (rooms,)
        return (fast_rooms, rooms)

    def _split(self, unit: Unit, rooms: Rooms) -> tuple[Rooms, Rooms]:
        slow = self._groups.slow
        if unit.failed_on:
            # Judged over both groups: one alone may consist of workers where it failed.
            allowed = find_eligible(unit, rooms, self._now)
            rooms = {room.worker.name: room for room in allowed}
        fast_rooms = {name: room for name, room in rooms.items() if name not in slow}
        slow_rooms = {name: room for name, room in rooms.items() if name in slow}
        return fast_rooms, slow_rooms

    def _find_end(self, unit: Unit, rooms: Rooms, factor: float) -> float:
        start = find_earliest_start(unit, rooms, self._durations, self._now)
        return start + factor * self._durations.guess_unit(unit)

    def _should_wait(self, unit: Unit, rooms: Rooms, mixed: bool = False) -> bool:
        """Whether a unit had better wait for fast workers than start elsewhere now."""
        fast_rooms, _ = self._split(unit, rooms)
        if not _could_host(unit, fast_rooms, self._now):
            return False
        end = self._find_end(unit, fast_rooms, 1.0)
        deadline = find_deadline(unit.job, self._durations)
        if unit.job.queue.priority == 0:
            return end <= deadline
        long = self._durations.guess_unit(unit) * self._groups.slow_factor
        if mixed:
            # It holds fast workers for longer than it gains, so only if in need.
            return end <= deadline or self._now + long > deadline
        return end < self._now + long


def _is_patient(unit: Unit) -> bool:
    return unit.size == 1 and unit.job.queue.priority >= PATIENT_PRIORITY


def _could_host(unit: Unit, rooms: Rooms, now: float) -> bool:
    """Whether a group could hold a unit, within its rack if it is bound to one."""
    eligible = find_eligible(unit, rooms, now)
    step = unit.step
    if not step.data_rack and not (step.one_rack and unit.size > 1):
        return could_hold(unit, eligible)
    racks: dict[str, list[Room]] = {}
    for room in eligible:
        racks.setdefault(room.worker.entry.rack, []).append(room)
    if step.data_rack:
        return could_hold(unit, racks.get(step.data_rack, []))
    return any(could_hold(unit, rack) for rack in racks.values())


def make_group_placement(
    fleet_state: FleetState, durations: Durations, speeds: Speeds, now: float
) -> GroupPlacement:
    """Return the placement of one pass; by groups only where there are two."""
    if not use_speed_groups(fleet_state.settings):
        return EvenWorkers(now)
    groups = find_speed_groups(fleet_state, speeds)
    grouped = GroupedDurations(durations, groups)
    return UnevenWorkers(groups, grouped, now)

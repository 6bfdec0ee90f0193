"""Holds room that is being freed for the unit for which work was stopped.

Load: gangs for which work is stopped on several workers, some of which answer late or
not at all for seconds. Harm: room that is already free goes to the next unit, and the
gang waits for the rest as if it were freed soon. The gang starts too late for its
caller, and work is stopped for it a second time. So room freed for a unit is held until
it starts; a stop that stays unanswered no longer counts as room, and work is preferably
stopped where stops are answered.
"""

from collections.abc import Iterable

from primrosestile.decisions.work.crashes import is_isolated
from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.decisions.work.placement import fill, find_eligible
from primrosestile.decisions.work.rooms import Room, Rooms, copy_rooms, take_room
from primrosestile.decisions.work.stop_timing import StopTiming
from primrosestile.decisions.work.units import Member, Unit, Worker

# How long others are preferred to a worker that left a stop unanswered.
LATE_REMEMBERED_SECONDS = 6.0
# Factor on the cost of stopping work on such a worker: if it answers at all, the unit
# for which it is stopped has waited for as long as its own run takes.
LATE_COST_FACTOR = 4.0


def record_stopping(fleet_state: FleetState, now: float) -> None:
    """Record when each run was first to be stopped, and which workers are late."""
    for member in fleet_state.list_stopping():
        if member.stopping_at is None:
            member.stopping_at = now
        elif is_stop_late(member, fleet_state.stop_timing, now):
            fleet_state.workers[member.worker].stop_late_at = now


def begin_stopping(unit: Unit, now: float) -> None:
    """Record that a unit is being stopped from now on."""
    for member in unit.members:
        member.stopping_at = now


def is_stop_late(member: Member, timing: StopTiming, now: float) -> bool:
    """Whether a run has not ended in time after it was to be stopped."""
    since = member.stopping_at
    return since is not None and now - since > timing.late


def find_late_stop_factor(worker: Worker, now: float) -> float:
    """Return the factor on the cost of stopping work on a worker."""
    if now - worker.stop_late_at > LATE_REMEMBERED_SECONDS:
        return 1.0
    return LATE_COST_FACTOR


def add_stopping(fleet_state: FleetState, rooms: Rooms, now: float) -> Rooms:
    """Return the rooms with the runs counted as gone whose stops aren't late."""
    future_rooms = copy_rooms(rooms)
    for member in fleet_state.list_stopping():
        room = future_rooms.get(member.worker)
        if room is None or is_stop_late(member, fleet_state.stop_timing, now):
            continue
        room.take(member.unit.step.need, member.unit.step.best_effort, -1)
    return future_rooms


def hold_freed_room(unit: Unit, workers: Iterable[str], until: float) -> None:
    """Record the workers on which room is being freed for a unit, and until when."""
    unit.freed_workers = tuple(workers)
    unit.freed_until = until


class Holds:
    """Excludes room that was freed for waiting units from a pass's rooms."""

    def __init__(self, room_views: tuple[Rooms, ...], now: float) -> None:
        self._room_views = room_views
        self._now = now
        self._held: dict[int, Unit] = {}

    def hold(self, units: Iterable[Unit]) -> None:
        """Hold the room that was freed for units, unless its time has passed."""
        for unit in units:
            if not unit.freed_workers or id(unit) in self._held:
                continue
            if self._now >= unit.freed_until:
                unit.freed_workers = ()
                continue
            self._held[id(unit)] = unit
            for room in self._list_rooms(unit):
                take_room(unit, room)

    def release(self, units: Iterable[Unit]) -> None:
        """Count the room that is held for units as free again."""
        for unit in units:
            if self._held.pop(id(unit), None) is not None:
                for room in self._list_rooms(unit):
                    _give_room(unit, room)

    def _list_rooms(self, unit: Unit) -> list[Room]:
        return [
            rooms[name]
            for rooms in self._room_views
            for name in unit.freed_workers
            if name in rooms
        ]


def find_freed_workers(
    unit: Unit, future_rooms: Rooms, now: float
) -> list[Worker] | None:
    """Return the workers on which room is freed for a unit, if it will fit there."""
    freed_workers = {
        name: future_rooms[name] for name in unit.freed_workers if name in future_rooms
    }
    return (
        fill(unit, find_eligible(unit, freed_workers, now)) if freed_workers else None
    )


def _give_room(unit: Unit, room: Room) -> None:
    room.take(unit.step.need, unit.step.best_effort, -1)
    if is_isolated(unit):
        room.closed = False
    if unit.step.max_per_worker:
        room.steps[unit.step_key] -= 1

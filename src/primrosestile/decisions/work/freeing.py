"""Room that is being freed: for whom it is held, and how long it is waited for.

Load: gangs for which work is stopped on several workers, some of which answer late or
not at all for seconds. Harm: what is free already is taken by whoever comes next, and
what isn't is waited for as if it came soon. The gang starts too late for its caller,
and work is stopped for it a second time. So what was freed for a unit is held for it
until it starts; a stop that stays unanswered isn't counted as room any more, and work
is rather stopped where stops are answered.
"""

from collections.abc import Iterable

from primrosestile.decisions.work.board import Board
from primrosestile.decisions.work.crashes import is_isolated
from primrosestile.decisions.work.placing import (
    Room,
    Rooms,
    copy_rooms,
    fill,
    find_eligible,
    take_room,
)
from primrosestile.decisions.work.units import Member, Unit, Worker

# A stop is answered within 0.4 s, its end is listed and the next start recorded; one
# that is lost on its way is sent again after 0.45 s.
LATE_STOP_SECONDS = 1.0
# Room is held for a unit no longer, whatever comes between it and its start: a caller
# of urgent work waits for about as long.
HELD_SECONDS = 3.0
# How long a worker that left a stop unanswered is left alone where others will do.
LATE_REMEMBERED_SECONDS = 6.0
# Such a worker's work counts as this much dearer to stop: if it answers at all, the
# unit for which it is stopped has waited for as long as its own run takes.
LATE_COST_FACTOR = 4.0


def note_stopping(board: Board, now: float) -> None:
    """Note since when each run is to end, and which workers leave that unanswered."""
    for member in board.list_stopping():
        if member.stopping_at is None:
            member.stopping_at = now
        elif is_late(member, now):
            board.workers[member.worker].stop_late_at = now


def begin_stopping(unit: Unit, now: float) -> None:
    """Note that a unit is to end from now on."""
    for member in unit.members:
        member.stopping_at = now


def is_late(member: Member, now: float) -> bool:
    """Whether a run should have ended by now, had its worker answered."""
    since = member.stopping_at
    return since is not None and now - since > LATE_STOP_SECONDS


def find_reluctance(worker: Worker, now: float) -> float:
    """Return how much dearer than elsewhere it is to stop something on a worker."""
    if now - worker.stop_late_at > LATE_REMEMBERED_SECONDS:
        return 1.0
    return LATE_COST_FACTOR


def add_stopping(board: Board, rooms: Rooms, now: float) -> Rooms:
    """Return the rooms as they will be once everything that stops in time is gone."""
    soon = copy_rooms(rooms)
    for member in board.list_stopping():
        room = soon.get(member.worker)
        if room is not None and not is_late(member, now):
            room.take(member.unit.step.need, member.unit.step.filling, -1)
    return soon


def hold_freed(unit: Unit, workers: Iterable[str], now: float) -> None:
    """Note on which workers room was freed for a unit."""
    unit.freed = tuple(workers)
    unit.freed_until = now + HELD_SECONDS


class Holds:
    """Keeps what was freed for waiting units out of a pass's rooms."""

    def __init__(self, pictures: tuple[Rooms, ...], now: float) -> None:
        self._pictures = pictures
        self._now = now
        self._held: dict[int, Unit] = {}

    def hold(self, units: Iterable[Unit]) -> None:
        """Hold for those units for which that is not given up."""
        for unit in units:
            if not unit.freed or id(unit) in self._held:
                continue
            if self._now >= unit.freed_until:
                unit.freed = ()
                continue
            self._held[id(unit)] = unit
            for room in self._list_rooms(unit):
                take_room(unit, room)

    def release(self, units: Iterable[Unit]) -> None:
        """Count what is held for some units as free again."""
        for unit in units:
            if self._held.pop(id(unit), None) is not None:
                for room in self._list_rooms(unit):
                    _give_room(unit, room)

    def _list_rooms(self, unit: Unit) -> list[Room]:
        return [
            rooms[name]
            for rooms in self._pictures
            for name in unit.freed
            if name in rooms
        ]


def find_freed(unit: Unit, soon: Rooms, now: float) -> list[Worker] | None:
    """Return the workers that are being freed for a unit, if it will fit there."""
    freed = {name: soon[name] for name in unit.freed if name in soon}
    return fill(unit, find_eligible(unit, freed, now)) if freed else None


def _give_room(unit: Unit, room: Room) -> None:
    room.take(unit.step.need, unit.step.filling, -1)
    if is_isolated(unit):
        room.closed = False
    if unit.step.most_per_worker:
        room.steps[unit.step_key] -= 1

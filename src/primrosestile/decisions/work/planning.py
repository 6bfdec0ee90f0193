"""One pass over all that waits: what starts where, and what is stopped for it."""

from collections.abc import Collection
from dataclasses import dataclass

from primrosestile.decisions.work.board import Board, MemberState, Unit, Worker
from primrosestile.decisions.work.ordering import Rank, find_entitled, rank_unit
from primrosestile.decisions.work.placing import (
    Rooms,
    copy_rooms,
    make_rooms,
    place,
    take_rooms,
)
from primrosestile.decisions.work.preempting import find_eviction

# Units looked at in one pass: at 24 workers a unit that does not fit takes 0.05 ms,
# so a full queue costs a pass a few milliseconds.
LOOK_LIMIT = 200


@dataclass(frozen=True, slots=True)
class Assignment:
    """A unit and a worker for each of its members."""

    unit: Unit
    workers: tuple[Worker, ...]
    rank: Rank


@dataclass(frozen=True, slots=True)
class Plan:
    """What to do now."""

    starts: tuple[Assignment, ...]
    stops: tuple[Unit, ...]


def make_plan(board: Board, now: float) -> Plan:
    """Decide on every waiting unit, the most pressing first."""
    entitled = find_entitled(board)
    ranked = [
        (rank_unit(unit, now, unit.job.job_id in entitled), unit)
        for unit in board.list_waiting(now)
    ]
    ranked.sort(key=lambda pair: pair[0].make_key())
    rooms = make_rooms(board, now)
    soon = _add_stopping(board, rooms)
    starts: list[Assignment] = []
    stops: list[Unit] = []
    hopeless: set[tuple[object, ...]] = set()
    for rank, unit in ranked[:LOOK_LIMIT]:
        likeness = _find_likeness(unit)
        if likeness in hopeless:
            continue
        workers = place(unit, rooms, now)
        if workers is not None:
            starts.append(Assignment(unit, tuple(workers), rank))
            take_rooms(unit, workers, rooms)
            take_rooms(unit, workers, soon)
        elif not rank.urgent:
            hopeless.add(likeness)
        else:
            _make_room(unit, board, rooms, soon, entitled, stops, now)
    return Plan(tuple(starts), tuple(stops))


def _find_likeness(unit: Unit) -> tuple[object, ...]:
    """Return what makes two units of one step alike: if one can't go, none can."""
    return (unit.job.job_id, unit.key.occurrence, unit.key.step, *unit.failed_on)


def _add_stopping(board: Board, rooms: Rooms) -> Rooms:
    """Return the rooms as they will be once everything that stops is gone."""
    soon = copy_rooms(rooms)
    for member in board.list_stopping():
        room = soon.get(member.worker)
        if room is not None and member.state is not MemberState.GONE:
            room.take(member.unit.step.need, member.unit.step.filling, -1)
    return soon


def _make_room(
    unit: Unit,
    board: Board,
    rooms: Rooms,
    soon: Rooms,
    entitled: Collection[str],
    stops: list[Unit],
    now: float,
) -> None:
    """Keep the room that is being freed for a unit, or have more freed."""
    workers = place(unit, soon, now)
    if workers is None:
        eviction = find_eviction(unit, board, soon, entitled, now)
        if eviction is None:
            return
        for victim in eviction.units:
            stops.append(victim)
            board.abandon(victim)
            _give_room(victim, soon)
        workers = place(unit, soon, now)
    if workers is not None:
        take_rooms(unit, workers, soon)
        take_rooms(unit, workers, rooms)


def _give_room(victim: Unit, rooms: Rooms) -> None:
    for member in victim.members:
        room = rooms.get(member.worker)
        if room is not None and member.state is not MemberState.GONE:
            room.take(victim.step.need, victim.step.filling, -1)

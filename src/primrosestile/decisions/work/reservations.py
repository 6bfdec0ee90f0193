"""Reserves room for units that need more than is free anywhere.

Load: gangs that need whole workers of one rack, among a stream of single tasks.
Harm: starvation; a small task takes each accelerator as it becomes free, so no worker
is ever empty and the gang never starts: renders waited for forty seconds although the
fleet was never full. So for a few such units the workers that will be free the soonest
are reserved, and stay reserved: if they were chosen again in each pass, the choice
would change before any of them is empty. Until then, work that ends in time may
backfill them.
"""

import math
from collections.abc import Sequence

from primrosestile.decisions.work.durations import Durations
from primrosestile.decisions.work.placement import (
    count_allowed,
    find_eligible,
    list_avoided,
    list_racks,
    waits_elsewhere,
)
from primrosestile.decisions.work.rooms import Room, Rooms
from primrosestile.decisions.work.units import Member, MemberState, Unit

# Units that have reservations at one time, besides urgent ones. With more, so much room
# stays empty that others wait needlessly.
RESERVED_UNITS = 3
# A reservation that is overdue by this much is replaced: what ran there took longer
# than expected.
OVERDUE_SECONDS = 4.0


def reserve_room(unit: Unit, rooms: Rooms, durations: Durations, now: float) -> bool:
    """Reserve room for a unit; return whether there is any to reserve."""
    if not _is_reservation_valid(unit, rooms, now):
        _make_reservation(unit, rooms, durations, now)
    count_reservation(unit, rooms, now)
    return bool(unit.reserved_workers)


def count_reservation(unit: Unit, rooms: Rooms, now: float) -> None:
    """Subtract a unit's reservation from the rooms."""
    until = max(unit.reserved_until, now)
    for name in unit.reserved_workers:
        if name in rooms:
            rooms[name].reserve(unit.step.need, unit.step.best_effort, 1, until)


def _is_reservation_valid(unit: Unit, rooms: Rooms, now: float) -> bool:
    if not unit.reserved_workers or now > unit.reserved_until + OVERDUE_SECONDS:
        return False
    avoided = list_avoided(unit, now) if waits_elsewhere(unit, now) else ()
    return all(name in rooms and name not in avoided for name in unit.reserved_workers)


def _make_reservation(
    unit: Unit, rooms: Rooms, durations: Durations, now: float
) -> None:
    """Choose the workers on which a unit could start the soonest."""
    unit.reserved_until, unit.reserved_workers = _find_best(unit, rooms, durations, now)


def find_earliest_start(
    unit: Unit, rooms: Rooms, durations: Durations, now: float
) -> float:
    """Return when a unit could start without stopping anything; infinite if never."""
    return _find_best(unit, rooms, durations, now)[0]


def could_start_before(
    unit: Unit, rooms: Rooms, durations: Durations, now: float, latest: float
) -> bool:
    """Whether a unit could start before `latest` without stopping anything."""
    if latest <= now:
        return False
    return _find_best(unit, rooms, durations, now, latest)[0] < latest


def _find_best(
    unit: Unit,
    rooms: Rooms,
    durations: Durations,
    now: float,
    latest: float = math.inf,
) -> tuple[float, tuple[str, ...]]:
    """Return the earliest time before `latest` that a unit could start, and where."""
    best: tuple[float, tuple[str, ...]] = (math.inf, ())
    for group in list_racks(unit, find_eligible(unit, rooms, now)):
        found = _find_in_group(unit, group, durations, now, latest)
        if found is not None and found[0] < best[0]:
            best = found
    return best


def _find_in_group(
    unit: Unit,
    group: Sequence[Room],
    durations: Durations,
    now: float,
    latest: float,
) -> tuple[float, tuple[str, ...]] | None:
    slots: list[tuple[float, str]] = []
    for room in group:
        slots += _list_slots(unit, room, durations, now, latest)
    slots.sort()
    chosen = slots[: unit.size]
    if len(chosen) < unit.size:
        return None
    return chosen[-1][0], tuple(name for _, name in chosen)


def _list_slots(
    unit: Unit, room: Room, durations: Durations, now: float, latest: float
) -> list[tuple[float, str]]:
    """Return when each task that fits on a worker could start there."""
    name = room.worker.entry.worker
    slots = [(now, name)] * count_allowed(unit, room)
    known = len(slots)
    members = []
    for index, member in enumerate(room.worker.members.values()):
        if member.state is MemberState.GONE or member.unit.step.daemon:
            continue
        ends_at = now + durations.guess_left(member, now)
        if ends_at < latest:
            members.append((ends_at, index, member))
    if not members:
        return slots
    trial = room.copy()
    for ends_at, _, member in sorted(members, key=_rank_end):
        step = member.unit.step
        trial.take(step.need, step.best_effort, -1)
        fitting = count_allowed(unit, trial)
        slots += [(ends_at, name)] * max(0, fitting - known)
        known = max(known, fitting)
        if known >= unit.size:
            break
    return slots


def _rank_end(item: tuple[float, int, Member]) -> tuple[float, int]:
    return item[0], item[1]

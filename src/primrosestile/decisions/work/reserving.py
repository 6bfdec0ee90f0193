"""Which room is kept for a unit that needs more than is free anywhere.

Load: gangs that need whole workers of one rack, among a stream of single tasks.
Harm: as soon as an accelerator is free a small task takes it, so no worker is ever
empty and the gang never starts; seen as renders that waited for forty seconds
beside a fleet that was never full. So for a few such units the workers that will
be free the soonest are kept, and stay kept: chosen anew each time, the choice
would move on before any of them is empty. Until then, work that ends in time may
use them.
"""

import math
from collections.abc import Sequence

from primrosestile.decisions.work.durations import Durations
from primrosestile.decisions.work.placing import (
    Room,
    Rooms,
    count_allowed,
    find_eligible,
    list_racks,
)
from primrosestile.decisions.work.units import Member, MemberState, Unit

# Units that are kept room for at one time, besides urgent ones. With more, so much
# room stands empty that others wait for nothing.
RESERVED_UNITS = 3
# A claim that is overdue by this much is given up and made anew: what ran there
# took longer than it should have.
OVERDUE_SECONDS = 4.0


def keep_room(unit: Unit, rooms: Rooms, durations: Durations, now: float) -> bool:
    """Keep room for a unit; return whether there is any to be kept."""
    if not _is_claim_good(unit, rooms, now):
        _make_claim(unit, rooms, durations, now)
    hold_claim(unit, rooms, now)
    return bool(unit.claim)


def hold_claim(unit: Unit, rooms: Rooms, now: float) -> None:
    """Count a unit's claim in."""
    until = max(unit.claimed_until, now)
    for name in unit.claim:
        if name in rooms:
            rooms[name].keep(unit.step.need, unit.step.filling, 1, until)


def _is_claim_good(unit: Unit, rooms: Rooms, now: float) -> bool:
    if not unit.claim or now > unit.claimed_until + OVERDUE_SECONDS:
        return False
    return all(name in rooms and name not in unit.failed_on for name in unit.claim)


def _make_claim(unit: Unit, rooms: Rooms, durations: Durations, now: float) -> None:
    """Choose the workers on which a unit could start the soonest."""
    unit.claimed_until, unit.claim = _find_best(unit, rooms, durations, now)


def could_start_before(
    unit: Unit, rooms: Rooms, durations: Durations, now: float, latest: float
) -> bool:
    """Whether a unit could start by then without anything being stopped for it."""
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
    """Return when a unit could start and where, if that is before the latest."""
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
    """Return when each task that a worker can hold could begin there."""
    name = room.worker.entry.worker
    slots = [(now, name)] * count_allowed(unit, room)
    known = len(slots)
    members = []
    for index, member in enumerate(room.worker.members.values()):
        if member.state is MemberState.GONE or member.unit.step.lasting:
            continue
        ends_at = now + durations.guess_left(member, now)
        if ends_at < latest:
            members.append((ends_at, index, member))
    if not members:
        return slots
    trial = room.copy()
    for ends_at, _, member in sorted(members, key=_rank_end):
        step = member.unit.step
        trial.take(step.need, step.filling, -1)
        fitting = count_allowed(unit, trial)
        slots += [(ends_at, name)] * max(0, fitting - known)
        known = max(known, fitting)
        if known >= unit.size:
            break
    return slots


def _rank_end(item: tuple[float, int, Member]) -> tuple[float, int]:
    return item[0], item[1]

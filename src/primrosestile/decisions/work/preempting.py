"""What is stopped so that urgent work can start.

Load: urgent gangs that arrive while renders and rebuilds hold every accelerator.
Harm: an organisation that does not get its guaranteed accelerators within 2.9 s,
or hours of work thrown away for a quote that could have waited. So within its
guarantee urgent work stops whatever is not within a guarantee itself, the
cheapest first; other work only what has a lower priority and loses little.

Work with checkpoints saves one as it is stopped, so it loses only its restart. A
gang is lost whole with any of its members.
"""

from collections.abc import Collection, Sequence
from dataclasses import dataclass

from primrosestile.decisions.work.board import Board
from primrosestile.decisions.work.placing import (
    Room,
    Rooms,
    count_allowed,
    find_eligible,
    list_racks,
    take_room,
)
from primrosestile.decisions.work.units import Member, MemberState, Unit

# An accelerator's second is worth this many of a core, as operators price them.
CORES_PER_ACCELERATOR = 8
# What stopping work with checkpoints costs: a restart of 0.1 to 0.25 s and the
# gap until it is placed again.
RESTART_SECONDS = 0.5
# Beyond its guarantee urgent work stops nothing that was started less than this
# ago: work that is stopped again and again for others never ends. Seen without it:
# 14 starts of one rebuild within a minute.
SPARED_SECONDS = 2.0
# Work without checkpoints loses all that it did, so only what has just begun may be
# stopped for work that goes before it. Urgent work beyond its guarantee found no
# accelerator before a table of ten seconds had ended, and came too late: quotes
# 0.753, with this 0.819; previews 0.769, with this 0.812. At 8 s quotes gain 0.04
# more, but three times as much work is thrown away (12 drawn days each,
# `scripts/bench site`).
UNSAVED_SECONDS = 3.0
# Urgent work of others goes last: stopping it makes one caller late for another.
URGENT_VICTIM_FACTOR = 10.0


@dataclass(frozen=True, slots=True)
class Eviction:
    """Units to stop, and what that throws away in core-seconds."""

    units: tuple[Unit, ...]
    cost: float


def find_cost(unit: Unit, now: float) -> float:
    """Return the core-seconds that stopping a unit throws away."""
    need = unit.step.need
    cores = need.processor / 1000 + need.accelerators * CORES_PER_ACCELERATOR
    cost = 0.0
    for member in unit.members:
        if member.state is MemberState.GONE:
            continue
        seconds = RESTART_SECONDS
        if not unit.step.checkpoints:
            seconds = max(seconds, now - member.since)
        cost += cores * seconds
    if unit.job.queue.priority == 0:
        cost *= URGENT_VICTIM_FACTOR
    return cost


def may_stop(victim: Unit, gainer: Unit, entitled: Collection[str], now: float) -> bool:
    """Whether a unit may be stopped for another one at all."""
    if victim.abandoned or victim.step.lasting or not victim.members:
        return False
    if victim.job.job_id in entitled:
        return False
    if gainer.job.job_id in entitled:
        return True
    if gainer.step.lasting:
        return victim.job.queue.priority > 0
    if victim.job.queue.priority <= gainer.job.queue.priority:
        return False
    age = now - victim.members[0].since
    if victim.step.checkpoints:
        return age > SPARED_SECONDS
    return age < UNSAVED_SECONDS


def find_eviction(
    unit: Unit,
    board: Board,
    rooms: Rooms,
    entitled: Collection[str],
    now: float,
) -> Eviction | None:
    """Return the cheapest units whose end makes room for a unit, or None."""
    eligible = find_eligible(unit, rooms, now)
    best: Eviction | None = None
    for group in list_racks(unit, eligible):
        found = _evict_in(unit, group, entitled, now)
        if found is not None and (best is None or found.cost < best.cost):
            best = found
    return best


def _evict_in(
    unit: Unit,
    group: Sequence[Room],
    entitled: Collection[str],
    now: float,
) -> Eviction | None:
    """Make room member by member, each time where that costs the least."""
    rooms = {room.worker.name: room.copy() for room in group}
    chosen: dict[int, Unit] = {}
    cost = 0.0
    for _ in range(unit.size):
        option = _find_cheapest(unit, rooms, chosen, entitled, now)
        if option is None:
            return None
        room, victims = option
        for victim in victims:
            chosen[id(victim)] = victim
            cost += find_cost(victim, now)
            give_back(victim, rooms)
        take_room(unit, room)
    return Eviction(tuple(chosen.values()), cost)


def _find_cheapest(
    unit: Unit,
    rooms: Rooms,
    chosen: dict[int, Unit],
    entitled: Collection[str],
    now: float,
) -> tuple[Room, list[Unit]] | None:
    best: tuple[float, Room, list[Unit]] | None = None
    for room in rooms.values():
        if count_allowed(unit, room):
            return room, []
        victims = _pick_victims(unit, room, chosen, entitled, now)
        if victims is None:
            continue
        cost = sum(find_cost(victim, now) for victim in victims)
        if best is None or cost < best[0]:
            best = (cost, room, victims)
    return None if best is None else (best[1], best[2])


def _pick_victims(
    unit: Unit,
    room: Room,
    chosen: dict[int, Unit],
    entitled: Collection[str],
    now: float,
) -> list[Unit] | None:
    """Return the cheapest units on one worker whose end makes room for a member."""
    trial = room.copy()
    options: dict[int, Unit] = {}
    for member in room.worker.members.values():
        victim = member.unit
        if id(victim) in chosen or id(victim) in options:
            continue
        if may_stop(victim, unit, entitled, now):
            options[id(victim)] = victim
    victims = []
    for victim in sorted(options.values(), key=lambda each: find_cost(each, now)):
        victims.append(victim)
        for member in _list_members_on(victim, room):
            trial.take(member.unit.step.need, member.unit.step.filling, -1)
        if count_allowed(unit, trial):
            return victims
    return None


def _list_members_on(victim: Unit, room: Room) -> list[Member]:
    return [
        member
        for member in victim.members
        if member.worker == room.worker.name and member.state is not MemberState.GONE
    ]


def give_back(victim: Unit, rooms: Rooms) -> None:
    """Count what a unit holds as free, as it will be once it has stopped."""
    for room in rooms.values():
        count = len(_list_members_on(victim, room))
        if count:
            room.take(victim.step.need, victim.step.filling, -count)

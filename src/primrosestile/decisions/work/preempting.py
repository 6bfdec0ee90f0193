"""What is stopped so that urgent work can start.

Load: urgent gangs that arrive while renders and rebuilds hold every accelerator.
Harm: an organisation that does not get its guaranteed accelerators within 2.9 s,
or hours of work thrown away for a quote that could have waited. So within its
guarantee urgent work stops whatever is not within a guarantee itself, the
cheapest first; other work only what has a lower priority, and as much as is in
proportion to what it does itself.

Work with checkpoints saves one as it is stopped, so it loses only its restart. A
gang is lost whole with any of its members.
"""

from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass

from primrosestile.decisions.work.freeing import find_reluctance
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
# Nothing that was begun more often than this is stopped, but for guaranteed work: the
# same patient tasks would pay for all others. With it callers of the worst kind of
# job got 0.458 of what was owed, without it 0.392, and all callers 0.717 and 0.646
# (means of two days of one heavy workload, `scripts/bench site`).
SPARED_STARTS = 3
# Work without checkpoints loses all that it did, so usual work stops only what has just
# begun. Rebuilds found too little room before a table of ten seconds had ended: callers
# got 0.740 and 0.757 of what was owed to them, with this 0.803 and 0.788 (12 drawn days
# of each of two heavy workloads, `scripts/bench site`). At 8 s three times as much is
# thrown away.
UNSAVED_SECONDS = 3.0
# For urgent work, unsaved work that is older may be stopped as well, while all of it
# comes to no more than what the urgent work does itself, times this. A gang of four
# whole workers in one rack stood beside four racks on which single unsaved tasks were
# spread, none of them young, for ten seconds, and its caller got nothing. Against the
# bound by age alone: callers got 0.830 for 0.783, 0.803 for 0.784 and 0.896 for 0.883,
# callers with nothing 3.5 for 4.8, 6.1 for 7.7 and 0.8 for 1.2 a day (32 drawn days of
# each heavy workload, `scripts/bench site`). From 1.5 to 3 that is flat; at 3 twice as
# much is thrown away.
URGENT_WASTE_FACTOR = 2.0
# What may be thrown away for work that is not urgent but goes before what is
# stopped: a few restarts, against the hundreds of core-seconds of a gang that would
# come too late for its caller. At 600 as much was served and more thrown away.
USUAL_CORE_SECONDS = 250.0
# Urgent work of others goes last: stopping it makes one caller late for another.
URGENT_VICTIM_FACTOR = 10.0


@dataclass(frozen=True, slots=True)
class Eviction:
    """Units to stop, and what that throws away in core-seconds.

    Attributes:
        aged: Some of them have run for long and save nothing.
    """

    units: tuple[Unit, ...]
    cost: float
    aged: bool = False


def count_cores(unit: Unit) -> float:
    """Return what one member of a unit takes, an accelerator as so many cores."""
    need = unit.step.need
    return need.processor / 1000 + need.accelerators * CORES_PER_ACCELERATOR


def find_cost(unit: Unit, now: float) -> float:
    """Return the core-seconds that stopping a unit throws away."""
    cores = count_cores(unit)
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


def find_work(unit: Unit, seconds: float) -> float:
    """Return the core-seconds that a unit itself takes.

    Args:
        unit: To be started.
        seconds: How long its run is expected to take.
    """
    return unit.size * count_cores(unit) * seconds


def is_affordable(
    eviction: Eviction, gainer: Unit, entitled: bool, seconds: float
) -> bool:
    """Whether a unit is worth what would be thrown away for it.

    Guaranteed work and services have their room whatever that costs.

    Args:
        eviction: What would be stopped.
        gainer: For whom.
        entitled: Whether it is within its organisation's guarantee.
        seconds: How long its run is expected to take.
    """
    if entitled or gainer.step.lasting:
        return True
    if gainer.job.queue.priority > 0:
        return eviction.cost <= USUAL_CORE_SECONDS
    if not eviction.aged:
        return True
    return eviction.cost <= URGENT_WASTE_FACTOR * find_work(gainer, seconds)


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
    if victim.run > SPARED_STARTS:
        return False
    if victim.step.checkpoints:
        return now - victim.members[0].since > SPARED_SECONDS
    return gainer.job.queue.priority == 0 or not is_aged(victim, now)


def is_aged(victim: Unit, now: float) -> bool:
    """Whether a unit has run for long and saves nothing."""
    if victim.step.checkpoints or not victim.members:
        return False
    return now - victim.members[0].since >= UNSAVED_SECONDS


@dataclass(frozen=True, slots=True)
class _Candidate:
    """A unit that may be stopped, as seen from one worker.

    Attributes:
        count: Members of it on that worker.
    """

    unit: Unit
    cost: float
    count: int


@dataclass(frozen=True, slots=True)
class _Offer:
    """What makes room for one member on one worker."""

    cost: float
    victims: tuple[Unit, ...]


class Evictions:
    """Finds what to stop within one pass.

    With 176 workers a pass looks at tens of waiting units, each of which could have
    room made on any of the workers. What may be stopped on a worker, and at which
    cost, depends on the gainer's rank only, so it is found once for all of them.
    """

    def __init__(
        self,
        entitled: Collection[str],
        now: float,
        permission: Callable[[Unit, Unit, Collection[str], float], bool],
    ) -> None:
        self._permission = permission
        self._entitled = entitled
        self.now = now
        self._candidates: dict[tuple[str, bool, int, bool], list[_Candidate]] = {}

    def find(self, unit: Unit, rooms: Rooms) -> Eviction | None:
        """Return the cheapest units whose end makes room for a unit, or None."""
        best: Eviction | None = None
        for group in list_racks(unit, find_eligible(unit, rooms, self.now)):
            found = _Search(self, unit, group).run()
            if found is not None and (best is None or found.cost < best.cost):
                best = found
        return best

    def list_candidates(self, gainer: Unit, room: Room) -> list[_Candidate]:
        """Return what may be stopped on a worker for a unit, the cheapest first."""
        key = (
            room.worker.name,
            gainer.job.job_id in self._entitled,
            gainer.job.queue.priority,
            gainer.step.lasting,
        )
        known = self._candidates.get(key)
        if known is None:
            known = self._candidates[key] = self._make_candidates(gainer, room)
        return known

    def _make_candidates(self, gainer: Unit, room: Room) -> list[_Candidate]:
        found: dict[int, _Candidate] = {}
        for member in room.worker.members.values():
            victim = member.unit
            if id(victim) in found:
                continue
            if self._permission(victim, gainer, self._entitled, self.now):
                count = len(_list_members_on(victim, room))
                cost = find_cost(victim, self.now)
                cost *= find_reluctance(room.worker, self.now)
                found[id(victim)] = _Candidate(victim, cost, count)
        return sorted(found.values(), key=lambda each: each.cost)


class _Search:
    """Makes room for one unit among some workers, where that costs the least."""

    def __init__(self, evictions: Evictions, unit: Unit, group: Sequence[Room]) -> None:
        self._evictions = evictions
        self._unit = unit
        self._rooms = {room.worker.name: room for room in group}
        self._changed: set[str] = set()
        self._chosen: dict[int, Unit] = {}

    def run(self) -> Eviction | None:
        """Return what to stop for all members, or None."""
        offers = {name: self._make_offer(room) for name, room in self._rooms.items()}
        cost = 0.0
        for _ in range(self._unit.size):
            name, offer = _find_cheapest(offers)
            if offer is None:
                return None
            cost += offer.cost
            touched = {name}
            for victim in offer.victims:
                touched |= self._stop(victim)
            take_room(self._unit, self._own(name))
            for each in touched:
                offers[each] = self._make_offer(self._rooms[each])
        chosen = tuple(self._chosen.values())
        aged = any(is_aged(each, self._evictions.now) for each in chosen)
        return Eviction(chosen, cost, aged)

    def _own(self, name: str) -> Room:
        """Return a room that may be changed; the caller's stays as it is."""
        if name not in self._changed:
            self._changed.add(name)
            self._rooms[name] = self._rooms[name].copy()
        return self._rooms[name]

    def _stop(self, victim: Unit) -> set[str]:
        """Count a unit as stopped; return the workers that it leaves."""
        self._chosen[id(victim)] = victim
        touched = {member.worker for member in victim.members} & self._rooms.keys()
        give_back(victim, {name: self._own(name) for name in touched})
        return touched

    def _make_offer(self, room: Room) -> _Offer | None:
        """Return the cheapest units whose end makes room for a member, or None."""
        unit = self._unit
        step = unit.step
        if count_allowed(unit, room):
            return _Offer(0.0, ())
        there = room.steps.get(unit.step_key, 0)
        if step.most_per_worker and there >= step.most_per_worker:
            return None
        need = step.need
        processor = room.processor
        memory = room.memory
        accelerators = room.accelerators
        cost = 0.0
        victims = []
        for each in self._evictions.list_candidates(unit, room):
            if each.unit.abandoned or id(each.unit) in self._chosen:
                continue
            freed = each.unit.step.need
            if not each.unit.step.filling:
                processor += freed.processor * each.count
            memory += freed.memory * each.count
            accelerators += freed.accelerators * each.count
            cost += each.cost
            victims.append(each.unit)
            enough = memory >= need.memory and accelerators >= need.accelerators
            if enough and (step.filling or processor >= need.processor):
                return _Offer(cost, tuple(victims))
        return None


def _find_cheapest(
    offers: Mapping[str, _Offer | None],
) -> tuple[str, _Offer | None]:
    best: tuple[str, _Offer | None] = ("", None)
    for name, offer in offers.items():
        if offer is None:
            continue
        if not offer.cost:
            return name, offer
        if best[1] is None or offer.cost < best[1].cost:
            best = (name, offer)
    return best


def _list_members_on(victim: Unit, room: Room) -> list[Member]:
    return [
        member
        for member in victim.members
        if member.worker == room.worker.name and member.state is not MemberState.GONE
    ]


def give_back(victim: Unit, rooms: Rooms) -> None:
    """Count what a unit holds as free, as it will be once it has stopped."""
    step = victim.step
    for member in victim.members:
        room = rooms.get(member.worker)
        if room is not None and member.state is not MemberState.GONE:
            room.take(step.need, step.filling, -1)

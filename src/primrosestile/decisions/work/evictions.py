"""Finds the workers on which a unit gets room, and what is stopped there.

Load: tens of waiting units in one pass, each of which could get room on any of
hundreds of workers. Harm: a long pass delays the owner's renewals of worker leases and
its answers to callers, so starts come late. What may be stopped on a worker, and at
which cost, depends on few properties of the gainer (the unit that gets the room), so it
is computed once for all units alike; sums rule out workers that can't free enough.
"""

import math
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass

from primrosestile.decisions.work.held_room import find_late_stop_factor
from primrosestile.decisions.work.placement import (
    count_allowed,
    find_eligible,
    list_racks,
)
from primrosestile.decisions.work.preemption import Eviction, compute_cost, is_aged
from primrosestile.decisions.work.rooms import Room, Rooms, take_room
from primrosestile.decisions.work.units import MemberState, Unit
from primrosestile.state.work import Need


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
class _Candidates:
    """What may be stopped on one worker, the cheapest first.

    Attributes:
        memory, accelerators: What stopping all of them would free.
    """

    in_order: tuple[_Candidate, ...]
    memory: int
    accelerators: int


@dataclass(frozen=True, slots=True)
class _Offer:
    """The units to stop to make room for one member on one worker."""

    cost: float
    victims: tuple[Unit, ...]


# Need, whether it is best-effort, whether it is a daemon, priority, whether entitled.
_OfferKey = tuple[Need, bool, bool, int, bool]
# Free processor, memory and accelerators.
_Figures = tuple[int, int, int]


class Evictions:
    """Finds what to stop within one pass.

    With 176 workers a pass examines tens of waiting units, each of which could get
    room on any of the workers. What may be stopped on a worker, and at which cost,
    depends only on the gainer's priority, entitlement and whether it is a daemon, so
    it is computed once for all gainers that agree in these.
    """

    def __init__(
        self,
        entitled: Collection[str],
        now: float,
        permission: Callable[[Unit, Unit, Collection[str], float], bool],
        stop_cost: Callable[[Unit, float], float] = compute_cost,
    ) -> None:
        self._permission = permission
        self._stop_cost = stop_cost
        self._entitled = entitled
        self.now = now
        self._candidates: dict[tuple[bool, int, bool], dict[str, _Candidates]] = {}
        self._victims: dict[str, list[_Candidate]] = {}
        self._costs: dict[Unit, float] = {}
        # Offers by worker, each valid while the worker's free figures are unchanged.
        self._offers: dict[_OfferKey, dict[str, tuple[_Figures, _Offer | None]]] = {}

    def drop_offers(self, units: Iterable[Unit]) -> None:
        """Drop the cached offers of the workers on which units were stopped."""
        names = {member.worker for unit in units for member in unit.members}
        for offers in self._offers.values():
            for name in names:
                offers.pop(name, None)

    def find(self, unit: Unit, rooms: Rooms) -> Eviction | None:
        """Return the cheapest units whose end makes room for a unit, or None."""
        best: Eviction | None = None
        for group in list_racks(unit, find_eligible(unit, rooms, self.now)):
            limit = math.inf if best is None else best.cost
            found = _Search(self, unit, group).run(limit)
            if found is not None and found.cost < limit:
                best = found
        return best

    def list_offers(self, search: "_Search") -> dict[str, "_Offer | None"]:
        """Return the first offer of each room of a search.

        Cached: most waiting units are like one examined before in the same pass.
        """
        unit = search.unit
        step = unit.step
        if step.max_per_worker:
            return {
                name: search.make_offer(room) for name, room in search.rooms.items()
            }
        key = (
            step.need,
            step.best_effort,
            step.daemon,
            unit.job.queue.priority,
            unit.job.job_id in self._entitled,
        )
        known = self._offers.setdefault(key, {})
        offers = {}
        for name, room in search.rooms.items():
            figures = (room.processor, room.memory, room.accelerators)
            before = known.get(name)
            if before is None or before[0] != figures:
                before = known[name] = (figures, search.make_offer(room))
            offers[name] = before[1]
        return offers

    def find_candidates(self, gainer: Unit) -> dict[str, _Candidates]:
        """Return the cached candidates for a unit, by worker."""
        key = (
            gainer.job.job_id in self._entitled,
            gainer.job.queue.priority,
            gainer.step.daemon,
        )
        return self._candidates.setdefault(key, {})

    def list_candidates(
        self, gainer: Unit, room: Room, known: dict[str, _Candidates]
    ) -> _Candidates:
        """Return what may be stopped on a worker for a unit, the cheapest first."""
        name = room.worker.entry.worker
        found = known.get(name)
        if found is None:
            found = known[name] = self._make_candidates(gainer, room)
        return found

    def _make_candidates(self, gainer: Unit, room: Room) -> _Candidates:
        found = []
        memory = 0
        accelerators = 0
        for each in self._list_victims(room):
            if self._permission(each.unit, gainer, self._entitled, self.now):
                found.append(each)
                need = each.unit.step.need
                memory += need.memory * each.count
                accelerators += need.accelerators * each.count
        return _Candidates(tuple(found), memory, accelerators)

    def _list_victims(self, room: Room) -> list[_Candidate]:
        """Return all units on a worker, the cheapest to stop first."""
        worker = room.worker
        name = worker.entry.worker
        known = self._victims.get(name)
        if known is not None:
            return known
        counts: dict[Unit, int] = {}
        for member in worker.members.values():
            counts[member.unit] = counts.get(member.unit, 0) + 1
        late_stop_factor = find_late_stop_factor(worker, self.now)
        victims = [
            _Candidate(unit, self._compute_cost(unit) * late_stop_factor, count)
            for unit, count in counts.items()
        ]
        victims.sort(key=_get_cost)
        self._victims[name] = victims
        return victims

    def _compute_cost(self, unit: Unit) -> float:
        """Return the cost of a unit, cached for all workers that it is on."""
        cost = self._costs.get(unit)
        if cost is None:
            cost = self._costs[unit] = self._stop_cost(unit, self.now)
        return cost


def _get_cost(candidate: _Candidate) -> float:
    return candidate.cost


class _Search:
    """Finds room for one unit on a group of workers at the lowest cost."""

    def __init__(self, evictions: Evictions, unit: Unit, group: Sequence[Room]) -> None:
        self._evictions = evictions
        self.unit = unit
        self.rooms = {room.worker.name: room for room in group}
        self._changed: set[str] = set()
        self._chosen: dict[int, Unit] = {}
        self._candidates = evictions.find_candidates(unit)

    def run(self, limit: float) -> Eviction | None:
        """Return what to stop for all members at a cost below the limit, or None."""
        offers = self._evictions.list_offers(self)
        cost = 0.0
        for _ in range(self.unit.size):
            name, offer = _find_cheapest(offers)
            if offer is None:
                return None
            cost += offer.cost
            if cost >= limit:
                return None
            touched = {name}
            for victim in offer.victims:
                touched |= self._stop(victim)
            take_room(self.unit, self._copy_room(name))
            for each in touched:
                offers[each] = self.make_offer(self.rooms[each])
        chosen = tuple(self._chosen.values())
        aged = any(is_aged(each, self._evictions.now) for each in chosen)
        return Eviction(chosen, cost, aged)

    def _copy_room(self, name: str) -> Room:
        """Return a copy of a room that may be changed; the caller's is not changed."""
        if name not in self._changed:
            self._changed.add(name)
            self.rooms[name] = self.rooms[name].copy()
        return self.rooms[name]

    def _stop(self, victim: Unit) -> set[str]:
        """Count a unit as stopped; return the workers on which that frees room."""
        self._chosen[id(victim)] = victim
        touched = {member.worker for member in victim.members} & self.rooms.keys()
        give_back(victim, {name: self._copy_room(name) for name in touched})
        return touched

    def make_offer(self, room: Room) -> _Offer | None:
        """Return the cheapest units whose end makes room for a member, or None."""
        unit = self.unit
        step = unit.step
        lacking = room.accelerators < step.need.accelerators > 0
        if not lacking and count_allowed(unit, room):
            return _Offer(0.0, ())
        there = room.steps.get(unit.step_key, 0)
        if step.max_per_worker and there >= step.max_per_worker:
            return None
        need = step.need
        processor = room.processor
        memory = room.memory
        accelerators = room.accelerators
        cost = 0.0
        victims = []
        found = self._evictions.list_candidates(unit, room, self._candidates)
        if (
            memory + found.memory < need.memory
            or accelerators + found.accelerators < need.accelerators
        ):
            # Stopping all of them would not free enough.
            return None
        for each in found.in_order:
            if each.unit.abandoned or id(each.unit) in self._chosen:
                continue
            freed = each.unit.step.need
            if not each.unit.step.best_effort:
                processor += freed.processor * each.count
            memory += freed.memory * each.count
            accelerators += freed.accelerators * each.count
            cost += each.cost
            victims.append(each.unit)
            enough = memory >= need.memory and accelerators >= need.accelerators
            if enough and (step.best_effort or processor >= need.processor):
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


def give_back(victim: Unit, rooms: Rooms) -> None:
    """Count what a unit uses as free, as it will be once it has stopped."""
    step = victim.step
    for member in victim.members:
        room = rooms.get(member.worker)
        if room is not None and member.state is not MemberState.GONE:
            room.take(step.need, step.best_effort, -1)

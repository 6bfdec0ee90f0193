"""Where a gang goes: a place, a place to be reclaimed, a wait, or never.

Made for a cell of up to 1,024 workers that is full most of the time. The harm it
prevents is a guarantee that exists in number only: before work that cannot be
stopped is given a place, every promise of the cell must still have a room.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from primrosestile.decisions.backfill import order_demands
from primrosestile.decisions.cell import CellView, Demand
from primrosestile.decisions.placement_rooms import (
    Place,
    fits_empty,
    list_free,
    list_places,
    make_members,
)
from primrosestile.decisions.reclaim import (
    PLACE_LIMIT,
    Opening,
    is_entitled,
    list_openings,
    list_victim_tiers,
)
from primrosestile.state.jobs import Member, ReasonCode
from primrosestile.state.tenancy import Policy, Urgency

__all__ = [
    "Decision",
    "NeverFits",
    "Placed",
    "Reclaim",
    "Waits",
    "decide_placement",
    "order_demands",
]

# Seconds until a waiting job is worth looking at again when nothing changed.
# Releases wake the queue at once; this only bounds a missed wake-up.
RETRY_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class Placed:
    """Start it there; all of it is free."""

    members: tuple[Member, ...]
    reason: ReasonCode
    detail: str


@dataclass(frozen=True, slots=True)
class Reclaim:
    """Stop the victims, in this order, then start it there.

    Attributes:
        victims: Job ids; each may be stopped and run again.
        members: Free accelerators and the victims'.
    """

    victims: tuple[str, ...]
    members: tuple[Member, ...]
    reason: ReasonCode
    detail: str


@dataclass(frozen=True, slots=True)
class Waits:
    """No place now.

    Attributes:
        retry_after: Seconds.
    """

    reason: ReasonCode
    detail: str
    retry_after: float


@dataclass(frozen=True, slots=True)
class NeverFits:
    """The cell could not hold it even when empty."""

    detail: str


Decision = Placed | Reclaim | Waits | NeverFits


def decide_placement(
    view: CellView, demand: Demand, policy: Policy, now: float
) -> Decision:
    """Decide about one waiting job.

    Args:
        view: The cell; it is not changed.
        demand: The job.
        policy: How completion time and fragmentation weigh.
        now: Seconds, on the clock of the holdings.
    """
    if not fits_empty(view, demand.shape):
        return NeverFits(f"{_word(demand)} is more than the empty cell can hold")
    entitled = is_entitled(view, demand)
    place = _find_free(view, demand, policy)
    if place is not None:
        members = make_members(view, place)
        if entitled:
            return Placed(members, ReasonCode.PLACED_IN_GUARANTEE, _word(demand))
        return Placed(members, ReasonCode.PLACED_BORROWING, _word(demand))
    reclaim = _find_reclaim(view, demand, entitled, now)
    if reclaim is not None:
        return reclaim
    return _wait(view, demand, entitled)


def _find_free(view: CellView, demand: Demand, policy: Policy) -> Place | None:
    free = list_free(view)
    places = list_places(
        view.layout,
        free,
        demand.shape,
        lambda worker, _: float(free[worker]),
        PLACE_LIMIT,
    )
    for _, place in places:
        if keeps_promises(view, demand, place):
            return place
    if demand.evictable:
        return None
    for place in _list_own_rooms(view, demand):
        if all(free[worker] >= count for worker, count in place.items()):
            return place
    return None


def keeps_promises(view: CellView, demand: Demand, place: Place) -> bool:
    """Whether every promise still has a room when the job is there for good."""
    if demand.evictable:
        return True
    return view.find_charge(demand.organisation, place) is not None


def _list_own_rooms(view: CellView, demand: Demand) -> Iterator[Place]:
    """Yield a place within each room of the organisation's own units."""
    rooms = view.read_rooms()
    if rooms is None:
        return
    for unit in view.find_units(demand.organisation):
        counts = [rooms[unit].get(each, 0) for each in range(len(view.workers))]
        for _, place in list_places(
            view.layout, counts, demand.shape, lambda *_: 0.0, 1
        ):
            yield place


def _find_reclaim(
    view: CellView, demand: Demand, entitled: bool, now: float
) -> Reclaim | None:
    tiers = list(list_victim_tiers(view, demand, entitled))
    for opening in list_openings(view, tiers, now):
        place = _find_place_to_open(view, demand, opening)
        if place is None:
            continue
        victims = opening.choose_victims(place)
        members = make_members(view, place, victims)
        detail = f"{_word(demand)} takes back the place of {len(victims)} job(s)"
        reason = ReasonCode.PLACED_IN_GUARANTEE if entitled else ReasonCode.PLACED
        return Reclaim(victims, members, reason, detail)
    return None


def _find_place_to_open(
    view: CellView, demand: Demand, opening: Opening
) -> Place | None:
    for _, place in opening.list_places(demand, PLACE_LIMIT):
        if keeps_promises(view, demand, place):
            return place
    if demand.evictable:
        return None
    for place in _list_own_rooms(view, demand):
        if all(opening.counts[worker] >= count for worker, count in place.items()):
            return place
    return None


def _wait(view: CellView, demand: Demand, entitled: bool) -> Waits:
    free = sum(list_free(view))
    detail = f"{_word(demand)} finds no place among {free} free accelerators"
    if view.read_rooms() is None and not demand.evictable:
        detail += "; guarantees of this cell lack room until workers return"
        return Waits(ReasonCode.WAITS_FOR_GUARANTEE, detail, RETRY_SECONDS)
    fits = list_places(view.layout, list_free(view), demand.shape, lambda *_: 0.0, 1)
    if fits and not demand.evictable:
        detail += "; it cannot be stopped, and what is free is promised to others"
        return Waits(ReasonCode.WAITS_FOR_GUARANTEE, detail, RETRY_SECONDS)
    if entitled:
        detail += "; its guarantee is in use by work that cannot be stopped"
    elif demand.urgency is Urgency.PATIENT:
        detail += "; it waits for work to end"
    return Waits(ReasonCode.WAITS_FOR_ROOM, detail, RETRY_SECONDS)


def _word(demand: Demand) -> str:
    shape = demand.shape
    return f"{shape.accelerators} accelerators ({shape.adjacency.value})"

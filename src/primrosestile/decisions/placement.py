"""Where a gang goes: a place, a place to be reclaimed, a wait, or never.

Made for a cell of up to 1,024 workers that is full most of the time. The harm it
prevents is a guarantee that exists in number only: before work that cannot be
stopped is given a place, every promise of the cell must still have a room.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from primrosestile.decisions.backfill import list_open, order_demands
from primrosestile.decisions.cell import CellView, Demand
from primrosestile.decisions.cell_charges import Pinned
from primrosestile.decisions.placement_rooms import (
    Place,
    fits_empty,
    list_free,
    list_places,
    make_members,
)
from primrosestile.decisions.placement_score import make_price
from primrosestile.decisions.reclaim import (
    PLACE_LIMIT,
    THOROUGH_LIMIT,
    Opening,
    is_entitled,
    list_tiers,
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
Units = Sequence[int | None]


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
    options = view.rooms.list_charges(demand.organisation, demand.shape)
    # To take back the room of the very shape goes before breaking into a larger
    # unit of the same organisation, which it may ask for next.
    for units in (options.preferred, options.every):
        place = _find_free(view, demand, policy, now, units)
        if place is not None:
            return _make_placed(view, demand, entitled, place)
        reclaim = _find_reclaim(view, demand, entitled, now, units)
        if reclaim is not None:
            return reclaim
        if not options.others:
            break
    return _wait(view, demand, entitled)


def _make_placed(
    view: CellView, demand: Demand, entitled: bool, place: Place
) -> Placed:
    reason = ReasonCode.PLACED_BORROWING
    if entitled:
        reason = ReasonCode.PLACED_IN_GUARANTEE
    return Placed(make_members(view, place), reason, _word(demand))


def _find_free(
    view: CellView, demand: Demand, policy: Policy, now: float, units: Units
) -> Place | None:
    """Find the free place that leaves the cell in the best state.

    Made for a cell in which small and large work comes and goes all day. The
    harm it prevents is free capacity in crumbs, which no render can use. Only
    the best few places are examined, see `PLACE_LIMIT`.
    """
    free = list_open(view, demand, now)
    price = make_price(view, demand, policy)
    places = list_places(view.layout, free, demand.shape, price, PLACE_LIMIT)
    if demand.evictable:
        return places[0][1] if places else None
    place = _find_keeping(view, demand, places, units)
    if place is not None:
        return place
    return _find_in_own_rooms(view, demand, free, units)


def _find_keeping(
    view: CellView,
    demand: Demand,
    places: Sequence[tuple[float, Place]],
    units: Units,
) -> Place | None:
    """Find the first place with which every promise still has a room.

    Counted as if the job could not be stopped there.
    """
    for rank, (_, place) in enumerate(places):
        work = Pinned(demand.organisation, demand.shape, place)
        thorough = rank < THOROUGH_LIMIT
        if view.rooms.find_charge(work, units, thorough) is not None:
            return place
    return None


def _find_in_own_rooms(
    view: CellView, demand: Demand, counts: Sequence[int], units: Units
) -> Place | None:
    """Find a place inside the room of one of the organisation's own units."""
    rooms = view.rooms.read()
    # While a worker is away, rooms lie elsewhere than they will on its return:
    # what cannot be stopped could be in the way of another promise by then.
    must_check = bool(view.rooms.lost) and not demand.evictable
    for unit in units:
        if unit is None:
            continue
        inside = [0] * len(counts)
        for worker, count in rooms[unit].items():
            inside[worker] = min(count, counts[worker])
        places = list_places(view.layout, inside, demand.shape, lambda *_: 0.0, 1)
        if places and (not must_check or _find_keeping(view, demand, places, units)):
            return places[0][1]
    return None


def _find_reclaim(
    view: CellView, demand: Demand, entitled: bool, now: float, units: Units
) -> Reclaim | None:
    """Find the place whose opening loses the least work.

    Made for a cell that is lent out to the last accelerator. The harm it
    prevents is an organisation that waits for what it was promised: it gets
    this answer at once, and only the stopping takes time.
    """
    before: frozenset[str] | None = None
    for tier in list_tiers(view, demand, entitled):
        if tier.victims == before and not tier.in_own_rooms:
            continue
        before = tier.victims
        opening = Opening(view, tier.victims, now)
        if sum(opening.counts) < demand.shape.accelerators:
            continue
        place = None
        # Also a job that may be stopped must keep the promises here: until it is
        # there, nobody can stop it.
        if not tier.in_own_rooms:
            places = opening.list_places(demand, PLACE_LIMIT)
            place = _find_keeping(view, demand, places, units)
        if place is None:
            place = _find_in_own_rooms(view, demand, opening.counts, units)
        if place is not None:
            return _make_reclaim(view, demand, entitled, opening, place)
    return None


def _make_reclaim(
    view: CellView, demand: Demand, entitled: bool, opening: Opening, place: Place
) -> Reclaim:
    victims = opening.choose_victims(place)
    members = make_members(view, place, victims)
    reason = ReasonCode.PLACED_IN_GUARANTEE if entitled else ReasonCode.PLACED
    lost = opening.measure_lost(victims)
    detail = f"{_word(demand)} in place of {len(victims)} job(s)"
    detail += f" that lose {lost:.0f} accelerator seconds"
    return Reclaim(victims, members, reason, detail)


def _wait(view: CellView, demand: Demand, entitled: bool) -> Waits:
    free = list_free(view)
    detail = f"{_word(demand)} finds no place among {sum(free)} free accelerators"
    if view.rooms.lost and not demand.evictable:
        detail += "; promised shapes of this cell lack room until workers return"
        return Waits(ReasonCode.WAITS_FOR_GUARANTEE, detail, RETRY_SECONDS)
    fits = list_places(view.layout, free, demand.shape, lambda *_: 0.0, 1)
    if fits and view.reservation is not None and demand.evictable:
        detail += f"; they are reserved for {view.reservation.job_id}"
    elif fits:
        detail += "; it cannot be stopped, and what is free is promised to others"
        return Waits(ReasonCode.WAITS_FOR_GUARANTEE, detail, RETRY_SECONDS)
    elif entitled:
        detail += "; its guarantee is in use by work that cannot be stopped"
    elif demand.urgency is Urgency.PATIENT:
        detail += "; it waits for work to end"
    return Waits(ReasonCode.WAITS_FOR_ROOM, detail, RETRY_SECONDS)


def _word(demand: Demand) -> str:
    shape = demand.shape
    return f"{shape.accelerators} accelerators ({shape.adjacency.value})"

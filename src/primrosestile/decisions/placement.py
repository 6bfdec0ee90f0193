"""Decision about one gang job: place, reclaim a place, wait, or refuse.

Designed for a cell of up to 1,024 workers that is full most of the time. A guarantee
must be available in shape, not only in number: before a non-preemptible job is placed,
every guaranteed shape of the cell must still have an allocation.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from primrosestile.decisions.backfill import list_startable, order_demands
from primrosestile.decisions.cell import CellView, Demand
from primrosestile.decisions.cell_charges import Pinned
from primrosestile.decisions.placement_candidates import (
    Place,
    fits_empty,
    list_free,
    list_places,
    make_members,
)
from primrosestile.decisions.placement_score import make_price
from primrosestile.decisions.reclaim import (
    FULL_SEARCH_LIMIT,
    PLACE_LIMIT,
    VictimSelector,
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

# Seconds until a waiting job is decided about again when nothing has changed. A release
# triggers a new pass at once; this only bounds the delay after a missed trigger.
RETRY_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class Placed:
    """The job starts on these members; all of them are free."""

    members: tuple[Member, ...]
    reason: ReasonCode
    detail: str


@dataclass(frozen=True, slots=True)
class Reclaim:
    """The victims are stopped, in this order; then the job starts on these members.

    Attributes:
        victims: Ids of preemptible jobs.
        members: Free accelerators and accelerators of the victims.
    """

    victims: tuple[str, ...]
    members: tuple[Member, ...]
    reason: ReasonCode
    detail: str


@dataclass(frozen=True, slots=True)
class Waits:
    """The job has no place now.

    Attributes:
        retry_after: Seconds.
    """

    reason: ReasonCode
    detail: str
    retry_after: float


@dataclass(frozen=True, slots=True)
class NeverFits:
    """The job would not fit into the empty cell."""

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
        policy: Weights of completion time and fragmentation.
        now: Seconds, on the clock of the holdings.
    """
    if not fits_empty(view, demand.shape):
        return NeverFits(
            f"{_describe_shape(demand)} is more than the empty cell can hold"
        )
    entitled = is_entitled(view, demand)
    options = view.allocations.list_charges(demand.organisation, demand.shape)
    # Reclaiming the allocation of a unit of this shape is preferred to using part of a
    # larger unit, which the same organisation may need next.
    for units in (options.preferred, options.every):
        place = _find_free(view, demand, policy, now, units)
        if place is not None:
            return _make_placed(view, demand, entitled, place)
        reclaim = _find_reclaim(view, demand, entitled, now, units)
        if reclaim is not None:
            return reclaim
        if not options.others:
            break
    return _make_waits(view, demand, entitled)


def _make_placed(
    view: CellView, demand: Demand, entitled: bool, place: Place
) -> Placed:
    reason = ReasonCode.PLACED_BORROWING
    if entitled:
        reason = ReasonCode.PLACED_IN_GUARANTEE
    return Placed(make_members(view, place), reason, _describe_shape(demand))


def _find_free(
    view: CellView, demand: Demand, policy: Policy, now: float, units: Units
) -> Place | None:
    """Find the cheapest free place that keeps all guarantees.

    With small and large jobs arriving all day, a poor choice scatters the free
    accelerators until no large job fits. Only the cheapest few places are examined, see
    `PLACE_LIMIT`.
    """
    free = list_startable(view, demand, now)
    price = make_price(view, demand, policy)
    places = list_places(view.layout, free, demand.shape, price, PLACE_LIMIT)
    if demand.evictable:
        return places[0][1] if places else None
    place = _find_feasible(view, demand, places, units)
    if place is not None:
        return place
    return _find_in_own_allocations(view, demand, free, units)


def _find_feasible(
    view: CellView,
    demand: Demand,
    places: Sequence[tuple[float, Place]],
    units: Units,
) -> Place | None:
    """Find the first place with which every guaranteed shape keeps an allocation.

    The job is treated as non-preemptible.
    """
    for rank, (_, place) in enumerate(places):
        work = Pinned(demand.organisation, demand.shape, place)
        full_search = rank < FULL_SEARCH_LIMIT
        if view.allocations.find_charge(work, units, full_search) is not None:
            return place
    return None


def _find_in_own_allocations(
    view: CellView, demand: Demand, counts: Sequence[int], units: Units
) -> Place | None:
    """Find a place inside the allocation of one of the organisation's own units."""
    allocations = view.allocations.read()
    # While a worker is unusable, allocations lie elsewhere than after its return: a
    # non-preemptible job could then block another guarantee.
    must_check = bool(view.allocations.lost) and not demand.evictable
    for unit in units:
        if unit is None:
            continue
        inside = [0] * len(counts)
        for worker, count in allocations[unit].items():
            inside[worker] = min(count, counts[worker])
        places = list_places(view.layout, inside, demand.shape, lambda *_: 0.0, 1)
        if places and (not must_check or _find_feasible(view, demand, places, units)):
            return places[0][1]
    return None


def _find_reclaim(
    view: CellView, demand: Demand, entitled: bool, now: float, units: Units
) -> Reclaim | None:
    """Find the place whose reclaim loses the least work.

    Even in a cell that is lent out completely, an organisation gets this answer for its
    guarantee at once; only stopping the victims takes time.
    """
    before: frozenset[str] | None = None
    for tier in list_tiers(view, demand, entitled):
        if tier.victims == before and not tier.in_own_allocations:
            continue
        before = tier.victims
        selector = VictimSelector(view, tier.victims, now)
        if sum(selector.counts) < demand.shape.accelerators:
            continue
        place = None
        # A preemptible job must keep the guarantees here too: until its place is free
        # it cannot be stopped.
        if not tier.in_own_allocations:
            places = selector.list_places(demand, PLACE_LIMIT)
            place = _find_feasible(view, demand, places, units)
        if place is None:
            place = _find_in_own_allocations(view, demand, selector.counts, units)
        if place is not None:
            return _make_reclaim(view, demand, entitled, selector, place)
    return None


def _make_reclaim(
    view: CellView,
    demand: Demand,
    entitled: bool,
    selector: VictimSelector,
    place: Place,
) -> Reclaim:
    victims = selector.choose_victims(place)
    members = make_members(view, place, victims)
    reason = ReasonCode.PLACED_IN_GUARANTEE if entitled else ReasonCode.PLACED
    lost = selector.measure_lost(victims)
    detail = f"{_describe_shape(demand)} in place of {len(victims)} job(s)"
    detail += f" that lose {lost:.0f} accelerator seconds"
    return Reclaim(victims, members, reason, detail)


def _make_waits(view: CellView, demand: Demand, entitled: bool) -> Waits:
    free = list_free(view)
    detail = (
        f"{_describe_shape(demand)} finds no place among {sum(free)} free accelerators"
    )
    if view.allocations.lost and not demand.evictable:
        detail += "; guaranteed shapes of this cell do not fit until workers return"
        return Waits(ReasonCode.WAITS_FOR_GUARANTEE, detail, RETRY_SECONDS)
    fits = list_places(view.layout, free, demand.shape, lambda *_: 0.0, 1)
    if fits and view.reservation is not None and demand.evictable:
        detail += f"; they are reserved for {view.reservation.job_id}"
    elif fits:
        detail += "; it is not preemptible, and what is free is guaranteed to others"
        return Waits(ReasonCode.WAITS_FOR_GUARANTEE, detail, RETRY_SECONDS)
    elif entitled:
        detail += "; its guarantee is in use by non-preemptible work"
    elif demand.urgency is Urgency.PATIENT:
        detail += "; it waits for work to end"
    return Waits(ReasonCode.WAITS_FOR_ROOM, detail, RETRY_SECONDS)


def _describe_shape(demand: Demand) -> str:
    shape = demand.shape
    return f"{shape.accelerators} accelerators ({shape.adjacency.value})"

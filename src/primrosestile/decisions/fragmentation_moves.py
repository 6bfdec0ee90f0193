"""Which running jobs to move so that the largest promised shape has a place again.

Made for a cell whose free accelerators would be enough, and lie scattered. A
render waits in front of them, or the next one will. Moving costs work: the time
to save progress, what is lost where nothing is saved, and the time to start
again. So moves are rare, only made when they open a whole place, and stay within
a limit of the cell's own time.
"""

from dataclasses import dataclass

from primrosestile.decisions.cell import CellView, Holding
from primrosestile.decisions.fragmentation import find_largest_shape
from primrosestile.decisions.placement_rooms import (
    Cost,
    Place,
    count_hosting,
    list_free,
    list_places,
)
from primrosestile.decisions.reclaim import Opening
from primrosestile.state.tenancy import Policy, Shape, Urgency

# Largest part of a cell's accelerator time that the move of one interval may cost,
# with all policy weight on fragmentation. It bounds a single move, which seldom
# comes: most of the time nothing is scattered, or what would have to move fits
# nowhere else. Half of it made half as many moves, and work ended no sooner.
COST_SHARE = 0.2

# Seconds between moves of one cell. It bounds how often a job can be disturbed,
# and lets the effect of one move be seen before the next.
INTERVAL_SECONDS = 60.0

# Most jobs of one move; their stops and starts burden the same workers at once.
VICTIM_LIMIT = 8


@dataclass(frozen=True, slots=True)
class Move:
    """Jobs to stop and to place anew.

    Attributes:
        victims: Job ids; each may be stopped and run again, and fits elsewhere.
        lost: Expected loss, in accelerator seconds.
        shape: What has a place afterwards.
    """

    victims: tuple[str, ...]
    lost: float
    shape: Shape


def find_move(view: CellView, policy: Policy, now: float) -> Move | None:
    """Find the cheapest move that opens a place for the largest promised shape.

    To be asked once in `INTERVAL_SECONDS`.

    Returns:
        None when the shape has a place, when too little is free for it, or when
        every move would cost more than the limit.
    """
    shape = find_largest_shape(view)
    if sum(list_free(view)) < shape.accelerators or count_hosting(view, shape):
        return None
    limit = _limit_cost(view, policy)
    movable = frozenset(
        job_id
        for job_id, holding in view.holdings.items()
        if _is_movable(view, holding)
    )
    opening = Opening(view, movable, now)
    places = list_places(view.layout, opening.counts, shape, opening.price, 3)
    for _, place in places:
        victims = opening.choose_victims(place)
        lost = opening.measure_lost(victims)
        if lost > limit or len(victims) > VICTIM_LIMIT:
            continue
        if _fit_elsewhere(view, place, victims):
            return Move(victims, lost, shape)
    return None


def _limit_cost(view: CellView, policy: Policy) -> float:
    weight = policy.completion_weight + policy.fragmentation_weight
    share = policy.fragmentation_weight / weight if weight else 0.0
    return COST_SHARE * share * INTERVAL_SECONDS * sum(view.layout.capacity)


def _is_movable(view: CellView, holding: Holding) -> bool:
    # Somebody waits for urgent work, and it is over soon anyway.
    return (
        holding.evictable
        and holding.urgency is Urgency.PATIENT
        and holding.job_id not in view.stopping
    )


def _fit_elsewhere(view: CellView, place: Place, victims: tuple[str, ...]) -> bool:
    """Whether all victims have a place beside the one that they open."""
    left = list_free(view)
    for job_id in victims:
        for worker, count in view.locate(view.holdings[job_id]).items():
            if view.usable[worker]:
                left[worker] += count
    for worker, count in place.items():
        left[worker] -= count
    shapes = [view.holdings[job_id].shape for job_id in victims]
    for shape in sorted(shapes, key=lambda each: -each.accelerators):
        places = list_places(view.layout, left, shape, _make_tightest(left), 1)
        if not places:
            return False
        for worker, count in places[0][1].items():
            left[worker] -= count
    return True


def _make_tightest(left: list[int]) -> Cost:
    def price(worker: int, count: int) -> float:
        return float(left[worker] - count)

    return price

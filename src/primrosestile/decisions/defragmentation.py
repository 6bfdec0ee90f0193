"""Defragmentation: running jobs to move so that the largest guaranteed shape fits.

Used when a cell has enough free accelerators, but scattered. A move costs work: the
time of the checkpoint, what is lost without one, and the restart. So moves are rare,
only made when they free a whole place, and limited to a share of the cell's accelerator
time.
"""

from dataclasses import dataclass

from primrosestile.decisions.cell import CellView, Holding
from primrosestile.decisions.fragmentation import find_largest_shape
from primrosestile.decisions.placement_candidates import (
    Cost,
    Place,
    count_hosting,
    list_free,
    list_places,
)
from primrosestile.decisions.reclaim import VictimSelector
from primrosestile.state.tenancy import Policy, Shape, Urgency

# Maximum share of a cell's accelerator time that the move of one interval may cost,
# with all policy weight on fragmentation. It bounds a single move; moves are rare,
# since mostly nothing is scattered or the victims fit nowhere else. With half of it,
# half as many moves were made and work ended no sooner.
MAX_COST_SHARE = 0.2

# Minimum seconds between moves in one cell. It bounds how often a job can be disturbed,
# and the effect of one move is visible before the next.
INTERVAL_SECONDS = 60.0

# Maximum number of jobs in one move; their stops and starts load the same workers at
# once.
VICTIM_LIMIT = 8


@dataclass(frozen=True, slots=True)
class Move:
    """Jobs to stop and to place again.

    Attributes:
        victims: Ids of preemptible jobs that fit elsewhere.
        lost: Expected loss, in accelerator seconds.
        shape: The shape that has a place afterwards.
    """

    victims: tuple[str, ...]
    lost: float
    shape: Shape


def find_move(view: CellView, policy: Policy, now: float) -> Move | None:
    """Find a cheap move that frees a place for the largest guaranteed shape.

    To be called once in `INTERVAL_SECONDS`. Only the three cheapest places are
    examined.

    Returns:
        None when the shape has a place, when too little is free for it, or when no
        examined move is possible within the limits.
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
    selector = VictimSelector(view, movable, now)
    places = list_places(view.layout, selector.counts, shape, selector.price, 3)
    for _, place in places:
        victims = selector.choose_victims(place)
        lost = selector.measure_lost(victims)
        if lost > limit or len(victims) > VICTIM_LIMIT:
            continue
        if _fit_elsewhere(view, place, victims):
            return Move(victims, lost, shape)
    return None


def _limit_cost(view: CellView, policy: Policy) -> float:
    weight = policy.completion_weight + policy.fragmentation_weight
    share = policy.fragmentation_weight / weight if weight else 0.0
    return MAX_COST_SHARE * share * INTERVAL_SECONDS * sum(view.layout.capacity)


def _is_movable(view: CellView, holding: Holding) -> bool:
    # Urgent jobs are not moved: a person waits for them, and they end soon anyway.
    return (
        holding.evictable
        and holding.urgency is Urgency.PATIENT
        and holding.job_id not in view.stopping
    )


def _fit_elsewhere(view: CellView, place: Place, victims: tuple[str, ...]) -> bool:
    """Whether all victims have a place beside the one that they free."""
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

"""Cost of a free place: growth of fragmentation, and use of lent capacity.

The policy weighs the two. Fragmentation is what the start leaves behind. Completion
time suffers when work is put onto lent capacity, since it is stopped when the
guarantee's owner reclaims it. Both are in accelerators.
"""

from primrosestile.decisions.cell import CellView, Demand
from primrosestile.decisions.fragmentation import FragmentationGrowth, weigh_shapes
from primrosestile.decisions.placement_candidates import Cost
from primrosestile.state.tenancy import Policy

# Assumed chance that lent accelerators are reclaimed while the work runs on them. It
# must be above 0, so that work goes beside the allocations while there is space, and
# below the cost of breaking a whole worker, so that it doesn't fragment the remaining
# capacity instead.
LENT_COST_SHARE = 0.25

# A non-preemptible job uses an allocation only when nothing else is left: each time,
# allocations have to be searched again.
PINNED_LENT_COST_SHARE = 8.0

# Work with checkpoints loses almost nothing when it is stopped. It is preferred as a
# borrower and leaves the capacity beside the allocations to work that would have to
# restart from the beginning.
CHECKPOINT_LENT_BONUS_SHARE = 0.1

# Order among equal places: the fullest worker, then the rack with the fewest whole
# workers, so that the whole ones stay together. Small enough never to outweigh one
# accelerator.
TIE_FREE_WEIGHT = 1e-3
TIE_WHOLE_WEIGHT = 1e-5


def make_price(view: CellView, demand: Demand, policy: Policy) -> Cost:
    """Make the cost function of accelerators of one worker for a demand."""
    growth = FragmentationGrowth(view, view.mix or weigh_shapes(view, ()))
    unlent = _list_unlent(view, demand)
    growth_weight = max(policy.fragmentation_weight, 0.1)
    lent_weight = max(policy.completion_weight, 0.1)
    if not demand.evictable:
        lent_weight *= PINNED_LENT_COST_SHARE
    elif demand.checkpoints:
        lent_weight *= -CHECKPOINT_LENT_BONUS_SHARE
    else:
        lent_weight *= LENT_COST_SHARE

    def price(worker: int, count: int) -> float:
        lent = max(0, count - unlent[worker])
        return (
            growth_weight * growth.measure(worker, count)
            + lent_weight * lent
            + TIE_FREE_WEIGHT * view.free_counts[worker]
            + TIE_WHOLE_WEIGHT * growth.count_whole(worker)
        )

    return price


def _list_unlent(view: CellView, demand: Demand) -> list[int]:
    """Return by worker the accelerators that the demand may use at no lending cost.

    These are the accelerators outside all allocations, and the allocations of its own
    organisation; for non-preemptible work only those of the preferred units.
    """
    unlent = view.allocations.list_spare()
    allocations = view.allocations.read()
    options = view.allocations.list_charges(demand.organisation, demand.shape)
    for unit in options.every if demand.evictable else options.preferred:
        if unit is not None:
            for worker, count in allocations[unit].items():
                unlent[worker] += count
    return unlent

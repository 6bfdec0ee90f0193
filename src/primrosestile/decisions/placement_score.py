"""What a free place costs: the growth of useless capacity, and being in the way.

Operators weigh the two measures by policy. Fragmentation is what the start leaves
behind; completion time suffers when work is put into a room that is lent, since
it is stopped when its owner comes back. Both are in accelerators.
"""

from primrosestile.decisions.cell import CellView, Demand
from primrosestile.decisions.fragmentation import Growth, weigh_shapes
from primrosestile.decisions.placement_rooms import Cost
from primrosestile.state.tenancy import Policy

# Chance that lent accelerators are taken back while the work is on them. A guess
# between never and always; it only has to be larger than nothing, so that work
# goes beside the rooms while there is space, and smaller than breaking a whole
# worker costs, so that it doesn't cut up what is left instead.
LENT_SHARE = 0.25

# Work that cannot be stopped goes into a room only when nothing else is left:
# each time, rooms have to be searched anew.
PINNED_LENT_SHARE = 8.0

# Work that can save its progress loses almost nothing when it is stopped. It is
# the best borrower, and leaves the space beside the rooms to work that would
# have to begin again.
SAVED_SPARE_SHARE = 0.1

# Order among equal places: the fullest worker, then the rack with the fewest
# whole workers, so that the whole ones stay together. Small enough never to
# outweigh one accelerator.
TIE_FREE = 1e-3
TIE_WHOLE = 1e-5


def make_price(view: CellView, demand: Demand, policy: Policy) -> Cost:
    """Make the function that prices accelerators of one worker for a demand."""
    growth = Growth(view, view.mix or weigh_shapes(view, ()))
    unlent = _list_unlent(view, demand)
    growth_weight = max(policy.fragmentation_weight, 0.1)
    lent_weight = max(policy.completion_weight, 0.1)
    if not demand.evictable:
        lent_weight *= PINNED_LENT_SHARE
    elif demand.checkpoints:
        lent_weight *= -SAVED_SPARE_SHARE
    else:
        lent_weight *= LENT_SHARE

    def price(worker: int, count: int) -> float:
        lent = max(0, count - unlent[worker])
        return (
            growth_weight * growth.measure(worker, count)
            + lent_weight * lent
            + TIE_FREE * view.free_counts[worker]
            + TIE_WHOLE * growth.count_whole(worker)
        )

    return price


def _list_unlent(view: CellView, demand: Demand) -> list[int]:
    """Return by worker what the demand may take without being in the way.

    That is what lies beside all rooms, and the rooms of its own organisation;
    for work that cannot be stopped only those that it should use.
    """
    unlent = view.rooms.list_spare()
    rooms = view.rooms.read()
    options = view.rooms.list_charges(demand.organisation, demand.shape)
    for unit in options.every if demand.evictable else options.preferred:
        if unit is not None:
            for worker, count in rooms[unit].items():
                unlent[worker] += count
    return unlent

"""How much of the free capacity is of no use to the shapes that are asked for."""

from primrosestile.decisions.cell import CellView
from primrosestile.decisions.placement_rooms import count_hosted
from primrosestile.state.tenancy import Adjacency, Shape

# Measured against when an operator has promised nothing: one whole worker, the
# smallest shape whose accelerators must be adjacent.
DEFAULT_SHAPE = Shape(8, Adjacency.WORKER)


def find_largest_shape(view: CellView) -> Shape:
    """Return the largest promised shape of the cell."""
    shapes = [shape for _, shape in view.promised]
    if not shapes:
        return DEFAULT_SHAPE
    return max(shapes, key=lambda shape: (shape.accelerators, shape.adjacency.value))


def measure_fragmentation(view: CellView) -> float:
    """Measure what share of the free accelerators cannot host the largest shape.

    Returns:
        From 0 (every free accelerator is part of a room for it, or none is
        free) to 1 (it fits nowhere).
    """
    free = sum(view.free.values())
    if not free:
        return 0.0
    return 1.0 - count_hosted(view, find_largest_shape(view)) / free

"""Measures of fragmentation: free capacity that the requested shapes cannot use.

The measure for operators is the share of the free accelerators that cannot host the
largest guaranteed shape. The measure for choosing a place is the growth, by a start
there, of the capacity that is free but unusable for the mix of requested shapes. This
is fragmentation gradient descent (USENIX ATC 2023) with an added term for racks, since
gangs need whole workers there.
"""

from collections.abc import Iterable, Mapping

from primrosestile.decisions.cell import CellView, Demand
from primrosestile.decisions.placement_candidates import count_hosting
from primrosestile.state.tenancy import Adjacency, Shape

# Used when there are no guarantees: one whole worker of eight accelerators.
DEFAULT_SHAPE = Shape(8, Adjacency.WORKER)

# Share of the mix that the guaranteed shapes keep, however small the waiting jobs are.
# Without it a night of small jobs would fragment the cell, and the large jobs of the
# morning would have to stop them.
GUARANTEED_SHARE = 0.5

# Maximum number of distinct shapes in the mix; those with the most requested
# accelerators are kept. It bounds the cost of a score when callers use many shapes.
MIX_LIMIT = 8


def find_largest_shape(view: CellView) -> Shape:
    """Return the largest guaranteed shape of the cell."""
    shapes = [shape for _, shape in view.promised]
    if not shapes:
        return DEFAULT_SHAPE
    return max(shapes, key=lambda shape: (shape.accelerators, shape.adjacency.value))


def measure_fragmentation(view: CellView, shape: Shape | None = None) -> float:
    """Measure the share of the free accelerators that cannot host a shape.

    Args:
        view: The cell.
        shape: The shape; by default the largest guaranteed one.

    Returns:
        From 0 (every free accelerator is part of a place for it, or none is free) to 1
        (it fits nowhere).
    """
    free = sum(view.free.values())
    if not free:
        return 0.0
    return 1.0 - count_hosting(view, shape or find_largest_shape(view)) / free


def weigh_shapes(view: CellView, demands: Iterable[Demand]) -> dict[Shape, float]:
    """Weigh the guaranteed shapes and those of the waiting jobs.

    Returns:
        Weights that sum to 1, by shape.
    """
    guaranteed: dict[Shape, float] = {}
    for _, shape in view.promised or (("", DEFAULT_SHAPE),):
        guaranteed[shape] = guaranteed.get(shape, 0.0) + shape.accelerators
    waiting: dict[Shape, float] = {}
    for demand in demands:
        shape = demand.shape
        waiting[shape] = waiting.get(shape, 0.0) + shape.accelerators
    share = GUARANTEED_SHARE if waiting else 1.0
    mix: dict[Shape, float] = {}
    for shapes, weight in ((guaranteed, share), (waiting, 1.0 - share)):
        total = sum(shapes.values())
        for shape, amount in shapes.items():
            mix[shape] = mix.get(shape, 0.0) + weight * amount / total
    largest = sorted(mix.items(), key=lambda each: (-each[1], each[0].accelerators))
    kept = dict(largest[:MIX_LIMIT])
    total = sum(kept.values())
    return {shape: weight / total for shape, weight in kept.items()}


class FragmentationGrowth:
    """Growth of unusable free capacity by a start, for one mix of shapes."""

    def __init__(self, view: CellView, mix: Mapping[Shape, float]) -> None:
        self._view = view
        self._mix = mix
        self._unusable: dict[tuple[int, int], float] = {}
        layout = view.layout
        self._whole = [
            sum(
                0 < layout.capacity[worker] == view.free_counts[worker]
                for worker in workers
            )
            for workers in layout.racks
        ]

    def measure(self, worker: int, count: int) -> float:
        """Return the expected growth in accelerators, negative if it shrinks.

        Args:
            worker: Index of the worker.
            count: Accelerators of it that the start would take.
        """
        free = self._view.free_counts[worker]
        capacity = self._view.layout.capacity[worker]
        growth = self._unusable_on_worker(free - count, capacity)
        growth -= self._unusable_on_worker(free, capacity)
        if free == capacity:
            whole = self._whole[self._view.layout.rack[worker]]
            growth += self._unusable_in_rack(whole - 1, capacity)
            growth -= self._unusable_in_rack(whole, capacity)
        return growth

    def count_whole(self, worker: int) -> int:
        """Return how many workers of the same rack are wholly free."""
        return self._whole[self._view.layout.rack[worker]]

    def _unusable_on_worker(self, free: int, capacity: int) -> float:
        key = (free, capacity)
        if key not in self._unusable:
            self._unusable[key] = sum(
                weight * _count_unusable(shape, free, capacity)
                for shape, weight in self._mix.items()
            )
        return self._unusable[key]

    def _unusable_in_rack(self, whole: int, capacity: int) -> float:
        key = (-1 - whole, capacity)
        if key not in self._unusable:
            self._unusable[key] = sum(
                weight * capacity * (whole % (shape.accelerators // capacity))
                for shape, weight in self._mix.items()
                if shape.adjacency is Adjacency.RACK and shape.accelerators >= capacity
            )
        return self._unusable[key]


def _count_unusable(shape: Shape, free: int, capacity: int) -> int:
    """Count the free accelerators of one worker that a shape cannot use."""
    size = shape.accelerators
    if shape.adjacency is Adjacency.CELL:
        return 0
    if shape.adjacency is Adjacency.WORKER or size < capacity:
        return free % size
    return 0 if free == capacity else free

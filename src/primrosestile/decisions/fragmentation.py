"""How much of the free capacity is of no use to the shapes that are asked for.

Two measures. One is for people: the share of the free accelerators that cannot
host the largest promised shape. The other is for choosing a place: by how much a
start there would let the capacity grow that is free and yet of no use to the mix
of shapes that is asked for. It is the idea of fragmentation gradient descent
(USENIX ATC 2023), with a term for racks, since gangs need whole workers there.
"""

from collections.abc import Iterable, Mapping

from primrosestile.decisions.cell import CellView, Demand
from primrosestile.decisions.placement_rooms import count_hosting
from primrosestile.state.tenancy import Adjacency, Shape

# Measured against when an operator has promised nothing: one whole worker, the
# smallest shape whose accelerators must be adjacent.
DEFAULT_SHAPE = Shape(8, Adjacency.WORKER)

# The share of the mix that the promised shapes keep, however small the work is
# that is waiting. Without it a night of small jobs would let the cell be cut up,
# and the morning's large ones would have to stop them.
PROMISED_SHARE = 0.5

# Distinct shapes that the mix keeps: those that ask for most accelerators. It
# bounds the cost of a score when callers invent shapes of their own.
MIX_LIMIT = 8


def find_largest_shape(view: CellView) -> Shape:
    """Return the largest promised shape of the cell."""
    shapes = [shape for _, shape in view.promised]
    if not shapes:
        return DEFAULT_SHAPE
    return max(shapes, key=lambda shape: (shape.accelerators, shape.adjacency.value))


def measure_fragmentation(view: CellView, shape: Shape | None = None) -> float:
    """Measure what share of the free accelerators cannot host the largest shape.

    Args:
        view: The cell.
        shape: Measured against this one; by default the largest promised one.

    Returns:
        From 0 (every free accelerator is part of a room for it, or none is
        free) to 1 (it fits nowhere).
    """
    free = sum(view.free.values())
    if not free:
        return 0.0
    return 1.0 - count_hosting(view, shape or find_largest_shape(view)) / free


def weigh_shapes(view: CellView, demands: Iterable[Demand]) -> dict[Shape, float]:
    """Weigh the shapes that matter now: the promised ones and those that wait.

    Returns:
        Weights that sum to 1, by shape.
    """
    promised: dict[Shape, float] = {}
    for _, shape in view.promised or (("", DEFAULT_SHAPE),):
        promised[shape] = promised.get(shape, 0.0) + shape.accelerators
    waiting: dict[Shape, float] = {}
    for demand in demands:
        shape = demand.shape
        waiting[shape] = waiting.get(shape, 0.0) + shape.accelerators
    share = PROMISED_SHARE if waiting else 1.0
    mix: dict[Shape, float] = {}
    for shapes, weight in ((promised, share), (waiting, 1.0 - share)):
        total = sum(shapes.values())
        for shape, amount in shapes.items():
            mix[shape] = mix.get(shape, 0.0) + weight * amount / total
    largest = sorted(mix.items(), key=lambda each: (-each[1], each[0].accelerators))
    kept = dict(largest[:MIX_LIMIT])
    total = sum(kept.values())
    return {shape: weight / total for shape, weight in kept.items()}


class Growth:
    """By how much a start lets useless free capacity grow, for one mix."""

    def __init__(self, view: CellView, mix: Mapping[Shape, float]) -> None:
        self._view = view
        self._mix = mix
        self._useless: dict[tuple[int, int], float] = {}
        layout = view.layout
        self._whole = [
            sum(
                0 < layout.capacity[worker] == view.free_counts[worker]
                for worker in workers
            )
            for workers in layout.racks
        ]

    def measure(self, worker: int, count: int) -> float:
        """Return the expected growth in accelerators; negative where it shrinks.

        Args:
            worker: Index of the worker.
            count: Accelerators of it that the start would take.
        """
        free = self._view.free_counts[worker]
        capacity = self._view.layout.capacity[worker]
        growth = self._useless_on_worker(free - count, capacity)
        growth -= self._useless_on_worker(free, capacity)
        if free == capacity:
            whole = self._whole[self._view.layout.rack[worker]]
            growth += self._useless_in_rack(whole - 1, capacity)
            growth -= self._useless_in_rack(whole, capacity)
        return growth

    def count_whole(self, worker: int) -> int:
        """Return how many workers of the same rack are wholly free."""
        return self._whole[self._view.layout.rack[worker]]

    def _useless_on_worker(self, free: int, capacity: int) -> float:
        key = (free, capacity)
        if key not in self._useless:
            self._useless[key] = sum(
                weight * _count_useless(shape, free, capacity)
                for shape, weight in self._mix.items()
            )
        return self._useless[key]

    def _useless_in_rack(self, whole: int, capacity: int) -> float:
        key = (-1 - whole, capacity)
        if key not in self._useless:
            self._useless[key] = sum(
                weight * capacity * (whole % (shape.accelerators // capacity))
                for shape, weight in self._mix.items()
                if shape.adjacency is Adjacency.RACK and shape.accelerators >= capacity
            )
        return self._useless[key]


def _count_useless(shape: Shape, free: int, capacity: int) -> int:
    """Count the free accelerators of one worker that a shape cannot use."""
    size = shape.accelerators
    if shape.adjacency is Adjacency.CELL:
        return 0
    if shape.adjacency is Adjacency.WORKER or size < capacity:
        return free % size
    return 0 if free == capacity else free

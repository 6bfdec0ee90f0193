"""Brute-force oracle for tiny cells, independent of the allocation search."""

from collections.abc import Iterator, Sequence
from itertools import product

from primrosestile.state.tenancy import Adjacency, Shape

Counts = tuple[int, ...]


def list_all_allocations(
    capacity: Counts, racks: Sequence[Sequence[int]], shape: Shape
) -> Iterator[Counts]:
    """Yield every vector of counts that satisfies the definition of a shape."""
    for counts in product(*(range(count + 1) for count in capacity)):
        if sum(counts) == shape.accelerators and is_shaped(
            capacity, racks, counts, shape.adjacency
        ):
            yield counts


def is_shaped(
    capacity: Counts,
    racks: Sequence[Sequence[int]],
    counts: Counts,
    adjacency: Adjacency,
) -> bool:
    used = [worker for worker, count in enumerate(counts) if count]
    if adjacency is Adjacency.WORKER:
        return len(used) == 1
    if adjacency is Adjacency.CELL:
        return True
    if not any(set(used) <= set(rack) for rack in racks):
        return False
    partial = [worker for worker in used if counts[worker] < capacity[worker]]
    return len(partial) <= 1


def can_keep(
    capacity: Counts,
    racks: Sequence[Sequence[int]],
    available: Counts,
    needs: Sequence[tuple[Shape, Counts]],
) -> bool:
    """Whether disjoint allocations exist; a need is a shape and what it encloses."""
    if not needs:
        return True
    (shape, charged), *others = needs
    for allocation in list_all_allocations(capacity, racks, shape):
        extra = [count - held for count, held in zip(allocation, charged, strict=True)]
        left = tuple(have - count for have, count in zip(available, extra, strict=True))
        if min(extra) < 0 or min(left) < 0:
            continue
        if can_keep(capacity, racks, left, others):
            return True
    return False


def can_keep_by_some_charge(
    capacity: Counts,
    racks: Sequence[Sequence[int]],
    promised: Sequence[tuple[str, Shape]],
    pinned: Sequence[tuple[str, Counts]],
) -> bool:
    """Whether some charging of the pinned work keeps an allocation for each unit."""
    available = list(capacity)
    for _, counts in pinned:
        for worker, count in enumerate(counts):
            available[worker] -= count
    options = [
        [None, *(unit for unit, (name, _) in enumerate(promised) if name == owner)]
        for owner, _ in pinned
    ]
    for charges in product(*options):
        charged = [[0] * len(capacity) for _ in promised]
        for unit, (_, counts) in zip(charges, pinned, strict=True):
            if unit is not None:
                for worker, count in enumerate(counts):
                    charged[unit][worker] += count
        needs = [
            (shape, tuple(charged[unit])) for unit, (_, shape) in enumerate(promised)
        ]
        if can_keep(capacity, racks, tuple(available), needs):
            return True
    return False

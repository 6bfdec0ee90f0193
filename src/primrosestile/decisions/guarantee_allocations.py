"""Search for disjoint allocations of all guaranteed shapes at one instant.

A guarantee must be available in shape, not only in number: eight free accelerators on
eight workers cannot hold a shape of eight on one worker. So each guaranteed shape gets
an allocation, and non-preemptible work is kept out of it unless it belongs to the same
organisation.

The search takes the most constrained and largest shapes first and tries the tightest
fits first, which succeeds at once where sizes divide one another, as powers of two do.
Otherwise it backtracks, up to a number of steps. At the limit it reports no
allocations, which can only make a placement wait.
"""

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field

from primrosestile.state.tenancy import Adjacency, Shape

# Backtracking steps beyond one for each unit, times the workers that a step scans.
# Typically the first descent succeeds. The limit bounds the time for which a mix that
# is hard to pack blocks all other decisions of the cell: without it one placement could
# take minutes.
SEARCH_COST_LIMIT = 20_000
MIN_STEPS = 20

Allocation = dict[int, int]


@dataclass(frozen=True, slots=True)
class Layout:
    """How many accelerators each worker has, and which workers share a rack.

    Attributes:
        capacity: Accelerators by worker index.
        rack: Rack index by worker index.
        racks: Worker indices by rack index.
    """

    capacity: tuple[int, ...]
    rack: tuple[int, ...]
    racks: tuple[tuple[int, ...], ...]


@dataclass(frozen=True, slots=True)
class Need:
    """One guaranteed shape that needs an allocation.

    Attributes:
        shape: The guaranteed shape.
        charged: Accelerators by worker index that the organisation's own
            non-preemptible work holds and that the allocation must enclose.
    """

    shape: Shape
    charged: Mapping[int, int] = field(default_factory=dict)


def find_allocations(
    layout: Layout, available: Sequence[int], needs: Sequence[Need]
) -> list[Allocation] | None:
    """Find disjoint allocations for all needs.

    Args:
        layout: The cell.
        available: By worker index, accelerators that are free or held by preemptible
            work.
        needs: The guaranteed shapes.

    Returns:
        For each need, the accelerators by worker index that its allocation takes in
        addition to what is charged; None when none were found.
    """
    if not needs:
        return []
    missing = sum(
        need.shape.accelerators - sum(need.charged.values()) for need in needs
    )
    if missing > sum(available):
        return None
    return _Search(layout, list(available), needs).run()


class _Search:
    """Depth-first search over the needs, one need a level.

    The stack is explicit: a large cell has more units than the recursion limit allows.
    """

    def __init__(
        self, layout: Layout, available: list[int], needs: Sequence[Need]
    ) -> None:
        self.layout = layout
        self.available = available
        self.needs = needs
        self.order = sorted(range(len(needs)), key=lambda each: _rank(needs[each]))
        self.allocations: list[Allocation] = [{} for _ in needs]
        self.dead_ends: set[tuple[int, tuple[int, ...]]] = set()

    def run(self) -> list[Allocation] | None:
        spare = SEARCH_COST_LIMIT // max(1, len(self.available))
        steps = len(self.order) + max(MIN_STEPS, spare)
        choices = [self._list_choices(0)]
        while True:
            level = len(choices) - 1
            allocation = next(choices[-1], None)
            if allocation is None:
                choices.pop()
                self.dead_ends.add((level, tuple(self.available)))
                if not choices:
                    return None
                self._undo(level - 1)
                continue
            steps -= 1
            if steps < 0:
                return None
            self.allocations[self.order[level]] = allocation
            self._take(allocation, 1)
            if level + 1 == len(self.order):
                return self.allocations
            # Only a search that has backtracked pays for this lookup.
            if self.dead_ends and (level + 1, tuple(self.available)) in self.dead_ends:
                self._undo(level)
                continue
            choices.append(self._list_choices(level + 1))

    def _list_choices(self, level: int) -> Iterator[Allocation]:
        return list_allocations(
            self.layout, self.available, self.needs[self.order[level]]
        )

    def _undo(self, level: int) -> None:
        self._take(self.allocations[self.order[level]], -1)

    def _take(self, allocation: Allocation, sign: int) -> None:
        for worker, count in allocation.items():
            self.available[worker] -= sign * count


_ADJACENCY_RANK = {Adjacency.RACK: 0, Adjacency.WORKER: 1, Adjacency.CELL: 2}


def _rank(need: Need) -> tuple[bool, bool, int, int]:
    # Needs with charged work come first, needs that fit anywhere last.
    return (
        need.shape.adjacency is Adjacency.CELL,
        not need.charged,
        _ADJACENCY_RANK[need.shape.adjacency],
        -need.shape.accelerators,
    )


def list_allocations(
    layout: Layout, available: Sequence[int], need: Need
) -> Iterator[Allocation]:
    """Yield the possible allocations of one need, the tightest fit first.

    Allocations that differ only in which of several equivalent workers they take are
    yielded once.
    """
    adjacency = need.shape.adjacency
    if adjacency is Adjacency.WORKER:
        return _list_worker_allocations(layout, available, need)
    if adjacency is Adjacency.RACK:
        return _list_rack_allocations(layout, available, need)
    return _list_cell_allocations(available, need)


def _list_worker_allocations(
    layout: Layout, available: Sequence[int], need: Need
) -> Iterator[Allocation]:
    if len(need.charged) > 1:
        return
    for worker, charged in need.charged.items():
        missing = need.shape.accelerators - charged
        if 0 <= missing <= available[worker]:
            yield {worker: missing}
        return
    count = need.shape.accelerators
    options = [(left, worker) for worker, left in enumerate(available) if left >= count]
    if not options:
        return
    # The first choice is nearly always kept; it needs no sorting.
    yield {min(options)[1]: count}
    options.sort()
    seen = {_make_worker_key(layout, available, options[0][1])}
    for _, worker in options:
        # Two workers are equivalent when they and their racks have equal counts.
        key = _make_worker_key(layout, available, worker)
        if key not in seen:
            seen.add(key)
            yield {worker: count}


def _make_worker_key(
    layout: Layout, available: Sequence[int], worker: int
) -> tuple[int, int, tuple[tuple[int, int], ...]]:
    rack = layout.racks[layout.rack[worker]]
    key = _make_rack_key(layout, available, rack)
    return available[worker], layout.capacity[worker], key


def _make_rack_key(
    layout: Layout, available: Sequence[int], rack: tuple[int, ...]
) -> tuple[tuple[int, int], ...]:
    return tuple(sorted((available[each], layout.capacity[each]) for each in rack))


def _list_rack_allocations(
    layout: Layout, available: Sequence[int], need: Need
) -> Iterator[Allocation]:
    charged_racks = {layout.rack[worker] for worker in need.charged}
    if len(charged_racks) > 1:
        return
    if charged_racks:
        yield from _list_allocations_in_rack(
            layout, available, need, charged_racks.pop()
        )
        return
    racks = []
    for index, workers in enumerate(layout.racks):
        total = sum(map(available.__getitem__, workers))
        if total >= need.shape.accelerators:
            whole = sum(available[each] == layout.capacity[each] for each in workers)
            racks.append((whole, total, index))
    racks.sort()
    seen = set()
    for _, _, index in racks:
        key = _make_rack_key(layout, available, layout.racks[index])
        if key not in seen:
            seen.add(key)
            yield from _list_allocations_in_rack(layout, available, need, index)


def _list_allocations_in_rack(
    layout: Layout, available: Sequence[int], need: Need, rack: int
) -> Iterator[Allocation]:
    workers = layout.racks[rack]
    charged = need.charged
    whole = [
        worker
        for worker in workers
        if layout.capacity[worker]
        and available[worker] + charged.get(worker, 0) == layout.capacity[worker]
    ]
    # Charged workers must be in the allocation; larger workers first, so that racks of
    # unequal workers are used whole where possible.
    whole.sort(key=lambda each: (each not in charged, -layout.capacity[each]))
    for remainder in (None, *_list_remainders(layout, available, need, workers)):
        allocation = _fill_rack(layout, need, whole, remainder, available)
        if allocation is not None:
            yield allocation


def _list_remainders(
    layout: Layout, available: Sequence[int], need: Need, workers: tuple[int, ...]
) -> list[int]:
    """List distinct workers that could be used in part, the tightest first."""
    options = sorted(workers, key=lambda each: (available[each], each))
    seen = set()
    remainders = []
    for worker in options:
        charged = need.charged.get(worker, 0)
        key = (available[worker], layout.capacity[worker])
        # For a charged need, equal workers can still differ in what the other charged
        # needs must enclose.
        if key in seen and not need.charged:
            continue
        seen.add(key)
        if available[worker] or charged:
            remainders.append(worker)
    return remainders


def _fill_rack(
    layout: Layout,
    need: Need,
    whole: Sequence[int],
    remainder: int | None,
    available: Sequence[int],
) -> Allocation | None:
    missing = need.shape.accelerators
    allocation: Allocation = {}
    for worker in whole:
        if worker != remainder and missing >= layout.capacity[worker]:
            missing -= layout.capacity[worker]
            allocation[worker] = layout.capacity[worker] - need.charged.get(worker, 0)
    if remainder is not None and missing:
        extra = missing - need.charged.get(remainder, 0)
        if 0 <= extra <= available[remainder]:
            allocation[remainder] = extra
            missing = 0
    if missing or any(worker not in allocation for worker in need.charged):
        return None
    return allocation


def _list_cell_allocations(
    available: Sequence[int], need: Need
) -> Iterator[Allocation]:
    missing = need.shape.accelerators - sum(need.charged.values())
    if missing < 0:
        return
    allocation: Allocation = {}
    for worker in sorted(range(len(available)), key=lambda each: available[each]):
        if not missing:
            break
        count = min(missing, available[worker])
        if count > 0:
            allocation[worker] = count
            missing -= count
    if not missing:
        yield allocation

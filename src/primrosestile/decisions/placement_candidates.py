"""Candidate places for a shape, given the accelerators obtainable on each worker.

The same enumeration serves placement and reclaim: with the free accelerators it lists
places for a start, with free and reclaimable ones the places that a reclaim could free.
The caller supplies the cost function; the cheapest places come first.
"""

from collections.abc import Callable, Sequence

from primrosestile.decisions.cell import CellView
from primrosestile.decisions.guarantee_allocations import Layout
from primrosestile.state.jobs import Member
from primrosestile.state.tenancy import Adjacency, Shape

Place = dict[int, int]
Cost = Callable[[int, int], float]


def list_places(
    layout: Layout, counts: Sequence[int], shape: Shape, cost: Cost, limit: int
) -> list[tuple[float, Place]]:
    """List places for a shape, the cheapest first.

    Args:
        layout: The cell; unusable workers have no capacity.
        counts: Obtainable accelerators by worker index.
        shape: The shape to place.
        cost: Cost of taking a number of accelerators of a worker.
        limit: Maximum number of places to return.
    """
    if shape.adjacency is Adjacency.WORKER:
        places = _list_on_workers(counts, shape.accelerators, cost)
    elif shape.adjacency is Adjacency.RACK:
        places = _list_in_racks(layout, counts, shape.accelerators, cost)
    else:
        places = _list_in_cell(layout, counts, shape.accelerators, cost)
    places.sort(key=lambda each: each[0])
    return places[:limit]


def _list_on_workers(
    counts: Sequence[int], accelerators: int, cost: Cost
) -> list[tuple[float, Place]]:
    return [
        (cost(worker, accelerators), {worker: accelerators})
        for worker, count in enumerate(counts)
        if count >= accelerators
    ]


def _list_in_racks(
    layout: Layout, counts: Sequence[int], accelerators: int, cost: Cost
) -> list[tuple[float, Place]]:
    places = []
    for workers in layout.racks:
        if sum(counts[worker] for worker in workers) < accelerators:
            continue
        place = _fill_rack(layout, counts, workers, accelerators, cost)
        if place is not None:
            price = sum(cost(worker, count) for worker, count in place.items())
            places.append((price, place))
    return places


def _fill_rack(
    layout: Layout,
    counts: Sequence[int],
    workers: Sequence[int],
    accelerators: int,
    cost: Cost,
) -> Place | None:
    """Take whole workers, the largest and cheapest first, and at most one in part."""
    capacity = layout.capacity
    whole = [
        worker
        for worker in workers
        if capacity[worker] and counts[worker] == capacity[worker]
    ]
    if len(whole) > 1:
        whole.sort(key=lambda each: (-capacity[each], cost(each, capacity[each])))
    place: Place = {}
    missing = accelerators
    for worker in whole:
        if missing >= capacity[worker]:
            place[worker] = capacity[worker]
            missing -= capacity[worker]
    if not missing:
        return place
    remainders = [
        worker
        for worker in workers
        if worker not in place and counts[worker] >= missing
    ]
    if not remainders:
        return None
    best = min(remainders, key=lambda each: (cost(each, missing), counts[each]))
    place[best] = missing
    return place


def _list_in_cell(
    layout: Layout, counts: Sequence[int], accelerators: int, cost: Cost
) -> list[tuple[float, Place]]:
    if sum(counts) < accelerators:
        return []
    # Cheapest accelerators first; at equal cost partly free workers before whole ones,
    # which more shapes can use.
    order = [worker for worker, count in enumerate(counts) if count > 0]
    order.sort(
        key=lambda each: (
            cost(each, counts[each]) / counts[each],
            counts[each] == layout.capacity[each],
            counts[each],
        )
    )
    place: Place = {}
    price = 0.0
    missing = accelerators
    for worker in order:
        count = min(missing, counts[worker])
        place[worker] = count
        price += cost(worker, count)
        missing -= count
        if not missing:
            break
    return [(price, place)]


def fits_empty(view: CellView, shape: Shape) -> bool:
    """Whether a shape fits when all workers are usable and empty."""
    if shape not in view.cached_fits:
        capacity = tuple(view.capacity)
        layout = Layout(capacity, view.layout.rack, view.layout.racks)
        places = list_places(layout, capacity, shape, lambda *_: 0.0, 1)
        view.cached_fits[shape] = bool(places)
    return view.cached_fits[shape]


def list_free(view: CellView) -> list[int]:
    """Return free accelerators by worker index, 0 for unusable workers."""
    return [
        count if usable else 0
        for count, usable in zip(view.free_counts, view.usable, strict=True)
    ]


def count_hosting(view: CellView, shape: Shape) -> int:
    """Count the free accelerators that are part of some place for a shape."""
    free = list_free(view)
    size = shape.accelerators
    if shape.adjacency is Adjacency.WORKER:
        return sum(count for count in free if count >= size)
    if shape.adjacency is Adjacency.CELL:
        total = sum(free)
        return total if total >= size else 0
    return sum(
        _count_hosting_in_rack(view.layout, free, workers, size)
        for workers in view.layout.racks
    )


def _count_hosting_in_rack(
    layout: Layout, free: Sequence[int], workers: Sequence[int], size: int
) -> int:
    if sum(free[worker] for worker in workers) < size:
        return 0
    place = _fill_rack(layout, free, workers, size, lambda *_: 0.0)
    if place is None:
        return 0
    whole = [
        worker
        for worker in workers
        if layout.capacity[worker] and free[worker] == layout.capacity[worker]
    ]
    hosting = sum(free[worker] for worker in whole)
    # A partly free worker can only be the remainder of a place.
    remainder = size
    for worker in sorted(whole, key=lambda each: -free[each]):
        if remainder >= free[worker]:
            remainder -= free[worker]
    if remainder:
        hosting += sum(
            free[worker]
            for worker in workers
            if worker not in whole and free[worker] >= remainder
        )
    return hosting


def make_members(
    view: CellView, place: Place, victims: Sequence[str] = ()
) -> tuple[Member, ...]:
    """Choose the accelerators of a place: free ones first, then the victims'."""
    freed: dict[int, int] = {}
    for job_id in victims:
        for worker, bits in view.read_uncommitted(job_id).items():
            freed[worker] = freed.get(worker, 0) | bits
    members = []
    for worker in sorted(place):
        free = _list_numbers(view.free_bits[worker])
        numbers = (free + _list_numbers(freed.get(worker, 0)))[: place[worker]]
        members.append(Member(view.workers[worker].name, tuple(sorted(numbers))))
    return tuple(members)


def _list_numbers(bits: int) -> list[int]:
    return [number for number in range(bits.bit_length()) if bits >> number & 1]

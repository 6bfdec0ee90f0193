"""Rooms: a disjoint place for every promised shape, at one instant.

A guarantee that is free in number but not in shape is worth nothing: eight free
accelerators on eight workers cannot hold a shape of eight on one worker. So a
promise is kept by naming a room for it, and by never letting work that cannot be
stopped into that room, unless it is the promised organisation's own.

The search takes shapes from the largest to the smallest and the tightest fit
first, which finds rooms at once where sizes divide one another, as powers of two
do. It steps back over its choices when that fails, and gives up after a number of
steps. Giving up reads as "no rooms", which only ever makes a placement wait: the
error is on the safe side.
"""

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field

from primrosestile.state.tenancy import Adjacency, Shape

# Steps of the search beyond one for each promise, times the workers that a step
# looks at. The load it is made for is a cell whose first descent succeeds. The
# limit bounds the time for which an awkward mix holds up all other decisions of
# the cell: without it one placement could take minutes.
SEARCH_COST_LIMIT = 20_000
LEAST_STEPS = 20

Room = dict[int, int]


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
    """One promised shape that needs a room.

    Attributes:
        shape: What must fit.
        charged: Accelerators by worker index that the promised organisation's
            own unstoppable work holds and that the room must enclose.
    """

    shape: Shape
    charged: Mapping[int, int] = field(default_factory=dict)


def find_rooms(
    layout: Layout, available: Sequence[int], needs: Sequence[Need]
) -> list[Room] | None:
    """Find disjoint rooms for all needs.

    Args:
        layout: The cell.
        available: By worker index, accelerators that are free or held by work
            that may be stopped.
        needs: The promised shapes.

    Returns:
        For each need, the accelerators by worker index that its room takes in
        addition to what is charged; None when no rooms were found.
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

    It keeps its own stack: a large cell has more promises than the interpreter
    allows nested calls.
    """

    def __init__(
        self, layout: Layout, available: list[int], needs: Sequence[Need]
    ) -> None:
        self.layout = layout
        self.available = available
        self.needs = needs
        self.order = sorted(range(len(needs)), key=lambda each: _rank(needs[each]))
        self.rooms: list[Room] = [{} for _ in needs]
        self.dead_ends: set[tuple[int, tuple[int, ...]]] = set()

    def run(self) -> list[Room] | None:
        spare = SEARCH_COST_LIMIT // max(1, len(self.available))
        steps = len(self.order) + max(LEAST_STEPS, spare)
        choices = [self._list_choices(0)]
        while True:
            level = len(choices) - 1
            room = next(choices[-1], None)
            if room is None:
                choices.pop()
                self.dead_ends.add((level, tuple(self.available)))
                if not choices:
                    return None
                self._undo(level - 1)
                continue
            steps -= 1
            if steps < 0:
                return None
            self.rooms[self.order[level]] = room
            self._take(room, 1)
            if level + 1 == len(self.order):
                return self.rooms
            # Only a search that had to step back pays for looking these up.
            if self.dead_ends and (level + 1, tuple(self.available)) in self.dead_ends:
                self._undo(level)
                continue
            choices.append(self._list_choices(level + 1))

    def _list_choices(self, level: int) -> Iterator[Room]:
        return list_rooms(self.layout, self.available, self.needs[self.order[level]])

    def _undo(self, level: int) -> None:
        self._take(self.rooms[self.order[level]], -1)

    def _take(self, room: Room, sign: int) -> None:
        for worker, count in room.items():
            self.available[worker] -= sign * count


_ADJACENCY_RANK = {Adjacency.RACK: 0, Adjacency.WORKER: 1, Adjacency.CELL: 2}


def _rank(need: Need) -> tuple[bool, bool, int, int]:
    # What is tied to a place comes first, what fits anywhere comes last.
    return (
        need.shape.adjacency is Adjacency.CELL,
        not need.charged,
        _ADJACENCY_RANK[need.shape.adjacency],
        -need.shape.accelerators,
    )


def list_rooms(layout: Layout, available: Sequence[int], need: Need) -> Iterator[Room]:
    """Yield the rooms that one need could have, the tightest fit first.

    Rooms that differ only in which of several equal workers they take are
    yielded once.
    """
    adjacency = need.shape.adjacency
    if adjacency is Adjacency.WORKER:
        return _list_worker_rooms(layout, available, need)
    if adjacency is Adjacency.RACK:
        return _list_rack_rooms(layout, available, need)
    return _list_cell_rooms(available, need)


def _list_worker_rooms(
    layout: Layout, available: Sequence[int], need: Need
) -> Iterator[Room]:
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
    # The first choice is nearly always the last one: it needs no sorting.
    yield {min(options)[1]: count}
    options.sort()
    seen = {_look_at_worker(layout, available, options[0][1])}
    for _, worker in options:
        # Two workers are the same choice when they and their racks look alike.
        look = _look_at_worker(layout, available, worker)
        if look not in seen:
            seen.add(look)
            yield {worker: count}


def _look_at_worker(
    layout: Layout, available: Sequence[int], worker: int
) -> tuple[int, int, tuple[tuple[int, int], ...]]:
    rack = layout.racks[layout.rack[worker]]
    look = _look_at(layout, available, rack)
    return available[worker], layout.capacity[worker], look


def _look_at(
    layout: Layout, available: Sequence[int], rack: tuple[int, ...]
) -> tuple[tuple[int, int], ...]:
    return tuple(sorted((available[each], layout.capacity[each]) for each in rack))


def _list_rack_rooms(
    layout: Layout, available: Sequence[int], need: Need
) -> Iterator[Room]:
    charged_racks = {layout.rack[worker] for worker in need.charged}
    if len(charged_racks) > 1:
        return
    if charged_racks:
        yield from _list_rooms_in_rack(layout, available, need, charged_racks.pop())
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
        look = _look_at(layout, available, layout.racks[index])
        if look not in seen:
            seen.add(look)
            yield from _list_rooms_in_rack(layout, available, need, index)


def _list_rooms_in_rack(
    layout: Layout, available: Sequence[int], need: Need, rack: int
) -> Iterator[Room]:
    workers = layout.racks[rack]
    charged = need.charged
    whole = [
        worker
        for worker in workers
        if layout.capacity[worker]
        and available[worker] + charged.get(worker, 0) == layout.capacity[worker]
    ]
    # Charged workers must be in the room; larger workers first, so that racks of
    # unequal workers are used whole where they can be.
    whole.sort(key=lambda each: (each not in charged, -layout.capacity[each]))
    for remainder in (None, *_list_remainders(layout, available, need, workers)):
        room = _fill_rack(layout, need, whole, remainder, available)
        if room is not None:
            yield room


def _list_remainders(
    layout: Layout, available: Sequence[int], need: Need, workers: tuple[int, ...]
) -> list[int]:
    """List distinct workers that could be used in part, the tightest first."""
    options = sorted(workers, key=lambda each: (available[each], each))
    seen = set()
    remainders = []
    for worker in options:
        charged = need.charged.get(worker, 0)
        look = (available[worker], layout.capacity[worker])
        # While charged needs are dealt with, equal workers can still differ in
        # what the other charged needs must enclose.
        if look in seen and not need.charged:
            continue
        seen.add(look)
        if available[worker] or charged:
            remainders.append(worker)
    return remainders


def _fill_rack(
    layout: Layout,
    need: Need,
    whole: Sequence[int],
    remainder: int | None,
    available: Sequence[int],
) -> Room | None:
    missing = need.shape.accelerators
    room: Room = {}
    for worker in whole:
        if worker != remainder and missing >= layout.capacity[worker]:
            missing -= layout.capacity[worker]
            room[worker] = layout.capacity[worker] - need.charged.get(worker, 0)
    if remainder is not None and missing:
        extra = missing - need.charged.get(remainder, 0)
        if 0 <= extra <= available[remainder]:
            room[remainder] = extra
            missing = 0
    if missing or any(worker not in room for worker in need.charged):
        return None
    return room


def _list_cell_rooms(available: Sequence[int], need: Need) -> Iterator[Room]:
    missing = need.shape.accelerators - sum(need.charged.values())
    if missing < 0:
        return
    room: Room = {}
    for worker in sorted(range(len(available)), key=lambda each: available[each]):
        if not missing:
            break
        count = min(missing, available[worker])
        if count > 0:
            room[worker] = count
            missing -= count
    if not missing:
        yield room

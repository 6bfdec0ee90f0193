"""Where a unit goes.

Load: gangs of up to dozens of members that take one to eight accelerators each,
among single tasks of one. Harm: accelerators left over in ones and twos on every
worker host no whole-worker task. So a unit goes where it leaves the least over,
and a gang fills workers that are in use before it opens a free one. A gang bound
to one rack, or a task whose data lies in a rack, takes several times as long
elsewhere, so it waits for that rack for a while before it goes elsewhere.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field

from primrosestile.decisions.work.board import Board
from primrosestile.decisions.work.units import Unit, Worker
from primrosestile.state.work import Need

# Away from its rack a task takes three times as long, so waiting pays for up to
# twice its run time; the estimate may be off by a factor of two either way, and
# an accelerator held three times as long is lost to others, so half of that.
FAR_PATIENCE_FACTOR = 1.0
FAR_PATIENCE_SECONDS = (1.0, 8.0)
# Urgent work has a slack of half its run time.
URGENT_PATIENCE_FACTOR = 0.5


@dataclass(frozen=True, slots=True)
class Kept:
    """Room that is kept for a unit until it can start."""

    need: Need
    filling: bool
    count: int
    until: float


@dataclass(slots=True)
class Room:
    """What is free on one worker as a pass goes on; may be below zero.

    Attributes:
        kept: What is kept for others; it is taken from the figures.
        wanted: A gang waits for this worker. Urgent work, which goes before what
            is kept, takes another one where it can: a gang whose workers were
            taken one by one waited for over thirty seconds.
        steps: Tasks of each step with a bound on their number here: those that
            the worker has, and those that this pass gave it. Were the latter left
            out, one pass would put a whole step on one worker.
    """

    worker: Worker
    processor: int
    memory: int
    accelerators: int
    steps: Counter[tuple[str, int, int]] = field(default_factory=Counter)
    kept: list[Kept] = field(default_factory=list)
    wanted: bool = False

    def count_fitting(self, need: Need, filling: bool) -> int:
        """Return how many tasks of a need fit."""
        counts = []
        if need.processor and not filling:
            counts.append(self.processor // need.processor)
        if need.memory:
            counts.append(self.memory // need.memory)
        if need.accelerators:
            counts.append(self.accelerators // need.accelerators)
        return max(0, min(counts, default=1_000))

    def take(self, need: Need, filling: bool, count: int = 1) -> None:
        """Count tasks in; a negative count gives them back."""
        if not filling:
            self.processor -= need.processor * count
        self.memory -= need.memory * count
        self.accelerators -= need.accelerators * count

    def copy(self) -> "Room":
        """Return an independent copy."""
        return Room(
            self.worker,
            self.processor,
            self.memory,
            self.accelerators,
            self.steps.copy(),
            self.kept.copy(),
            self.wanted,
        )

    def keep(self, need: Need, filling: bool, count: int, until: float) -> None:
        """Keep room for a unit that can't start before a time."""
        self.take(need, filling, count)
        self.kept.append(Kept(need, filling, count, until))

    def lend(self, ends_at: float) -> "Room":
        """Return the room for work that ends before what is kept is needed."""
        if not any(each.until >= ends_at for each in self.kept):
            return self
        lent = self.copy()
        for each in self.kept:
            if each.until >= ends_at:
                lent.take(each.need, each.filling, -each.count)
        return lent


Rooms = dict[str, Room]


def make_rooms(board: Board, now: float) -> Rooms:
    """Return what is free on each worker that may get work."""
    rooms = {}
    for worker in board.workers.values():
        if worker.may_take(now):
            free = worker.find_room()
            rooms[worker.name] = Room(
                worker,
                free.processor,
                free.memory,
                free.accelerators,
                _count_bounded(worker),
            )
    return rooms


def _count_bounded(worker: Worker) -> Counter[tuple[str, int, int]]:
    return Counter(
        member.unit.step_key
        for member in worker.members.values()
        if member.unit.step.most_per_worker
    )


def copy_rooms(rooms: Rooms) -> Rooms:
    """Return an independent copy of all rooms."""
    return {name: room.copy() for name, room in rooms.items()}


def find_eligible(unit: Unit, rooms: Rooms) -> list[Room]:
    """Return the rooms of workers on which a unit's tasks are allowed."""
    step = unit.step
    pool = unit.job.queue.pool or unit.job.submission.pool
    return [
        room
        for room in rooms.values()
        if room.worker.entry.pool == pool
        and (not step.label or step.label in room.worker.entry.labels)
        and room.worker.name not in unit.failed_on
    ]


def count_allowed(unit: Unit, room: Room) -> int:
    """Return how many tasks of a unit a worker can take now."""
    step = unit.step
    fitting = room.count_fitting(step.need, step.filling)
    if not step.most_per_worker or not fitting:
        return fitting
    there = room.steps[unit.step_key]
    return max(0, min(fitting, step.most_per_worker - there))


def find_patience(unit: Unit) -> float:
    """Return how long a unit waits for the rack where it runs fastest."""
    factor = FAR_PATIENCE_FACTOR
    if unit.job.queue.priority == 0:
        factor = URGENT_PATIENCE_FACTOR
    low, high = FAR_PATIENCE_SECONDS
    return min(high, max(low, factor * unit.step.estimate_seconds))


def place(
    unit: Unit, rooms: Rooms, now: float, seconds: float, slow: Collection[str] = ()
) -> list[Worker] | None:
    """Return a worker for each member, or None when it must wait.

    The rooms are not changed.

    Args:
        unit: To be placed.
        rooms: What is free.
        now: On the loop's clock.
        seconds: How long its run is expected to take: room that is kept for
            others until later may be used meanwhile.
        slow: Workers on which urgent work is late; it goes there last, but sooner
            than it waits.
    """
    eligible = [room.lend(now + seconds) for room in find_eligible(unit, rooms)]
    patient = now - (unit.ready_at or now) < find_patience(unit)
    if unit.job.queue.priority == 0:
        fast = [room for room in eligible if room.worker.name not in slow]
        for group in ([room for room in fast if not room.wanted], fast):
            workers = _place_in(unit, group, patient)
            if workers is not None:
                return workers
    return _place_in(unit, eligible, patient)


def _place_in(
    unit: Unit, eligible: Sequence[Room], patient: bool
) -> list[Worker] | None:
    for group in list_groups(unit, eligible, patient):
        workers = fill(unit, group)
        if workers is not None:
            return workers
    return None


def list_groups(
    unit: Unit, eligible: Sequence[Room], patient: bool
) -> list[list[Room]]:
    """Return sets of rooms in the order in which they are to be tried."""
    step = unit.step
    racks: dict[str, list[Room]] = {}
    for room in eligible:
        racks.setdefault(room.worker.entry.rack, []).append(room)
    groups: list[list[Room]] = []
    if step.data_rack in racks:
        groups.append(racks[step.data_rack])
    elif step.one_rack and unit.size > 1:
        # The rack that would be left with the least: others stay whole.
        groups += sorted(racks.values(), key=_count_free)
    else:
        return [list(eligible)]
    if not patient or not any(could_hold(unit, group) for group in groups):
        groups.append(list(eligible))
    return groups


def list_racks(unit: Unit, eligible: Sequence[Room]) -> list[list[Room]]:
    """Return the sets of rooms within which a unit runs at its full speed."""
    step = unit.step
    racks: dict[str, list[Room]] = {}
    for room in eligible:
        racks.setdefault(room.worker.entry.rack, []).append(room)
    if step.data_rack in racks:
        groups = [racks[step.data_rack]]
    elif step.one_rack and unit.size > 1:
        groups = list(racks.values())
    else:
        return [list(eligible)]
    groups = [group for group in groups if could_hold(unit, group)]
    return groups or [list(eligible)]


def _count_free(rooms: Iterable[Room]) -> int:
    return sum(max(0, room.accelerators) for room in rooms)


def could_hold(unit: Unit, group: Sequence[Room]) -> bool:
    """Whether a set of workers could hold a unit, were they empty."""
    step = unit.step
    count = 0
    for room in group:
        capacity = room.worker.entry.capacity
        empty = Room(
            room.worker, capacity.processor, capacity.memory, capacity.accelerators
        )
        fitting = empty.count_fitting(step.need, step.filling)
        count += min(fitting, step.most_per_worker or fitting)
    return count >= unit.size


def fill(unit: Unit, rooms: Sequence[Room]) -> list[Worker] | None:
    """Return a worker for each member, fullest workers first, or None."""
    workers: list[Worker] = []
    wanted = unit.size
    for room in sorted(rooms, key=_rank_room):
        count = min(count_allowed(unit, room), wanted - len(workers))
        workers += [room.worker] * count
        if len(workers) == wanted:
            return workers
    return None


def _rank_room(room: Room) -> tuple[int, int]:
    return (room.accelerators, room.processor)


def take_rooms(unit: Unit, workers: Iterable[Worker], rooms: Rooms) -> None:
    """Count a unit's members in, so that later units of the pass see it."""
    for worker in workers:
        room = rooms.get(worker.name)
        if room is not None:
            take_room(unit, room)


def take_room(unit: Unit, room: Room) -> None:
    """Count one member of a unit in."""
    room.take(unit.step.need, unit.step.filling)
    if unit.step.most_per_worker:
        room.steps[unit.step_key] += 1

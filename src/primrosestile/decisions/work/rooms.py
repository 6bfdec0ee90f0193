"""What is free on each worker during a scheduling pass.

A pass takes the room of what it starts or reserves, so that its later decisions see
what is left. `placement` chooses workers by these figures.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from primrosestile.decisions.work.crashes import is_isolated, is_on_trial
from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.decisions.work.units import Unit, Worker
from primrosestile.state.work import Need

# Tasks that fit if they need nothing that is counted.
UNBOUNDED_TASKS = 1_000


@dataclass(frozen=True, slots=True)
class Reservation:
    """Room that is reserved on one worker for a unit until it can start."""

    need: Need
    best_effort: bool
    count: int
    until: float


@dataclass(slots=True)
class Room:
    """What is free on one worker during a pass; may be below zero.

    Attributes:
        steps: Tasks of each step with a bound on their number here: those that
            the worker has, and those that this pass gave it. Without the latter,
            one pass would put a whole step on one worker.
        reservations: Room reserved for others; already subtracted from the figures.
        is_reserved: A waiting unit has reserved this worker. Urgent work, which
            goes before reservations, takes another one if it can: a gang whose
            workers were taken one by one waited for over thirty seconds.
        occupied: Something runs there.
        suspected: A worker has crashed under something that runs there.
        closed: Something there may crash the worker: nothing else is started.
    """

    worker: Worker
    processor: int
    memory: int
    accelerators: int
    steps: dict[tuple[str, int, int], int] = field(default_factory=dict)
    reservations: list[Reservation] = field(default_factory=list)
    is_reserved: bool = False
    occupied: bool = False
    suspected: bool = False
    closed: bool = False

    def take(self, need: Need, best_effort: bool, count: int = 1) -> None:
        """Count tasks in; a negative count gives them back."""
        if not best_effort:
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
            self.reservations.copy(),
            self.is_reserved,
            self.occupied,
            self.suspected,
            self.closed,
        )

    def reserve(self, need: Need, best_effort: bool, count: int, until: float) -> None:
        """Reserve room for a unit that can't start before a time."""
        self.take(need, best_effort, count)
        self.reservations.append(Reservation(need, best_effort, count, until))

    def find_backfill_room(self, ends_at: float) -> "Room":
        """Return the room for work that ends before reserved room is needed."""
        if not self.reservations or not any(
            each.until >= ends_at for each in self.reservations
        ):
            return self
        backfill_room = self.copy()
        for each in self.reservations:
            if each.until >= ends_at:
                backfill_room.take(each.need, each.best_effort, -each.count)
        return backfill_room


Rooms = dict[str, Room]


def count_tasks(
    need: Need, best_effort: bool, processor: int, memory: int, accelerators: int
) -> int:
    """Return how many tasks with a need fit into what is free."""
    # Called some thousand times in a pass over 176 workers, so it builds no list and
    # makes no calls.
    most = UNBOUNDED_TASKS
    if need.accelerators:
        most = accelerators // need.accelerators
    if need.memory:
        fitting = memory // need.memory
        most = fitting if fitting < most else most
    if need.processor and not best_effort:
        fitting = processor // need.processor
        most = fitting if fitting < most else most
    return most if most > 0 else 0


def make_rooms(fleet_state: FleetState, now: float) -> Rooms:
    """Return what is free on each worker that may get work."""
    rooms = {}
    for worker in fleet_state.workers.values():
        if worker.may_take(now):
            free = worker.find_room()
            suspects = [each for each in worker.members.values() if each.unit.crashes]
            rooms[worker.name] = Room(
                worker,
                free.processor,
                free.memory,
                free.accelerators,
                _count_bounded(worker),
                occupied=bool(worker.members),
                suspected=bool(suspects),
                closed=any(is_on_trial(each, now) for each in suspects),
            )
    return rooms


def _count_bounded(worker: Worker) -> dict[tuple[str, int, int], int]:
    counts: dict[tuple[str, int, int], int] = {}
    for member in worker.members.values():
        if member.unit.step.max_per_worker:
            key = member.unit.step_key
            counts[key] = counts.get(key, 0) + 1
    return counts


def copy_rooms(rooms: Rooms) -> Rooms:
    """Return an independent copy of all rooms."""
    return {name: room.copy() for name, room in rooms.items()}


def take_rooms(unit: Unit, workers: Iterable[Worker], rooms: Rooms) -> None:
    """Take the room of a unit's members, so that later units of the pass see it."""
    for worker in workers:
        room = rooms.get(worker.name)
        if room is not None:
            take_room(unit, room)


def take_room(unit: Unit, room: Room) -> None:
    """Take the room of one member of a unit."""
    room.take(unit.step.need, unit.step.best_effort)
    room.occupied = True
    if unit.crashes:
        room.suspected = True
        room.closed = room.closed or is_isolated(unit)
    if unit.step.max_per_worker:
        key = unit.step_key
        room.steps[key] = room.steps.get(key, 0) + 1

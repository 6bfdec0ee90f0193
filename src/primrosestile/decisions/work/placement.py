"""Places units on workers.

Load: gangs of up to dozens of members with one to eight accelerators each, among
single tasks of one. Harm: fragmentation; one or two accelerators left on every worker
host no whole-worker task. So a unit goes where it leaves the least over, and a gang
fills workers that are in use before an empty one. A gang bound to one rack, or a task
whose data is in a rack, takes several times as long elsewhere, so it waits for that
rack for some time (the locality wait).
"""

import math
from collections import Counter
from collections.abc import Collection, Iterable, Sequence

from primrosestile.decisions.work.crashes import awaits_isolation
from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.decisions.work.rooms import Room, Rooms, count_tasks
from primrosestile.decisions.work.units import Unit, Worker

# Outside its rack a task takes three times as long, so waiting pays for up to twice its
# run time; after that it is late either way. Uses learned run times, since callers'
# estimates may be off by a factor of eight.
LOCALITY_WAIT_FACTOR = 2.0
LOCALITY_WAIT_BOUNDS_SECONDS = (1.0, 20.0)
# Urgent work is late after waiting half its run time, and of no use after 3.5 times it.
URGENT_LOCALITY_WAIT_FACTOR = 1.5
# While less than this share of a pool's accelerators is in use, no other unit needs
# what a run outside its rack occupies for longer, and operators guarantee that nothing
# waits for three seconds while there is twice the room for it.
IDLE_SHARE = 0.5
IDLE_LOCALITY_WAIT_SECONDS = 2.0
# For how long a unit waits for another worker than those on which it failed. Operators
# guarantee that nothing waits for three seconds while there is twice the room for it.
AVOIDANCE_SECONDS = 2.0
# For how long other workers are preferred to those; faults of workers last for seconds.
FAILURE_MEMORY_SECONDS = 30.0


def list_suitable(unit: Unit, rooms: Rooms) -> list[Room]:
    """Return the open rooms of workers with a unit's pool and label."""
    pool = unit.pool
    label = unit.step.label
    return [
        room
        for room in rooms.values()
        if room.worker.entry.pool == pool
        and not room.closed
        and (not label or label in room.worker.entry.labels)
    ]


def find_eligible(unit: Unit, rooms: Rooms, now: float) -> list[Room]:
    """Return the rooms of workers on which a unit's tasks are allowed.

    Workers on which a run of it failed lately are left out if the others have room for
    it, and for a short time if they could have: a task that failed once would never
    start again if the others are full of work that lasts, or if there are none.
    """
    allowed = list_suitable(unit, rooms)
    if unit.crashes and awaits_isolation(unit, now):
        allowed = [room for room in allowed if not room.occupied]
    if unit.job.queue.advised is not None:
        permits = unit.permits
        allowed = [room for room in allowed if permits.is_valid(room.worker.name, now)]
    avoided = list_avoided(unit, now)
    if not avoided:
        return allowed
    others = [room for room in allowed if room.worker.name not in avoided]
    if sum(count for count, _ in list_fitting(unit, others)) >= unit.size:
        return others
    if waits_elsewhere(unit, now) and could_hold(unit, others):
        return others
    return allowed


def list_avoided(unit: Unit, now: float) -> list[str]:
    """Return the workers on which a unit failed lately."""
    return [
        name
        for name, failed_at in unit.failed_on.items()
        if now - failed_at < FAILURE_MEMORY_SECONDS
    ]


def waits_elsewhere(unit: Unit, now: float) -> bool:
    """Whether a unit still waits for other workers than those on which it failed."""
    return any(now - at < AVOIDANCE_SECONDS for at in unit.failed_on.values())


def count_allowed(unit: Unit, room: Room) -> int:
    """Return how many tasks of a unit a worker can take now."""
    step = unit.step
    fitting = count_tasks(
        step.need, step.best_effort, room.processor, room.memory, room.accelerators
    )
    if not step.max_per_worker or not fitting:
        return fitting
    there = room.steps.get(unit.step_key, 0)
    return max(0, min(fitting, step.max_per_worker - there))


def find_idle_pools(fleet_state: FleetState) -> set[str]:
    """Return the pools of whose accelerators less than half are in use."""
    used: Counter[str] = Counter()
    capacity: Counter[str] = Counter()
    for worker in fleet_state.workers.values():
        used[worker.entry.pool] += worker.accelerators
        capacity[worker.entry.pool] += worker.entry.capacity.accelerators
    return {pool for pool in capacity if used[pool] < IDLE_SHARE * capacity[pool]}


def find_locality_wait(unit: Unit, seconds: float, idle: bool) -> float:
    """Return how many seconds a unit waits for the rack where it runs fastest.

    Args:
        unit: To be placed.
        seconds: Expected run time there.
        idle: Whether its pool is one of `find_idle_pools`.
    """
    if idle:
        return IDLE_LOCALITY_WAIT_SECONDS
    factor = LOCALITY_WAIT_FACTOR
    if unit.job.queue.priority == 0:
        factor = URGENT_LOCALITY_WAIT_FACTOR
    low, high = LOCALITY_WAIT_BOUNDS_SECONDS
    return min(high, max(low, factor * seconds))


def place(
    unit: Unit,
    rooms: Rooms,
    now: float,
    seconds: float,
    slow: Collection[str] = (),
    locality_wait: float = 0.0,
) -> list[Worker] | None:
    """Return a worker for each member, or None when it must wait.

    The rooms are not changed.

    Args:
        unit: To be placed.
        rooms: What is free.
        now: On the loop's clock.
        seconds: Expected run time; room that is reserved for others for later than
            its end may be backfilled.
        slow: Workers on which urgent work is late; it goes there only if it would
            wait otherwise.
        locality_wait: For how many seconds it waits for the rack where it is fastest.
    """
    ends_at = now + seconds
    eligible = [
        room.find_backfill_room(ends_at) if room.reservations else room
        for room in find_eligible(unit, rooms, now)
    ]
    # Most waiting units fit nowhere; this is checked before any rack is examined.
    if sum(count for count, _ in list_fitting(unit, eligible)) < unit.size:
        return None
    waited = now - (unit.ready_at or now)
    waits_for_rack = waited < locality_wait
    if unit.crashes:
        # With two suspects on one worker, its next crash would count for both.
        apart = [room for room in eligible if not room.suspected]
        workers = _place_in(unit, apart, waits_for_rack)
        if workers is not None:
            return workers
    if unit.job.queue.priority == 0:
        fast = [room for room in eligible if room.worker.name not in slow]
        for group in ([room for room in fast if not room.is_reserved], fast):
            workers = _place_in(unit, group, waits_for_rack)
            if workers is not None:
                return workers
    return _place_in(unit, eligible, waits_for_rack)


def _place_in(
    unit: Unit, eligible: Sequence[Room], waits_for_rack: bool
) -> list[Worker] | None:
    for group in list_groups(unit, eligible, waits_for_rack):
        workers = fill(unit, group)
        if workers is not None:
            return workers
    return None


def list_groups(
    unit: Unit, eligible: Sequence[Room], waits_for_rack: bool
) -> list[list[Room]]:
    """Return groups of rooms in the order in which they are to be tried."""
    step = unit.step
    racks = _group_by_rack(eligible)
    groups: list[list[Room]] = []
    if step.data_rack in racks:
        groups.append(racks[step.data_rack])
    elif step.one_rack and unit.size > 1:
        # Best fit: the rack with the least free room first, so that others stay whole.
        groups += sorted(racks.values(), key=_count_free)
    else:
        return [list(eligible)]
    if not waits_for_rack or not any(could_hold(unit, group) for group in groups):
        groups.append(list(eligible))
    return groups


def list_racks(unit: Unit, eligible: Sequence[Room]) -> list[list[Room]]:
    """Return the groups of rooms within which a unit runs at full speed."""
    step = unit.step
    racks = _group_by_rack(eligible)
    if step.data_rack in racks:
        groups = [racks[step.data_rack]]
    elif step.one_rack and unit.size > 1:
        groups = list(racks.values())
    else:
        return [list(eligible)]
    groups = [group for group in groups if could_hold(unit, group)]
    return groups or [list(eligible)]


def _group_by_rack(rooms: Iterable[Room]) -> dict[str, list[Room]]:
    racks: dict[str, list[Room]] = {}
    for room in rooms:
        racks.setdefault(room.worker.entry.rack, []).append(room)
    return racks


def _count_free(rooms: Iterable[Room]) -> int:
    return sum(max(0, room.accelerators) for room in rooms)


def could_hold(unit: Unit, group: Sequence[Room]) -> bool:
    """Whether a group of workers could hold a unit if they were empty."""
    step = unit.step
    wanted = unit.size
    count = 0
    for room in group:
        capacity = room.worker.entry.capacity
        fitting = count_tasks(
            step.need,
            step.best_effort,
            capacity.processor,
            capacity.memory,
            capacity.accelerators,
        )
        count += min(fitting, step.max_per_worker or fitting)
        if count >= wanted:
            return True
    return count >= wanted


def fill(unit: Unit, rooms: Sequence[Room]) -> list[Worker] | None:
    """Return a worker for each member, fullest workers first, or None."""
    wanted = unit.size
    fitting = list_fitting(unit, rooms)
    if sum(count for count, _ in fitting) < wanted:
        return None
    workers: list[Worker] = []
    for count, room in sorted(fitting, key=_rank_fitting):
        workers += [room.worker] * min(count, wanted - len(workers))
        if len(workers) == wanted:
            break
    return workers


def list_fitting(unit: Unit, rooms: Iterable[Room]) -> list[tuple[int, Room]]:
    """Return the rooms that can take a member of a unit now, and how many."""
    # Free amounts may be below zero; that is no obstacle where nothing is needed.
    accelerators = unit.step.need.accelerators or -math.inf
    memory = unit.step.need.memory or -math.inf
    fitting = []
    for room in rooms:
        # Most rooms of a busy fleet lack these; checked here to save a call.
        if room.accelerators < accelerators or room.memory < memory:
            continue
        count = count_allowed(unit, room)
        if count:
            fitting.append((count, room))
    return fitting


def _rank_fitting(fitting: tuple[int, Room]) -> tuple[int, int]:
    room = fitting[1]
    return (room.accelerators, room.processor)

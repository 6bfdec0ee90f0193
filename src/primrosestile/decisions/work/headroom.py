"""Keeps accelerators free for urgent gangs that are expected soon.

Load: bursts of urgent gangs on a full fleet where a stop takes as long as the slack of
the urgent work. Harm: room of an urgent run that has ended is filled with patient work,
which is stopped again for the next urgent gang; that gang is late by the time of one
stop, however early the decision was made. So part of the free room is withheld from
work that is not urgent while urgent work arrives. Nothing is stopped to create
headroom, and it is released within `WINDOW_SECONDS` of the last urgent arrival.
"""

from collections import Counter
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field, replace

from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.decisions.work.headroom_state import (
    WINDOW_SECONDS,
    HeadroomState,
    PoolHeadroom,
)
from primrosestile.decisions.work.queue_order import count_accelerators
from primrosestile.decisions.work.rooms import Room, Rooms
from primrosestile.decisions.work.units import Job, Unit
from primrosestile.state.policy import Queue
from primrosestile.state.work import Need

# From the end of a run until its room is used again: end listed, pass, record, order.
TURNAROUND_SECONDS = 0.4
# Of a pool's accelerators; bounds what work that is not urgent can lose.
MAX_SHARE = 0.15
# A stop that takes more than this share of its slack makes most urgent work late that
# has to wait for one.
STOP_SHARE_OF_SLACK = 0.5
# The run time by which the slack of an urgent queue is judged. A learned one is longer
# by the slowness of slow workers, so that it shows slack that callers don't have.
USUAL_URGENT_SECONDS = 2.0
# Operators promise that nothing waits for 3 s next to twice the room that it needs;
# this leaves a second for the start.
IDLE_WAIT_SECONDS = 2.0


def find_headroom(
    fleet_state: FleetState, rooms: Rooms, now: float, max_share: float = MAX_SHARE
) -> dict[str, PoolHeadroom]:
    """Return what is to be withheld, by pool; nothing where headroom is not used.

    The room of the urgent work that arrives while a stop lasts is enough: by then, room
    that has to be freed for more is free.
    """
    if not is_used(fleet_state):
        return {}
    counts: Counter[str] = Counter()
    arrived: Counter[str] = Counter()
    for job in fleet_state.headroom.list_arrivals(now):
        counts[_get_pool(job)] += 1
        arrived[_get_pool(job)] += count_accelerators(job.submission.steps)
    if not arrived:
        return {}
    used: Counter[str] = Counter()
    for job in fleet_state.jobs.values():
        if job.queue.priority == 0 and not job.state.final:
            used[_get_pool(job)] += count_accelerators(job.submission.steps)
    capacities: Counter[str] = Counter()
    for room in rooms.values():
        entry = room.worker.entry
        capacities[entry.pool] += entry.capacity.accelerators
    seconds = fleet_state.settings.stop_seconds + TURNAROUND_SECONDS
    found = {}
    for pool, accelerators in arrived.items():
        demand = accelerators / WINDOW_SECONDS * seconds
        wanted = int(min(demand, max_share * capacities[pool]))
        found[pool] = PoolHeadroom(wanted, demand, used[pool], counts[pool])
    return found


def is_used(fleet_state: FleetState) -> bool:
    """Whether headroom is used in this deployment.

    `auto`: on where a stop takes more than half the slack of some urgent queue.
    """
    stop_seconds = fleet_state.settings.stop_seconds
    wanted = any(
        stop_seconds > STOP_SHARE_OF_SLACK * _find_slack(queue)
        for queue in fleet_state.policy.queues
        if queue.priority == 0
    )
    return fleet_state.settings.headroom.resolve(wanted)


def _find_slack(queue: Queue) -> float:
    return (queue.stretch - 1.0) * USUAL_URGENT_SECONDS + queue.objective_seconds


def _get_pool(job: Job) -> str:
    return job.queue.pool or job.submission.pool


@dataclass(slots=True)
class Withholding:
    """Takes the headroom out of a pass's rooms while it examines other work.

    Attributes:
        headroom: What is to be withheld, by pool.
        state: What the last pass withheld. Its workers are preferred, so that the room
            of runs that end there is added to it.
        room_views: What is free now, and what will be.
    """

    headroom: dict[str, PoolHeadroom]
    state: HeadroomState
    room_views: tuple[Rooms, ...]
    idle_pools: Collection[str]
    now: float
    _taken: list[tuple[str, Need]] = field(default_factory=list)
    _active: bool = False

    def apply(self, unit: Unit) -> None:
        """Withhold headroom from a unit, or give it back for one that is exempt."""
        if not self.headroom:
            return
        if self._is_exempt(unit):
            self._release()
        else:
            self._withhold()

    def _is_exempt(self, unit: Unit) -> bool:
        if unit.job.queue.priority == 0 or unit.step.daemon:
            return True
        waited = self.now - (self.now if unit.ready_at is None else unit.ready_at)
        return unit.pool in self.idle_pools and waited >= IDLE_WAIT_SECONDS

    def finish(self) -> None:
        """Record what is withheld at the end of a pass, for the next one."""
        self._withhold()
        self.state.pools = self.headroom

    def _withhold(self) -> None:
        if self._active:
            return
        self._active = True
        for pool, headroom in self.headroom.items():
            free_rooms = [
                room
                for room in self.room_views[0].values()
                if room.worker.entry.pool == pool
            ]
            before = self.state.pools.get(pool)
            preferred = before.workers if before else ()
            chosen = _choose_rooms(free_rooms, headroom.wanted, preferred)
            self.headroom[pool] = replace(
                headroom,
                workers=tuple(room.worker.name for room in chosen),
                amount=sum(room.accelerators for room in chosen),
            )
            for room in chosen:
                free = Need(
                    max(0, room.processor), max(0, room.memory), room.accelerators
                )
                self._taken.append((room.worker.name, free))
                self._change(room.worker.name, free, 1)

    def _release(self) -> None:
        for name, free in self._taken:
            self._change(name, free, -1)
        self._taken.clear()
        self._active = False

    def _change(self, name: str, need: Need, count: int) -> None:
        for rooms in self.room_views:
            if name in rooms:
                rooms[name].take(need, False, count)


def _choose_rooms(
    rooms: Sequence[Room], wanted: int, before: Collection[str]
) -> list[Room]:
    """Return rooms with at most `wanted` free accelerators, in few racks.

    Urgent gangs mostly need whole workers of one rack, so all that is free on a worker
    is withheld.
    """
    racks: dict[str, list[Room]] = {}
    for room in rooms:
        if room.accelerators > 0 and not room.closed:
            racks.setdefault(room.worker.entry.rack, []).append(room)
    ranked = sorted(racks.values(), key=lambda rack: _rank_rack(rack, before))
    chosen = []
    for rack in ranked:
        for room in sorted(rack, key=lambda room: _rank_room(room, before)):
            if room.accelerators <= wanted:
                wanted -= room.accelerators
                chosen.append(room)
    return chosen


def _rank_rack(rack: Sequence[Room], before: Collection[str]) -> tuple[int, int]:
    held = sum(room.accelerators for room in rack if room.worker.name in before)
    return -held, -sum(room.accelerators for room in rack)


def _rank_room(room: Room, before: Collection[str]) -> tuple[bool, bool, int]:
    return room.worker.name not in before, room.is_reserved, -room.accelerators

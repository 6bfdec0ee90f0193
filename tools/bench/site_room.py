"""The most that a random day's fleet can hold, for the bound on any scheduler.

Each resource is an inequality that every schedule satisfies at every time: what running
tasks take of it, summed over the fleet or one rack, is at most its capacity. Besides
processor, memory and accelerators there are rounded resources: two tasks that take more
than half of a worker each can't share it, whatever their exact needs.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import numpy as np

from primrosestile.state.work import Need
from tools.bench.site_driver import CLOSING_SECONDS
from tools.bench.site_workloads import Fault, Workload, draw_affected, name_rack

GRID_SECONDS = 0.5
# The driver handles events that are due within this time of another together with it.
EARLY_SECONDS = 0.004
# Each gives a rounded inequality: with 1, needs above 1/2 count as a whole worker.
ROUNDINGS = (1, 2, 3)

PARTS = ("processor", "memory", "accelerators")

# Returns the share of one worker that a need takes.
Measure = Callable[[Need], float]


def list_measures(capacity: Need, needs: Iterable[Need]) -> list[Measure]:
    """Return the measures that no other one implies for the day's needs."""
    measures: list[Measure] = []
    for name in PARTS:
        whole = getattr(capacity, name)
        measures.append(lambda need, n=name, w=whole: getattr(need, n) / w)
        measures += [
            lambda need, n=name, w=whole, r=rounding: round_share(
                getattr(need, n), w, r
            )
            for rounding in ROUNDINGS
        ]
    needs = list(needs)
    kept: dict[tuple[float, ...], Measure] = {}
    for measure in measures:
        kept.setdefault(tuple(measure(need) for need in needs), measure)
    return [
        measure
        for shares, measure in kept.items()
        if any(shares) and not any(_implies(each, shares) for each in kept)
    ]


def round_share(need: int, capacity: int, rounding: int) -> float:
    """Return a rounded share; the shares of tasks that fit together sum to at most 1.

    A dual feasible function: of tasks that take more than 1/(r+1) of a worker each, at
    most r fit, so each counts as at least 1/r; a whole multiple of 1/(r+1) is not
    rounded.
    """
    if (rounding + 1) * need % capacity == 0:
        return need / capacity
    return ((rounding + 1) * need // capacity) / rounding


def _implies(stronger: tuple[float, ...], shares: tuple[float, ...]) -> bool:
    if stronger == shares:
        return False
    return all(a >= b for a, b in zip(stronger, shares, strict=True))


@dataclass(frozen=True, slots=True)
class Gap:
    """A span of time in seconds."""

    begins: float
    ends: float


@dataclass(frozen=True, slots=True)
class Room:
    """The capacity of a day's fleet over time.

    Attributes:
        edges: Of the intervals of time, in seconds.
        measures: Of a need; each bounds the fleet, each rack, and large gangs.
        capacity: By resource and interval, in worker-seconds.
        racks: Names, in the order of their resources.
        slowness: Seconds that a second of work takes, by kind of worker.
        away: Times without an owner, in which nothing can be started.
        gap: A time in which some workers stall; what they hold isn't counted.
    """

    edges: np.ndarray
    measures: list[Measure]
    capacity: np.ndarray
    racks: list[str]
    rack_size: int
    worker: Need
    slowness: tuple[float, ...]
    away: tuple[Gap, ...]
    gap: Gap | None

    @property
    def intervals(self) -> np.ndarray:
        """The length of each interval in seconds."""
        return np.diff(self.edges)

    @property
    def outside(self) -> np.ndarray:
        """1 for intervals outside the gap, 0 for those in it."""
        if self.gap is None:
            return np.ones(len(self.edges) - 1)
        inside = (self.edges[:-1] >= self.gap.begins) & (
            self.edges[1:] <= self.gap.ends
        )
        return np.where(inside, 0.0, 1.0)

    def weigh(
        self, need: Need, count: int, rate: float, rack: str, together: bool
    ) -> np.ndarray:
        """Return what tasks of equal need take of each resource while they run.

        Args:
            need: Of one task.
            count: Number of tasks.
            rate: Usual workers whose time they take, at one task a worker.
            rack: The rack that they all run in; empty if it is not known.
            together: Whether they all run in one rack, whichever it is.
        """
        shares = np.array([measure(need) for measure in self.measures])
        size = len(shares)
        weights = np.zeros(len(self.capacity))
        weights[:size] = rate * shares
        if rack:
            begin = size * (1 + self.racks.index(rack))
            weights[begin : begin + size] = rate * shares
        if together:
            weights[-size:] = 2 * count * shares > self.rack_size + 1e-9
        return weights

    def fits_rack(self, need: Need, count: int) -> bool:
        """Whether an empty rack can hold a number of tasks of equal need."""
        fitting = [
            getattr(self.worker, name) // getattr(need, name)
            for name in PARTS
            if getattr(need, name)
        ]
        return count <= self.rack_size * min(fitting, default=count)


def make_room(workload: Workload, seed: int, needs: Iterable[Need]) -> Room:
    """Return the capacity of a day's fleet, measured for the day's needs."""
    affected = draw_affected(workload, seed)
    away = []
    gaps: list[tuple[Gap, frozenset[int]]] = []
    departures: list[tuple[float, frozenset[int]]] = []
    for trouble, workers in zip(workload.troubles, affected, strict=True):
        ends = trouble.at + trouble.seconds
        window = Gap(trouble.at, max(trouble.at, ends - EARLY_SECONDS))
        if trouble.fault is Fault.NO_OWNER:
            away.append(window)
        elif trouble.fault is Fault.STALLED:
            gaps.append((window, frozenset(workers)))
        elif trouble.fault is Fault.LEAVE:
            departures.append((ends, frozenset(workers)))
    # Only the first gap is modelled: a run may span several and be exempted twice.
    gap, stalled = gaps[0] if gaps else (None, frozenset())
    edges = _make_edges(workload, gap, departures)
    rates = 1 / np.array(
        [
            workload.speeds[number % len(workload.speeds)]
            for number in range(workload.workers)
        ]
    )
    present = np.ones((workload.workers, len(edges) - 1))
    for at, workers in departures:
        present[np.ix_(sorted(workers), edges[:-1] >= at)] = 0.0
    if gap is not None:
        inside = (edges[:-1] >= gap.begins) & (edges[1:] <= gap.ends)
        present[np.ix_(sorted(stalled), inside)] = 0.0
    held = present * rates[:, None] * np.diff(edges)
    names = [name_rack(workload, number) for number in range(workload.workers)]
    racks = sorted(set(names))
    by_rack = [held[[name == rack for name in names]].sum(axis=0) for rack in racks]
    measures = list_measures(workload.capacity, needs)
    each = len(measures)
    rows = [held.sum(axis=0)] * each
    rows += [row for row in by_rack for _ in range(each)]
    # Each gang that takes more than half of a rack has a rack to itself.
    rows += [len(racks) * np.diff(edges)] * each
    return Room(
        edges,
        measures,
        np.array(rows),
        racks,
        workload.rack_size,
        workload.capacity,
        _find_slowness(workload),
        tuple(away),
        gap,
    )


def _find_slowness(workload: Workload) -> tuple[float, ...]:
    """Return the fastest workers' factor, and the bounds on the others' factors."""
    fastest = min(workload.speeds)
    others = [speed for speed in workload.speeds if speed > fastest]
    return (fastest, min(others), max(others)) if others else (fastest,)


def _make_edges(
    workload: Workload, gap: Gap | None, departures: list[tuple[float, frozenset[int]]]
) -> np.ndarray:
    ends_at = workload.seconds + CLOSING_SECONDS
    marks = {at for at, _ in departures}
    if gap is not None:
        marks |= {gap.begins, gap.ends}
    regular = np.arange(-GRID_SECONDS, ends_at + GRID_SECONDS, GRID_SECONDS)
    return np.unique(np.concatenate([regular, sorted(marks)]))

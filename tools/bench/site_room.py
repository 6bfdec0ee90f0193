"""What a drawn day's fleet can hold at most, for the bound on any scheduler.

Each resource is one inequality that every schedule keeps at every moment: what the
running tasks take of it, summed over the fleet or one rack, is no more than it holds.
Beside processor, memory and accelerators there are rounded ones: two tasks that take
more than half of a worker each can't share it, whatever their exact needs.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import numpy as np

from primrosestile.state.work import Need
from tools.bench.site_driver import CLOSING_SECONDS
from tools.bench.site_workloads import Fault, Workload, draw_struck, name_rack

GRID_SECONDS = 0.5
# The player handles what is due within this of an event together with it.
EARLY_SECONDS = 0.004
# A rounded inequality for each of these: 1 of a task's need above 1/2, and so on.
ROUNDINGS = (1, 2, 3)

PARTS = ("processor", "memory", "accelerators")

# Says what share of one worker a need takes.
Measure = Callable[[Need], float]


def list_measures(capacity: Need, needs: Iterable[Need]) -> list[Measure]:
    """Return the measures of a need that no other one implies for the day's needs."""
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
    """Return a share such that those of tasks that fit together sum to at most 1.

    A dual feasible function: of tasks that take more than 1/(r+1) of a worker each at
    most r fit, so each counts as 1/r at least; what is a whole multiple of 1/(r+1)
    stays as it is.
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
    """A time in which some workers make no progress; what they hold isn't counted."""

    begins: float
    ends: float


@dataclass(frozen=True, slots=True)
class Room:
    """What a day's fleet can hold over time.

    Attributes:
        edges: Of the intervals of time, in seconds.
        measures: Of a need; each bounds the fleet, each rack, and large gangs.
        capacity: By resource and interval, in workers times seconds.
        racks: Names, in the order of their resources.
        per_worker: Seconds that a second of work takes, by kind of worker.
        away: Times in which nothing can be started.
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
        """The length of each interval."""
        return np.diff(self.edges)

    @property
    def outside(self) -> np.ndarray:
        """1 for intervals outside of the gap."""
        if self.gap is None:
            return np.ones(len(self.edges) - 1)
        inside = (self.edges[:-1] >= self.gap.begins) & (
            self.edges[1:] <= self.gap.ends
        )
        return np.where(inside, 0.0, 1.0)

    def weigh(
        self, need: Need, count: int, rate: float, rack: str, together: bool
    ) -> np.ndarray:
        """Return what alike tasks take of each resource while they run.

        Args:
            need: Of one task.
            count: How many there are.
            rate: How many usual workers' time they take, for one task a worker.
            rack: That they all run in, if that is known.
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
        """Whether an empty rack can hold some alike tasks."""
        fitting = [
            getattr(self.worker, name) // getattr(need, name)
            for name in PARTS
            if getattr(need, name)
        ]
        return count <= self.rack_size * min(fitting, default=count)


def make_room(workload: Workload, seed: int, needs: Iterable[Need]) -> Room:
    """Return what a day's fleet can hold, for what is asked of it."""
    struck = draw_struck(workload, seed)
    away = []
    gaps: list[tuple[Gap, frozenset[int]]] = []
    gone: list[tuple[float, frozenset[int]]] = []
    for trouble, workers in zip(workload.troubles, struck, strict=True):
        ends = trouble.at + trouble.seconds
        window = Gap(trouble.at, max(trouble.at, ends - EARLY_SECONDS))
        if trouble.fault is Fault.AWAY:
            away.append(window)
        elif trouble.fault is Fault.STILL:
            gaps.append((window, frozenset(workers)))
        elif trouble.fault is Fault.LEAVE:
            gone.append((ends, frozenset(workers)))
    # One such time is counted; a run may pass several, and be spared twice.
    gap, still = gaps[0] if gaps else (None, frozenset())
    edges = _make_edges(workload, gap, gone)
    rates = 1 / np.array(
        [
            workload.speeds[number % len(workload.speeds)]
            for number in range(workload.workers)
        ]
    )
    present = np.ones((workload.workers, len(edges) - 1))
    for at, workers in gone:
        present[np.ix_(sorted(workers), edges[:-1] >= at)] = 0.0
    if gap is not None:
        inside = (edges[:-1] >= gap.begins) & (edges[1:] <= gap.ends)
        present[np.ix_(sorted(still), inside)] = 0.0
    held = present * rates[:, None] * np.diff(edges)
    names = [name_rack(workload, number) for number in range(workload.workers)]
    racks = sorted(set(names))
    by_rack = [held[[name == rack for name in names]].sum(axis=0) for rack in racks]
    measures = list_measures(workload.capacity, needs)
    each = len(measures)
    rows = [held.sum(axis=0)] * each
    rows += [row for row in by_rack for _ in range(each)]
    # Of gangs that take more than half of a rack each has a rack to itself.
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
    """Return the fastest workers' factor, and bounds on that of all others."""
    fastest = min(workload.speeds)
    others = [speed for speed in workload.speeds if speed > fastest]
    return (fastest, min(others), max(others)) if others else (fastest,)


def _make_edges(
    workload: Workload, gap: Gap | None, gone: list[tuple[float, frozenset[int]]]
) -> np.ndarray:
    ends_at = workload.seconds + CLOSING_SECONDS
    marks = {at for at, _ in gone}
    if gap is not None:
        marks |= {gap.begins, gap.ends}
    regular = np.arange(-GRID_SECONDS, ends_at + GRID_SECONDS, GRID_SECONDS)
    return np.unique(np.concatenate([regular, sorted(marks)]))

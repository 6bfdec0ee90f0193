"""Every way in which a drawn day's jobs could be served, for the bound on schedulers.

A way is less than what any schedule must do: it takes a unit's room for as long as the
run takes on the fastest workers that it may have, begins no sooner than the job is
heard of, and ends by the time up to which its caller gains by it.
"""

from dataclasses import dataclass, field

import numpy as np

from primrosestile.state.work import Step
from tools.bench.site_driver import CLOSING_SECONDS, FAR_FACTOR
from tools.bench.site_room import EARLY_SECONDS, Room
from tools.bench.site_workloads import (
    LATE_OBJECTIVES,
    Arrival,
    Workload,
    find_heard_at,
)

# Sums of floats differ by less.
ROUNDING_SECONDS = 1e-6


@dataclass(frozen=True, slots=True)
class Run:
    """One way to carry out a unit, but for when.

    Attributes:
        weights: What it takes of each resource while it lasts.
        seconds: How long it lasts.
        broken: Whether it may be stopped and go on later.
    """

    weights: np.ndarray
    seconds: float
    broken: bool


@dataclass(slots=True)
class Ways:
    """The ways of a set of jobs, side by side.

    Attributes:
        weights: Of each run, by resource.
        whole: Begin and end of each unbroken way, and its run and unit.
        gapped: Whether such a way stands still through the gap.
        broken: Window, length, run and unit of each way in pieces.
        in_time, broken_in_time: Whether a way ends in time; else late.
        credits: What each job's caller gains in time and late.
        jobs: Of each unit, its job.
    """

    weights: list[np.ndarray] = field(default_factory=list)
    whole: list[tuple[float, float, int, int]] = field(default_factory=list)
    gapped: list[bool] = field(default_factory=list)
    in_time: list[bool] = field(default_factory=list)
    broken: list[tuple[float, float, float, int, int]] = field(default_factory=list)
    broken_in_time: list[bool] = field(default_factory=list)
    credits: list[tuple[float, float]] = field(default_factory=list)
    jobs: list[int] = field(default_factory=list)


def list_ways(
    workload: Workload,
    room: Room,
    arrivals: list[Arrival],
    credits: list[tuple[float, float]],
) -> Ways:
    """Return all ways of some jobs, each with what it gains in time and late."""
    ways = Ways()
    for job, arrival in enumerate(arrivals):
        ways.credits.append(credits[job])
        step = arrival.submission.steps[0]
        if step.gang:
            _add_unit(ways, workload, room, arrival, list(arrival.seconds), job)
            continue
        for seconds in arrival.seconds:
            _add_unit(ways, workload, room, arrival, [seconds], job)
    return ways


def _add_unit(
    ways: Ways,
    workload: Workload,
    room: Room,
    arrival: Arrival,
    seconds: list[float],
    job: int,
) -> None:
    unit = len(ways.jobs)
    ways.jobs.append(job)
    begins = find_heard_at(workload, arrival.at) - EARLY_SECONDS
    day_ends = workload.seconds + CLOSING_SECONDS
    ends = [
        min(day_ends, arrival.at + times * arrival.objective) + ROUNDING_SECONDS
        for times in (1, LATE_OBJECTIVES)
    ]
    # What turns slow for a while may seem done this much too soon.
    spared = EARLY_SECONDS * len(workload.troubles)
    for run in _list_runs(room, arrival.submission.steps[0], seconds):
        length = max(0.0, run.seconds - spared)
        number = len(ways.weights)
        ways.weights.append(run.weights)
        if run.broken:
            _add_broken(ways, begins, ends, length, number, unit)
        else:
            _add_whole(ways, room, begins, ends, length, number, unit)


def _list_runs(room: Room, step: Step, seconds: list[float]) -> list[Run]:
    count = len(seconds)
    bound = bool(step.data_rack) or (step.one_rack and count > 1)
    near = not bound or room.fits_rack(step.need, count)
    runs = []
    if near:
        together = bound and count > 1
        runs += _list_mixes(room, step, seconds, 1.0, step.data_rack, together)
    if bound:
        runs += _list_mixes(room, step, seconds, FAR_FACTOR, "", False)
    return runs


def _list_mixes(
    room: Room,
    step: Step,
    seconds: list[float],
    factor: float,
    rack: str,
    together: bool,
) -> list[Run]:
    """Return the runs of a unit with each number of members on slower workers.

    All members hold their workers until the slowest is done; so the shortest ones are
    taken to go to the slower workers.
    """
    fastest, *others = room.slowness
    count = len(seconds)
    in_order = sorted(seconds)
    mixes = []
    for slower in range(count + 1 if others else 1):
        longest = fastest * in_order[-1] if slower < count else 0.0
        rate = (count - slower) / fastest
        if slower:
            longest = max(longest, others[0] * in_order[slower - 1])
            rate += slower / others[1]
        mixes.append((factor * longest, rate))
    if step.checkpoints:
        # In pieces of any mixes: at least the least work of all of them.
        work = min(length * rate for length, rate in mixes)
        rate = count / fastest
        weights = room.weigh(step.need, count, rate, rack, together)
        return [Run(weights, work / rate, True)]
    return [
        Run(room.weigh(step.need, count, rate, rack, together), length, False)
        for length, rate in mixes
    ]


def _add_broken(
    ways: Ways, begins: float, ends: list[float], length: float, run: int, unit: int
) -> None:
    for in_time, end in zip((True, False), ends, strict=True):
        if end - begins >= length:
            ways.broken.append((begins, end, length, run, unit))
            ways.broken_in_time.append(in_time)


def _add_whole(
    ways: Ways,
    room: Room,
    begins: float,
    ends: list[float],
    length: float,
    run: int,
    unit: int,
) -> None:
    """Add the moments to begin among which the cheapest one is.

    What a run costs is linear in its begin between those at which it begins or ends
    with an interval, or as soon or as late as may be.
    """
    last = ends[1] - length
    if last < begins:
        return
    edges = room.edges
    marks = [np.array([begins, ends[0] - length, last]), edges, edges - length]
    marks += [np.array([window.begins, window.ends]) for window in room.away]
    at = np.unique(np.concatenate(marks))
    at = at[(at >= begins) & (at <= last)]
    for window in room.away:
        at = at[(at <= window.begins) | (at >= window.ends)]
    _add_moments(ways, at, length, ends[0], run, unit, False)
    if room.gap is None:
        return
    # On a worker that stands still it holds its room through the gap as well.
    gap = room.gap
    through = length + gap.ends - gap.begins
    first = max(gap.begins - length, min(begins, gap.begins))
    last = min(gap.begins, ends[1] - through)
    marks = [np.array([first, last, ends[0] - through]), edges, edges - through]
    at = np.unique(np.concatenate(marks))
    at = at[(at >= first) & (at <= last)]
    _add_moments(ways, at, through, ends[0], run, unit, True)


def _add_moments(
    ways: Ways,
    at: np.ndarray,
    length: float,
    in_time_until: float,
    run: int,
    unit: int,
    gapped: bool,
) -> None:
    for moment in at.tolist():
        ways.whole.append((moment, moment + length, run, unit))
        ways.gapped.append(gapped)
        ways.in_time.append(moment + length <= in_time_until + ROUNDING_SECONDS)

"""Lists the options to serve a random day's jobs, for the bound on schedulers.

An option is a relaxation of what any schedule must do: it takes a unit's room for as
long as the run takes on the fastest workers that it may have, begins no sooner than the
owner knows of the job, and ends while its caller still gains from it.
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
    find_notice_time,
)

# Rounding errors of sums of floats are smaller.
ROUNDING_SECONDS = 1e-6


@dataclass(frozen=True, slots=True)
class Run:
    """One way to run a unit, without its times.

    Attributes:
        weights: What it takes of each resource while it runs.
        seconds: Its run time.
        resumable: Whether it may be stopped and resumed later.
    """

    weights: np.ndarray
    seconds: float
    resumable: bool


@dataclass(slots=True)
class ServiceOptions:
    """The options of a set of jobs, as columns.

    Attributes:
        weights: Of each run, by resource.
        contiguous: Begin, end, run and unit of each option without interruption.
        spans_gap: Whether such an option makes no progress during the gap.
        resumable: Window, length, run and unit of each option with interruptions.
        in_time, resumable_in_time: Whether an option ends in time; else late.
        credits: What each job's caller gains in time and late.
        jobs: The job of each unit.
    """

    weights: list[np.ndarray] = field(default_factory=list)
    contiguous: list[tuple[float, float, int, int]] = field(default_factory=list)
    spans_gap: list[bool] = field(default_factory=list)
    in_time: list[bool] = field(default_factory=list)
    resumable: list[tuple[float, float, float, int, int]] = field(default_factory=list)
    resumable_in_time: list[bool] = field(default_factory=list)
    credits: list[tuple[float, float]] = field(default_factory=list)
    jobs: list[int] = field(default_factory=list)


def list_options(
    workload: Workload,
    room: Room,
    arrivals: list[Arrival],
    credits: list[tuple[float, float]],
) -> ServiceOptions:
    """Return all options of some jobs, with each job's gains in time and late."""
    options = ServiceOptions()
    for job, arrival in enumerate(arrivals):
        options.credits.append(credits[job])
        step = arrival.submission.steps[0]
        if step.gang:
            _add_unit(options, workload, room, arrival, list(arrival.seconds), job)
            continue
        for seconds in arrival.seconds:
            _add_unit(options, workload, room, arrival, [seconds], job)
    return options


def _add_unit(
    options: ServiceOptions,
    workload: Workload,
    room: Room,
    arrival: Arrival,
    seconds: list[float],
    job: int,
) -> None:
    unit = len(options.jobs)
    options.jobs.append(job)
    begins = find_notice_time(workload, arrival.at) - EARLY_SECONDS
    day_ends = workload.seconds + CLOSING_SECONDS
    ends = [
        min(day_ends, arrival.at + times * arrival.objective) + ROUNDING_SECONDS
        for times in (1, LATE_OBJECTIVES)
    ]
    # In the driver, a run on a worker that is slow for a while may end this much early.
    allowance = EARLY_SECONDS * len(workload.troubles)
    for run in _list_runs(room, arrival.submission.steps[0], seconds):
        length = max(0.0, run.seconds - allowance)
        number = len(options.weights)
        options.weights.append(run.weights)
        if run.resumable:
            _add_resumable(options, begins, ends, length, number, unit)
        else:
            _add_contiguous(options, room, begins, ends, length, number, unit)


def _list_runs(room: Room, step: Step, seconds: list[float]) -> list[Run]:
    count = len(seconds)
    bound = bool(step.data_rack) or (step.one_rack and count > 1)
    local = not bound or room.fits_rack(step.need, count)
    runs = []
    if local:
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
    """Return the runs of a unit for each number of members on slower workers.

    All members hold their workers until the slowest is done, so the shortest ones are
    assumed to be on the slower workers.
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
        # Its pieces may use any mixes, so it takes at least the least work of them all.
        work = min(length * rate for length, rate in mixes)
        rate = count / fastest
        weights = room.weigh(step.need, count, rate, rack, together)
        return [Run(weights, work / rate, True)]
    return [
        Run(room.weigh(step.need, count, rate, rack, together), length, False)
        for length, rate in mixes
    ]


def _add_resumable(
    options: ServiceOptions,
    begins: float,
    ends: list[float],
    length: float,
    run: int,
    unit: int,
) -> None:
    for in_time, end in zip((True, False), ends, strict=True):
        if end - begins >= length:
            options.resumable.append((begins, end, length, run, unit))
            options.resumable_in_time.append(in_time)


def _add_contiguous(
    options: ServiceOptions,
    room: Room,
    begins: float,
    ends: list[float],
    length: float,
    run: int,
    unit: int,
) -> None:
    """Add the begin times among which the cheapest one is.

    The price of a run is linear in its begin between the times at which it begins or
    ends with an interval, or as early or as late as possible.
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
    _add_moments(options, at, length, ends[0], run, unit, False)
    if room.gap is None:
        return
    # On a stalled worker the run also holds its room during the gap.
    gap = room.gap
    through = length + gap.ends - gap.begins
    first = max(gap.begins - length, min(begins, gap.begins))
    last = min(gap.begins, ends[1] - through)
    marks = [np.array([first, last, ends[0] - through]), edges, edges - through]
    at = np.unique(np.concatenate(marks))
    at = at[(at >= first) & (at <= last)]
    _add_moments(options, at, through, ends[0], run, unit, True)


def _add_moments(
    options: ServiceOptions,
    at: np.ndarray,
    length: float,
    in_time_until: float,
    run: int,
    unit: int,
    spans_gap: bool,
) -> None:
    for moment in at.tolist():
        options.contiguous.append((moment, moment + length, run, unit))
        options.spans_gap.append(spans_gap)
        options.in_time.append(moment + length <= in_time_until + ROUNDING_SECONDS)

"""Generates the jobs of random days from a workload file.

One day can't show whether a change of queue order or placement serves callers better,
since two days of one kind differ more than two policies. So a file describes what
callers send, and any number of days is generated from it.
"""

import random
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path

import msgspec

from primrosestile.state.work import Need, Step, Submission

# Run times of one step's tasks differ by up to this share from the mean.
TASK_SPREAD = 0.15
# A job that takes more than this many times its objective is worth nothing.
LATE_OBJECTIVES = 3


class Kind(msgspec.Struct, frozen=True):
    """One kind of job.

    Attributes:
        per_second: Jobs that callers submit.
        worth: Of a job of mean size in time; `late_worth` when it is late.
        width: Mean number of tasks; its standard deviation is 0.8 of it.
        accelerators: The choices for each job.
        estimate_off: Largest decimal exponent of the error of estimates.
        gang, one_rack, checkpoints, data_rack: Share of jobs with this property.
        cancelled: Share of jobs that their callers cancel within their run time.
    """

    queue: str
    per_second: float
    priority: int
    attempts: int
    stretch: float
    objective_seconds: float
    worth: float
    late_worth: float
    seconds: float
    seconds_spread: float
    seconds_most: float
    width: float
    width_most: int
    processor: int
    memory: int
    accelerators: list[int]
    estimate_off: float = 0.9
    gang: float = 1.0
    one_rack: float = 0.0
    checkpoints: float = 0.0
    data_rack: float = 0.0
    fails: float = 0.0
    cancelled: float = 0.0


class Burst(msgspec.Struct, frozen=True):
    """A time in which more jobs of one kind arrive."""

    queue: str
    at: float
    seconds: float
    factor: float


class Fault(StrEnum):
    """A fault of workers or of the owner.

    `SLOW`: tasks take several times as long. `STALLED`: they make no progress. `FAIL`:
    every start fails at once. `LEAVE`: the worker announces that it leaves, and leaves.
    `SILENT`: the worker does not answer; its tasks keep running, and starts and stops
    wait. `NO_OWNER`: there is no owner; jobs that arrive are noticed afterwards.
    """

    SLOW = "slow"
    STALLED = "still"
    FAIL = "fail"
    LEAVE = "leave"
    SILENT = "silent"
    NO_OWNER = "away"


class Trouble(msgspec.Struct, frozen=True):
    """A fault with its time and extent.

    Attributes:
        share: Of the workers; they are drawn anew for each day.
        factor: How many times as long tasks take on slow workers.
    """

    fault: Fault
    at: float
    seconds: float
    share: float = 0.0
    factor: float = 1.0


class Weights(msgspec.Struct, frozen=True):
    """The operators' weights of a day's figures; 0 for a figure that doesn't count.

    Attributes:
        thrown_away: The price of a core-second of work that was not saved, in the
            unit of the jobs' worth.
    """

    whole: float = 0.75
    served: float = 0.0
    organisation: float = 0.2
    windows: float = 0.15
    kind: float = 0.1
    thrown_away: float = 0.0015


class Workload(msgspec.Struct, frozen=True):
    """A fleet and its load.

    Attributes:
        speeds: How many times as long workers take, assigned cyclically.
        guarantee: Accelerators of each organisation for its urgent work.
        stop_seconds: From a stop to the end of its task.
        gang_workers: Whole workers that the widest gang takes; 0 for a whole rack's
            accelerators, whatever else its tasks need.
    """

    name: str
    seconds: float
    workers: int
    rack_size: int
    capacity: Need
    speeds: list[float]
    organisations: int
    guarantee: int
    kinds: list[Kind]
    stop_seconds: float = 0.2
    gang_workers: int = 0
    bursts: list[Burst] = []
    troubles: list[Trouble] = []
    weights: Weights = Weights()


@dataclass(frozen=True, slots=True)
class Arrival:
    """One job, and what its caller does not know in advance.

    Attributes:
        seconds: True run time of each task on a usual worker.
        fails_at: Share of its first run after which that fails; 0 for never.
        worth: In time, by its size; `late_worth` when it is late.
        cancelled_at: When its caller cancels it; None for never.
    """

    at: float
    kind: Kind
    submission: Submission
    seconds: tuple[float, ...]
    fails_at: float
    worth: float
    late_worth: float
    cancelled_at: float | None = None

    @property
    def objective(self) -> float:
        """Seconds from its arrival until it is late."""
        return self.kind.stretch * max(self.seconds) + self.kind.objective_seconds


def read_workload(path: Path) -> Workload:
    """Return the workload of a file."""
    return msgspec.json.decode(path.read_bytes(), type=Workload)


def draw_day(workload: Workload, seed: int) -> list[Arrival]:
    """Return a day's jobs in the order of their arrival."""
    rng = random.Random(seed)
    arrivals = []
    for kind in workload.kinds:
        at = 0.0
        while True:
            at += rng.expovariate(kind.per_second * _find_factor(workload, kind, at))
            if at > workload.seconds:
                break
            arrivals.append(_draw_job(workload, kind, at, rng))
    return sorted(arrivals, key=lambda each: each.at)


def draw_affected(workload: Workload, seed: int) -> list[list[int]]:
    """Return the numbers of the workers that each of a day's faults affects."""
    rng = random.Random(seed)
    # Sorted by name, so that seeds give the same days as before.
    numbers = sorted(range(workload.workers), key=str)
    return [
        rng.sample(numbers, round(trouble.share * len(numbers)))
        for trouble in workload.troubles
    ]


def find_notice_time(workload: Workload, at: float) -> float:
    """Return when the owner notices a job that arrives at a time."""
    for trouble in workload.troubles:
        ends = trouble.at + trouble.seconds
        if trouble.fault is Fault.NO_OWNER and trouble.at <= at < ends:
            return find_notice_time(workload, ends)
    return at


def is_servable(workload: Workload, arrival: Arrival) -> bool:
    """Whether an empty fleet could have served the caller.

    If not, there was no owner until too late to serve the caller.
    """
    noticed_at = find_notice_time(workload, arrival.at)
    if noticed_at == arrival.at:
        return True
    seconds = min(workload.speeds) * max(arrival.seconds)
    return noticed_at + seconds <= arrival.at + LATE_OBJECTIVES * arrival.objective


def name_rack(workload: Workload, number: int) -> str:
    """Return the rack of a worker."""
    return f"r{number // workload.rack_size}"


def _find_factor(workload: Workload, kind: Kind, at: float) -> float:
    factor = 1.0
    for burst in workload.bursts:
        if burst.queue == kind.queue and burst.at <= at < burst.at + burst.seconds:
            factor *= burst.factor
    return factor


def _draw_job(workload: Workload, kind: Kind, at: float, rng: random.Random) -> Arrival:
    typical = rng.gauss(kind.seconds, kind.seconds_spread * kind.seconds)
    typical = min(kind.seconds_most, max(0.2 * kind.seconds, typical))
    width = round(rng.gammavariate(1.56, kind.width / 1.56))
    width = min(kind.width_most, max(1, width))
    accelerators = rng.choice(kind.accelerators)
    seconds = tuple(
        typical * rng.uniform(1 - TASK_SPREAD, 1 + TASK_SPREAD) for _ in range(width)
    )
    off = rng.uniform(-kind.estimate_off, kind.estimate_off)
    racks = workload.workers // workload.rack_size
    gang = rng.random() < kind.gang
    if gang:
        width = min(width, _find_widest(workload, kind, accelerators))
        seconds = seconds[:width]
    step = Step(
        count=width,
        need=Need(kind.processor, kind.memory, accelerators),
        estimate_seconds=typical * 10**off,
        gang=gang,
        one_rack=gang and rng.random() < kind.one_rack,
        data_rack=_draw_rack(racks, rng) if rng.random() < kind.data_rack else "",
        checkpoints=rng.random() < kind.checkpoints,
    )
    submission = Submission(
        f"{rng.getrandbits(64):016x}",
        kind.queue,
        f"o{rng.randrange(workload.organisations)}",
        workload.name,
        "",
        (step,),
    )
    fails_at = rng.random() if rng.random() < kind.fails else 0.0
    size = 0.3 + 0.7 * _measure_size(kind, step, typical)
    size = min(4.0, size)
    cancelled_at = None
    if kind.cancelled and rng.random() < kind.cancelled:
        cancelled_at = at + rng.uniform(0.2, 1.0) * typical
    return Arrival(
        at,
        kind,
        submission,
        seconds,
        fails_at,
        kind.worth * size,
        kind.late_worth * size,
        cancelled_at,
    )


def _find_widest(workload: Workload, kind: Kind, accelerators: int) -> int:
    """Return the largest number of tasks of a gang."""
    capacity = workload.capacity
    by_accelerators = capacity.accelerators // accelerators
    if not workload.gang_workers:
        # Gangs wider than half a rack are rare and wait for a whole rack.
        return workload.rack_size * by_accelerators
    by_processor = capacity.processor // kind.processor
    by_memory = capacity.memory // kind.memory
    return workload.gang_workers * min(by_accelerators, by_processor, by_memory)


def _draw_rack(racks: int, rng: random.Random) -> str:
    return f"r{rng.randrange(racks)}"


def _measure_size(kind: Kind, step: Step, seconds: float) -> float:
    """Return a job's core-seconds as a ratio to the mean of its kind."""
    mean_accelerators = sum(kind.accelerators) / len(kind.accelerators)
    cores = kind.processor / 1000
    core_seconds = step.count * seconds * (cores + 8 * step.need.accelerators)
    return core_seconds / (kind.width * kind.seconds * (cores + 8 * mean_accelerators))

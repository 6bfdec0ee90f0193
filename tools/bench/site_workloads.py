"""A day's jobs, drawn from a workload file.

Whether a change of the queue's order or of placing serves callers better can't be
told from one day: two days of one kind differ more than two policies. So a file
says what callers send, and any number of days is drawn from it.
"""

import random
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path

import msgspec

from primrosestile.state.work import Need, Step, Submission

# Run times of one step's tasks differ by this share.
TASK_SPREAD = 0.15
# Past this many times its objective a job brings its caller nothing.
LATE_OBJECTIVES = 3


class Kind(msgspec.Struct, frozen=True):
    """One kind of job.

    Attributes:
        per_second: Jobs that callers hand in.
        worth: What one of mean size is worth in time, `late_worth` past that.
        width: Mean number of tasks; drawn with a spread of 0.8 of it.
        accelerators: Drawn from these for each job.
        estimate_off: Decimal exponent by which estimates are off at most.
        gang, one_rack, checkpoints, data_rack: Share of jobs that are so.
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
    """A time in which more jobs of one kind come."""

    queue: str
    at: float
    seconds: float
    factor: float


class Fault(StrEnum):
    """What goes wrong with workers, or with the owner.

    `SLOW`: tasks take several times as long. `STILL`: they make no progress. `FAIL`:
    whatever starts fails at once. `LEAVE`: the worker says that it leaves, and goes.
    `SILENT`: the worker answers nothing; what runs there runs on, and what it should
    start or stop waits. `AWAY`: no owner decides anything; what is handed in is heard
    of afterwards.
    """

    SLOW = "slow"
    STILL = "still"
    FAIL = "fail"
    LEAVE = "leave"
    SILENT = "silent"
    AWAY = "away"


class Trouble(msgspec.Struct, frozen=True):
    """A fault, and when and how widely it strikes.

    Attributes:
        share: Of the workers; they are drawn anew for each day.
        factor: How many times as long tasks take on slow ones.
    """

    fault: Fault
    at: float
    seconds: float
    share: float = 0.0
    factor: float = 1.0


class Weights(msgspec.Struct, frozen=True):
    """What operators weigh a day by; a part that they don't weigh is 0.

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
    """A fleet and what is asked of it.

    Attributes:
        speeds: How many times as long each worker takes, in turn.
        guarantee: Accelerators of each organisation for its urgent work.
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
    gang_workers: int = 0
    bursts: list[Burst] = []
    troubles: list[Trouble] = []
    weights: Weights = Weights()


@dataclass(frozen=True, slots=True)
class Arrival:
    """One job, and what its caller does not know.

    Attributes:
        seconds: True time of a run on a usual worker, for each task.
        fails_at: Share of its first run after which that fails; 0 for never.
        worth: In time, by its size; `late_worth` later.
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
    chance = random.Random(seed)
    arrivals = []
    for kind in workload.kinds:
        at = 0.0
        while True:
            at += chance.expovariate(kind.per_second * _find_factor(workload, kind, at))
            if at > workload.seconds:
                break
            arrivals.append(_draw_job(workload, kind, at, chance))
    return sorted(arrivals, key=lambda each: each.at)


def draw_struck(workload: Workload, seed: int) -> list[list[int]]:
    """Return the numbers of the workers that each of a day's faults strikes."""
    chance = random.Random(seed)
    # By name, as the days that were drawn so far.
    numbers = sorted(range(workload.workers), key=str)
    return [
        chance.sample(numbers, round(trouble.share * len(numbers)))
        for trouble in workload.troubles
    ]


def find_heard_at(workload: Workload, at: float) -> float:
    """Return when the owner hears of a job that came at a time."""
    for trouble in workload.troubles:
        ends = trouble.at + trouble.seconds
        if trouble.fault is Fault.AWAY and trouble.at <= at < ends:
            return find_heard_at(workload, ends)
    return at


def is_servable(workload: Workload, arrival: Arrival) -> bool:
    """Whether somebody could have served a caller, were the fleet empty.

    Else nobody decided anything for as long as the caller would have had to be heard.
    """
    heard_at = find_heard_at(workload, arrival.at)
    if heard_at == arrival.at:
        return True
    seconds = min(workload.speeds) * max(arrival.seconds)
    return heard_at + seconds <= arrival.at + LATE_OBJECTIVES * arrival.objective


def name_rack(workload: Workload, number: int) -> str:
    """Return the rack of a worker."""
    return f"r{number // workload.rack_size}"


def _find_factor(workload: Workload, kind: Kind, at: float) -> float:
    factor = 1.0
    for burst in workload.bursts:
        if burst.queue == kind.queue and burst.at <= at < burst.at + burst.seconds:
            factor *= burst.factor
    return factor


def _draw_job(
    workload: Workload, kind: Kind, at: float, chance: random.Random
) -> Arrival:
    usual = chance.gauss(kind.seconds, kind.seconds_spread * kind.seconds)
    usual = min(kind.seconds_most, max(0.2 * kind.seconds, usual))
    width = round(chance.gammavariate(1.56, kind.width / 1.56))
    width = min(kind.width_most, max(1, width))
    accelerators = chance.choice(kind.accelerators)
    seconds = tuple(
        usual * chance.uniform(1 - TASK_SPREAD, 1 + TASK_SPREAD) for _ in range(width)
    )
    off = chance.uniform(-kind.estimate_off, kind.estimate_off)
    racks = workload.workers // workload.rack_size
    gang = chance.random() < kind.gang
    if gang:
        width = min(width, _find_widest(workload, kind, accelerators))
        seconds = seconds[:width]
    step = Step(
        count=width,
        need=Need(kind.processor, kind.memory, accelerators),
        estimate_seconds=usual * 10**off,
        gang=gang,
        one_rack=gang and chance.random() < kind.one_rack,
        data_rack=_draw_rack(racks, chance) if chance.random() < kind.data_rack else "",
        checkpoints=chance.random() < kind.checkpoints,
    )
    submission = Submission(
        f"{chance.getrandbits(64):016x}",
        kind.queue,
        f"o{chance.randrange(workload.organisations)}",
        workload.name,
        "",
        (step,),
    )
    fails_at = chance.random() if chance.random() < kind.fails else 0.0
    size = 0.3 + 0.7 * _measure(kind, step, usual)
    size = min(4.0, size)
    cancelled_at = None
    if kind.cancelled and chance.random() < kind.cancelled:
        cancelled_at = at + chance.uniform(0.2, 1.0) * usual
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
    """Return the most tasks of a gang."""
    capacity = workload.capacity
    by_accelerators = capacity.accelerators // accelerators
    if not workload.gang_workers:
        # What is wider than half a rack is rare and waits for a whole one.
        return workload.rack_size * by_accelerators
    by_processor = capacity.processor // kind.processor
    by_memory = capacity.memory // kind.memory
    return workload.gang_workers * min(by_accelerators, by_processor, by_memory)


def _draw_rack(racks: int, chance: random.Random) -> str:
    return f"r{chance.randrange(racks)}"


def _measure(kind: Kind, step: Step, seconds: float) -> float:
    """Return a job's core-seconds against the mean of its kind."""
    mean_accelerators = sum(kind.accelerators) / len(kind.accelerators)
    cores = kind.processor / 1000
    mine = step.count * seconds * (cores + 8 * step.need.accelerators)
    return mine / (kind.width * kind.seconds * (cores + 8 * mean_accelerators))

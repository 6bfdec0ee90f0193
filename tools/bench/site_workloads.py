"""A day's jobs, drawn from a workload file.

Whether a change of the queue's order or of placing serves callers better can't be
told from one day: two days of one kind differ more than two policies. So a file
says what callers send, and any number of days is drawn from it.
"""

import random
from dataclasses import dataclass
from pathlib import Path

import msgspec

from primrosestile.state.work import Need, Step, Submission

# Run times of one step's tasks differ by this share.
TASK_SPREAD = 0.15


class Kind(msgspec.Struct, frozen=True):
    """One kind of job.

    Attributes:
        per_second: Jobs that callers hand in.
        worth: What one of mean size is worth in time, `late_worth` past that.
        width: Mean number of tasks; drawn with a spread of 0.8 of it.
        accelerators: Drawn from these for each job.
        estimate_off: Decimal exponent by which estimates are off at most.
        gang, one_rack, checkpoints, data_rack: Share of jobs that are so.
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


class Burst(msgspec.Struct, frozen=True):
    """A time in which more jobs of one kind come."""

    queue: str
    at: float
    seconds: float
    factor: float


class Workload(msgspec.Struct, frozen=True):
    """A fleet and what is asked of it.

    Attributes:
        speeds: How many times as long each worker takes, in turn.
        guarantee: Accelerators of each organisation for its urgent work.
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
    bursts: list[Burst] = []


@dataclass(frozen=True, slots=True)
class Arrival:
    """One job, and what its caller does not know.

    Attributes:
        seconds: True time of a run on a usual worker, for each task.
        fails_at: Share of its first run after which that fails; 0 for never.
        worth: In time, by its size; `late_worth` later.
    """

    at: float
    kind: Kind
    submission: Submission
    seconds: tuple[float, ...]
    fails_at: float
    worth: float
    late_worth: float

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
        # What is wider than half a rack is rare and waits for a whole one.
        per_worker = workload.capacity.accelerators // accelerators
        width = min(width, workload.rack_size * per_worker)
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
    return Arrival(
        at,
        kind,
        submission,
        seconds,
        fails_at,
        kind.worth * size,
        kind.late_worth * size,
    )


def _draw_rack(racks: int, chance: random.Random) -> str:
    return f"r{chance.randrange(racks)}"


def _measure(kind: Kind, step: Step, seconds: float) -> float:
    """Return a job's core-seconds against the mean of its kind."""
    mean_accelerators = sum(kind.accelerators) / len(kind.accelerators)
    cores = kind.processor / 1000
    mine = step.count * seconds * (cores + 8 * step.need.accelerators)
    return mine / (kind.width * kind.seconds * (cores + 8 * mean_accelerators))

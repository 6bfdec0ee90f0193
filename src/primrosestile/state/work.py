"""Jobs of steps and tasks: the submitted form and the stored records.

A job's submission and its progress are two records. The submission is written once, by
the process that accepted the job; progress is written only by the owner of the fleet.
So acceptance never waits for the owner, and the owner never overwrites an accepted
job.

The records are `msgspec.Struct`s encoded as arrays, to keep them short: the record of a
job of ninety tasks is rewritten whenever one of its tasks starts or ends.
"""

from enum import IntEnum, StrEnum
from typing import NamedTuple, TypeVar

import msgspec

from primrosestile.state.decoding import decode_msgpack
from primrosestile.state.policy import AdviceRules

T = TypeVar("T")


class JobState(StrEnum):
    """State of a job; the values are those that callers read."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Whether the job can no longer change."""
        return self not in (JobState.QUEUED, JobState.RUNNING)


class Need(msgspec.Struct, frozen=True, array_like=True):
    """Resources that one task needs, or that a worker has.

    Attributes:
        processor: Thousandths of a core.
        memory: Megabytes.
        accelerators: Whole accelerators.
    """

    processor: int = 0
    memory: int = 0
    accelerators: int = 0


class Step(msgspec.Struct, frozen=True, array_like=True):
    """Tasks of one kind within a job.

    Attributes:
        count: Number of tasks.
        estimate_seconds: The caller's estimate for one task; may be far off.
        after: Positions of steps whose tasks must all have succeeded before this one.
        gang: Whether its tasks start and end together.
        one_rack: Whether its tasks are much slower when they span racks.
        label: Label that the worker must carry; empty for any worker.
        data_rack: Rack that holds its data; a task is much slower elsewhere.
        max_per_worker: Maximum number of its tasks on one worker; 0 for no limit.
        checkpoints: Whether its tasks save progress that a later run can resume from.
        speculative: Whether copies of a task may run concurrently; the first to end
            counts.
        daemon: Whether its tasks run until the job is cancelled.
        image: What its tasks run; tasks of one image behave alike.
        latency_target_seconds: Time within which a daemon task must answer its users.
        best_effort: Whether its processor need is not reserved; its tasks use what
            others leave idle.
        max_unavailable: Daemon tasks that the scheduler may have down at one time.
    """

    count: int
    need: Need = Need()
    estimate_seconds: float = 0.0
    after: tuple[int, ...] = ()
    gang: bool = False
    one_rack: bool = False
    label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    checkpoints: bool = False
    speculative: bool = False
    daemon: bool = False
    image: str = ""
    latency_target_seconds: float = 0.0
    best_effort: bool = False
    max_unavailable: int = 0


class Repeats(msgspec.Struct, frozen=True, array_like=True):
    """Schedule of a job whose steps run more than once.

    Attributes:
        count: Number of occurrences; 0 for a job that runs once.
        first_at: Seconds since 1970 at which the first occurrence is due.
        interval: Seconds between occurrences.
    """

    count: int = 0
    first_at: float = 0.0
    interval: float = 0.0


class Submission(msgspec.Struct, frozen=True, array_like=True):
    """A job as it was accepted; never changed afterwards.

    Attributes:
        queue: Name of the queue to which it was submitted.
        pool: Worker pool of the queue at that time.
        payload: Passed to the workers unchanged.
        accepted_at: Seconds since 1970 by the accepting process's clock.
        attempts: The queue's limit on failed runs of one task at that time; this and
            the following are used while no queue of that name is configured.
        priority: The queue's priority at that time.
        advised: The queue's rules of advice at that time.
    """

    job_id: str
    queue: str
    organisation: str
    pool: str
    payload: str
    steps: tuple[Step, ...]
    repeats: Repeats = Repeats()
    accepted_at: float = 0.0
    attempts: int = 1
    priority: int = 2
    advised: AdviceRules | None = None


class UnitKey(NamedTuple):
    """Identifies a unit that is started as one: a task, or all tasks of a gang.

    Attributes:
        occurrence: 0 for a job that runs once.
        position: The task's number in its step; 0 for a gang.
    """

    occurrence: int
    step: int
    position: int


class Phase(IntEnum):
    """Phase of a unit in its stored record."""

    WAITING = 0
    ORDERED = 1
    DONE = 2


class CrashCount(msgspec.Struct, frozen=True, array_like=True):
    """How many workers have crashed while running one task of a unit.

    Attributes:
        position: The member's position in its unit; 0 for a single task.
        run: The latest run that was counted; the next owner may receive its end again.
        alone: Crashes shortly after a start, with nothing else on the worker.
    """

    position: int
    count: int = 0
    run: int = 0
    alone: int = 0


class UnitRecord(msgspec.Struct, frozen=True, array_like=True):
    """One unit that has been started at least once.

    Attributes:
        run: Number of its latest start; rises and is never reused.
        failures: Number of runs that failed.
        workers: Worker of each member of the latest run, by position.
        checkpoint: Checkpoint that a later run resumes from; empty for the beginning.
        failure_counted: Whether `failures` includes that of the latest run. A worker
            repeats an end to the next owner until it is acknowledged; counted twice,
            one failure of a gang would use up two attempts.
        crashes: Counts for those of its tasks under which workers have crashed.
    """

    occurrence: int
    step: int
    index: int
    phase: Phase
    run: int = 0
    failures: int = 0
    workers: tuple[str, ...] = ()
    checkpoint: str = ""
    failure_counted: bool = False
    crashes: tuple[CrashCount, ...] = ()


class Progress(msgspec.Struct, frozen=True, array_like=True):
    """Progress of a job; units that were never started are left out.

    Attributes:
        ended_at: Seconds since 1970 at which it reached a final state, else 0.
        addresses: Addresses at which the workers of its current runs have answered, by
            name. When the next owner reads the list of workers, it may lack them or
            hold an address that another program wrote.
    """

    state: JobState
    units: tuple[UnitRecord, ...] = ()
    ended_at: float = 0.0
    addresses: dict[str, str] = {}


class Cancellation(msgspec.Struct, frozen=True, array_like=True):
    """A caller's request to cancel a job; written once.

    Attributes:
        requested_at: Seconds since 1970.
    """

    requested_at: float = 0.0


class EndedRecord(msgspec.Struct, frozen=True, array_like=True):
    """What is kept of a job once nothing of it can run any more.

    Its caller may query the state, and may submit the job again under its id.

    Attributes:
        ended_at: Seconds since 1970 at which it reached its final state.
    """

    state: JobState
    queue: str
    organisation: str
    ended_at: float = 0.0


class OwnerRecord(msgspec.Struct, frozen=True, array_like=True):
    """The process that schedules the fleet; its key is under that process's lease.

    Attributes:
        address: Its listening address; no two processes share one at the same time.
        peer_address: Where it answers other processes of ours; empty if not known.
    """

    process: str
    address: str = ""
    peer_address: str = ""


class ResignationRecord(msgspec.Struct, frozen=True, array_like=True):
    """How many owners in a row have resigned, with none sound for long since."""

    count: int


class LeaseBoundsRecord(msgspec.Struct, frozen=True, array_like=True):
    """Until when workers' leases may last; seconds count from the record's write.

    Attributes:
        writer: Address of the owner that wrote it; empty if other processes don't
            reach it.
        workers: For each silent worker with runs, by incarnation, the seconds after
            which its lease has certainly run out. Nobody extends these leases.
        owners: For each owner before the writer that may still extend leases, by
            address, the seconds for which it may.
    """

    writer: str
    workers: dict[str, float] = {}
    owners: dict[str, float] = {}


_encoder = msgspec.msgpack.Encoder()


def encode_record(record: msgspec.Struct) -> bytes:
    """Return the stored form of a record."""
    return _encoder.encode(record)


def decode_submission(value: bytes) -> Submission:
    """Return the submission of a job."""
    return decode_msgpack(value, Submission)


def decode_progress(value: bytes) -> Progress:
    """Return the progress of a job."""
    return decode_msgpack(value, Progress)


def decode_resignations(value: bytes) -> int:
    """Return how many owners in a row have resigned."""
    return decode_msgpack(value, ResignationRecord).count


def decode_owner(value: bytes) -> OwnerRecord:
    """Return the record of the process that schedules the fleet."""
    return decode_msgpack(value, OwnerRecord)


def decode_ended(value: bytes) -> EndedRecord:
    """Return the record of an ended job."""
    return decode_msgpack(value, EndedRecord)


def decode_lease_bounds(value: bytes) -> LeaseBoundsRecord:
    """Return the record of leases."""
    return decode_msgpack(value, LeaseBoundsRecord)


def matches_submission(progress: Progress, submission: Submission) -> bool:
    """Whether every unit of a progress record exists in a submission."""
    steps = submission.steps
    return all(
        each.occurrence >= 0
        and 0 <= each.step < len(steps)
        and 0 <= each.index < (1 if steps[each.step].gang else steps[each.step].count)
        for each in progress.units
    )

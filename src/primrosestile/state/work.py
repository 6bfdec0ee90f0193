"""Jobs of steps and tasks, as callers hand them in and as the store keeps them.

What a caller asked for and how far it got are two records. The first is written
once, by whichever process accepted the job; the second only by the owner of the
fleet. So an acceptance never waits for the owner, and the owner never overwrites
what a caller was promised.

The records are `msgspec.Struct`s kept as arrays: a job of ninety tasks is written
again whenever one of its tasks starts or ends.
"""

from enum import IntEnum, StrEnum
from typing import NamedTuple

import msgspec


class JobState(StrEnum):
    """How far a job is, in the words that callers read."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Whether it never changes again."""
        return self not in (JobState.QUEUED, JobState.RUNNING)


class Need(msgspec.Struct, frozen=True, array_like=True):
    """What one task takes from a worker.

    Attributes:
        processor: Thousandths of a core.
        memory: Megabytes.
        accelerators: Whole ones.
    """

    processor: int = 0
    memory: int = 0
    accelerators: int = 0


class Step(msgspec.Struct, frozen=True, array_like=True):
    """Tasks of one kind within a job.

    Attributes:
        count: Tasks.
        estimate_seconds: The caller's guess for one task; may be far off.
        after: Steps, by position, whose tasks must all have ended well before.
        gang: Its tasks start and end as one.
        one_rack: Its tasks are much slower when they span racks.
        label: One that the worker must carry; empty for any worker.
        data_rack: Where its data lies; elsewhere a task is much slower.
        most_per_worker: Tasks of the step on one worker; 0 for no bound.
        checkpoints: Its tasks save progress that a later run can begin from.
        racing: Copies of a task may run side by side; the first one counts.
        lasting: Its tasks run until the job is cancelled.
        image: What its tasks run; tasks of one image behave alike.
        target_seconds: A lasting task's own users must be answered within this.
        filling: Its processor need is not reserved; it uses what others leave.
        away_limit: Lasting tasks that we may have away at one time.
    """

    count: int
    need: Need = Need()
    estimate_seconds: float = 0.0
    after: tuple[int, ...] = ()
    gang: bool = False
    one_rack: bool = False
    label: str = ""
    data_rack: str = ""
    most_per_worker: int = 0
    checkpoints: bool = False
    racing: bool = False
    lasting: bool = False
    image: str = ""
    target_seconds: float = 0.0
    filling: bool = False
    away_limit: int = 0


class Repeats(msgspec.Struct, frozen=True, array_like=True):
    """When the steps of a job run more than once, each occurrence on its time.

    Attributes:
        first_at: Seconds since 1970 at which the first one is due.
        interval: Seconds from one to the next.
    """

    count: int = 0
    first_at: float = 0.0
    interval: float = 0.0


class Submission(msgspec.Struct, frozen=True, array_like=True):
    """A job as it was accepted; never changed afterwards.

    Attributes:
        queue: The name of the queue that it was handed to.
        pool: The workers that the queue led to at that time.
        payload: Passed to the workers as it came.
        accepted_at: Seconds since 1970 by the accepting process's clock.
        attempts: Runs of a task that may fail, as the queue had it at that time; used
            while no queue of that name is configured.
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


class UnitKey(NamedTuple):
    """What is started as one: a task, or all tasks of a gang.

    Attributes:
        occurrence: 0 for a job that runs once.
        position: The task's number in its step; 0 for a gang.
    """

    occurrence: int
    step: int
    position: int


class Phase(IntEnum):
    """What the store says of a unit."""

    WAITING = 0
    ORDERED = 1
    DONE = 2


class CrashCount(msgspec.Struct, frozen=True, array_like=True):
    """How many workers have crashed under one task of a unit.

    Attributes:
        position: The member's place in its unit; 0 for a single task.
        run: The latest run that was counted; the next owner may find its end again.
        alone: Crashes shortly after a start, with nothing else on the worker.
    """

    position: int
    count: int = 0
    run: int = 0
    alone: int = 0


class UnitRecord(msgspec.Struct, frozen=True, array_like=True):
    """One unit that has been started at least once.

    Attributes:
        run: Number of its latest start; counts up and is never used again.
        failures: Runs that ended as failed.
        workers: Where each member of the latest run was sent, by position.
        checkpoint: What a later run may begin from; empty for the beginning.
        failure_counted: Whether `failures` has that of the latest run in it. An end is
            repeated to the next owner until its worker is told that it may forget it;
            counted twice, one failure of a gang would use up two attempts.
        crashes: Of its tasks under which workers have crashed.
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
    """How far a job got; units that were never started are left out.

    Attributes:
        ended_at: Seconds since 1970 at which it reached a final state, else 0.
        addresses: Where the workers of its present runs have answered, by name. The
            list of workers may lack them, or give another writer's address, when the
            next owner reads it.
    """

    state: JobState
    units: tuple[UnitRecord, ...] = ()
    ended_at: float = 0.0
    addresses: dict[str, str] = {}


class Cancellation(msgspec.Struct, frozen=True, array_like=True):
    """A caller's wish that a job end; written once."""

    asked_at: float = 0.0


class EndedRecord(msgspec.Struct, frozen=True, array_like=True):
    """What is left of a job once nothing of it can run any more.

    Its caller may ask for the state, and may hand the job in again under its id.

    Attributes:
        ended_at: Seconds since 1970 at which it reached its state.
    """

    state: JobState
    queue: str
    organisation: str
    ended_at: float = 0.0


class OwnerRecord(msgspec.Struct, frozen=True, array_like=True):
    """Which process schedules the fleet; the key hangs on that process's lease.

    Attributes:
        address: Where it listens; no two processes have one at the same time.
    """

    process: str
    address: str = ""


class GivenUpRecord(msgspec.Struct, frozen=True, array_like=True):
    """How many owners gave up one after another, with none sound for long since."""

    times: int


_encoder = msgspec.msgpack.Encoder()
_submissions = msgspec.msgpack.Decoder(Submission)
_progresses = msgspec.msgpack.Decoder(Progress)
_given_ups = msgspec.msgpack.Decoder(GivenUpRecord)
_owners = msgspec.msgpack.Decoder(OwnerRecord)
_ended = msgspec.msgpack.Decoder(EndedRecord)


def encode_record(record: msgspec.Struct) -> bytes:
    """Return a record as the store keeps it."""
    return _encoder.encode(record)


def decode_submission(value: bytes) -> Submission:
    """Return a job as it was accepted."""
    return _submissions.decode(value)


def decode_progress(value: bytes) -> Progress:
    """Return how far a job got."""
    return _progresses.decode(value)


def decode_given_up(value: bytes) -> int:
    """Return how many owners gave up one after another."""
    return _given_ups.decode(value).times


def decode_owner(value: bytes) -> OwnerRecord:
    """Return which process schedules the fleet."""
    return _owners.decode(value)


def decode_ended(value: bytes) -> EndedRecord:
    """Return what is left of an ended job."""
    return _ended.decode(value)


def is_of_job(progress: Progress, submission: Submission) -> bool:
    """Whether a record of progress can be that of a job, unit by unit."""
    steps = submission.steps
    return all(
        each.occurrence >= 0
        and 0 <= each.step < len(steps)
        and 0 <= each.index < (1 if steps[each.step].gang else steps[each.step].count)
        for each in progress.units
    )

"""Starts and stops all members of a gang together.

Reserve on all workers, prepare on all, record the start, then go on all. Until the
start is recorded, any failure undoes everything; an unreachable worker drops the held
task when its lease lapses. After the record the job may be running, and a new owner
continues from the record.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from enum import Enum

import structlog

from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.workers import TaskOrder, Workers
from primrosestile.state.jobs import JobRecord, Member

# `go` is idempotent and is repeated when the worker does not answer, so that a lost
# answer does not cost the gang its start.
GO_TRIES = 3

_log = structlog.get_logger()


class Stage(Enum):
    """The stages of a start."""

    RESERVE = "reserve"
    PREPARE = "prepare"
    RECORD = "record"
    GO = "go"
    STARTED = "started"


@dataclass(frozen=True, slots=True)
class StartOutcome:
    """The result of a start.

    Attributes:
        stage: STARTED, or the stage that failed.
        workers: Those that failed at that stage.
        kind: Why the first of them did.
    """

    stage: Stage
    workers: tuple[str, ...] = ()
    kind: ErrorKind | None = None

    @property
    def started(self) -> bool:
        """Whether every member was told to go."""
        return self.stage is Stage.STARTED


@dataclass(frozen=True, slots=True)
class Command:
    """The authority under which an owner commands the workers of a cell.

    Attributes:
        lease_seconds: Time to live of leases on workers.
        may_act: Whether this process's own lease still runs.
        may_extend_leases: Whether it may renew, and only renew, although its lease is
            not valid: during an outage of the store.
    """

    workers: Workers
    cell: str
    epoch: int
    lease_seconds: float
    may_act: Callable[[], bool]
    may_extend_leases: Callable[[], bool]

    def check(self) -> None:
        """Refuse to act once this process's own lease has lapsed.

        OWNER_STOPS_ACTING_AT_LAPSE: a process that was paused past its lease fails
        here, before it commands workers that have a new owner.

        Raises:
            Failure: NOT_OWNER.
        """
        if not self.may_act():
            raise Failure(ErrorKind.NOT_OWNER, f"the lease on {self.cell} has lapsed")


def make_task_id(job_id: str, attempt: int) -> str:
    """Return the id of a gang's task; the same on each of its workers."""
    return f"{job_id}.{attempt}"


async def _try_each(
    members: Sequence[Member], act: Callable[[Member], Awaitable[object]]
) -> list[tuple[str, ErrorKind]]:
    """Call `act` for all members concurrently; return those that failed."""

    async def attempt(member: Member) -> tuple[str, ErrorKind] | None:
        try:
            await act(member)
        except Failure as failure:
            return member.worker, failure.kind
        return None

    async with asyncio.TaskGroup() as group:
        tasks = [group.create_task(attempt(member)) for member in members]
    return [failed for task in tasks if (failed := task.result()) is not None]


def _make_failed_outcome(
    stage: Stage, failures: list[tuple[str, ErrorKind]]
) -> StartOutcome:
    workers = tuple(worker for worker, _ in failures)
    return StartOutcome(stage, workers, failures[0][1])


def _make_order(record: JobRecord, member: Member, lease_seconds: float) -> TaskOrder:
    spec = record.spec
    return TaskOrder(
        task_id=make_task_id(spec.job_id, record.attempt),
        job_id=spec.job_id,
        organisation=spec.organisation,
        attempt=record.attempt,
        member=member,
        lease_seconds=lease_seconds,
        seconds=spec.declared_seconds,
        checkpoint=record.checkpoint,
        payload=spec.payload,
        gang_size=len(record.members),
    )


async def start_gang(
    command: Command,
    record: JobRecord,
    write_record: Callable[[], Awaitable[bool]],
) -> StartOutcome:
    """Start all members of a gang, or leave none of them running.

    Args:
        command: The owner's authority over the cell.
        record: The record as it is to be written: STARTED, with the new attempt
            and its members.
        write_record: Writes it by compare-and-swap; False when it lost.

    Returns:
        The result. After a failure at GO the start is recorded, and the gang may run in
        part until its leases lapse: the caller stops the attempt.
    """
    members = record.members
    orders = {
        each.worker: _make_order(record, each, command.lease_seconds)
        for each in members
    }

    async def reserve(member: Member) -> None:
        command.check()
        await command.workers.reserve(
            member.worker, command.cell, command.epoch, orders[member.worker]
        )

    async def prepare(member: Member) -> None:
        command.check()
        await command.workers.prepare(
            member.worker, command.cell, command.epoch, orders[member.worker]
        )

    # ALL_HELD_BEFORE_START: every member is called twice before the record. The first
    # call fails fast on accelerators that are taken; only the second loads anything.
    for stage, act in ((Stage.RESERVE, reserve), (Stage.PREPARE, prepare)):
        failures = await _try_each(members, act)
        if failures:
            await stop_gang(command, record)
            return _make_failed_outcome(stage, failures)
    return await _record_and_go(command, record, write_record)


async def _record_and_go(
    command: Command,
    record: JobRecord,
    write_record: Callable[[], Awaitable[bool]],
) -> StartOutcome:
    # START_RECORDED_BEFORE_GO: if a member went first and this process died, the next
    # owner would find a waiting job and start it again.
    try:
        command.check()
        written = await write_record()
        kind = ErrorKind.CONFLICT
    except Failure as failure:
        written = False
        kind = failure.kind
    if not written:
        await stop_gang(command, record)
        return StartOutcome(Stage.RECORD, (), kind)
    failures = await go_gang(command, record, record.members)
    if failures:
        return _make_failed_outcome(Stage.GO, failures)
    return StartOutcome(Stage.STARTED)


async def go_gang(
    command: Command, record: JobRecord, members: Sequence[Member]
) -> list[tuple[str, ErrorKind]]:
    """Send `go` to members, with retries if unanswered; return those that failed."""
    task_id = make_task_id(record.spec.job_id, record.attempt)

    async def go(member: Member) -> None:
        for tries_left in reversed(range(GO_TRIES)):
            command.check()
            try:
                await command.workers.go(
                    member.worker, command.cell, command.epoch, task_id
                )
                return
            except Failure as failure:
                unreachable = failure.kind is ErrorKind.WORKER_UNREACHABLE
                if not unreachable or not tries_left:
                    raise

    return await _try_each(members, go)


async def stop_gang(
    command: Command, record: JobRecord, members: Sequence[Member] | None = None
) -> list[str]:
    """Stop an attempt on its members; return workers that did not confirm it."""
    task_id = make_task_id(record.spec.job_id, record.attempt)

    async def stop(member: Member) -> None:
        command.check()
        await command.workers.stop(member.worker, command.cell, command.epoch, task_id)

    chosen = record.members if members is None else members
    return [worker for worker, _ in await _try_each(chosen, stop)]


async def checkpoint_gang(command: Command, record: JobRecord) -> float:
    """Save a gang's progress; return the seconds that all members have saved.

    A gang resumes from the least of its members' checkpoints. If a member can't be
    reached, the checkpoint in the record is returned, which is always safe.
    """
    task_id = make_task_id(record.spec.job_id, record.attempt)
    saved: list[float] = []

    async def save(member: Member) -> None:
        command.check()
        seconds = await command.workers.checkpoint(
            member.worker, command.cell, command.epoch, task_id
        )
        saved.append(seconds)

    failures = await _try_each(record.members, save)
    if failures or not saved:
        return record.checkpoint
    return max(record.checkpoint, min(saved))

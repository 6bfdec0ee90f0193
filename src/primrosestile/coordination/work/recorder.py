"""Writes the owner's records in groups under its fence.

Each write of a job's record has two conditions. The owner's key must still be ours, so
that a former owner's write does nothing. And the record must still have the revision
that we know, so that a write that the store carries out seconds after its timeout finds
a newer record and does nothing. Without the second, an older record could overwrite a
newer one, and the next owner would start a running task again.

The last record of a job replaces all its keys: once the job is in its final state and
nothing of it can run any more, one change removes the job, its cancellation and its
progress, and writes a small record under another prefix. So a new owner reads only open
jobs at its start. With ended jobs among them, a VM with a slow link could not read them
all before its lease is over, and nothing would be scheduled. That change, and the first
record of a job, have the job's own key as a condition: a write that arrives after the
job's keys have been removed would otherwise find no record, as it expects, and create
one again.

Callers that need a record to be stored wait for the end of the round that writes it.
While the store answers in time, one round follows another, so that changes share calls.
At a slow store the next round begins beside the one under way, with the records of
other jobs: urgent work would otherwise wait for two calls of the store instead of one.
"""

import asyncio
from collections.abc import Collection, Iterator, Sequence
from dataclasses import dataclass

import structlog

from primrosestile.clock import read_clock
from primrosestile.coordination.work.ended_jobs import EndedJobs
from primrosestile.coordination.work.keys import (
    OWNER_KEY,
    make_cancel_key,
    make_ended_key,
    make_job_key,
    make_progress_key,
    make_waiting_key,
)
from primrosestile.coordination.work.record_rounds import RecordRounds, Round
from primrosestile.coordination.work.term import Term
from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.decisions.work.units import Job
from primrosestile.errors import Failure
from primrosestile.protocol.store import Entry
from primrosestile.protocol.transactions import (
    CHANGE_LIMIT,
    CommitResult,
    Condition,
    TransactionalStore,
    Write,
)
from primrosestile.state.work import EndedRecord, JobState, encode_record

# The conditions, writes and removals in one change besides the condition on the owner.
OPERATIONS_PER_CHANGE = CHANGE_LIMIT - 1
# Bytes of values in one change; the store takes about a megabyte a call.
BYTES_PER_CHANGE = 400_000
RETRY_SECONDS = (0.05, 0.1, 0.2, 0.4)
# A round that finds another revision takes two calls to a slow store.
STALL_SECONDS = 0.6
# When a round takes longer than this, the next one begins beside it. A store at rest
# answers within half of it.
ROUND_SECONDS = 0.02
# A store that takes 0.25 s a call would have a dozen rounds at once.
MAX_ROUNDS = 6

_log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class _Record:
    """The record to write of one job, as it was when the round began.

    Attributes:
        over: Whether it is the job's last record, in place of its keys.
        started: Whether something of the job has started, or it has ended.
    """

    job: Job
    value: bytes
    over: bool
    started: bool

    @property
    def job_id(self) -> str:
        return self.job.job_id


@dataclass(frozen=True, slots=True)
class _Part:
    """One job's part of a change."""

    conditions: tuple[Condition, ...]
    write: Write
    removals: tuple[str, ...] = ()

    @property
    def size(self) -> int:
        return len(self.conditions) + 1 + len(self.removals)


class Recorder:
    """Writes the records of changed jobs, one round after another."""

    def __init__(
        self,
        store: TransactionalStore,
        term: Term,
        fleet_state: FleetState,
        ended: EndedJobs,
    ) -> None:
        self._store = store
        self._term = term
        self._fleet_state = fleet_state
        self._ended = ended
        # The revisions of the jobs, and of their progress where there is any.
        self._jobs: dict[str, int] = {}
        self._revisions: dict[str, int] = {}
        # Jobs whose key under `waiting/` may still exist.
        self._waiting: set[str] = set()
        self._wanted = asyncio.Event()
        self._rounds = RecordRounds()
        # Whether the latest write failed.
        self._failed = False

    @property
    def writable(self) -> bool:
        """Whether changes are being recorded, by the latest write and its duration."""
        if self._failed:
            return False
        since = self._rounds.began
        return since is None or read_clock() - since < STALL_SECONDS

    def set_job_revision(self, job: Job, revision: int) -> None:
        """Set the known revision of a job's key."""
        self._jobs[job.job_id] = revision
        if job.state is JobState.QUEUED:
            self._waiting.add(job.job_id)

    def set_progress_revision(self, job_id: str, revision: int) -> None:
        """Set the known revision of a job's progress record."""
        self._revisions[job_id] = revision

    def request_round(self) -> None:
        """Request a round if a job has changed."""
        if self._fleet_state.changed:
            self._wanted.set()

    def request_last_records(self) -> None:
        """Request the last records that no event has requested.

        The last member of a gang, or of a job that a former owner ended, may end
        without a change of the record.
        """
        over = [job for job in self._fleet_state.jobs.values() if _is_over(job)]
        self._fleet_state.changed.update(over)
        self.request_round()

    async def save(self, jobs: Collection[Job]) -> None:
        """Return once all changes made to jobs up to now are in the store."""
        self._wanted.set()
        await self._rounds.wait(jobs, self._fleet_state.changed)

    async def run(self) -> None:
        """Write rounds until the term is lost."""
        async with asyncio.TaskGroup() as tasks:
            under_way: set[asyncio.Task[None]] = set()
            while not self._term.lost.is_set():
                await self._wanted.wait()
                self._wanted.clear()
                begun = self._begin_round()
                if begun is None:
                    continue
                writing = tasks.create_task(self._write_round(begun))
                under_way.add(writing)
                writing.add_done_callback(under_way.discard)
                await asyncio.wait({writing}, timeout=ROUND_SECONDS)
                # While writes fail, further ones would only load the store.
                while under_way and (self._failed or len(under_way) >= MAX_ROUNDS):
                    await asyncio.wait(under_way, return_when=asyncio.FIRST_COMPLETED)

    def _begin_round(self) -> Round | None:
        """Begin a round of the changed jobs whose records are not being written."""
        changed = self._fleet_state.pop_changed()
        writing = self._rounds.writing
        self._fleet_state.changed.update(changed & writing)
        free = changed - writing
        return self._rounds.begin(free, read_clock()) if free else None

    async def _write_round(self, begun: Round) -> None:
        jobs = sorted(begun.jobs, key=lambda job: job.job_id)
        records = [_make_record(job) for job in jobs if job.job_id not in self._ended]
        await self._write_records(records)
        self._rounds.end(begun)
        # Changes that came meanwhile to these jobs had to wait.
        self.request_round()

    async def _write_records(self, records: Sequence[_Record]) -> None:
        groups = list(self._split(records))
        if len(groups) == 1:
            await self._write_group(groups[0])
            return
        async with asyncio.TaskGroup() as tasks:
            for group in groups:
                tasks.create_task(self._write_group(group))

    async def _write_group(self, group: Sequence[_Record]) -> None:
        """Write a group, with new revisions where they differ, until it is stored."""
        waiting = [group]
        while waiting:
            records = waiting.pop()
            outcome = await self._commit([self._make_part(each) for each in records])
            if outcome.done:
                self._note_written(records, outcome.revision)
                continue
            waiting += self._split(self._note_found(outcome, records))

    async def _commit(self, parts: Sequence[_Part]) -> CommitResult:
        """Commit one change; a failed call is repeated until the store answers."""
        conditions = [Condition(OWNER_KEY, self._term.fence)]
        for part in parts:
            conditions += part.conditions
        writes = [part.write for part in parts]
        removals = [key for part in parts for key in part.removals]
        tries = 0
        while True:
            try:
                outcome = await self._store.commit(conditions, writes, removals)
                self._failed = False
                return outcome
            except Failure as failure:
                self._failed = True
                _log.warning("records_not_written", reason=str(failure), tries=tries)
                await asyncio.sleep(RETRY_SECONDS[min(tries, len(RETRY_SECONDS) - 1)])
                tries += 1

    def _make_part(self, record: _Record) -> _Part:
        job_id = record.job_id
        progress_key = make_progress_key(job_id)
        of_job = Condition(make_job_key(job_id), self._jobs.get(job_id, 0))
        if record.over:
            keys = (
                of_job.key,
                make_cancel_key(job_id),
                progress_key,
                make_waiting_key(job_id),
            )
            return _Part((of_job,), Write(make_ended_key(job_id), record.value), keys)
        revision = self._revisions.get(job_id, 0)
        # RECORD_COMPARED.
        of_record = Condition(progress_key, revision)
        conditions = (of_record,) if revision else (of_record, of_job)
        removals: tuple[str, ...] = ()
        if record.started and job_id in self._waiting:
            removals = (make_waiting_key(job_id),)
        return _Part(conditions, Write(progress_key, record.value), removals)

    def _note_written(self, records: Sequence[_Record], revision: int) -> None:
        for record in records:
            if record.over:
                self._drop_job(record.job, "written")
            else:
                self._revisions[record.job_id] = revision
                if record.started:
                    self._waiting.discard(record.job_id)

    def _drop_job(self, job: Job, how: str) -> None:
        """Drop a job whose keys have been removed.

        Args:
            job: Any that is over.
            how: How that is known, for the log.
        """
        _log.info(
            "last_record_stands",
            job_id=job.job_id,
            state=job.state.value,
            ended_at=round(job.ended_at, 3),
            fence=self._term.fence,
            how=how,
        )
        self._ended.add_job(job.job_id)
        self._fleet_state.jobs.pop(job.job_id, None)
        self._jobs.pop(job.job_id, None)
        self._revisions.pop(job.job_id, None)
        self._waiting.discard(job.job_id)

    def _note_found(
        self, outcome: CommitResult, records: Sequence[_Record]
    ) -> list[_Record]:
        """Note the revisions in the store; return the records still to be written."""
        found = {entry.key: entry for entry in outcome.found}
        if not self._term.check_found(outcome.found):
            raise OwnershipLost
        return [record for record in records if self._is_still_due(record, found)]

    def _is_still_due(self, record: _Record, found: dict[str, Entry]) -> bool:
        """Whether a job's keys exist, so that its record must be written again.

        Only our own earlier try, whose answer was lost, can have removed them.
        """
        job_id = record.job_id
        first = not self._revisions.get(job_id)
        if record.over or first:
            job = found.get(make_job_key(job_id))
            if job is None:
                self._drop_job(record.job, "keys already removed")
                return False
            self._jobs[job_id] = job.mod_revision
        if not record.over:
            progress = found.get(make_progress_key(job_id))
            self._revisions[job_id] = 0 if progress is None else progress.mod_revision
        return True

    def _split(self, records: Sequence[_Record]) -> Iterator[list[_Record]]:
        """Yield the records in groups that one change can hold."""
        group: list[_Record] = []
        parts = size = 0
        for record in records:
            more = self._make_part(record).size
            if group and (
                parts + more > OPERATIONS_PER_CHANGE or size > BYTES_PER_CHANGE
            ):
                yield group
                group, parts, size = [], 0, 0
            group.append(record)
            parts += more
            size += len(record.value)
        if group:
            yield group


class OwnershipLost(Exception):
    """Another process is the owner; this term's work must end."""


def _is_over(job: Job) -> bool:
    """Whether nothing of a job runs or can run any more."""
    return job.state.final and not any(unit.members for unit in job.units.values())


def _make_record(job: Job) -> _Record:
    if not _is_over(job):
        started = job.state is not JobState.QUEUED
        return _Record(job, encode_record(job.make_progress()), False, started)
    submission = job.submission
    last = EndedRecord(
        job.state, submission.queue, submission.organisation, job.ended_at
    )
    return _Record(job, encode_record(last), over=True, started=True)

"""Reads new jobs and cancellations from the store and adds them to the fleet state.

Everything is read at the start, then a watch reports changes. Where the watch has lost
its history or may have missed changes, the keys are read again: first the
cancellations, which are small and have a time limit, and the jobs concurrently with the
watch. If the jobs came first, a VM with a slow link would see no cancellation until the
last of them has arrived.

A watch that waits when the store drops its history reports nothing more, and only its
timeout shows that, up to two seconds later; urgent work has a quarter of a second and
half its run time to spare. So the owner also reads, a few times a second, the one small
key that each caller request writes, and reads again when that is newer than what the
watch has reported.
"""

import asyncio
import math
from collections.abc import Callable

import structlog

from primrosestile.clock import read_clock, read_wall_clock
from primrosestile.coordination.work.ended_jobs import EndedJobs
from primrosestile.coordination.work.keys import (
    CALLER_REQUESTS_PREFIX,
    CANCELS_PREFIX,
    JOBS_PREFIX,
    LATEST_REQUEST_KEY,
    PROGRESS_PREFIX,
)
from primrosestile.coordination.work.prefix_reader import PrefixReader
from primrosestile.coordination.work.recorder import Recorder
from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.errors import Failure
from primrosestile.protocol.store import Change, Entry
from primrosestile.protocol.transactions import TransactionalStore, list_entries
from primrosestile.state.decoding import Undecodable
from primrosestile.state.work import (
    JobState,
    Progress,
    decode_progress,
    decode_submission,
    matches_submission,
)

# A watch may stall permanently; renewed this often, it delays a change by one wait.
WATCH_SECONDS = 1.0
# Everything is read again this often, since the watch may have missed changes.
RELIST_SECONDS = 5.0
# Where that takes longer than this, cancellations are read by themselves, and jobs
# so rarely that reading them takes up to a tenth of the link's time.
QUICK_READ_SECONDS = 0.25
JOBS_PAUSE_FACTOR = 10.0
RETRY_SECONDS = 0.2
# A cancelled job may start nothing more 3 s after the acknowledgement; the record of a
# start and its order, sent twice, take up to 1 s of that. A watch without changes
# returns within 1 s, and 0.3 s more at a slow store.
RECENT_SECONDS = 2.0
# The changes since the last answer may be more than a watch can deliver in time; after
# this many failures in a row everything is read again.
WATCH_FAILURES = 2
# How often the newest caller request is read: while the watch is silent, a job is found
# at most this time plus one read after its acceptance.
LATEST_POLL_SECONDS = 0.25
# A working watch has reported a change by then, so nothing needs to be read again.
LATEST_GRACE_SECONDS = 0.05

_log = structlog.get_logger()


class RequestWatch:
    """Follows callers' jobs and cancellations in the store."""

    def __init__(
        self,
        store: TransactionalStore,
        fleet_state: FleetState,
        recorder: Recorder,
        ended: EndedJobs,
        wake: Callable[[], None],
    ) -> None:
        self._store = store
        self._reader = PrefixReader(store)
        self._fleet_state = fleet_state
        self._recorder = recorder
        self._ended = ended
        self._wake = wake
        # Up to which revision the watch has reported, and when that was requested.
        self._revision = 0
        self._revision_at = 0.0
        self._failures = 0
        # When everything was last requested, when the jobs were, and how long that
        # took.
        self._listed_at = 0.0
        self._jobs_listed_at = 0.0
        self._jobs_read_seconds = 0.0
        # Whether the jobs must be read, or read once more after the read under way.
        self._jobs_wanted = False
        self._jobs_reading: asyncio.Task[None] | None = None
        # Whether a read is under way; a second one would load a slow link twice.
        self._reading = False
        # Cancellations of jobs that haven't been read yet.
        self._early_cancels: set[str] = set()
        self._unreadable: set[str] = set()
        # Nothing is known before the term begins: not recent, whatever the age.
        self._known_at = read_clock() - RECENT_SECONDS

    @property
    def requests_age(self) -> float:
        """Seconds since the latest moment up to which all cancellations are known."""
        return read_clock() - self._known_at

    @property
    def recent(self) -> bool:
        """Whether cancellations are known recently enough to start runs."""
        return self.requests_age < RECENT_SECONDS

    @property
    def read_stall(self) -> float:
        """Seconds since any part of the read under way arrived."""
        return self._reader.find_stall()

    @property
    def unreadable(self) -> int:
        """How many records could not be decoded; their jobs are not touched."""
        return len(self._unreadable)

    async def load(self) -> None:
        """Read every open job, its progress, and every cancellation."""
        asked_at = read_clock()
        progresses, _ = await self._reader.read(PROGRESS_PREFIX)
        cancels_asked_at = read_clock()
        cancels, self._revision = await self._reader.read(CANCELS_PREFIX)
        self._revision_at = cancels_asked_at
        jobs_asked_at = read_clock()
        jobs, _ = await self._reader.read(JOBS_PREFIX)
        self._listed_at = self._jobs_listed_at = jobs_asked_at
        self._jobs_read_seconds = read_clock() - jobs_asked_at
        self._process_entries([*jobs, *cancels], self._decode_progresses(progresses))
        self._known_at = cancels_asked_at
        _log.info(
            "jobs_loaded",
            jobs=len(self._fleet_state.jobs),
            records=len(progresses),
            unreadable=self.unreadable,
            stopping=sum(
                unit.abandoned
                for job in self._fleet_state.jobs.values()
                for unit in job.units.values()
            ),
            seconds=round(read_clock() - asked_at, 3),
        )

    def _decode_progresses(self, entries: list[Entry]) -> dict[str, Progress]:
        known = {}
        for entry in entries:
            job_id = entry.key.removeprefix(PROGRESS_PREFIX)
            try:
                known[job_id] = decode_progress(entry.value)
            except Undecodable as error:
                self._note_unreadable(entry.key, str(error))
                continue
            self._recorder.set_progress_revision(job_id, entry.mod_revision)
        return known

    def _note_unreadable(self, key: str, reason: str) -> None:
        """Log once that a record can't be decoded; it stays in the store.

        If it raised an error, one record of another writer would keep every owner from
        starting, and no job would run.
        """
        if key in self._unreadable:
            return
        self._unreadable.add(key)
        _log.warning("record_unreadable", key=key, reason=reason)

    def _process_entries(
        self,
        entries: list[Entry],
        known: dict[str, Progress] | None = None,
        since: float = -math.inf,
    ) -> None:
        """Process jobs and cancellations that were read or reported by the watch.

        Args:
            entries: Jobs and cancellations.
            known: The jobs' progress, as an earlier owner recorded it.
            since: A time on the loop's clock before which no unknown job was stored.
        """
        known = known or {}
        for entry in entries:
            if entry.key.startswith(JOBS_PREFIX):
                job_id = entry.key.removeprefix(JOBS_PREFIX)
                self._admit(entry, job_id, known.get(job_id), since)
        for entry in entries:
            if entry.key.startswith(CANCELS_PREFIX):
                self._cancel(entry.key.removeprefix(CANCELS_PREFIX))

    def _admit(
        self, entry: Entry, job_id: str, progress: Progress | None, since: float
    ) -> None:
        if job_id in self._fleet_state.jobs or job_id in self._ended:
            return
        if PROGRESS_PREFIX + job_id in self._unreadable:
            # Admitted as not started, its tasks would run a second time.
            return
        try:
            submission = decode_submission(entry.value)
        except Undecodable as error:
            self._note_unreadable(entry.key, str(error))
            return
        if submission.job_id != job_id:
            self._note_unreadable(entry.key, "the record is another job's")
            return
        if progress is not None and not matches_submission(progress, submission):
            self._note_unreadable(
                PROGRESS_PREFIX + job_id, "the record is another job's"
            )
            return
        age = _find_age(submission.accepted_at, since)
        job = self._fleet_state.admit(submission, progress, read_clock(), age)
        self._recorder.set_job_revision(job, entry.mod_revision)
        if progress is None:
            _log.info(
                "job_admitted",
                job_id=job_id,
                queue=submission.queue,
                organisation=submission.organisation,
                steps=len(submission.steps),
                tasks=sum(step.count for step in submission.steps),
                priority=job.queue.priority,
                age=round(age, 3),
            )
        if job_id in self._early_cancels:
            self._cancel(job_id)

    def _cancel(self, job_id: str) -> None:
        job = self._fleet_state.jobs.get(job_id)
        if job is None:
            if job_id not in self._ended:
                self._early_cancels.add(job_id)
            return
        self._early_cancels.discard(job_id)
        if job.state.final:
            return
        _log.info("job_cancelled", job_id=job_id)
        self._fleet_state.finish(job, JobState.CANCELLED)

    async def run(self) -> None:
        """Follow the store until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._follow_latest(tasks))
            while True:
                try:
                    await self._follow(tasks)
                    self._failures = 0
                except Failure as failure:
                    self._failures += 1
                    _log.warning("requests_not_followed", reason=str(failure))
                    await asyncio.sleep(RETRY_SECONDS)

    async def _follow(self, tasks: asyncio.TaskGroup) -> None:
        overdue = read_clock() - self._listed_at > RELIST_SECONDS
        if overdue or self._failures >= WATCH_FAILURES:
            await self._read_again(tasks, self._failures > 0)
        reported_before = self._revision_at
        asked_at = read_clock()
        batch = await self._store.watch_once(
            CALLER_REQUESTS_PREFIX, self._revision, WATCH_SECONDS
        )
        if not batch.complete:
            await self._read_again(tasks, lost=True)
            return
        self._revision = max(self._revision, batch.revision)
        self._revision_at = asked_at
        if batch.changes:
            self._process_changes(batch.changes, reported_before)
            self._known_at = asked_at
        else:
            # The store waited for a change before it answered that there is none.
            self._known_at = min(read_clock(), asked_at + WATCH_SECONDS)

    async def _follow_latest(self, tasks: asyncio.TaskGroup) -> None:
        """Read again when the newest request is newer than what the watch reported."""
        while True:
            await asyncio.sleep(LATEST_POLL_SECONDS)
            try:
                latest = await self._store.get(LATEST_REQUEST_KEY)
                if latest is None or latest.mod_revision <= self._revision:
                    continue
                await asyncio.sleep(LATEST_GRACE_SECONDS)
                if latest.mod_revision > self._revision and not self._reading:
                    _log.info("watch_is_silent", revision=latest.mod_revision)
                    await self._read_again(tasks, lost=True)
            except Failure as failure:
                # Not counted: this read only supplements the watch, whose failures are.
                _log.info("latest_request_not_read", reason=str(failure))

    async def _read_again(self, tasks: asyncio.TaskGroup, lost: bool) -> None:
        """Read what the watch may have missed.

        Args:
            tasks: The group in which jobs are read while the watch goes on.
            lost: The watch has certainly missed some changes.
        """
        self._reading = True
        try:
            await self._read_requests(tasks, lost)
        finally:
            self._reading = False

    async def _read_requests(self, tasks: asyncio.TaskGroup, lost: bool) -> None:
        asked_at = read_clock()
        # A job that this earlier read did not return was stored later.
        since = self._jobs_listed_at
        quick = self._jobs_read_seconds <= QUICK_READ_SECONDS and not self._failures
        if quick:
            entries, revision = await list_entries(self._store, CALLER_REQUESTS_PREFIX)
            self._jobs_listed_at = asked_at
            self._jobs_read_seconds = read_clock() - asked_at
        else:
            entries, revision = await self._reader.read(CANCELS_PREFIX)
            pause = max(RELIST_SECONDS, JOBS_PAUSE_FACTOR * self._jobs_read_seconds)
            if lost or asked_at - self._jobs_listed_at > pause:
                self._start_reading_jobs(tasks)
        if lost:
            self._revision = max(self._revision, revision)
            self._revision_at = asked_at
        self._listed_at = self._known_at = asked_at
        self._process_entries(entries, since=since)
        self._wake()

    def _start_reading_jobs(self, tasks: asyncio.TaskGroup) -> None:
        self._jobs_wanted = True
        running = self._jobs_reading
        if running is None or running.done():
            self._jobs_reading = tasks.create_task(self._read_jobs())

    async def _read_jobs(self) -> None:
        """Read the jobs concurrently with the watch, until nothing is missing."""
        while self._jobs_wanted:
            # Changes missed from now on may be in a part that was already read.
            self._jobs_wanted = False
            asked_at = read_clock()
            try:
                jobs, _ = await self._reader.read(JOBS_PREFIX)
            except Failure as failure:
                _log.warning("jobs_not_read", reason=str(failure))
                self._jobs_wanted = True
                await asyncio.sleep(RETRY_SECONDS)
                continue
            since, self._jobs_listed_at = self._jobs_listed_at, asked_at
            self._jobs_read_seconds = read_clock() - asked_at
            self._process_entries(jobs, since=since)
            self._wake()

    def _process_changes(self, changes: tuple[Change, ...], since: float) -> None:
        entries = [each.entry for each in changes if each.entry is not None]
        if entries:
            self._process_entries(entries, since=since)
            self._wake()


def _find_age(accepted_at: float, since: float) -> float:
    """Return how long ago a job was accepted, in seconds, as far as is known.

    The time of day in it is that of the VM that accepted it, which may be seconds or
    minutes behind ours. Unchecked, it would make a job that has just arrived count as
    late and go behind all others: `job_admitted` would show an `age` that no silence of
    the store explains. So the age is limited by the time since the previous read or
    report, which did not have the job.
    """
    age = read_wall_clock() - accepted_at
    return max(0.0, min(age, read_clock() - since))

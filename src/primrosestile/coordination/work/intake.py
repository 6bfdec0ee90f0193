"""How the owner learns of new jobs and cancellations.

All of it is read at the start, then a watch tells of changes. Where the watch has
lost its history, or may have been told nothing, it is read again: the cancellations
first, which are small and must be heard within a time, and the jobs beside the
watch, which goes on meanwhile. Were the jobs read first, a VM with a slow link would
hear of no cancellation until the last of them has come.

A watch that waits when the store drops its history hears nothing more, and only its
timeout shows it, up to two seconds later; urgent work has a quarter of a second and
half its run time to spare. So the owner also asks, a few times a second, for the one
small key that each wish writes, and reads again when that is newer than what the
watch has told.
"""

import asyncio
import math
from collections.abc import Callable

import msgspec
import structlog

from primrosestile.clock import read_clock, read_wall_clock
from primrosestile.coordination.work.ended import EndedJobs
from primrosestile.coordination.work.keys import (
    CANCELS_PREFIX,
    JOBS_PREFIX,
    LATEST_WISH_KEY,
    PROGRESS_PREFIX,
    WISHES_PREFIX,
)
from primrosestile.coordination.work.reading import Reader
from primrosestile.coordination.work.recording import Recorder
from primrosestile.decisions.work.board import Board
from primrosestile.errors import Failure
from primrosestile.protocol.store import Change, Entry
from primrosestile.protocol.transactions import TransactionalStore, list_entries
from primrosestile.state.work import (
    JobState,
    Progress,
    decode_progress,
    decode_submission,
    is_of_job,
)

# A watch may be silent for good; asked anew this often, the harm is one wait.
WATCH_SECONDS = 1.0
# Everything is read again this often, whatever the watch has told: it may have
# been told nothing while changes were made.
RELIST_SECONDS = 5.0
# Where that takes longer than this, cancellations are read by themselves, and jobs
# only so often that reading them takes up to a tenth of the link.
QUICK_SECONDS = 0.25
RELIST_FACTOR = 10.0
RETRY_SECONDS = 0.2
# What was cancelled may start nothing more 3 s after that was acknowledged; a start's
# record and its order, sent again once, take up to 1 s of that. A watch that hears
# nothing returns within 1 s, and 0.3 s more at a slow store.
HEARD_SECONDS = 2.0
# What happened since the last answer may be more than a watch can bring in its time;
# after so many failures on end all is read again.
WATCH_FAILURES = 2
# How often the newest wish is asked for: while a watch is silent, a job is heard of at
# most so long and a read after its acceptance.
LATEST_SECONDS = 0.25
# A watch that works has told of a change by then; reading everything would be wasted.
LATEST_GRACE_SECONDS = 0.05

_log = structlog.get_logger()


class Intake:
    """Follows what callers wish, from the store to the board."""

    def __init__(
        self,
        store: TransactionalStore,
        board: Board,
        recorder: Recorder,
        ended: EndedJobs,
        wake: Callable[[], None],
    ) -> None:
        self._store = store
        self._reader = Reader(store)
        self._board = board
        self._recorder = recorder
        self._ended = ended
        self._wake = wake
        # Up to which revision the watch has told, and since when at the latest.
        self._revision = 0
        self._revision_at = 0.0
        self._failures = 0
        # When all was last asked for, and when the jobs were, and how long that took.
        self._listed_at = 0.0
        self._jobs_listed_at = 0.0
        self._jobs_took = 0.0
        # Whether they must be read, or read once more after the present reading.
        self._jobs_wanted = False
        self._jobs_reading: asyncio.Task[None] | None = None
        # Whether wishes are being read; a slow link would carry them twice.
        self._reading = False
        # Cancellations of jobs that haven't been read yet.
        self._early: set[str] = set()
        self._unreadable: set[str] = set()
        # Nothing was heard before the term began; for how long doesn't matter.
        self._heard_at = read_clock() - HEARD_SECONDS

    @property
    def heard_age(self) -> float:
        """Seconds since all cancellations of that moment were known, at the least."""
        return read_clock() - self._heard_at

    @property
    def recent(self) -> bool:
        """Whether wishes are heard, so that what was cancelled isn't started."""
        return self.heard_age < HEARD_SECONDS

    @property
    def reading_stall(self) -> float:
        """Seconds for which nothing of what is being read has come."""
        return self._reader.find_stall()

    @property
    def unreadable(self) -> int:
        """How many records could not be read; their jobs are left alone."""
        return len(self._unreadable)

    async def load(self) -> None:
        """Read every open job, how far it got, and every cancellation."""
        asked_at = read_clock()
        progresses, _ = await self._reader.read(PROGRESS_PREFIX)
        cancels_asked_at = read_clock()
        cancels, self._revision = await self._reader.read(CANCELS_PREFIX)
        self._revision_at = cancels_asked_at
        jobs_asked_at = read_clock()
        jobs, _ = await self._reader.read(JOBS_PREFIX)
        self._listed_at = self._jobs_listed_at = jobs_asked_at
        self._jobs_took = read_clock() - jobs_asked_at
        self._take_wishes([*jobs, *cancels], self._decode_progresses(progresses))
        self._heard_at = cancels_asked_at
        _log.info(
            "jobs_loaded",
            jobs=len(self._board.jobs),
            records=len(progresses),
            unreadable=self.unreadable,
            seconds=round(read_clock() - asked_at, 3),
        )

    def _decode_progresses(self, entries: list[Entry]) -> dict[str, Progress]:
        known = {}
        for entry in entries:
            job_id = entry.key.removeprefix(PROGRESS_PREFIX)
            try:
                known[job_id] = decode_progress(entry.value)
            except msgspec.MsgspecError as error:
                self._note_unreadable(entry.key, str(error))
                continue
            self._recorder.note_revision(job_id, entry.mod_revision)
        return known

    def _note_unreadable(self, key: str, reason: str) -> None:
        """Log once that a record can't be read; it is left where it is.

        One record of another writer would else keep every owner from its start, and
        no job of anybody would run.
        """
        if key in self._unreadable:
            return
        self._unreadable.add(key)
        _log.warning("record_unreadable", key=key, reason=reason)

    def _take_wishes(
        self,
        entries: list[Entry],
        known: dict[str, Progress] | None = None,
        since: float = -math.inf,
    ) -> None:
        """Take in what was read or told.

        Args:
            entries: Jobs and cancellations.
            known: How far the jobs got, as an earlier owner left it.
            since: When none of the jobs stood that we don't know, on the loop's clock.
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
        if job_id in self._board.jobs or job_id in self._ended:
            return
        if PROGRESS_PREFIX + job_id in self._unreadable:
            # Taken as never begun, its tasks would run a second time.
            return
        try:
            submission = decode_submission(entry.value)
        except msgspec.MsgspecError as error:
            self._note_unreadable(entry.key, str(error))
            return
        if submission.job_id != job_id:
            self._note_unreadable(entry.key, "it is another job's")
            return
        if progress is not None and not is_of_job(progress, submission):
            self._note_unreadable(PROGRESS_PREFIX + job_id, "it is another job's")
            return
        age = _find_age(submission.accepted_at, since)
        job = self._board.admit(submission, progress, read_clock(), age)
        self._recorder.note_job(job, entry.mod_revision)
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
        if job_id in self._early:
            self._cancel(job_id)

    def _cancel(self, job_id: str) -> None:
        job = self._board.jobs.get(job_id)
        if job is None:
            if job_id not in self._ended:
                self._early.add(job_id)
            return
        self._early.discard(job_id)
        if job.state.final:
            return
        _log.info("job_cancelled", job_id=job_id)
        self._board.finish(job, JobState.CANCELLED)

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
                    _log.warning("wishes_not_heard", reason=str(failure))
                    await asyncio.sleep(RETRY_SECONDS)

    async def _follow(self, tasks: asyncio.TaskGroup) -> None:
        overdue = read_clock() - self._listed_at > RELIST_SECONDS
        if overdue or self._failures >= WATCH_FAILURES:
            await self._read_again(tasks, self._failures > 0)
        told_before = self._revision_at
        asked_at = read_clock()
        heard = await self._store.watch_once(
            WISHES_PREFIX, self._revision, WATCH_SECONDS
        )
        if not heard.complete:
            await self._read_again(tasks, lost=True)
            return
        self._revision = max(self._revision, heard.revision)
        self._revision_at = asked_at
        if heard.changes:
            self._take_changes(heard.changes, told_before)
            self._heard_at = asked_at
        else:
            # The store waited for a change before it answered that there is none.
            self._heard_at = min(read_clock(), asked_at + WATCH_SECONDS)

    async def _follow_latest(self, tasks: asyncio.TaskGroup) -> None:
        """Read again whenever a wish is newer than all that the watch has told."""
        while True:
            await asyncio.sleep(LATEST_SECONDS)
            try:
                latest = await self._store.get(LATEST_WISH_KEY)
                if latest is None or latest.mod_revision <= self._revision:
                    continue
                await asyncio.sleep(LATEST_GRACE_SECONDS)
                if latest.mod_revision > self._revision and not self._reading:
                    _log.info("watch_is_silent", revision=latest.mod_revision)
                    await self._read_again(tasks, lost=True)
            except Failure as failure:
                # The watch's own failures are logged and counted; this is in addition.
                _log.info("latest_wish_not_read", reason=str(failure))

    async def _read_again(self, tasks: asyncio.TaskGroup, lost: bool) -> None:
        """Read what the watch may not have told.

        Args:
            tasks: Where jobs are read while the watch goes on.
            lost: The watch has told nothing of some changes for certain.
        """
        self._reading = True
        try:
            await self._read_wishes(tasks, lost)
        finally:
            self._reading = False

    async def _read_wishes(self, tasks: asyncio.TaskGroup, lost: bool) -> None:
        asked_at = read_clock()
        # What wasn't read by then came later.
        since = self._jobs_listed_at
        quick = self._jobs_took <= QUICK_SECONDS and not self._failures
        if quick:
            entries, revision = await list_entries(self._store, WISHES_PREFIX)
            self._jobs_listed_at = asked_at
            self._jobs_took = read_clock() - asked_at
        else:
            entries, revision = await self._reader.read(CANCELS_PREFIX)
            pause = max(RELIST_SECONDS, RELIST_FACTOR * self._jobs_took)
            if lost or asked_at - self._jobs_listed_at > pause:
                self._start_reading_jobs(tasks)
        if lost:
            self._revision = max(self._revision, revision)
            self._revision_at = asked_at
        self._listed_at = self._heard_at = asked_at
        self._take_wishes(entries, since=since)
        self._wake()

    def _start_reading_jobs(self, tasks: asyncio.TaskGroup) -> None:
        self._jobs_wanted = True
        running = self._jobs_reading
        if running is None or running.done():
            self._jobs_reading = tasks.create_task(self._read_jobs())

    async def _read_jobs(self) -> None:
        """Read the jobs beside the watch, however often it takes."""
        while self._jobs_wanted:
            # What is lost from now on may be behind the part that is being read.
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
            self._jobs_took = read_clock() - asked_at
            self._take_wishes(jobs, since=since)
            self._wake()

    def _take_changes(self, changes: tuple[Change, ...], since: float) -> None:
        entries = [each.entry for each in changes if each.entry is not None]
        if entries:
            self._take_wishes(entries, since=since)
            self._wake()


def _find_age(accepted_at: float, since: float) -> float:
    """Return how long ago a job was accepted, in seconds, as far as can be told.

    The time of day in it is that of the VM that took it in, which may be seconds or
    minutes behind ours. Believed, a job that has just come would count as late and go
    behind all others: one would see `job_admitted` with an `age` that no silence of the
    store explains. So it is no older than what was told or read before allows.
    """
    age = read_wall_clock() - accepted_at
    return max(0.0, min(age, read_clock() - since))

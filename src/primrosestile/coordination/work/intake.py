"""How the owner learns of new jobs, cancellations and workers."""

import asyncio
from collections.abc import Callable

import structlog

from primrosestile.clock import read_clock, read_wall_clock
from primrosestile.coordination.work.keys import (
    CANCELS_PREFIX,
    JOBS_PREFIX,
    PROGRESS_PREFIX,
    WISHES_PREFIX,
)
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
)

# A watch may be silent for good; asked anew this often, the harm is one wait.
WATCH_SECONDS = 1.0
# Everything is read again this often, whatever the watch has told: it may have
# been told nothing while changes were made.
RELIST_SECONDS = 5.0
RETRY_SECONDS = 0.2
# What was cancelled may start nothing more 3 s after that was acknowledged; a start's
# record and its order, sent again once, take up to 1 s of that. A watch that hears
# nothing returns within 1 s, and 0.3 s more at a slow store.
HEARD_SECONDS = 2.0

_log = structlog.get_logger()


class Intake:
    """Follows what callers wish, from the store to the board."""

    def __init__(
        self,
        store: TransactionalStore,
        board: Board,
        recorder: Recorder,
        wake: Callable[[], None],
    ) -> None:
        self._store = store
        self._board = board
        self._recorder = recorder
        self._wake = wake
        self._revision = 0
        self._listed_at = 0.0
        # Nothing was heard before the term began; for how long doesn't matter.
        self._heard_at = read_clock() - HEARD_SECONDS

    @property
    def heard_age(self) -> float:
        """Seconds since all wishes of that moment were known, at the least."""
        return read_clock() - self._heard_at

    @property
    def recent(self) -> bool:
        """Whether wishes are heard, so that what was cancelled isn't started."""
        return self.heard_age < HEARD_SECONDS

    async def load(self) -> None:
        """Read every job, how far it got, and every cancellation."""
        progresses, _ = await list_entries(self._store, PROGRESS_PREFIX)
        asked_at = read_clock()
        wishes, self._revision = await list_entries(self._store, WISHES_PREFIX)
        self._listed_at = read_clock()
        self._heard_at = asked_at
        known = {}
        for entry in progresses:
            job_id = entry.key.removeprefix(PROGRESS_PREFIX)
            known[job_id] = decode_progress(entry.value)
            self._recorder.note_revision(job_id, entry.mod_revision)
        self._take_wishes(wishes, known)
        _log.info("jobs_loaded", jobs=len(self._board.jobs), records=len(known))

    def _take_wishes(
        self, entries: list[Entry], known: dict[str, Progress] | None = None
    ) -> None:
        known = known or {}
        for entry in entries:
            if entry.key.startswith(JOBS_PREFIX):
                job_id = entry.key.removeprefix(JOBS_PREFIX)
                self._admit(entry, known.get(job_id))
        for entry in entries:
            if entry.key.startswith(CANCELS_PREFIX):
                self._cancel(entry.key.removeprefix(CANCELS_PREFIX))

    def _admit(self, entry: Entry, progress: Progress | None) -> None:
        job_id = entry.key.removeprefix(JOBS_PREFIX)
        if job_id in self._board.jobs:
            return
        submission = decode_submission(entry.value)
        age = max(0.0, read_wall_clock() - submission.accepted_at)
        job = self._board.admit(submission, progress, read_clock(), age)
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

    def _cancel(self, job_id: str) -> None:
        job = self._board.jobs.get(job_id)
        if job is None or job.state.final:
            return
        _log.info("job_cancelled", job_id=job_id)
        self._board.finish(job, JobState.CANCELLED)

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            try:
                await self._follow()
            except Failure as failure:
                _log.warning("wishes_not_heard", reason=str(failure))
                await asyncio.sleep(RETRY_SECONDS)

    async def _follow(self) -> None:
        if read_clock() - self._listed_at > RELIST_SECONDS:
            await self._list_again()
        asked_at = read_clock()
        heard = await self._store.watch_once(
            WISHES_PREFIX, self._revision, WATCH_SECONDS
        )
        if not heard.complete:
            await self._list_again()
            return
        self._revision = max(self._revision, heard.revision)
        if heard.changes:
            self._take_changes(heard.changes)
            self._heard_at = asked_at
        else:
            # The store waited for a change before it answered that there is none.
            self._heard_at = min(read_clock(), asked_at + WATCH_SECONDS)

    async def _list_again(self) -> None:
        asked_at = read_clock()
        entries, self._revision = await list_entries(self._store, WISHES_PREFIX)
        self._listed_at = read_clock()
        self._heard_at = asked_at
        self._take_wishes(entries)
        self._wake()

    def _take_changes(self, changes: tuple[Change, ...]) -> None:
        self._take_wishes([each.entry for each in changes if each.entry is not None])
        self._wake()

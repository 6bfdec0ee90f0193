"""How many accepted jobs of each queue wait for their first task to start.

That takes a read of all that is open. On a VM with a slow link callers who ask one
after another would fill it with the same bytes, and calls of others would wait; so
those who ask within a second share one read.
"""

import asyncio
from collections import Counter

import msgspec

from primrosestile.clock import read_clock
from primrosestile.coordination.work.keys import JOBS_PREFIX, PROGRESS_PREFIX
from primrosestile.errors import Failure
from primrosestile.protocol.store import Entry
from primrosestile.protocol.transactions import TransactionalStore, list_entries
from primrosestile.state.work import JobState, decode_progress, decode_submission

# Callers are promised a number that is at most 2 s old.
SHARED_SECONDS = 1.0


class PendingCounts:
    """Counts waiting jobs by queue, for all who ask within some time at once."""

    def __init__(self, store: TransactionalStore) -> None:
        self._store = store
        self._reading: asyncio.Task[Counter[str]] | None = None
        self._asked_at = 0.0

    async def count(self, queue: str) -> int:
        """Return how many jobs of a queue have no task started."""
        reading = self._reading
        if reading is None or read_clock() - self._asked_at > SHARED_SECONDS:
            self._asked_at = read_clock()
            reading = self._reading = asyncio.create_task(self._read())
        try:
            # One caller that gives up must not end the read of the others.
            return (await asyncio.shield(reading))[queue]
        except Failure:
            if self._reading is reading:
                self._reading = None
            raise

    async def _read(self) -> Counter[str]:
        jobs, _ = await list_entries(self._store, JOBS_PREFIX)
        if not jobs:
            return Counter()
        started, _ = await list_entries(self._store, PROGRESS_PREFIX)
        begun = {
            entry.key.removeprefix(PROGRESS_PREFIX)
            for entry in started
            if _has_begun(entry)
        }
        return Counter(
            _find_queue(entry)
            for entry in jobs
            if entry.key.removeprefix(JOBS_PREFIX) not in begun
        )


def _has_begun(entry: Entry) -> bool:
    """Whether a record tells of a start; one that can't be read is not counted on."""
    try:
        return decode_progress(entry.value).state is not JobState.QUEUED
    except msgspec.MsgspecError:
        return True


def _find_queue(entry: Entry) -> str:
    """Return a job's queue; empty when the job can't be read."""
    try:
        return decode_submission(entry.value).queue
    except msgspec.MsgspecError:
        return ""

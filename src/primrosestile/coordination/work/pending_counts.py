"""Counts the accepted jobs of each queue of which no task has started.

Each such job has a small key of its own. A count from the jobs and their records would
make every VM that is asked read all open jobs: a megabyte and more on a large fleet,
which takes a second on a slow link. Callers who ask within a second share one read.
So do those who ask while a longer one arrives: a second read beside it would take
as much of the link, and neither would arrive in time.
"""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

import structlog

from primrosestile.clock import read_clock
from primrosestile.coordination.work.keys import WAITING_PREFIX
from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.transactions import TransactionalStore, list_entries

# The number must be at most 2 s old when a caller gets it.
SHARED_SECONDS = 1.0
# A job that was accepted this long ago must be counted.
MAX_AGE_SECONDS = 4.5
# A read of which nothing arrives for this long may be on a dead connection.
SILENT_SECONDS = 1.0

_log = structlog.get_logger()


@dataclass(slots=True)
class _Read:
    """A read that callers share, and how many of them wait for it."""

    task: asyncio.Task[Counter[str]]
    asked_at: float = field(default_factory=read_clock)
    callers: int = 0


class PendingCounts:
    """Counts waiting jobs by queue; concurrent callers share one read."""

    def __init__(self, store: TransactionalStore) -> None:
        self._store = store
        self._reading: _Read | None = None
        # When the latest read began or the latest page arrived.
        self._active_at = 0.0

    async def count(self, queue: str) -> int:
        """Return how many jobs of a queue have no task started.

        Raises:
            Failure: When the read fails; all callers who share it get its failure.
        """
        reading = self._reading
        if reading is None or not self._may_share(reading):
            reading = self._reading = self._begin()
        reading.callers += 1
        try:
            # A caller that is cancelled must not cancel the read of the others.
            return (await asyncio.shield(reading.task))[queue]
        finally:
            reading.callers -= 1

    def _begin(self) -> _Read:
        reading = _Read(asyncio.create_task(self._read()))
        self._active_at = reading.asked_at
        reading.task.add_done_callback(lambda _: self._note_end(reading))
        return reading

    def _note_end(self, reading: _Read) -> None:
        """Discard a failed read, and log its failure if no caller gets it.

        The event loop would report an exception that nobody retrieves by a traceback.
        """
        # Only the end of the process cancels a read, so there is no caller to tell.
        failure = None if reading.task.cancelled() else reading.task.exception()
        if failure is None:
            return
        if self._reading is reading:
            self._reading = None
        if not reading.callers:
            _log.warning("pending_count_failed", reason=str(failure))

    def _may_share(self, reading: _Read) -> bool:
        """Whether another caller may be told what a read returns."""
        now = read_clock()
        if now - reading.asked_at <= SHARED_SECONDS:
            return True
        return not reading.task.done() and now - self._active_at <= SILENT_SECONDS

    async def _read(self) -> Counter[str]:
        began = read_clock()
        waiting, _ = await list_entries(
            self._store, WAITING_PREFIX, on_page=self._note_page
        )
        if read_clock() - began > MAX_AGE_SECONDS:
            raise Failure(ErrorKind.STORE_UNAVAILABLE, "the count took too long")
        return Counter(entry.value.decode(errors="replace") for entry in waiting)

    def _note_page(self) -> None:
        self._active_at = read_clock()

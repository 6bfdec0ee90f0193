"""Counts the accepted jobs of each queue of which no task has started.

Each such job has a small key of its own. A count from the jobs and their records would
make every VM that is asked read all open jobs: a megabyte and more on a large fleet,
which takes a second on a slow link. Callers who ask within a second share one read.
"""

import asyncio
from collections import Counter

from primrosestile.clock import read_clock
from primrosestile.coordination.work.keys import WAITING_PREFIX
from primrosestile.errors import Failure
from primrosestile.protocol.transactions import TransactionalStore, list_entries

# The number must be at most 2 s old when a caller gets it.
SHARED_SECONDS = 1.0


class PendingCounts:
    """Counts waiting jobs by queue; concurrent callers share one read."""

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
            # A caller that is cancelled must not cancel the read of the others.
            return (await asyncio.shield(reading))[queue]
        except Failure:
            if self._reading is reading:
                self._reading = None
            raise

    async def _read(self) -> Counter[str]:
        waiting, _ = await list_entries(self._store, WAITING_PREFIX)
        return Counter(entry.value.decode(errors="replace") for entry in waiting)

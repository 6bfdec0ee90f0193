"""Checks with a small read whether the store answers now.

The policy is not read for that: it may take longer to arrive than a caller can wait,
and many checks would fill the link with it.
"""

import asyncio

from primrosestile.clock import read_clock
from primrosestile.coordination.work.keys import LATEST_REQUEST_KEY
from primrosestile.coordination.work.record_reader import RecordReader
from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.store import Entry

# Checks that begin within this time share one read.
SHARED_SECONDS = 0.1


class StoreCheck:
    """Checks whether the store answers; concurrent checks share a read."""

    def __init__(self, reader: RecordReader) -> None:
        self._reader = reader
        self._read: asyncio.Task[Entry | None] | None = None
        self._began_at = 0.0

    async def run(self, seconds: float) -> None:
        """Read from the store, and fail unless it answers within a time.

        Raises:
            Failure: STORE_UNAVAILABLE when it does not, or that of the read.
        """
        read = self._read
        if read is None or read_clock() - self._began_at >= SHARED_SECONDS:
            self._began_at = read_clock()
            read = self._read = self._reader.begin_read(LATEST_REQUEST_KEY)
        done, _ = await asyncio.wait({read}, timeout=seconds)
        if not done:
            detail = f"the store did not answer within {seconds:g} s"
            raise Failure(ErrorKind.STORE_UNAVAILABLE, detail)
        read.result()

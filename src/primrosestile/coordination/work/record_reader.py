"""Reads single records of the store for callers who wait for them.

A read has no effect, so one that is not answered is repeated: its connection may have
gone silent while a new one would be answered. Writes are not repeated here.

A record that can't be decoded, such as one that another program has written, stays in
the store. It is logged once, and its reader decides what is known without it.
"""

import asyncio
from collections.abc import Callable
from typing import TypeVar

import msgspec
import structlog

from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.store import Entry
from primrosestile.protocol.transactions import TransactionalStore

# A read that is not answered within this time is repeated. A store that is sixty times
# slower than usual answers within 0.3 s.
REPEAT_SECONDS = 0.4
# How long to wait after each read of a key before the next, or the end. The second read
# may use a silent connection as well; the third is sent once the first has timed out,
# and so on a new connection.
WAITS = (REPEAT_SECONDS, None, REPEAT_SECONDS)
# Unreadable records that are remembered as logged.
LOGGED_RECORDS = 1000

T = TypeVar("T")

_log = structlog.get_logger()


class UnreadableRecord(Failure):
    """A record is in the store, but what it says is not known."""

    def __init__(self, key: str) -> None:
        super().__init__(ErrorKind.INTERNAL, f"the record {key} can't be read")


class RecordReader:
    """Reads entries of a store by their keys, and decodes them."""

    def __init__(self, store: TransactionalStore) -> None:
        self._store = store
        self._reads: set[asyncio.Task[Entry | None]] = set()
        self._logged: dict[str, int] = {}

    async def get(self, key: str, recent: bool = True) -> Entry | None:
        """Return the value of a key, or None.

        Args:
            key: The whole key.
            recent: Whether the value must be current.

        Raises:
            Failure: That of a read that was refused, or of one that was not answered.
        """
        pending: set[asyncio.Task[Entry | None]] = set()
        unanswered = Failure(ErrorKind.STORE_UNAVAILABLE, f"{key} was not answered")
        for wait in WAITS:
            pending.add(self.begin_read(key, recent))
            done, pending = await asyncio.wait(
                pending, timeout=wait, return_when=asyncio.FIRST_COMPLETED
            )
            for read in done:
                try:
                    return read.result()
                except Failure as failure:
                    if not failure.silent:
                        raise
                    unanswered = failure
        raise unanswered

    def begin_read(self, key: str, recent: bool = True) -> asyncio.Task[Entry | None]:
        """Begin a read that goes on when its caller leaves.

        If it were cancelled with a caller whose deadline is short, its connection would
        never count as silent, and the next callers would use others of the same pool.
        """
        read = asyncio.create_task(self._store.get(key, recent))
        self._reads.add(read)
        read.add_done_callback(self._end_read)
        return read

    def _end_read(self, read: asyncio.Task[Entry | None]) -> None:
        self._reads.discard(read)
        if not read.cancelled():
            # Otherwise the loop reports the failure of a read that nobody waits for.
            read.exception()

    def decode(self, entry: Entry, decode: Callable[[bytes], T]) -> T:
        """Return the record of an entry.

        Raises:
            UnreadableRecord: When it can't be decoded.
        """
        try:
            return decode(entry.value)
        except msgspec.MsgspecError as error:
            self._log_unreadable(entry, str(error))
            raise UnreadableRecord(entry.key) from error

    def _log_unreadable(self, entry: Entry, reason: str) -> None:
        """Log an unreadable record unless it is unchanged since it was logged."""
        if self._logged.get(entry.key) == entry.mod_revision:
            return
        if len(self._logged) >= LOGGED_RECORDS:
            del self._logged[next(iter(self._logged))]
        self._logged[entry.key] = entry.mod_revision
        _log.warning("record_unreadable", key=entry.key, reason=reason)

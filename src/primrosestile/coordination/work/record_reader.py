"""Reads single records of the store for callers who wait for them.

A read has no effect, so one that is not answered is repeated: its connection may have
gone silent while a new one would be answered. Writes are not repeated here.

A large record may take seconds to arrive over a slow link. Callers who ask for it
meanwhile share its read, and a read that is being answered is not repeated.

A record that can't be decoded, such as one that another program has written, stays in
the store. It is logged once, and its reader decides what is known without it.
"""

import asyncio
from collections.abc import Callable
from typing import TypeVar

from primrosestile.coordination.unreadable_entries import UnreadableEntries
from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.store import Entry
from primrosestile.protocol.transactions import TransactionalStore
from primrosestile.state.decoding import Undecodable

# A read that is not answered within this time is repeated. A store that is sixty times
# slower than usual answers within 0.3 s.
REPEAT_SECONDS = 0.4
# How long to wait after each read of a key before the next, or the end. The second read
# may use a silent connection as well; the third is sent once the first has timed out,
# and so on a new connection.
WAITS = (REPEAT_SECONDS, None, REPEAT_SECONDS)

T = TypeVar("T")


class UnreadableRecord(Failure):
    """A record is in the store, but what it says is not known."""

    def __init__(self, key: str) -> None:
        super().__init__(ErrorKind.INTERNAL, f"the record {key} can't be read")


class RecordReader:
    """Reads entries of a store by their keys, and decodes them."""

    def __init__(self, store: TransactionalStore) -> None:
        self._store = store
        self._reads: set[asyncio.Task[Entry | None]] = set()
        # Reads of current values whose answers are arriving, by key.
        self._arriving: dict[str, asyncio.Task[Entry | None]] = {}
        # Queries for current values, by key.
        self._queries: dict[str, asyncio.Task[Entry | None]] = {}
        self._unreadable = UnreadableEntries()

    async def get(self, key: str, recent: bool = True) -> Entry | None:
        """Return the value of a key, or None.

        Args:
            key: The whole key.
            recent: Whether the value must be current.

        Raises:
            Failure: That of a read that was refused, or of one that was not answered.
        """
        if not recent:
            return await self._get(key, recent)
        shared = self._queries.get(key)
        if shared is not None:
            entry = await asyncio.shield(shared)
            # A key that was missing may have been written since that query began.
            if entry is not None:
                return entry
        query = asyncio.create_task(self._get(key, recent))
        self._queries[key] = query
        query.add_done_callback(lambda ended: self._end_query(key, ended))
        return await asyncio.shield(query)

    async def _get(self, key: str, recent: bool) -> Entry | None:
        pending: set[asyncio.Task[Entry | None]] = set()
        unanswered = Failure(ErrorKind.STORE_UNAVAILABLE, f"{key} was not answered")
        for wait in WAITS:
            pending.add(self.begin_read(key, recent))
            done, pending = await asyncio.wait(
                pending, timeout=wait, return_when=asyncio.FIRST_COMPLETED
            )
            arriving = self._arriving.get(key)
            if not done and arriving in pending:
                done, _ = await asyncio.wait({arriving})
                pending -= done
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

        def note_answer() -> None:
            self._arriving[key] = read

        read = asyncio.create_task(self._store.get(key, recent, note_answer))
        self._reads.add(read)
        read.add_done_callback(lambda ended: self._end_read(key, ended))
        return read

    def _end_read(self, key: str, read: asyncio.Task[Entry | None]) -> None:
        self._reads.discard(read)
        if self._arriving.get(key) is read:
            del self._arriving[key]
        _mark_retrieved(read)

    def _end_query(self, key: str, query: asyncio.Task[Entry | None]) -> None:
        if self._queries.get(key) is query:
            del self._queries[key]
        _mark_retrieved(query)

    def decode(self, entry: Entry, decode: Callable[[bytes], T]) -> T:
        """Return the record of an entry.

        Raises:
            UnreadableRecord: When it can't be decoded.
        """
        try:
            return decode(entry.value)
        except Undecodable as error:
            self._unreadable.log(entry, str(error))
            raise UnreadableRecord(entry.key) from error


def _mark_retrieved(task: asyncio.Task[Entry | None]) -> None:
    """Keep the loop from reporting a failure that nobody waits for."""
    if not task.cancelled():
        task.exception()

"""Reads all entries under a prefix, in parts that the link can carry.

A page of the store has up to 500 items or a megabyte; a smaller one can't be requested.
If a page does not arrive in time, requesting it again would only load the link once
more. So the keys are then read in smaller parts, split by their next digit, and later
reads of the prefix begin with these parts as long as there is much under it.

A store that does not answer looks the same, and hundreds of requests for parts would
make that worse. So one small key is read first: only if it arrives in time was the page
too large.
"""

import asyncio

import structlog

from primrosestile.clock import read_clock
from primrosestile.coordination.work.keys import OWNER_KEY
from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.store import Entry, Page
from primrosestile.protocol.transactions import TransactionalStore

# The keys end in ids of hexadecimal digits, as callers write them.
DIGITS = "0123456789abcdefABCDEF"
# With 2,000 jobs of 4 kB whose ids are evenly spread, a part of this depth has 31 kB.
MAX_DEPTH = 2
# Prefixes below this are read whole: a link of 5 Mbit/s carries it, in base 64, in half
# a second.
WHOLE_READ_BYTES = 200_000
# A call that failed sooner was refused, and a smaller one would be refused too.
UNANSWERED_SECONDS = 0.9
# A refused part is requested again, so that the parts read before it are not lost.
TRIES = 3
RETRY_SECONDS = 0.2

_log = structlog.get_logger()


class PrefixReader:
    """Reads prefixes whose keys end in ids; remembers which must be read in parts."""

    def __init__(self, store: TransactionalStore) -> None:
        self._store = store
        self._large: set[str] = set()
        # When an answer last arrived, or reading began; None before.
        self._answered_at: float | None = None
        self._asked_at: float | None = None

    def find_stall(self) -> float:
        """Return for how long no answer has arrived, in seconds.

        Time spent on the pending page doesn't count: over a slow link it may take
        seconds, and its own timeout bounds it. Once it has failed, that time counts.
        """
        if self._answered_at is None:
            return 0.0
        until = read_clock() if self._asked_at is None else self._asked_at
        return max(0.0, until - self._answered_at)

    async def read(self, prefix: str) -> tuple[list[Entry], int]:
        """Return all entries, and a revision to watch from.

        The parts are not a snapshot; a watch from that revision reports what changed
        after the first one was requested.

        Raises:
            Failure: When a part can't be read however small it is.
        """
        if self._answered_at is None:
            self._answered_at = read_clock()
        entries: list[Entry] = []
        revision = 0
        parts = _split(prefix) if prefix in self._large else [prefix]
        while parts:
            part = parts.pop(0)
            depth = len(part) - len(prefix)
            try:
                found, read_at = await self._read_part(part, depth < MAX_DEPTH)
            except _TooLargeError:
                self._large.add(prefix)
                _log.info("read_in_parts", prefix=prefix, digits=depth + 1)
                parts = _split(part) + parts
                continue
            entries += found
            revision = revision or read_at
        if sum(len(entry.value) for entry in entries) < WHOLE_READ_BYTES:
            self._large.discard(prefix)
        return entries, revision

    async def _read_part(self, part: str, can_split: bool) -> tuple[list[Entry], int]:
        page = await self._read_page(part, "", can_split)
        entries = list(page.entries)
        revision = page.revision
        while page.more and page.entries:
            page = await self._read_page(part, page.entries[-1].key, can_split)
            entries += page.entries
        return entries, revision

    async def _read_page(self, part: str, after: str, can_split: bool) -> Page:
        tries = 0
        while True:
            self._asked_at = asked_at = read_clock()
            try:
                page = await self._store.list(part, after)
                self._answered_at = read_clock()
                _check_whole(page, part)
                return page
            except Failure as failure:
                unanswered = read_clock() - asked_at >= UNANSWERED_SECONDS
                if can_split and unanswered:
                    await self._store.get(OWNER_KEY)
                    self._answered_at = read_clock()
                    raise _TooLargeError from failure
                tries += 1
                if tries == TRIES:
                    raise
            finally:
                self._asked_at = None
            await asyncio.sleep(RETRY_SECONDS)


class _TooLargeError(Exception):
    """A part was not answered in time, and can be split."""


def _split(part: str) -> list[str]:
    return [part + digit for digit in DIGITS]


def _check_whole(page: Page, part: str) -> None:
    """Refuse a page that lacks an item whose key can't be read.

    If the record of a running job were missing, the job would count as not started and
    its tasks would start a second time: `run_decided` would show `run=1` again.
    """
    if page.left_out:
        detail = f"{page.left_out} items under {part} have no readable key"
        raise Failure(ErrorKind.STORE_UNAVAILABLE, detail)

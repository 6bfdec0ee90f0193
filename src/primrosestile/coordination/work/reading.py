"""Reads all that stands under a prefix, in parts that the link can carry.

A page of the store has up to 500 items or a megabyte, and its size can't be asked
for. Where a page does not come in time, asking for it again only spends the link
once more; so the keys are then asked for by their next digit, in smaller parts, and
later reads of the prefix begin with these for as long as much stands there.

A store that is silent looks the same, and to ask it for hundreds of parts would make
things worse. So one small key is asked for first: only when that comes in time was the
page too large.
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
# Of 2,000 jobs of 4 kB whose ids are evenly spread, 31 kB a part.
DEEPEST = 2
# So much comes over a link of 5 Mbit/s in half a second, in base 64.
SMALL_BYTES = 200_000
# A call that failed sooner was refused; a smaller one would be, too.
UNANSWERED_SECONDS = 0.9
# A part that is refused is asked for again: what was read before it isn't lost.
TRIES = 3
RETRY_SECONDS = 0.2

_log = structlog.get_logger()


class Reader:
    """Reads prefixes whose keys end in ids; knows how finely each must be read."""

    def __init__(self, store: TransactionalStore) -> None:
        self._store = store
        self._large: set[str] = set()
        # When something last came, or reading began; None before.
        self._answered_at: float | None = None
        self._asked_at: float | None = None

    def find_stall(self) -> float:
        """Return for how long nothing has come, in seconds.

        The page that is on its way doesn't count: over a slow link it may take seconds,
        and its own timeout bounds it. One that came to nothing counts from then on.
        """
        if self._answered_at is None:
            return 0.0
        until = read_clock() if self._asked_at is None else self._asked_at
        return max(0.0, until - self._answered_at)

    async def read(self, prefix: str) -> tuple[list[Entry], int]:
        """Return all entries, and a revision to watch from.

        Parts are not a snapshot; what changed after the first one was asked for is
        heard of again by a watch from that revision.

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
                found, read_at = await self._read_part(part, depth < DEEPEST)
            except _TooLargeError:
                self._large.add(prefix)
                _log.info("read_in_parts", prefix=prefix, digits=depth + 1)
                parts = _split(part) + parts
                continue
            entries += found
            revision = revision or read_at
        if sum(len(entry.value) for entry in entries) < SMALL_BYTES:
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

    The record of a job that runs, left out, would be taken for one that never was, and
    its tasks be started a second time; one would see `run_decided` with `run=1` again.
    """
    if page.left_out:
        detail = f"{page.left_out} items under {part} have no readable key"
        raise Failure(ErrorKind.STORE_UNAVAILABLE, detail)

"""Interface to a store with transactions that span keys.

Every change states the revisions that it relies on, so a change that the store applies
seconds late, after the caller's timeout, fails its conditions and has no effect. Two
failures are distinguished: `STORE_UNAVAILABLE` means that the call had no effect,
`STORE_ANSWER_LOST` that it may have had one or may still have one.
"""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.store import Change, Entry, Page

# The most conditions, writes and removals of one change, counted together.
CHANGE_LIMIT = 32


@dataclass(frozen=True, slots=True)
class Condition:
    """A key must have this revision; 0 means that it must not exist."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Write:
    """A value to be written; with lease 0 it does not expire."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class CommitResult:
    """The outcome of a change.

    Attributes:
        done: Whether the whole change was applied; if not, no part of it was.
        revision: Store revision of the change.
        found: When not done, the entries under the keys of the conditions; keys that
            do not exist are left out.
        omitted: When not done, whether the entries were larger than the caller's limit
            and so were not transferred.
    """

    done: bool
    revision: int = 0
    found: tuple[Entry, ...] = ()
    omitted: bool = False


@dataclass(frozen=True, slots=True)
class WatchBatch:
    """The changes that one watch call returned.

    Attributes:
        revision: Where the next watch continues.
        complete: False when changes are missing, such as after compaction; the caller
            must list again.
    """

    changes: tuple[Change, ...]
    revision: int
    complete: bool = True


class TransactionalStore(Protocol):
    """Reads, watches, leases, and changes under conditions.

    Raises, from each call:
        Failure: STORE_UNAVAILABLE when it had no effect, STORE_ANSWER_LOST when a
            write may have had one.
    """

    async def get(
        self,
        key: str,
        recent: bool = True,
        on_answer: Callable[[], None] = ...,
    ) -> Entry | None:
        """Return the value of a key, or None.

        Args:
            key: The whole key.
            recent: Whether the value must be current. A read that may be seconds stale
                costs a tenth, and is safe for keys that never change once written.
            on_answer: Called when the answer begins; a large one may take seconds more.
        """
        ...

    async def check(
        self, condition: Condition, on_answer: Callable[[], None] = ...
    ) -> CommitResult:
        """Return whether a condition holds; if not, the entry under its key.

        For a large value that rarely changes: its read transfers it each time. The
        store counts the call as a write.
        """
        ...

    async def list(self, prefix: str, after: str = "") -> Page:
        """Return one page of the entries under a prefix."""
        ...

    async def commit(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write] = (),
        removals: Sequence[str] = (),
        found_bytes: float = math.inf,
    ) -> CommitResult:
        """Apply a change if all of its conditions hold.

        Args:
            conditions: What must hold.
            writes: Values to be written.
            removals: Keys to be removed.
            found_bytes: Size above which the entries found are not transferred.
        """
        ...

    async def grant_lease(self, seconds: float) -> int:
        """Return a new lease; its time runs from when the store receives the call."""
        ...

    async def keep_lease(self, lease: int) -> bool:
        """Renew a lease; return False when it has expired."""
        ...

    async def watch_once(self, prefix: str, after: int, seconds: float) -> WatchBatch:
        """Return the changes after a revision, waiting until there is one."""
        ...


async def list_entries(
    store: TransactionalStore, prefix: str, whole: bool = True
) -> tuple[list[Entry], int]:
    """Return all entries under a prefix and a revision to watch from.

    Pages are not a snapshot, so the watch must begin at the first page's revision;
    it then delivers again what changed while later pages were read.

    Args:
        store: The store to read.
        prefix: Prefix of the keys.
        whole: Whether to fail when the key of an item can't be read. One of our own
            records that is dropped would count as absent, and its job's tasks would
            run a second time. Under keys that others write, the item can be dropped.

    Raises:
        Failure: STORE_UNAVAILABLE as above, and the failures of any call.
    """
    page = await store.list(prefix)
    entries = list(page.entries)
    revision = page.revision
    left_out = page.left_out
    last = ""
    # A store whose pages do not advance would be read in an endless loop.
    while page.more and page.entries and page.entries[-1].key > last:
        last = page.entries[-1].key
        page = await store.list(prefix, last)
        entries += page.entries
        left_out += page.left_out
    if whole and left_out:
        detail = f"{left_out} items under {prefix} have no readable key"
        raise Failure(ErrorKind.STORE_UNAVAILABLE, detail)
    return entries, revision

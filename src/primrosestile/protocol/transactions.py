"""The platform's store with changes that span keys, as coordination sees it.

Every change states the revisions that it relies on, so a change that the store
carries out seconds late, after we have given up on it, meets another revision and
does nothing. Two failures are told apart as elsewhere: `STORE_UNAVAILABLE` says
that the call had no effect, `STORE_ANSWER_LOST` that it may have had one, or may
still have one.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.store import Change, Entry, Page

# Conditions, writes and removals of one change together.
CHANGE_LIMIT = 32


@dataclass(frozen=True, slots=True)
class Condition:
    """A key must stand at a revision; 0 means that it must not exist."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Write:
    """A value to be written; a lease of 0 keeps it for good."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Committed:
    """The outcome of a change.

    Attributes:
        done: Whether all of it was made; else none of it was.
        revision: The store's revision of it.
        found: What stood under the keys of the conditions, when not done; a key
            that does not exist is left out.
    """

    done: bool
    revision: int = 0
    found: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class Heard:
    """What a watch returned.

    Attributes:
        revision: Where the next watch goes on.
        complete: False when the history was dropped: read everything again.
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

    async def get(self, key: str, recent: bool = True) -> Entry | None:
        """Return the value of a key, or None.

        Args:
            key: The whole key.
            recent: Whether it must be the present value. One that may be seconds old
                costs a tenth, and shows truly what never changes once it is there.
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
    ) -> Committed:
        """Make a change if all of its conditions hold."""
        ...

    async def grant_lease(self, seconds: float) -> int:
        """Return a new lease; its time runs from the arrival of the call."""
        ...

    async def keep_lease(self, lease: int) -> bool:
        """Renew a lease; return False when it has ended."""
        ...

    async def watch_once(self, prefix: str, after: int, seconds: float) -> Heard:
        """Return changes after a revision, as soon as there is one."""
        ...


async def list_entries(
    store: TransactionalStore, prefix: str, whole: bool = True
) -> tuple[list[Entry], int]:
    """Return all entries under a prefix and a revision to watch from.

    Pages are not a snapshot, so the watch must begin at the first page's revision:
    what changed while later pages were read is then heard of again.

    Args:
        store: To be read.
        prefix: Of the keys.
        whole: Fail when the key of an item can't be read. A record of ours that is
            left out would be taken for one that never was, and its job's tasks would
            run a second time. Where others write, the rest is good without it.

    Raises:
        Failure: STORE_UNAVAILABLE as above, and from any call.
    """
    page = await store.list(prefix)
    entries = list(page.entries)
    revision = page.revision
    left_out = page.left_out
    last = ""
    # Pages whose keys don't rise would be asked for without end.
    while page.more and page.entries and page.entries[-1].key > last:
        last = page.entries[-1].key
        page = await store.list(prefix, last)
        entries += page.entries
        left_out += page.left_out
    if whole and left_out:
        detail = f"{left_out} items under {prefix} have no readable key"
        raise Failure(ErrorKind.STORE_UNAVAILABLE, detail)
    return entries, revision

"""The platform's store, as coordination sees it.

The brief promises compare-and-swap on one key, leases and watches, and nothing
that spans two keys. The interface offers no more than that, so no code can come
to depend on more.

Two failures must be told apart. `STORE_UNAVAILABLE` means that the call had no
effect. `STORE_ANSWER_LOST` means that a write may have taken effect; whoever gets
it re-reads and looks for its own token before it decides anything.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Entry:
    """One stored value.

    Attributes:
        create_revision: Store revision at which the key came into being.
        mod_revision: Store revision of the latest change; compare-and-swap
            expects this number.
    """

    key: str
    value: bytes
    create_revision: int
    mod_revision: int
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Page:
    """Some entries under a prefix, in key order.

    Attributes:
        more: Whether entries after the last one were left out.
        left_out: Items that could not be told from one another, and are not shown.
    """

    entries: tuple[Entry, ...]
    revision: int
    more: bool = False
    left_out: int = 0


@dataclass(frozen=True, slots=True)
class Swap:
    """The outcome of one compare-and-swap.

    Attributes:
        done: Whether the write was made.
        revision: Store revision after it.
        current: What stood there instead, when it was not made.
    """

    done: bool
    revision: int
    current: Entry | None = None


@dataclass(frozen=True, slots=True)
class Change:
    """One change seen by a watch; `entry` is None for a removal."""

    key: str
    revision: int
    entry: Entry | None


class Store(Protocol):
    """Single-key compare-and-swap, leases and watches."""

    async def get(self, key: str) -> Entry | None:
        """Return the value of a key, or None."""
        ...

    async def list(self, prefix: str, after: str = "", limit: int = 500) -> Page:
        """Return entries under a prefix whose keys sort after `after`."""
        ...

    async def put(self, key: str, value: bytes, expected: int, lease: int = 0) -> Swap:
        """Write if the key's mod revision is `expected`; 0 means absent."""
        ...

    async def delete(self, key: str, expected: int) -> Swap:
        """Remove if the key's mod revision is `expected`."""
        ...

    async def grant_lease(self, seconds: int) -> int:
        """Return the id of a new lease that lapses after `seconds`."""
        ...

    async def keep_lease(self, lease: int) -> bool:
        """Renew; return False when the lease has lapsed already."""
        ...

    async def revoke_lease(self, lease: int) -> None:
        """End a lease, removing the keys under it."""
        ...

    def watch(self, prefix: str, revision: int) -> AsyncIterator[tuple[Change, ...]]:
        """Yield changes under a prefix from a revision on, until it breaks.

        Raises:
            Failure: STORE_UNAVAILABLE when the watch breaks or goes silent; the
                caller lists again and watches from the listed revision.
        """
        ...

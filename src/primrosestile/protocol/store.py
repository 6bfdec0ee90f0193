"""Interface to a store with single-key compare-and-swap, leases and watches.

The platform guarantees no operation that spans two keys. The interface offers none
either, so that no code can depend on one.

Two failures must be distinguished. `STORE_UNAVAILABLE` means that the call had no
effect. `STORE_ANSWER_LOST` means that a write may have taken effect; the caller must
read the key again and look for its own token before it decides anything.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Entry:
    """One stored value.

    Attributes:
        create_revision: Store revision at which the key was created.
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
        more: Whether further entries follow the last one.
        left_out: How many items were dropped because their key can't be read.
    """

    entries: tuple[Entry, ...]
    revision: int
    more: bool = False
    left_out: int = 0


@dataclass(frozen=True, slots=True)
class SwapResult:
    """The outcome of one compare-and-swap.

    Attributes:
        done: Whether the write was made.
        revision: Store revision after it.
        current: The entry found instead, when the write was not made.
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

    async def put(
        self, key: str, value: bytes, expected: int, lease: int = 0
    ) -> SwapResult:
        """Write if the key's mod revision is `expected`; 0 means absent."""
        ...

    async def delete(self, key: str, expected: int) -> SwapResult:
        """Remove if the key's mod revision is `expected`."""
        ...

    async def grant_lease(self, seconds: int) -> int:
        """Return the id of a new lease that expires after `seconds`."""
        ...

    async def keep_lease(self, lease: int) -> bool:
        """Renew a lease; return False when it has already expired."""
        ...

    async def revoke_lease(self, lease: int) -> None:
        """End a lease, removing the keys under it."""
        ...

    def watch(self, prefix: str, revision: int) -> AsyncIterator[tuple[Change, ...]]:
        """Yield changes under a prefix from a revision on, until the watch breaks.

        Raises:
            Failure: STORE_UNAVAILABLE when the watch breaks or goes silent; the
                caller must list again and watch from the listed revision.
        """
        ...

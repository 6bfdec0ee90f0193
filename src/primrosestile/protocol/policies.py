"""Interface to the operators' stored policy."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from primrosestile.protocol.store import Entry
from primrosestile.state.policy import Policy


@dataclass(frozen=True, slots=True)
class StoredVersion:
    """The current version of the policy.

    Attributes:
        revision: Store revision at which it was written.
        entry: None when it is the version that the reader knows.
    """

    revision: int
    entry: Entry | None


class PolicySource(Protocol):
    """Reads and decodes the stored policy.

    Attributes:
        key: Its key in the store; a write may be made conditional on its revision.
    """

    key: str

    async def read(self, on_part: Callable[[], None]) -> StoredVersion | None:
        """Return the current version; a stale read is not allowed.

        Args:
            on_part: Called when the answer begins, and with each part of it; a large
                version may take seconds to arrive.
        """
        ...

    async def read_newer(
        self, known: int, on_part: Callable[[], None]
    ) -> StoredVersion | None:
        """Return the current version, without its entry if it is the known one.

        The store counts the call as a write.

        Args:
            known: Revision of the version that the reader knows.
            on_part: As for `read`.
        """
        ...

    def decode(self, entry: Entry) -> Policy:
        """Return the policy of a stored version.

        Raises:
            Failure: MALFORMED when it can't be read.
        """
        ...

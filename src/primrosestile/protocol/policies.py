"""Interface to the operators' stored policy."""

from typing import Protocol

from primrosestile.protocol.store import Entry
from primrosestile.state.policy import Policy


class PolicySource(Protocol):
    """Reads and decodes the stored policy.

    Attributes:
        key: Its key in the store; a write may be made conditional on its revision.
    """

    key: str

    async def read(self) -> Entry | None:
        """Return the current version; a stale read is not allowed."""
        ...

    def decode(self, entry: Entry) -> Policy:
        """Return the policy of a stored version.

        Raises:
            Failure: MALFORMED when it can't be read.
        """
        ...

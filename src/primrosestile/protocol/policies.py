"""Where the operators' policy stands, as coordination sees it."""

from typing import Protocol

from primrosestile.protocol.store import Entry
from primrosestile.state.policy import Policy


class PolicySource(Protocol):
    """The stored policy and its format.

    Attributes:
        key: Where it stands; changes may be made on the condition that it has not
            changed.
    """

    key: str

    async def read(self) -> Entry | None:
        """Return the newest version, never an old one."""
        ...

    def decode(self, entry: Entry) -> Policy:
        """Return the policy of a stored version.

        Raises:
            Failure: MALFORMED when it can't be read.
        """
        ...

"""Interface for asking the owner for its summary of the fleet's load."""

from typing import Protocol

from primrosestile.state.load import LoadSummary


class LoadViewCalls(Protocol):
    """Queries to the fleet's owner."""

    async def fetch(self, address: str) -> LoadSummary | None:
        """Return the summary of the process at an address; None if it gives none.

        Raises:
            Failure: NO_TARGET when it does not answer, MALFORMED when its answer
                can't be read.
        """
        ...

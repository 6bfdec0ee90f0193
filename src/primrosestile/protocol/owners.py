"""Interface for asking an earlier owner whether it still extends leases."""

from typing import Protocol


class OwnerCalls(Protocol):
    """Queries to processes that were owners."""

    async def has_stopped(self, address: str) -> bool:
        """Whether the process at an address says that it will extend no more leases.

        That is as long as it doesn't become the owner again, under a higher fence. An
        owner that was killed and is back has stopped too. Without an answer it is
        False.
        """
        ...

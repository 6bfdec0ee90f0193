"""Queries of an owner to earlier ones, on the simulated clock."""

import asyncio
from collections.abc import Callable

from primrosestile.transport.peer_queries import TIMEOUT_SECONDS

ANSWER_SECONDS = 0.004


class OwnerViews:
    """Implements `protocol.owners.OwnerCalls` for one process."""

    def __init__(self, find_extending: Callable[[str], bool | None]) -> None:
        """Ask processes by their addresses.

        Args:
            find_extending: Returns whether the process at an address may extend leases;
                None if it doesn't answer.
        """
        self._find_extending = find_extending

    async def has_stopped(self, address: str) -> bool:
        """Whether the process at an address extends no more leases."""
        await asyncio.sleep(ANSWER_SECONDS)
        extending = self._find_extending(address)
        if extending is None:
            await asyncio.sleep(TIMEOUT_SECONDS)
        return extending is False

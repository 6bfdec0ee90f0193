"""Interface for asking another process of ours whether the store answers it."""

from enum import Enum
from typing import Protocol


class StoreView(Enum):
    """What a process answers.

    `SILENT`: no answer came in time. `ABSENT`: its VM answers that nothing listens
    there.
    """

    ANSWERS = 1
    AWAY = 2
    SILENT = 3
    ABSENT = 4


class StoreViewCalls(Protocol):
    """Queries to other processes of ours."""

    async def ask(self, address: str) -> StoreView:
        """Return whether the store answers the process at an address."""
        ...

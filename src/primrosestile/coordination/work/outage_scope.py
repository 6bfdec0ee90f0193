"""Finds out whether the store is away for all VMs or for this one only.

Load: a VM that the store turns away, or whose network path is cut, while others are
served. Harm: its callers are told to return in a second, and urgent work is late by
that time, although another VM would have accepted it at once. While the store is away
for all VMs, that second is right: callers who return at once use up their attempts
before it is back.

The VM asks the owner whether the store answers it now. If neither the store nor the
owner answers anything, this VM's network path is cut.
"""

import asyncio
import math
from collections.abc import Callable

import structlog

from primrosestile.clock import read_clock
from primrosestile.protocol.store_views import StoreView, StoreViewCalls

# How long an answer holds, so that a burst of refused callers costs one query. An
# outage of all VMs may begin meanwhile.
ANSWER_SECONDS = 0.25

_log = structlog.get_logger()


class OutageScope:
    """Judges an outage of the store that this VM sees."""

    def __init__(
        self,
        calls: StoreViewCalls,
        find_owner: Callable[[], str],
        own_address: str,
        is_silent: Callable[[], bool],
    ) -> None:
        """Begin without an answer.

        Args:
            calls: Queries to the owner.
            find_owner: Returns the address to ask, as last read from the store; empty
                while there was none.
            own_address: This process's own one.
            is_silent: Returns whether the store, when it last failed, gave no answer at
                all.
        """
        self._calls = calls
        self._find_owner = find_owner
        self._own_address = own_address
        self._is_silent = is_silent
        self._asking = asyncio.Lock()
        self._asked_at = -math.inf
        self._is_own = False

    async def is_own(self) -> bool:
        """Whether other VMs can be expected to reach the store."""
        async with self._asking:
            if read_clock() - self._asked_at >= ANSWER_SECONDS:
                self._is_own = await self._ask()
                self._asked_at = read_clock()
        return self._is_own

    async def _ask(self) -> bool:
        owner = self._find_owner()
        if owner in ("", self._own_address):
            return False
        answer = await self._calls.ask(owner)
        _log.info("owner_asked", owner=owner, answer=answer.name.lower())
        if answer is StoreView.SILENT:
            # A store that refuses calls shows that the path is sound; then the owner's
            # VM is down, and says nothing of the store.
            return self._is_silent()
        return answer is StoreView.ANSWERS

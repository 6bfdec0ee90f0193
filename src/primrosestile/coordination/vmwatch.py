"""Follows the platform's list of VMs: which of them are leaving."""

import asyncio
import random
from collections.abc import Callable

import structlog

from primrosestile.errors import Failure
from primrosestile.protocol.workers import VmList

# The list lags by itself; reading it more often finds nothing sooner.
READ_SECONDS = 2.0

_log = structlog.get_logger()


class VmWatch:
    """Reads the list and tells what it shows.

    Attributes:
        looked: Set after the first try, whether it succeeded or not. Who waits for
            it knows what the list shows if that can be known, and is not kept
            waiting by an outage of the list.
    """

    def __init__(self, vm_list: VmList, note: Callable[[frozenset[str]], None]) -> None:
        self._vm_list = vm_list
        self._note = note
        self.looked = asyncio.Event()

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            try:
                listed = await self._vm_list.read()
                self._note(frozenset(each.name for each in listed if each.leaving))
            except Failure as failure:
                _log.info("vm_list_unread", kind=failure.kind.value)
            self.looked.set()
            await asyncio.sleep(READ_SECONDS * random.uniform(0.8, 1.0))

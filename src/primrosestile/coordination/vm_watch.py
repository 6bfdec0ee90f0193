"""Watches the platform's list of VMs for those that are leaving."""

import asyncio
import random
from collections.abc import Callable

import structlog

from primrosestile.errors import Failure
from primrosestile.protocol.workers import VmList

# The list itself lags, so reading it more often finds nothing sooner.
READ_SECONDS = 2.0

_log = structlog.get_logger()


class VmWatch:
    """Reads the list and reports the leaving VMs.

    Attributes:
        first_read: Set after the first read, whether it succeeded or not, so that an
            outage of the list does not block those who wait for it.
    """

    def __init__(self, vm_list: VmList, note: Callable[[frozenset[str]], None]) -> None:
        self._vm_list = vm_list
        self._note = note
        self.first_read = asyncio.Event()

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            try:
                listed = await self._vm_list.read()
                self._note(frozenset(each.name for each in listed if each.leaving))
            except Failure as failure:
                _log.info("vm_list_unread", kind=failure.kind.value)
            self.first_read.set()
            await asyncio.sleep(READ_SECONDS * random.uniform(0.8, 1.0))

"""The VMs as the platform lists them, and what their absence from a list is worth."""

from collections.abc import Collection

from primrosestile.clock import read_clock
from primrosestile.protocol.upkeep import UpkeepCalls
from primrosestile.state.upkeep import VmState, WorkerVm

# Longer than an upkeep, should a list leave out what is away.
GONE_SECONDS = 5.0


class VmList:
    """Reads the list for as long as a wave is open.

    Attributes:
        asked_at: When the latest list was asked for.
    """

    def __init__(self, calls: UpkeepCalls) -> None:
        self.asked_at = 0.0
        self._calls = calls
        self._missing_since: dict[str, float] = {}
        self._last: dict[str, WorkerVm] = {}

    async def read(self, wanted: Collection[str]) -> dict[str, WorkerVm]:
        """Read the VMs, and note which of those that are wanted are missing.

        One that is missing for long is taken as up, so that its upkeep is ordered in
        its turn: it may be there, and if it is not, the platform says so. The absence
        alone proves nothing. Were a list that is empty for some seconds believed, the
        wave would be told as completed while none of its VMs had begun.
        """
        asked_at = read_clock()
        vms = {vm.name: vm for vm in await self._calls.list_vms()}
        self._last.update(vms)
        self.asked_at = asked_at
        self._missing_since = {
            name: self._missing_since.get(name, asked_at)
            for name in set(wanted) - set(vms)
        }
        for name, since in self._missing_since.items():
            if asked_at - since > GONE_SECONDS:
                vms[name] = WorkerVm(name, "", VmState.UP, self.find_worker(name))
        return vms

    def forget_missing(self) -> None:
        """Count anew what is missing; no list is read for a time."""
        self._missing_since.clear()

    def is_missing(self, name: str) -> bool:
        """Whether the latest list lacks a VM that was wanted."""
        return name in self._missing_since

    def is_missing_since(self, name: str, moment: float) -> bool:
        """Whether a VM has been missing for longer than an upkeep, and since a moment.

        A list may lack a VM that stays, between two of its pages or while it is away.
        """
        since = self._missing_since.get(name)
        return since is not None and self.asked_at - max(since, moment) > GONE_SECONDS

    def find_worker(self, name: str) -> str:
        """Return the worker that a list last showed on a VM; empty if none did."""
        last = self._last.get(name)
        return "" if last is None else last.worker

"""Reads the platform's list of VMs, and tracks which VMs are missing from it."""

from collections.abc import Collection

from primrosestile.clock import read_clock
from primrosestile.protocol.maintenance import MaintenanceCalls
from primrosestile.state.maintenance import VmState, WorkerVm

# Longer than maintenance takes, in case a list omits VMs that are away.
MISSING_SECONDS = 5.0


class VmList:
    """Reads the list while a wave is open.

    Attributes:
        asked_at: When the latest list was requested.
    """

    def __init__(self, calls: MaintenanceCalls) -> None:
        self.asked_at = 0.0
        self._calls = calls
        self._missing_since: dict[str, float] = {}
        self._last: dict[str, WorkerVm] = {}

    async def read(self, wanted: Collection[str]) -> dict[str, WorkerVm]:
        """Read the VMs, and note which of the wanted ones are missing.

        One that is missing for long is returned as up, so that its maintenance is
        ordered in its turn: it may exist, and if not, the platform answers that.
        Absence from the list proves nothing: with a list that is empty for some
        seconds, the wave would be reported as completed while none of its VMs had
        begun.
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
            if asked_at - since > MISSING_SECONDS:
                vms[name] = WorkerVm(name, "", VmState.UP, self.find_worker(name))
        return vms

    def clear_missing(self) -> None:
        """Reset which VMs are missing, since no list is read for some time."""
        self._missing_since.clear()

    def is_missing(self, name: str) -> bool:
        """Whether the latest list lacks a VM that was wanted."""
        return name in self._missing_since

    def is_missing_since(self, name: str, moment: float) -> bool:
        """Whether a VM has been missing for longer than maintenance takes.

        A list may omit a VM that still exists, between two pages or while it is away.

        Args:
            name: The VM.
            moment: Absence before this time doesn't count.
        """
        since = self._missing_since.get(name)
        return (
            since is not None and self.asked_at - max(since, moment) > MISSING_SECONDS
        )

    def find_worker(self, name: str) -> str:
        """Return the worker that a list last showed on a VM; empty if none did."""
        last = self._last.get(name)
        return "" if last is None else last.worker

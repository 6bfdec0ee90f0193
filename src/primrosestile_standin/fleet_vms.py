"""In-memory VM list and maintenance of the platform.

As on a platform without faults, an order ends everything on a VM at once, and the
next incarnation of its worker starts some seconds later under a new name.
"""

import asyncio
from collections.abc import Callable

from primrosestile.clock import read_clock
from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.maintenance import MaintenanceAnswer
from primrosestile.state.maintenance import VmState, Wave, WorkerVm

MAINTENANCE_SECONDS = 2.0


class FleetVms:
    """Implements `protocol.maintenance.MaintenanceCalls`; keeps a ledger of waves.

    Attributes:
        waves: The waves that operators have requested.
        completed: Waves reported as completed, each with those of its VMs whose
            maintenance had not begun by then.
        peak_unavailable: The largest number of VMs that were unavailable at once.
        lose_answers: How many of the next orders take effect without an answer.
        seconds: Duration of one maintenance.
    """

    def __init__(
        self, end: Callable[[str], None], begin: Callable[[str, str], None]
    ) -> None:
        self.waves: list[Wave] = []
        self.completed: dict[int, list[str]] = {}
        self.peak_unavailable = 0
        self.lose_answers = 0
        self.seconds = MAINTENANCE_SECONDS
        self.orders: list[tuple[float, str, int]] = []
        self._end = end
        self._begin = begin
        self._vms: dict[str, WorkerVm] = {}
        self._done: set[tuple[int, str]] = set()
        self._fences: dict[str, int] = {}

    def add(self, name: str, worker: str) -> None:
        """Add a VM with a worker on it."""
        self._vms[name] = WorkerVm(name, "engine", VmState.UP, worker)

    async def list_vms(self) -> tuple[WorkerVm, ...]:
        """Return the VMs of all workers."""
        await asyncio.sleep(0.004)
        return tuple(self._vms.values())

    async def list_waves(self) -> tuple[Wave, ...]:
        """Return the waves that operators have requested."""
        await asyncio.sleep(0.004)
        return tuple(self.waves)

    async def begin(self, vm: str, wave: int, fence: int) -> MaintenanceAnswer:
        """Begin one VM's maintenance."""
        await asyncio.sleep(0.004)
        answer = self._take(vm, wave, fence)
        if self.lose_answers:
            self.lose_answers -= 1
            raise Failure(ErrorKind.LIST_UNAVAILABLE, "lost")
        return answer

    def _take(self, name: str, wave: int, fence: int) -> MaintenanceAnswer:
        vm = self._vms.get(name)
        if vm is None:
            return MaintenanceAnswer.NOT_IN_WAVE
        if fence < self._fences.get(name, 0):
            return MaintenanceAnswer.FENCE
        self._fences[name] = fence
        self.orders.append((read_clock(), name, fence))
        if (wave, name) in self._done:
            return MaintenanceAnswer.BEGUN
        if vm.state is not VmState.UP:
            return MaintenanceAnswer.BUSY
        self._done.add((wave, name))
        self._end(vm.worker)
        self._vms[name] = WorkerVm(name, vm.pool, VmState.MAINTENANCE, "")
        unavailable = [
            each for each in self._vms.values() if each.state is not VmState.UP
        ]
        self.peak_unavailable = max(self.peak_unavailable, len(unavailable))
        loop = asyncio.get_running_loop()
        loop.call_later(self.seconds, self._return, name, f"{vm.worker}+")
        return MaintenanceAnswer.BEGUN

    def has_begun(self, name: str, wave: int) -> bool:
        """Return whether a VM's maintenance has begun in a wave."""
        return (wave, name) in self._done

    def replace(self, name: str) -> None:
        """End a VM's worker and start its next incarnation."""
        worker = self._vms[name].worker
        self._end(worker)
        self._return(name, f"{worker}-")

    def _return(self, name: str, worker: str) -> None:
        vm = self._vms[name]
        self._begin(vm.name, worker)
        self._vms[name] = WorkerVm(name, vm.pool, VmState.UP, worker)

    async def report(self, wave: int, completed: bool, fence: int) -> bool:
        """Receive the status of a wave."""
        await asyncio.sleep(0.004)
        if completed:
            wanted = next(each for each in self.waves if each.number == wave)
            missing = [name for name in wanted.vms if (wave, name) not in self._done]
            self.completed[wave] = missing
        else:
            self.completed.pop(wave, None)
        return True

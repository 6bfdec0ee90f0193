"""Many workers in memory, behind the interfaces that coordination uses.

A call to a frozen worker waits out its timeout, and a lost answer is lost after
the command took effect, so a test on a paused clock meets the same failures as
the programs meet over HTTP.
"""

import asyncio
from collections.abc import Callable, Mapping, Sequence
from typing import TypeVar

from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.workers import (
    ListedVm,
    RequestAnswer,
    RequestOrder,
    TaskOrder,
    WorkerReport,
)
from primrosestile_standin.worker import MemoryWorker

CONTROL_TIMEOUT_SECONDS = 1.0
T = TypeVar("T")


class MemoryWorkers:
    """Implements `protocol.workers.Workers` over workers in this process."""

    def __init__(
        self,
        workers: Mapping[str, MemoryWorker],
        timeout: float = CONTROL_TIMEOUT_SECONDS,
    ) -> None:
        self._workers = workers
        self._timeout = timeout

    async def report(self, worker: str, cell: str, epoch: int) -> WorkerReport:
        """Return all that a worker holds."""
        return await self._call(worker, lambda each: each.report(epoch))

    async def reserve(
        self, worker: str, cell: str, epoch: int, order: TaskOrder
    ) -> None:
        """Take a lease on the order's accelerators."""
        await self._call(worker, lambda each: each.reserve(epoch, order))

    async def prepare(
        self, worker: str, cell: str, epoch: int, order: TaskOrder
    ) -> None:
        """Load the task and hold it."""
        await self._call(worker, lambda each: each.prepare(epoch, order))

    async def go(self, worker: str, cell: str, epoch: int, task_id: str) -> None:
        """Let a held task run."""
        await self._call(worker, lambda each: each.go(epoch, task_id))

    async def renew(
        self,
        worker: str,
        cell: str,
        epoch: int,
        task_ids: Sequence[str],
        lease_seconds: float,
    ) -> WorkerReport:
        """Renew many leases; return the report."""
        return await self._call(
            worker, lambda each: each.renew(epoch, task_ids, lease_seconds)
        )

    async def checkpoint(
        self, worker: str, cell: str, epoch: int, task_id: str
    ) -> float:
        """Save progress; return the seconds of work saved."""
        return await self._call(worker, lambda each: each.checkpoint(epoch, task_id))

    async def throttle(
        self, worker: str, cell: str, epoch: int, task_id: str, share: float
    ) -> None:
        """Run a task at a share of its speed."""
        await self._call(worker, lambda each: each.throttle(epoch, task_id, share))

    async def stop(self, worker: str, cell: str, epoch: int, task_id: str) -> None:
        """Stop a task in any phase."""
        await self._call(worker, lambda each: each.stop(epoch, task_id))

    async def _call(self, name: str, command: Callable[[MemoryWorker], T]) -> T:
        # The call gives way once before its effect and once after it, as one over
        # a connection does, so that callers interleave.
        await asyncio.sleep(0)
        worker = self._workers.get(name)
        if worker is None or worker.faults.down:
            raise Failure(ErrorKind.WORKER_UNREACHABLE, f"{name} is down")
        if worker.faults.frozen:
            await asyncio.sleep(self._timeout)
            raise Failure(ErrorKind.WORKER_UNREACHABLE, f"{name} does not answer")
        result = command(worker)
        await asyncio.sleep(min(worker.faults.late_seconds, self._timeout))
        late = worker.faults.late_seconds >= self._timeout
        if late or worker.faults.take_lost_answer():
            raise Failure(ErrorKind.WORKER_UNREACHABLE, f"{name}: the answer was lost")
        return result


class MemoryTargets:
    """Implements `protocol.workers.Targets` over workers in this process."""

    def __init__(self, workers: Mapping[str, MemoryWorker]) -> None:
        self._workers = workers

    async def send(
        self, target: str, order: RequestOrder, timeout: float
    ) -> RequestAnswer:
        """Send one request and return its whole answer."""
        await asyncio.sleep(0)
        worker = self._workers.get(target)
        if worker is None or worker.faults.down:
            raise Failure(ErrorKind.NO_TARGET, f"{target} is down")
        if worker.faults.frozen:
            await asyncio.sleep(timeout)
            raise Failure(ErrorKind.OUTCOME_UNKNOWN, f"{target} does not answer")
        try:
            async with asyncio.timeout(timeout):
                answer = await worker.run_request(order)
                await asyncio.sleep(worker.faults.late_seconds)
        except TimeoutError:
            raise Failure(
                ErrorKind.OUTCOME_UNKNOWN, f"{target} took over {timeout} s"
            ) from None
        faults = worker.faults
        if faults.crossed or faults.truncated or faults.take_lost_answer():
            raise Failure(ErrorKind.OUTCOME_UNKNOWN, f"{target}: no whole answer")
        return answer


class MemoryVmList:
    """Implements `protocol.workers.VmList`: shows changes only after a lag."""

    def __init__(self, lag_seconds: float = 0.0) -> None:
        self.lag_seconds = lag_seconds
        self._shown: dict[str, bool] = {}

    def show(self, name: str, leaving: bool = False) -> None:
        """Show a VM as live or leaving once the lag has passed."""
        self._change(lambda: self._shown.__setitem__(name, leaving))

    def remove(self, name: str) -> None:
        """Show a VM no more once the lag has passed."""
        self._change(lambda: self._shown.pop(name, None))

    async def read(self) -> tuple[ListedVm, ...]:
        """Return the VMs that the list shows as live or leaving."""
        return self.list_vms()

    def list_vms(self) -> tuple[ListedVm, ...]:
        """Return what a reader would be shown now."""
        return tuple(ListedVm(name, left) for name, left in self._shown.items())

    def _change(self, change: Callable[[], object]) -> None:
        if self.lag_seconds <= 0:
            change()
            return
        asyncio.get_running_loop().call_later(self.lag_seconds, change)

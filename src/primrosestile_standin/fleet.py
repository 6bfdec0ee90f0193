"""In-memory workers behind the interfaces that coordination uses.

A call to a frozen worker lasts until its timeout, and an answer is lost after the
command took effect, so tests on a simulated clock see the same failures as the
programs see over HTTP.
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
        """Return the tasks that a worker holds."""
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
        """Start a prepared task."""
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
        # The call yields to the loop once before its effect and once after it, as a
        # network call does, so that callers interleave.
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
        """Send one request and return its complete answer."""
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
            raise Failure(ErrorKind.OUTCOME_UNKNOWN, f"{target}: no complete answer")
        return answer


class MemoryVmList:
    """Implements `protocol.workers.VmList`; changes become visible after a lag."""

    def __init__(self, lag_seconds: float = 0.0) -> None:
        self.lag_seconds = lag_seconds
        self._shown: dict[str, bool] = {}

    def show(self, name: str, leaving: bool = False) -> None:
        """List a VM as live or leaving, after the lag."""
        self._change(lambda: self._shown.__setitem__(name, leaving))

    def remove(self, name: str) -> None:
        """Remove a VM from the list, after the lag."""
        self._change(lambda: self._shown.pop(name, None))

    async def read(self) -> tuple[ListedVm, ...]:
        """Return the listed VMs, live or leaving."""
        return self.list_vms()

    def list_vms(self) -> tuple[ListedVm, ...]:
        """Return the VMs that are listed now."""
        return tuple(ListedVm(name, left) for name, left in self._shown.items())

    def _change(self, change: Callable[[], object]) -> None:
        if self.lag_seconds <= 0:
            change()
            return
        asyncio.get_running_loop().call_later(self.lag_seconds, change)

"""Control of workers over HTTP.

A command that was not answered may have taken effect, even when the connection
failed at once for this try: an earlier one may be under way. So everything but an
explicit refusal is `WORKER_UNREACHABLE`, and the caller asks for a report.
"""

from collections.abc import Callable, Sequence
from typing import Any, TypeVar

import msgspec

from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.workers import TaskOrder, WorkerReport
from primrosestile.transport import control
from primrosestile.transport.connections import (
    CONNECTIONS_PER_ADDRESS,
    Connections,
    FailureKinds,
    Reply,
)
from primrosestile.transport.wire import decode_json, encode_json

CONTROL_TIMEOUT_SECONDS = 1.0
REFUSED_STATUS = 409

_KINDS = FailureKinds(ErrorKind.WORKER_UNREACHABLE, ErrorKind.WORKER_UNREACHABLE)
T = TypeVar("T")


def make_workers(
    addresses: Callable[[str], str],
    timeout: float = CONTROL_TIMEOUT_SECONDS,
    connections: int = CONNECTIONS_PER_ADDRESS,
) -> "HttpWorkers":
    """Return the adapter to the control of workers.

    Args:
        addresses: Gives a worker's address as settings have it now, or an empty
            text when they do not know it.
        timeout: Seconds for each call.
        connections: Most connections to one worker.
    """
    return HttpWorkers(addresses, timeout, Connections(connections))


class HttpWorkers:
    """Implements `protocol.workers.Workers`."""

    def __init__(
        self,
        addresses: Callable[[str], str],
        timeout: float,
        connections: Connections,
    ) -> None:
        self._addresses = addresses
        self._timeout = timeout
        self._connections = connections

    async def report(self, worker: str, cell: str, epoch: int) -> WorkerReport:
        """Return all that a worker holds."""
        call = control.ReportCall(cell, epoch)
        answer = await self._call(worker, control.REPORT_PATH, call, WorkerReport)
        return check_worker(answer, worker)

    async def reserve(
        self, worker: str, cell: str, epoch: int, order: TaskOrder
    ) -> None:
        """Take a lease on the order's accelerators."""
        call = control.OrderCall(cell, epoch, order)
        await self._call(worker, control.RESERVE_PATH, call, control.Done)

    async def prepare(
        self, worker: str, cell: str, epoch: int, order: TaskOrder
    ) -> None:
        """Load the task and hold it."""
        call = control.OrderCall(cell, epoch, order)
        await self._call(worker, control.PREPARE_PATH, call, control.Done)

    async def go(self, worker: str, cell: str, epoch: int, task_id: str) -> None:
        """Let a held task run."""
        call = control.TaskCall(cell, epoch, task_id)
        await self._call(worker, control.GO_PATH, call, control.Done)

    async def renew(
        self,
        worker: str,
        cell: str,
        epoch: int,
        task_ids: Sequence[str],
        lease_seconds: float,
    ) -> WorkerReport:
        """Renew many leases; return the report."""
        call = control.RenewCall(cell, epoch, tuple(task_ids), lease_seconds)
        answer = await self._call(worker, control.RENEW_PATH, call, WorkerReport)
        return check_worker(answer, worker)

    async def checkpoint(
        self, worker: str, cell: str, epoch: int, task_id: str
    ) -> float:
        """Save progress; return the seconds of work saved."""
        call = control.TaskCall(cell, epoch, task_id)
        saved = await self._call(worker, control.CHECKPOINT_PATH, call, control.Saved)
        return saved.seconds

    async def throttle(
        self, worker: str, cell: str, epoch: int, task_id: str, share: float
    ) -> None:
        """Run a task at a share of its speed."""
        call = control.ThrottleCall(cell, epoch, task_id, share)
        await self._call(worker, control.THROTTLE_PATH, call, control.Done)

    async def stop(self, worker: str, cell: str, epoch: int, task_id: str) -> None:
        """Stop a task in any phase."""
        call = control.TaskCall(cell, epoch, task_id)
        await self._call(worker, control.STOP_PATH, call, control.Done)

    async def close(self) -> None:
        """Close every connection."""
        await self._connections.close()

    async def _call(self, worker: str, path: str, call: Any, kind: type[T]) -> T:
        address = self._addresses(worker)
        if not address:
            raise Failure(ErrorKind.WORKER_UNREACHABLE, f"{worker} has no address")
        reply = await self._connections.call(
            address, path, encode_json(call), self._timeout, _KINDS
        )
        return read_reply(reply, worker, kind)


def read_reply(reply: Reply, worker: str, kind: type[T]) -> T:
    """Return what a worker answered.

    Raises:
        Failure: STALE_EPOCH or TARGET_REFUSED as the worker says,
            WORKER_UNREACHABLE when the answer is none that it could give.
    """
    try:
        if reply.status == 200:
            return decode_json(reply.body, kind)
        if reply.status == REFUSED_STATUS:
            refusal = decode_json(reply.body, control.Refusal)
            raise Failure(read_refusal(refusal), f"{worker}: {refusal.detail}")
    except msgspec.MsgspecError as fault:
        detail = f"{worker}: unreadable answer: {fault}"
        raise Failure(ErrorKind.WORKER_UNREACHABLE, detail) from None
    raise Failure(ErrorKind.WORKER_UNREACHABLE, f"{worker}: status {reply.status}")


def read_refusal(refusal: control.Refusal) -> ErrorKind:
    """Return the kind of a refusal; one that is not known counts as plain."""
    if refusal.kind == ErrorKind.STALE_EPOCH.value:
        return ErrorKind.STALE_EPOCH
    return ErrorKind.TARGET_REFUSED


def check_worker(report: WorkerReport, worker: str) -> WorkerReport:
    """Return the report if it is that worker's own.

    Raises:
        Failure: WORKER_UNREACHABLE when another worker answers at its address;
            taking that report would make lost tasks of all that it holds.
    """
    if report.worker != worker:
        detail = f"{report.worker} answers at the address of {worker}"
        raise Failure(ErrorKind.WORKER_UNREACHABLE, detail)
    return report

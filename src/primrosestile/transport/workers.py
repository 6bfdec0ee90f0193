"""Control of workers over HTTP.

A command without an answer may have taken effect, even when this connection attempt
failed at once: an earlier attempt may still be in progress. Everything but an explicit
refusal is therefore `WORKER_UNREACHABLE`, and the caller asks for a report.
"""

from collections.abc import Callable, Sequence
from typing import Any, TypeVar

from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.workers import TaskOrder, WorkerReport
from primrosestile.state.decoding import Undecodable, decode_json
from primrosestile.transport import control
from primrosestile.transport.connections import (
    CONNECTIONS_PER_ADDRESS,
    Connections,
    FailureKinds,
    Reply,
)
from primrosestile.transport.wire import encode_json

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
        addresses: Returns a worker's address in the settings in force, or an empty
            string when they do not have it.
        timeout: Seconds for each call.
        connections: Maximum number of connections to one worker.
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
        """Return the worker's report."""
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
        """Load the task without starting it."""
        call = control.OrderCall(cell, epoch, order)
        await self._call(worker, control.PREPARE_PATH, call, control.Done)

    async def go(self, worker: str, cell: str, epoch: int, task_id: str) -> None:
        """Start a prepared task."""
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
        """Renew many leases; return the worker's report."""
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
        """Limit a task to a share of its speed."""
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
    """Return the decoded answer of a worker.

    Raises:
        Failure: STALE_EPOCH or TARGET_REFUSED when the worker refused,
            WORKER_UNREACHABLE when the answer is not a valid one.
    """
    try:
        if reply.status == 200:
            return decode_json(reply.body, kind)
        if reply.status == REFUSED_STATUS:
            refusal = decode_json(reply.body, control.Refusal)
            raise Failure(read_refusal(refusal), f"{worker}: {refusal.detail}")
    except Undecodable as fault:
        detail = f"{worker}: unreadable answer: {fault}"
        raise Failure(ErrorKind.WORKER_UNREACHABLE, detail) from None
    raise Failure(ErrorKind.WORKER_UNREACHABLE, f"{worker}: status {reply.status}")


def read_refusal(refusal: control.Refusal) -> ErrorKind:
    """Return the kind of a refusal; TARGET_REFUSED for any unknown one."""
    if refusal.kind == ErrorKind.STALE_EPOCH.value:
        return ErrorKind.STALE_EPOCH
    return ErrorKind.TARGET_REFUSED


def check_worker(report: WorkerReport, worker: str) -> WorkerReport:
    """Return the report if it comes from that worker.

    Raises:
        Failure: WORKER_UNREACHABLE when another worker answers at its address;
            with its report, every task of the expected worker would count as lost.
    """
    if report.worker != worker:
        detail = f"{report.worker} answers at the address of {worker}"
        raise Failure(ErrorKind.WORKER_UNREACHABLE, detail)
    return report

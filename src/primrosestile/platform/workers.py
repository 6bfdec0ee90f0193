"""Orders to the platform's workers over HTTP, and their entries in the store."""

from typing import Any

import msgspec
import structlog

from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.fleet import (
    EndedTask,
    OrderAnswer,
    Refusal,
    RunningTask,
    StartOrder,
    WorkerLook,
)
from primrosestile.protocol.store import Entry
from primrosestile.protocol.transactions import TransactionalStore, list_entries
from primrosestile.state.work import Need
from primrosestile.state.workers import EndKind, WorkerEntry
from primrosestile.transport.connections import Connections, FailureKinds, Reply

# Workers' entries in the store, each under the worker's name.
WORKERS_PREFIX = "servers/"
# An order takes a few milliseconds; a worker that carries one out late answers
# none at all, and the same order can be sent again without harm.
ORDER_TIMEOUT_SECONDS = 0.45
# What a look may take over the time that it was asked to wait.
LOOK_SLACK_SECONDS = 0.6

_KINDS = FailureKinds(ErrorKind.NO_TARGET, ErrorKind.WORKER_UNREACHABLE)
# The words of a refused start; the rest are told by the status.
_REASONS = {
    "fence": Refusal.FENCE,
    "old": Refusal.OLD,
    "late": Refusal.LATE,
    "room": Refusal.ROOM,
    "ticket": Refusal.TICKET,
}

_log = structlog.get_logger()


class _Capacity(msgspec.Struct, frozen=True):
    """`cpu` is in thousandths of a core."""

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class _Server(msgspec.Struct, frozen=True):
    """A worker's entry; `remaining_ms` is there only while it is leaving."""

    service: str
    address: str
    zone: str = ""
    state: str = "ready"
    capacity: _Capacity = _Capacity()
    labels: list[str] = []
    remaining_ms: float = 0.0


class _Look(msgspec.Struct, frozen=True):
    """`running`: task, run, saved, percent, usage. `ended`: number, task, run, how,
    saved. Rows may come to have more fields.
    """  # noqa: D205

    clock_ms: float
    running: list[list[Any]] = []
    ended: list[list[Any]] = []


class _Answer(msgspec.Struct, frozen=True):
    clock_ms: float = 0.0
    reason: str = ""


class PlatformWorkers:
    """Implements `protocol.fleet.WorkerCalls`."""

    def __init__(self, connections: Connections) -> None:
        self._connections = connections

    async def look(
        self,
        entry: WorkerEntry,
        fence: int,
        seen: int,
        until: float | None,
        wait: float,
    ) -> WorkerLook | Refusal:
        """Extend the lease, forget ends up to `seen`, wait for another end."""
        body: dict[str, Any] = {"fence": fence, "last_seen": seen}
        if until is not None:
            body["until_ms"] = int(until * 1000)
        if wait > 0:
            body["wait_ms"] = int(wait * 1000)
        timeout = wait + LOOK_SLACK_SECONDS
        reply = await self._call(entry, "/v1/hold", body, timeout)
        if reply.status == 200:
            return _read_look(_decode(reply, _Look))
        return _read_refusal(reply)

    async def start(
        self, entry: WorkerEntry, fence: int, order: StartOrder
    ) -> OrderAnswer:
        """Start one run; also right when it is there already."""
        body = {
            "task": order.task,
            "run": order.run,
            "spec": order.payload,
            "until_ms": int(order.until * 1000),
            "fence": fence,
        }
        if order.checkpoint:
            body["last_checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        return await self._order(entry, "/v1/run-start", body)

    async def stop(
        self, entry: WorkerEntry, fence: int, task: str, run: int
    ) -> OrderAnswer:
        """Stop a run, and refuse it should its start come later."""
        body = {"task": task, "run": run, "fence": fence}
        return await self._order(entry, "/v1/run-stop", body)

    async def pace(
        self, entry: WorkerEntry, fence: int, task: str, run: int, percent: int
    ) -> OrderAnswer:
        """Let a run work at a share of its speed."""
        body = {"task": task, "run": run, "percent": percent, "fence": fence}
        return await self._order(entry, "/v1/pace", body)

    async def _order(
        self, entry: WorkerEntry, path: str, body: dict[str, Any]
    ) -> OrderAnswer:
        reply = await self._call(entry, path, body, ORDER_TIMEOUT_SECONDS)
        if reply.status == 200:
            return OrderAnswer(_decode(reply, _Answer).clock_ms / 1000)
        return OrderAnswer(refusal=_read_refusal(reply))

    async def _call(
        self, entry: WorkerEntry, path: str, body: dict[str, Any], timeout: float
    ) -> Reply:
        headers = {
            "Content-Type": "application/json",
            "Expect-Instance": entry.worker,
        }
        return await self._connections.call(
            entry.address, path, msgspec.json.encode(body), timeout, _KINDS, headers
        )


def read_worker(entry: Entry) -> WorkerEntry | None:
    """Return what a worker says of itself, or None where it can't be read."""
    try:
        server = msgspec.json.decode(entry.value, type=_Server)
    except msgspec.MsgspecError as error:
        _log.warning("worker_entry_unreadable", key=entry.key, error=str(error))
        return None
    capacity = server.capacity
    labels = tuple(server.labels)
    return WorkerEntry(
        worker=entry.key.removeprefix(WORKERS_PREFIX),
        address=server.address,
        pool=server.service,
        failure_domain=server.zone,
        capacity=Need(capacity.cpu, capacity.mem_mb, capacity.gpu),
        labels=labels,
        # The kind of worker comes first, the rack second.
        rack=labels[1] if len(labels) > 1 else server.zone,
        leaving=server.state != "ready",
        leaving_seconds=server.remaining_ms / 1000,
    )


def _read_look(answer: _Look) -> WorkerLook:
    running = tuple(
        RunningTask(
            row[0], row[1], row[2] or "", row[3], row[4] if len(row) > 4 else 0.0
        )
        for row in answer.running
    )
    ended = tuple(
        EndedTask(row[0], row[1], row[2], EndKind(row[3]), row[4] or "")
        for row in answer.ended
    )
    return WorkerLook(answer.clock_ms / 1000, running, ended)


def _read_refusal(reply: Reply) -> Refusal:
    if reply.status == 421:
        return Refusal.OTHER_LIFE
    if reply.status in (429, 503):
        return Refusal.UNHEALTHY
    if reply.status == 409:
        reason = _decode(reply, _Answer).reason
        known = _REASONS.get(reason)
        if known is not None:
            return known
        _log.warning("worker_refusal_unknown", reason=reason)
    if reply.status in (400, 409):
        return Refusal.MALFORMED
    # Something between, or a fault of the worker's own: the order may have been
    # carried out. Taken for a refusal, the run would be started elsewhere beside it.
    raise Failure(ErrorKind.WORKER_UNREACHABLE, f"answered {reply.status}")


def _decode(reply: Reply, kind: type) -> Any:
    try:
        return msgspec.json.decode(reply.body, type=kind)
    except msgspec.MsgspecError as error:
        raise Failure(
            ErrorKind.WORKER_UNREACHABLE, f"unreadable answer: {error}"
        ) from error


class PlatformWorkerList:
    """Implements `protocol.fleet.WorkerList`."""

    def __init__(self, store: TransactionalStore) -> None:
        self._store = store

    async def list_workers(self) -> tuple[WorkerEntry, ...]:
        """Return the workers' entries, never old ones."""
        entries, _ = await list_entries(self._store, WORKERS_PREFIX)
        found = (read_worker(entry) for entry in entries)
        return tuple(each for each in found if each is not None)

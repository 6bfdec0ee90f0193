"""Orders to the platform's workers over HTTP, and the list of them in the store."""

from collections.abc import Callable, Collection
from typing import Any

import msgspec

from primrosestile.errors import ErrorKind, Failure
from primrosestile.platform.entries import WORKERS_PREFIX, read_worker
from primrosestile.platform.looks import Clock, read_look
from primrosestile.platform.refusals import (
    Fault,
    Refusals,
    Source,
    Unreadable,
    decode_json,
)
from primrosestile.protocol.fleet import (
    OrderAnswer,
    Refusal,
    StartOrder,
    WorkerLook,
    WorkersFound,
)
from primrosestile.protocol.transactions import TransactionalStore, list_entries
from primrosestile.state.workers import WorkerEntry
from primrosestile.transport.connections import Connections, FailureKinds, Reply

# An order takes a few milliseconds; a worker that carries one out late answers
# none at all, and the same order can be sent again without harm.
ORDER_TIMEOUT_SECONDS = 0.45
# One key for each failure domain that operators have emptied, until it is removed.
CORDONS_PREFIX = "op/evacuate/"
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


class _Done(msgspec.Struct, frozen=True):
    clock_ms: Clock


class _Refused(msgspec.Struct, frozen=True):
    reason: str


class PlatformWorkers:
    """Implements `protocol.fleet.WorkerCalls`."""

    def __init__(
        self, connections: Connections, refusals: Refusals | None = None
    ) -> None:
        self._connections = connections
        self._refusals = refusals or Refusals()

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
        if reply.status != 200:
            return self._read_refusal(entry, reply)
        try:
            look, refused = read_look(reply.body)
        except Unreadable as refusal:
            raise self._refuse(entry, refusal) from refusal
        self._refusals.settle(Source.WORKER_ANSWER, entry.worker, refused)
        return look

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
        if reply.status != 200:
            return OrderAnswer(refusal=self._read_refusal(entry, reply))
        try:
            return OrderAnswer(decode_json(reply.body, _Done).clock_ms / 1000)
        except Unreadable as refusal:
            raise self._refuse(entry, refusal) from refusal

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

    def _read_refusal(self, entry: WorkerEntry, reply: Reply) -> Refusal:
        """Return why nothing was done.

        What can't be read may come from something between, or from a fault of the
        worker's own: the order may have been carried out. Taken for a refusal, the
        run would be started elsewhere beside it.
        """
        if reply.status == 421:
            return Refusal.OTHER_LIFE
        if reply.status in (429, 503):
            return Refusal.UNHEALTHY
        if reply.status == 400:
            return Refusal.MALFORMED
        if reply.status != 409:
            raise Failure(ErrorKind.WORKER_UNREACHABLE, f"answered {reply.status}")
        try:
            return _read_reason(reply.body)
        except Unreadable as refusal:
            raise self._refuse(entry, refusal) from refusal

    def _refuse(self, entry: WorkerEntry, refusal: Unreadable) -> Failure:
        """Return what an answer that can't be read is to its caller."""
        found = {"answer": refusal}
        self._refusals.settle(Source.WORKER_ANSWER, entry.worker, found)
        return Failure(ErrorKind.WORKER_UNREACHABLE, f"unreadable answer: {refusal}")


def _read_reason(body: bytes) -> Refusal:
    reason = decode_json(body, _Refused).reason
    known = _REASONS.get(reason)
    if known is None:
        raise Unreadable(Fault.STATE, "reason", reason)
    return known


class PlatformWorkerList:
    """Implements `protocol.fleet.WorkerList`."""

    def __init__(
        self,
        store: TransactionalStore,
        find_pools: Callable[[], Collection[str] | None] | None = None,
        refusals: Refusals | None = None,
        cordons: bool = False,
    ) -> None:
        """Read workers' entries from a store.

        Args:
            store: Holds them.
            find_pools: Returns the pools that the policy names, as far as known; an
                entry of another one names no worker.
            refusals: Told what can't be read.
            cordons: Whether operators of this platform empty failure domains; asked
                for where they don't, a call in each reading would be paid for nothing.
        """
        self._store = store
        self._cordons = cordons
        self._find_pools = find_pools
        self._refusals = refusals or Refusals()

    async def list_workers(self) -> WorkersFound:
        """Return the workers' entries, never old ones."""
        entries, _ = await list_entries(self._store, WORKERS_PREFIX, whole=False)
        pools = self._find_pools() if self._find_pools is not None else None
        found: list[WorkerEntry] = []
        refused: dict[str, Unreadable] = {}
        for entry in entries:
            try:
                found.append(read_worker(entry, pools))
            except Unreadable as refusal:
                refused[entry.key] = refusal
        self._refusals.settle(Source.WORKER_ENTRY, "", refused)
        names = frozenset(key.removeprefix(WORKERS_PREFIX) for key in refused)
        return WorkersFound(tuple(found), names, await self._list_cordoned())

    async def _list_cordoned(self) -> frozenset[str]:
        """Return the failure domains that are to get no new work."""
        if not self._cordons:
            return frozenset()
        entries, _ = await list_entries(self._store, CORDONS_PREFIX, whole=False)
        return frozenset(entry.key.removeprefix(CORDONS_PREFIX) for entry in entries)

"""Client of the platform's workers over HTTP, and their list in the store."""

import asyncio
import math
from collections.abc import Callable, Collection, Sequence
from dataclasses import replace
from typing import Any

import msgspec

from primrosestile.errors import ErrorKind, Failure
from primrosestile.platform.entries import WORKERS_PREFIX, Start, read_worker
from primrosestile.platform.polls import Clock, read_poll
from primrosestile.platform.rejections import (
    Fault,
    RejectionLog,
    Source,
    Unreadable,
    decode_json,
)
from primrosestile.platform.store import find_transfer_seconds
from primrosestile.protocol.fleet import (
    OrderAnswer,
    PollAnswer,
    Refusal,
    Restarted,
    StartOrder,
    WorkerListing,
)
from primrosestile.protocol.store import Entry
from primrosestile.protocol.transactions import TransactionalStore, list_entries
from primrosestile.state.workers import (
    WorkerEntry,
    find_worker_id,
    name_incarnation,
)
from primrosestile.transport.connections import Connections, FailureKinds, Reply

# An order takes a few milliseconds; a worker that carries one out late does not answer
# it, and orders are safe to repeat.
ORDER_TIMEOUT_SECONDS = 0.45
# Operators cordon a failure domain by a key under this prefix, until they remove it.
CORDONS_PREFIX = "op/evacuate/"
# Added to the requested wait time of a poll.
POLL_SLACK_SECONDS = 0.6

_KINDS = FailureKinds(ErrorKind.NO_TARGET, ErrorKind.WORKER_UNREACHABLE)
# Reasons in the body of a refused order; other refusals have a status of their own.
_REASONS = {
    "fence": Refusal.FENCE,
    "old": Refusal.STALE_RUN,
    "late": Refusal.EXPIRED,
    "room": Refusal.ROOM,
    "ticket": Refusal.TICKET,
}


class _Done(msgspec.Struct, frozen=True):
    """`born`: when the start of the worker that answers began."""

    clock_ms: Clock
    born: Start | None = None


class _Refused(msgspec.Struct, frozen=True):
    reason: str


class PlatformWorkers:
    """Implements `protocol.fleet.WorkerCalls`."""

    def __init__(
        self,
        connections: Connections,
        rejections: RejectionLog | None = None,
        link: float = math.inf,
    ) -> None:
        """Call workers.

        Args:
            connections: Carries the calls.
            rejections: Records what can't be read.
            link: Throughput of the VM's link in megabits a second.
        """
        self._connections = connections
        self._link = link
        self._rejections = rejections or RejectionLog()

    async def poll(
        self,
        entry: WorkerEntry,
        fence: int,
        acknowledged: int,
        until: float | None,
        wait: float,
    ) -> PollAnswer | Refusal | Restarted:
        """Extend the lease, acknowledge ends up to a number, wait for a new end."""
        body: dict[str, Any] = {"fence": fence, "last_seen": acknowledged}
        if until is not None:
            body["until_ms"] = int(until * 1000)
        if wait > 0:
            body["wait_ms"] = int(wait * 1000)
        timeout = wait + POLL_SLACK_SECONDS
        reply = await self._call(entry, "/v1/hold", body, timeout)
        if reply.status != 200:
            return self._read_refusal(entry, reply)
        try:
            poll, rejected = read_poll(reply.body)
        except Unreadable as rejection:
            raise self._reject(entry, rejection) from rejection
        self._rejections.replace(Source.WORKER_ANSWER, entry.worker, rejected)
        answering = _find_answering(entry, poll.start)
        return poll if answering == entry.worker else Restarted(answering)

    async def start(
        self, entry: WorkerEntry, fence: int, order: StartOrder
    ) -> OrderAnswer:
        """Start one run; succeeds too if this run is already present."""
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
        seconds = self.find_transfer_seconds(order.payload)
        return await self._order(entry, "/v1/run-start", body, seconds)

    def find_transfer_seconds(self, payload: str) -> float:
        """Return how long the link of this VM needs for a start with a payload."""
        return find_transfer_seconds(len(payload.encode()), self._link)

    async def stop(
        self, entry: WorkerEntry, fence: int, task: str, run: int
    ) -> OrderAnswer:
        """Stop a run; the worker refuses a start of it that arrives later."""
        body = {"task": task, "run": run, "fence": fence}
        return await self._order(entry, "/v1/run-stop", body)

    async def pace(
        self, entry: WorkerEntry, fence: int, task: str, run: int, percent: int
    ) -> OrderAnswer:
        """Limit a run to a percentage of its speed."""
        body = {"task": task, "run": run, "percent": percent, "fence": fence}
        return await self._order(entry, "/v1/pace", body)

    async def _order(
        self,
        entry: WorkerEntry,
        path: str,
        body: dict[str, Any],
        transfer_seconds: float = 0.0,
    ) -> OrderAnswer:
        timeout = ORDER_TIMEOUT_SECONDS + transfer_seconds
        reply = await self._call(entry, path, body, timeout)
        if reply.status != 200:
            return OrderAnswer(refusal=self._read_refusal(entry, reply))
        try:
            done = decode_json(reply.body, _Done)
        except Unreadable as rejection:
            raise self._reject(entry, rejection) from rejection
        if _find_answering(entry, done.born) != entry.worker:
            return OrderAnswer(refusal=Refusal.RESTARTED)
        return OrderAnswer(done.clock_ms / 1000)

    async def _call(
        self, entry: WorkerEntry, path: str, body: dict[str, Any], timeout: float
    ) -> Reply:
        headers = {
            "Content-Type": "application/json",
            "Expect-Instance": entry.worker_id,
        }
        return await self._connections.call(
            entry.address, path, msgspec.json.encode(body), timeout, _KINDS, headers
        )

    def _read_refusal(self, entry: WorkerEntry, reply: Reply) -> Refusal:
        """Return why an order was refused; raise if that can't be determined.

        An unreadable answer may come from a proxy, or from a fault of the worker: the
        order may have taken effect. If it counted as a refusal, the run would be
        started a second time elsewhere.
        """
        if reply.status == 421:
            return Refusal.OTHER_INCARNATION
        if reply.status in (429, 503):
            return Refusal.UNHEALTHY
        if reply.status == 400:
            return Refusal.MALFORMED
        if reply.status != 409:
            raise Failure(ErrorKind.WORKER_UNREACHABLE, f"answered {reply.status}")
        try:
            return _read_reason(reply.body)
        except Unreadable as rejection:
            raise self._reject(entry, rejection) from rejection

    def _reject(self, entry: WorkerEntry, rejection: Unreadable) -> Failure:
        """Record an unreadable answer; return the failure to raise for it."""
        found = {"answer": rejection}
        self._rejections.replace(Source.WORKER_ANSWER, entry.worker, found)
        return Failure(ErrorKind.WORKER_UNREACHABLE, f"unreadable answer: {rejection}")


def _find_answering(entry: WorkerEntry, start: int | None) -> str:
    """Return the incarnation that answered a call to an entry's worker.

    The platform tells incarnations apart by id alone, so a later start under the same
    id carries out what was sent to the former one, and only `born` shows it.
    """
    if start is None:
        return entry.worker
    return name_incarnation(entry.worker_id, start)


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
        rejections: RejectionLog | None = None,
        cordons: bool = False,
    ) -> None:
        """Read workers' entries from a store.

        Args:
            store: The store that holds the entries.
            find_pools: Returns the pools that the policy names, None while unknown; an
                entry of another pool is rejected.
            rejections: Records what can't be read.
            cordons: Whether operators of this platform cordon failure domains; if not,
                the extra store call in each listing is saved.
        """
        self._store = store
        self._cordons = cordons
        self._find_pools = find_pools
        self._rejections = rejections or RejectionLog()

    async def list_workers(self) -> WorkerListing:
        """Return the workers' current entries; a stale read is not allowed."""
        entries, _ = await list_entries(self._store, WORKERS_PREFIX, whole=False)
        listing, rejected = self._decode(entries)
        self._rejections.replace(Source.WORKER_ENTRY, "", rejected)
        return replace(listing, cordoned=await self._list_cordoned())

    async def read_workers(self, names: Collection[str]) -> WorkerListing:
        """Return the current entries of some workers; a stale read is not allowed."""
        cordoned, read = await asyncio.gather(
            self._list_cordoned(),
            asyncio.gather(
                *(
                    self._store.get(WORKERS_PREFIX + find_worker_id(name))
                    for name in names
                ),
                return_exceptions=True,
            ),
        )
        entries = []
        unread = set()
        for name, found in zip(names, read, strict=True):
            if isinstance(found, Failure):
                unread.add(name)
            elif isinstance(found, BaseException):
                raise found
            elif found is not None:
                entries.append(found)
        # The list records what can't be read.
        listing, _ = self._decode(entries)
        return replace(listing, cordoned=cordoned, unread=frozenset(unread))

    def _decode(
        self, entries: Sequence[Entry]
    ) -> tuple[WorkerListing, dict[str, Unreadable]]:
        """Return the readable entries and the rejections by key."""
        pools = self._find_pools() if self._find_pools is not None else None
        found: list[WorkerEntry] = []
        rejected: dict[str, Unreadable] = {}
        for entry in entries:
            try:
                found.append(read_worker(entry, pools))
            except Unreadable as rejection:
                rejected[entry.key] = rejection
        names = frozenset(key.removeprefix(WORKERS_PREFIX) for key in rejected)
        return WorkerListing(tuple(found), names), rejected

    async def _list_cordoned(self) -> frozenset[str]:
        """Return the failure domains that are closed to new work."""
        if not self._cordons:
            return frozenset()
        entries, _ = await list_entries(self._store, CORDONS_PREFIX, whole=False)
        return frozenset(entry.key.removeprefix(CORDONS_PREFIX) for entry in entries)

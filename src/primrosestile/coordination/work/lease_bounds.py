"""Passes on to the next owner until when the leases of silent workers may last.

A worker's tasks may start elsewhere once its lease has certainly run out. An owner that
the worker never answers doesn't know when the lease was last extended, and waits for
the longest time for which an earlier owner can have done so. If that wait began anew
with each owner, the tasks would never run again while owners change more often. So the
owners share one record:

- For each silent worker with runs, the seconds after which its lease has certainly run
  out. The next owner counts down from there, and stores what is left.
- For each earlier owner, the seconds for which it may still extend leases. Each owner
  enters itself before it extends the first one, so none is missing. An earlier owner is
  asked whether it has stopped, which ends this time at once.

These bounds hold whatever the times of day are: they are counted by the monotonic
clocks of owners, only while each is the owner, and the record was written before the
present term, under the former owner's fence.

They would not hold after another extension. So the lease of a worker that the stored
record may name is not extended: when such a worker answers, it is first removed from
the record (SILENCE_WAITED_OUT).
"""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import structlog

from primrosestile.clock import read_clock
from primrosestile.coordination.work.keys import LEASE_BOUNDS_KEY, OWNER_KEY
from primrosestile.coordination.work.log_fields import list_names
from primrosestile.coordination.work.term import LEASE_GRACE_SECONDS, Term
from primrosestile.coordination.work.worker_clock import (
    LEASE_SECONDS,
    SLOW_CLOCK_FACTOR,
)
from primrosestile.errors import Failure
from primrosestile.protocol.owners import OwnerCalls
from primrosestile.protocol.transactions import Condition, TransactionalStore, Write
from primrosestile.state.decoding import Undecodable
from primrosestile.state.work import (
    LeaseBoundsRecord,
    decode_lease_bounds,
    encode_record,
)

# From the last extension until a lease has certainly run out.
LONGEST_LEASE_SECONDS = LEASE_SECONDS / SLOW_CLOCK_FACTOR + 1.0
# How often the silent workers are determined, and earlier owners asked.
CHECK_SECONDS = 0.25
# How often bounds are stored while the workers stay the same. The next owner counts on
# from the latest ones, so a change of owner costs at most this much of the wait.
WRITE_INTERVAL_SECONDS = 1.0
# How long a poll may wait until the record no longer names the worker.
RELEASE_SECONDS = 1.0

_log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class _Inherited:
    """A bound of an earlier owner: seconds that were left at some time."""

    seconds: float
    since: float

    def find_left(self, now: float) -> float:
        """Return the seconds that are left."""
        return self.seconds - (now - self.since) * SLOW_CLOCK_FACTOR


class LeaseBounds:
    """The stored record, and what this owner knows of earlier ones by it."""

    def __init__(
        self,
        store: TransactionalStore,
        term: Term,
        owners: OwnerCalls,
        address: str,
        find_bounds: Callable[[], Mapping[str, float]],
    ) -> None:
        """Begin with a term; no lease may be extended before `load` has succeeded.

        Args:
            store: Holds the record.
            term: The owner's.
            owners: Reaches earlier owners.
            address: Where this process answers other processes; empty if it doesn't.
            find_bounds: Returns the seconds for which the lease of each silent worker
                may last.
        """
        self._store = store
        self._term = term
        self._owners = owners
        self._address = address
        self._find_bounds = find_bounds
        self._began = read_clock()
        self._workers: dict[str, _Inherited] = {}
        # Earlier owners that may still extend leases, by address, and when the last of
        # the others was known to have stopped.
        self._extending: dict[str, _Inherited] = {}
        self._stopped_at = self._began
        self._registered = False
        # What the store holds, and the names in a write without an answer, which may
        # still be carried out.
        self._stored: frozenset[str] = frozenset()
        self._stored_owners: frozenset[str] = frozenset()
        self._unanswered: frozenset[str] = frozenset()
        self._revision: int | None = None
        self._written_at = self._began
        self._writing = asyncio.Lock()

    def __len__(self) -> int:
        """Return how many workers the record names."""
        return len(self._stored)

    async def load(self) -> None:
        """Read the earlier owners' record, and enter this one.

        Raises:
            Failure: When the store does not answer.
        """
        async with self._writing:
            if self._revision is None:
                self._inherit(await self._read())
            while not self._registered and not self._term.lost.is_set():
                bounds = {
                    name: each.find_left(read_clock())
                    for name, each in self._workers.items()
                }
                self._registered = await self._write(bounds)

    async def _read(self) -> LeaseBoundsRecord | None:
        """Return the record; None without a readable one."""
        entry = await self._store.get(LEASE_BOUNDS_KEY)
        self._revision = 0 if entry is None else entry.mod_revision
        record = None
        if entry is not None:
            try:
                record = decode_lease_bounds(entry.value)
            except Undecodable as error:
                # Another writer's. Without bounds, the longest wait applies.
                _log.warning(
                    "record_unreadable", key=LEASE_BOUNDS_KEY, reason=str(error)
                )
        self._stored = frozenset() if record is None else frozenset(record.workers)
        return record

    def _inherit(self, record: LeaseBoundsRecord | None) -> None:
        owners = {"": LEASE_GRACE_SECONDS}
        if record is not None:
            owners = {**record.owners, record.writer: LEASE_GRACE_SECONDS}
            self._workers = {
                name: _Inherited(seconds, self._began)
                for name, seconds in record.workers.items()
            }
        # A former term of this process is over, and so is its former incarnation.
        if self._address:
            owners.pop(self._address, None)
        self._extending = {
            address: _Inherited(seconds, self._began)
            for address, seconds in owners.items()
        }
        _log.info(
            "lease_bounds_inherited",
            count=len(self._workers),
            workers=list_names(self._workers),
            owners=sorted(self._extending),
        )

    def find_bound(self, worker: str) -> float:
        """Return how long the lease of a worker that never answered may last.

        Returns:
            Seconds, by what earlier owners can have done.
        """
        now = read_clock()
        latest = max(
            (now + each.find_left(now) for each in self._extending.values()),
            default=self._stopped_at,
        )
        bound = max(latest, self._stopped_at) + LONGEST_LEASE_SECONDS - now
        inherited = self._workers.get(worker)
        return bound if inherited is None else min(bound, inherited.find_left(now))

    def is_inherited(self, worker: str) -> bool:
        """Whether an earlier owner has stored a bound for a worker."""
        return worker in self._workers

    def may_extend(self, worker: str) -> bool:
        """Whether the record certainly doesn't name a worker."""
        return (
            self._registered
            and worker not in self._stored
            and worker not in self._unanswered
        )

    async def release(self, worker: str) -> bool:
        """Remove a worker that has answered; return whether that is stored.

        Several workers that answer together share one write.
        """
        if self.may_extend(worker):
            return True
        try:
            async with asyncio.timeout(RELEASE_SECONDS), self._writing:
                if self._registered and not self.may_extend(worker):
                    bounds = dict(self._find_bounds())
                    bounds.pop(worker, None)
                    await self._write(bounds)
        except (Failure, TimeoutError) as failure:
            _log.info("silent_worker_not_released", worker=worker, reason=str(failure))
        if not self.may_extend(worker):
            return False
        self._workers.pop(worker, None)
        return True

    async def run(self) -> None:
        """Store the bounds, and ask earlier owners, until the term is lost."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._ask_owners())
            while not self._term.lost.is_set():
                await asyncio.sleep(CHECK_SECONDS)
                try:
                    async with self._writing:
                        bounds = dict(self._find_bounds())
                        if self._is_due(bounds):
                            await self._write(bounds)
                except Failure as failure:
                    _log.warning("lease_bounds_not_stored", reason=str(failure))

    async def _ask_owners(self) -> None:
        """Ask earlier owners whether they have stopped, as long as that matters."""
        while self._extending and not self._term.lost.is_set():
            now = read_clock()
            for address, each in list(self._extending.items()):
                if each.find_left(now) <= 0:
                    # What it extended last is over a lease after that time.
                    del self._extending[address]
                    self._stopped_at = max(self._stopped_at, now)
                elif address and await self._owners.has_stopped(address):
                    del self._extending[address]
                    self._stopped_at = read_clock()
                    _log.info("former_owner_stopped", address=address)
            await asyncio.sleep(CHECK_SECONDS)

    def _is_due(self, bounds: Mapping[str, float]) -> bool:
        if self._unanswered or self._stored != bounds.keys():
            return True
        if self._stored_owners != self._extending.keys():
            return True
        age = read_clock() - self._written_at
        return bool(bounds or self._extending) and age > WRITE_INTERVAL_SECONDS

    async def _write(self, bounds: dict[str, float]) -> bool:
        """Write the record; return False if it has to be written again.

        Raises:
            Failure: When the store does not answer.
        """
        now = read_clock()
        changed = self._stored != bounds.keys()
        self._unanswered |= bounds.keys()
        owners = {
            address: each.find_left(now) for address, each in self._extending.items()
        }
        assert self._revision is not None, "the record is read first"
        done = await self._store.commit(
            [
                Condition(OWNER_KEY, self._term.fence),
                # An earlier write that is carried out late does nothing.
                Condition(LEASE_BOUNDS_KEY, self._revision),
            ],
            [
                Write(
                    LEASE_BOUNDS_KEY,
                    encode_record(LeaseBoundsRecord(self._address, bounds, owners)),
                )
            ],
        )
        if not done.done:
            if not self._term.check_found(done.found):
                return False
            # Our own write without an answer was carried out, and can't be again.
            await self._read()
            self._unanswered = frozenset()
            return False
        self._revision = done.revision
        self._stored = frozenset(bounds)
        self._stored_owners = frozenset(owners)
        self._unanswered = frozenset()
        self._written_at = now
        if changed:
            _log.info(
                "lease_bounds_stored",
                count=len(bounds),
                workers=list_names(bounds),
                longest=round(max(bounds.values(), default=0.0), 2),
            )
        return True

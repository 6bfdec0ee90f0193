"""In-memory store of the platform, with transactions over several keys, and its faults.

Each of our processes connects under its name, so that a fault can hit one and spare
the others. A write whose answer is lost may have taken effect, or may take effect
seconds later if its conditions still hold.
"""

import asyncio
import math
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from sortedcontainers import SortedDict

from primrosestile.clock import read_clock
from primrosestile.errors import ErrorKind, Failure
from primrosestile.platform.store import (
    BYTES_PER_MEGABIT,
    MAX_VALUE_SECONDS,
    WATCH_SLACK_SECONDS,
    find_list_timeout,
    find_write_timeout,
)
from primrosestile.protocol.store import Change, Entry, Page
from primrosestile.protocol.transactions import (
    CommitResult,
    Condition,
    WatchBatch,
    Write,
)
from primrosestile.transport.call_progress import do_nothing
from primrosestile_standin.fleet_store_faults import FleetStoreFaults
from primrosestile_standin.link import ANSWER_BYTES, Link, measure_answer, measure_write

PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
ANSWER_SECONDS = 0.004
# Size of an item in an answer, without its key and value.
ITEM_BYTES = 75


@dataclass(slots=True)
class _Lease:
    seconds: float
    until: float


class FleetStore:
    """The store's contents; processes call it over a client from `connect`."""

    def __init__(self) -> None:
        self.faults = FleetStoreFaults()
        self.calls = 0
        # Counts reads and watches by key or prefix.
        self.calls_by_key: Counter[str] = Counter()
        # Sizes of lists by process.
        self.bytes_listed: Counter[str] = Counter()
        self.revision = 1
        self._entries: SortedDict = SortedDict()
        self._history: list[Change] = []
        self._compacted_revision = 0
        self._leases: dict[int, _Lease] = {}
        self._next_lease = 100
        self._paused_at = 0.0
        self._changed = asyncio.Event()

    def connect(self, process: str, link: Link | None = None) -> "FleetStoreClient":
        """Return one process's client of the store, over its VM's link."""
        return FleetStoreClient(self, process, link or Link())

    def read(self, key: str) -> Entry | None:
        """Return the entry of a key, for tests."""
        self.expire()
        return self._entries.get(key)

    def put(self, key: str, value: bytes) -> int:
        """Write without conditions, as an operator or a worker does."""
        return self.apply([], [Write(key, value)], []).revision

    def remove(self, key: str) -> None:
        """Remove a key, as when a worker's entry expires."""
        self.apply([], [], [key])

    def compact(self) -> None:
        """Drop the history; watches from an older revision must read again."""
        self._history.clear()
        self._compacted_revision = self.revision
        self._notify()

    def expire(self) -> None:
        """Remove the keys of expired leases."""
        now = read_clock()
        unavailable = self.faults.down or self.faults.hangs
        if unavailable and self.faults.leases_pause:
            self._paused_at = self._paused_at or now
            return
        if self._paused_at:
            for paused in self._leases.values():
                paused.until += now - self._paused_at
            self._paused_at = 0.0
        over = [each for each, lease in self._leases.items() if lease.until <= now]
        for lease in over:
            del self._leases[lease]
        keys = [key for key, entry in self._entries.items() if entry.lease in over]
        if keys:
            self.apply([], [], keys)

    def apply(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        removals: Sequence[str],
    ) -> CommitResult:
        """Apply a transaction if its conditions hold."""
        outcome = self.check(conditions)
        if not outcome.done:
            return outcome
        if any(write.lease and write.lease not in self._leases for write in writes):
            raise Failure(ErrorKind.NOT_FOUND, "no such lease")
        self.revision += 1
        for write in writes:
            before = self._entries.get(write.key)
            created = before.create_revision if before else self.revision
            entry = Entry(write.key, write.value, created, self.revision, write.lease)
            self._entries[write.key] = entry
            self._history.append(Change(write.key, self.revision, entry))
        for key in removals:
            if self._entries.pop(key, None) is not None:
                self._history.append(Change(key, self.revision, None))
        self._notify()
        return CommitResult(done=True, revision=self.revision)

    def check(self, conditions: Sequence[Condition]) -> CommitResult:
        """Return whether all conditions hold; if not, the entries under their keys."""
        found = tuple(
            self._entries[each.key] for each in conditions if each.key in self._entries
        )
        standing = {entry.key: entry.mod_revision for entry in found}
        if any(standing.get(each.key, 0) != each.revision for each in conditions):
            return CommitResult(done=False, found=found)
        return CommitResult(done=True, revision=self.revision)

    def grant(self, seconds: float) -> int:
        """Return a new lease."""
        self._next_lease += 1
        self._leases[self._next_lease] = _Lease(seconds, read_clock() + seconds)
        return self._next_lease

    def keep(self, number: int) -> bool:
        """Renew a lease; return False when it has ended."""
        lease = self._leases.get(number)
        if lease is None:
            return False
        lease.until = read_clock() + lease.seconds
        return True

    def read_page(self, prefix: str, after: str) -> Page:
        """Return one page of the entries under a prefix."""
        entries: list[Entry] = []
        size = 0
        for key in self._entries.irange(max(prefix, after)):
            if not key.startswith(prefix):
                break
            if key <= after:
                continue
            if len(entries) == PAGE_ITEMS or size > PAGE_BYTES:
                return Page(tuple(entries), self.revision, more=True)
            entries.append(self._entries[key])
            size += len(entries[-1].value)
        return Page(tuple(entries), self.revision)

    def find_changes(self, prefix: str, after: int) -> WatchBatch:
        """Return the changes after a revision."""
        if after < self._compacted_revision:
            return WatchBatch((), after, complete=False)
        changes = tuple(
            change
            for change in self._history
            if change.revision > after and change.key.startswith(prefix)
        )
        return WatchBatch(changes, self.revision)

    async def wait_for_change(self) -> None:
        """Return after the next change."""
        await self._changed.wait()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class FleetStoreClient:
    """Implements `protocol.transactions.TransactionalStore` for one process."""

    # Timeout of a call that is not answered.
    TIMEOUT_SECONDS = 1.0

    def __init__(self, store: FleetStore, process: str, link: Link) -> None:
        self._store = store
        self._process = process
        self._link = link
        self._link_free_at = 0.0
        self._renewals = 0

    @property
    def _megabits(self) -> float:
        """Throughput of the link in megabits a second."""
        return self._link.rate / BYTES_PER_MEGABIT

    @property
    def _answer_seconds(self) -> float:
        """Seconds that an answer may take, by the link."""
        return self.TIMEOUT_SECONDS + MAX_VALUE_SECONDS

    async def get(
        self,
        key: str,
        recent: bool = True,
        on_part: Callable[[], None] = do_nothing,
    ) -> Entry | None:
        """Return the value of a key, or None."""
        self._store.calls_by_key[key] += 1
        await self._enter()
        self._check_key(key)
        if not recent and self._store.faults.stale_reads:
            return None
        found = self._store.read(key)
        await self._carry(
            measure_answer([found]), seconds=self._answer_seconds, on_part=on_part
        )
        return found

    async def check(
        self, condition: Condition, on_part: Callable[[], None] = do_nothing
    ) -> CommitResult:
        """Return whether a condition holds; if not, the entry under its key."""
        self._store.calls_by_key[condition.key] += 1
        await self._enter()
        self._check_change()
        self._check_key(condition.key)
        outcome = self._store.check([condition])
        size = measure_answer(outcome.found)
        await self._carry(size, seconds=self._answer_seconds, on_part=on_part)
        return outcome

    async def list(self, prefix: str, after: str = "") -> Page:
        """Return one page of the entries under a prefix."""
        self._store.calls_by_key[prefix] += 1
        await self._enter()
        self._check_read(prefix)
        page = self._store.read_page(prefix, after)
        seconds = find_list_timeout(self._megabits)
        await self._carry(measure_answer(page.entries), seconds=seconds)
        await self._carry_page(page)
        return page

    async def _carry_page(self, page: Page) -> None:
        """Wait until the link has transferred a page, or fail by timeout."""
        size = sum(
            len(entry.key) + ITEM_BYTES + len(entry.value) * 4 / 3
            for entry in page.entries
        )
        self._store.bytes_listed[self._process] += int(size)
        megabits = self._store.faults.megabits.get(self._process)
        if megabits is None:
            return
        now = read_clock()
        seconds = size / (megabits * BYTES_PER_MEGABIT)
        self._link_free_at = max(now, self._link_free_at) + seconds
        limit = find_list_timeout(megabits)
        await asyncio.sleep(min(limit, self._link_free_at - now))
        if self._link_free_at - now > limit:
            self._link_free_at = read_clock()
            raise Failure(ErrorKind.STORE_UNAVAILABLE, "no answer in time")

    async def commit(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write] = (),
        removals: Sequence[str] = (),
        found_bytes: float = math.inf,
    ) -> CommitResult:
        """Apply a transaction if all of its conditions hold."""
        lost = ErrorKind.STORE_ANSWER_LOST
        self._check_change()
        began = read_clock()
        size = sum(map(measure_write, writes))
        write_seconds = find_write_timeout(size, self._megabits)
        await self._enter()
        # A change whose request is cut short has no effect, but its caller can't tell.
        await self._carry(
            size,
            lost,
            _find_left(began, write_seconds),
        )
        faults = self._store.faults
        if faults.late_writes:
            delay = faults.late_writes.pop(0)
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self._apply_late, conditions, writes, removals)
            raise Failure(ErrorKind.STORE_ANSWER_LOST, "late")
        outcome = self._store.apply(conditions, writes, removals)
        if faults.lose_writes:
            faults.lose_writes -= 1
            raise Failure(ErrorKind.STORE_ANSWER_LOST, "lost")
        answer_size = measure_answer(outcome.found)
        if answer_size > found_bytes:
            outcome = CommitResult(done=False, omitted=True)
            answer_size = ANSWER_BYTES
        await self._carry(
            answer_size,
            lost,
            _find_left(began, write_seconds + MAX_VALUE_SECONDS),
        )
        return outcome

    def _apply_late(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        removals: Sequence[str],
    ) -> None:
        try:
            self._store.apply(conditions, writes, removals)
        except Failure:
            return

    async def grant_lease(self, seconds: float) -> int:
        """Return a new lease."""
        await self._enter()
        lease = self._store.grant(seconds)
        await self._carry(ANSWER_BYTES, ErrorKind.STORE_ANSWER_LOST)
        return lease

    async def keep_lease(self, lease: int) -> bool:
        """Renew a lease; return False when it has ended."""
        await self._enter()
        alive = self._store.keep(lease)
        self._renewals += 1
        if (lost := self._store.faults.lose_renewals) and self._renewals % lost == 0:
            await asyncio.sleep(self.TIMEOUT_SECONDS)
            raise Failure(ErrorKind.STORE_ANSWER_LOST, "lost")
        await self._carry(ANSWER_BYTES, ErrorKind.STORE_ANSWER_LOST)
        return alive

    async def watch_once(self, prefix: str, after: int, seconds: float) -> WatchBatch:
        """Return the changes after a revision, as soon as there is one."""
        self._store.calls_by_key[prefix] += 1
        began = read_clock()
        await self._enter()
        batch = await self._wait_for_changes(prefix, after, seconds)
        await self._carry(
            measure_answer([change.entry for change in batch.changes]),
            seconds=_find_left(began, seconds + WATCH_SLACK_SECONDS)
            + MAX_VALUE_SECONDS,
        )
        return batch

    async def _wait_for_changes(
        self, prefix: str, after: int, seconds: float
    ) -> WatchBatch:
        until = read_clock() + seconds
        while True:
            self._check()
            self._check_read(prefix)
            batch = self._store.find_changes(prefix, after)
            if not batch.complete:
                return batch
            if batch.changes and not self._store.faults.silent_watches:
                return batch
            if read_clock() >= until:
                return WatchBatch((), after)
            await self._wait_briefly(until)

    async def _wait_briefly(self, until: float) -> None:
        step = min(0.05, max(0.001, until - read_clock()))
        try:
            async with asyncio.timeout(step):
                await self._store.wait_for_change()
        except TimeoutError:
            self._store.expire()

    async def _enter(self) -> None:
        self._store.calls += 1
        await asyncio.sleep(ANSWER_SECONDS + self._store.faults.slow_seconds)
        if self._store.faults.hangs:
            self._store.expire()
            await asyncio.sleep(self.TIMEOUT_SECONDS)
            raise Failure(ErrorKind.STORE_ANSWER_LOST, "hangs")
        if self._process in self._store.faults.silent:
            await asyncio.sleep(self.TIMEOUT_SECONDS)
            raise Failure(ErrorKind.STORE_UNAVAILABLE, "silent")
        self._check()
        self._store.expire()

    async def _carry(
        self,
        size: float,
        kind: ErrorKind = ErrorKind.STORE_UNAVAILABLE,
        seconds: float = TIMEOUT_SECONDS,
        on_part: Callable[[], None] = do_nothing,
    ) -> None:
        try:
            await self._link.carry(size, seconds, on_part)
        except TimeoutError as error:
            raise Failure(kind, "no answer in time") from error

    def _check_read(self, prefix: str) -> None:
        unread = self._store.faults.unread.get(self._process)
        if unread is not None and prefix.startswith(unread):
            raise Failure(ErrorKind.STORE_UNAVAILABLE, "unread")

    def _check_key(self, key: str) -> None:
        if self._store.faults.unread_key.get(self._process) == key:
            raise Failure(ErrorKind.STORE_UNAVAILABLE, "unread")

    def _check_change(self) -> None:
        if self._store.faults.refuses_changes:
            raise Failure(ErrorKind.STORE_UNAVAILABLE, "refused")

    def _check(self) -> None:
        faults = self._store.faults
        if faults.down or self._process in faults.refused:
            raise Failure(ErrorKind.STORE_UNAVAILABLE, "refused")


def _find_left(began: float, timeout: float) -> float:
    """Return what is left of a call's timeout, in seconds."""
    return max(0.0, began + timeout - read_clock())

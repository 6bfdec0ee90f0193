"""In-memory store with the guarantees of the real one and no others.

Tests on a simulated clock use it directly and the HTTP stand-in serves it, so both
kinds of test see the same behaviour. Leases expire by the running loop's clock, and
watches deliver an expiry like any other removal.
"""

import asyncio
import contextlib
from collections import Counter
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass, field
from itertools import islice

from sortedcontainers import SortedDict

from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.store import Change, Entry, Page, SwapResult
from primrosestile_standin.faults import StoreFaults

VALUE_LIMIT_BYTES = 1_000_000
HISTORY_LIMIT = 200_000
SILENCE_BOUND_SECONDS = 5.0
FAULT_CHECK_SECONDS = 0.5


@dataclass(slots=True)
class _Lease:
    """One lease and the keys attached to it."""

    seconds: int
    timer: asyncio.TimerHandle
    keys: set[str] = field(default_factory=set)


class MemoryStore:
    """Implements `protocol.store.Store` in this process.

    Attributes:
        faults: Set its fields to make the store misbehave.
        calls: Number of calls by kind; a watch counts once.
    """

    def __init__(self, faults: StoreFaults | None = None) -> None:
        self.faults = faults or StoreFaults()
        self.calls: Counter[str] = Counter()
        self.revision = 1
        self._entries: SortedDict = SortedDict()
        self._leases: dict[int, _Lease] = {}
        self._next_lease = 1
        self._history: list[Change] = []
        self._dropped_count = 0
        self._changed = asyncio.Event()

    async def get(self, key: str) -> Entry | None:
        """Return the value of a key, or None."""
        await self._enter("range")
        return self._entries.get(key)

    async def list(self, prefix: str, after: str = "", limit: int = 500) -> Page:
        """Return entries under a prefix whose keys sort after `after`."""
        start = max(prefix, after + "\0") if after else prefix
        return await self.read_range(start, find_end(prefix), limit)

    async def read_range(self, start: str, end: str, limit: int) -> Page:
        """Return entries from `start` up to but without `end`."""
        await self._enter("range")
        if start >= end:
            return Page((), self.revision)
        keys = self._entries.irange(start, end, inclusive=(True, False))
        found = list(islice(keys, limit + 1))
        entries = tuple(self._entries[key] for key in found[:limit])
        return Page(entries, self.revision, more=len(found) > limit)

    async def put(
        self, key: str, value: bytes, expected: int, lease: int = 0
    ) -> SwapResult:
        """Write if the key's mod revision is `expected`; 0 means absent.

        Raises:
            Failure: TOO_LARGE for more than a megabyte, NOT_FOUND when the lease
                has expired; nothing is written in either case.
        """
        await self._enter("txn")
        if len(value) > VALUE_LIMIT_BYTES:
            raise Failure(ErrorKind.TOO_LARGE, f"{len(value)} bytes under {key}")
        if lease and lease not in self._leases:
            raise Failure(ErrorKind.NOT_FOUND, f"lease {lease} has lapsed")
        current = self._entries.get(key)
        if (current.mod_revision if current else 0) != expected:
            return self._answer(SwapResult(False, self.revision, current))
        self.revision += 1
        created = current.create_revision if current else self.revision
        entry = Entry(key, value, created, self.revision, lease)
        self._attach(entry, current)
        self._entries[key] = entry
        self._publish([Change(key, self.revision, entry)])
        return self._answer(SwapResult(True, self.revision))

    async def delete(self, key: str, expected: int) -> SwapResult:
        """Remove if the key's mod revision is `expected`."""
        await self._enter("txn")
        current = self._entries.get(key)
        if current is None or current.mod_revision != expected:
            return self._answer(SwapResult(False, self.revision, current))
        self._remove([key])
        return self._answer(SwapResult(True, self.revision))

    async def grant_lease(self, seconds: int) -> int:
        """Return the id of a new lease that expires after `seconds`."""
        await self._enter("lease_grant")
        lease = self._next_lease
        self._next_lease += 1
        self._leases[lease] = _Lease(seconds, self._start_timer(lease, seconds))
        self._raise_if_lost()
        return lease

    async def keep_lease(self, lease: int) -> bool:
        """Renew; return False when the lease has already expired."""
        await self._enter("lease_keepalive")
        held = self._leases.get(lease)
        if held is not None:
            held.timer.cancel()
            held.timer = self._start_timer(lease, held.seconds)
        self._raise_if_lost()
        return held is not None

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and remove its keys."""
        await self._enter("lease_revoke")
        self.lapse(lease)
        self._raise_if_lost()

    async def watch(
        self, prefix: str, revision: int
    ) -> AsyncIterator[tuple[Change, ...]]:
        """Yield changes under a prefix, the one at `revision` included.

        Raises:
            Failure: STORE_UNAVAILABLE when the store is down, silent for too
                long, or has compacted that revision.
        """
        async for changes in self.watch_range(prefix, find_end(prefix), revision):
            yield changes

    async def watch_range(
        self, start: str, end: str, revision: int
    ) -> AsyncIterator[tuple[Change, ...]]:
        """Yield changes from `start` up to but without `end`, as `watch` does."""
        await self._enter("watch")
        position = self._find_position(revision)
        while True:
            await self._check_watch()
            changes = self._history[position - self._dropped_count :]
            position += len(changes)
            seen = tuple(each for each in changes if start <= each.key < end)
            if seen:
                yield seen
            else:
                await self._wait_for_change()
            if position < self._dropped_count:
                raise Failure(ErrorKind.STORE_UNAVAILABLE, "the watch fell behind")

    def lapse(self, lease: int) -> None:
        """End a lease now, as if it had expired."""
        held = self._leases.pop(lease, None)
        if held is None:
            return
        held.timer.cancel()
        self._remove(sorted(held.keys))

    def read_all(self) -> dict[str, Entry]:
        """Return every entry without counting a call; for tests and oracles."""
        return dict(self._entries)

    async def _enter(self, kind: str) -> None:
        self.calls[kind] += 1
        if self.faults.slow_seconds:
            await asyncio.sleep(self.faults.slow_seconds)
        if self.faults.down:
            raise Failure(ErrorKind.STORE_UNAVAILABLE, "the store is down")

    def _answer(self, swap: SwapResult) -> SwapResult:
        self._raise_if_lost()
        return swap

    def _raise_if_lost(self) -> None:
        if self.faults.take_lost_answer():
            raise Failure(ErrorKind.STORE_ANSWER_LOST, "the answer was lost")

    def _start_timer(self, lease: int, seconds: int) -> asyncio.TimerHandle:
        loop = asyncio.get_running_loop()
        return loop.call_later(seconds, self.lapse, lease)

    def _attach(self, entry: Entry, before: Entry | None) -> None:
        if before is not None and before.lease in self._leases:
            self._leases[before.lease].keys.discard(entry.key)
        if entry.lease:
            self._leases[entry.lease].keys.add(entry.key)

    def _remove(self, keys: Sequence[str]) -> None:
        present = [key for key in keys if key in self._entries]
        if not present:
            return
        self.revision += 1
        for key in present:
            entry = self._entries.pop(key)
            if entry.lease in self._leases:
                self._leases[entry.lease].keys.discard(key)
        self._publish([Change(key, self.revision, None) for key in present])

    def _publish(self, changes: Sequence[Change]) -> None:
        self._history += changes
        excess = len(self._history) - HISTORY_LIMIT
        if excess > 0:
            del self._history[:excess]
            self._dropped_count += excess
        self._changed.set()
        self._changed = asyncio.Event()

    def _find_position(self, revision: int) -> int:
        oldest = self._history[0].revision if self._history else 0
        if self._dropped_count and revision < oldest:
            raise Failure(ErrorKind.STORE_UNAVAILABLE, "that revision is compacted")
        for index, change in enumerate(self._history):
            if change.revision >= revision:
                return self._dropped_count + index
        return self._dropped_count + len(self._history)

    async def _check_watch(self) -> None:
        if self.faults.silent_watches:
            await asyncio.sleep(SILENCE_BOUND_SECONDS)
            raise Failure(ErrorKind.STORE_UNAVAILABLE, "the watch went silent")
        if self.faults.down:
            raise Failure(ErrorKind.STORE_UNAVAILABLE, "the store is down")

    async def _wait_for_change(self) -> None:
        # The timeout lets a waiting watch notice a fault that was switched on.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FAULT_CHECK_SECONDS):
                await self._changed.wait()


def find_end(prefix: str) -> str:
    """Return a string that sorts after every key with the prefix."""
    return prefix + chr(0x10FFFF)

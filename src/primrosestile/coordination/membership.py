"""The store lease of this process, and the processes that hold one.

A process that owns a cell must know, by its own clock, when it may no longer act. The
lease is therefore counted from the time *before* a renewal was sent, since the store
can't have counted from an earlier one. A process that was paused past its end finds the
lease invalid as soon as it runs again.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

import msgspec
import structlog

from primrosestile.clock import read_clock
from primrosestile.coordination.list_entries import ListEntries
from primrosestile.coordination.settled_writes import list_all, put_settled
from primrosestile.errors import Failure
from primrosestile.protocol.store import Change, Entry, Store
from primrosestile.state.decoding import decode_json
from primrosestile.state.jobs import ProcessRecord

PROCESSES_PREFIX = "processes/"
# Renewals are due three times within the time to live.
RENEWALS_PER_LEASE = 3
# Timeout of one renewal, as a share of the time to live. It detects a silent connection
# early enough for one more renewal on a new connection.
RENEWAL_TIMEOUT_SHARE = 0.5
# A process stops acting this long before the store can have let its lease lapse, since
# clocks run at different speeds.
LEASE_MARGIN_SECONDS = 0.25
STORE_RETRY_SECONDS = 0.5
# The longest time between two failed calls: a third of the lease, a call's own timeout,
# and a pause before the retry.
STORE_DOWN_SECONDS = 5.0

_log = structlog.get_logger()


class ProcessLease:
    """One store lease, renewed by a task; all keys that this process owns use it.

    It also tracks whether the store is down: whether a call failed recently and none
    has succeeded since. A failure from before a pause says nothing about the present,
    so it counts for no longer than the time between two calls.
    """

    def __init__(self, store: Store, seconds: int) -> None:
        self._store = store
        self._seconds = seconds
        self._valid_until = 0.0
        self.lease = 0
        self._store_failed_at = -STORE_DOWN_SECONDS
        self.gained = asyncio.Event()
        self.lost = asyncio.Event()
        self.lost.set()

    def is_valid(self) -> bool:
        """Whether the lease is valid now, so that this process may act as an owner."""
        return self.lease != 0 and read_clock() < self._valid_until

    @property
    def store_down(self) -> bool:
        """Whether a call to the store failed recently and none has succeeded since."""
        return read_clock() - self._store_failed_at < STORE_DOWN_SECONDS

    async def run(self) -> None:
        """Acquire and renew the lease until cancelled."""
        while True:
            try:
                await self._gain()
                await self._renew()
            except Failure as failure:
                self._store_failed_at = read_clock()
                _log.warning("process_lease_failed", kind=failure.kind.value)
            self._note_lapse()
            await asyncio.sleep(STORE_RETRY_SECONDS * random.uniform(0.5, 1.5))

    async def _gain(self) -> None:
        asked_at = read_clock()
        lease = await self._store.grant_lease(self._seconds)
        self._extend(asked_at)
        self.lease = lease
        self.lost.clear()
        self.gained.set()

    def _extend(self, asked_at: float) -> None:
        self._store_failed_at = -STORE_DOWN_SECONDS
        self._valid_until = asked_at + self._seconds - LEASE_MARGIN_SECONDS

    async def _renew(self) -> None:
        period = self._seconds / RENEWALS_PER_LEASE
        due_at = read_clock() + period
        while True:
            # No wait when the previous renewal took longer than a period to fail.
            await asyncio.sleep(max(0.0, due_at - read_clock()))
            asked_at = read_clock()
            due_at = asked_at + period
            try:
                async with asyncio.timeout(self._seconds * RENEWAL_TIMEOUT_SHARE):
                    alive = await self._store.keep_lease(self.lease)
            except (Failure, TimeoutError):
                self._store_failed_at = read_clock()
                if not self.is_valid():
                    # Renewals continue: the store may recover before the lease has
                    # lapsed there, and then nothing has to be rebuilt.
                    self._note_pause()
                continue
            if not alive:
                return
            self._extend(asked_at)
            self._note_gain()

    def _note_pause(self) -> None:
        if not self.lost.is_set():
            _log.warning("process_lease_unrenewed")
            self.gained.clear()
            self.lost.set()

    def _note_gain(self) -> None:
        self.lost.clear()
        self.gained.set()

    def _note_lapse(self) -> None:
        self.lease = 0
        self._valid_until = 0.0
        self.gained.clear()
        self.lost.set()

    async def end(self) -> None:
        """Revoke the lease, so that others need not wait for it to lapse."""
        if not self.lease:
            return
        try:
            await self._store.revoke_lease(self.lease)
        except Failure as failure:
            # It lapses by itself; an outage must not keep a process from ending.
            _log.info("process_lease_not_ended", kind=failure.kind.value)
        self._note_lapse()


@dataclass(frozen=True, slots=True)
class _Known:
    record: ProcessRecord
    revision: int


class Directory:
    """The processes that hold a lease, as the store last showed them.

    While the store is down the last list is kept: a process that has died since does
    not answer, and a new one can't have registered.
    """

    def __init__(self, store: Store) -> None:
        self._store = store
        self._known: dict[str, _Known] = {}
        # Processes that hold a lease, but whose records can't be read.
        self._unreadable: set[str] = set()
        self._entries = ListEntries(lambda entry: decode_process(entry.value))
        self._listeners: list[Callable[[], None]] = []
        self.listed = asyncio.Event()

    def records(self, program: str = "") -> list[ProcessRecord]:
        """Return the records of one program's processes, or of all, by name."""
        records = [known.record for _, known in sorted(self._known.items())]
        return [each for each in records if not program or each.program == program]

    def find(self, name: str) -> ProcessRecord | None:
        """Return the record of that name."""
        known = self._known.get(name)
        return known.record if known else None

    def is_unreadable(self, name: str) -> bool:
        """Whether a process holds a lease under a record that can't be read."""
        return name in self._unreadable

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call the listener after each change."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """List and watch until cancelled."""
        while True:
            try:
                revision = await self._list()
                async for changes in self._store.watch(PROCESSES_PREFIX, revision + 1):
                    self._apply(changes)
            except Failure as failure:
                _log.info("directory_watch_broke", kind=failure.kind.value)
            await asyncio.sleep(STORE_RETRY_SECONDS * random.uniform(0.5, 1.5))

    async def _list(self) -> int:
        entries, revision = await list_all(self._store, PROCESSES_PREFIX)
        known, self._known = self._known, {}
        self._unreadable = set()
        for each in entries:
            self._note(each, known)
        self.listed.set()
        self._notify()
        return revision

    def _apply(self, changes: tuple[Change, ...]) -> None:
        for change in changes:
            name = change.key.removeprefix(PROCESSES_PREFIX)
            if change.entry is None:
                self._known.pop(name, None)
                self._unreadable.discard(name)
            else:
                self._note(change.entry, self._known)
        self._notify()

    def _note(self, entry: Entry, known: dict[str, _Known]) -> None:
        """Note the record of a process; what was known of it stays if it is odd."""
        name = entry.key.removeprefix(PROCESSES_PREFIX)
        record = self._entries.read(entry)
        if record is not None:
            self._unreadable.discard(name)
            self._known[name] = _Known(record, entry.mod_revision)
            return
        self._unreadable.add(name)
        if name in known:
            self._known[name] = known[name]

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()


def decode_process(value: bytes) -> ProcessRecord:
    """Return the record in a stored value."""
    record: ProcessRecord = decode_json(value, ProcessRecord)
    return record


class Registration:
    """Keeps this process's record in the store, under its lease."""

    def __init__(
        self, store: Store, lease: ProcessLease, record: ProcessRecord
    ) -> None:
        self._store = store
        self._lease = lease
        self.record = record
        self._written = asyncio.Event()

    async def run(self) -> None:
        """Register again after each loss of the lease, until cancelled."""
        while True:
            await self._lease.gained.wait()
            try:
                await self._write()
                self._written.set()
                await self._lease.lost.wait()
                self._written.clear()
            except Failure as failure:
                _log.warning("registration_failed", kind=failure.kind.value)
                await asyncio.sleep(STORE_RETRY_SECONDS * random.uniform(0.5, 1.5))

    async def _write(self) -> None:
        key = PROCESSES_PREFIX + self.record.name
        value = msgspec.json.encode(self.record)
        current = await self._store.get(key)
        # A record of an earlier incarnation with the same name is replaced: its lease
        # may still have seconds to run, but this process has the name now.
        expected = current.mod_revision if current else 0
        await put_settled(self._store, key, value, expected, self._lease.lease)

    async def announce_leaving(self) -> None:
        """Mark the process as leaving, so that peers hand it nothing more."""
        self.record = replace(self.record, leaving=True)
        if not self._lease.is_valid():
            return
        try:
            await self._write()
        except Failure as failure:
            _log.warning("leaving_not_announced", kind=failure.kind.value)

"""The owner's copy of the job records of one cell.

An entry creates a record under `jobs/<cell>/` and may request its cancellation; the
cell's owner makes all other changes. The owner keeps a copy of each record with its
revision, so that each change is one compare-and-swap on the state on which it was
decided. A failed swap means that another process has written (a caller's cancellation,
or a newer owner); the copy is refreshed and the decision made again.
"""

import asyncio
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import msgspec
import structlog

from primrosestile.coordination.list_entries import ListEntries
from primrosestile.coordination.settled_writes import (
    delete_settled,
    list_all,
    put_settled,
)
from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.store import Change, Entry, Store
from primrosestile.state.decoding import decode_json
from primrosestile.state.jobs import JOBS_PREFIX, JobRecord, JobState

# How long the record of an ended job is kept. A night's renders are checked the next
# morning; at 40,000 jobs a day and 2 KB each this is below 100 MB. It is longer than
# the life of a claim: if a record were removed before its claim, a repeated submission
# would create the job again.
RETENTION_SECONDS = 28 * 3600.0
WATCH_RETRY_SECONDS = 0.5

_log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class StoredJob:
    """A record and the store revision at which it was read or written."""

    record: JobRecord
    revision: int


def make_job_key(job_id: str) -> str:
    """Return the store key of a job; the cell's name is part of its id."""
    cell, _, _ = job_id.rpartition(".")
    return f"{JOBS_PREFIX}{cell}/{job_id}"


def decode_job(value: bytes) -> JobRecord:
    """Return the record in a stored value.

    Raises:
        Undecodable: When it is no job's.
    """
    record: JobRecord = decode_json(value, JobRecord)
    return record


class JobTable:
    """Records of one cell, read and written by its owner."""

    def __init__(self, store: Store, cell: str) -> None:
        self._store = store
        self._prefix = f"{JOBS_PREFIX}{cell}/"
        self._stored: dict[str, StoredJob] = {}
        self._entries = ListEntries(lambda entry: decode_job(entry.value))
        self._by_state: dict[JobState, set[str]] = {state: set() for state in JobState}
        self._by_worker: dict[str, set[str]] = {}
        self._revision = 0

    def __iter__(self) -> Iterator[JobRecord]:
        return iter([stored.record for stored in self._stored.values()])

    def list_in(self, state: JobState) -> list[JobRecord]:
        """Return the records in one state."""
        return [self._stored[job_id].record for job_id in self._by_state[state]]

    def count_in(self, state: JobState) -> int:
        """Return how many records are in one state."""
        return len(self._by_state[state])

    def list_on(self, worker: str) -> list[JobRecord]:
        """Return the records of started jobs with a member on a worker.

        Called at each poll of each worker; a scan of a cell's few thousand records
        would cost a placer with 1,667 workers several cores.
        """
        return [
            self._stored[job_id].record for job_id in self._by_worker.get(worker, ())
        ]

    def _put(self, stored: StoredJob) -> None:
        """Put a record into the copy unless the copy is newer.

        The watch can deliver a caller's cancellation before the answer to the owner's
        own write arrives. Overwriting it with the older record would lose the
        cancellation, and the job would run to its end.
        """
        record = stored.record
        job_id = record.spec.job_id
        known = self._stored.get(job_id)
        if known is not None and known.revision >= stored.revision:
            return
        self._drop(job_id)
        self._stored[job_id] = stored
        self._by_state[record.state].add(job_id)
        if record.state is JobState.STARTED:
            for member in record.members:
                self._by_worker.setdefault(member.worker, set()).add(job_id)

    def _drop(self, job_id: str) -> None:
        stored = self._stored.pop(job_id, None)
        if stored is None:
            return
        self._by_state[stored.record.state].discard(job_id)
        if stored.record.state is JobState.STARTED:
            for member in stored.record.members:
                self._by_worker[member.worker].discard(job_id)

    def find(self, job_id: str) -> JobRecord | None:
        """Return the copy of a record."""
        stored = self._stored.get(job_id)
        return stored.record if stored else None

    async def load(self) -> None:
        """Read every record of the cell.

        Raises:
            Failure: STORE_UNAVAILABLE; the copy is then unchanged.
        """
        entries, self._revision = await list_all(self._store, self._prefix)
        for job_id in list(self._stored):
            self._drop(job_id)
        for entry in entries:
            self._note(entry)

    def _note(self, entry: Entry) -> JobRecord | None:
        """Put a record into the copy; return None if nothing is known of its job.

        Another writer's value in place of a known record does not change what is known;
        the owner's next write replaces it.
        """
        record = self._entries.read(entry)
        if record is None:
            record = self.find(_find_job_id(entry))
        if record is not None:
            self._put(StoredJob(record, entry.mod_revision))
        return record

    async def refresh(self, job_id: str) -> JobRecord | None:
        """Read one record again."""
        entry = await self._store.get(make_job_key(job_id))
        if entry is None:
            self._drop(job_id)
            return None
        return self._note(entry)

    async def write(self, record: JobRecord, base: JobRecord) -> bool:
        """Write a record by compare-and-swap on the revision of `base`.

        START_RECORD_COMPARED: if any process has changed the record since it was read,
        nothing is written and this returns False, with the copy refreshed. That
        includes a change that the watch has already merged into the copy: comparing the
        copy's revision alone would overwrite a caller's cancellation.

        Args:
            record: The new record.
            base: The record from which it was made, as returned by this table.

        Raises:
            Failure: STORE_UNAVAILABLE, or STORE_ANSWER_LOST when it is not known
                whether it was written.
        """
        job_id = record.spec.job_id
        value = msgspec.json.encode(record)
        stored = self._stored.get(job_id)
        if stored is None or stored.record is not base:
            return False
        expected = stored.revision
        swap = await put_settled(self._store, make_job_key(job_id), value, expected)
        if swap.done:
            self._put(StoredJob(record, swap.revision))
            return True
        if swap.current is not None:
            self._note(swap.current)
        else:
            self._drop(job_id)
        return False

    async def remove_expired(self, now: float) -> None:
        """Remove the records of jobs that ended more than RETENTION_SECONDS ago."""
        for stored in list(self._stored.values()):
            record = stored.record
            ended = record.state.is_final and record.finished_at
            if ended and now - record.finished_at > RETENTION_SECONDS:
                job_id = record.spec.job_id
                await delete_settled(self._store, make_job_key(job_id), stored.revision)
                self._drop(job_id)

    async def follow(self, on_change: Callable[[JobRecord], None]) -> None:
        """Merge changes of other processes until cancelled.

        A watch that ends may have missed a job that was just accepted, and an urgent
        job would then wait although accelerators are free. So everything is listed
        again each time.
        """
        while True:
            try:
                watch = self._store.watch(self._prefix, self._revision + 1)
                async for changes in watch:
                    self._merge(changes, on_change)
            except Failure as failure:
                _log.info("jobs_watch_broke", kind=failure.kind.value)
            await asyncio.sleep(WATCH_RETRY_SECONDS * random.uniform(0.5, 1.5))
            await self._list_again(on_change)

    async def _list_again(self, on_change: Callable[[JobRecord], None]) -> None:
        try:
            entries, self._revision = await list_all(self._store, self._prefix)
        except Failure as failure:
            if failure.kind is not ErrorKind.STORE_UNAVAILABLE:
                raise
            return
        for entry in entries:
            self._merge_entry(entry, on_change)

    def _merge(
        self, changes: tuple[Change, ...], on_change: Callable[[JobRecord], None]
    ) -> None:
        for change in changes:
            self._revision = max(self._revision, change.revision)
            if change.entry is not None:
                self._merge_entry(change.entry, on_change)

    def _merge_entry(
        self, entry: Entry, on_change: Callable[[JobRecord], None]
    ) -> None:
        """Merge a record unless the copy is as new; a watch may lag."""
        known = self._stored.get(_find_job_id(entry))
        if known is not None and known.revision >= entry.mod_revision:
            return
        record = self._note(entry)
        if record is not None:
            on_change(record)


def _find_job_id(entry: Entry) -> str:
    return entry.key.rpartition("/")[2]

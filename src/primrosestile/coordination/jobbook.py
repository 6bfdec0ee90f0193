"""The owner's copy of the job records of one cell.

The records under `jobs/<cell>/` are few and changed by few: an entry creates one
and may ask for its cancellation, the cell's owner does the rest. The owner keeps
a copy with the revision of each, so that each step of a job is one compare-and-
swap over exactly the state on which it was decided. A swap that fails means that
someone else has written (a caller's cancellation, or a newer owner); the copy is
refreshed and the step decided again.
"""

import asyncio
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import msgspec
import structlog

from primrosestile.coordination.writing import (
    delete_settled,
    list_all,
    put_settled,
)
from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.store import Change, Entry, Store
from primrosestile.state.jobs import JOBS_PREFIX, JobRecord, JobState

# How long the record of an ended job can be read. A night's renders are looked
# at the next morning; at 40,000 jobs a day and 2 KB each this is below 100 MB. It
# is longer than claims live: a job whose record went before its claim would be
# made anew by a caller that repeats its submission.
RETENTION_SECONDS = 28 * 3600.0
WATCH_RETRY_SECONDS = 0.5

_log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class Booked:
    """A record and the store revision at which it was read or written."""

    record: JobRecord
    revision: int


def make_job_key(job_id: str) -> str:
    """Return the store key of a job; the cell's name is part of its id."""
    cell, _, _ = job_id.rpartition(".")
    return f"{JOBS_PREFIX}{cell}/{job_id}"


def decode_job(value: bytes) -> JobRecord:
    """Return the record in a stored value."""
    return msgspec.json.decode(value, type=JobRecord)


class JobBook:
    """Records of one cell, read and written by its owner."""

    def __init__(self, store: Store, cell: str) -> None:
        self._store = store
        self._prefix = f"{JOBS_PREFIX}{cell}/"
        self._booked: dict[str, Booked] = {}
        self._by_state: dict[JobState, set[str]] = {state: set() for state in JobState}
        self._by_worker: dict[str, set[str]] = {}
        self._revision = 0

    def __iter__(self) -> Iterator[JobRecord]:
        return iter([booked.record for booked in self._booked.values()])

    def list_in(self, state: JobState) -> list[JobRecord]:
        """Return the records in one state."""
        return [self._booked[job_id].record for job_id in self._by_state[state]]

    def count_in(self, state: JobState) -> int:
        """Return how many records are in one state."""
        return len(self._by_state[state])

    def list_on(self, worker: str) -> list[JobRecord]:
        """Return the records of started jobs with a member on a worker.

        Asked at each round of each worker; a scan of a cell's few thousand
        records would cost a placer with 1,667 workers several cores.
        """
        return [
            self._booked[job_id].record for job_id in self._by_worker.get(worker, ())
        ]

    def _put(self, booked: Booked) -> None:
        """Take a record in unless the copy is newer.

        The watch can tell of a caller's cancellation before the answer to the
        owner's own write arrives. With the older record put over it the
        cancellation would be forgotten, and the job would run to its end.
        """
        record = booked.record
        job_id = record.spec.job_id
        known = self._booked.get(job_id)
        if known is not None and known.revision >= booked.revision:
            return
        self._drop(job_id)
        self._booked[job_id] = booked
        self._by_state[record.state].add(job_id)
        if record.state is JobState.STARTED:
            for member in record.members:
                self._by_worker.setdefault(member.worker, set()).add(job_id)

    def _drop(self, job_id: str) -> None:
        booked = self._booked.pop(job_id, None)
        if booked is None:
            return
        self._by_state[booked.record.state].discard(job_id)
        if booked.record.state is JobState.STARTED:
            for member in booked.record.members:
                self._by_worker[member.worker].discard(job_id)

    def find(self, job_id: str) -> JobRecord | None:
        """Return the copy of a record."""
        booked = self._booked.get(job_id)
        return booked.record if booked else None

    async def load(self) -> None:
        """Read every record of the cell.

        Raises:
            Failure: STORE_UNAVAILABLE; the copy is then as it was.
        """
        entries, self._revision = await list_all(self._store, self._prefix)
        for job_id in list(self._booked):
            self._drop(job_id)
        for entry in entries:
            self._note(entry)

    def _note(self, entry: Entry) -> JobRecord:
        record = decode_job(entry.value)
        self._put(Booked(record, entry.mod_revision))
        return record

    async def refresh(self, job_id: str) -> JobRecord | None:
        """Read one record again."""
        entry = await self._store.get(make_job_key(job_id))
        if entry is None:
            self._drop(job_id)
            return None
        return self._note(entry)

    async def write(self, record: JobRecord, base: JobRecord) -> bool:
        """Write over the revision of the record that was decided on.

        START_RECORD_COMPARED: a record changed by anyone since it was read makes
        this return False, with the copy refreshed, and nothing is written. That
        includes a change that the watch has taken into the copy meanwhile: going
        by the copy's revision alone, a caller's cancellation would be overwritten.

        Args:
            record: What is to stand.
            base: The record from which it was made, as this book gave it out.

        Raises:
            Failure: STORE_UNAVAILABLE, or STORE_ANSWER_LOST when it is not known
                whether it was written.
        """
        job_id = record.spec.job_id
        value = msgspec.json.encode(record)
        booked = self._booked.get(job_id)
        if booked is None or booked.record is not base:
            return False
        expected = booked.revision
        swap = await put_settled(self._store, make_job_key(job_id), value, expected)
        if swap.done:
            self._put(Booked(record, swap.revision))
            return True
        if swap.current is not None:
            self._note(swap.current)
        else:
            self._drop(job_id)
        return False

    async def forget_old(self, now: float) -> None:
        """Remove the records of jobs that ended long ago."""
        for booked in list(self._booked.values()):
            record = booked.record
            ended = record.state.is_final and record.finished_at
            if ended and now - record.finished_at > RETENTION_SECONDS:
                job_id = record.spec.job_id
                await delete_settled(self._store, make_job_key(job_id), booked.revision)
                self._drop(job_id)

    async def follow(self, on_change: Callable[[JobRecord], None]) -> None:
        """Take in others' changes until cancelled.

        A watch that breaks or goes silent may have missed a job that was just
        accepted. One would notice an urgent job that waits with accelerators
        free. So after each break everything is listed again.
        """
        while True:
            try:
                watch = self._store.watch(self._prefix, self._revision + 1)
                async for changes in watch:
                    self._take_in(changes, on_change)
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
            self._take_entry(entry, on_change)

    def _take_in(
        self, changes: tuple[Change, ...], on_change: Callable[[JobRecord], None]
    ) -> None:
        for change in changes:
            self._revision = max(self._revision, change.revision)
            if change.entry is not None:
                self._take_entry(change.entry, on_change)

    def _take_entry(self, entry: Entry, on_change: Callable[[JobRecord], None]) -> None:
        """Take in a record unless the copy is as new; a watch may lag."""
        job_id = entry.key.rpartition("/")[2]
        known = self._booked.get(job_id)
        if known is None or known.revision < entry.mod_revision:
            on_change(self._note(entry))

"""Keeps the records of ended jobs and removes them once they have expired.

A caller may ask for the state of a job for some time after its end, and may submit the
job again under its id seconds after that. So a small record stays until neither can
happen any more.

The age of a record is counted by the owner's own monotonic clock, from when the owner
wrote or read it. The time of day in the record is for people: another process wrote
it, on a VM whose clock may be minutes off, or before it knew the time. A record judged
by that would be removed while callers still query its job, and the answer would be
that there is no such job; `last_record_removed` would show a `kept_for` below the
guaranteed time. A new owner therefore keeps the records that it finds for the whole
time again.
"""

import asyncio

import structlog

from primrosestile.clock import read_clock
from primrosestile.coordination.work.keys import (
    ENDED_PREFIX,
    OWNER_KEY,
    make_ended_key,
)
from primrosestile.coordination.work.term import Term
from primrosestile.errors import Failure
from primrosestile.protocol.store import Entry
from primrosestile.protocol.transactions import (
    CHANGE_LIMIT,
    Condition,
    TransactionalStore,
)
from primrosestile.state.decoding import Undecodable
from primrosestile.state.work import decode_ended

# A record is kept this much longer than a job's state is guaranteed.
KEEP_MARGIN_SECONDS = 60.0
# A new owner reads the records of earlier ones this long after its start: they are not
# urgent, and at the start the link is needed for what is.
READ_EARLIER_DELAY_SECONDS = 60.0
# Pause between pages of them; a page of 500 such records has about 75 kB.
PAGE_PAUSE_SECONDS = 1.0
REMOVALS_PER_CHANGE = CHANGE_LIMIT - 1

_log = structlog.get_logger()


class EndedJobs:
    """Jobs that are known to have ended, by id."""

    def __init__(
        self, store: TransactionalStore, term: Term, status_retention_seconds: float
    ) -> None:
        self._store = store
        self._term = term
        self._keep_seconds = status_retention_seconds + KEEP_MARGIN_SECONDS
        # When each was first known, on the loop's clock.
        self._known_since: dict[str, float] = {}
        self._began = read_clock()
        self._earlier_read = False

    def __contains__(self, job_id: str) -> bool:
        """Whether a job has ended for good.

        A list that was requested before the job's keys were removed may arrive after
        that. Admitting the job from it as new would start its tasks again.
        """
        return job_id in self._known_since

    def add_job(self, job_id: str) -> None:
        """Add a job whose last record is in the store."""
        self._known_since.setdefault(job_id, read_clock())

    async def clean(self) -> None:
        """Remove expired records."""
        try:
            await self._read_earlier()
            await self._remove_old()
        except Failure as failure:
            _log.warning("records_not_removed", reason=str(failure))

    async def _read_earlier(self) -> None:
        """Read the records that earlier owners wrote, once."""
        if (
            self._earlier_read
            or read_clock() - self._began < READ_EARLIER_DELAY_SECONDS
        ):
            return
        after = ""
        while True:
            page = await self._store.list(ENDED_PREFIX, after)
            for entry in page.entries:
                self._note_earlier(entry)
            if not page.more or not page.entries:
                break
            after = page.entries[-1].key
            await asyncio.sleep(PAGE_PAUSE_SECONDS)
        self._earlier_read = True

    def _note_earlier(self, entry: Entry) -> None:
        """Note a record; an unreadable one is another writer's, and is not removed."""
        try:
            decode_ended(entry.value)
        except Undecodable as error:
            _log.warning("record_unreadable", key=entry.key, reason=str(error))
            return
        self.add_job(entry.key.removeprefix(ENDED_PREFIX))

    async def _remove_old(self) -> None:
        before = read_clock() - self._keep_seconds
        old = [each for each, since in self._known_since.items() if since < before]
        for begin in range(0, len(old), REMOVALS_PER_CHANGE):
            job_ids = old[begin : begin + REMOVALS_PER_CHANGE]
            keys = [make_ended_key(job_id) for job_id in job_ids]
            condition = Condition(OWNER_KEY, self._term.fence)
            done = await self._store.commit([condition], removals=keys)
            if not done.done:
                return
            for job_id in job_ids:
                self._note_removed(job_id)

    def _note_removed(self, job_id: str) -> None:
        """Log that a job is unknown from now on, and how long its record was kept."""
        known_since = self._known_since.pop(job_id)
        _log.info(
            "last_record_removed",
            job_id=job_id,
            kept_for=round(read_clock() - known_since, 3),
            fence=self._term.fence,
        )

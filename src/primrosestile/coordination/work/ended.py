"""What is left of ended jobs: known to the owner, and removed in time.

A caller may ask for the state of a job for some time after its end, and may hand
the job in again under its id seconds after it has ended. So a small record stays,
and is removed once neither can be.

How long a record has stood is counted by its owner's own steady clock, from when the
owner wrote or read it. The time of day in a record is for people: another process wrote
it, on a VM whose clock may be minutes off, or before it knew the time. A record that
was judged by that would be removed while its job is still asked for, and the caller
would be told that there is no such job; one would see `last_record_removed` with
`kept_for` short of the promise. A new owner therefore keeps what it finds for the whole
time again.
"""

import asyncio

import msgspec
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
from primrosestile.state.work import decode_ended

# How long after a job's state may be forgotten its record is kept.
KEEP_MARGIN_SECONDS = 60.0
# A new owner reads what earlier ones left this long after its start: none of it is
# urgent, and at its start the link is needed for what is.
READ_LEFT_AFTER_SECONDS = 60.0
# Between pages of it; a page of 500 such records has about 75 kB.
PAGE_PAUSE_SECONDS = 1.0
REMOVALS_PER_CHANGE = CHANGE_LIMIT - 1

_log = structlog.get_logger()


class EndedJobs:
    """Jobs that are known to have ended, by id."""

    def __init__(
        self, store: TransactionalStore, term: Term, status_kept: float
    ) -> None:
        self._store = store
        self._term = term
        self._kept = status_kept + KEEP_MARGIN_SECONDS
        # Since when we know of each, on the loop's clock.
        self._known_since: dict[str, float] = {}
        self._began = read_clock()
        self._left_read = False

    def __contains__(self, job_id: str) -> bool:
        """Whether a job has ended for good.

        A list that was asked for before the job's keys were removed may come after
        that. Were the job taken from it as new, its tasks would be started again.
        """
        return job_id in self._known_since

    def note(self, job_id: str) -> None:
        """Take in that a job's last record stands."""
        self._known_since.setdefault(job_id, read_clock())

    async def clean(self) -> None:
        """Remove the records that nobody can ask for any more."""
        try:
            await self._read_left()
            await self._remove_old()
        except Failure as failure:
            _log.warning("records_not_removed", reason=str(failure))

    async def _read_left(self) -> None:
        """Read once what earlier owners have left."""
        if self._left_read or read_clock() - self._began < READ_LEFT_AFTER_SECONDS:
            return
        after = ""
        while True:
            page = await self._store.list(ENDED_PREFIX, after)
            for entry in page.entries:
                self._take_left(entry)
            if not page.more or not page.entries:
                break
            after = page.entries[-1].key
            await asyncio.sleep(PAGE_PAUSE_SECONDS)
        self._left_read = True

    def _take_left(self, entry: Entry) -> None:
        """Take in a record; one that can't be read is another writer's, and stays."""
        try:
            decode_ended(entry.value)
        except msgspec.MsgspecError as error:
            _log.warning("record_unreadable", key=entry.key, reason=str(error))
            return
        self.note(entry.key.removeprefix(ENDED_PREFIX))

    async def _remove_old(self) -> None:
        before = read_clock() - self._kept
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
        """Log that a job is unknown from now on, and what that rests on."""
        known_since = self._known_since.pop(job_id)
        _log.info(
            "last_record_removed",
            job_id=job_id,
            kept_for=round(read_clock() - known_since, 3),
            fence=self._term.fence,
        )

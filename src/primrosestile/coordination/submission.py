"""Accepts, shows and cancels gang jobs at an entry.

A job is accepted when its record is in the store, before the caller reads 202. A caller
that lost the answer submits again under the same request id, perhaps at another entry,
which might choose another cell. So a claim first binds the request id to a job id, and
the record is created under that id only if it is absent.
"""

import asyncio
import random
from dataclasses import dataclass, replace

import msgspec
import structlog

from primrosestile.clock import read_wall_clock
from primrosestile.coordination.claims import Claims
from primrosestile.coordination.job_table import decode_job, make_job_key
from primrosestile.coordination.settled_writes import put_settled
from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.store import Entry, Store
from primrosestile.state.decoding import Undecodable
from primrosestile.state.jobs import (
    JobRecord,
    JobSpec,
    JobState,
    Reason,
    ReasonCode,
)

# Several writers may change one record: its owner and a few impatient callers.
CANCEL_TRIES = 8
# A move in progress needs two more writes. It takes longer only when its owner dies
# between them, and then the caller is told to retry.
MOVE_WAIT_SECONDS = 0.25
# A job moves at most every half minute and is looked up within milliseconds; a longer
# chain means a job that has been waiting for hours.
MOVES_LIMIT = 1000

_log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class Submission:
    """A job as submitted by its caller; the id's cell is chosen already.

    Attributes:
        spec: With the id that is used if this is the first submission.
        request_id: The caller's own id; empty when it gave none.
        fingerprint: Distinguishes a repeated submission from another one.
    """

    spec: JobSpec
    request_id: str
    fingerprint: str


def make_job_id(cell: str) -> str:
    """Return a new id within a cell."""
    return f"{cell}.{random.SystemRandom().getrandbits(64):016x}"


class Submissions:
    """Gang jobs of one entry process."""

    def __init__(self, store: Store, claims: Claims) -> None:
        self._store = store
        self._claims = claims

    async def submit(self, submission: Submission) -> str:
        """Accept a job and return its id; it is durable when this returns.

        Raises:
            Failure: CONFLICT when the request id was used for another job, and
                the store's kinds.
        """
        spec = submission.spec
        if submission.request_id:
            job_id = await self._claims.claim_job(
                spec.organisation,
                submission.request_id,
                submission.fingerprint,
                spec.job_id,
            )
            spec = replace(spec, job_id=job_id)
        record = JobRecord(
            spec=spec, state=JobState.ACCEPTED, accepted_at=read_wall_clock()
        ).with_reason(Reason(ReasonCode.ACCEPTED, read_wall_clock()))
        value = msgspec.json.encode(record)
        # An existing record is the same job, accepted before.
        await put_settled(self._store, make_job_key(spec.job_id), value, 0)
        _log.info("job_accepted", job_id=spec.job_id, organisation=spec.organisation)
        return spec.job_id

    async def find(self, job_id: str) -> JobRecord:
        """Return a job's record.

        Raises:
            Failure: NOT_FOUND, or STORE_UNAVAILABLE.
        """
        return _read_job(await self._follow(job_id))

    async def _follow(self, job_id: str) -> Entry:
        """Return the record that an id leads to; the job may have moved."""
        for _ in range(MOVES_LIMIT):
            entry = await self._store.get(make_job_key(job_id))
            if entry is None:
                raise Failure(ErrorKind.NOT_FOUND, f"no job {job_id}")
            record = _read_job(entry)
            if record.state is not JobState.MOVED:
                return entry
            job_id = record.moved_to
        raise Failure(ErrorKind.CONFLICT, f"{job_id} keeps moving")

    async def cancel(self, job_id: str) -> JobRecord:
        """Ask for a job's cancellation; its cell's owner carries it out.

        Raises:
            Failure: NOT_FOUND, IN_PROGRESS while the job moves or others keep
                writing its record, and the store's kinds.
        """
        for _ in range(CANCEL_TRIES):
            entry = await self._follow(job_id)
            record = _read_job(entry)
            if record.state.is_final or record.cancel_requested:
                return record
            if record.state is JobState.MOVING:
                # CANCEL_WAITS_FOR_MOVE: the new record may exist already, and a
                # cancellation in this one would then have no effect.
                await asyncio.sleep(MOVE_WAIT_SECONDS)
                continue
            asked = replace(record, cancel_requested=True)
            value = msgspec.json.encode(asked)
            swap = await put_settled(self._store, entry.key, value, entry.mod_revision)
            if swap.done:
                return asked
        raise Failure(ErrorKind.IN_PROGRESS, f"{job_id} is being moved or changed")


def _read_job(entry: Entry) -> JobRecord:
    """Return a stored job.

    Raises:
        Failure: INTERNAL when another writer's value is in its place.
    """
    try:
        return decode_job(entry.value)
    except Undecodable as error:
        _log.warning("record_unreadable", key=entry.key, reason=str(error))
        raise Failure(ErrorKind.INTERNAL, "the job's record can't be read") from error

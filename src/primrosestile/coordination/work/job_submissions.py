"""Handles callers' submissions, cancellations and state queries.

A job is accepted once it is in the store. It is reported as not accepted only if the
store has refused the write or nothing was sent to it; after a lost answer the record is
read back, and while that fails the outcome is reported as unknown. A job that is
submitted again under its id remains one job, even if it has ended meanwhile and only
its last record is left. A cancel that finds no job bars the id (`tombstones`), so that
none gets it for as long as an earlier submission may be under way.
"""

import asyncio
from collections.abc import Callable, Sequence

import structlog

from primrosestile.clock import read_wall_clock
from primrosestile.coordination.work.keys import (
    make_cancel_key,
    make_ended_key,
    make_job_key,
    make_latest_request,
    make_progress_key,
    make_waiting,
)
from primrosestile.coordination.work.load_gate import OpenGate, SubmissionGate
from primrosestile.coordination.work.pending_counts import PendingCounts
from primrosestile.coordination.work.policy_watch import PolicyWatch
from primrosestile.coordination.work.record_reader import RecordReader, UnreadableRecord
from primrosestile.coordination.work.store_check import StoreCheck
from primrosestile.coordination.work.tombstones import Tombstones, list_tombstone_keys
from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.store import Entry
from primrosestile.protocol.transactions import (
    CommitResult,
    Condition,
    TransactionalStore,
    Write,
)
from primrosestile.state.decoding import Undecodable
from primrosestile.state.policy import Policy, Queue
from primrosestile.state.work import (
    Cancellation,
    EndedRecord,
    JobState,
    Submission,
    decode_ended,
    decode_progress,
    decode_submission,
    encode_record,
)

# A change of policy between its read and the write costs one try; operators write a few
# versions a second at the most.
POLICY_TRIES = 6
# How long a caller waits to learn that a store that has just failed is still away. One
# that is sixty times slower than usual answers within 0.3 s.
CHECK_SECONDS = 0.4
# A refused submission brings the entries that it met, such as the whole policy. More is
# not transferred: over 5 Mbit/s it would take the caller's whole deadline.
MAX_FOUND_BYTES = 100_000
# After a lost answer the record is read back this many times before the outcome is
# reported as unknown.
READ_BACK_TRIES = 3
READ_BACK_SECONDS = 0.1
# A job may land after a cancel has looked for it; it does so once.
CANCEL_TRIES = 3

# Failures by which a submission is settled, whatever the store did with its write.
_SETTLED = frozenset({ErrorKind.CONFLICT, ErrorKind.CANCELLED})

_log = structlog.get_logger()


class JobSubmissions:
    """Stores callers' jobs and cancellations, and reads the state of jobs."""

    def __init__(
        self,
        store: TransactionalStore,
        policies: PolicyWatch,
        policy_key: str,
        gate: SubmissionGate | None = None,
    ) -> None:
        self._store = store
        self._policies = policies
        self._policy_key = policy_key
        self._gate = gate or OpenGate()
        self._pending = PendingCounts(store)
        self._reader = RecordReader(store)
        self._check = StoreCheck(self._reader)
        self._tombstones = Tombstones(store)

    async def submit(
        self, job_id: str, make: Callable[[Policy], Submission]
    ) -> Submission:
        """Store a job and return what is stored under its id.

        Args:
            job_id: Chosen by the caller.
            make: Checks the call under a policy and returns the job.

        Raises:
            Failure: STORE_UNAVAILABLE when it was certainly not accepted,
                STORE_ANSWER_LOST when that is unknown, CONFLICT when another
                job has the id, CANCELLED when its caller cancelled the id before, and
                whatever `make` or the gate raises.
        """
        key = make_job_key(job_id)
        ended_key = make_ended_key(job_id)
        if self._policies.doubtful:
            asked_at = await self.check_store(CHECK_SECONDS)
            self._policies.record_answer(asked_at)
        for _ in range(POLICY_TRIES):
            policy = self._policies.require()
            submission = make(policy)
            await self._check_gate(submission, policy)
            tombstones = list_tombstone_keys(submission, policy)
            conditions = [
                Condition(key, 0),
                # Otherwise a call repeated after the job's end would run it again.
                Condition(ended_key, 0),
                Condition(self._policy_key, policy.revision),
                *(Condition(each, 0) for each in tombstones),
            ]
            writes = [
                Write(key, encode_record(submission)),
                make_latest_request(job_id),
                make_waiting(job_id, submission.queue),
            ]
            try:
                outcome = await self._store.commit(
                    conditions, writes, found_bytes=MAX_FOUND_BYTES
                )
            except Failure as failure:
                self._policies.record_failure()
                if failure.kind is not ErrorKind.STORE_ANSWER_LOST:
                    raise
                return await self._read_back(job_id, submission, tombstones)
            if outcome.done:
                return submission
            if outcome.omitted:
                known = await self._find_known(job_id, submission)
                if known is not None:
                    return known
                await self._check_tombstones(tombstones)
                await self._policies.wait_for_newer(policy.revision, CHECK_SECONDS)
                continue
            found = self._apply_found(outcome)
            if key in found:
                stored = self._decode_submission(found[key], job_id)
                self._check_same(stored, submission)
                return stored
            if ended_key in found:
                ended = self._reader.decode(found[ended_key], decode_ended)
                self._check_same(ended, submission)
                return submission
            if not found.keys().isdisjoint(tombstones):
                raise _make_cancelled()
        raise Failure(ErrorKind.STORE_UNAVAILABLE, "the policy keeps changing")

    async def _check_gate(self, submission: Submission, policy: Policy) -> None:
        """Refuse a job under load, unless something stands under its id.

        An earlier attempt may have been accepted although its answer was lost. Unless
        the store shows that it was not, the job goes the usual way.

        Raises:
            Failure: The refusal.
        """
        refuse = self._gate.judge(submission, policy)
        if refuse is None:
            return
        try:
            async with asyncio.timeout(CHECK_SECONDS):
                known = await self._find_known(submission.job_id, submission)
        except (Failure, TimeoutError):
            return
        if known is None:
            raise refuse()

    def _apply_found(self, outcome: CommitResult) -> dict[str, Entry]:
        """Apply a newer policy; return the entries found, by key."""
        found = {entry.key: entry for entry in outcome.found}
        policy = found.get(self._policy_key)
        if policy is not None:
            self._policies.apply_version(policy)
        return found

    async def _read_back(
        self, job_id: str, submission: Submission, tombstones: Sequence[str]
    ) -> Submission:
        for _ in range(READ_BACK_TRIES):
            await asyncio.sleep(READ_BACK_SECONDS)
            try:
                known = await self._find_known(job_id, submission)
                if known is not None:
                    return known
                await self._check_tombstones(tombstones)
            except Failure as failure:
                if failure.kind in _SETTLED:
                    raise
                _log.warning("read_back_failed", job_id=job_id, reason=str(failure))
        raise Failure(ErrorKind.STORE_ANSWER_LOST, "the store did not answer the write")

    async def _find_known(
        self, job_id: str, submission: Submission
    ) -> Submission | None:
        """Return what is stored under a job's id, or None when there is nothing.

        Raises:
            Failure: CONFLICT when another job has the id, and whatever a read raises.
        """
        stored = await self.find(job_id)
        if stored is not None:
            self._check_same(stored, submission)
            return stored
        ended = await self._find_ended(job_id)
        if ended is not None:
            self._check_same(ended, submission)
            return submission
        return None

    async def _check_tombstones(self, keys: Sequence[str]) -> None:
        """Fail if one of the tombstones stands: a job that isn't there never will be.

        Raises:
            Failure: CANCELLED, and whatever a read raises.
        """
        for key in keys:
            if await self._reader.get(key) is not None:
                raise _make_cancelled()

    async def check_store(self, seconds: float) -> float:
        """Fail unless the store answers a read within a time; return when it was sent.

        Raises:
            Failure: STORE_UNAVAILABLE when it does not.
        """
        return await self._check.run(seconds)

    async def find(self, job_id: str) -> Submission | None:
        """Return an open job as accepted, or None when there is none."""
        entry = await self._reader.get(make_job_key(job_id))
        return None if entry is None else self._decode_submission(entry, job_id)

    def _decode_submission(self, entry: Entry, job_id: str) -> Submission:
        def decode(value: bytes) -> Submission:
            submission = decode_submission(value)
            if submission.job_id != job_id:
                raise Undecodable("the record is another job's")
            return submission

        return self._reader.decode(entry, decode)

    async def _find_ended(self, job_id: str, recent: bool = True) -> EndedRecord | None:
        entry = await self._reader.get(make_ended_key(job_id), recent)
        return None if entry is None else self._reader.decode(entry, decode_ended)

    async def read_state(self, job_id: str, queue: Queue) -> JobState | None:
        """Return the state of a job of a queue; None when there is none.

        Most queries come after the job has ended. That state is final, so a stale read
        of it is correct, at a tenth of the cost; if it finds nothing, the current keys
        are read. The owner replaces the other keys by the last record in one change, so
        a job that has neither progress nor a submission either ended between these
        reads or never existed.

        Raises:
            Failure: INTERNAL when the job exists and a record that can't be read hides
                its state, and whatever a read raises.
        """
        try:
            ended = await self._find_ended(job_id, recent=False)
        except UnreadableRecord:
            # The job may be open: only the owner's last record replaces the others.
            ended = None
        if ended is not None:
            return ended.state
        state, submission = await self._find_open(job_id)
        if state is not None:
            return state
        if submission is not None and self._belongs_to_queue(submission, queue.name):
            return JobState.QUEUED
        ended = None if submission else await self._find_ended(job_id)
        if ended is not None:
            return ended.state
        _log.info(
            "job_not_known",
            job_id=job_id,
            queue=queue.name,
            waits_in=submission.queue if submission else "",
        )
        return None

    async def _find_open(
        self, job_id: str
    ) -> tuple[JobState | None, Submission | None]:
        """Return the state by an open job's progress, or its submission."""
        entry = await self._reader.get(make_progress_key(job_id))
        if entry is None:
            return None, await self.find(job_id)
        try:
            return self._reader.decode(entry, decode_progress).state, None
        except UnreadableRecord:
            # Progress is written with the first start, and the last record replaces
            # it and the submission: the job has started and is not over yet.
            submitted = await self._reader.get(make_job_key(job_id))
            return (None if submitted is None else JobState.RUNNING), None

    async def cancel(self, job_id: str, queue: Queue, organisation: str) -> bool:
        """Store a job's cancellation; return False when there is no such job.

        A job of another organisation counts as none: a caller must not learn whether
        somebody else's job exists.

        Args:
            job_id: Chosen by the caller.
            queue: By whose path it is cancelled.
            organisation: Whose key the caller has; empty without a key.

        Raises:
            Failure: OVERLOADED when too many ids that no job has are cancelled, and the
                store's kinds; then there may be such a job, now or later.
        """
        for _ in range(CANCEL_TRIES):
            entry = await self._reader.get(make_job_key(job_id))
            if entry is not None:
                return await self._cancel_stored(entry, job_id, queue, organisation)
            # An end stays, so a stale read of it is correct.
            if await self._reader.get(make_ended_key(job_id), recent=False) is not None:
                return False
            # TOMBSTONE_BEFORE_NO_SUCH_JOB.
            if await self._tombstones.place(job_id, queue.name, organisation):
                return False
        raise Failure(ErrorKind.STORE_UNAVAILABLE, "the job comes and goes")

    async def _cancel_stored(
        self, entry: Entry, job_id: str, queue: Queue, organisation: str
    ) -> bool:
        submission = self._decode_submission(entry, job_id)
        if not self._belongs_to_queue(submission, queue.name):
            return False
        # The path of another queue may be public; a call without a key has no
        # permission there.
        restricted = organisation or submission.queue != queue.name
        if restricted and submission.organisation != organisation:
            _log.info("cancel_of_another_organisation", job_id=job_id)
            return False
        write = Write(
            make_cancel_key(job_id), encode_record(Cancellation(read_wall_clock()))
        )
        outcome = await self._store.commit(
            [Condition(entry.key, entry.mod_revision)],
            [write, make_latest_request(job_id)],
        )
        return outcome.done

    async def count_pending(self, queue: Queue) -> int:
        """Return how many jobs of a queue have no task started."""
        return await self._pending.count(queue.name)

    def _belongs_to_queue(self, job: Submission | EndedRecord, queue: str) -> bool:
        """Whether a job may be queried in a queue.

        Operators may remove a queue and add it again under another name, while callers
        go on using its path. By name alone, a waiting job would be unknown to its
        caller, and `job_not_known` would name a queue in `waits_in` that no policy has.
        So a job whose queue is gone is found in any queue: its id identifies it.
        """
        if job.queue == queue:
            return True
        policy = self._policies.policy
        return policy is not None and policy.find_queue_by_name(job.queue) is None

    def _check_same(self, stored: Submission | EndedRecord, sent: Submission) -> None:
        """Refuse a job whose id another job has.

        Otherwise, if two callers chose the same id, one would get the other's job.
        """
        same_queue = self._belongs_to_queue(stored, sent.queue)
        if not same_queue or stored.organisation != sent.organisation:
            raise Failure(ErrorKind.CONFLICT, "another job has this id")


def _make_cancelled() -> Failure:
    return Failure(ErrorKind.CANCELLED, "the id was cancelled before a job had it")

"""Bars ids that were cancelled while no job had them.

A submission whose answer was lost may be carried out by the store seconds later, so
"no such job" is only true if it stays true. Before a cancel is answered so, a tombstone
is written for the id, under the condition that no job has it, and every write that
creates a job requires that there is none (TOMBSTONE_BEFORE_NO_SUCH_JOB).

A tombstone holds for those jobs that its writer could have cancelled: of one queue and
one organisation, or of a public queue. It can't bar the job of anybody else. It expires
with its lease, so nobody has to remove it, whichever processes are lost meanwhile.
"""

import asyncio
import math

import structlog

from primrosestile.clock import read_clock
from primrosestile.coordination.work.keys import (
    make_ended_key,
    make_job_key,
    make_tombstone_key,
)
from primrosestile.decisions.rate_budget import RateBudget
from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.transactions import (
    Condition,
    TransactionalStore,
    Write,
)
from primrosestile.state.policy import Policy
from primrosestile.state.work import Submission

# A write is carried out at most seconds late, and a caller's repeated submission comes
# within its deadlines.
TOMBSTONE_SECONDS = 60.0
# The tombstones of this time share one lease, which costs a call of its own.
LEASE_SECONDS = 30.0
# Each tombstone costs a write of those that the store grants to all VMs together.
TOMBSTONES_PER_SECOND = 10.0
TOMBSTONE_BURST = 20.0
RETRY_AFTER_SECONDS = 1.0
# A lease may expire early, as while the store is down.
LEASE_TRIES = 2

_log = structlog.get_logger()


def list_tombstone_keys(submission: Submission, policy: Policy) -> list[str]:
    """Return the keys of the tombstones that bar a submission.

    Args:
        submission: Whose queue is in the policy.
        policy: Says whether callers without a key may cancel jobs of the queue.
    """
    organisations = [submission.organisation]
    queue = policy.find_queue_by_name(submission.queue)
    if submission.organisation and queue is not None and queue.public:
        organisations.append("")
    return [
        make_tombstone_key(submission.job_id, submission.queue, each)
        for each in organisations
    ]


class Tombstones:
    """Writes the tombstones of one process."""

    def __init__(self, store: TransactionalStore) -> None:
        self._store = store
        self._budget = RateBudget(TOMBSTONES_PER_SECOND, TOMBSTONE_BURST)
        self._granting = asyncio.Lock()
        self._lease = 0
        self._usable_until = -math.inf

    async def place(self, job_id: str, queue: str, organisation: str) -> bool:
        """Bar an id, unless a job has it.

        Args:
            job_id: As the caller names it.
            queue: Name of the queue in which it was cancelled.
            organisation: Whose cancel it is; empty for a caller without a key.

        Returns:
            Whether no job with this id can start any more; False if one has it now.

        Raises:
            Failure: OVERLOADED when there are too many of them, and whatever the store
                raises. The id may be barred or not then.
        """
        if not self._budget.take(read_clock()):
            detail = "too many cancels of ids that no job has"
            raise Failure(ErrorKind.OVERLOADED, detail, RETRY_AFTER_SECONDS)
        ended_key = make_ended_key(job_id)
        conditions = [Condition(make_job_key(job_id), 0), Condition(ended_key, 0)]
        key = make_tombstone_key(job_id, queue, organisation)
        for _ in range(LEASE_TRIES):
            lease = await self._find_lease()
            try:
                outcome = await self._store.commit(conditions, [Write(key, b"", lease)])
            except Failure as failure:
                if failure.kind is not ErrorKind.NOT_FOUND:
                    raise
                self._drop_lease(lease)
                continue
            # The record of an ended job bars its id as well.
            ended = any(entry.key == ended_key for entry in outcome.found)
            _log.info(
                "tombstone_placed",
                job_id=job_id,
                queue=queue,
                organisation=organisation,
                placed=outcome.done,
                ended=ended,
            )
            return outcome.done or ended
        detail = "the leases of cancelled ids expire at once"
        raise Failure(ErrorKind.STORE_UNAVAILABLE, detail)

    async def _find_lease(self) -> int:
        """Return a lease that lasts for long enough."""
        async with self._granting:
            asked_at = read_clock()
            if asked_at >= self._usable_until:
                seconds = LEASE_SECONDS + TOMBSTONE_SECONDS
                self._lease = await self._store.grant_lease(seconds)
                self._usable_until = asked_at + LEASE_SECONDS
            return self._lease

    def _drop_lease(self, lease: int) -> None:
        if self._lease == lease:
            self._usable_until = -math.inf

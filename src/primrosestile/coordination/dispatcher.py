"""Serves short requests from admission to the whole answer.

Each request runs in its caller's task: queue, slot, send, answer. The decisions (queue,
router, retry budget) are pure; non-idempotent requests also take a claim before they
are sent.
"""

from primrosestile.clock import read_clock
from primrosestile.coordination.claimed_requests import ClaimedRequests
from primrosestile.coordination.claims import Claims
from primrosestile.coordination.request_sender import RequestSender
from primrosestile.coordination.slot_assigner import SlotAssigner, TargetCounts
from primrosestile.decisions.request_queue import QueuedRequest, RequestQueue
from primrosestile.decisions.routing import Router
from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.workers import RequestAnswer, RequestOrder, Targets


class Dispatcher:
    """Answers short requests of one entry process."""

    def __init__(
        self, queue: RequestQueue, router: Router, targets: Targets, claims: Claims
    ) -> None:
        self.queue = queue
        self.router = router
        self._assigner = SlotAssigner(queue, router)
        self._sender = RequestSender(self._assigner, targets)
        self._claimed = ClaimedRequests(self._assigner, self._sender, claims)

    @property
    def counts(self) -> TargetCounts:
        """What happened at each worker since the last report."""
        return self._assigner.counts

    @property
    def in_progress(self) -> int:
        """Requests queued or sent and not yet answered."""
        return len(self._assigner) + self.counts.in_flight.total()

    def wake(self) -> None:
        """Check the queue now, since grants or targets have changed."""
        self._assigner.wake()

    async def run(self) -> None:
        """Assign slots until cancelled."""
        await self._assigner.run()

    async def answer(
        self, order: RequestOrder, waiting: QueuedRequest, attempt: int
    ) -> RequestAnswer:
        """Answer one request.

        Args:
            order: What is sent to a target.
            waiting: The same request as an element of the queue.
            attempt: The caller's count of attempts under this id; 1 for the first, 0
                when the caller gave none.

        Raises:
            Failure: Why it was refused or failed. "Not run" is true of every attempt
                under the id for non-idempotent work, and of this one for idempotent
                work.
        """
        if order.idempotent:
            return await self._answer_idempotent(order, waiting)
        return await self._claimed.answer(order, waiting, attempt)

    async def _answer_idempotent(
        self, order: RequestOrder, waiting: QueuedRequest
    ) -> RequestAnswer:
        tried: frozenset[str] = frozenset()
        unknown: Failure | None = None
        while True:
            try:
                target = await self._assigner.wait(waiting, tried)
                if not tried:
                    self.router.note_first_attempt()
                return await self._sender.send_hedged(target, order, waiting)
            except Failure as failure:
                last = failure
            if not last.not_run:
                unknown = last
            may_retry = _was_sent(last) and self.router.may_retry(waiting, read_clock())
            if not may_retry:
                raise _choose_reported_failure(last, unknown)
            tried |= {target}

    async def finish_claims(self) -> None:
        """Wait until the claims of answered requests are written."""
        await self._claimed.settler.finish()


def _was_sent(failure: Failure) -> bool:
    return failure.kind in (
        ErrorKind.NO_TARGET,
        ErrorKind.TARGET_REFUSED,
        ErrorKind.TARGET_FAILED,
        ErrorKind.OUTCOME_UNKNOWN,
    )


def _choose_reported_failure(last: Failure, unknown: Failure | None) -> Failure:
    """Return the failure to report after several attempts at one request.

    The last attempt may have been refused although an earlier one may have run; "not
    run" would then be false. The retry time is the last one's.
    """
    if unknown is None or not last.not_run:
        return last
    return Failure(unknown.kind, unknown.detail, last.retry_delay)

"""One short request from admission to its whole answer.

The caller's own task walks straight down: queue, turn, send, answer. What decides
(queue, router, retry budget) is pure and is asked at each step; non-idempotent
work takes the same way with a claim in between.
"""

from primrosestile.clock import read_clock
from primrosestile.coordination.claimed import ClaimedRequests
from primrosestile.coordination.claims import Claims
from primrosestile.coordination.sending import Sending
from primrosestile.coordination.turns import TargetCounts, Turns
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
        self._turns = Turns(queue, router)
        self._sending = Sending(self._turns, targets)
        self._claimed = ClaimedRequests(self._turns, self._sending, claims)

    @property
    def counts(self) -> TargetCounts:
        """What happened at each worker since the last report."""
        return self._turns.counts

    @property
    def in_progress(self) -> int:
        """Requests queued or sent and not yet answered."""
        return len(self._turns) + self.counts.in_flight.total()

    def wake(self) -> None:
        """Look at the queue now: grants or targets have changed."""
        self._turns.wake()

    async def run(self) -> None:
        """Hand out turns until cancelled."""
        await self._turns.run()

    async def answer(
        self, order: RequestOrder, waiting: QueuedRequest, attempt: int
    ) -> RequestAnswer:
        """Serve one request to its end.

        Args:
            order: What is sent to a target.
            waiting: The same request as the queue sees it.
            attempt: The caller's count of sendings under this id; 1 says that
                there was none before, 0 that the caller did not say.

        Raises:
            Failure: Why it was refused or failed. "Not run" is true of every
                sending under the id for non-idempotent work, and of this one for
                idempotent work.
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
                target = await self._turns.wait(waiting, tried)
                if not tried:
                    self.router.note_first_attempt()
                return await self._sending.send_hedged(target, order, waiting)
            except Failure as failure:
                last = failure
            if not last.not_run:
                unknown = last
            may_retry = _was_sent(last) and self.router.may_retry(waiting, read_clock())
            if not may_retry:
                raise _tell_gravest(last, unknown)
            tried |= {target}

    async def finish_settling(self) -> None:
        """Wait until the claims of answered requests are written."""
        await self._claimed.settling.finish()


def _was_sent(failure: Failure) -> bool:
    return failure.kind in (
        ErrorKind.NO_TARGET,
        ErrorKind.TARGET_REFUSED,
        ErrorKind.TARGET_FAILED,
        ErrorKind.OUTCOME_UNKNOWN,
    )


def _tell_gravest(last: Failure, unknown: Failure | None) -> Failure:
    """Return what the caller is told about several tries of one request.

    The last try may have been refused while an earlier one may have run; "not run"
    would then be untrue. When to come back is the last one's to say.
    """
    if unknown is None or not last.not_run:
        return last
    return Failure(unknown.kind, unknown.detail, last.come_back_after)

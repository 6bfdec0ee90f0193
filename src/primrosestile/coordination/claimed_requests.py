"""Sends non-idempotent requests at most once, under a claim.

"Not run" is answered only if no target can have run the request, neither now nor when
its id was sent before, whatever fails. An abandoned claim is settled, so that it does
not block its id.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import structlog

from primrosestile.clock import read_clock
from primrosestile.coordination.claims import Claims, HeldClaim, compute_fingerprint
from primrosestile.coordination.request_sender import RequestSender
from primrosestile.coordination.slot_assigner import SlotAssigner
from primrosestile.decisions.rate_budget import RateBudget
from primrosestile.decisions.request_queue import QueuedRequest
from primrosestile.decisions.routing import Outcome
from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.workers import RequestAnswer, RequestOrder
from primrosestile.state.jobs import Claim, ClaimState

# A failed write of a claim's end is retried in the background, so that a repeated
# request finds its answer once the store has recovered.
SETTLE_RETRY_SECONDS = 1.0
SETTLE_RETRY_LIMIT = 300
# Limit on reads of earlier claims for refused requests. Refusals are most frequent
# under overload, when they must not load the store as well; above the limit the answer
# is EARLIER_SENDING_UNKNOWN.
REFUSAL_READS_PER_SECOND = 50.0
# Failures after which another target may be tried: both prove that it did not run.
_PROVED_NOT_RUN = (ErrorKind.TARGET_REFUSED, ErrorKind.NO_TARGET)
STATUS_OK = 200

_log = structlog.get_logger()


class ClaimSettler:
    """Writes the ends of claims in tasks that outlive their callers."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def keep(self, task: "asyncio.Task[Any]") -> None:
        """Keep a reference to a task until it ends."""
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def settle(self, key: str, write: Callable[[], Awaitable[None]]) -> None:
        """Write a claim's end in the background, with retries."""
        self.keep(asyncio.create_task(self._settle(key, write)))

    async def _settle(self, key: str, write: Callable[[], Awaitable[None]]) -> None:
        for _ in range(SETTLE_RETRY_LIMIT):
            try:
                await write()
                return
            except Failure as failure:
                if failure.kind is ErrorKind.IN_PROGRESS:
                    return
            await asyncio.sleep(SETTLE_RETRY_SECONDS)
        _log.error("claim_not_settled", key=key)

    async def finish(self) -> None:
        """Wait until nothing is left to settle."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))


class ClaimedRequests:
    """Answers non-idempotent requests."""

    def __init__(
        self, assigner: SlotAssigner, sending: RequestSender, claims: Claims
    ) -> None:
        self.settler = ClaimSettler()
        self._assigner = assigner
        self._sender = sending
        self._claims = claims
        self._reads = RateBudget(REFUSAL_READS_PER_SECOND, REFUSAL_READS_PER_SECOND)

    async def answer(
        self, order: RequestOrder, waiting: QueuedRequest, attempt: int
    ) -> RequestAnswer:
        """Answer one request.

        The claim is made when a slot is assigned, not on arrival, so that requests that
        are dropped from the queue or cancelled in a wave cost the store nothing.
        """
        try:
            target = await self._assigner.wait(waiting, frozenset())
            self._assigner.router.note_first_attempt()
            step = await self._claim(target, order, waiting)
        except Failure as failure:
            if not failure.not_run or attempt == 1:
                raise
            return await self._check_earlier(order, failure)
        if isinstance(step, Claim):
            return _answer_from(step, order)
        return await self._run(step, target, order, waiting)

    async def _check_earlier(
        self, order: RequestOrder, failure: Failure
    ) -> RequestAnswer:
        """Check for an earlier attempt before a refusal may say "not run".

        A caller whose connection broke sends the same id again. If this entry is full
        and answers "not run" although the first attempt ran elsewhere, the caller makes
        a new request of it, and a client is billed twice.
        """
        try:
            if not self._reads.take(read_clock()):
                raise Failure(ErrorKind.STORE_UNAVAILABLE, "too many refusals")
            claim = await self._claims.settle_abandoned(
                order.organisation, order.request_id
            )
        except Failure:
            raise Failure(
                ErrorKind.EARLIER_SENDING_UNKNOWN,
                failure.detail,
                failure.retry_delay,
            ) from failure
        if claim is None or claim.state is ClaimState.NOT_RUN:
            raise failure
        if claim.state is ClaimState.DONE:
            return _answer_from(claim, order)
        if claim.state is ClaimState.UNKNOWN:
            raise Failure(ErrorKind.OUTCOME_UNKNOWN, f"sent to {claim.target}")
        raise Failure(ErrorKind.IN_PROGRESS, f"held by {claim.entry}")

    async def _claim(
        self, target: str, order: RequestOrder, waiting: QueuedRequest
    ) -> HeldClaim | Claim:
        """Claim the request; free the target's slot unless the claim is held."""
        step: HeldClaim | Claim | None = None
        fingerprint = compute_fingerprint(order.job_class, order.body)
        token = self._claims.make_token()
        try:
            step = await self._claims.claim(
                order.organisation, order.request_id, fingerprint, token
            )
            return step
        except asyncio.CancelledError:
            self._release(order, token)
            raise
        except Failure as failure:
            self._release(order, token)
            raise _as_not_sent(failure) from failure
        finally:
            if not isinstance(step, HeldClaim):
                self._assigner.finish(target, waiting, Outcome.CANCELLED, read_clock())

    async def _run(
        self, held: HeldClaim, target: str, order: RequestOrder, waiting: QueuedRequest
    ) -> RequestAnswer:
        """Send under a claim until it ran, may have run, or can't be retried."""
        sent = False
        tried: frozenset[str] = frozenset()
        try:
            while True:
                held = await self._mark_dispatched(held, target, waiting)
                sending = asyncio.create_task(self._send(held, order, waiting))
                self.settler.keep(sending)
                sent = True
                try:
                    # Shielded: a caller that disconnects does not undo what was sent,
                    # and the outcome must still be written into the claim.
                    return await asyncio.shield(sending)
                except asyncio.CancelledError:
                    self._release_if_refused(sending, order, held.claim.token)
                    raise
                except Failure as failure:
                    if failure.kind not in _PROVED_NOT_RUN:
                        raise
                    sent = False
                    if not self._assigner.router.may_retry(waiting, read_clock()):
                        raise
                tried |= {target}
                target = await self._assigner.wait(waiting, tried)
        finally:
            # Nothing that may have run was sent, so the claim is released.
            if not sent:
                self._release(order, held.claim.token)

    def _release_if_refused(
        self, sending: "asyncio.Task[RequestAnswer]", order: RequestOrder, token: str
    ) -> None:
        """Release the claim of a disconnected caller if nothing ran."""

        def release_if_not_run(ended: "asyncio.Task[RequestAnswer]") -> None:
            failure = None if ended.cancelled() else ended.exception()
            if isinstance(failure, Failure) and failure.kind in _PROVED_NOT_RUN:
                self._release(order, token)

        sending.add_done_callback(release_if_not_run)

    def _release(self, order: RequestOrder, token: str) -> None:
        fingerprint = compute_fingerprint(order.job_class, order.body)

        async def release() -> None:
            await self._claims.release(
                order.organisation, order.request_id, fingerprint, token
            )

        self.settler.settle(order.request_id, release)

    async def _mark_dispatched(
        self, held: HeldClaim, target: str, waiting: QueuedRequest
    ) -> HeldClaim:
        """Record the dispatch; free the target's slot if nothing may be sent.

        LEAVING_CHECKED_AT_SEND: the claim's writes take seconds when the store is
        slow, and the target may have begun to leave meanwhile.
        """
        may_send = False
        try:
            marked = await self._claims.mark_dispatched(held, target)
            if self._assigner.router.is_leaving(target, read_clock()):
                raise Failure(ErrorKind.TARGET_REFUSED, f"{target} is leaving")
            may_send = True
            return marked
        except Failure as failure:
            raise _as_not_sent(failure) from failure
        finally:
            if not may_send:
                self._assigner.finish(target, waiting, Outcome.CANCELLED, read_clock())

    async def _send(
        self, held: HeldClaim, order: RequestOrder, waiting: QueuedRequest
    ) -> RequestAnswer:
        """Send, and write the outcome into the claim."""
        try:
            answer = await self._sender.send(held.claim.target, order, waiting)
        except Failure as failure:
            self._settle_failure(held, failure)
            raise
        text = answer.body.decode("latin-1")
        try:
            await self._claims.mark_done(held, STATUS_OK, text)
        except Failure:
            self.settler.settle(
                held.key, lambda: self._claims.mark_done(held, STATUS_OK, text)
            )
        return answer

    def _settle_failure(self, held: HeldClaim, failure: Failure) -> None:
        if failure.kind is ErrorKind.TARGET_FAILED:
            status = failure.answer.status
            self.settler.settle(
                held.key, lambda: self._claims.mark_done(held, status, "")
            )
        elif not failure.not_run:
            self.settler.settle(held.key, lambda: self._claims.mark_unknown(held))


def _as_not_sent(failure: Failure) -> Failure:
    """Convert a lost store answer for a caller whose request was not sent.

    The texts of STORE_ANSWER_LOST are about the write itself. Here the write was a
    claim, and nothing is sent under a claim that is not known to be stored.
    """
    if failure.kind is ErrorKind.STORE_ANSWER_LOST:
        return Failure(ErrorKind.STORE_UNAVAILABLE, failure.detail)
    return failure


def _answer_from(claim: Claim, order: RequestOrder) -> RequestAnswer:
    """Return the stored answer of an earlier attempt to the same caller."""
    if claim.status != STATUS_OK:
        raise Failure(ErrorKind.TARGET_FAILED, f"{claim.target} ran it and failed")
    if not claim.answer:
        raise Failure(ErrorKind.ALREADY_DONE, f"it ran on {claim.target}")
    return RequestAnswer(
        order.request_id, ran=True, ok=True, body=claim.answer.encode("latin-1")
    )

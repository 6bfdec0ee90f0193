"""Non-idempotent requests: sent under a claim, and at most once.

One promise is kept here whatever fails: "not run" is said only if nothing reached
a target, under this sending or an earlier one of the same id; and a claim on which
nobody works any more is settled, so that its id is not shut out by it.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import structlog

from primrosestile.clock import read_clock
from primrosestile.coordination.claims import Claims, HeldClaim, compute_fingerprint
from primrosestile.coordination.sending import Sending
from primrosestile.coordination.turns import Turns
from primrosestile.decisions.request_queue import QueuedRequest
from primrosestile.decisions.routing import Outcome
from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.workers import RequestAnswer, RequestOrder
from primrosestile.state.jobs import Claim, ClaimState

# A claim whose end could not be written is tried again in the background, so
# that a repeated request finds its answer once the store is back.
SETTLE_RETRY_SECONDS = 1.0
SETTLE_RETRY_LIMIT = 300
# Reads of earlier claims that refusals may cause. Refusing is most frequent
# under overload, when the store must not be loaded by it as well; past this the
# answer says that it does not know.
REFUSAL_READS_PER_SECOND = 50.0
# Failures after which another target may be tried: both prove that it did not run.
_PROVED_NOT_RUN = (ErrorKind.TARGET_REFUSED, ErrorKind.NO_TARGET)
STATUS_OK = 200

_log = structlog.get_logger()


class _ReadBudget:
    """A token bucket over the loop's clock."""

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._tokens = rate
        self._at = 0.0

    def take(self, now: float) -> bool:
        self._tokens = min(self._rate, self._tokens + (now - self._at) * self._rate)
        self._at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Settling:
    """Writes the ends of claims in tasks that outlive their callers."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def keep(self, task: "asyncio.Task[Any]") -> None:
        """Hold on to a task until it ends."""
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def settle(self, key: str, write: Callable[[], Awaitable[None]]) -> None:
        """Write an end, again and again until it stands or is not ours to write."""
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

    def __init__(self, turns: Turns, sending: Sending, claims: Claims) -> None:
        self.settling = Settling()
        self._turns = turns
        self._sending = sending
        self._claims = claims
        self._reads = _ReadBudget(REFUSAL_READS_PER_SECOND)

    async def answer(
        self, order: RequestOrder, waiting: QueuedRequest, attempt: int
    ) -> RequestAnswer:
        """Serve one request to its end.

        The claim is made when the turn has come, not on arrival: a queue that is
        given up or cancelled in a wave then costs the store nothing.
        """
        try:
            target = await self._turns.wait(waiting, frozenset())
            self._turns.router.note_first_attempt()
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
        """Look for an earlier sending before a refusal may say "not run".

        A caller whose connection was cut sends the same id again. If this entry
        is full and says "not run" while the first sending ran elsewhere, the
        caller makes a new request of it, and a client is billed twice.
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
                failure.come_back_after,
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
                self._turns.finish(target, waiting, Outcome.CANCELLED, read_clock())

    async def _run(
        self, held: HeldClaim, target: str, order: RequestOrder, waiting: QueuedRequest
    ) -> RequestAnswer:
        """Send under a claim until it ran, may have run, or is given up."""
        sent = False
        tried: frozenset[str] = frozenset()
        try:
            while True:
                held = await self._mark_dispatched(held, target, waiting)
                sending = asyncio.create_task(self._send(held, order, waiting))
                self.settling.keep(sending)
                sent = True
                try:
                    # Shielded: a caller who goes away does not undo what was
                    # sent, and the claim must still learn how it ended.
                    return await asyncio.shield(sending)
                except asyncio.CancelledError:
                    self._release_if_refused(sending, order, held.claim.token)
                    raise
                except Failure as failure:
                    if failure.kind not in _PROVED_NOT_RUN:
                        raise
                    sent = False
                    if not self._turns.router.may_retry(waiting, read_clock()):
                        raise
                tried |= {target}
                target = await self._turns.wait(waiting, tried)
        finally:
            # However this ends without a sending that may have run: the claim is
            # given back.
            if not sent:
                self._release(order, held.claim.token)

    def _release_if_refused(
        self, sending: "asyncio.Task[RequestAnswer]", order: RequestOrder, token: str
    ) -> None:
        """Give the claim of a caller who has gone away back if nothing ran."""

        def look(ended: "asyncio.Task[RequestAnswer]") -> None:
            failure = None if ended.cancelled() else ended.exception()
            if isinstance(failure, Failure) and failure.kind in _PROVED_NOT_RUN:
                self._release(order, token)

        sending.add_done_callback(look)

    def _release(self, order: RequestOrder, token: str) -> None:
        fingerprint = compute_fingerprint(order.job_class, order.body)

        async def release() -> None:
            await self._claims.release(
                order.organisation, order.request_id, fingerprint, token
            )

        self.settling.settle(order.request_id, release)

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
            if self._turns.router.is_leaving(target, read_clock()):
                raise Failure(ErrorKind.TARGET_REFUSED, f"{target} is leaving")
            may_send = True
            return marked
        except Failure as failure:
            raise _as_not_sent(failure) from failure
        finally:
            if not may_send:
                self._turns.finish(target, waiting, Outcome.CANCELLED, read_clock())

    async def _send(
        self, held: HeldClaim, order: RequestOrder, waiting: QueuedRequest
    ) -> RequestAnswer:
        """Send, and write into the claim how it ended."""
        try:
            answer = await self._sending.send(held.claim.target, order, waiting)
        except Failure as failure:
            self._settle_failure(held, failure)
            raise
        text = answer.body.decode("latin-1")
        try:
            await self._claims.mark_done(held, STATUS_OK, text)
        except Failure:
            self.settling.settle(
                held.key, lambda: self._claims.mark_done(held, STATUS_OK, text)
            )
        return answer

    def _settle_failure(self, held: HeldClaim, failure: Failure) -> None:
        if failure.kind is ErrorKind.TARGET_FAILED:
            status = failure.answer.status
            self.settling.settle(
                held.key, lambda: self._claims.mark_done(held, status, "")
            )
        elif not failure.not_run:
            self.settling.settle(held.key, lambda: self._claims.mark_unknown(held))


def _as_not_sent(failure: Failure) -> Failure:
    """Word a lost answer of the store for a caller whose request was not sent.

    The table's row for a lost answer speaks of the write; here the write was a
    claim, and nothing is sent under a claim that is not known to stand.
    """
    if failure.kind is ErrorKind.STORE_ANSWER_LOST:
        return Failure(ErrorKind.STORE_UNAVAILABLE, failure.detail)
    return failure


def _answer_from(claim: Claim, order: RequestOrder) -> RequestAnswer:
    """Return the kept answer of an earlier sending, whole, to the same caller."""
    if claim.status != STATUS_OK:
        raise Failure(ErrorKind.TARGET_FAILED, f"{claim.target} ran it and failed")
    if not claim.answer:
        raise Failure(ErrorKind.ALREADY_DONE, f"it ran on {claim.target}")
    return RequestAnswer(
        order.request_id, ran=True, ok=True, body=claim.answer.encode("latin-1")
    )

"""One short request from admission to its whole answer.

The caller's own task walks straight down: queue, turn, claim, send, answer. What
decides (queue, router, retry budget) is pure and is asked at each step; this
module does what it is told and keeps one promise by itself: whatever is said
about a request, "not run" is said only if nothing reached a target, under this
sending or an earlier one of the same id.
"""

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import structlog

from primrosestile.clock import read_clock
from primrosestile.coordination.claims import (
    Claims,
    HeldClaim,
    compute_fingerprint,
)
from primrosestile.decisions.queueing import Refusal, RequestQueue, Waiting
from primrosestile.decisions.routing import Outcome, Router
from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.workers import RequestAnswer, RequestOrder, Targets
from primrosestile.state.jobs import Claim, ClaimState

# A claim whose end could not be written is tried again in the background, so
# that a repeated request finds its answer once the store is back.
SETTLE_RETRY_SECONDS = 1.0
SETTLE_RETRY_LIMIT = 300
# An idle entry still looks at its queue this often: a bound on the harm of a
# missed wake-up, too rare to cost anything.
IDLE_CHECK_SECONDS = 0.25
# Reads of earlier claims that refusals may cause. Refusing is most frequent
# under overload, when the store must not be loaded by it as well; past this the
# answer says that it does not know.
REFUSAL_READS_PER_SECOND = 50.0

_log = structlog.get_logger()

_OUTCOMES = {
    ErrorKind.NO_TARGET: Outcome.UNREACHABLE,
    ErrorKind.TARGET_REFUSED: Outcome.REFUSED,
    ErrorKind.OUTCOME_UNKNOWN: Outcome.UNKNOWN,
}


@dataclass(slots=True)
class _Turn:
    """A queued request's place: resolved with the target chosen for it."""

    waiting: Waiting
    future: "asyncio.Future[str]"
    tried: frozenset[str]


@dataclass(slots=True)
class TargetCounts:
    """What happened at each worker since the last report to its cell's owner."""

    in_flight: Counter[str] = field(default_factory=Counter)
    failures: Counter[str] = field(default_factory=Counter)
    successes: Counter[str] = field(default_factory=Counter)

    def take(self) -> tuple[dict[str, int], dict[str, int], dict[str, int]]:
        """Return in-flight, failures and successes, and start the latter anew."""
        failures = dict(self.failures)
        successes = dict(self.successes)
        self.failures.clear()
        self.successes.clear()
        in_flight = {name: count for name, count in self.in_flight.items() if count}
        return in_flight, failures, successes


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


class Dispatcher:
    """Answers short requests of one entry process."""

    def __init__(
        self, queue: RequestQueue, router: Router, targets: Targets, claims: Claims
    ) -> None:
        self.queue = queue
        self.router = router
        self.counts = TargetCounts()
        self._targets = targets
        self._claims = claims
        self._turns: dict[str, _Turn] = {}
        self._wake = asyncio.Event()
        self._settling: set[asyncio.Task[Any]] = set()
        self._reads = _ReadBudget(REFUSAL_READS_PER_SECOND)

    @property
    def in_progress(self) -> int:
        """Requests queued or sent and not yet answered."""
        return len(self._turns) + self.counts.in_flight.total()

    def wake(self) -> None:
        """Look at the queue now: grants or targets have changed."""
        self._wake.set()

    async def run(self) -> None:
        """Hand out turns and give up what can't be served, until cancelled."""
        while True:
            self._wake.clear()
            self._hand_out()
            self._give_up()
            timeout = self._seconds_to_next_check()
            try:
                async with asyncio.timeout(timeout):
                    await self._wake.wait()
            except TimeoutError:
                continue

    def _seconds_to_next_check(self) -> float:
        at = self.queue.next_check(read_clock())
        if at is None:
            return IDLE_CHECK_SECONDS
        return min(IDLE_CHECK_SECONDS, max(0.001, at - read_clock()))

    def _hand_out(self) -> None:
        """Give a target to each queued request that may have one now."""
        now = read_clock()
        while self._turns and self.router.can_serve_any(now):
            chosen: list[str] = []

            def accept(waiting: Waiting, chosen: list[str] = chosen) -> bool:
                tried = self._turns[waiting.request_id].tried
                target = self.router.choose(waiting, now, tried)
                if target is not None:
                    chosen.append(target)
                return target is not None

            waiting = self.queue.take(now, accept)
            if waiting is None:
                return
            turn = self._turns.pop(waiting.request_id)
            self.router.start(chosen[-1], waiting, now)
            self.counts.in_flight[chosen[-1]] += 1
            turn.future.set_result(chosen[-1])

    def _give_up(self) -> None:
        for waiting, refusal in self.queue.give_up(read_clock()):
            turn = self._turns.pop(waiting.request_id)
            if not turn.future.done():
                turn.future.set_exception(_make_failure(refusal))

    async def _wait_for_turn(self, waiting: Waiting, tried: frozenset[str]) -> str:
        if waiting.request_id in self._turns:
            raise Failure(ErrorKind.IN_PROGRESS, "the same id is queued here")
        refusal = self.queue.offer(waiting, read_clock())
        if refusal is not None:
            raise _make_failure(refusal)
        future: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self._turns[waiting.request_id] = _Turn(waiting, future, tried)
        self._hand_out()
        if not future.done():
            self._wake.set()
        try:
            return await future
        except asyncio.CancelledError:
            self._abandon(waiting, future)
            raise

    def _abandon(self, waiting: Waiting, future: "asyncio.Future[str]") -> None:
        """Free what a caller who has gone away held: its place, or its slot."""
        if self._turns.pop(waiting.request_id, None) is not None:
            self.queue.remove([waiting.request_id])
            return
        if future.done() and not future.cancelled() and future.exception() is None:
            self._finish(future.result(), waiting, Outcome.REFUSED, read_clock())

    def _finish(
        self, target: str, waiting: Waiting, outcome: Outcome, started: float
    ) -> None:
        now = read_clock()
        self.router.finish(target, waiting, outcome, now - started, now)
        self.counts.in_flight[target] -= 1
        if outcome is Outcome.OK:
            self.counts.successes[target] += 1
            self.queue.note_served(waiting, now - started, now)
        elif outcome in (Outcome.FAILED, Outcome.UNREACHABLE, Outcome.UNKNOWN):
            self.counts.failures[target] += 1
        self._hand_out()

    async def answer(
        self, order: RequestOrder, waiting: Waiting, attempt: int
    ) -> RequestAnswer:
        """Serve one request to its end.

        Args:
            order: What is sent to a target.
            waiting: The same request as the queue sees it.
            attempt: The caller's count of sendings under this id; 1 says that
                there was none before, 0 that the caller did not say.

        Raises:
            Failure: Why it was refused or failed; "not run" only if true.
        """
        self.router.note_first_attempt()
        if order.idempotent:
            return await self._answer_idempotent(order, waiting)
        return await self._answer_claimed(order, waiting, attempt)

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
        raise Failure(ErrorKind.IN_PROGRESS, f"sent to {claim.target}")

    async def _answer_idempotent(
        self, order: RequestOrder, waiting: Waiting
    ) -> RequestAnswer:
        tried: frozenset[str] = frozenset()
        while True:
            target = await self._wait_for_turn(waiting, tried)
            try:
                return await self._send_hedged(target, order, waiting)
            except Failure as failure:
                if failure.kind is ErrorKind.TARGET_FAILED:
                    raise
                if not self.router.may_retry(waiting, read_clock()):
                    raise
                tried |= {target}

    async def _send_hedged(
        self, target: str, order: RequestOrder, waiting: Waiting
    ) -> RequestAnswer:
        """Send, and send once more elsewhere if the answer is late.

        Only the router may allow it, and it does so for idempotent urgent work
        alone; the first whole answer wins and the other sending is cancelled.
        """
        first = asyncio.create_task(self._send(target, order, waiting))
        delay = self.router.hedge_after(waiting, read_clock())
        try:
            if delay is not None:
                await asyncio.wait({first}, timeout=delay)
            if delay is None or first.done():
                return await first
            return await self._race(first, target, order, waiting)
        finally:
            first.cancel()

    async def _race(
        self,
        first: "asyncio.Task[RequestAnswer]",
        target: str,
        order: RequestOrder,
        waiting: Waiting,
    ) -> RequestAnswer:
        now = read_clock()
        other = self.router.choose(waiting, now, frozenset({target}))
        if other is None:
            return await first
        self.router.start(other, waiting, now)
        self.counts.in_flight[other] += 1
        second = asyncio.create_task(self._send(other, order, waiting))
        pending = {first, second}
        try:
            while pending:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    if task.exception() is None or not pending:
                        return task.result()
            raise Failure(ErrorKind.INTERNAL, "no sending ended")
        finally:
            second.cancel()

    async def _send(
        self, target: str, order: RequestOrder, waiting: Waiting
    ) -> RequestAnswer:
        """Send to a target whose slot is held; the slot is freed in any case."""
        started = read_clock()
        outcome = Outcome.UNKNOWN
        try:
            timeout = max(0.001, waiting.deadline - started)
            answer = await self._targets.send(target, order, timeout)
            if answer.leaving:
                self.router.note_leaving(target)
            outcome = _judge(answer)
            return _accept(answer, target)
        except Failure as failure:
            outcome = _OUTCOMES.get(failure.kind, outcome)
            raise
        finally:
            self._finish(target, waiting, outcome, started)

    async def _answer_claimed(
        self, order: RequestOrder, waiting: Waiting, attempt: int
    ) -> RequestAnswer:
        """Serve a non-idempotent request under its claim.

        The claim is made when the turn has come, not on arrival: a queue that is
        given up or cancelled in a wave then costs the store nothing.
        """
        try:
            target = await self._wait_for_turn(waiting, frozenset())
            step = await self._claim(target, order, waiting)
        except Failure as failure:
            if not failure.not_run or attempt == 1:
                raise
            return await self._check_earlier(order, failure)
        if isinstance(step, Claim):
            return _answer_from(step, order)
        return await self._run_claimed(step, target, order, waiting)

    async def _claim(
        self, target: str, order: RequestOrder, waiting: Waiting
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
        except BaseException as error:
            self._release_later(order, token)
            if _is_lost_answer(error):
                # Nothing was sent under this claim. The table's row for a lost
                # answer speaks of the write, not of the caller's request.
                raise Failure(ErrorKind.STORE_UNAVAILABLE, str(error)) from error
            raise
        finally:
            if not isinstance(step, HeldClaim):
                self._finish(target, waiting, Outcome.REFUSED, read_clock())

    async def _run_claimed(
        self, held: HeldClaim, target: str, order: RequestOrder, waiting: Waiting
    ) -> RequestAnswer:
        """Send under a claim until it ran, may have run, or is given up.

        Whichever way this ends without a sending, the claim is settled as not
        run, so that the same id is not shut out by a claim that nobody works on.
        """
        tried: frozenset[str] = frozenset()
        while True:
            held_now = held
            try:
                held = await self._mark_dispatched(held, target, waiting)
                # Shielded: a caller who goes away does not undo what was sent,
                # and the claim must still learn how it ended.
                sending = asyncio.create_task(self._send_claimed(held, order, waiting))
                self._keep(sending)
                return await asyncio.shield(sending)
            except Failure as failure:
                if not failure.not_run:
                    raise
                tried |= {target}
                if not self.router.may_retry(waiting, read_clock()):
                    self._settle_later(held, "not_run")
                    raise
            except asyncio.CancelledError:
                if held is held_now:
                    self._settle_later(held, "not_run")
                raise
            target = await self._wait_again(held, waiting, tried)

    async def _wait_again(
        self, held: HeldClaim, waiting: Waiting, tried: frozenset[str]
    ) -> str:
        """Wait for another target; settle the claim if there will be none."""
        try:
            return await self._wait_for_turn(waiting, tried)
        except BaseException:
            self._settle_later(held, "not_run")
            raise

    async def _mark_dispatched(
        self, held: HeldClaim, target: str, waiting: Waiting
    ) -> HeldClaim:
        """Record the dispatch; free the target's slot if it can't be recorded.

        LEAVING_CHECKED_AT_SEND: the claim's writes take seconds when the store is
        slow, and the target may have begun to leave meanwhile.
        """
        recorded = False
        try:
            marked = await self._claims.mark_dispatched(held, target)
            if self.router.is_leaving(target, read_clock()):
                raise Failure(ErrorKind.TARGET_REFUSED, f"{target} is leaving")
            recorded = True
            return marked
        except Failure as failure:
            if failure.kind is ErrorKind.STORE_ANSWER_LOST:
                raise Failure(ErrorKind.STORE_UNAVAILABLE, failure.detail) from failure
            raise
        finally:
            if not recorded:
                self._finish(target, waiting, Outcome.REFUSED, read_clock())

    async def _send_claimed(
        self, held: HeldClaim, order: RequestOrder, waiting: Waiting
    ) -> RequestAnswer:
        try:
            answer = await self._send(held.claim.target, order, waiting)
        except Failure as failure:
            if failure.kind is ErrorKind.TARGET_FAILED:
                self._settle_later(held, "done", failure.answer.status)
            elif not failure.not_run:
                self._settle_later(held, "unknown")
            raise
        await self._settle_done(held, answer)
        return answer

    async def _settle_done(self, held: HeldClaim, answer: RequestAnswer) -> None:
        """Keep the answer before the caller gets it, if the store is up."""
        try:
            await self._claims.mark_done(held, 200, answer.body.decode("latin-1"))
        except Failure:
            self._settle_later(held, "done", 200, answer.body.decode("latin-1"))

    def _settle_later(
        self, held: HeldClaim, end: str, status: int = 0, answer: str = ""
    ) -> None:
        self._keep(asyncio.create_task(self._settle(held, end, status, answer)))

    def _release_later(self, order: RequestOrder, token: str) -> None:
        self._keep(asyncio.create_task(self._release(order, token)))

    def _keep(self, task: "asyncio.Task[Any]") -> None:
        """Hold on to a task that outlives its caller, until it ends."""
        self._settling.add(task)
        task.add_done_callback(self._settling.discard)

    async def _release(self, order: RequestOrder, token: str) -> None:
        """Settle a claim whose write may have been made although it failed."""
        for _ in range(SETTLE_RETRY_LIMIT):
            try:
                await self._claims.release(order.organisation, order.request_id, token)
                return
            except Failure:
                await asyncio.sleep(SETTLE_RETRY_SECONDS)

    async def _settle(
        self, held: HeldClaim, end: str, status: int, answer: str
    ) -> None:
        for _ in range(SETTLE_RETRY_LIMIT):
            try:
                if end == "done":
                    await self._claims.mark_done(held, status, answer)
                elif end == "unknown":
                    await self._claims.mark_unknown(held)
                else:
                    await self._claims.mark_not_run(held)
                return
            except Failure as failure:
                if failure.kind is ErrorKind.IN_PROGRESS:
                    return
            await asyncio.sleep(SETTLE_RETRY_SECONDS)
        _log.error("claim_not_settled", key=held.key, end=end)

    async def finish_settling(self) -> None:
        """Wait until the claims of answered requests are written."""
        while self._settling:
            await asyncio.wait(set(self._settling))


def _is_lost_answer(error: BaseException) -> bool:
    return isinstance(error, Failure) and error.kind is ErrorKind.STORE_ANSWER_LOST


def _make_failure(refusal: Refusal) -> Failure:
    return Failure(refusal.kind, refusal.detail, refusal.retry_after)


def _judge(answer: RequestAnswer) -> Outcome:
    if not answer.ran:
        return Outcome.LEAVING if answer.leaving else Outcome.REFUSED
    return Outcome.OK if answer.ok else Outcome.FAILED


def _accept(answer: RequestAnswer, target: str) -> RequestAnswer:
    """Return a good answer; turn the target's refusal or failure into a kind."""
    if not answer.ran:
        raise Failure(ErrorKind.TARGET_REFUSED, f"{target} refused it")
    if not answer.ok:
        raise Failure(ErrorKind.TARGET_FAILED, f"{target} ran it and failed")
    return answer


def _answer_from(claim: Claim, order: RequestOrder) -> RequestAnswer:
    """Return the kept answer of an earlier sending, whole, to the same caller."""
    if claim.status != 200:
        raise Failure(ErrorKind.TARGET_FAILED, f"{claim.target} ran it and failed")
    if not claim.answer:
        raise Failure(ErrorKind.ALREADY_DONE, f"it ran on {claim.target}")
    return RequestAnswer(
        order.request_id, ran=True, ok=True, body=claim.answer.encode("latin-1")
    )

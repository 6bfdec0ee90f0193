"""Sends a request to a target whose slot is held for it."""

import asyncio

from primrosestile.clock import read_clock
from primrosestile.coordination.slot_assigner import SlotAssigner
from primrosestile.decisions.request_queue import QueuedRequest
from primrosestile.decisions.routing import Outcome
from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.workers import RequestAnswer, RequestOrder, Targets

MIN_TIMEOUT_SECONDS = 0.001

_OUTCOMES = {
    ErrorKind.NO_TARGET: Outcome.UNREACHABLE,
    ErrorKind.OUTCOME_UNKNOWN: Outcome.UNKNOWN,
}


class RequestSender:
    """Sends requests; frees the slot and records the outcome in any case."""

    def __init__(self, assigner: SlotAssigner, targets: Targets) -> None:
        self._assigner = assigner
        self._targets = targets

    async def send(
        self, target: str, order: RequestOrder, waiting: QueuedRequest
    ) -> RequestAnswer:
        """Send once and return a good answer.

        Raises:
            Failure: TARGET_REFUSED and NO_TARGET when it was not run,
                TARGET_FAILED when it ran and failed, OUTCOME_UNKNOWN.
        """
        started = read_clock()
        outcome = Outcome.CANCELLED
        try:
            limit = self._assigner.router.limit_attempt(waiting, started)
            timeout = max(MIN_TIMEOUT_SECONDS, limit)
            answer = await self._targets.send(target, order, timeout)
            if answer.leaving:
                self._assigner.router.note_leaving(target)
            outcome = _judge(answer)
            return _accept(answer, target)
        except Failure as failure:
            outcome = _OUTCOMES.get(failure.kind, outcome)
            raise
        finally:
            self._assigner.finish(target, waiting, outcome, started)

    async def send_hedged(
        self, target: str, order: RequestOrder, waiting: QueuedRequest
    ) -> RequestAnswer:
        """Send, and send once more to another target if the answer is late.

        The router allows this for idempotent urgent work alone; the first good answer
        wins and the other call is cancelled.
        """
        first = asyncio.create_task(self.send(target, order, waiting))
        delay = self._assigner.router.hedge_after(waiting, read_clock())
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
        waiting: QueuedRequest,
    ) -> RequestAnswer:
        router = self._assigner.router
        now = read_clock()
        other = router.choose(waiting, now, frozenset({target}))
        if other is None or not router.may_retry(waiting, now):
            return await first
        self._assigner.start(other, waiting)
        second = asyncio.create_task(self.send(other, order, waiting))
        try:
            return await _take_best({first, second})
        finally:
            second.cancel()


async def _take_best(pending: "set[asyncio.Task[RequestAnswer]]") -> RequestAnswer:
    """Return the first good answer; if there is none, raise the gravest failure.

    A failure after which the request may have run is graver: "not run" would be false
    if only the other call was refused.
    """
    failures: list[Failure] = []
    while pending:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            try:
                return task.result()
            except Failure as failure:
                failures.append(failure)
    raise min(failures, key=lambda failure: failure.not_run)


def _judge(answer: RequestAnswer) -> Outcome:
    if not answer.ran:
        return Outcome.LEAVING if answer.leaving else Outcome.REFUSED
    return Outcome.OK if answer.ok else Outcome.FAILED


def _accept(answer: RequestAnswer, target: str) -> RequestAnswer:
    """Return a good answer; raise the target's refusal or failure."""
    if not answer.ran:
        raise Failure(ErrorKind.TARGET_REFUSED, f"{target} refused it")
    if not answer.ok:
        raise Failure(ErrorKind.TARGET_FAILED, f"{target} ran it and failed")
    return answer

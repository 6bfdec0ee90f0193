"""Asks the advice service which workers may run a step, one question at a time."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

import structlog

from primrosestile.clock import read_clock
from primrosestile.coordination.work.term import Term
from primrosestile.decisions.work.advice import (
    Question,
    choose_question,
    record_answer,
)
from primrosestile.decisions.work.durations import Durations
from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.errors import Failure
from primrosestile.protocol.advice import AdviceCalls

# Pause while there is nothing to ask; it delays a new job by at most this.
IDLE_SECONDS = 0.05
# Pause after an unanswered question; the service refuses when too many wait.
RETRY_SECONDS = 0.3

_log = structlog.get_logger()


class Advisor:
    """Fetches advice on waiting steps before the scheduler needs it."""

    def __init__(
        self,
        calls: AdviceCalls,
        fleet_state: FleetState,
        durations: Durations,
        term: Term,
        wake: Callable[[], None],
    ) -> None:
        self._calls = calls
        self._fleet_state = fleet_state
        self._durations = durations
        self._term = term
        self._wake = wake

    async def run(self) -> None:
        """Ask until the term is lost."""
        while not self._term.lost.is_set():
            question = self._choose()
            if question is None:
                await asyncio.sleep(IDLE_SECONDS)
                continue
            try:
                await self._ask(question)
            except Failure as failure:
                _log.info("advice_missing", step=question.step, reason=str(failure))
                await asyncio.sleep(RETRY_SECONDS)

    def _choose(self) -> Question | None:
        # A job keeps its queue when operators remove that, so its queue decides, as
        # it does where starts need tickets.
        if not self._fleet_state.uses_advice:
            return None
        return choose_question(self._fleet_state, self._durations, read_clock())

    async def _ask(self, question: Question) -> None:
        asked_at = read_clock()
        answer = await self._calls.ask(
            question.step, question.workers, question.seconds
        )
        allowed = {each.worker: each.ticket for each in answer.allowed}
        if not answer.complete:
            # A worker that is missing in a complete answer counts as refused
            # permanently. Here it may be in the unreadable part, so it is asked about
            # again.
            question = replace(question, workers=tuple(allowed))
        record_answer(question, allowed, asked_at)
        _log.info(
            "advice_taken",
            job_id=question.unit.job.job_id,
            step=question.step,
            asked=len(question.workers),
            allowed=len(allowed),
            seconds=round(read_clock() - asked_at, 3),
        )
        self._wake()
        if not answer.complete:
            await asyncio.sleep(RETRY_SECONDS)

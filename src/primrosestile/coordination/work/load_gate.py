"""Decides by the fleet's load whether a submission is refused, and reports it."""

import random
from collections.abc import Callable
from typing import Protocol

import structlog

from primrosestile.coordination.work.load_watch import LoadWatch
from primrosestile.decisions.work.guarantee_weights import WeightSwitch
from primrosestile.decisions.work.load_admission import LoadRefusal, judge_load
from primrosestile.errors import Failure
from primrosestile.state.load import LoadSummary
from primrosestile.state.policy import Policy
from primrosestile.state.scheduling import Switch
from primrosestile.state.work import Submission

_log = structlog.get_logger()


class SubmissionGate(Protocol):
    """Refuses submissions before anything is stored."""

    def judge(
        self, submission: Submission, policy: Policy
    ) -> Callable[[], Failure] | None:
        """Return None to accept a job, else what reports and returns its refusal.

        The refusal is reported only once it is certain.
        """
        ...


class OpenGate:
    """Refuses nothing."""

    def judge(
        self, submission: Submission, policy: Policy
    ) -> Callable[[], Failure] | None:
        """Return None."""
        return None


class LoadGate:
    """Refuses submissions by the fleet's load, where that is switched on."""

    def __init__(
        self,
        watch: LoadWatch,
        switch: Switch,
        count_refused: Callable[[str], None],
        draw: Callable[[], float] = random.random,
    ) -> None:
        self._watch = watch
        self._switch = WeightSwitch(switch)
        self._count_refused = count_refused
        self._draw = draw

    def judge(
        self, submission: Submission, policy: Policy
    ) -> Callable[[], Failure] | None:
        """Return None to accept a job, else what reports and returns its refusal."""
        if not self._switch.is_on(policy):
            return None
        queue = policy.find_queue_by_name(submission.queue)
        known = self._watch.find_summary()
        if queue is None or known is None:
            return None
        summary, age = known
        refusal = judge_load(submission, queue, policy, summary, age, self._draw())
        if refusal is None:
            return None
        return lambda: self._report(submission, refusal, summary, age)

    def _report(
        self,
        submission: Submission,
        refusal: LoadRefusal,
        summary: LoadSummary,
        age: float,
    ) -> Failure:
        load = summary.queues[submission.queue]
        _log.info(
            "job_refused_under_load",
            job_id=submission.job_id,
            queue=submission.queue,
            organisation=submission.organisation,
            reason=refusal.reason.value,
            retry_after=refusal.retry_after,
            wait=round(refusal.wait, 2),
            fresh_wait=round(refusal.fresh_wait, 2),
            chain=round(refusal.chain, 2),
            objective=round(refusal.objective, 2),
            waiting=load.waiting,
            rate=round(summary.pools[load.pool].started, 2),
            jobs=refusal.jobs,
            share=round(refusal.share, 3),
            step=refusal.step,
            fence=summary.fence,
            revision=summary.revision,
            age=round(age, 3),
        )
        self._count_refused(refusal.reason.value)
        return Failure(
            refusal.reason.kind, refusal.reason.value, float(refusal.retry_after)
        )

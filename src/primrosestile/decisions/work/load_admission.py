"""Refuses at once a job that can't be served in time.

Load: several times the capacity for tens of seconds. Harm: callers are accepted, wait
until their result is useless, and could have been told at once.

A wrong refusal costs a caller more than a late result, so a job is refused for its wait
only where it would be of no use even if the expected wait is off by half: it can't get
room while it can still be in time and so goes before late work, nor later on before it
is useless. A job whose like does not wait has room. Urgent work within its
organisation's guarantee gets room at any cost, and services and repeating jobs run for
longer than any wait, so none of them is refused for a wait.
"""

import math
from dataclasses import dataclass
from enum import StrEnum

from primrosestile.decisions.work.durations import find_chain
from primrosestile.decisions.work.guarantee_weights import find_weight
from primrosestile.decisions.work.queue_order import (
    USELESS_AFTER_OBJECTIVES,
    count_accelerators,
)
from primrosestile.errors import ErrorKind
from primrosestile.state.load import (
    MAX_AGE_SECONDS,
    LoadSummary,
    PoolLoad,
    QueueLoad,
    UrgentUse,
)
from primrosestile.state.policy import Policy, Queue
from primrosestile.state.work import Need, Step, Submission

# Of the expected wait, what must pass even if the expectation is too long by half.
CERTAIN_WAIT_SHARE = 2 / 3
# Sooner, a caller would return to the same load; later, its caller may have given up.
RETRY_BOUNDS_SECONDS = (1.0, 10.0)
# Callers are told times that differ by up to this share to either side, so that those
# who were refused together do not return together.
RETRY_JITTER = 0.2


class RefusalReason(StrEnum):
    """Why a job is refused."""

    NEVER_FITS = "never_fits"
    OVERLOADED = "overloaded"
    OVER_QUOTA = "over_quota"

    @property
    def kind(self) -> ErrorKind:
        """The kind of error that the caller is answered with."""
        return _KINDS[self]


_KINDS = {
    RefusalReason.NEVER_FITS: ErrorKind.NO_WORKER_FITS,
    RefusalReason.OVERLOADED: ErrorKind.OVERLOADED,
    RefusalReason.OVER_QUOTA: ErrorKind.OVER_QUOTA,
}


@dataclass(frozen=True, slots=True)
class LoadRefusal:
    """A refusal, with what it rests on.

    Attributes:
        retry_after: Whole seconds until the caller should return.
        wait: Expected seconds until the job gets room, behind late work too.
        fresh_wait: The same before late work.
        chain: Expected run time of its longest chain, in seconds.
        objective: Seconds from acceptance within which it should be done.
        jobs: Waiting jobs of its organisation in its queue.
        share: The part of the waiting jobs that is its organisation's share.
        step: Position of the step that fits nowhere; -1 for other reasons.
    """

    reason: RefusalReason
    retry_after: int
    wait: float = 0.0
    fresh_wait: float = 0.0
    chain: float = 0.0
    objective: float = 0.0
    jobs: int = 0
    share: float = 0.0
    step: int = -1


def judge_load(
    submission: Submission,
    queue: Queue,
    policy: Policy,
    summary: LoadSummary,
    age: float,
    draw: float,
) -> LoadRefusal | None:
    """Return why a job must be refused, or None to accept it.

    Args:
        submission: The job.
        queue: To which it is submitted.
        policy: The operators' policy.
        summary: Of the present owner.
        age: Seconds since the summary was made.
        draw: Random, at least 0 and less than 1, for the jitter.
    """
    if age > MAX_AGE_SECONDS:
        return None
    pool = summary.pools.get(queue.pool)
    load = summary.queues.get(queue.name)
    if pool is None or load is None or load.pool != queue.pool:
        return None
    step = find_oversized(submission, pool)
    if step is not None:
        _, longest = RETRY_BOUNDS_SECONDS
        retry_after = spread_retry(longest, draw)
        return LoadRefusal(RefusalReason.NEVER_FITS, retry_after, step=step)
    if _is_exempt(submission, queue, policy, load, pool, summary):
        return None
    return _judge_wait(submission, queue, policy, load, pool, draw)


def find_oversized(submission: Submission, pool: PoolLoad) -> int | None:
    """Return the first step whose task is larger than any worker for it.

    A step that is bound to a rack runs elsewhere too, only slower, so racks do not
    matter.
    """
    for position, step in enumerate(submission.steps):
        largest = pool.workers.get(step.label)
        if largest is not None and not _fits(step, largest):
            return position
    return None


def _fits(step: Step, largest: Need) -> bool:
    need = step.need
    return (
        (step.best_effort or need.processor <= largest.processor)
        and need.memory <= largest.memory
        and need.accelerators <= largest.accelerators
    )


def _is_exempt(
    submission: Submission,
    queue: Queue,
    policy: Policy,
    load: QueueLoad,
    pool: PoolLoad,
    summary: LoadSummary,
) -> bool:
    """Whether a job is never refused for its wait, or the wait is not known."""
    steps = submission.steps
    if submission.repeats.count or any(step.daemon for step in steps):
        return True
    if not pool.started or not load.wait:
        return True
    use = summary.urgent.get(submission.organisation, UrgentUse())
    return _may_have_room(steps, load) or _is_within_guarantee(
        submission, queue, policy, use
    )


def _may_have_room(steps: tuple[Step, ...], load: QueueLoad) -> bool:
    """Whether some first unit is smaller than any of its queue and label that waits."""
    for step in steps:
        need = step.need.accelerators * (step.count if step.gang else 1)
        least = load.least.get(step.label)
        if not step.after and (not need or least is None or need < least):
            return True
    return False


def _is_within_guarantee(
    submission: Submission, queue: Queue, policy: Policy, use: UrgentUse
) -> bool:
    """Whether an organisation's urgent work is within its guarantee.

    A job that is urgent counts with it. Urgent work that may have ended since the
    summary was made does not: the guarantee would be free for the job.
    """
    guarantee = policy.guarantees.get(submission.organisation, 0)
    if queue.priority == 0:
        return use.staying + count_accelerators(submission.steps) <= guarantee
    return guarantee > 0 and use.total <= guarantee


def _judge_wait(
    submission: Submission,
    queue: Queue,
    policy: Policy,
    load: QueueLoad,
    pool: PoolLoad,
    draw: float,
) -> LoadRefusal | None:
    chain = find_chain(
        submission.steps, lambda step: load.run_seconds or step.estimate_seconds
    )
    objective = queue.stretch * chain + queue.objective_seconds
    if CERTAIN_WAIT_SHARE * load.fresh_wait + chain <= objective:
        return None
    bound = USELESS_AFTER_OBJECTIVES * objective
    excess = CERTAIN_WAIT_SHARE * load.wait + chain - bound
    if excess <= 0:
        return None
    share = find_share(submission.organisation, policy, load, pool)
    jobs = load.jobs.get(submission.organisation, 0)
    over = jobs > share * sum(load.jobs.values())
    return LoadRefusal(
        RefusalReason.OVER_QUOTA if over else RefusalReason.OVERLOADED,
        # What waits is started at the expected rate until the job would be accepted.
        spread_retry(excess / CERTAIN_WAIT_SHARE, draw),
        load.wait,
        load.fresh_wait,
        chain,
        objective,
        jobs,
        share,
    )


def find_share(
    organisation: str, policy: Policy, load: QueueLoad, pool: PoolLoad
) -> float:
    """Return the part of a queue's waiting jobs that is an organisation's share."""
    weights = {
        each: find_weight(policy, each, pool.accelerators)
        for each in {organisation, *load.jobs}
    }
    total = sum(weights.values())
    return weights[organisation] / total if total else 1.0


def spread_retry(seconds: float, draw: float) -> int:
    """Return whole seconds near a time, within the bounds and spread by a draw."""
    low, high = RETRY_BOUNDS_SECONDS
    centre = min(high, max(low, seconds))
    earliest = max(low, centre * (1 - RETRY_JITTER))
    latest = min(high, centre * (1 + RETRY_JITTER))
    # Rounded at random: the header has whole seconds, and times of few seconds would
    # otherwise all become the same.
    steps = math.floor(latest) - math.ceil(earliest)
    if steps < 0:
        return min(int(high), math.floor(centre + draw))
    return math.ceil(earliest) + math.floor(draw * (steps + 1))

"""Which waiting unit goes first.

Load: bursts in which several times as much waits as there is room for. Harm: in
the order of arrival, urgent work with two seconds of slack waits behind renders
that have twenty. So urgent work goes first, that within its organisation's
guarantee before the rest, and then what has the least slack against its
objective. Work whose objective is past by so much that its caller gains nothing
any more goes behind everything that can still be in time.
"""

from collections import Counter
from dataclasses import dataclass

from primrosestile.decisions.work.board import Board, Job, Unit
from primrosestile.state.work import Step

# Past this many times its objective a job's answer is of no use to its caller.
USELESS_AFTER_OBJECTIVES = 3.0


@dataclass(frozen=True, slots=True)
class Rank:
    """Where a unit stands in the queue; lower goes first.

    Attributes:
        entitled: It is urgent, and within its organisation's guarantee.
        slack: Seconds that it can wait and still meet its objective.
    """

    entitled: bool
    useless: bool
    urgent: bool
    slack: float

    def make_key(self) -> tuple[bool, bool, bool, float]:
        """Return what units are sorted by."""
        return (not self.entitled, self.useless, not self.urgent, self.slack)


def find_chain_seconds(steps: tuple[Step, ...], begin: int = 0) -> float:
    """Return the longest chain of estimates through a job's steps."""
    longest: list[float] = []
    for step in steps:
        before = max((longest[each] for each in step.after), default=0.0)
        longest.append(before + step.estimate_seconds)
    return max(longest[begin:], default=0.0)


def find_objective_seconds(job: Job) -> float:
    """Return how long a job may take from its acceptance, as estimated."""
    chain = find_chain_seconds(job.submission.steps)
    return job.queue.stretch * chain + job.queue.objective_seconds


def rank_unit(unit: Unit, now: float, entitled: bool) -> Rank:
    """Return where a waiting unit stands."""
    job = unit.job
    objective = find_objective_seconds(job)
    waited = now - job.accepted
    if job.submission.repeats.count:
        waited = now - (unit.ready_at or now)
    slack = objective - waited - unit.step.estimate_seconds
    return Rank(
        entitled=entitled,
        useless=waited > USELESS_AFTER_OBJECTIVES * objective,
        urgent=job.queue.priority == 0,
        slack=slack,
    )


def find_entitled(board: Board) -> set[str]:
    """Return the urgent jobs that lie within their organisations' guarantees.

    Counted in the order of acceptance over all that have not ended, whether they
    run or wait: a job that came later must not take the guarantee of one that
    still waits.
    """
    used: Counter[str] = Counter()
    entitled = set()
    jobs = [
        job
        for job in board.jobs.values()
        if job.queue.priority == 0 and not job.state.final
    ]
    for job in sorted(jobs, key=lambda job: job.accepted):
        organisation = job.submission.organisation
        need = count_accelerators(job)
        guarantee = board.policy.guarantees.get(organisation, 0)
        if used[organisation] + need <= guarantee:
            used[organisation] += need
            entitled.add(job.job_id)
    return entitled


def count_accelerators(job: Job) -> int:
    """Return the most accelerators that one step of a job takes."""
    return max(
        (step.count * step.need.accelerators for step in job.submission.steps),
        default=0,
    )



"""Which waiting unit goes first.

Load: bursts in which several times as much waits as there is room for. Harm: in
the order of arrival, urgent work with two seconds of slack waits behind renders
that have twenty. So urgent work goes first, that within its organisation's
guarantee before the rest, and then by the queues' priorities what has the least
slack against its objective. By slack alone, tables with an objective of twenty
seconds went before rebuilds that waited for forty. Work that is late already goes
behind what can still be in time: it would make that late as well, one after
another. Work whose objective is past by
so much that its caller gains nothing any more goes last.
"""

from collections import Counter
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from primrosestile.decisions.work.board import Board
from primrosestile.decisions.work.durations import Durations
from primrosestile.decisions.work.units import Job, Unit

# Past this many times its objective a job's answer is of no use to its caller.
USELESS_AFTER_OBJECTIVES = 3.0


# What units are sorted by.
RankKey = tuple[bool | int | float, ...]


@dataclass(frozen=True, slots=True)
class Rank:
    """Where a unit stands in the queue; lower goes first.

    Attributes:
        entitled: It is urgent, and within its organisation's guarantee.
        lasting: Its tasks serve users of their own all the time; each second in
            which one is away counts, however long ago its job was accepted.
        slack: Seconds that it can wait and still meet its objective.
    """

    entitled: bool
    useless: bool
    priority: int
    slack: float
    lasting: bool = False

    @property
    def urgent(self) -> bool:
        """Whether its queue may preempt others."""
        return self.priority == 0

    @property
    def late(self) -> bool:
        """Whether it can't meet its objective any more."""
        return self.slack < 0

    def make_key(self) -> RankKey:
        """Return what units are sorted by."""
        return (
            not self.entitled,
            not self.lasting,
            self.useless,
            not self.urgent,
            self.late,
            self.priority,
            self.slack,
        )


def find_objective_seconds(job: Job, durations: Durations) -> float:
    """Return how long a job may take from its acceptance."""
    queue = job.queue
    chain = durations.guess_chain(job.submission.queue, job.submission.steps)
    return queue.stretch * chain + queue.objective_seconds


def rank_unit(unit: Unit, now: float, entitled: bool, durations: Durations) -> Rank:
    """Return where a waiting unit stands."""
    job = unit.job
    if unit.step.lasting:
        return Rank(entitled, False, job.queue.priority, 0.0, lasting=True)
    objective = find_objective_seconds(job, durations)
    began = job.accepted
    if job.submission.repeats.count and unit.ready_at is not None:
        began = unit.ready_at
    left = durations.guess_unit(unit)
    return Rank(
        entitled=entitled,
        useless=now + left > began + USELESS_AFTER_OBJECTIVES * objective,
        priority=job.queue.priority,
        slack=began + objective - left - now,
    )


def rank_units(
    units: Iterable[Unit],
    now: float,
    entitled: Collection[str],
    durations: Durations,
    make_key: Callable[[Rank], RankKey] = Rank.make_key,
) -> list[tuple[Rank, Unit]]:
    """Return waiting units with their ranks, the most pressing first.

    Args:
        units: All that wait.
        now: On the loop's clock.
        entitled: Jobs within their organisations' guarantees.
        durations: How long runs take.
        make_key: What they are sorted by.
    """
    ranked = [
        (rank_unit(unit, now, unit.job.job_id in entitled, durations), unit)
        for unit in units
    ]
    ranked.sort(key=lambda pair: make_key(pair[0]))
    return ranked


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

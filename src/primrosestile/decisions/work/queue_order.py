"""Which waiting unit goes first.

Load: bursts in which several times as much waits as there is room for. Harm: in order
of arrival, urgent work with two seconds of slack waits behind renders that have twenty.
So urgent work goes first, work within its organisation's guarantee before the rest;
then the order is by queue priority, and then by least slack against the objective. By
slack alone, table jobs with an objective of twenty seconds went before rebuild jobs
that waited for forty. Work that is already late goes behind work that can still be in
time, or it would make that late as well, one after another. Work so far past its
objective that the result is of no use to its caller goes last. Within a priority, work
of organisations that are over their shares goes after that of the others.
"""

from collections import Counter
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from primrosestile.decisions.work.durations import Durations
from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.decisions.work.units import Job, Unit
from primrosestile.state.work import Step

# Past this many times its objective, a job's result is of no use to its caller.
USELESS_AFTER_OBJECTIVES = 3.0


# Sort key of units; lower goes first.
RankKey = tuple[bool | int | float, ...]


@dataclass(frozen=True, slots=True)
class Rank:
    """The rank of a waiting unit; lower goes first.

    Attributes:
        entitled: It is urgent, and within its organisation's guarantee.
        useless: It would end too late to be of use to its caller.
        daemon: Its tasks are services; each second in which one is not running
            counts, however long ago its job was accepted.
        over_share: Its organisation is over its share, and it is not entitled.
        slack: Seconds that it can wait and still meet its objective.
    """

    entitled: bool
    useless: bool
    priority: int
    slack: float
    daemon: bool = False
    over_share: bool = False

    @property
    def urgent(self) -> bool:
        """Whether its queue may preempt others."""
        return self.priority == 0

    @property
    def late(self) -> bool:
        """Whether it can no longer meet its objective."""
        return self.slack < 0

    def make_key(self) -> RankKey:
        """Return the sort key."""
        return (
            not self.entitled,
            not self.daemon,
            self.useless,
            not self.urgent,
            self.late,
            self.priority,
            self.over_share,
            self.slack,
        )


def find_objective_seconds(job: Job, durations: Durations) -> float:
    """Return how many seconds a job may take from its acceptance."""
    queue = job.queue
    chain = durations.guess_chain(job.submission.queue, job.submission.steps)
    return queue.stretch * chain + queue.objective_seconds


def find_deadline(job: Job, durations: Durations) -> float:
    """Return when a job misses its objective, on the loop's clock."""
    return job.accepted + find_objective_seconds(job, durations)


def find_beginning(unit: Unit) -> float:
    """Return since when a unit's caller waits: for a repeating job, for this repeat."""
    if unit.job.submission.repeats.count and unit.ready_at is not None:
        return unit.ready_at
    return unit.job.accepted


def rank_unit(
    unit: Unit,
    now: float,
    entitled: bool,
    durations: Durations,
    over_share: bool = False,
) -> Rank:
    """Return the rank of a waiting unit."""
    job = unit.job
    if unit.step.daemon:
        return Rank(entitled, False, job.queue.priority, 0.0, daemon=True)
    objective = find_objective_seconds(job, durations)
    began = find_beginning(unit)
    left = durations.guess_unit(unit)
    return Rank(
        entitled=entitled,
        useless=now + left > began + USELESS_AFTER_OBJECTIVES * objective,
        priority=job.queue.priority,
        slack=began + objective - left - now,
        over_share=over_share and not entitled,
    )


def rank_units(
    units: Iterable[Unit],
    now: float,
    entitled: Collection[str],
    durations: Durations,
    make_key: Callable[[Rank], RankKey] = Rank.make_key,
    is_over_share: Callable[[Unit], bool] = lambda unit: False,
) -> list[tuple[Rank, Unit]]:
    """Return waiting units with their ranks, the most urgent first.

    Args:
        units: All waiting units.
        now: On the loop's clock.
        entitled: Jobs within their organisations' guarantees.
        durations: Expected run times.
        make_key: Makes the sort key of a rank.
        is_over_share: Whether a unit's organisation is over its share.
    """
    ranked = [
        (
            rank_unit(
                unit,
                now,
                unit.job.job_id in entitled,
                durations,
                is_over_share(unit),
            ),
            unit,
        )
        for unit in units
    ]
    ranked.sort(key=lambda pair: make_key(pair[0]))
    return ranked


def find_entitled(fleet_state: FleetState) -> set[str]:
    """Return the urgent jobs that are within their organisations' guarantees.

    Counted in the order of acceptance over all jobs that have not ended, running or
    waiting: a later job must not take the guarantee of one that still waits.
    """
    used: Counter[str] = Counter()
    entitled = set()
    jobs = [
        job
        for job in fleet_state.jobs.values()
        if job.queue.priority == 0 and not job.state.final
    ]
    for job in sorted(jobs, key=lambda job: job.accepted):
        organisation = job.submission.organisation
        need = count_accelerators(job.submission.steps)
        guarantee = fleet_state.policy.guarantees.get(organisation, 0)
        if used[organisation] + need <= guarantee:
            used[organisation] += need
            entitled.add(job.job_id)
    return entitled


def count_accelerators(steps: Iterable[Step]) -> int:
    """Return the most accelerators that one step of a job needs."""
    return max((step.count * step.need.accelerators for step in steps), default=0)

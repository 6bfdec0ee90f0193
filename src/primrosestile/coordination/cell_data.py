"""State shared by the modules that run one owned cell.

Placement, worker polls and recovery are separate modules that share this state. It
belongs to a single event loop, so each of them may read and change it between two
awaits without a lock.
"""

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from primrosestile.clock import read_clock
from primrosestile.coordination.gangs import Command
from primrosestile.coordination.job_table import JobTable
from primrosestile.decisions.cell import CellView, Demand, Holding
from primrosestile.decisions.quarantine import FailureLedger
from primrosestile.decisions.run_times import RunTimes
from primrosestile.protocol.workers import WorkerReport
from primrosestile.state.fleet import Worker
from primrosestile.state.jobs import JobRecord, Member, Reason
from primrosestile.state.tenancy import Policy

# A job is expected to end when this share of the runs of its class has ended.
END_QUANTILE = 0.5


@dataclass(slots=True)
class Contact:
    """The latest known state of one worker, and when it was read.

    Attributes:
        reachable: Whether the latest call was answered.
        renewed_at: Loop time before the latest renewal that may have reached it;
            no lease there can outlive this by more than its time to live.
        report_at: Loop time at which the latest report was asked for.
        listed_leaving: Whether the VM list shows it as leaving.
        quarantined: Whether it gets only canary runs.
        wants_canary: Whether one run of idempotent work may be tried there now.
    """

    worker: Worker
    reachable: bool = False
    renewed_at: float = 0.0
    report_at: float = 0.0
    listed_leaving: bool = False
    quarantined: bool = False
    wants_canary: bool = False
    report: WorkerReport | None = None

    @property
    def leaving(self) -> bool:
        """Whether the VM list or the worker itself reports that it is leaving.

        LEAVING_FROM_EITHER_SOURCE: the list lags, and a partitioned worker can't report
        to us; either source is enough.
        """
        return self.listed_leaving or (self.report is not None and self.report.leaving)

    @property
    def is_canary(self) -> bool:
        """Whether it may get a canary run while in quarantine."""
        return self.quarantined and self.wants_canary

    @property
    def usable(self) -> bool:
        """Whether new work may be placed there."""
        accepts_work = not self.quarantined or self.wants_canary
        return self.reachable and not self.leaving and accepts_work


@dataclass(slots=True)
class CellData:
    """One owned cell.

    Attributes:
        command: Authority over its workers, with the epoch.
        job_table: Its job records.
        view: Which job holds which accelerators.
        contacts: Its workers by name.
        count_used_elsewhere: Returns what each team holds in other cells.
        count_polled: Returns how many workers this process polls in all cells.
        busy: Jobs with an action in progress; no other action starts on them.
        stopping: Busy jobs whose attempt is being stopped. Their leases are not
            renewed, since otherwise a member that can't be told to stop would run on
            beside the next attempt.
        waiting_reasons: The latest reason of each job that waits.
        retry_at: Loop time before which a job is not started again.
        started_at: Loop time at which the latest start of a job was complete.
    """

    name: str
    command: Command
    job_table: JobTable
    view: CellView
    contacts: dict[str, Contact]
    read_policy: Callable[[], Policy]
    read_quota: Callable[[str], int]
    run_times: RunTimes
    failures: FailureLedger
    wake: Callable[[], None]
    count_polled: Callable[[], int]
    count_used_elsewhere: Callable[[], Counter[str]]
    busy: set[str] = field(default_factory=set)
    stopping: set[str] = field(default_factory=set)
    waiting_reasons: dict[str, Reason] = field(default_factory=dict)
    retry_at: dict[str, float] = field(default_factory=dict)
    started_at: dict[str, float] = field(default_factory=dict)

    def refresh_usable(self, evictable: bool = True) -> None:
        """Tell the view which workers may get new work.

        Args:
            evictable: Whether the work may be run again; only such work goes to
                a worker in quarantine as a canary.
        """
        for name, contact in self.contacts.items():
            usable = contact.usable and (evictable or not contact.quarantined)
            self.view.set_usable(name, usable)

    def count_used(self) -> Counter[str]:
        """Return the accelerators that each team holds, over all cells.

        Cells of this process are counted exactly. Usage under other owners may be a few
        seconds old, so two owners that place at the same moment can exceed a team's
        quota by one job each. The quota bounds cost, not safety, and an exact count
        would need a write for each start.
        """
        used = Counter(self.count_used_elsewhere())
        used.update(self.count_used_here())
        return used

    def count_used_here(self) -> dict[str, int]:
        """Return the accelerators that each team holds in this cell."""
        used: dict[str, int] = {}
        for holding in self.view.holdings.values():
            used[holding.team] = used.get(holding.team, 0) + holding.accelerators
        return used

    def may_try(self, job_id: str) -> bool:
        """Whether the retry delay of a waiting job has passed."""
        return read_clock() >= self.retry_at.get(job_id, 0.0)

    def find_lapse_time(self, workers: Sequence[str]) -> float:
        """Return the loop time by which leases on these workers have lapsed."""
        renewed = [self.contacts[name].renewed_at for name in workers]
        return max(renewed, default=0.0) + self.command.lease_seconds


def make_class_key(record: JobRecord) -> str:
    """Return the key under which run times of the job's class are measured."""
    return f"{record.spec.team}/{record.spec.job_class}"


def make_demand(record: JobRecord) -> Demand:
    """Return a waiting job as the placement decision sees it."""
    spec = record.spec
    return Demand(
        job_id=spec.job_id,
        organisation=spec.organisation,
        team=spec.team,
        job_class=make_class_key(record),
        shape=spec.shape,
        urgency=spec.urgency,
        evictable=spec.restartable,
        checkpoints=spec.checkpoints,
        accepted_at=record.accepted_at,
        declared_seconds=spec.declared_seconds,
        done_seconds=record.checkpoint,
    )


def make_holding(
    record: JobRecord,
    members: tuple[Member, ...],
    started_at: float,
    run_times: RunTimes,
) -> Holding:
    """Return a placed job as the placement decision sees it."""
    spec = record.spec
    key = make_class_key(record)
    seconds = run_times.estimate(key, spec.declared_seconds, END_QUANTILE)
    return Holding(
        job_id=spec.job_id,
        organisation=spec.organisation,
        team=spec.team,
        members=members,
        shape=spec.shape,
        urgency=spec.urgency,
        evictable=spec.restartable,
        checkpoints=spec.checkpoints,
        started_at=started_at,
        checkpointed_at=started_at,
        job_class=key,
        ends_at=started_at + max(0.0, seconds - record.checkpoint),
    )

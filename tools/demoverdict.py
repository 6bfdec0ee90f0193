"""Compares the outcomes that the demo's callers saw with the workers' ledger.

The demo fails where the two differ to a caller's disadvantage, whatever the programs
logged.
"""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from primrosestile_standin.ledger import Ledger, TaskRun
from tools.demowork import ANSWERED, LOST, OUTCOMES, REFUSED, WorkItem

MICROSECONDS = 1_000_000
MAX_MICROSECONDS = 3_600 * MICROSECONDS
SIGNIFICANT_DIGITS = 3
# A gang that lost a member may run in part until the lease of its members ends; the
# slack covers delays of the worker's timer and of reading it here.
PARTIAL_RUN_SLACK_SECONDS = 1.0
TIME_HEADS = ("wait p50 / p99 s", "completion p50 / p99 s")


class Times:
    """A histogram of durations."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)

    def add(self, seconds: float) -> None:
        """Record one duration."""
        self._histogram.record_value(max(1, round(seconds * MICROSECONDS)))

    def read(self, percentile: float) -> float:
        """Return a percentile of the durations in seconds."""
        return self._histogram.get_value_at_percentile(percentile) / MICROSECONDS

    def describe(self) -> str:
        """Return p50 and p99 in seconds."""
        if not self._histogram.get_total_count():
            return "-"
        return f"{self.read(50):.2f} / {self.read(99):.2f}"


@dataclass(slots=True)
class Row:
    """Counts by outcome and times of one class of work.

    Attributes:
        max_starts: The most starts of one work item; a gang that was reclaimed or
            lost a VM's worker starts again.
    """

    sent: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    twice: int = 0
    max_starts: int = 0
    wait: Times = field(default_factory=Times)
    completion: Times = field(default_factory=Times)


@dataclass(slots=True)
class Verdict:
    """Rows by class of work, and the faults as sentences."""

    rows: dict[str, Row] = field(default_factory=lambda: defaultdict(Row))
    faults: list[str] = field(default_factory=list)


def check_work(
    work_items: list[WorkItem], ledger: Ledger, max_partial_seconds: float, drained: str
) -> Verdict:
    """Compare what callers were told with what ran.

    Args:
        work_items: All work, each with its outcome.
        ledger: What the workers recorded.
        max_partial_seconds: Seconds for which a gang may run in part.
        drained: The drained VM, which must not cut any connection.
    """
    verdict = Verdict()
    requests = defaultdict(list)
    for run in ledger.requests:
        requests[run.request_id].append(run)
    tasks = defaultdict(list)
    for task in ledger.tasks:
        tasks[task.payload].append(task)
    for work_item in work_items:
        row = verdict.rows[work_item.job_class.name]
        row.sent += 1
        starts = [run.start for run in requests[work_item.work_id]]
        faults = check_request(work_item, len(starts))
        if work_item.is_job:
            runs = tasks[work_item.work_id]
            first = {run.task_id: run.start for run in runs}
            starts = list(first.values())
            faults = check_job(work_item, runs, max_partial_seconds)
        if drained in work_item.cut_by:
            faults.append(
                f"{work_item.work_id} was cut off by the drained VM {drained}"
            )
        count(row, work_item, starts, faults)
        verdict.faults += faults
    return verdict


def count(
    row: Row, work_item: WorkItem, starts: list[float], faults: list[str]
) -> None:
    """Add one work item to its row."""
    row.outcomes[work_item.outcome] += 1
    row.twice += any("twice" in fault for fault in faults)
    row.max_starts = max(row.max_starts, len(starts))
    if work_item.outcome == ANSWERED and starts:
        row.wait.add(max(0.0, min(starts) - work_item.sent_at))
        row.completion.add(work_item.ended_at - work_item.sent_at)


def check_request(work_item: WorkItem, runs: int) -> list[str]:
    """Return the faults of a short request."""
    faults = []
    if work_item.outcome == LOST:
        faults.append(f"{work_item.work_id} was lost: {work_item.detail}")
    if work_item.outcome == ANSWERED and not runs:
        faults.append(f"{work_item.work_id} was answered and never ran")
    if work_item.outcome == REFUSED and runs:
        faults.append(
            f"{work_item.work_id} was refused as not run and ran {runs} times"
        )
    if runs > 1 and not work_item.job_class.idempotent:
        faults.append(f"{work_item.work_id} is not idempotent and ran twice or more")
    return faults


def check_job(
    work_item: WorkItem, runs: list[TaskRun], max_partial_seconds: float
) -> list[str]:
    """Return the faults of a gang job."""
    faults = []
    attempts: dict[str, list[TaskRun]] = defaultdict(list)
    for run in runs:
        attempts[run.task_id].append(run)
    if work_item.outcome == LOST:
        faults.append(f"{work_item.work_id} was lost: {work_item.detail}")
    if work_item.outcome == REFUSED and runs:
        faults.append(f"{work_item.work_id} was refused as not run and ran")
    if work_item.outcome == ANSWERED and not runs:
        faults.append(f"{work_item.work_id} finished and never ran")
    finished = [task_id for task_id in attempts if is_finished(attempts[task_id])]
    if len(finished) > 1:
        steps = ", ".join(work_item.reasons)
        faults.append(f"{work_item.work_id} ran to its end twice or more: {steps}")
    shape = work_item.job_class.shape
    for task_id, members in attempts.items():
        seconds = measure_part(members, shape.accelerators if shape else 0)
        if seconds > max_partial_seconds + PARTIAL_RUN_SLACK_SECONDS:
            faults.append(
                f"{work_item.work_id} ran in part for {seconds:.1f} s as {task_id}"
            )
    return faults


def is_finished(members: list[TaskRun]) -> bool:
    """Return whether every member of an attempt finished."""
    return all(run.outcome == "finished" for run in members)


def measure_part(members: list[TaskRun], accelerators: int) -> float:
    """Return the seconds for which an attempt ran on only some accelerators.

    Members that have finished their work count as present, so a gang whose members
    finish one after another does not count as running in part.
    """
    starts = [run.start for run in members]
    if sum(len(run.accelerators) for run in members) < accelerators:
        return max(run.end or run.start for run in members) - min(starts)
    late_start = max(starts) - min(starts)
    stopped = [run.end for run in members if run.end and run.outcome != "finished"]
    if not stopped:
        return late_start
    last = max(run.end or max(stopped) for run in members)
    return max(late_start, last - min(stopped))


def format_verdict(verdict: Verdict) -> list[str]:
    """Return the lines of the table."""
    heads = ("work", "sent", *OUTCOMES, "run twice", "most starts", *TIME_HEADS)
    lines = [heads]
    for name, row in verdict.rows.items():
        counts = (str(row.outcomes[outcome]) for outcome in OUTCOMES)
        times = (row.wait.describe(), row.completion.describe())
        repeats = (str(row.twice), str(row.max_starts))
        lines.append((name, str(row.sent), *counts, *repeats, *times))
    widths = [max(len(line[column]) for line in lines) for column in range(len(heads))]
    return [
        "  ".join(text.ljust(width) for text, width in zip(line, widths, strict=True))
        for line in lines
    ]

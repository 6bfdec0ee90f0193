"""What a demo came to, judged by the workers' own ledger.

The callers say what they were told and the ledger says what ran. Wherever the two
differ to a caller's harm, the demo has failed, whatever the programs logged.
"""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from primrosestile_standin.ledger import Ledger, TaskRun
from tools.demowork import ANSWERED, LOST, OUTCOMES, REFUSED, Piece

MICROSECONDS = 1_000_000
LONGEST_MICROSECONDS = 3_600 * MICROSECONDS
DIGITS = 3
# A gang that lost a member may run in part until the lease of its members ends,
# and the worker's timer and this process's reading of it take a moment more.
PART_SLACK_SECONDS = 1.0
TIME_HEADS = ("wait p50 / p99 s", "completion p50 / p99 s")


class Times:
    """Durations of one kind, as a histogram."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, LONGEST_MICROSECONDS, DIGITS)

    def add(self, seconds: float) -> None:
        """Count one duration."""
        self._histogram.record_value(max(1, round(seconds * MICROSECONDS)))

    def read(self, percentile: float) -> float:
        """Return the duration in seconds below which that many percent lie."""
        return self._histogram.get_value_at_percentile(percentile) / MICROSECONDS

    def describe(self) -> str:
        """Return p50 and p99 in seconds."""
        if not self._histogram.get_total_count():
            return "-"
        return f"{self.read(50):.2f} / {self.read(99):.2f}"


@dataclass(slots=True)
class Row:
    """One class of work: counts by outcome, and times.

    Attributes:
        most_starts: How often the piece that was started most often was started;
            a gang that was reclaimed or lost a VM's worker starts again.
    """

    sent: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    twice: int = 0
    most_starts: int = 0
    wait: Times = field(default_factory=Times)
    completion: Times = field(default_factory=Times)


@dataclass(slots=True)
class Verdict:
    """Rows by class of work, and each fault as a sentence."""

    rows: dict[str, Row] = field(default_factory=lambda: defaultdict(Row))
    faults: list[str] = field(default_factory=list)


def judge(
    pieces: list[Piece], ledger: Ledger, part_bound: float, drained: str
) -> Verdict:
    """Compare what callers were told with what ran.

    Args:
        pieces: All work, each piece at its end.
        ledger: What the workers wrote down.
        part_bound: Seconds for which a gang may run in part.
        drained: The VM that was told to end and may cut off nothing.
    """
    verdict = Verdict()
    requests = defaultdict(list)
    for run in ledger.requests:
        requests[run.request_id].append(run)
    tasks = defaultdict(list)
    for task in ledger.tasks:
        tasks[task.payload].append(task)
    for piece in pieces:
        row = verdict.rows[piece.job_class.name]
        row.sent += 1
        starts = [run.start for run in requests[piece.work_id]]
        faults = judge_request(piece, len(starts))
        if piece.is_job:
            runs = tasks[piece.work_id]
            first = {run.task_id: run.start for run in runs}
            starts = list(first.values())
            faults = judge_job(piece, runs, part_bound)
        if drained in piece.cuts:
            faults.append(f"{piece.work_id} was cut off by the drained {drained}")
        count(row, piece, starts, faults)
        verdict.faults += faults
    return verdict


def count(row: Row, piece: Piece, starts: list[float], faults: list[str]) -> None:
    """Add one piece to its row."""
    row.outcomes[piece.outcome] += 1
    row.twice += any("twice" in fault for fault in faults)
    row.most_starts = max(row.most_starts, len(starts))
    if piece.outcome == ANSWERED and starts:
        row.wait.add(max(0.0, min(starts) - piece.sent_at))
        row.completion.add(piece.ended_at - piece.sent_at)


def judge_request(piece: Piece, runs: int) -> list[str]:
    """Return what went wrong with a short request."""
    faults = []
    if piece.outcome == LOST:
        faults.append(f"{piece.work_id} was lost: {piece.detail}")
    if piece.outcome == ANSWERED and not runs:
        faults.append(f"{piece.work_id} was answered and never ran")
    if piece.outcome == REFUSED and runs:
        faults.append(f"{piece.work_id} was refused as not run and ran {runs} times")
    if runs > 1 and not piece.job_class.idempotent:
        faults.append(f"{piece.work_id} is not idempotent and ran twice or more")
    return faults


def judge_job(piece: Piece, runs: list[TaskRun], part_bound: float) -> list[str]:
    """Return what went wrong with a gang job."""
    faults = []
    attempts: dict[str, list[TaskRun]] = defaultdict(list)
    for run in runs:
        attempts[run.task_id].append(run)
    if piece.outcome == LOST:
        faults.append(f"{piece.work_id} was lost: {piece.detail}")
    if piece.outcome == REFUSED and runs:
        faults.append(f"{piece.work_id} was refused as not run and ran")
    if piece.outcome == ANSWERED and not runs:
        faults.append(f"{piece.work_id} finished and never ran")
    finished = [task_id for task_id in attempts if is_finished(attempts[task_id])]
    if len(finished) > 1:
        steps = ", ".join(piece.reasons)
        faults.append(f"{piece.work_id} ran to its end twice or more: {steps}")
    shape = piece.job_class.shape
    for task_id, members in attempts.items():
        seconds = measure_part(members, shape.accelerators if shape else 0)
        if seconds > part_bound + PART_SLACK_SECONDS:
            faults.append(
                f"{piece.work_id} ran in part for {seconds:.1f} s as {task_id}"
            )
    return faults


def is_finished(members: list[TaskRun]) -> bool:
    """Return whether every member of an attempt ran to its end."""
    return all(run.outcome == "finished" for run in members)


def measure_part(members: list[TaskRun], accelerators: int) -> float:
    """Return the seconds for which an attempt ran on only some accelerators.

    Members that have finished their work count as present: a gang whose members
    end one after the other is not in part.
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
        repeats = (str(row.twice), str(row.most_starts))
        lines.append((name, str(row.sent), *counts, *repeats, *times))
    widths = [max(len(line[column]) for line in lines) for column in range(len(heads))]
    return [
        "  ".join(text.ljust(width) for text, width in zip(line, widths, strict=True))
        for line in lines
    ]

"""Measures where jobs lose time on the way to the start of their last task.

Each span ends with a log line: the store has accepted the job, the owner has read it, a
pass has decided on its run, the decision is recorded, the worker has answered the
order. Lines of several processes are compared by their timestamps, so differences
between the VMs' clocks count towards the `notice` span.
"""

from collections.abc import Iterable, Mapping
from dataclasses import asdict, dataclass, fields
from datetime import datetime

from primrosestile.programs.task_timeline import Line, find_time

_QUANTILES = (0.5, 0.9, 1.0)


@dataclass(frozen=True, slots=True)
class StartDelay:
    """The spans of one job, in seconds.

    Attributes:
        accept: From the caller's call until the store has the job.
        notice: From then until the owner has read it.
        decide: From then until a pass decided on the run that started last.
        record: From then until that decision was in the store.
        order: From then until the worker answered the order.
    """

    accept: float
    notice: float
    decide: float
    record: float
    order: float

    @property
    def total(self) -> float:
        """Seconds from the caller's call to the start of the last task."""
        return float(sum(asdict(self).values()))

    @property
    def longest(self) -> str:
        """The name of the longest span."""
        spans = asdict(self)
        return max(spans, key=spans.__getitem__)


def find_delays(lines: Iterable[Line], priority: int) -> dict[str, StartDelay]:
    """Return the delays of the jobs of a priority that have started, by job id."""
    accepted: dict[str, Line] = {}
    admitted: dict[str, Line] = {}
    decided: dict[tuple[str, int, int], Line] = {}
    started: dict[tuple[str, str], Line] = {}
    for line in sorted(lines, key=find_time):
        job_id = str(line.get("job_id", ""))
        event = line["event"]
        if event == "job_accepted":
            accepted.setdefault(job_id, line)
        elif event == "job_admitted" and line.get("priority") == priority:
            admitted.setdefault(job_id, line)
        elif event == "run_decided" and line.get("step") == 0:
            decided[job_id, line["position"], line["run"]] = line
        elif event == "run_started" and _is_of_first_step(line):
            started.setdefault((job_id, line["task"]), line)
    # The dictionary keeps the order of time, so each job's last start remains.
    last = {job_id: line for (job_id, _), line in started.items()}
    delays = {}
    for job_id in accepted.keys() & admitted.keys() & last.keys():
        decision = _find_decision(decided, job_id, last[job_id])
        if decision is not None:
            delays[job_id] = _make_delay(
                accepted[job_id], admitted[job_id], decision, last[job_id]
            )
    return delays


def _is_of_first_step(line: Line) -> bool:
    parts = str(line.get("task", "")).split(".")
    return parts[1:3] == ["0", "0"]


def _find_decision(
    decided: Mapping[tuple[str, int, int], Line], job_id: str, start: Line
) -> Line | None:
    position = int(start["task"].rsplit(".", 1)[1])
    run = start["run"]
    # A gang is decided on as position 0.
    return decided.get((job_id, position, run)) or decided.get((job_id, 0, run))


def _make_delay(
    accepted: Line, admitted: Line, decided: Line, started: Line
) -> StartDelay:
    record = float(started.get("record_seconds", 0.0))
    ordered = _find_seconds(started) - _find_seconds(decided)
    return StartDelay(
        accept=float(accepted.get("seconds", 0.0)),
        notice=_find_seconds(admitted) - _find_seconds(accepted),
        decide=_find_seconds(decided) - _find_seconds(admitted),
        record=record,
        order=ordered - record,
    )


def _find_seconds(line: Line) -> float:
    return datetime.fromisoformat(find_time(line)).timestamp()


def format_delays(delays: Mapping[str, StartDelay], over: float) -> list[str]:
    """Return a table of all spans, then the jobs with more than `over` seconds."""
    names = [*(each.name for each in fields(StartDelay)), "total"]
    rows = [f"{'span':8}{'p50':>8}{'p90':>8}{'max':>8}"]
    for name in names:
        seconds = sorted(getattr(each, name) for each in delays.values())
        values = (_find_quantile(seconds, share) for share in _QUANTILES)
        rows.append(f"{name:8}" + "".join(f"{value:8.3f}" for value in values))
    late = {
        job_id: delay for job_id, delay in sorted(delays.items()) if delay.total > over
    }
    rows.append(f"{len(late)} of {len(delays)} jobs took more than {over:g} s")
    for job_id, delay in late.items():
        spans = " ".join(f"{name} {getattr(delay, name):.3f}" for name in names)
        rows.append(f"{job_id} {delay.longest}: {spans}")
    return rows


def _find_quantile(ordered: list[float], share: float) -> float:
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]

"""Decides what a new owner does about each job and task that it finds. Pure.

A placer that dies leaves records in the store and tasks on workers, at any stage of a
start. The two are compared once, after every reachable worker has seen the new epoch
(FENCE_BEFORE_ACTING): from then on the old owner can change nothing, so the compared
state can't change during the decision.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from primrosestile.coordination.gangs import make_task_id
from primrosestile.protocol.workers import TaskPhase, TaskReport, WorkerReport
from primrosestile.state.jobs import JobRecord, JobState, Member

_LIVE = (TaskPhase.HELD, TaskPhase.RUNNING)


@dataclass(frozen=True, slots=True)
class Adopt:
    """No member of the attempt is known to be missing; held members must go."""

    record: JobRecord
    held: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class Lost:
    """A member is missing: the others are stopped, then the job is decided on."""

    record: JobRecord
    missing: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Orphan:
    """A live task that no started record names."""

    worker: str
    task_id: str


@dataclass(frozen=True, slots=True)
class Recovery:
    """What a new owner has to do: stop orphans first, then handle the jobs."""

    orphans: tuple[Orphan, ...]
    lost: tuple[Lost, ...]
    adopted: tuple[Adopt, ...]


def _find_task(report: WorkerReport, task_id: str) -> TaskReport | None:
    return next((task for task in report.tasks if task.task_id == task_id), None)


def _judge(record: JobRecord, reports: Mapping[str, WorkerReport]) -> Adopt | Lost:
    task_id = make_task_id(record.spec.job_id, record.attempt)
    held: list[Member] = []
    missing: list[str] = []
    for member in record.members:
        report = reports.get(member.worker)
        if report is None:
            # An unreachable worker may run the task until its lease lapses; the
            # coroutine that polls this worker decides then.
            continue
        task = _find_task(report, task_id)
        if task is None or task.phase is TaskPhase.STOPPED:
            missing.append(member.worker)
        elif task.phase is TaskPhase.HELD:
            held.append(member)
    if missing:
        return Lost(record, tuple(missing))
    return Adopt(record, tuple(held))


def decide_recovery(
    records: Iterable[JobRecord], reports: Mapping[str, WorkerReport]
) -> Recovery:
    """Compare records with reports.

    Args:
        records: Every record of the cell.
        reports: By worker; a worker that did not answer is left out.
    """
    judged = [
        _judge(record, reports)
        for record in records
        if record.state is JobState.STARTED
    ]
    wanted = {
        make_task_id(each.record.spec.job_id, each.record.attempt) for each in judged
    }
    orphans = tuple(
        Orphan(report.worker, task.task_id)
        for report in reports.values()
        for task in report.tasks
        if task.task_id not in wanted and task.phase in _LIVE
    )
    lost = tuple(each for each in judged if isinstance(each, Lost))
    adopted = tuple(each for each in judged if isinstance(each, Adopt))
    return Recovery(orphans, lost, adopted)

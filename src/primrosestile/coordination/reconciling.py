"""What a new owner does about each job and task that it finds. Pure.

A placer that dies leaves records in the store and tasks on workers, at any stage
of a start. The two are compared once, after every reachable worker has seen the
new epoch (FENCE_BEFORE_ACTING): from then on the old owner can change nothing, so
the picture that is decided on can't move underneath the decision.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from primrosestile.coordination.gangs import make_task_id
from primrosestile.protocol.workers import TaskPhase, TaskReport, WorkerReport
from primrosestile.state.jobs import JobRecord, JobState, Member

_LIVE = (TaskPhase.HELD, TaskPhase.RUNNING)


@dataclass(frozen=True, slots=True)
class Adopt:
    """The attempt is whole as far as can be seen; members that are held must go."""

    record: JobRecord
    held: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class Lost:
    """A member is gone: the rest is to be stopped, then the job decided on."""

    record: JobRecord
    missing: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Orphan:
    """A task that no record asks for any more."""

    worker: str
    task_id: str


@dataclass(frozen=True, slots=True)
class Recovery:
    """All that a new owner has to do, in this order: stop, then adopt."""

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
            # Not reachable is not gone: its task may run until its lease lapses,
            # and the worker's own task decides then.
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

"""Which lines of the logs belong to the story of one task.

A task's runs are decided on by the owner, carried out by workers, and taken as gone
by some proof. Whoever asks why it ran twice needs more than the lines that name it:
what was believed of the workers that it ran on, and who owned the fleet meanwhile.
The latter name no task, so they are found by worker and by time.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

Line = Mapping[str, Any]

# Lines of the owner about the fleet, by how their events begin.
_OWNER_EVENTS = ("ownership_", "fence_refused", "jobs_loaded", "recovery_delayed")
_WORKER_EVENTS = ("worker_", "look_failed", "runs_given_up")
# A task's name: job, occurrence, step, and its number in the step.
_TASK_PARTS = 4


@dataclass(frozen=True, slots=True)
class TaskName:
    """A task's name in its parts; those of a gang are decided on as position 0."""

    text: str
    job: str
    step: int
    number: int


def parse_task(text: str) -> TaskName | None:
    """Return the parts of a task's name, or None when it is not one."""
    parts = text.split(".")
    if len(parts) != _TASK_PARTS or not all(part.isdigit() for part in parts[1:]):
        return None
    return TaskName(text, parts[0], int(parts[2]), int(parts[3]))


def tell_task(lines: Iterable[Line], name: TaskName) -> list[Line]:
    """Return the lines of a task's story, in the order of their times."""
    ordered = sorted(lines, key=find_time)
    own = [line for line in ordered if _names_task(line, name)]
    if not own:
        return []
    workers = {worker for line in own for worker in _list_workers(line)}
    begin, end = find_time(own[0]), find_time(own[-1])
    return [
        line
        for line in ordered
        if _names_task(line, name)
        or (begin <= find_time(line) <= end and _tells_of(line, workers))
    ]


def find_time(line: Line) -> str:
    """Return when a line was written; such texts sort as their times do."""
    return str(line.get("timestamp", ""))


def _names_task(line: Line, name: TaskName) -> bool:
    if "task" in line:
        return bool(line["task"] == name.text)
    if line.get("job_id") != name.job:
        return False
    if "position" not in line:
        # The job's own lines: accepted, admitted, cancelled.
        return True
    if line.get("step") != name.step:
        return False
    return bool(line["position"] == name.number) or _is_of_gang(line)


def _is_of_gang(line: Line) -> bool:
    """Whether a decision is one for all tasks of a step."""
    return max(len(_list_workers(line)), line.get("size", 1)) > 1


def _list_workers(line: Line) -> Sequence[str]:
    workers = line.get("workers", ())
    # In lines about many workers or figures the field is no list of names.
    named = workers if isinstance(workers, list) else ()
    return [*named, *([line["worker"]] if "worker" in line else [])]


def _tells_of(line: Line, workers: set[str]) -> bool:
    event = str(line.get("event", ""))
    if event.startswith(_OWNER_EVENTS):
        return True
    return event.startswith(_WORKER_EVENTS) and line.get("worker") in workers

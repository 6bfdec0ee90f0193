"""Selection of the log lines for the timeline of one task.

The owner decides on a task's runs, workers execute them, and some proof ends them. To
explain why a task ran twice, the lines that name it are not enough: the owner's view of
its workers and the changes of ownership in that time are needed as well. Those lines
name no task, so they are selected by worker and by time.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

Line = Mapping[str, Any]

# Prefixes of the events in the owner's lines about the fleet.
_OWNER_EVENTS = ("ownership_", "fence_refused", "jobs_loaded", "recovery_delayed")
_WORKER_EVENTS = ("worker_", "poll_failed", "runs_given_up")
# A task's name has four parts: job, occurrence, step, and number in the step.
_TASK_PARTS = 4


@dataclass(frozen=True, slots=True)
class TaskName:
    """The parts of a task's name; a gang is decided on as position 0."""

    text: str
    job: str
    step: int
    number: int


def parse_task(text: str) -> TaskName | None:
    """Return the parts of a task's name, or None for any other text."""
    parts = text.split(".")
    if len(parts) != _TASK_PARTS or not all(part.isdigit() for part in parts[1:]):
        return None
    return TaskName(text, parts[0], int(parts[2]), int(parts[3]))


def select_task_lines(lines: Iterable[Line], name: TaskName) -> list[Line]:
    """Return the lines of a task's timeline, ordered by time."""
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
        or (begin <= find_time(line) <= end and _concerns_workers(line, workers))
    ]


def find_time(line: Line) -> str:
    """Return the timestamp of a line; the texts sort in order of time."""
    return str(line.get("timestamp", ""))


def _names_task(line: Line, name: TaskName) -> bool:
    if "task" in line:
        return bool(line["task"] == name.text)
    if line.get("job_id") != name.job:
        return False
    if "position" not in line:
        # Lines about the job itself: accepted, admitted, cancelled.
        return True
    if line.get("step") != name.step:
        return False
    return bool(line["position"] == name.number) or _is_of_gang(line)


def _is_of_gang(line: Line) -> bool:
    """Whether a decision applies to all tasks of a step."""
    return max(len(_list_workers(line)), line.get("size", 1)) > 1


def _list_workers(line: Line) -> Sequence[str]:
    workers = line.get("workers", ())
    # In lines about many workers or counts the field is not a list of names.
    named = workers if isinstance(workers, list) else ()
    return [*named, *([line["worker"]] if "worker" in line else [])]


def _concerns_workers(line: Line, workers: set[str]) -> bool:
    event = str(line.get("event", ""))
    if event.startswith(_OWNER_EVENTS):
        return True
    return event.startswith(_WORKER_EVENTS) and line.get("worker") in workers

"""The record of what ran, kept by the workers themselves.

A demo or a test uses the ledger, never the programs under test, to find lost or
repeated work. Times are the loop's, which all processes of one machine share.
"""

from dataclasses import dataclass, field, replace


@dataclass(frozen=True, slots=True)
class RequestRun:
    """One run of a short request.

    Attributes:
        end: Loop time in seconds; None while it runs.
        after_leaving: Seconds since the worker began to leave; None if it had not.
    """

    worker: str
    request_id: str
    organisation: str
    idempotent: bool
    start: float
    end: float | None = None
    ok: bool = True
    after_leaving: float | None = None


@dataclass(frozen=True, slots=True)
class TaskRun:
    """One run of a task, from its go to its end.

    Attributes:
        payload: The caller's text, which stays the same when the programs give the
            job another id.
        end: Loop time in seconds; None while it runs.
        outcome: The phase in which it ended; `running` until then.
    """

    worker: str
    task_id: str
    job_id: str
    organisation: str
    attempt: int
    epoch: int
    accelerators: tuple[int, ...]
    payload: str
    start: float
    end: float | None = None
    outcome: str = "running"


@dataclass(slots=True)
class Ledger:
    """The runs on one or several workers, in order of start."""

    requests: list[RequestRun] = field(default_factory=list)
    tasks: list[TaskRun] = field(default_factory=list)

    def start_request(self, run: RequestRun) -> int:
        """Add a run; return its number, which `end_request` needs."""
        self.requests.append(run)
        return len(self.requests) - 1

    def end_request(self, number: int, end: float, ok: bool) -> None:
        """Record the end of a request's run."""
        self.requests[number] = replace(self.requests[number], end=end, ok=ok)

    def start_task(self, run: TaskRun) -> int:
        """Add a run; return its number, which `end_task` needs."""
        self.tasks.append(run)
        return len(self.tasks) - 1

    def end_task(self, number: int, end: float, outcome: str) -> None:
        """Record the end of a task's run."""
        self.tasks[number] = replace(self.tasks[number], end=end, outcome=outcome)

    def count_request(self, request_id: str) -> int:
        """Return how often a request was run."""
        return sum(run.request_id == request_id for run in self.requests)

"""The bodies and headers of control calls to workers, shared by both ends."""

from dataclasses import dataclass

from primrosestile.protocol.workers import TaskOrder

REPORT_PATH = "/control/report"
RESERVE_PATH = "/control/reserve"
PREPARE_PATH = "/control/prepare"
GO_PATH = "/control/go"
RENEW_PATH = "/control/renew"
CHECKPOINT_PATH = "/control/checkpoint"
THROTTLE_PATH = "/control/throttle"
STOP_PATH = "/control/stop"
REQUESTS_PATH = "/requests"

REQUEST_ID_HEADER = "X-Request-Id"
ORGANISATION_HEADER = "X-Organisation"
JOB_CLASS_HEADER = "X-Job-Class"
IDEMPOTENT_HEADER = "X-Idempotent"
EXPECTED_SECONDS_HEADER = "X-Expected-Seconds"
RAN_HEADER = "X-Ran"
OK_HEADER = "X-Ok"
LEAVING_HEADER = "X-Leaving"
TRUE = "true"
FALSE = "false"


@dataclass(frozen=True, slots=True)
class ReportCall:
    """Asks a worker for its report."""

    cell: str
    epoch: int


@dataclass(frozen=True, slots=True)
class OrderCall:
    """Reserves or prepares a task."""

    cell: str
    epoch: int
    order: TaskOrder


@dataclass(frozen=True, slots=True)
class TaskCall:
    """Starts a prepared task, saves its progress or stops it."""

    cell: str
    epoch: int
    task_id: str


@dataclass(frozen=True, slots=True)
class ThrottleCall:
    """Sets a task's share of its speed, from 0 to 1."""

    cell: str
    epoch: int
    task_id: str
    share: float


@dataclass(frozen=True, slots=True)
class RenewCall:
    """Renews the leases of many tasks."""

    cell: str
    epoch: int
    task_ids: tuple[str, ...]
    lease_seconds: float


@dataclass(frozen=True, slots=True)
class Done:
    """The answer to a command that returns nothing."""


@dataclass(frozen=True, slots=True)
class Saved:
    """The answer to a checkpoint: seconds of work saved."""

    seconds: float


@dataclass(frozen=True, slots=True)
class Refusal:
    """The answer to a command that was refused and changed nothing."""

    kind: str
    detail: str = ""


def write_flag(value: bool) -> str:
    """Return a boolean as a header value."""
    return TRUE if value else FALSE

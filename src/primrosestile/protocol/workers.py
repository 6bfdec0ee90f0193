"""Interface to workers: leases on accelerators, tasks, and short requests.

A worker is assumed to remember the highest epoch it has received for its cell and
refuse a lower one, to stop a task whose lease expires, and to answer a repeated command
with the outcome of the first. Without the first assumption, two owners could both
prepare tasks on a worker; the start record in the store still lets only one of them
send "go", since its write expects the revision that the owner has read.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from primrosestile.state.jobs import Member


class TaskPhase(Enum):
    """State of one gang member on its worker."""

    HELD = "held"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True)
class TaskReport:
    """One task as its worker reports it.

    Attributes:
        task_id: `<job id>.<attempt>`; unique on one worker.
        checkpoint: Seconds of work saved.
        usage: Share of the accelerators in use, with a lag.
        lease_seconds: Remaining time of its lease.
        gang_size: Number of workers on which the gang has a task; lets a process that
            can't read the store see whether the gang is complete.
    """

    task_id: str
    job_id: str
    organisation: str
    attempt: int
    epoch: int
    phase: TaskPhase
    accelerators: tuple[int, ...]
    checkpoint: float = 0.0
    usage: float = 0.0
    lease_seconds: float = 0.0
    gang_size: int = 1


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """Everything one worker holds and runs.

    Attributes:
        epoch: The highest epoch it has received.
        leaving: Whether it reports that it is leaving.
    """

    worker: str
    epoch: int
    accelerators: int
    leaving: bool
    tasks: tuple[TaskReport, ...] = ()


@dataclass(frozen=True, slots=True)
class TaskOrder:
    """What a worker needs to hold one member of a gang.

    Attributes:
        lease_seconds: The worker stops the task unless it is renewed in time.
        seconds: Declared run time; the stand-in uses it, an engine ignores it.
        checkpoint: Seconds of work already done by an earlier attempt.
    """

    task_id: str
    job_id: str
    organisation: str
    attempt: int
    member: Member
    lease_seconds: float
    seconds: float
    checkpoint: float = 0.0
    payload: str = ""
    gang_size: int = 1


@dataclass(frozen=True, slots=True)
class RequestOrder:
    """One short request to be sent to a target."""

    request_id: str
    organisation: str
    job_class: str
    idempotent: bool
    expected_seconds: float
    body: bytes


@dataclass(frozen=True, slots=True)
class RequestAnswer:
    """A target's complete answer, checked to belong to the request.

    Attributes:
        ran: Whether the target reports that the request was run.
        ok: Whether it succeeded; meaningless when it was not run.
        leaving: Whether the target reports that it is leaving.
    """

    request_id: str
    ran: bool
    ok: bool
    body: bytes
    leaving: bool = False


class Workers(Protocol):
    """Control of tasks on workers. Every call carries the caller's epoch.

    Raises, from each call:
        Failure: STALE_EPOCH when the worker has received a higher epoch,
            TARGET_REFUSED when it refuses otherwise (nothing was changed),
            WORKER_UNREACHABLE when no answer came: the command may have taken
            effect.
    """

    async def report(self, worker: str, cell: str, epoch: int) -> WorkerReport:
        """Return what it holds; raises its epoch to the call's. Epoch 0 only reads."""
        ...

    async def reserve(
        self, worker: str, cell: str, epoch: int, order: TaskOrder
    ) -> None:
        """Take a lease on the order's accelerators."""
        ...

    async def prepare(
        self, worker: str, cell: str, epoch: int, order: TaskOrder
    ) -> None:
        """Load the task under its lease and hold it, not yet running."""
        ...

    async def go(self, worker: str, cell: str, epoch: int, task_id: str) -> None:
        """Start a held task."""
        ...

    async def renew(
        self,
        worker: str,
        cell: str,
        epoch: int,
        task_ids: Sequence[str],
        lease_seconds: float,
    ) -> WorkerReport:
        """Renew many leases in one call; return the report."""
        ...

    async def checkpoint(
        self, worker: str, cell: str, epoch: int, task_id: str
    ) -> float:
        """Save progress; return the seconds of work saved."""
        ...

    async def throttle(
        self, worker: str, cell: str, epoch: int, task_id: str, share: float
    ) -> None:
        """Limit a task to a share of its speed, from 0 to 1."""
        ...

    async def stop(self, worker: str, cell: str, epoch: int, task_id: str) -> None:
        """Stop a task in any phase and free its accelerators."""
        ...


class Targets(Protocol):
    """Short requests to workers' slots."""

    async def send(
        self, target: str, order: RequestOrder, timeout: float
    ) -> RequestAnswer:
        """Send one request and return its complete answer.

        Raises:
            Failure: NO_TARGET when nothing reached the target (not run),
                OUTCOME_UNKNOWN when no answer came, or one that was cut short or
                belongs to another request.
        """
        ...


@dataclass(frozen=True, slots=True)
class ListedVm:
    """One line of the platform's VM list."""

    name: str
    leaving: bool


class VmList(Protocol):
    """The platform's list of VMs, ours and the workers'; it lags."""

    async def read(self) -> tuple[ListedVm, ...]:
        """Return the VMs that the list shows as live or leaving."""
        ...

"""Workers, as coordination sees them: leases on accelerators, tasks, requests.

Assumed of a worker, beyond the brief: it remembers the highest epoch it has seen
for its cell and refuses a lower one; it stops a task whose lease lapses; it
answers a repeated command with the same outcome as the first. Where the first
assumption fails, two owners could both start tasks on a worker; the start record
in the store still lets only one of them go, since its write expects the revision
that the owner has read.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from primrosestile.state.jobs import Member


class TaskPhase(Enum):
    """Where one member of a gang stands on its worker."""

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
        lease_seconds: What is left of its lease.
        gang_size: On how many workers the gang has a task; lets a process that
            can't read the store see whether the gang is whole.
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
        epoch: The highest epoch it has seen.
        leaving: Whether it says itself that it is leaving.
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
        seconds: Declared length; a stand-in uses it, an engine ignores it.
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
    """One short request on its way to a target."""

    request_id: str
    organisation: str
    job_class: str
    idempotent: bool
    expected_seconds: float
    body: bytes


@dataclass(frozen=True, slots=True)
class RequestAnswer:
    """A target's whole answer, checked to belong to the request.

    Attributes:
        ran: Whether the target says that the request was run.
        ok: Whether it succeeded; meaningless when it was not run.
        leaving: Whether the target says that it is leaving.
    """

    request_id: str
    ran: bool
    ok: bool
    body: bytes
    leaving: bool = False


class Workers(Protocol):
    """Control of tasks on workers. Every call carries the caller's epoch.

    Raises, from each call:
        Failure: STALE_EPOCH when the worker has seen a higher epoch,
            TARGET_REFUSED when it refuses otherwise (nothing was changed),
            WORKER_UNREACHABLE when the answer did not come: the command may
            have taken effect.
    """

    async def report(self, worker: str, cell: str, epoch: int) -> WorkerReport:
        """Return all that it holds; also tells it the epoch. Epoch 0 only reads."""
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
        """Let a held task run."""
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
        """Run a task at a share of its speed, from 0 to 1."""
        ...

    async def stop(self, worker: str, cell: str, epoch: int, task_id: str) -> None:
        """Stop a task in any phase and free its accelerators."""
        ...


class Targets(Protocol):
    """Short requests to workers' slots."""

    async def send(
        self, target: str, order: RequestOrder, timeout: float
    ) -> RequestAnswer:
        """Send one request and return its whole answer.

        Raises:
            Failure: NO_TARGET when nothing reached the target (not run),
                OUTCOME_UNKNOWN when the answer did not come, was cut short, or
                belongs to another request.
        """
        ...


@dataclass(frozen=True, slots=True)
class ListedVm:
    """One line of the platform's VM list."""

    name: str
    leaving: bool


class VmList(Protocol):
    """The platform's lagging list of VMs, ours and the workers'."""

    async def read(self) -> tuple[ListedVm, ...]:
        """Return the VMs that the list shows as live or leaving."""
        ...

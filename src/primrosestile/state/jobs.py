"""Stored records of gang jobs, claims, cell owners and processes."""

from dataclasses import dataclass, replace
from enum import Enum

from primrosestile.state.tenancy import Shape, Urgency

JOBS_PREFIX = "jobs/"
CLAIMS_PREFIX = "claims/"
HISTORY_LIMIT = 24


class JobState(Enum):
    """State of a gang job.

    ACCEPTED jobs wait for placement. STARTED is written before "go" is sent to any
    member: from then on the job may run. MOVING records the intention to hand a waiting
    job to another cell; MOVED, that it is stored there. The others are final.
    """

    ACCEPTED = "accepted"
    STARTED = "started"
    MOVING = "moving"
    MOVED = "moved"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"

    @property
    def is_final(self) -> bool:
        """Whether the job can no longer change."""
        return self not in (JobState.ACCEPTED, JobState.STARTED, JobState.MOVING)


class ReasonCode(Enum):
    """Why a decision was made; the closed list of codes used by explanations."""

    ACCEPTED = "accepted"
    PLACED = "placed"
    PLACED_IN_GUARANTEE = "placed_in_guarantee"
    PLACED_BORROWING = "placed_borrowing"
    WAITS_FOR_ROOM = "waits_for_room"
    WAITS_FOR_RECLAIM = "waits_for_reclaim"
    WAITS_FOR_GUARANTEE = "waits_for_guarantee"
    WAITS_BEHIND_URGENT = "waits_behind_urgent"
    WAITS_FOR_QUOTA = "waits_for_quota"
    NEVER_FITS = "never_fits"
    RESERVE_FAILED = "reserve_failed"
    PREPARE_FAILED = "prepare_failed"
    GO_FAILED = "go_failed"
    MEMBER_LOST = "member_lost"
    RECLAIMED = "reclaimed"
    MOVED_TO_DEFRAGMENT = "moved_to_defragment"
    MOVED_TO_CELL = "moved_to_cell"
    WORKER_LEAVING = "worker_leaving"
    RESTARTED = "restarted"
    ADOPTED = "adopted"
    FINISHED = "finished"
    FAILED_EVERYWHERE = "failed_everywhere"
    LOST_EVERYWHERE = "lost_everywhere"
    CANCELLED_BY_CALLER = "cancelled_by_caller"
    OUTCOME_UNKNOWN = "outcome_unknown"
    QUARANTINED = "quarantined"
    RELEASED_FROM_QUARANTINE = "released_from_quarantine"


@dataclass(frozen=True, slots=True)
class Reason:
    """One decision about one job or worker, for explanations and logs.

    Attributes:
        code: From the closed list.
        time: Seconds since 1970.
        detail: The figures or names behind it, as part of a sentence.
    """

    code: ReasonCode
    time: float
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Member:
    """The accelerators of one gang on one worker."""

    worker: str
    accelerators: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as its caller requested it; never changes after acceptance.

    Attributes:
        restartable: Whether it may be stopped and run again.
        checkpoints: Whether its progress can be saved.
        declared_seconds: The caller's estimate of its run time.
        payload: Opaque text for the engine.
    """

    job_id: str
    organisation: str
    team: str
    job_class: str
    shape: Shape
    urgency: Urgency
    restartable: bool
    checkpoints: bool
    declared_seconds: float
    payload: str = ""


@dataclass(frozen=True, slots=True)
class JobRecord:
    """The stored record of one gang job, under `jobs/<cell>/<job id>`.

    Attributes:
        attempt: Rises with each start; part of every task's id.
        epoch: The owner's epoch at the latest write.
        members: Workers and accelerators of the latest attempt.
        cancel_requested: Set by any entry process; the cell's owner acts on it.
        checkpoint: Saved progress, as seconds of work already done.
        losses: Starts that lost a member soon afterwards.
        moved_to: The id under which the job continues in another cell.
        history: The latest reasons, oldest first.
    """

    spec: JobSpec
    state: JobState
    accepted_at: float
    attempt: int = 0
    epoch: int = 0
    members: tuple[Member, ...] = ()
    cancel_requested: bool = False
    checkpoint: float = 0.0
    started_at: float = 0.0
    finished_at: float = 0.0
    failures: int = 0
    losses: int = 0
    moved_to: str = ""
    history: tuple[Reason, ...] = ()

    def with_reason(self, reason: Reason) -> "JobRecord":
        """Return a copy whose history ends with the reason."""
        history = (*self.history, reason)[-HISTORY_LIMIT:]
        return replace(self, history=history)


class ClaimState(Enum):
    """State of a non-idempotent request.

    CLAIMED is written before the first dispatch, DISPATCHED before anything is sent.
    """

    CLAIMED = "claimed"
    DISPATCHED = "dispatched"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Claim:
    """The stored claim on one (organisation, request id).

    Attributes:
        token: Random for each transmission by a caller; distinguishes a process's
            own write from another's when the store's answer was lost.
        step: Rises with each write under one token, so that no two writes are equal.
        entry: Name of the process that holds it.
        target: The worker to which it was dispatched.
        answer: The complete answer, when it is small enough to store.
        status: HTTP status of the answer.
    """

    token: str
    state: ClaimState
    entry: str
    fingerprint: str
    target: str = ""
    answer: str = ""
    status: int = 0
    time: float = 0.0
    step: int = 0


@dataclass(frozen=True, slots=True)
class CellOwner:
    """Owner of a cell, stored under that process's lease at `cells/<cell>`.

    The epoch is the store revision at which this key was created. Store revisions
    only increase, so every later owner has a higher epoch and no separate counter is
    needed.
    """

    process: str
    peer: str


@dataclass(frozen=True, slots=True)
class ProcessRecord:
    """One running process, stored under its lease at `processes/<name>`.

    Attributes:
        incarnation: Random at each start; distinguishes a restarted process from
            the earlier one of the same name, which may have held claims.
    """

    name: str
    vm: str
    program: str
    failure_domain: str
    http: str
    peer: str
    incarnation: str = ""
    leaving: bool = False

"""Records of a cell: jobs that hold accelerators, waiting jobs, the reservation."""

from dataclasses import dataclass

from primrosestile.state.jobs import Member
from primrosestile.state.tenancy import Shape, Urgency


@dataclass(frozen=True, slots=True)
class Holding:
    """One job that holds accelerators in the cell.

    Attributes:
        evictable: Whether it may be stopped and run again (preemptible).
        checkpoints: Whether its progress can be saved first.
        started_at: Seconds, on the same clock as the `now` of decisions.
        checkpointed_at: When its progress was last saved; at first `started_at`.
        job_class: The key under which its run time is measured.
        ends_at: When it is expected to end, by measured run times; 0.0 if unknown.
    """

    job_id: str
    organisation: str
    team: str
    members: tuple[Member, ...]
    shape: Shape
    urgency: Urgency
    evictable: bool
    checkpoints: bool
    started_at: float
    checkpointed_at: float
    job_class: str = ""
    ends_at: float = 0.0

    @property
    def accelerators(self) -> int:
        """How many accelerators it holds."""
        return sum(len(member.accelerators) for member in self.members)


@dataclass(frozen=True, slots=True)
class Demand:
    """One job that waits for a place.

    Attributes:
        accepted_at: Seconds, on the same clock as the `now` of decisions.
        declared_seconds: The caller's estimate of its run time.
        expected_seconds: Conservative estimate of its run time, filled in by
            `order_demands`; 0.0 if unknown.
        done_seconds: Work checkpointed by an earlier attempt.
    """

    job_id: str
    organisation: str
    team: str
    job_class: str
    shape: Shape
    urgency: Urgency
    evictable: bool
    checkpoints: bool
    accepted_at: float
    declared_seconds: float
    expected_seconds: float = 0.0
    done_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class Reservation:
    """Accelerators reserved for the job that has waited longest.

    Attributes:
        counts: Accelerators by worker index.
        starts_at: When the work on them is expected to have ended.
    """

    job_id: str
    counts: dict[int, int]
    starts_at: float

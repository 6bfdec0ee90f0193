"""One cell as operators see it: what is free, held, borrowed, and why work waits."""

from dataclasses import dataclass
from statistics import median

from primrosestile.coordination.celldata import CellData
from primrosestile.decisions.fragmentation import measure_fragmentation
from primrosestile.state.jobs import JobState, Member, Reason


@dataclass(frozen=True, slots=True)
class HeldPage:
    """One job that holds accelerators.

    Attributes:
        reclaimable: Whether it may be stopped for a guarantee.
    """

    job_id: str
    organisation: str
    members: tuple[Member, ...]
    reclaimable: bool


@dataclass(frozen=True, slots=True)
class CellPage:
    """One cell of the fleet view.

    Attributes:
        free: Free accelerators by usable worker.
        fragmentation: Share of free accelerators that can't host the largest
            guaranteed shape.
        completion_seconds: Median from acceptance to end of the jobs that this owner
            saw finish lately; None before the first.
        waiting: Why each waiting job waits.
    """

    cell: str
    epoch: int
    recovered: bool
    accelerators: int
    free: dict[str, int]
    fragmentation: float
    completion_seconds: float | None
    held: tuple[HeldPage, ...]
    leaving: tuple[str, ...]
    quarantined: tuple[str, ...]
    unreachable: tuple[str, ...]
    waiting: dict[str, Reason]


def describe_cell(data: CellData, epoch: int, recovered: bool) -> CellPage:
    """Return what the owner of a cell knows of it."""
    contacts = data.contacts
    return CellPage(
        cell=data.name,
        epoch=epoch,
        recovered=recovered,
        accelerators=sum(each.worker.accelerators for each in contacts.values()),
        free=data.view.free,
        fragmentation=measure_fragmentation(data.view),
        completion_seconds=median(data.completions) if data.completions else None,
        held=tuple(
            HeldPage(each.job_id, each.organisation, each.members, each.evictable)
            for each in data.view.holdings.values()
        ),
        leaving=tuple(name for name, each in contacts.items() if each.leaving),
        quarantined=tuple(name for name, each in contacts.items() if each.quarantined),
        unreachable=tuple(
            name for name, each in contacts.items() if not each.reachable
        ),
        waiting={
            job_id: reason
            for job_id, reason in data.waiting_reasons.items()
            if _waits(data, job_id)
        },
    )


def _waits(data: CellData, job_id: str) -> bool:
    record = data.book.find(job_id)
    return record is not None and record.state is JobState.ACCEPTED

"""The operators' view of one cell: free, held and reclaimable, and why jobs wait."""

import heapq
from dataclasses import dataclass
from statistics import median

from primrosestile.coordination.cell_data import CellData
from primrosestile.coordination.job_table import JobTable
from primrosestile.decisions.fragmentation import measure_fragmentation
from primrosestile.state.jobs import JobState, Member, Reason

# The completion time is the median of this many jobs, about a night's.
COMPLETION_SAMPLE_SIZE = 200


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
        completion_seconds: Median from acceptance to end of the jobs that finished
            last; None before the first.
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
    """Return the owner's view of a cell."""
    contacts = data.contacts
    return CellPage(
        cell=data.name,
        epoch=epoch,
        recovered=recovered,
        accelerators=sum(each.worker.accelerators for each in contacts.values()),
        free=data.view.free,
        fragmentation=measure_fragmentation(data.view),
        completion_seconds=find_completion(data.job_table),
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


def find_completion(job_table: JobTable) -> float | None:
    """Return the median from acceptance to end of the jobs that finished last.

    The records are used because they outlive an owner. With a list in each owner's
    memory, a cell that changed owners a second after a job's end showed no completion
    time until the next job's end.
    """
    finished = job_table.list_in(JobState.FINISHED)
    last = heapq.nlargest(
        COMPLETION_SAMPLE_SIZE, finished, key=lambda each: each.finished_at
    )
    if not last:
        return None
    return median(each.finished_at - each.accepted_at for each in last)


def _waits(data: CellData, job_id: str) -> bool:
    record = data.job_table.find(job_id)
    return record is not None and record.state is JobState.ACCEPTED

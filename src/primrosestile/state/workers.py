"""Workers' entries in the store, and how runs on a worker end."""

from dataclasses import dataclass
from enum import StrEnum

from primrosestile.state.work import Need

# No worker's id contains it, so an incarnation's name can be split again.
START_SEPARATOR = "/"


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """A worker's own entry in the store.

    Attributes:
        worker: Name of one incarnation of the worker; after a crash it has another.
            See `name_incarnation`.
        rack: Label of its rack.
        leaving_seconds: Minimum time for which it stays, once it is leaving.
    """

    worker: str
    address: str
    pool: str
    failure_domain: str
    capacity: Need
    labels: tuple[str, ...]
    rack: str
    leaving: bool
    leaving_seconds: float = 0.0

    @property
    def worker_id(self) -> str:
        """The id under which the worker may have had earlier incarnations."""
        return find_worker_id(self.worker)


def name_incarnation(worker_id: str, start: int | None) -> str:
    """Return the name of one incarnation of a worker.

    A worker may start again under its id, with nothing of before: another clock, other
    numbers of ends, no runs. Whatever is kept by the name belongs to one start only.

    Args:
        worker_id: The id, which may outlast a restart.
        start: When the incarnation began, in milliseconds since 1970; None where
            workers don't report it, and so have another id after each restart.
    """
    return worker_id if start is None else f"{worker_id}{START_SEPARATOR}{start}"


def find_worker_id(incarnation: str) -> str:
    """Return the id of the worker that an incarnation belongs to."""
    return incarnation.partition(START_SEPARATOR)[0]


def make_bare_entry(worker: str, address: str) -> WorkerEntry:
    """Return the entry of a worker whose address alone is known."""
    return WorkerEntry(worker, address, "", "", Need(), (), "", leaving=False)


class EndKind(StrEnum):
    """How a run ended, as its worker reports it.

    `GANG_BROKEN`: a gang member ended because another member had ended.
    `GANG_INCOMPLETE`: the other members of the gang did not start in time.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_LAPSED = "lapsed"
    GANG_BROKEN = "broken"
    GANG_INCOMPLETE = "alone"

"""Workers' entries in the store, and how runs on a worker end."""

from dataclasses import dataclass
from enum import StrEnum

from primrosestile.state.work import Need


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """A worker's own entry in the store.

    Attributes:
        worker: Name of one incarnation of the worker; after a crash it has another.
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

"""What a worker is, and how runs on it end."""

from dataclasses import dataclass
from enum import StrEnum

from primrosestile.state.work import Need


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """What a worker says of itself in the store.

    Attributes:
        worker: Names one life of it; after a crash it has another.
        rack: Label of its rack.
        leaving_seconds: How much longer it stays at least, once it is leaving.
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
    """Return the entry of a worker of which only its address is known."""
    return WorkerEntry(worker, address, "", "", Need(), (), "", leaving=False)


class EndKind(StrEnum):
    """How a run ended, as its worker tells it.

    `BROKEN` is the end of a gang's member because another member ended, `ALONE`
    that the other members did not come in time.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"

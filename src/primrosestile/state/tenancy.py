"""Settings of organisations, teams, guarantees and job classes."""

from dataclasses import dataclass
from enum import Enum


class Urgency(Enum):
    """Whether a person is waiting for the result, or it may take hours."""

    URGENT = "urgent"
    PATIENT = "patient"


class Adjacency(Enum):
    """How close the accelerators of one gang must be."""

    WORKER = "worker"
    RACK = "rack"
    CELL = "cell"


class Kind(Enum):
    """Whether work is a short request to a slot, or a gang of accelerators."""

    REQUEST = "request"
    GANG = "gang"


@dataclass(frozen=True, slots=True)
class Shape:
    """A number of accelerators and how close they must be.

    WORKER: all on one worker. RACK: on workers of one rack, all of which are used
    entirely except for at most one. CELL: anywhere in one cell.
    """

    accelerators: int
    adjacency: Adjacency = Adjacency.WORKER


@dataclass(frozen=True, slots=True)
class Guarantee:
    """A shape that an organisation can reclaim at any time, `count` times."""

    organisation: str
    shape: Shape
    count: int = 1


@dataclass(frozen=True, slots=True)
class Guarantees:
    """All organisations and guarantees, in one stored value.

    Two changes that are each valid can be infeasible together; with one value under
    compare-and-swap, the second writer must read the first change.
    """

    organisations: tuple[str, ...] = ()
    guarantees: tuple[Guarantee, ...] = ()


@dataclass(frozen=True, slots=True)
class JobClass:
    """One kind of work of a team.

    Attributes:
        name: Unique within the team.
        kind: Short request or gang.
        urgency: Whether a person waits for it.
        idempotent: Whether running it twice is harmless. For a gang: whether it may
            be stopped and run again.
        checkpoints: Whether a gang can save its progress before it is stopped.
        expected_seconds: The declared run time, an initial estimate that measured run
            times replace.
        deadline_seconds: How long a caller waits for a short request.
        shape: The default shape of a gang of this class.
    """

    name: str
    kind: Kind
    urgency: Urgency
    idempotent: bool = True
    checkpoints: bool = False
    expected_seconds: float = 1.0
    deadline_seconds: float = 10.0
    shape: Shape | None = None


@dataclass(frozen=True, slots=True)
class Key:
    """A bearer token, kept only as the hex SHA-256 of its text."""

    name: str
    sha256: str
    scope: str = "caller"


@dataclass(frozen=True, slots=True)
class Team:
    """Settings of one team: its quota, classes and keys."""

    name: str
    organisation: str
    quota_accelerators: int
    classes: tuple[JobClass, ...] = ()
    keys: tuple[Key, ...] = ()

    def find_class(self, name: str) -> JobClass | None:
        """Return the job class of that name."""
        return next((each for each in self.classes if each.name == name), None)


@dataclass(frozen=True, slots=True)
class Policy:
    """Weights of the placement score, and limits that scheduling decisions keep.

    Attributes:
        completion_weight: Weight of completion time, from 0 to 1.
        fragmentation_weight: Weight of fragmentation, from 0 to 1.
        patient_share: Share of slots reserved for patient work, from 0 to 1.
        queue_limit: Most requests that one entry process holds in its queues.
        retry_ratio: Retries allowed as a share of first attempts.
        quarantine_share: Largest share of a cell's workers that may be in quarantine.
        operator_keys: Keys of operators.
    """

    completion_weight: float = 0.5
    fragmentation_weight: float = 0.5
    patient_share: float = 0.2
    queue_limit: int = 2000
    retry_ratio: float = 0.1
    quarantine_share: float = 0.25
    operator_keys: tuple[Key, ...] = ()

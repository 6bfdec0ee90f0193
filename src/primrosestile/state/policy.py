"""What operators have set: queues, organisations and their keys, worker pools."""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Advised:
    """A queue whose rules on workers only an advice service knows.

    Attributes:
        decide_seconds: What one question costs the service, besides the workers.
        per_worker_seconds: What each worker named in it costs.
        valid_seconds: How long a ticket may be used.
    """

    decide_seconds: float
    per_worker_seconds: float
    valid_seconds: float


@dataclass(frozen=True, slots=True)
class Queue:
    """Where callers hand jobs in, and what they are promised.

    Attributes:
        host: Name that a caller must use; with the prefix it selects the queue.
        priority: 0 comes first and may preempt others.
        attempts: Failed runs of one task after which its job has failed.
        stretch: Times the longest chain of work that a job may take in all.
        objective_seconds: Added to that.
        public: Callers need no key.
    """

    name: str
    host: str
    prefix: str
    pool: str
    priority: int
    attempts: int
    stretch: float
    objective_seconds: float
    timeout_seconds: float
    public: bool = False
    advised: Advised | None = None


@dataclass(frozen=True, slots=True)
class Guarantee:
    """An organisation's accelerators for its urgent work."""

    organisation: str
    accelerators: int


@dataclass(frozen=True, slots=True)
class Pool:
    """Workers that run one engine.

    Attributes:
        guards_capacity: Its workers refuse what does not fit; else we must.
        spare: Its VMs are off and cost nothing.
    """

    name: str
    guards_capacity: bool
    spare: bool = False


@dataclass(frozen=True, slots=True)
class CallLimits:
    """Bounds on what callers may send."""

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class Policy:
    """One version of everything that operators have set.

    Attributes:
        revision: The store's, at which it was written; rises with each version.
        keys: The organisation of each key.
    """

    version: int
    revision: int
    queues: tuple[Queue, ...] = ()
    pools: Mapping[str, Pool] = field(default_factory=dict)
    keys: Mapping[str, str] = field(default_factory=dict)
    guarantees: Mapping[str, int] = field(default_factory=dict)
    limits: CallLimits = CallLimits()

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix that the path begins with."""
        best = None
        for queue in self.queues:
            if queue.host != host or not path.startswith(queue.prefix):
                continue
            if best is None or len(queue.prefix) > len(best.prefix):
                best = queue
        return best

    def find_named(self, name: str) -> Queue | None:
        """Return a queue by its name."""
        for queue in self.queues:
            if queue.name == name:
                return queue
        return None

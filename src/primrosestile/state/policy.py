"""The operators' policy: queues, organisations and their keys, worker pools."""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class AdviceRules:
    """Rules of a queue whose permitted workers only the advice service knows.

    Attributes:
        decide_seconds: Fixed time that the service takes for one query.
        per_worker_seconds: Additional time for each worker named in the query.
        valid_seconds: Lifetime of a ticket.
    """

    decide_seconds: float
    per_worker_seconds: float
    valid_seconds: float


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue to which callers submit jobs, with its service objective.

    Attributes:
        host: Host name of requests; with the path prefix it selects the queue.
        priority: 0 is the highest and may preempt others.
        attempts: Failed runs of one task after which its job has failed.
        stretch: A job's time objective, as a multiple of its longest chain of work.
        objective_seconds: Constant part of the objective, added to the multiple.
        public: Whether callers need no key.
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
    advised: AdviceRules | None = None


@dataclass(frozen=True, slots=True)
class Guarantee:
    """Accelerators guaranteed to an organisation for its urgent work."""

    organisation: str
    accelerators: int


@dataclass(frozen=True, slots=True)
class Pool:
    """Workers that run one engine.

    Attributes:
        enforces_capacity: Whether its workers refuse tasks that do not fit; if not, the
            scheduler must check.
        spare: Whether its VMs are switched off and cost nothing.
    """

    name: str
    enforces_capacity: bool
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
    """One version of the operators' policy.

    Attributes:
        revision: Store revision at which it was written; rises with each version.
        keys: The organisation of each API key.
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

    def find_queue_by_name(self, name: str) -> Queue | None:
        """Return a queue by its name."""
        for queue in self.queues:
            if queue.name == name:
                return queue
        return None

"""Interface to workers that run all of their tasks under a single lease.

A worker remembers the highest fence that it has received and refuses a lower one.
All of its runs stop when the lease, which the owner extends, expires on its clock.
"""

from collections.abc import Collection
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from primrosestile.state.workers import EndKind, WorkerEntry


@dataclass(frozen=True, slots=True)
class RunningTask:
    """One run on a worker.

    Attributes:
        percent: Progress; 100 for a daemon task that is serving.
        usage: For a daemon task, the latency of its slow answers in milliseconds; for
            others, thousandths of a core in use. None when it can't be read.
    """

    task: str
    run: int
    checkpoint: str
    percent: float
    usage: float | None = 0.0


@dataclass(frozen=True, slots=True)
class EndedTask:
    """The end of one run, numbered by the worker and repeated until acknowledged."""

    number: int
    task: str
    run: int
    kind: EndKind
    checkpoint: str


@dataclass(frozen=True, slots=True)
class PollAnswer:
    """A worker's answer to a poll, which also extends its lease.

    Attributes:
        clock: The worker's monotonic clock in seconds, read no later than the answer
            was sent.
        complete: Whether every row could be read; if not, a run or end that is missing
            from the answer may still exist.
        acknowledge_limit: Number of the last end before the first unreadable one; None
            when all could be read. Later ends must not be acknowledged.
        start: When the incarnation that answered began, in milliseconds since 1970;
            None if it does not say.
    """

    clock: float
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    complete: bool = True
    acknowledge_limit: int | None = None
    start: int | None = None


@dataclass(frozen=True, slots=True)
class Restarted:
    """The answer of another start of the polled worker, under the same id.

    Attributes:
        worker: Name of the incarnation that answered.
    """

    worker: str


class Refusal(StrEnum):
    """Why a worker refused an order.

    `STALE_RUN`: the run was stopped or superseded, or another run of the task is
    present. `EXPIRED`: the lease of the start had run out when it arrived. `RESTARTED`:
    no refusal by the worker; another start of it has carried the order out.
    """

    FENCE = "fence"
    STALE_RUN = "old"
    EXPIRED = "late"
    ROOM = "room"
    TICKET = "ticket"
    OTHER_INCARNATION = "other life"
    RESTARTED = "restarted"
    UNHEALTHY = "unhealthy"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class OrderAnswer:
    """A worker's definite answer to an order; `refusal` is None when it complied."""

    clock: float = 0.0
    refusal: Refusal | None = None


@dataclass(frozen=True, slots=True)
class StartOrder:
    """A start of one member of a run.

    Attributes:
        until: Time on the worker's clock, in seconds, to which the start extends the
            worker's lease.
    """

    task: str
    run: int
    payload: str
    until: float
    checkpoint: str = ""
    ticket: str = ""


class WorkerCalls(Protocol):
    """Orders to workers.

    Raises, from each call:
        Failure: WORKER_UNREACHABLE when no answer came (the order may still take
            effect seconds later), NO_TARGET when nothing was sent.
    """

    async def poll(
        self,
        entry: WorkerEntry,
        fence: int,
        acknowledged: int,
        until: float | None,
        wait: float,
    ) -> PollAnswer | Refusal | Restarted:
        """Extend the lease, acknowledge ends up to a number, wait for a new end.

        Args:
            entry: The worker.
            fence: The caller's fence.
            acknowledged: Number of the last end that the worker may drop.
            until: Time on the worker's clock, in seconds, to which the lease is
                extended; None to leave it as it is.
            wait: Seconds to wait for a new end.
        """
        ...

    async def start(
        self, entry: WorkerEntry, fence: int, order: StartOrder
    ) -> OrderAnswer:
        """Start one run; succeeds too if this run is already present."""
        ...

    def find_transfer_seconds(self, payload: str) -> float:
        """Return how long the link of this VM needs for a start with a payload.

        A start may take that much longer than another order before it counts as
        unanswered.
        """
        ...

    async def stop(
        self, entry: WorkerEntry, fence: int, task: str, run: int
    ) -> OrderAnswer:
        """Stop a run; the worker refuses a start of it that arrives later."""
        ...

    async def pace(
        self, entry: WorkerEntry, fence: int, task: str, run: int, percent: int
    ) -> OrderAnswer:
        """Limit a run to a percentage of its speed."""
        ...


@dataclass(frozen=True, slots=True)
class WorkerListing:
    """The workers' entries that were read from the store.

    Attributes:
        rejected: Names whose entries can't be read; no work is placed on them.
        cordoned: Failure domains that operators have closed to new work.
        unread: Names of which nothing is known, since the store did not answer.
    """

    entries: tuple[WorkerEntry, ...]
    rejected: frozenset[str] = frozenset()
    cordoned: frozenset[str] = frozenset()
    unread: frozenset[str] = frozenset()


class WorkerList(Protocol):
    """The list of workers that have registered themselves."""

    async def list_workers(self) -> WorkerListing:
        """Return the workers' current entries; a stale read is not allowed.

        Raises:
            Failure: STORE_UNAVAILABLE when they can't be read.
        """
        ...

    async def read_workers(self, names: Collection[str]) -> WorkerListing:
        """Return the current entries of some workers; a stale read is not allowed.

        Workers without an entry are left out. Each costs one small call.

        Raises:
            Failure: STORE_UNAVAILABLE when the cordons can't be read.
        """
        ...

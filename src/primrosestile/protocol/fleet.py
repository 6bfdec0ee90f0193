"""Workers that run tasks under one lease a worker, as coordination sees them.

A worker keeps the highest fence that it was shown and does nothing for a lower
one; everything on it stops when the lease that we extend runs out on its clock.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from primrosestile.state.workers import EndKind, WorkerEntry


@dataclass(frozen=True, slots=True)
class RunningTask:
    """One run on a worker.

    Attributes:
        percent: Of its work; of a lasting task, 100 when it serves.
        usage: A lasting task's slow answers in milliseconds; else thousandths of
            a core in use. None when that can't be read.
    """

    task: str
    run: int
    checkpoint: str
    percent: float
    usage: float | None = 0.0


@dataclass(frozen=True, slots=True)
class EndedTask:
    """One end; the worker numbers them and repeats them until told not to."""

    number: int
    task: str
    run: int
    kind: EndKind
    checkpoint: str


@dataclass(frozen=True, slots=True)
class WorkerLook:
    """What a worker answers when its lease is extended.

    Attributes:
        clock: Its steady clock, in seconds, not after the answer was sent.
        complete: Everything in it could be read; else what it does not show may be
            there all the same.
        forget_limit: Number of the last end before any that could not be read; None
            when all could. The worker must not be told to forget later ones.
    """

    clock: float
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    complete: bool = True
    forget_limit: int | None = None


class Refusal(StrEnum):
    """Why a worker did nothing."""

    FENCE = "fence"
    OLD = "old"
    LATE = "late"
    ROOM = "room"
    TICKET = "ticket"
    OTHER_LIFE = "other life"
    UNHEALTHY = "unhealthy"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class OrderAnswer:
    """A worker's definite answer to an order; refused when there is a reason."""

    clock: float = 0.0
    refusal: Refusal | None = None


@dataclass(frozen=True, slots=True)
class StartOrder:
    """One member of a run to be started.

    Attributes:
        until: On the worker's clock; its lease lasts at least until then.
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
        Failure: WORKER_UNREACHABLE when no answer came (it may be carried out
            seconds later), NO_TARGET when nothing was sent.
    """

    async def look(
        self,
        entry: WorkerEntry,
        fence: int,
        seen: int,
        until: float | None,
        wait: float,
    ) -> WorkerLook | Refusal:
        """Extend the lease, forget ends up to `seen`, wait for another end."""
        ...

    async def start(
        self, entry: WorkerEntry, fence: int, order: StartOrder
    ) -> OrderAnswer:
        """Start one run; also right when it is there already."""
        ...

    async def stop(
        self, entry: WorkerEntry, fence: int, task: str, run: int
    ) -> OrderAnswer:
        """Stop a run, and refuse it should its start come later."""
        ...

    async def pace(
        self, entry: WorkerEntry, fence: int, task: str, run: int, percent: int
    ) -> OrderAnswer:
        """Let a run work at a share of its speed."""
        ...


@dataclass(frozen=True, slots=True)
class WorkersFound:
    """What stands on the list of workers.

    Attributes:
        refused: Names under which something stands that can't be read; they name no
            worker to use.
        cordoned: Failure domains whose workers operators have get no new work.
    """

    entries: tuple[WorkerEntry, ...]
    refused: frozenset[str] = frozenset()
    cordoned: frozenset[str] = frozenset()


class WorkerList(Protocol):
    """Which workers say that they are there."""

    async def list_workers(self) -> WorkersFound:
        """Return the workers' entries, never old ones.

        Raises:
            Failure: STORE_UNAVAILABLE when they can't be read.
        """
        ...

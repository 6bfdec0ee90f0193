"""Interface of the advice service: which workers a queue's steps may run on."""

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class AllowedWorker:
    """One worker on which a step may run.

    Attributes:
        ticket: Sent to the worker with each start of the step.
    """

    worker: str
    ticket: str


@dataclass(frozen=True, slots=True)
class Advice:
    """An answer of the service.

    Attributes:
        complete: Whether every row could be read; if not, a worker that is missing
            from the answer may still be allowed.
    """

    allowed: tuple[AllowedWorker, ...]
    complete: bool = True


class AdviceCalls(Protocol):
    """Queries to the service; it answers one at a time for each process."""

    async def ask(self, step: str, workers: tuple[str, ...], seconds: float) -> Advice:
        """Return those of some workers on which a step may run.

        Args:
            step: The name that the step's tasks begin with.
            workers: The candidates.
            seconds: How long the answer is expected to take.

        Raises:
            Failure: ADVICE_UNAVAILABLE when there is no answer; the query is safe to
                repeat.
        """
        ...

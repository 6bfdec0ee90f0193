"""Counts the owner's answered and unanswered calls to workers."""

from collections.abc import Awaitable
from typing import TypeVar

from primrosestile.clock import read_clock
from primrosestile.errors import Failure
from primrosestile.protocol.fleet import (
    OrderAnswer,
    PollAnswer,
    Refusal,
    Restarted,
    StartOrder,
    WorkerCalls,
)
from primrosestile.state.workers import WorkerEntry

# Calls are counted over the last one to two spans; a poll waits up to 1 s.
SPAN_SECONDS = 2.0

T = TypeVar("T")


class _Span:
    """Answered and unanswered calls in one span of time, by worker."""

    def __init__(self) -> None:
        self.answered: dict[str, int] = {}
        self.unanswered: dict[str, int] = {}


class MeteredCalls:
    """Wraps a `protocol.fleet.WorkerCalls` and counts its calls."""

    def __init__(self, calls: WorkerCalls) -> None:
        self._calls = calls
        self._current = _Span()
        self._previous = _Span()
        self._rotated_at = 0.0

    def count(self) -> tuple[int, float]:
        """Return the number of recent calls, and the share that went unanswered.

        The share is the mean of the workers' shares, over the workers that answered at
        least one call. A worker that is gone answers none and is called several times
        as often as one that answers, so a few of them would hide that all others
        answer.
        """
        self._rotate()
        now, previous = self._current, self._previous
        calls = 0
        shares = []
        for name in now.answered.keys() | previous.answered.keys():
            answered = now.answered.get(name, 0) + previous.answered.get(name, 0)
            failed = now.unanswered.get(name, 0) + previous.unanswered.get(name, 0)
            calls += answered + failed
            shares.append(failed / (answered + failed))
        return calls, sum(shares) / len(shares) if shares else 0.0

    async def poll(
        self,
        entry: WorkerEntry,
        fence: int,
        seen: int,
        until: float | None,
        wait: float,
    ) -> PollAnswer | Refusal | Restarted:
        """Extend the lease, acknowledge ends up to `seen`, wait for another end."""
        call = self._calls.poll(entry, fence, seen, until, wait)
        return await self._note(entry, call)

    async def start(
        self, entry: WorkerEntry, fence: int, order: StartOrder
    ) -> OrderAnswer:
        """Start one run."""
        return await self._note(entry, self._calls.start(entry, fence, order))

    def find_transfer_seconds(self, payload: str) -> float:
        """Return how long the link of this VM needs for a start with a payload."""
        return self._calls.find_transfer_seconds(payload)

    async def stop(
        self, entry: WorkerEntry, fence: int, task: str, run: int
    ) -> OrderAnswer:
        """Stop a run, and have its start refused if it arrives later."""
        return await self._note(entry, self._calls.stop(entry, fence, task, run))

    async def pace(
        self, entry: WorkerEntry, fence: int, task: str, run: int, percent: int
    ) -> OrderAnswer:
        """Set the share of its full speed at which a run works."""
        call = self._calls.pace(entry, fence, task, run, percent)
        return await self._note(entry, call)

    async def _note(self, entry: WorkerEntry, call: Awaitable[T]) -> T:
        try:
            answer = await call
        except Failure:
            self._rotate()
            _add(self._current.unanswered, entry.worker)
            raise
        self._rotate()
        _add(self._current.answered, entry.worker)
        return answer

    def _rotate(self) -> None:
        now = read_clock()
        if now - self._rotated_at > SPAN_SECONDS:
            stale = now - self._rotated_at > 2 * SPAN_SECONDS
            self._previous = _Span() if stale else self._current
            self._current = _Span()
            self._rotated_at = now


def _add(counts: dict[str, int], name: str) -> None:
    counts[name] = counts.get(name, 0) + 1

"""Counts which of the owner's calls to workers are answered."""

from collections.abc import Awaitable
from typing import TypeVar

from primrosestile.clock import read_clock
from primrosestile.errors import Failure
from primrosestile.protocol.fleet import (
    OrderAnswer,
    Refusal,
    StartOrder,
    WorkerCalls,
    WorkerLook,
)
from primrosestile.state.workers import WorkerEntry

# Calls are counted over the last one to two of these: a look waits up to 1 s.
SPAN_SECONDS = 2.0

T = TypeVar("T")


class _Span:
    """The calls of one span of time, by worker: answered and not."""

    def __init__(self) -> None:
        self.answered: dict[str, int] = {}
        self.unanswered: dict[str, int] = {}


class MeteredCalls:
    """Implements `protocol.fleet.WorkerCalls` by another one, and counts."""

    def __init__(self, calls: WorkerCalls) -> None:
        self._calls = calls
        self._now = _Span()
        self._before = _Span()
        self._turned_at = 0.0

    def count(self) -> tuple[int, float]:
        """Return calls of the last seconds, and the share that went unanswered.

        The share is the mean of the workers' shares, and only workers that answered
        at least one call count. A worker that is gone answers none, and is asked
        several times as often as one that answers: a few of them would hide that all
        others answer.
        """
        self._turn()
        now, before = self._now, self._before
        calls = 0
        shares = []
        for name in now.answered.keys() | before.answered.keys():
            answered = now.answered.get(name, 0) + before.answered.get(name, 0)
            failed = now.unanswered.get(name, 0) + before.unanswered.get(name, 0)
            calls += answered + failed
            shares.append(failed / (answered + failed))
        return calls, sum(shares) / len(shares) if shares else 0.0

    async def look(
        self,
        entry: WorkerEntry,
        fence: int,
        seen: int,
        until: float | None,
        wait: float,
    ) -> WorkerLook | Refusal:
        """Extend the lease, forget ends up to `seen`, wait for another end."""
        call = self._calls.look(entry, fence, seen, until, wait)
        return await self._note(entry, call)

    async def start(
        self, entry: WorkerEntry, fence: int, order: StartOrder
    ) -> OrderAnswer:
        """Start one run."""
        return await self._note(entry, self._calls.start(entry, fence, order))

    async def stop(
        self, entry: WorkerEntry, fence: int, task: str, run: int
    ) -> OrderAnswer:
        """Stop a run, and refuse it should its start come later."""
        return await self._note(entry, self._calls.stop(entry, fence, task, run))

    async def pace(
        self, entry: WorkerEntry, fence: int, task: str, run: int, percent: int
    ) -> OrderAnswer:
        """Let a run work at a share of its speed."""
        call = self._calls.pace(entry, fence, task, run, percent)
        return await self._note(entry, call)

    async def _note(self, entry: WorkerEntry, call: Awaitable[T]) -> T:
        try:
            answer = await call
        except Failure:
            self._turn()
            _add(self._now.unanswered, entry.worker)
            raise
        self._turn()
        _add(self._now.answered, entry.worker)
        return answer

    def _turn(self) -> None:
        now = read_clock()
        if now - self._turned_at > SPAN_SECONDS:
            stale = now - self._turned_at > 2 * SPAN_SECONDS
            self._before = _Span() if stale else self._now
            self._now = _Span()
            self._turned_at = now


def _add(counts: dict[str, int], name: str) -> None:
    counts[name] = counts.get(name, 0) + 1

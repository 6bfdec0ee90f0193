"""Queues requests and assigns the slots of targets to them.

The queue and the router are pure; this module calls them whenever something has changed
and passes their decisions to the waiting tasks. A wait ends in one of three ways: with
a target whose slot is held for the request, with a refusal as soon as the queue drops
it, or with a disconnect of its caller.
"""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from primrosestile.clock import read_clock
from primrosestile.decisions.request_queue import QueuedRequest, Refusal, RequestQueue
from primrosestile.decisions.routing import Outcome, Router
from primrosestile.errors import ErrorKind, Failure

# An idle entry still checks its queue this often, in case a wake-up was missed; too
# rare to cost anything.
IDLE_CHECK_SECONDS = 0.25
MIN_CHECK_SECONDS = 0.001
_FAULTY = (Outcome.FAILED, Outcome.UNREACHABLE, Outcome.UNKNOWN)


@dataclass(slots=True)
class _PendingRequest:
    """A queued request; `future` gets the target chosen for it."""

    waiting: QueuedRequest
    future: "asyncio.Future[str]"
    tried: frozenset[str]


@dataclass(slots=True)
class TargetCounts:
    """What happened at each worker since the last report to its cell's owner."""

    in_flight: Counter[str] = field(default_factory=Counter)
    failures: Counter[str] = field(default_factory=Counter)
    successes: Counter[str] = field(default_factory=Counter)

    def take(self) -> tuple[dict[str, int], dict[str, int], dict[str, int]]:
        """Return in-flight, failures and successes, and reset the latter two."""
        failures = dict(self.failures)
        successes = dict(self.successes)
        self.failures.clear()
        self.successes.clear()
        in_flight = {name: count for name, count in self.in_flight.items() if count}
        return in_flight, failures, successes


class SlotAssigner:
    """Assigns the slots of one entry."""

    def __init__(self, queue: RequestQueue, router: Router) -> None:
        self.queue = queue
        self.router = router
        self.counts = TargetCounts()
        self._pending: dict[str, _PendingRequest] = {}
        self._woken = asyncio.Event()

    def __len__(self) -> int:
        return len(self._pending)

    def wake(self) -> None:
        """Check the queue now, since grants or targets have changed."""
        self._woken.set()

    async def run(self) -> None:
        """Assign slots and refuse late requests, until cancelled."""
        while True:
            self._woken.clear()
            self._hand_out()
            self._refuse_late()
            try:
                async with asyncio.timeout(self._seconds_to_next_check()):
                    await self._woken.wait()
            except TimeoutError:
                continue

    def _seconds_to_next_check(self) -> float:
        now = read_clock()
        at = self.queue.next_check(now)
        if at is None:
            return IDLE_CHECK_SECONDS
        return min(IDLE_CHECK_SECONDS, max(MIN_CHECK_SECONDS, at - now))

    def _hand_out(self) -> None:
        """Assign a target to each queued request that may have one now."""
        now = read_clock()
        while self._pending and self.router.has_free_slot(now):
            chosen: list[str] = []

            def accept(waiting: QueuedRequest, chosen: list[str] = chosen) -> bool:
                pending = self._pending[waiting.request_id]
                if pending.future.done():
                    # Its caller has just disconnected and its task has not run yet. A
                    # target assigned to it would leak the slot, and the error would be
                    # raised in the caller whose end triggered this.
                    return False
                target = self.router.choose(waiting, now, pending.tried)
                if target is not None:
                    chosen.append(target)
                return target is not None

            waiting = self.queue.take(now, accept)
            if waiting is None:
                return
            pending = self._pending.pop(waiting.request_id)
            self.start(chosen[-1], waiting)
            pending.future.set_result(chosen[-1])

    def _refuse_late(self) -> None:
        """Refuse requests that can't be served in time, before their deadlines."""
        for waiting, refusal in self.queue.remove_late(read_clock()):
            pending = self._pending.pop(waiting.request_id)
            if not pending.future.done():
                pending.future.set_exception(_make_failure(refusal))

    async def wait(self, waiting: QueuedRequest, tried: frozenset[str]) -> str:
        """Wait for a slot; return the target whose slot is held for the request.

        Args:
            waiting: The request.
            tried: Targets that must not be chosen again.

        Raises:
            Failure: Why it was refused or dropped; nothing was sent.
        """
        if waiting.request_id in self._pending:
            raise Failure(ErrorKind.IN_PROGRESS, "the same id is queued here")
        refusal = self.queue.offer(waiting, read_clock())
        if refusal is not None:
            raise _make_failure(refusal)
        future: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self._pending[waiting.request_id] = _PendingRequest(waiting, future, tried)
        self._hand_out()
        if not future.done():
            self._woken.set()
        try:
            return await future
        except asyncio.CancelledError:
            self._abandon(waiting, future)
            raise

    def _abandon(self, waiting: QueuedRequest, future: "asyncio.Future[str]") -> None:
        """Free the queue place or the slot of a disconnected caller."""
        if self._pending.pop(waiting.request_id, None) is not None:
            self.queue.remove([waiting.request_id])
            return
        if future.done() and not future.cancelled() and future.exception() is None:
            self.finish(future.result(), waiting, Outcome.CANCELLED, read_clock())

    def start(self, target: str, waiting: QueuedRequest) -> None:
        """Hold a slot of a target for a request."""
        self.router.start(target, waiting, read_clock())
        self.counts.in_flight[target] += 1

    def finish(
        self, target: str, waiting: QueuedRequest, outcome: Outcome, started: float
    ) -> None:
        """Free a slot, and record the outcome of its request."""
        now = read_clock()
        self.router.finish(target, waiting, outcome, now - started, now)
        self.counts.in_flight[target] -= 1
        if outcome is Outcome.OK:
            self.counts.successes[target] += 1
            self.queue.note_served(waiting, now - started, now)
        elif outcome in _FAULTY:
            self.counts.failures[target] += 1
        self._hand_out()


def _make_failure(refusal: Refusal) -> Failure:
    return Failure(refusal.kind, refusal.detail, refusal.retry_after)

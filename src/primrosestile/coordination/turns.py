"""Turns: each waiting request's place in the queue, and the slot it is given.

The queue and the router are pure; this module asks them whenever something has
changed and tells the waiting tasks what they decided. A turn ends in one of three
ways: with a target whose slot is held for it, with a refusal the moment the queue
gives it up, or with its caller going away.
"""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from primrosestile.clock import read_clock
from primrosestile.decisions.request_queue import QueuedRequest, Refusal, RequestQueue
from primrosestile.decisions.routing import Outcome, Router
from primrosestile.errors import ErrorKind, Failure

# An idle entry still looks at its queue this often: a bound on the harm of a
# missed wake-up, too rare to cost anything.
IDLE_CHECK_SECONDS = 0.25
SHORTEST_CHECK_SECONDS = 0.001
_FAULTY = (Outcome.FAILED, Outcome.UNREACHABLE, Outcome.UNKNOWN)


@dataclass(slots=True)
class _Turn:
    """A queued request's place: resolved with the target chosen for it."""

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
        """Return in-flight, failures and successes, and start the latter anew."""
        failures = dict(self.failures)
        successes = dict(self.successes)
        self.failures.clear()
        self.successes.clear()
        in_flight = {name: count for name, count in self.in_flight.items() if count}
        return in_flight, failures, successes


class Turns:
    """Hands out the slots of one entry."""

    def __init__(self, queue: RequestQueue, router: Router) -> None:
        self.queue = queue
        self.router = router
        self.counts = TargetCounts()
        self._turns: dict[str, _Turn] = {}
        self._woken = asyncio.Event()

    def __len__(self) -> int:
        return len(self._turns)

    def wake(self) -> None:
        """Look at the queue now: grants or targets have changed."""
        self._woken.set()

    async def run(self) -> None:
        """Hand out turns and give up what can't be served, until cancelled."""
        while True:
            self._woken.clear()
            self._hand_out()
            self._give_up()
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
        return min(IDLE_CHECK_SECONDS, max(SHORTEST_CHECK_SECONDS, at - now))

    def _hand_out(self) -> None:
        """Give a target to each queued request that may have one now."""
        now = read_clock()
        while self._turns and self.router.has_free_slot(now):
            chosen: list[str] = []

            def accept(waiting: QueuedRequest, chosen: list[str] = chosen) -> bool:
                turn = self._turns[waiting.request_id]
                if turn.future.done():
                    # Its caller has just gone away and its task has not run yet.
                    # A target handed to it would leak the slot, and the error
                    # would strike the caller whose end has set this off.
                    return False
                target = self.router.choose(waiting, now, turn.tried)
                if target is not None:
                    chosen.append(target)
                return target is not None

            waiting = self.queue.take(now, accept)
            if waiting is None:
                return
            turn = self._turns.pop(waiting.request_id)
            self.start(chosen[-1], waiting)
            turn.future.set_result(chosen[-1])

    def _give_up(self) -> None:
        """Answer at once those that can't be served in time, not at their deadline."""
        for waiting, refusal in self.queue.remove_late(read_clock()):
            turn = self._turns.pop(waiting.request_id)
            if not turn.future.done():
                turn.future.set_exception(_make_failure(refusal))

    async def wait(self, waiting: QueuedRequest, tried: frozenset[str]) -> str:
        """Wait for a turn; return the target whose slot is held for the request.

        Args:
            waiting: The request.
            tried: Targets that must not be chosen again.

        Raises:
            Failure: Why it was refused or given up; nothing was sent.
        """
        if waiting.request_id in self._turns:
            raise Failure(ErrorKind.IN_PROGRESS, "the same id is queued here")
        refusal = self.queue.offer(waiting, read_clock())
        if refusal is not None:
            raise _make_failure(refusal)
        future: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self._turns[waiting.request_id] = _Turn(waiting, future, tried)
        self._hand_out()
        if not future.done():
            self._woken.set()
        try:
            return await future
        except asyncio.CancelledError:
            self._abandon(waiting, future)
            raise

    def _abandon(self, waiting: QueuedRequest, future: "asyncio.Future[str]") -> None:
        """Free what a caller who has gone away held: its place, or its slot."""
        if self._turns.pop(waiting.request_id, None) is not None:
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
        """Free a slot, and note what became of the request that held it."""
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

"""The policies that the request benchmark compares: the product and a baseline."""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from primrosestile.decisions.request_queue import (
    QueuedRequest,
    RequestQueue,
    make_queue,
)
from primrosestile.decisions.routing import Outcome, Router, make_router
from primrosestile.decisions.slots import GRANT_SECONDS, make_grant_ledger
from primrosestile.state.tenancy import Policy
from tools.bench.requests_driver import Clock, Entries, Fleet, Plan, Result

OUTCOMES = {
    "ok": Outcome.OK,
    "failed": Outcome.FAILED,
    "refused": Outcome.REFUSED,
    "leaving": Outcome.LEAVING,
}


def end(result: Result, outcome: str, now: float) -> None:
    """Record the caller's only answer."""
    assert result.outcome == "open", (result.outcome, outcome)
    result.ended = now
    result.outcome = outcome
    result.good = outcome == "ok" and now <= result.arrival.waiting.deadline


class FifoEntries:
    """The baseline: a queue in order of arrival at each entry, and random targets."""

    def __init__(self, plan: Plan, clock: Clock, fleet: Fleet) -> None:
        self._plan = plan
        self._clock = clock
        self._fleet = fleet
        self._random = random.Random(7)
        self._waiting: list[deque[Result]] = [deque() for _ in range(plan.entries)]
        self._running = [0] * plan.entries
        self._max_running = plan.workers * plan.slots // plan.entries

    def arrive(self, result: Result) -> None:
        """Take in one request."""
        self._waiting[result.arrival.entry].append(result)
        self._pump(result.arrival.entry)

    def cancel(self, results: list[Result]) -> None:
        """Cancel what still waits."""
        for result in results:
            if result.outcome == "open" and result.started is None:
                self._waiting[result.arrival.entry].remove(result)
                end(result, "cancelled", self._clock.now)

    def _pump(self, entry: int) -> None:
        now = self._clock.now
        waiting = self._waiting[entry]
        while waiting and self._running[entry] < self._max_running:
            result = waiting.popleft()
            if now >= result.arrival.waiting.deadline:
                end(result, "refused_late", now)
                continue
            result.started = now
            self._send(entry, result, 3)

    def _send(self, entry: int, result: Result, attempts: int) -> None:
        self._running[entry] += 1
        target = self._random.choice(self._plan.worker_names)

        def done(outcome: str, seconds: float) -> None:
            self._running[entry] -= 1
            retry = outcome != "ok" and result.arrival.waiting.idempotent
            if retry and attempts > 1:
                self._send(entry, result, attempts - 1)
            else:
                end(result, outcome, self._clock.now)
            self._pump(entry)

        self._fleet.send(target, result.arrival.run, done)


@dataclass(slots=True)
class Attempt:
    """An open request and the targets that it was sent to."""

    result: Result
    tried: frozenset[str] = frozenset()
    open_attempts: int = 0


class Entry:
    """One entry of the product, composed as in the entry program."""

    def __init__(
        self, name: str, clock: Clock, fleet: Fleet, parts: "EntryParts"
    ) -> None:
        self.name = name
        self._clock = clock
        self._fleet = fleet
        self._attempts: dict[str, Attempt] = {}
        self._check_at: float | None = None
        policy = Policy()
        self.queue = parts.queue(policy)
        self.router = parts.router(name, policy)

    def arrive(self, result: Result) -> None:
        """Accept one request or refuse it."""
        waiting = result.arrival.waiting
        refusal = self.queue.offer(waiting, self._clock.now)
        if refusal is not None:
            end(result, "refused", self._clock.now)
            return
        self._attempts[waiting.request_id] = Attempt(result)
        self.router.note_first_attempt()
        self.pump()

    def cancel(self, results: list[Result]) -> None:
        """Cancel those that still wait, in one pass."""
        ids = [result.arrival.waiting.request_id for result in results]
        for waiting in self.queue.remove(ids):
            attempt = self._attempts.pop(waiting.request_id)
            end(attempt.result, "cancelled", self._clock.now)

    def pump(self) -> None:
        """Send requests that have a slot, and answer late ones."""
        now = self._clock.now
        self.queue.set_slots(self.router.count_slots(now))
        chosen = ""

        def accept(waiting: object) -> bool:
            nonlocal chosen
            attempt = self._attempts[waiting.request_id]  # type: ignore[attr-defined]
            chosen = self.router.choose(waiting, now, attempt.tried) or ""  # type: ignore[arg-type]
            return bool(chosen)

        while self.router.has_free_slot(now):
            waiting = self.queue.take(now, accept)
            if waiting is None:
                break
            self._send(self._attempts[waiting.request_id], chosen)
        self._answer_late()

    def _answer_late(self) -> None:
        now = self._clock.now
        for waiting, _ in self.queue.remove_late(now):
            attempt = self._attempts.pop(waiting.request_id)
            late = now > waiting.deadline
            end(attempt.result, "refused_late" if late else "given_up", now)
        check = self.queue.next_check(now)
        if check is not None and (self._check_at is None or check < self._check_at):
            self._check_at = check
            self._clock.call_at(max(check, now + 1e-6), self._wake)

    def _wake(self) -> None:
        self._check_at = None
        self.pump()

    def _send(self, attempt: Attempt, target: str) -> None:
        now = self._clock.now
        result = attempt.result
        waiting = result.arrival.waiting
        if result.started is None:
            result.started = now
        attempt.tried |= {target}
        attempt.open_attempts += 1
        self.router.start(target, waiting, now)
        hedge = self.router.hedge_after(waiting, now)
        if hedge is not None and attempt.open_attempts == 1:
            self._clock.call_at(now + hedge, lambda: self._hedge(attempt))

        def done(outcome: str, seconds: float) -> None:
            self._finish(attempt, target, outcome, seconds)

        self._fleet.send(target, result.arrival.run, done)

    def _hedge(self, attempt: Attempt) -> None:
        waiting = attempt.result.arrival.waiting
        if attempt.result.outcome != "open" or attempt.open_attempts != 1:
            return
        now = self._clock.now
        target = self.router.choose(waiting, now, attempt.tried)
        if target is not None and self.router.may_retry(waiting, now):
            self._send(attempt, target)

    def _finish(
        self, attempt: Attempt, target: str, outcome: str, seconds: float
    ) -> None:
        now = self._clock.now
        waiting = attempt.result.arrival.waiting
        attempt.open_attempts -= 1
        self.router.finish(target, waiting, OUTCOMES[outcome], seconds, now)
        if outcome == "ok":
            self.queue.note_served(waiting, seconds, now)
        if attempt.result.outcome == "open":
            self._conclude(attempt, outcome)
        self.pump()

    def _conclude(self, attempt: Attempt, outcome: str) -> None:
        now = self._clock.now
        waiting = attempt.result.arrival.waiting
        not_run = outcome in ("refused", "leaving")
        if outcome != "ok":
            if attempt.open_attempts:
                return
            retry = waiting.idempotent or not_run
            if retry and self._retry(waiting):
                return
        self._attempts.pop(waiting.request_id, None)
        end(attempt.result, outcome, now)

    def _retry(self, waiting: QueuedRequest) -> bool:
        now = self._clock.now
        if not self.router.may_retry(waiting, now):
            return False
        return self.queue.offer(waiting, now) is None


@dataclass(frozen=True, slots=True)
class EntryParts:
    """The queue and the router of an entry; the product's by default."""

    queue: Callable[[Policy], RequestQueue] = make_queue
    router: Callable[[str, Policy], Router] = make_router


class ProductEntries:
    """All entries of the product, and the owner that grants them slots."""

    def __init__(
        self, plan: Plan, clock: Clock, fleet: Fleet, parts: EntryParts
    ) -> None:
        self._plan = plan
        self._clock = clock
        names = [f"entry-{number}" for number in range(plan.entries)]
        self.entries = [Entry(name, clock, fleet, parts) for name in names]
        self._ledger = make_grant_ledger(0.0, took_over=False)
        last = max((each.waiting.arrived_at for each in plan.arrivals), default=0.0)
        self._grant_until = last + 30.0
        self._slots = dict.fromkeys(plan.worker_names, plan.slots)
        for entry in self.entries:
            entry.router.set_entries(names)
        self._grant()

    def arrive(self, result: Result) -> None:
        """Take in one request."""
        self.entries[result.arrival.entry].arrive(result)

    def cancel(self, results: list[Result]) -> None:
        """Cancel what still waits."""
        for number, entry in enumerate(self.entries):
            entry.cancel([each for each in results if each.arrival.entry == number])

    def _grant(self) -> None:
        now = self._clock.now
        # The VM list lags: a leaving worker says so itself two seconds earlier.
        leaving = frozenset(
            name for name, time in self._plan.leaving.items() if now >= time + 2.0
        )
        in_flight = {
            entry.name: entry.router.count_in_flight() for entry in self.entries
        }
        demand = {entry.name: len(entry.queue) for entry in self.entries}
        usable = {
            name: count for name, count in self._slots.items() if name not in leaving
        }
        grants = self._ledger.grant(usable, demand, in_flight, now)
        for entry in self.entries:
            entry.router.set_targets(self._slots, leaving, now)
            if entry.name in grants:
                entry.router.set_grants(
                    self._slots, grants[entry.name], now + GRANT_SECONDS, now
                )
            entry.pump()
        if now < self._grant_until:
            self._clock.call_at(now + 1.0, self._grant)


def make_fifo(plan: Plan, clock: Clock, fleet: Fleet) -> Entries:
    """Return the baseline."""
    return FifoEntries(plan, clock, fleet)


def make_product(plan: Plan, clock: Clock, fleet: Fleet) -> Entries:
    """Return the product's decisions."""
    return ProductEntries(plan, clock, fleet, EntryParts())

"""Alternative queues and routers that are compared with the product's.

Each replaces the product's in an entry; arrivals, grants and retries stay the same.
"""

import math
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable

from primrosestile.decisions.request_queue import QueuedRequest, Refusal, RequestQueue
from primrosestile.decisions.routing import Outcome, Router
from primrosestile.errors import ErrorKind
from primrosestile.state.tenancy import Policy
from tools.bench.requests_driver import Clock, Entries, Factory, Fleet, Plan
from tools.bench.requests_policies import EntryParts, ProductEntries

OVERLOADED = Refusal(ErrorKind.OVERLOADED, "overloaded", 1.0)
TARGET_WAIT_SECONDS = 1.0
DROP_INTERVAL_SECONDS = 1.0


class FifoQueue(RequestQueue):
    """First in, first out; admits up to the limit and drops at the deadline."""

    def __init__(self, policy: Policy) -> None:
        super().__init__(policy)
        self._fifo: OrderedDict[str, QueuedRequest] = OrderedDict()
        self._dropped: list[tuple[QueuedRequest, Refusal]] = []

    def __len__(self) -> int:
        return len(self._fifo)

    def offer(self, waiting: QueuedRequest, now: float) -> Refusal | None:
        """Admit up to the limit."""
        if len(self._fifo) >= self._policy.queue_limit:
            return OVERLOADED
        self._fifo[waiting.request_id] = waiting
        return None

    def take(
        self, now: float, accept: Callable[[QueuedRequest], bool] | None = None
    ) -> QueuedRequest | None:
        """Return the oldest request."""
        if not self._fifo:
            return None
        waiting = next(iter(self._fifo.values()))
        if accept is not None and not accept(waiting):
            return None
        return self._fifo.pop(waiting.request_id)

    def remove_late(self, now: float) -> list[tuple[QueuedRequest, Refusal]]:
        """Remove and return the requests past their deadline."""
        for waiting in [each for each in self._fifo.values() if each.deadline <= now]:
            self._dropped.append((self._fifo.pop(waiting.request_id), OVERLOADED))
        dropped, self._dropped = self._dropped, []
        return dropped

    def remove(self, request_ids: Iterable[str]) -> list[QueuedRequest]:
        """Remove cancelled requests."""
        known = [each for each in request_ids if each in self._fifo]
        return [self._fifo.pop(each) for each in known]

    def next_check(self, now: float) -> float | None:
        """Return when to check again."""
        return now + 0.1 if self._fifo else None


class CodelQueue(FifoQueue):
    """CoDel: drops at the head, ever faster while its wait stays above the target."""

    def __init__(self, policy: Policy) -> None:
        super().__init__(policy)
        self._above_since: float | None = None
        self._drops = 0
        self._next_drop = 0.0

    def take(
        self, now: float, accept: Callable[[QueuedRequest], bool] | None = None
    ) -> QueuedRequest | None:
        """Return the oldest request that is not dropped."""
        while self._fifo and self._must_drop(now):
            _, waiting = self._fifo.popitem(last=False)
            self._dropped.append((waiting, OVERLOADED))
        return super().take(now, accept)

    def _must_drop(self, now: float) -> bool:
        head = next(iter(self._fifo.values()))
        if now - head.arrived_at < TARGET_WAIT_SECONDS:
            self._above_since = None
            self._drops = 0
            return False
        if self._above_since is None:
            self._above_since = now
            self._next_drop = now + DROP_INTERVAL_SECONDS
        if now < self._next_drop:
            return False
        self._drops += 1
        self._next_drop += DROP_INTERVAL_SECONDS / math.sqrt(self._drops)
        return True


class NewestFirstQueue(FifoQueue):
    """Last in, first out; drops at the deadline."""

    def take(
        self, now: float, accept: Callable[[QueuedRequest], bool] | None = None
    ) -> QueuedRequest | None:
        """Return the newest request."""
        if not self._fifo:
            return None
        waiting = next(reversed(self._fifo.values()))
        if accept is not None and not accept(waiting):
            return None
        return self._fifo.pop(waiting.request_id)


class CreditQueue(FifoQueue):
    """Admits as many as there are credits, which follow the head's wait."""

    def __init__(self, policy: Policy) -> None:
        super().__init__(policy)
        self._credits = 32.0
        self._adjusted = 0.0
        self._waits: deque[float] = deque(maxlen=16)

    def offer(self, waiting: QueuedRequest, now: float) -> Refusal | None:
        """Admit while there are credits."""
        self._adjust(now)
        if len(self._fifo) >= self._credits:
            return OVERLOADED
        return super().offer(waiting, now)

    def _adjust(self, now: float) -> None:
        if now < self._adjusted + 0.1:
            return
        self._adjusted = now
        head = next(iter(self._fifo.values()), None)
        wait = now - head.arrived_at if head else 0.0
        if wait < TARGET_WAIT_SECONDS:
            self._credits += 1.0
        else:
            excess = (wait - TARGET_WAIT_SECONDS) / TARGET_WAIT_SECONDS
            self._credits *= max(0.5, 1 - 0.02 * excess)
        self._credits = min(2000.0, max(4.0, self._credits))


class RandomRouter(Router):
    """Chooses a random target with a free slot."""

    SAMPLE_SIZE = 1

    def choose(
        self, waiting: QueuedRequest, now: float, exclude: frozenset[str] = frozenset()
    ) -> str | None:
        """Return the target with the fewest in flight of a sample."""
        self._advance(now)
        sample = self._capacity.sample(self._random, self.SAMPLE_SIZE, exclude)
        return min(sample, key=self._capacity.count_at, default=None)

    def finish(
        self,
        target: str,
        waiting: QueuedRequest,
        outcome: Outcome,
        seconds: float,
        now: float,
    ) -> None:
        """Record the end without learning about the target from it."""
        super().finish(target, waiting, Outcome.CANCELLED, seconds, now)


class TwoChoicesRouter(RandomRouter):
    """Chooses the one of two with the fewest in flight."""

    SAMPLE_SIZE = 2


class FewestRouter(RandomRouter):
    """Chooses the one of all with the fewest in flight."""

    SAMPLE_SIZE = 10_000


def make_factory(parts: EntryParts) -> Factory:
    """Return a factory of entries with these parts."""

    def make(plan: Plan, clock: Clock, fleet: Fleet) -> Entries:
        return ProductEntries(plan, clock, fleet, parts)

    return make


QUEUES = {
    "fifo": make_factory(EntryParts(queue=FifoQueue)),
    "codel": make_factory(EntryParts(queue=CodelQueue)),
    "newest-first": make_factory(EntryParts(queue=NewestFirstQueue)),
    "credits": make_factory(EntryParts(queue=CreditQueue)),
}
ROUTERS = {
    "random": make_factory(EntryParts(router=RandomRouter)),
    "two-choices": make_factory(EntryParts(router=TwoChoicesRouter)),
    "fewest-of-all": make_factory(EntryParts(router=FewestRouter)),
}

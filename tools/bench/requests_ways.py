"""Other ways to queue and to choose targets, weighed against the product's.

Each takes the product's place in an entry, and nothing else changes: same
arrivals, same grants, same retries.
"""

import math
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable

from primrosestile.decisions.request_queue import QueuedRequest, Refusal, RequestQueue
from primrosestile.decisions.routing import Outcome, Router
from primrosestile.errors import ErrorKind
from primrosestile.state.tenancy import Policy
from tools.bench.requests_driver import Clock, Entries, Factory, Fleet, Plan
from tools.bench.requests_policies import ProductEntries, Ways

OVERLOADED = Refusal(ErrorKind.OVERLOADED, "overloaded", 1.0)
TARGET_SECONDS = 1.0
INTERVAL_SECONDS = 1.0


class FifoQueue(RequestQueue):
    """First in, first out; lets in all that fits, gives up at the deadline."""

    def __init__(self, policy: Policy) -> None:
        super().__init__(policy)
        self._line: OrderedDict[str, QueuedRequest] = OrderedDict()
        self._dropped: list[tuple[QueuedRequest, Refusal]] = []

    def __len__(self) -> int:
        return len(self._line)

    def offer(self, waiting: QueuedRequest, now: float) -> Refusal | None:
        """Let in what fits."""
        if len(self._line) >= self._policy.queue_limit:
            return OVERLOADED
        self._line[waiting.request_id] = waiting
        return None

    def take(
        self, now: float, accept: Callable[[QueuedRequest], bool] | None = None
    ) -> QueuedRequest | None:
        """Return the oldest."""
        if not self._line:
            return None
        waiting = next(iter(self._line.values()))
        if accept is not None and not accept(waiting):
            return None
        return self._line.pop(waiting.request_id)

    def remove_late(self, now: float) -> list[tuple[QueuedRequest, Refusal]]:
        """Return what is past its deadline."""
        for waiting in [each for each in self._line.values() if each.deadline <= now]:
            self._dropped.append((self._line.pop(waiting.request_id), OVERLOADED))
        dropped, self._dropped = self._dropped, []
        return dropped

    def remove(self, request_ids: Iterable[str]) -> list[QueuedRequest]:
        """Remove what is cancelled."""
        known = [each for each in request_ids if each in self._line]
        return [self._line.pop(each) for each in known]

    def next_check(self, now: float) -> float | None:
        """Return when to look again."""
        return now + 0.1 if self._line else None


class CodelQueue(FifoQueue):
    """Drops at the head, ever faster while its wait stays above a target."""

    def __init__(self, policy: Policy) -> None:
        super().__init__(policy)
        self._above_since: float | None = None
        self._drops = 0
        self._next_drop = 0.0

    def take(
        self, now: float, accept: Callable[[QueuedRequest], bool] | None = None
    ) -> QueuedRequest | None:
        """Return the oldest that is not dropped."""
        while self._line and self._must_drop(now):
            _, waiting = self._line.popitem(last=False)
            self._dropped.append((waiting, OVERLOADED))
        return super().take(now, accept)

    def _must_drop(self, now: float) -> bool:
        head = next(iter(self._line.values()))
        if now - head.arrived_at < TARGET_SECONDS:
            self._above_since = None
            self._drops = 0
            return False
        if self._above_since is None:
            self._above_since = now
            self._next_drop = now + INTERVAL_SECONDS
        if now < self._next_drop:
            return False
        self._drops += 1
        self._next_drop += INTERVAL_SECONDS / math.sqrt(self._drops)
        return True


class NewestFirstQueue(FifoQueue):
    """Last in, first out, with the old ones given up at their deadline."""

    def take(
        self, now: float, accept: Callable[[QueuedRequest], bool] | None = None
    ) -> QueuedRequest | None:
        """Return the newest."""
        if not self._line:
            return None
        waiting = next(reversed(self._line.values()))
        if accept is not None and not accept(waiting):
            return None
        return self._line.pop(waiting.request_id)


class CreditQueue(FifoQueue):
    """Lets in as many as there are credits, which follow the head's wait."""

    def __init__(self, policy: Policy) -> None:
        super().__init__(policy)
        self._credits = 32.0
        self._adjusted = 0.0
        self._waits: deque[float] = deque(maxlen=16)

    def offer(self, waiting: QueuedRequest, now: float) -> Refusal | None:
        """Let in while there are credits."""
        self._adjust(now)
        if len(self._line) >= self._credits:
            return OVERLOADED
        return super().offer(waiting, now)

    def _adjust(self, now: float) -> None:
        if now < self._adjusted + 0.1:
            return
        self._adjusted = now
        head = next(iter(self._line.values()), None)
        wait = now - head.arrived_at if head else 0.0
        if wait < TARGET_SECONDS:
            self._credits += 1.0
        else:
            excess = (wait - TARGET_SECONDS) / TARGET_SECONDS
            self._credits *= max(0.5, 1 - 0.02 * excess)
        self._credits = min(2000.0, max(4.0, self._credits))


class RandomRouter(Router):
    """Any target with a free slot."""

    SAMPLE = 1

    def choose(
        self, waiting: QueuedRequest, now: float, exclude: frozenset[str] = frozenset()
    ) -> str | None:
        """Return the one with the fewest in flight of a few."""
        self._advance(now)
        sample = self._capacity.sample(self._random, self.SAMPLE, exclude)
        return min(sample, key=self._capacity.count_at, default=None)

    def finish(
        self,
        target: str,
        waiting: QueuedRequest,
        outcome: Outcome,
        seconds: float,
        now: float,
    ) -> None:
        """Note the end, and learn nothing about the target from it."""
        super().finish(target, waiting, Outcome.CANCELLED, seconds, now)


class TwoChoicesRouter(RandomRouter):
    """The one of two with the fewest in flight."""

    SAMPLE = 2


class FewestRouter(RandomRouter):
    """The one of all with the fewest in flight."""

    SAMPLE = 10_000


def make_factory(ways: Ways) -> Factory:
    """Return entries that use other ways."""

    def make(plan: Plan, clock: Clock, fleet: Fleet) -> Entries:
        return ProductEntries(plan, clock, fleet, ways)

    return make


QUEUES = {
    "fifo": make_factory(Ways(queue=FifoQueue)),
    "codel": make_factory(Ways(queue=CodelQueue)),
    "newest-first": make_factory(Ways(queue=NewestFirstQueue)),
    "credits": make_factory(Ways(queue=CreditQueue)),
}
ROUTERS = {
    "random": make_factory(Ways(router=RandomRouter)),
    "two-choices": make_factory(Ways(router=TwoChoicesRouter)),
    "fewest-of-all": make_factory(Ways(router=FewestRouter)),
}

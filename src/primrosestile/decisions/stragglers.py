"""Detection of stragglers: attempts that run far longer than their class.

A target that has become ten times slower shows it only in its first answers, and one
that hangs never answers. Until then each of its free slots gets one more request. So
the age of attempts still running counts as well.
"""

import heapq
from dataclasses import dataclass

# An attempt is a straggler once it has run four times as long as the 0.9 quantile of
# its class. With run times that vary as much as their mean, one in ten thousand is.
STRAGGLER_QUANTILE = 0.9
STRAGGLER_FACTOR = 4.0
# The loop's clock moves in steps, and a target may answer within one. An attempt of age
# 0 would be due again at once, for ever, and block the entry.
MIN_AGE_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class Running:
    """One attempt in progress.

    Attributes:
        expected: Mean run time of its class in seconds.
        straggler_after: Age in seconds from which it counts as a straggler.
    """

    target: str
    request_id: str
    started_at: float
    expected: float
    straggler_after: float


class StragglerDetector:
    """Attempts in progress, by the time at which they become stragglers."""

    def __init__(self) -> None:
        self._running: dict[tuple[str, str], Running] = {}
        self._found: set[tuple[str, str]] = set()
        self._due: list[tuple[float, int, Running]] = []
        self._sequence = 0

    def start(self, running: Running) -> None:
        """Watch an attempt."""
        self._running[(running.target, running.request_id)] = running
        self._watch(running, running.straggler_after)

    def finish(self, target: str, request_id: str) -> bool:
        """Stop watching an attempt; return whether it had become a straggler."""
        key = (target, request_id)
        self._running.pop(key, None)
        found = key in self._found
        self._found.discard(key)
        return found

    def collect(self, now: float) -> list[Running]:
        """Return new stragglers, and known ones again at each doubled age."""
        found = []
        while self._due and self._due[0][0] <= now:
            _, _, running = heapq.heappop(self._due)
            key = (running.target, running.request_id)
            if self._running.get(key) is running:
                self._found.add(key)
                found.append(running)
                self._watch(running, 2 * (now - running.started_at))
        return found

    def _watch(self, running: Running, age: float) -> None:
        self._sequence += 1
        due = running.started_at + max(age, MIN_AGE_SECONDS)
        heapq.heappush(self._due, (due, self._sequence, running))

"""Requests that run far longer than their class: a sign before the answer.

A target that has become ten times slower tells so only when its first answers
come, and one that hangs never does. Until then each free slot of it takes one
more request. So the age of what is still running counts as well.
"""

import heapq
from dataclasses import dataclass

# An attempt is remarkable once it has run four times as long as nine in ten of
# its class. Where run times vary as much as their mean, one in ten thousand does.
OVERDUE_QUANTILE = 0.9
OVERDUE_FACTOR = 4.0
# The loop's clock moves in steps, and a target may answer within one. An attempt
# without an age would be due again at once, for ever, and the entry would stop.
LEAST_AGE_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class Running:
    """One attempt under way.

    Attributes:
        expected: Seconds that its class takes on average.
        remarkable: Seconds after which its age says something about the target.
    """

    target: str
    request_id: str
    started_at: float
    expected: float
    remarkable: float


class OverdueWatch:
    """Attempts under way, by the time at which they become remarkable."""

    def __init__(self) -> None:
        self._running: dict[tuple[str, str], Running] = {}
        self._found: set[tuple[str, str]] = set()
        self._due: list[tuple[float, int, Running]] = []
        self._sequence = 0

    def start(self, running: Running) -> None:
        """Watch an attempt."""
        self._running[(running.target, running.request_id)] = running
        self._watch(running, running.remarkable)

    def finish(self, target: str, request_id: str) -> bool:
        """Watch it no longer; return whether it had become remarkable."""
        key = (target, request_id)
        self._running.pop(key, None)
        found = key in self._found
        self._found.discard(key)
        return found

    def collect(self, now: float) -> list[Running]:
        """Return those that have become remarkable, again at each doubled age."""
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
        due = running.started_at + max(age, LEAST_AGE_SECONDS)
        heapq.heappush(self._due, (due, self._sequence, running))

"""Targets that answer far worse than the others, set aside for a while.

A target that fails at once is always free, so it draws in requests faster than
any healthy one; a target that is ten times slower holds a slot for ten requests.
Both are told from ordinary noise by comparing them with the fleet, and only a
bounded share is set aside: if all are bad, there is nothing better to use.
"""

import math
import statistics
from collections.abc import Set
from dataclasses import dataclass

# A target is slow when its run times, measured against what its classes need
# elsewhere, are this many times the median target's.
SLOW_FACTOR = 3.0
# Weight of a new run; averages of logarithms settle within some twenty runs and are
# not thrown by one long run.
NEW_RUN_WEIGHT = 0.1
# Weight of the age of a run that is far overdue. Such ages are rare by chance, so
# two of them are enough to call a target slow, and one is not.
OVERDUE_WEIGHT = 0.4
# Runs before a target can be called slow, since one long run says little.
ENOUGH_RUNS = 4
# Keep the logarithm finite for runs that took no measurable time.
SHORTEST_RUN = 1e-6
LEAST_RATIO = 1e-6
# Failures in a row that set a target aside. A target that fails one request in
# ten does this once in a thousand.
FAILURES_IN_A_ROW = 3
# Rest before one request is tried again, doubled after each failed try.
FIRST_REST = 5.0
LONGEST_REST = 60.0
# The median is worked out again after so many runs, or as many as there are
# targets if that is more: it moves slowly, and sorting thousands takes long.
RUNS_BETWEEN_MEDIANS = 16


@dataclass(slots=True)
class Health:
    """What is known of one target's recent runs.

    Attributes:
        slowness: Average logarithm of run time against expected run time.
        resting_until: When one request may be tried; 0 unless set aside.
        trying: A request is under way to find out whether it has recovered.
    """

    slowness: float = 0.0
    runs: int = 0
    failures_in_a_row: int = 0
    resting_until: float = 0.0
    rest: float = FIRST_REST
    trying: bool = False

    @property
    def is_resting(self) -> bool:
        """Whether it is set aside."""
        return self.resting_until > 0

    def is_due(self, now: float, urgent: bool) -> bool:
        """Whether one request may find out if it has recovered."""
        extra = self.rest if urgent else 0.0
        return not self.trying and now >= self.resting_until + extra


class Outliers:
    """Health of all targets, and which of them are set aside."""

    def __init__(self, most_share: float) -> None:
        self.most_share = most_share
        self._targets: dict[str, Health] = {}
        self._resting: set[str] = set()
        self._changed: set[str] = set()
        self._next_try = math.inf
        self._median = 0.0
        self._runs = 0

    def set_targets(self, names: Set[str]) -> None:
        """Forget targets that are gone, and take in new ones."""
        for name in self._targets.keys() - names:
            del self._targets[name]
            if name in self._resting:
                self._resting.discard(name)
                self._changed.add(name)
        for name in sorted(names - self._targets.keys()):
            self._targets[name] = Health(slowness=self._median)

    def find(self, name: str) -> Health | None:
        """Return a target's health, or None when it is not in the fleet."""
        return self._targets.get(name)

    def is_resting(self, name: str) -> bool:
        """Whether a target is set aside."""
        return name in self._resting

    def collect_changed(self) -> set[str]:
        """Return what was set aside or let back since the last call."""
        changed, self._changed = self._changed, set()
        return changed

    def note_run(self, name: str, seconds: float, expected: float, now: float) -> None:
        """Learn from a run that succeeded."""
        health = self._targets.get(name)
        if health is None:
            return
        health.failures_in_a_row = 0
        self._note_ratio(
            name, health, seconds / max(expected, SHORTEST_RUN), NEW_RUN_WEIGHT, now
        )

    def note_overdue(
        self, name: str, seconds: float, expected: float, now: float
    ) -> None:
        """Learn from the age of a run that should have ended long ago."""
        health = self._targets.get(name)
        if health is not None:
            self._note_ratio(
                name, health, seconds / max(expected, SHORTEST_RUN), OVERDUE_WEIGHT, now
            )

    def _note_ratio(
        self, name: str, health: Health, ratio: float, weight: float, now: float
    ) -> None:
        slowness = math.log(max(ratio, LEAST_RATIO))
        health.runs += 1
        if health.trying:
            self._end_try(name, health, slowness, now)
            return
        health.slowness += weight * (slowness - health.slowness)
        self._refresh_median()
        if health.runs >= ENOUGH_RUNS and self._is_slow(health.slowness):
            self._set_aside(name, health, now)

    def note_failure(self, name: str, now: float) -> None:
        """Learn from a run that failed, or from a target that did not answer."""
        health = self._targets.get(name)
        if health is None:
            return
        health.failures_in_a_row += 1
        if health.trying:
            self._rest_again(health, now)
        elif health.failures_in_a_row >= FAILURES_IN_A_ROW:
            self._set_aside(name, health, now)

    def start_try(self, name: str) -> None:
        """Note that a request goes to a target that was set aside."""
        health = self._targets.get(name)
        if health is not None and health.is_resting:
            health.trying = True

    def drop_try(self, name: str) -> None:
        """Note that the try told nothing about the target."""
        health = self._targets.get(name)
        if health is not None and health.trying:
            health.trying = False
            self._next_try = min(self._next_try, health.resting_until)

    def list_to_try(self, now: float, urgent: bool) -> list[str]:
        """Return those that have rested long enough for one request.

        Urgent work is used only where patient work has not come for as long as
        the rest itself: nobody should wait at a target that is likely bad.
        """
        if now < self._next_try:
            return []
        resting = sorted(self._resting)
        waiting = [each for each in resting if not self._targets[each].trying]
        times = (self._targets[name].resting_until for name in waiting)
        self._next_try = min(times, default=math.inf)
        return [name for name in waiting if self._targets[name].is_due(now, urgent)]

    def _is_slow(self, slowness: float) -> bool:
        return slowness - self._median > math.log(SLOW_FACTOR)

    def _refresh_median(self) -> None:
        self._runs += 1
        if self._runs >= max(RUNS_BETWEEN_MEDIANS, len(self._targets)):
            self._runs = 0
            known = [each.slowness for each in self._targets.values() if each.runs]
            self._median = statistics.median(known)

    def _set_aside(self, name: str, health: Health, now: float) -> None:
        """Set a target aside unless too many are already.

        The cap is the share of the settings that also bounds quarantine; at
        least one may rest, else a small fleet could never avoid a bad target.
        """
        most = max(1, int(self.most_share * len(self._targets)))
        if health.is_resting or len(self._resting) >= min(most, len(self._targets) - 1):
            return
        self._resting.add(name)
        self._changed.add(name)
        health.rest = FIRST_REST
        self._rest_until(health, now + health.rest)

    def _rest_again(self, health: Health, now: float) -> None:
        health.trying = False
        health.rest = min(LONGEST_REST, health.rest * 2)
        self._rest_until(health, now + health.rest)

    def _rest_until(self, health: Health, time: float) -> None:
        health.resting_until = time
        self._next_try = min(self._next_try, time)

    def _end_try(self, name: str, health: Health, slowness: float, now: float) -> None:
        if self._is_slow(slowness):
            self._rest_again(health, now)
            return
        health.trying = False
        health.resting_until = 0.0
        health.slowness = self._median
        health.runs = 0
        self._resting.discard(name)
        self._changed.add(name)


def make_outliers(most_share: float) -> Outliers:
    """Return an empty picture of the fleet's health."""
    return Outliers(most_share)

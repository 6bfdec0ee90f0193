"""Outlier ejection: targets that do far worse than the fleet get no requests.

A target that fails at once is always free, so it attracts requests faster than any
healthy one; a target that is ten times slower occupies a slot for the time of ten
requests. Both are distinguished from noise by comparison with the fleet. Only a
bounded share is ejected: if all targets are bad, there is nothing better to use.
"""

import math
import statistics
from collections.abc import Set
from dataclasses import dataclass

# A target is slow when its run times, relative to those of the same classes
# elsewhere, are this many times the median target's.
SLOW_RATIO = 3.0
# Weight of a new run; the average of logarithms settles within some twenty runs and
# is robust against one long run.
NEW_RUN_WEIGHT = 0.1
# Weight of the age of a straggler. Stragglers are rare by chance, so two of them
# are enough to classify a target as slow, and one is not.
STRAGGLER_WEIGHT = 0.4
# Runs before a target can be classified as slow: one long run is weak evidence.
MIN_RUNS = 4
# These keep the ratio and its logarithm finite for runs of no measurable time.
MIN_EXPECTED_SECONDS = 1e-6
MIN_RATIO = 1e-6
# Consecutive failures after which a target is ejected. A target that fails one
# request in ten reaches this once in a thousand requests.
FAILURES_TO_EJECT = 3
# Above this share of failing targets, none is paused for failing.
MAX_FAILING_SHARE = 0.5
# Ejection time before the first probe, doubled after each failed probe.
INITIAL_EJECTION_SECONDS = 5.0
MAX_EJECTION_SECONDS = 60.0
# The median is recomputed after this many runs, or as many as there are targets if
# that is more: it changes slowly, and sorting thousands of targets takes long.
RUNS_BETWEEN_MEDIANS = 16


@dataclass(slots=True)
class Health:
    """Statistics of one target's recent runs.

    Attributes:
        slowness: Average logarithm of run time over expected run time.
        ejected_until: When one probe may be sent; 0 unless ejected.
        probing: Whether a request is in flight as a probe of its recovery.
    """

    slowness: float = 0.0
    runs: int = 0
    consecutive_failures: int = 0
    ejected_until: float = 0.0
    ejection_seconds: float = INITIAL_EJECTION_SECONDS
    probing: bool = False

    @property
    def is_ejected(self) -> bool:
        """Whether it is ejected."""
        return self.ejected_until > 0

    def is_probe_due(self, now: float, urgent: bool) -> bool:
        """Whether one request may probe whether it has recovered."""
        extra = self.ejection_seconds if urgent else 0.0
        return not self.probing and now >= self.ejected_until + extra


class Outliers:
    """Health of all targets, and which of them are ejected."""

    def __init__(self, max_ejected_share: float) -> None:
        self.max_ejected_share = max_ejected_share
        self._targets: dict[str, Health] = {}
        self._ejected: set[str] = set()
        self._failing: set[str] = set()
        self._changed: set[str] = set()
        self._next_probe = math.inf
        self._median = 0.0
        self._runs = 0

    def set_targets(self, names: Set[str]) -> None:
        """Remove targets that are no longer in the fleet, and add new ones."""
        for name in self._targets.keys() - names:
            del self._targets[name]
            self._failing.discard(name)
            if name in self._ejected:
                self._ejected.discard(name)
                self._changed.add(name)
        for name in sorted(names - self._targets.keys()):
            self._targets[name] = Health(slowness=self._median)

    def find(self, name: str) -> Health | None:
        """Return a target's health, or None when it is not in the fleet."""
        return self._targets.get(name)

    def is_ejected(self, name: str) -> bool:
        """Whether a target is ejected."""
        return name in self._ejected

    def must_pause(self, name: str) -> bool:
        """Whether to pause sending to a target that keeps failing.

        For more failing targets than may be ejected, while the healthy ones are
        full. The failing ones are always free, so all queued requests would be sent
        there and fail, although they could have been refused as not run. If more
        than half of the targets fail, pausing them gains nothing.
        """
        return name in self._failing and not self.are_most_failing()

    def are_most_failing(self) -> bool:
        """Whether more than `MAX_FAILING_SHARE` of the targets keep failing."""
        return len(self._failing) > MAX_FAILING_SHARE * len(self._targets)

    def collect_changed(self) -> set[str]:
        """Return the targets ejected or readmitted since the last call."""
        changed, self._changed = self._changed, set()
        return changed

    def note_run(self, name: str, seconds: float, expected: float, now: float) -> None:
        """Record a run that succeeded."""
        health = self._targets.get(name)
        if health is None:
            return
        health.consecutive_failures = 0
        self._failing.discard(name)
        self._record_ratio(
            name,
            health,
            seconds / max(expected, MIN_EXPECTED_SECONDS),
            NEW_RUN_WEIGHT,
            now,
        )

    def note_straggler(
        self, name: str, seconds: float, expected: float, now: float
    ) -> None:
        """Record the age of a straggler."""
        health = self._targets.get(name)
        if health is not None:
            self._record_ratio(
                name,
                health,
                seconds / max(expected, MIN_EXPECTED_SECONDS),
                STRAGGLER_WEIGHT,
                now,
            )

    def _record_ratio(
        self, name: str, health: Health, ratio: float, weight: float, now: float
    ) -> None:
        slowness = math.log(max(ratio, MIN_RATIO))
        health.runs += 1
        if health.probing:
            self._end_probe(name, health, slowness, now)
            return
        health.slowness += weight * (slowness - health.slowness)
        self._refresh_median()
        if health.runs >= MIN_RUNS and self._is_slow(health.slowness):
            self._eject(name, health, now)

    def note_failure(self, name: str, now: float) -> None:
        """Record a run that failed, or a target that did not answer."""
        health = self._targets.get(name)
        if health is None:
            return
        health.consecutive_failures += 1
        if health.consecutive_failures >= FAILURES_TO_EJECT:
            self._failing.add(name)
        if health.probing:
            self._extend_ejection(health, now)
        elif health.consecutive_failures >= FAILURES_TO_EJECT:
            self._eject(name, health, now)

    def start_probe(self, name: str) -> None:
        """Record a request to a target; on an ejected one it is a probe."""
        health = self._targets.get(name)
        if health is not None and health.is_ejected:
            health.probing = True

    def cancel_probe(self, name: str) -> None:
        """Record that a probe ended without evidence about the target."""
        health = self._targets.get(name)
        if health is not None and health.probing:
            health.probing = False
            self._next_probe = min(self._next_probe, health.ejected_until)

    def list_due_probes(self, now: float, urgent: bool) -> list[str]:
        """Return the ejected targets that are due for a probe.

        Urgent requests probe only after a second ejection time has passed without a
        patient one as probe: urgent work should not wait at a likely bad target.
        """
        if now < self._next_probe:
            return []
        ejected = sorted(self._ejected)
        waiting = [each for each in ejected if not self._targets[each].probing]
        times = (self._targets[name].ejected_until for name in waiting)
        self._next_probe = min(times, default=math.inf)
        return [
            name for name in waiting if self._targets[name].is_probe_due(now, urgent)
        ]

    def _is_slow(self, slowness: float) -> bool:
        return slowness - self._median > math.log(SLOW_RATIO)

    def _refresh_median(self) -> None:
        self._runs += 1
        if self._runs >= max(RUNS_BETWEEN_MEDIANS, len(self._targets)):
            self._runs = 0
            known = [each.slowness for each in self._targets.values() if each.runs]
            self._median = statistics.median(known)

    def _eject(self, name: str, health: Health, now: float) -> None:
        """Eject a target unless too many are already ejected.

        The cap is the share in the settings that also bounds quarantine; at least
        one may be ejected, else a small fleet could never avoid a bad target.
        """
        max_ejected = max(1, int(self.max_ejected_share * len(self._targets)))
        if health.is_ejected or len(self._ejected) >= min(
            max_ejected, len(self._targets) - 1
        ):
            return
        self._ejected.add(name)
        self._changed.add(name)
        health.ejection_seconds = INITIAL_EJECTION_SECONDS
        self._eject_until(health, now + health.ejection_seconds)

    def _extend_ejection(self, health: Health, now: float) -> None:
        health.probing = False
        health.ejection_seconds = min(MAX_EJECTION_SECONDS, health.ejection_seconds * 2)
        self._eject_until(health, now + health.ejection_seconds)

    def _eject_until(self, health: Health, time: float) -> None:
        health.ejected_until = time
        self._next_probe = min(self._next_probe, time)

    def _end_probe(
        self, name: str, health: Health, slowness: float, now: float
    ) -> None:
        if self._is_slow(slowness):
            self._extend_ejection(health, now)
            return
        health.probing = False
        health.ejected_until = 0.0
        health.slowness = self._median
        health.runs = 0
        self._ejected.discard(name)
        self._changed.add(name)


def make_outliers(max_ejected_share: float) -> Outliers:
    """Return the outlier detection of a fleet without targets."""
    return Outliers(max_ejected_share)

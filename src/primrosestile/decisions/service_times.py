"""Estimates from measurements: run times, and how fast a queue drains.

Declared run times are far off, so decisions use these estimates instead. Old
measurements lose weight: a worker pool that was slow an hour ago is judged by its
recent runs.
"""

import math
from collections import deque
from collections.abc import Hashable

# Enough to estimate the 95th percentile, few enough to follow a change within
# seconds at the rates of one entry.
SAMPLES_KEPT = 64
# An average over some thirty runs is within a fifth of the mean if the standard
# deviation equals the mean. With fewer runs estimated waits would be useless.
NEW_SAMPLE_WEIGHT = 0.03
# This many runs in a row that are all less than half, or all more than twice, the
# mean are a change of level: by chance it happens once in two thousand.
LEVEL_SHIFT_RUNS = 8
LEVEL_SHIFT_FACTOR = 2.0
# Classes change with the settings; this bounds memory at some 4 MB.
MAX_CLASSES = 2048


class ServiceTimes:
    """Measured run times of one class, in seconds."""

    __slots__ = ("_above", "_below", "_quantiles", "_samples", "count", "mean")

    def __init__(self) -> None:
        self._above = 0
        self._below = 0
        self._samples: deque[float] = deque(maxlen=SAMPLES_KEPT)
        self._quantiles: dict[float, float] = {}
        self.mean = 0.0
        self.count = 0

    def note(self, seconds: float) -> None:
        """Record one run."""
        self.count += 1
        weight = max(NEW_SAMPLE_WEIGHT, 1.0 / self.count)
        self.mean += weight * (seconds - self.mean)
        self._samples.append(seconds)
        self._detect_level_shift(seconds)
        if self.count % 8 == 0:
            self._quantiles.clear()

    def _detect_level_shift(self, seconds: float) -> None:
        self._above = self._above + 1 if seconds > self.mean * LEVEL_SHIFT_FACTOR else 0
        self._below = self._below + 1 if seconds < self.mean / LEVEL_SHIFT_FACTOR else 0
        if max(self._above, self._below) < LEVEL_SHIFT_RUNS:
            return
        latest = list(self._samples)[-LEVEL_SHIFT_RUNS:]
        self.mean = sum(latest) / LEVEL_SHIFT_RUNS
        self._samples = deque(latest, maxlen=SAMPLES_KEPT)
        self._quantiles.clear()
        self._above = self._below = 0

    def estimate_quantile(self, share: float) -> float:
        """Return the run time that `share` of the latest runs did not exceed."""
        known = self._quantiles.get(share)
        if known is None:
            ordered = sorted(self._samples)
            known = ordered[min(len(ordered) - 1, int(share * len(ordered)))]
            self._quantiles[share] = known
        return known


class ServiceTimeEstimates:
    """Run times by class."""

    def __init__(self) -> None:
        self._classes: dict[Hashable, ServiceTimes] = {}

    def note(self, key: Hashable, seconds: float) -> None:
        """Record one run of a class."""
        times = self._classes.get(key)
        if times is None:
            if len(self._classes) >= MAX_CLASSES:
                del self._classes[next(iter(self._classes))]
            times = self._classes[key] = ServiceTimes()
        times.note(seconds)

    def find(self, key: Hashable) -> ServiceTimes | None:
        """Return the run times of a class, or None without any run."""
        return self._classes.get(key)

    def estimate(self, key: Hashable, declared: float) -> float:
        """Return the mean run time in seconds; the declared one without any run."""
        times = self._classes.get(key)
        return declared if times is None else times.mean


class DrainRate:
    """Seconds of work that leave a queue per second while some is waiting.

    The number of slots alone is too high: those of failing, slow or refusing workers
    serve less. The measured rate while the queue is not empty is accurate, but only
    after some time, so the slots are the prior until then. They are the upper bound
    as well: a burst that finds idle slots leaves at once, and that rate does not
    last.
    """

    PRIOR_SECONDS = 0.5
    # Keeps a wait finite when there is no slot at all.
    MIN_RATE = 0.01

    def __init__(self, slots: int, memory: float) -> None:
        """Start from the slots.

        Args:
            slots: How many there are.
            memory: Time constant in seconds of the decay of measurements.
        """
        self.slots = slots
        self._memory = memory
        self._work = 0.0
        self._time = 0.0

    def note_time(self, seconds: float, waiting: bool) -> None:
        """Record a period during which some work, or none, was waiting."""
        if seconds <= 0:
            return
        kept = math.exp(-seconds / self._memory)
        self._work *= kept
        self._time *= kept
        if waiting:
            self._time += min(seconds, self._memory)

    def note_departure(self, work: float) -> None:
        """Record seconds of work that left while other work waited."""
        self._work += work

    def estimate(self) -> float:
        """Return the seconds of work that leave per second, above zero."""
        work = self._work + self.slots * self.PRIOR_SECONDS
        rate = work / (self._time + self.PRIOR_SECONDS)
        return max(self.MIN_RATE, min(rate, float(self.slots)))


class WaitCorrection:
    """The ratio of measured to estimated waits, as a correction factor.

    The estimate uses the work queued now. It does not know which requests will
    arrive and be served before, or which grant will shrink, so it is too low, and a
    queue that underestimates waits fills with requests that are too late. The factor
    is computed from uncorrected estimates, so there is no feedback.
    """

    WEIGHT = 0.02
    MIN_RATIO = 0.5
    MAX_RATIO = 8.0
    # A shorter wait is mostly noise.
    MIN_WAIT_SECONDS = 0.25

    def __init__(self) -> None:
        self.factor = 1.0

    def note(self, estimated: float, waited: float) -> None:
        """Record one request that left the queue, served or not."""
        if estimated < self.MIN_WAIT_SECONDS:
            return
        ratio = min(self.MAX_RATIO, max(self.MIN_RATIO, waited / estimated))
        self.factor += self.WEIGHT * (ratio - self.factor)

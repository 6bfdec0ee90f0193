"""What is learned from experience: run times, and how fast a queue drains.

Declared run times are far off, so every decision that needs one asks here. Each
estimate forgets: a worker pool that was slow an hour ago is judged by now.
"""

import math
from collections import deque
from collections.abc import Hashable

# Enough to place the 95th percentile, few enough to follow a change within
# seconds at the rates of one entry.
SAMPLES_KEPT = 64
# An average over some thirty runs is within a fifth of the truth, where run times
# vary as much as their mean. Less would make estimates of waits useless.
NEW_SAMPLE_WEIGHT = 0.03
# So many runs in a row that are all less than half, or all more than twice, what
# was expected are no chance (one in two thousand): the level itself has changed.
LEVEL_RUNS = 8
LEVEL_FACTOR = 2.0
# Classes come and go with settings; this bounds memory at some 4 MB.
MOST_CLASSES = 2048


class RunTimes:
    """Learned run times of one class, in seconds."""

    __slots__ = ("_above", "_below", "_quantiles", "_samples", "count", "mean")

    def __init__(self) -> None:
        self._above = 0
        self._below = 0
        self._samples: deque[float] = deque(maxlen=SAMPLES_KEPT)
        self._quantiles: dict[float, float] = {}
        self.mean = 0.0
        self.count = 0

    def note(self, seconds: float) -> None:
        """Learn from one run."""
        self.count += 1
        weight = max(NEW_SAMPLE_WEIGHT, 1.0 / self.count)
        self.mean += weight * (seconds - self.mean)
        self._samples.append(seconds)
        self._watch_level(seconds)
        if self.count % 8 == 0:
            self._quantiles.clear()

    def _watch_level(self, seconds: float) -> None:
        self._above = self._above + 1 if seconds > self.mean * LEVEL_FACTOR else 0
        self._below = self._below + 1 if seconds < self.mean / LEVEL_FACTOR else 0
        if max(self._above, self._below) < LEVEL_RUNS:
            return
        latest = list(self._samples)[-LEVEL_RUNS:]
        self.mean = sum(latest) / LEVEL_RUNS
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


class Experience:
    """Run times by class."""

    def __init__(self) -> None:
        self._classes: dict[Hashable, RunTimes] = {}

    def note(self, key: Hashable, seconds: float) -> None:
        """Learn from one run of a class."""
        times = self._classes.get(key)
        if times is None:
            if len(self._classes) >= MOST_CLASSES:
                del self._classes[next(iter(self._classes))]
            times = self._classes[key] = RunTimes()
        times.note(seconds)

    def find(self, key: Hashable) -> RunTimes | None:
        """Return what is known of a class, or None without any run."""
        return self._classes.get(key)

    def estimate(self, key: Hashable, declared: float) -> float:
        """Return the mean run time in seconds, or the declared one at first."""
        times = self._classes.get(key)
        return declared if times is None else times.mean


class DrainRate:
    """Seconds of work that leave a queue in each second while some is waiting.

    Slots alone would mislead: the slots of failing, slow or refusing workers
    count for less. What left the queue while others stood behind it tells the
    truth, but only after a while, so the slots stand in until then. They are the
    upper bound as well: a burst that finds idle slots leaves at once, and taking
    that for the lasting rate would promise far too much.
    """

    PRIOR_SECONDS = 0.5
    # Keeps a wait finite when there is no slot at all.
    LEAST = 0.01

    def __init__(self, slots: int, memory: float) -> None:
        """Start from the slots.

        Args:
            slots: How many there are.
            memory: Seconds over which what was seen fades.
        """
        self.slots = slots
        self._memory = memory
        self._work = 0.0
        self._time = 0.0

    def note_time(self, seconds: float, waiting: bool) -> None:
        """Note how long there was, or was not, some work waiting."""
        if seconds <= 0:
            return
        kept = math.exp(-seconds / self._memory)
        self._work *= kept
        self._time *= kept
        if waiting:
            self._time += min(seconds, self._memory)

    def note_left(self, work: float) -> None:
        """Note that so many seconds of work left while others waited."""
        self._work += work

    def estimate(self) -> float:
        """Return the seconds of work that leave in a second, above zero."""
        work = self._work + self.slots * self.PRIOR_SECONDS
        rate = work / (self._time + self.PRIOR_SECONDS)
        return max(self.LEAST, min(rate, float(self.slots)))


class Correction:
    """How much longer requests wait than was foreseen.

    The estimate looks at what waits now. It can not know who will arrive and be
    served before, or which grant is about to shrink, so it errs on the hopeful
    side, and a queue that promises too little is full of requests that are too
    late. The factor is learned from raw estimates, so it does not chase itself.
    """

    WEIGHT = 0.02
    LEAST = 0.5
    MOST = 8.0
    # Below this a wait is mostly chance.
    SHORTEST = 0.25

    def __init__(self) -> None:
        self.factor = 1.0

    def note(self, foreseen: float, waited: float) -> None:
        """Learn from one request that left the queue, served or not."""
        if foreseen < self.SHORTEST:
            return
        ratio = min(self.MOST, max(self.LEAST, waited / foreseen))
        self.factor += self.WEIGHT * (ratio - self.factor)

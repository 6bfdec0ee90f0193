"""Run time estimates from measured runs, since declared run times are far off.

A declared run time that is off by ten times inverts shortest-job-first order. Each
job class keeps its latest run times, and estimates are quantiles of these: a low one
to order work, a high one to backfill a gap safely.
"""

from bisect import insort
from collections import deque

# Enough for a stable 0.9 quantile; few enough that the estimate follows a class
# whose work changes within a working day.
SAMPLES_PER_CLASS = 64

# The declared time counts as this many samples, so one outlier cannot replace it.
# After four times as many runs, a dozen, only measured run times count.
DECLARED_WEIGHT_SAMPLES = 3

# 210 teams with a dozen classes each stay well below; the limit bounds the memory
# that invented class names could take.
MAX_CLASSES = 10_000


class RunTimes:
    """Latest run times by class of work."""

    def __init__(self) -> None:
        self._samples: dict[str, deque[float]] = {}
        self._sorted: dict[str, list[float]] = {}

    def record(self, job_class_key: str, seconds: float) -> None:
        """Record one finished run; failed and cancelled runs must not be recorded."""
        if job_class_key not in self._samples:
            if len(self._samples) >= MAX_CLASSES:
                self._evict_oldest()
            self._samples[job_class_key] = deque()
            self._sorted[job_class_key] = []
        samples = self._samples[job_class_key]
        ordered = self._sorted[job_class_key]
        if len(samples) >= SAMPLES_PER_CLASS:
            ordered.remove(samples.popleft())
        samples.append(seconds)
        insort(ordered, seconds)

    def estimate(
        self, job_class_key: str, declared: float, quantile: float = 0.5
    ) -> float:
        """Estimate a run time in seconds.

        Args:
            job_class_key: Which class of work.
            declared: The caller's estimate; counts as `DECLARED_WEIGHT_SAMPLES`.
            quantile: From 0 to 1; the share of runs that should end sooner.
        """
        ordered = self._sorted.get(job_class_key)
        if not ordered:
            return declared
        rank = quantile * (len(ordered) - 1)
        low = int(rank)
        high = min(low + 1, len(ordered) - 1)
        measured = ordered[low] + (ordered[high] - ordered[low]) * (rank - low)
        count = len(ordered)
        if count >= 4 * DECLARED_WEIGHT_SAMPLES:
            return measured
        weight = count / (count + DECLARED_WEIGHT_SAMPLES)
        return float(measured**weight * max(declared, 0.001) ** (1.0 - weight))

    def count(self, job_class_key: str) -> int:
        """Return how many runs of a class are kept."""
        return len(self._samples.get(job_class_key, ()))

    def _evict_oldest(self) -> None:
        oldest = next(iter(self._samples))
        del self._samples[oldest]
        del self._sorted[oldest]

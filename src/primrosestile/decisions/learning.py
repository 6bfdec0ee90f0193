"""Run times learned from experience, since declared ones are far off.

A declared run time that is off by ten times turns "the short job first" into its
opposite. Each class of work keeps its latest run times, and estimates are
quantiles of these: a low one to order work, a high one to fill a gap safely.
"""

from bisect import insort
from collections import deque

# Run times kept for each class. Enough for a stable nine-tenths quantile; few
# enough that a class whose work changes is learned anew within a working day.
SAMPLE_LIMIT = 64

# Samples that the declared time counts for. One wild run then cannot replace it,
# and after a dozen runs experience has the say.
DECLARED_WEIGHT = 3

# Classes kept. 210 teams with a dozen classes each stay well below; the limit
# bounds the memory that made-up class names could take.
CLASS_LIMIT = 10_000


class RunTimes:
    """Latest run times by class of work."""

    def __init__(self) -> None:
        self._samples: dict[str, deque[float]] = {}
        self._sorted: dict[str, list[float]] = {}

    def record(self, job_class_key: str, seconds: float) -> None:
        """Note one finished run; failed and cancelled runs say nothing."""
        if job_class_key not in self._samples:
            if len(self._samples) >= CLASS_LIMIT:
                self._forget_oldest()
            self._samples[job_class_key] = deque()
            self._sorted[job_class_key] = []
        samples = self._samples[job_class_key]
        ordered = self._sorted[job_class_key]
        if len(samples) >= SAMPLE_LIMIT:
            ordered.remove(samples.popleft())
        samples.append(seconds)
        insort(ordered, seconds)

    def estimate(
        self, job_class_key: str, declared: float, quantile: float = 0.5
    ) -> float:
        """Estimate a run time in seconds.

        Args:
            job_class_key: Which class of work.
            declared: The caller's guess; it counts as a few samples.
            quantile: From 0 to 1; the share of runs that should end sooner.
        """
        ordered = self._sorted.get(job_class_key)
        if not ordered:
            return declared
        rank = quantile * (len(ordered) - 1)
        low = int(rank)
        high = min(low + 1, len(ordered) - 1)
        learned = ordered[low] + (ordered[high] - ordered[low]) * (rank - low)
        count = len(ordered)
        if count >= 4 * DECLARED_WEIGHT:
            return learned
        weight = count / (count + DECLARED_WEIGHT)
        return float(learned**weight * max(declared, 0.001) ** (1.0 - weight))

    def count(self, job_class_key: str) -> int:
        """Return how many runs of a class are remembered."""
        return len(self._samples.get(job_class_key, ()))

    def _forget_oldest(self) -> None:
        oldest = next(iter(self._samples))
        del self._samples[oldest]
        del self._sorted[oldest]

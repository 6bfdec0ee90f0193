"""Quarantines workers on which work fails: they get no new work for some seconds.

Load: a worker that fails all that it starts while it reports itself healthy. Harm: a
job may fail only once or twice before it is given up, so two such workers fail jobs
that every other worker would have run. A job that fails everywhere must not quarantine
workers either, so failures of one job count once, and a successful run on a worker
clears its history.
"""

from dataclasses import dataclass, field

# Failures of this many different jobs, with no successful run in between.
QUARANTINE_JOBS = 2
# Such faults last for some seconds; afterwards the worker gets work again, and the next
# failure quarantines it again if no run has succeeded.
QUARANTINE_SECONDS = 6.0
# Work that can't succeed fails partway; a run that fails this soon more likely ran on a
# worker that fails everything. That worker is quarantined for a shorter time after one
# failure, since the next job may have only one more attempt.
EARLY_FAILURE_SECONDS = 0.25
EARLY_FAILURE_QUARANTINE_SECONDS = 3.0
# For some seconds, other work stalls as well on a worker on which a task has stalled.
STALL_QUARANTINE_SECONDS = 5.0
# Quarantine of a worker that refused a start because it is unhealthy.
UNHEALTHY_QUARANTINE_SECONDS = 1.0
# At most this share of all workers is quarantined: if more fail, they aren't the cause.
MAX_QUARANTINED_SHARE = 0.34


@dataclass(slots=True)
class FailureHistory:
    """Jobs that failed on one worker since a run last succeeded there."""

    failed_jobs: set[str] = field(default_factory=set)
    quarantined_until: float = 0.0


class WorkerQuarantine:
    """The failure history and quarantine of each worker."""

    def __init__(self) -> None:
        self._histories: dict[str, FailureHistory] = {}

    def record_success(self, worker: str) -> None:
        """Record a successful run."""
        self._histories.pop(worker, None)

    def record_failure(
        self, worker: str, job: str, seconds: float, now: float, workers: int
    ) -> float:
        """Record a failed run; return until when the worker gets no work.

        Args:
            worker: Where it ran.
            job: The run's job.
            seconds: How long it ran.
            now: On the loop's clock.
            workers: How many there are.
        """
        history = self._histories.setdefault(worker, FailureHistory())
        history.failed_jobs.add(job)
        known_bad = len(history.failed_jobs) >= QUARANTINE_JOBS
        at_once = seconds < EARLY_FAILURE_SECONDS
        if not known_bad and not at_once:
            return 0.0
        if self._count_quarantined(now) + 1 > MAX_QUARANTINED_SHARE * workers:
            return 0.0
        pause = QUARANTINE_SECONDS if known_bad else EARLY_FAILURE_QUARANTINE_SECONDS
        history.quarantined_until = now + pause
        return history.quarantined_until

    def record_stall(self, worker: str, now: float, workers: int) -> float:
        """Record a stalled task; return until when the worker gets no work.

        Args:
            worker: Where it ran.
            now: On the loop's clock.
            workers: How many there are.
        """
        if self._count_quarantined(now) + 1 > MAX_QUARANTINED_SHARE * workers:
            return 0.0
        history = self._histories.setdefault(worker, FailureHistory())
        history.quarantined_until = max(
            history.quarantined_until, now + STALL_QUARANTINE_SECONDS
        )
        return history.quarantined_until

    def _count_quarantined(self, now: float) -> int:
        return sum(each.quarantined_until > now for each in self._histories.values())

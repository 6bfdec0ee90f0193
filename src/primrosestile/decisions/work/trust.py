"""Which workers get no work for a while.

Load: a worker that fails all that it starts while it looks well. Harm: a job may
fail once or twice before its caller is told that it can't be done, so two such
workers end jobs that every other worker would have run. A job that fails
everywhere must not cost workers their trust either, so failures of one job count
once, and a run that ends well on a worker clears it.
"""

from dataclasses import dataclass, field

# Failures of this many different jobs, with none ended well in between.
JOBS_TO_DISTRUST = 2
# Such trouble lasts for some seconds; afterwards the worker gets work again, and
# loses its trust again by the next failure if nothing has changed.
DISTRUST_SECONDS = 6.0
# Work that can't be done fails partway; a run that fails this soon, with nothing
# done, more likely met a worker that fails everything. The worker is left out for a
# little at once, since the next job that comes may have but one more attempt.
AT_ONCE_SECONDS = 0.25
DOUBT_SECONDS = 3.0
# What is placed on a worker on which a task stands still does so as well, while that
# lasts: some seconds.
STILL_SECONDS = 5.0
# A worker that refused a start for its health is asked again after this.
UNHEALTHY_SECONDS = 1.0
# Of a pool at most this share is left out: when more fails, it is not the workers.
LARGEST_SHARE = 0.34


@dataclass(slots=True)
class Conduct:
    """What went badly on one worker since something last went well there."""

    failed_jobs: set[str] = field(default_factory=set)
    distrusted_until: float = 0.0


class Trust:
    """The conduct of each worker."""

    def __init__(self) -> None:
        self._conducts: dict[str, Conduct] = {}

    def note_done(self, worker: str) -> None:
        """Note that a run ended well."""
        self._conducts.pop(worker, None)

    def note_failed(
        self, worker: str, job: str, seconds: float, now: float, workers: int
    ) -> float:
        """Note a failed run; return until when the worker gets no work.

        Args:
            worker: Where it ran.
            job: Whose run it was.
            seconds: How long it ran.
            now: On the loop's clock.
            workers: How many there are.
        """
        conduct = self._conducts.setdefault(worker, Conduct())
        conduct.failed_jobs.add(job)
        known_bad = len(conduct.failed_jobs) >= JOBS_TO_DISTRUST
        at_once = seconds < AT_ONCE_SECONDS
        if not known_bad and not at_once:
            return 0.0
        if self._count_distrusted(now) + 1 > LARGEST_SHARE * workers:
            return 0.0
        pause = DISTRUST_SECONDS if known_bad else DOUBT_SECONDS
        conduct.distrusted_until = now + pause
        return conduct.distrusted_until

    def note_still(self, worker: str, now: float, workers: int) -> float:
        """Note that a task stood still; return until when the worker gets no work.

        Args:
            worker: Where it was.
            now: On the loop's clock.
            workers: How many there are.
        """
        if self._count_distrusted(now) + 1 > LARGEST_SHARE * workers:
            return 0.0
        conduct = self._conducts.setdefault(worker, Conduct())
        conduct.distrusted_until = max(conduct.distrusted_until, now + STILL_SECONDS)
        return conduct.distrusted_until

    def _count_distrusted(self, now: float) -> int:
        return sum(each.distrusted_until > now for each in self._conducts.values())

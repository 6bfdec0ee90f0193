"""Quarantine of bad workers, and detection of poison jobs.

A job that fails everywhere is no evidence against the workers that it ran on, and a
worker on which everything fails is none against the jobs. Counting failures by
worker alone would let one poison job put a whole cell out of use; counting them by
job alone would let one broken worker mark every job that runs there as bad. So a
failure counts against a worker only as far as the same subject succeeds elsewhere,
and against a subject only over several workers.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from primrosestile.state.tenancy import Policy

# Failures that must count against a worker, and different workers on which a
# subject must have failed. Two can be chance; each one more costs a failed job.
MIN_DISTINCT_FAILURES = 3
# A worker is suspect when more than half of its latest runs failed.
SUSPECT_FAILURE_SHARE = 0.5
# Runs kept of each worker and of each subject.
RUNS_KEPT = 32
# Older runs no longer count for or against a worker; quarantine doesn't expire.
FAILURE_WINDOW_SECONDS = 600.0
# Consecutive successes that release a worker: one that fails half of its tasks
# passes three by chance in one of eight attempts.
CANARIES_NEEDED = 3
# Delay before a worker's first canary; it doubles up to the maximum after failures.
INITIAL_CANARY_DELAY_SECONDS = 30.0
MAX_CANARY_DELAY_SECONDS = 600.0
# The subject that was first recorded is evicted first.
MAX_SUBJECTS = 4096


@dataclass(frozen=True, slots=True)
class Quarantined:
    """A worker that gets only canary runs.

    Attributes:
        since: When it was quarantined, on the loop's clock.
        canary_after: When the next canary may run.
        reason: For people.
    """

    worker: str
    since: float
    canary_after: float
    reason: str


@dataclass(frozen=True, slots=True)
class Run:
    """One run's outcome.

    Attributes:
        other: The subject in a worker's runs, the worker in a subject's runs.
    """

    time: float
    other: str
    failed: bool


@dataclass(slots=True)
class _Quarantine:
    since: float
    canary_delay: float
    canary_after: float
    failure_share: float
    canaries: int = 0

    def describe(self) -> str:
        return (
            f"{self.failure_share:.0%} of its latest runs failed, "
            "of work that runs elsewhere"
        )


class FailureLedger:
    """Outcomes of runs by worker and by subject, for one cell."""

    def __init__(self, policy: Policy) -> None:
        self._policy = policy
        self._workers: dict[str, list[Run]] = {}
        self._subjects: dict[str, list[Run]] = {}
        self._quarantined: dict[str, _Quarantine] = {}

    def set_policy(self, policy: Policy) -> None:
        """Apply changed settings."""
        self._policy = policy

    def record(self, worker: str, subject: str, failed: bool, now: float) -> None:
        """Record one run's outcome.

        Args:
            worker: Where it ran.
            subject: Job id of a gang, or the class of a short request.
            failed: Whether it failed.
            now: Seconds of the loop's clock.
        """
        _append(self._workers, worker, Run(now, subject, failed))
        if subject not in self._subjects and len(self._subjects) >= MAX_SUBJECTS:
            del self._subjects[next(iter(self._subjects))]
        _append(self._subjects, subject, Run(now, worker, failed))
        quarantine = self._quarantined.get(worker)
        if quarantine is not None:
            self._note_canary(worker, subject, failed, quarantine, now)

    def is_bad_job(self, subject: str) -> bool:
        """Whether a subject fails everywhere.

        It does if it failed on several workers and none of its kept runs succeeded;
        a subject that succeeds anywhere is not at fault.
        """
        runs = self._subjects.get(subject, ())
        if any(not run.failed for run in runs):
            return False
        return len({run.other for run in runs}) >= MIN_DISTINCT_FAILURES

    def decide(self, workers: Sequence[str], now: float) -> tuple[Quarantined, ...]:
        """Return the workers of the cell that are in quarantine from now on.

        For workers that fail every task they start: such a worker is always free,
        so it attracts job after job. The cap keeps a fault that all workers share,
        such as a bad release of an engine, from putting the whole cell out of use:
        work is then tried although it fails.
        """
        present = set(workers)
        for worker in [each for each in self._quarantined if each not in present]:
            del self._quarantined[worker]
        max_quarantined = int(self._policy.quarantine_share * len(present))
        self._release_excess(max_quarantined)
        suspects = [
            (share, worker)
            for worker in sorted(present - self._quarantined.keys())
            if (share := self._compute_failure_share(worker, now))
            > SUSPECT_FAILURE_SHARE
        ]
        suspects.sort(key=lambda suspect: (-suspect[0], suspect[1]))
        for share, worker in suspects[: max_quarantined - len(self._quarantined)]:
            self._quarantined[worker] = _Quarantine(
                now,
                INITIAL_CANARY_DELAY_SECONDS,
                now + INITIAL_CANARY_DELAY_SECONDS,
                share,
            )
        return tuple(
            Quarantined(
                worker, quarantine.since, quarantine.canary_after, quarantine.describe()
            )
            for worker, quarantine in sorted(self._quarantined.items())
        )

    def wants_canary(self, worker: str, now: float) -> bool:
        """Whether one idempotent canary may run on a worker in quarantine.

        Only idempotent work: if a worker breaks during a run, it is unknown whether
        the run took effect.
        """
        quarantine = self._quarantined.get(worker)
        return quarantine is not None and now >= quarantine.canary_after

    def _release_excess(self, max_quarantined: int) -> None:
        """Release the least bad workers when the settings allow fewer."""
        worst = sorted(
            self._quarantined,
            key=lambda worker: -self._quarantined[worker].failure_share,
        )
        for worker in worst[max_quarantined:]:
            del self._quarantined[worker]

    def _compute_failure_share(self, worker: str, now: float) -> float:
        """Return the share of failed runs that count against a worker.

        A subject that ran on no other worker counts once, however often it failed
        here: it may be at fault itself.
        """
        since = now - FAILURE_WINDOW_SECONDS
        weighted_failures, succeeded = 0.0, 0
        unknown: set[str] = set()
        for run in self._workers.get(worker, ()):
            if run.time <= since:
                continue
            if not run.failed:
                succeeded += 1
                continue
            share = self._share_failed_elsewhere(run.other, worker)
            if share is None:
                unknown.add(run.other)
            else:
                weighted_failures += 1 - share
        weighted_failures += len(unknown)
        return (
            weighted_failures / (weighted_failures + succeeded)
            if weighted_failures >= MIN_DISTINCT_FAILURES
            else 0.0
        )

    def _share_failed_elsewhere(self, subject: str, worker: str) -> float | None:
        """Return what share of a subject's runs on other workers failed."""
        others = [
            run.failed for run in self._subjects.get(subject, ()) if run.other != worker
        ]
        return sum(others) / len(others) if others else None

    def _note_canary(
        self,
        worker: str,
        subject: str,
        failed: bool,
        quarantine: _Quarantine,
        now: float,
    ) -> None:
        if not failed:
            quarantine.canaries += 1
            if quarantine.canaries >= CANARIES_NEEDED:
                del self._quarantined[worker]
                # Failures from before its recovery must not count again.
                self._workers[worker] = []
            return
        if self._share_failed_elsewhere(subject, worker) == 1:
            return
        quarantine.canaries = 0
        quarantine.canary_delay = min(
            MAX_CANARY_DELAY_SECONDS, quarantine.canary_delay * 2
        )
        quarantine.canary_after = now + quarantine.canary_delay


def _append(runs: dict[str, list[Run]], key: str, run: Run) -> None:
    kept = runs.setdefault(key, [])
    kept.append(run)
    if len(kept) > RUNS_KEPT:
        del kept[0]


def make_ledger(policy: Policy) -> FailureLedger:
    """Return an empty ledger that follows the policy."""
    return FailureLedger(policy)

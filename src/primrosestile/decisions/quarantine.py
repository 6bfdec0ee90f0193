"""Bad workers and bad jobs, told apart by crossing their failures.

One job that fails everywhere says nothing about the workers that it ran on, and
a worker on which everything fails says nothing about the jobs. Counting
failures of workers alone would let one broken job put a whole cell out of use;
counting those of jobs alone would let one broken worker condemn every job that
touches it. So a failure counts against a worker only as far as the same subject
succeeds elsewhere, and against a subject only over several workers.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from primrosestile.state.tenancy import Policy

# Failures that must count against a worker, and different workers on which a
# subject must have failed. Two can be chance; more would cost a job for each.
ENOUGH_CROSSED = 3
# A worker is suspect when more than half of its latest runs failed.
BAD_SHARE = 0.5
# Runs remembered of each worker and of each subject.
RUNS_KEPT = 32
# Failures older than this are forgotten, unless the worker is in quarantine.
MEMORY_SECONDS = 600.0
# Successes in a row that let a worker back: a worker that fails half of its
# tasks passes three by chance in one of eight tries.
CANARIES_NEEDED = 3
# How long a worker rests before its first canary, and at most after failed ones.
FIRST_REST = 30.0
LONGEST_REST = 600.0
# Subjects remembered; the oldest is forgotten first.
MOST_SUBJECTS = 4096


@dataclass(frozen=True, slots=True)
class Quarantined:
    """A worker that gets no work but canaries.

    Attributes:
        since: When it was put there, on the loop's clock.
        canary_after: When the next canary may run.
        reason: For people.
    """

    worker: str
    since: float
    canary_after: float
    reason: str


@dataclass(frozen=True, slots=True)
class Run:
    """One run's outcome; `other` is the subject or the worker, crosswise."""

    time: float
    other: str
    failed: bool


@dataclass(slots=True)
class _Rest:
    since: float
    seconds: float
    canary_after: float
    share: float
    canaries: int = 0

    def describe(self) -> str:
        return (
            f"{self.share:.0%} of its latest runs failed, of work that runs elsewhere"
        )


class FailureLedger:
    """Outcomes crossed by worker and subject, for one cell."""

    def __init__(self, policy: Policy) -> None:
        self._policy = policy
        self._workers: dict[str, list[Run]] = {}
        self._subjects: dict[str, list[Run]] = {}
        self._resting: dict[str, _Rest] = {}

    def set_policy(self, policy: Policy) -> None:
        """Follow a change of settings."""
        self._policy = policy

    def record(self, worker: str, subject: str, failed: bool, now: float) -> None:
        """Note one run's outcome.

        Args:
            worker: Where it ran.
            subject: Job id of a gang, or the class of a short request.
            failed: Whether it failed.
            now: Seconds of the loop's clock.
        """
        _append(self._workers, worker, Run(now, subject, failed))
        if subject not in self._subjects and len(self._subjects) >= MOST_SUBJECTS:
            del self._subjects[next(iter(self._subjects))]
        _append(self._subjects, subject, Run(now, worker, failed))
        rest = self._resting.get(worker)
        if rest is not None:
            self._note_canary(worker, subject, failed, rest, now)

    def is_bad_job(self, subject: str) -> bool:
        """Whether it fails everywhere.

        It failed on several workers and on all that it ran on lately; a subject
        that succeeds anywhere is not at fault.
        """
        runs = self._subjects.get(subject, ())
        if any(not run.failed for run in runs):
            return False
        return len({run.other for run in runs}) >= ENOUGH_CROSSED

    def decide(self, workers: Sequence[str], now: float) -> tuple[Quarantined, ...]:
        """Return the workers of the cell that belong in quarantine now.

        Made for workers that fail every task they start: being free all the
        time, such a worker draws in job after job. The cap keeps a fault that
        all workers share, such as a bad release of an engine, from putting the
        whole cell out of use: then work fails, but it is tried.
        """
        present = set(workers)
        for worker in [each for each in self._resting if each not in present]:
            del self._resting[worker]
        most = int(self._policy.quarantine_share * len(present))
        self._release_excess(most)
        suspects = [
            (share, worker)
            for worker in sorted(present - self._resting.keys())
            if (share := self._judge_worker(worker, now)) > BAD_SHARE
        ]
        suspects.sort(key=lambda suspect: (-suspect[0], suspect[1]))
        for share, worker in suspects[: most - len(self._resting)]:
            self._resting[worker] = _Rest(now, FIRST_REST, now + FIRST_REST, share)
        return tuple(
            Quarantined(worker, rest.since, rest.canary_after, rest.describe())
            for worker, rest in sorted(self._resting.items())
        )

    def wants_canary(self, worker: str, now: float) -> bool:
        """Whether one idempotent run may be tried on a worker in quarantine.

        Only idempotent work: a worker that breaks in the middle of a run leaves
        it unknown whether the run had its effect.
        """
        rest = self._resting.get(worker)
        return rest is not None and now >= rest.canary_after

    def _release_excess(self, most: int) -> None:
        """Let the least bad workers back when the settings allow fewer."""
        worst = sorted(self._resting, key=lambda worker: -self._resting[worker].share)
        for worker in worst[most:]:
            del self._resting[worker]

    def _judge_worker(self, worker: str, now: float) -> float:
        """Return the share of failed runs, as far as they count against it.

        A subject that was seen nowhere else counts once, however often it
        failed here: it may be at fault itself.
        """
        since = now - MEMORY_SECONDS
        blame, succeeded = 0.0, 0
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
                blame += 1 - share
        blame += len(unknown)
        return blame / (blame + succeeded) if blame >= ENOUGH_CROSSED else 0.0

    def _share_failed_elsewhere(self, subject: str, worker: str) -> float | None:
        """Return what share of a subject's runs on other workers failed."""
        others = [
            run.failed for run in self._subjects.get(subject, ()) if run.other != worker
        ]
        return sum(others) / len(others) if others else None

    def _note_canary(
        self, worker: str, subject: str, failed: bool, rest: _Rest, now: float
    ) -> None:
        if not failed:
            rest.canaries += 1
            if rest.canaries >= CANARIES_NEEDED:
                del self._resting[worker]
                # What it failed before it was mended must not count again.
                self._workers[worker] = []
            return
        if self._share_failed_elsewhere(subject, worker) == 1:
            return
        rest.canaries = 0
        rest.seconds = min(LONGEST_REST, rest.seconds * 2)
        rest.canary_after = now + rest.seconds


def _append(runs: dict[str, list[Run]], key: str, run: Run) -> None:
    kept = runs.setdefault(key, [])
    kept.append(run)
    if len(kept) > RUNS_KEPT:
        del kept[0]


def make_ledger(policy: Policy) -> FailureLedger:
    """Return an empty ledger that follows the policy."""
    return FailureLedger(policy)

"""Run time estimates, learned from successful runs.

Load: callers whose estimates are off by up to nine tenths. Harm: the slack of a
job, the time at which a worker becomes free, and what can be backfilled until then
all depend on run times; with wrong ones, urgent jobs are taken for late and room is
reserved without need. So for each queue the errors of the caller's estimate and of
the mean observed run time are tracked, and the better one is used.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from primrosestile.decisions.work.units import Member, Unit
from primrosestile.state.work import Step

# The weight of a new run in the mean and in the errors: about the last ten runs of
# a queue count, since the jobs that callers send change within a day.
NEW_RUN_WEIGHT = 0.1
# Runs needed before the mean is used at all.
MIN_RUNS = 3
# Below this progress a run shows little about its speed.
MIN_PROGRESS_PERCENT = 15.0


@dataclass(slots=True)
class QueueRunTimes:
    """Statistics of one queue's runs.

    Attributes:
        mean: Mean run time in seconds.
        mean_error: Mean absolute error of `mean`, in seconds.
        estimate_error: Mean absolute error of callers' estimates, in seconds.
    """

    runs: int = 0
    mean: float = 0.0
    mean_error: float = 0.0
    estimate_error: float = 0.0


class Durations:
    """Run times by queue."""

    def __init__(self) -> None:
        self._run_times: dict[str, QueueRunTimes] = {}

    def learn(self, queue: str, estimate: float, seconds: float) -> None:
        """Add a complete run that succeeded."""
        run_times = self._run_times.setdefault(queue, QueueRunTimes())
        share = max(NEW_RUN_WEIGHT, 1 / (run_times.runs + 1))
        if run_times.runs:
            run_times.mean_error += share * (
                abs(run_times.mean - seconds) - run_times.mean_error
            )
            run_times.estimate_error += share * (
                abs(estimate - seconds) - run_times.estimate_error
            )
        run_times.mean += share * (seconds - run_times.mean)
        run_times.runs += 1

    def guess(self, queue: str, step: Step) -> float:
        """Return the expected run time of one task of a step, in seconds."""
        run_times = self._run_times.get(queue)
        if run_times is None or run_times.runs < MIN_RUNS:
            return step.estimate_seconds
        if step.estimate_seconds and run_times.estimate_error <= run_times.mean_error:
            return step.estimate_seconds
        return run_times.mean

    def find_mean(self, queue: str) -> float:
        """Return a queue's mean run time in seconds; 0 where estimates are better."""
        run_times = self._run_times.get(queue)
        if run_times is None or run_times.runs < MIN_RUNS:
            return 0.0
        better = run_times.mean_error < run_times.estimate_error
        return run_times.mean if better else 0.0

    def guess_unit(self, unit: Unit) -> float:
        """Return the expected run time of a unit's next run, in seconds."""
        return self.guess(unit.job.submission.queue, unit.step)

    def guess_chain(self, queue: str, steps: tuple[Step, ...]) -> float:
        """Return the run time of the longest chain of a job's steps, in seconds."""
        return find_chain(steps, lambda step: self.guess(queue, step))

    def guess_run(self, member: Member) -> float:
        """Return the expected time of a member's whole current run, in seconds."""
        return self.guess_unit(member.unit)

    def guess_left(self, member: Member, now: float) -> float:
        """Return a member's remaining seconds, by its progress if that is enough."""
        measured_at = member.measured_at
        elapsed = now - measured_at if measured_at else member.find_age(now)
        gained = member.percent - member.measured_percent
        if gained >= MIN_PROGRESS_PERCENT:
            return elapsed * (100.0 - member.percent) / gained
        left = self.guess_run(member) * (100.0 - member.measured_percent) / 100.0
        return max(0.0, left - elapsed)

    def make_record(self) -> dict[str, QueueRunTimes]:
        """Return the statistics for the next owner."""
        return dict(self._run_times)

    def restore(self, record: Mapping[str, QueueRunTimes]) -> None:
        """Load the statistics of an earlier owner."""
        self._run_times.update(record)


def find_chain(steps: Sequence[Step], guess: Callable[[Step], float]) -> float:
    """Return the run time of the longest chain of steps, in seconds."""
    longest: list[float] = []
    for step in steps:
        before = max((longest[each] for each in step.after), default=0.0)
        longest.append(before + guess(step))
    return max(longest, default=0.0)

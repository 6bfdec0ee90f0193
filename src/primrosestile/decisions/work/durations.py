"""How long runs take, learned from those that ended well.

Load: callers whose estimates are off by up to nine tenths. Harm: the slack of a
job, the time at which a worker becomes free, and what may be fitted in before it
does, all rest on run times; with wrong ones, urgent jobs are taken for late and
room is kept free for nothing. So for each queue the caller's estimate and the
mean of what was seen are both scored by how far they were off, and the better one
is used.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from primrosestile.decisions.work.units import Member, Unit
from primrosestile.state.work import Step

# The share of a new run in the mean and in the errors: about the last ten runs of
# a queue count, since what callers send changes within a day.
NEW_SHARE = 0.1
# Runs seen before the mean is used at all.
FEWEST_RUNS = 3
# Below this share of its work, the progress of a run says little about its speed.
LEAST_PERCENT = 15.0


@dataclass(slots=True)
class Seen:
    """What was seen of one queue's runs.

    Attributes:
        mean: Seconds of a run.
        mean_error: How far the mean was off, in seconds.
        estimate_error: How far callers' estimates were off.
    """

    runs: int = 0
    mean: float = 0.0
    mean_error: float = 0.0
    estimate_error: float = 0.0


class Durations:
    """Run times by queue."""

    def __init__(self) -> None:
        self._seen: dict[str, Seen] = {}

    def learn(self, queue: str, estimate: float, seconds: float) -> None:
        """Take in a whole run that ended well."""
        seen = self._seen.setdefault(queue, Seen())
        share = max(NEW_SHARE, 1 / (seen.runs + 1))
        if seen.runs:
            seen.mean_error += share * (abs(seen.mean - seconds) - seen.mean_error)
            seen.estimate_error += share * (
                abs(estimate - seconds) - seen.estimate_error
            )
        seen.mean += share * (seconds - seen.mean)
        seen.runs += 1

    def guess(self, queue: str, step: Step) -> float:
        """Return how long a run of one task of a step takes."""
        seen = self._seen.get(queue)
        if seen is None or seen.runs < FEWEST_RUNS:
            return step.estimate_seconds
        if step.estimate_seconds and seen.estimate_error <= seen.mean_error:
            return step.estimate_seconds
        return seen.mean

    def guess_unit(self, unit: Unit) -> float:
        """Return how long a unit's next run takes."""
        return self.guess(unit.job.submission.queue, unit.step)

    def guess_chain(self, queue: str, steps: tuple[Step, ...]) -> float:
        """Return the longest chain of run times through a job's steps."""
        longest: list[float] = []
        for step in steps:
            before = max((longest[each] for each in step.after), default=0.0)
            longest.append(before + self.guess(queue, step))
        return max(longest, default=0.0)

    def guess_left(self, member: Member, now: float) -> float:
        """Return how much longer a member runs, by its progress where that tells."""
        elapsed = now - (member.up_at or member.since)
        if member.percent >= LEAST_PERCENT:
            return elapsed * (100.0 - member.percent) / member.percent
        return max(0.0, self.guess_unit(member.unit) - elapsed)

    def make_record(self) -> dict[str, Seen]:
        """Return what a next owner begins with."""
        return dict(self._seen)

    def restore(self, record: Mapping[str, Seen]) -> None:
        """Begin with what an earlier owner learned."""
        self._seen.update(record)

"""What a stop makes of the result that a unit's caller waits for.

Load: gangs that are stopped shortly before they end. Harm: in core-seconds such a stop
costs no more than others, but the gang has to wait for as many free workers again, and
its result comes when its caller has no use for it any more.
"""

from dataclasses import dataclass

from primrosestile.decisions.work.durations import Durations
from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.decisions.work.preemption import RESTART_SECONDS
from primrosestile.decisions.work.queue_order import (
    USELESS_AFTER_OBJECTIVES,
    find_objective_seconds,
)
from primrosestile.decisions.work.units import Job, MemberState, Unit

# Reading a checkpoint before work goes on.
RESTORE_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class StopEffect:
    """What a stop makes of a unit's result.

    Attributes:
        late: Later than its objective, which it would have met.
        useless: Of no use to its caller, who could have used it.
        useless_before: It would have been of no use without the stop, too.
    """

    late: bool = False
    useless: bool = False
    useless_before: bool = False


NO_EFFECT = StopEffect()


@dataclass(frozen=True, slots=True)
class _Times:
    """Expected times of a job.

    Attributes:
        objective: Seconds that it may take.
        tails: Seconds of the steps that come after each step, by its number.
    """

    objective: float
    tails: tuple[float, ...]


class StopEffects:
    """Finds the effects of stops within one pass."""

    def __init__(self, fleet_state: FleetState, durations: Durations) -> None:
        self._durations = durations
        self._worker_count = max(1, len(fleet_state.workers))
        self._restart_seconds = max(RESTART_SECONDS, fleet_state.stop_timing.restart)
        self._times: dict[str, _Times] = {}

    def find(self, unit: Unit, now: float) -> StopEffect:
        """Return what a stop makes of a unit's result."""
        if unit.step.daemon or not unit.members:
            return NO_EFFECT
        left = max(
            (
                self._durations.guess_left(member, now)
                for member in unit.members
                if member.state is not MemberState.GONE
            ),
            default=0.0,
        )
        left_again = left if unit.step.checkpoints else self._durations.guess_unit(unit)
        times = self._find_times(unit.job)
        passed = now - find_beginning(unit) + times.tails[unit.key.step]
        ends = passed + left
        ends_again = passed + self.find_pause(unit) + left_again
        useless_after = USELESS_AFTER_OBJECTIVES * times.objective
        return StopEffect(
            late=ends <= times.objective < ends_again,
            useless=ends <= useless_after < ends_again,
            useless_before=ends > useless_after,
        )

    def find_pause(self, unit: Unit) -> float:
        """Return the expected seconds from a stop until the unit's work goes on.

        In a full fleet whose runs take as long as this one, the workers for a gang
        become free in about its share of the workers times that run time.
        """
        seconds = self._restart_seconds
        if unit.step.checkpoints:
            seconds += RESTORE_SECONDS
        if unit.step.gang:
            share = min(1.0, unit.size / self._worker_count)
            seconds += share * self._durations.guess_unit(unit)
        return seconds

    def is_useless(self, unit: Unit, now: float) -> bool:
        """Whether a unit's result would be of no use even if it ended now."""
        objective = self._find_times(unit.job).objective
        return now - find_beginning(unit) > USELESS_AFTER_OBJECTIVES * objective

    def _find_times(self, job: Job) -> _Times:
        """Return a job's times, cached, since each of its tasks asks for them."""
        times = self._times.get(job.job_id)
        if times is None:
            objective = find_objective_seconds(job, self._durations)
            times = self._times[job.job_id] = _Times(objective, self._find_tails(job))
        return times

    def _find_tails(self, job: Job) -> tuple[float, ...]:
        steps = job.submission.steps
        tails = [0.0] * len(steps)
        for number in reversed(range(len(steps))):
            step = steps[number]
            seconds = tails[number] + self._durations.guess(job.submission.queue, step)
            for before in step.after:
                tails[before] = max(tails[before], seconds)
        return tuple(tails)


def find_beginning(unit: Unit) -> float:
    """Return since when a unit's caller waits: for a repeating job, for this repeat."""
    if unit.job.submission.repeats.count and unit.ready_at is not None:
        return unit.ready_at
    return unit.job.accepted

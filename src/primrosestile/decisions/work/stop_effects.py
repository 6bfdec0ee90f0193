"""What a stop makes of the result that a unit's caller waits for.

Load: gangs that are stopped shortly before they end. Harm: in core-seconds such a stop
costs no more than others, but the gang has to wait for as many free workers again, and
its result comes when its caller has no use for it any more.
"""

import itertools
from dataclasses import dataclass

from primrosestile.decisions.work.durations import Durations
from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.decisions.work.preemption import RESTART_SECONDS
from primrosestile.decisions.work.queue_order import (
    USELESS_AFTER_OBJECTIVES,
    find_beginning,
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


# A pass over 176 workers needs the effects of over a thousand units, so the few that
# there are, are made once.
_EFFECTS = {key: StopEffect(*key) for key in itertools.product((False, True), repeat=3)}


@dataclass(frozen=True, slots=True)
class _StepTimes:
    """Expected times of a step's units, in seconds.

    Attributes:
        run: Of a whole run.
        pause: From a stop until its work goes on.
        tail: Of the steps that come after it.
        objective: What its job may take.
    """

    run: float
    pause: float
    tail: float
    objective: float


class StopEffects:
    """Finds the effects of stops within one pass."""

    def __init__(self, fleet_state: FleetState, durations: Durations) -> None:
        self._durations = durations
        self._worker_count = max(1, len(fleet_state.workers))
        self._restart_seconds = max(RESTART_SECONDS, fleet_state.stop_timing.restart)
        # By the identity of the step, which its units share.
        self._times: dict[int, _StepTimes] = {}

    def find(self, unit: Unit, now: float) -> StopEffect:
        """Return what a stop makes of a unit's result."""
        if unit.step.daemon or not unit.members:
            return NO_EFFECT
        left = 0.0
        for member in unit.members:
            if member.state is not MemberState.GONE:
                left = max(left, self._durations.guess_left(member, now))
        times = self._find_times(unit)
        passed = now - find_beginning(unit) + times.tail
        ends = passed + left
        ends_again = passed + times.pause
        ends_again += left if unit.step.checkpoints else times.run
        useless_after = USELESS_AFTER_OBJECTIVES * times.objective
        late = ends <= times.objective < ends_again
        useless = ends <= useless_after < ends_again
        return _EFFECTS[late, useless, ends > useless_after]

    def find_pause(self, unit: Unit) -> float:
        """Return the expected seconds from a stop until the unit's work goes on."""
        return self._find_times(unit).pause

    def find_run_seconds(self, unit: Unit) -> float:
        """Return the expected seconds of a unit's whole run."""
        return self._find_times(unit).run

    def is_useless(self, unit: Unit, now: float) -> bool:
        """Whether a unit's result would be of no use even if it ended now."""
        objective = self._find_times(unit).objective
        return now - find_beginning(unit) > USELESS_AFTER_OBJECTIVES * objective

    def _find_times(self, unit: Unit) -> _StepTimes:
        times = self._times.get(id(unit.step))
        if times is None:
            seconds = self._durations.guess_unit(unit)
            times = self._times[id(unit.step)] = _StepTimes(
                seconds,
                self._guess_pause(unit, seconds),
                self._find_tails(unit.job)[unit.key.step],
                find_objective_seconds(unit.job, self._durations),
            )
        return times

    def _guess_pause(self, unit: Unit, run_seconds: float) -> float:
        """Return the time of a stop and a restart, and for gangs the wait for workers.

        In a full fleet whose runs take as long as this one, the workers for a gang
        become free in about its share of the workers times that run time.
        """
        seconds = self._restart_seconds
        if unit.step.checkpoints:
            seconds += RESTORE_SECONDS
        if unit.step.gang:
            seconds += min(1.0, unit.size / self._worker_count) * run_seconds
        return seconds

    def _find_tails(self, job: Job) -> tuple[float, ...]:
        steps = job.submission.steps
        tails = [0.0] * len(steps)
        for number in reversed(range(len(steps))):
            step = steps[number]
            seconds = tails[number] + self._durations.guess(job.submission.queue, step)
            for before in step.after:
                tails[before] = max(tails[before], seconds)
        return tuple(tails)

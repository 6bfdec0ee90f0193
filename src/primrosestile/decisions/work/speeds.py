"""How fast each worker is, learned by comparing similar tasks.

Load: a third of the workers takes 1.3 times as long as the others, and for some
seconds a few may take six times as long. Harm: urgent work has a slack of half its
run time, so on such a worker it is late even if it starts at once; and a gang is as
slow as its slowest member. Callers' estimates are too inaccurate to tell a slow
worker from a long task. Tasks of one step are similar, so each is compared with the
others of its step: with the median time of those that have ended, or, in a gang,
with the median speed of its members.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from statistics import median

from primrosestile.decisions.work.durations import Durations
from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.decisions.work.units import Member, MemberState, Unit

# The weight of a new comparison: tasks of one step differ by 15%, so about the last
# five count.
NEW_COMPARISON_WEIGHT = 0.2
# Comparisons before a worker counts as slow: one long task must not suffice.
MIN_COMPARISONS = 3
# Between the usual 1.0 and a slow worker's 1.3, with 15% between tasks.
SLOW_FACTOR = 1.14
# Bounds of one comparison's factor: 1 / this, and this.
MAX_FACTOR = 2.0
# The same where running gangs are compared: a worker at 0.55 of the usual speed takes
# 2.2 times as long as one at 1.2 of it.
MAX_RUNNING_FACTOR = 3.0
# A member of a running gang is compared after this long, and after twice and four times
# as long; progress is reported in whole percent, so sooner it shows little.
RUNNING_COMPARISON_SECONDS = 1.0
MAX_RUNNING_COMPARISONS = 3
# With fewer workers the median is itself the speed of a slow one too often.
MIN_RUNNING_WORKERS = 3
# Ended tasks of a step before another one is compared with them.
MIN_SIBLINGS = 3
# Steps whose run times are kept; older ones have ended.
MAX_STEPS = 200
# A run whose progress is this many times less than expected, after this many seconds,
# shows a worker that is currently slow.
BEHIND_FACTOR = 2.5
BEHIND_SECONDS = 1.2


@dataclass(frozen=True, slots=True)
class SpeedChange:
    """A worker that joined the slow group or left it.

    Attributes:
        slow: Whether it is in the slow group now.
        factor: How many times as long as usual it takes.
        comparisons: From which that was learned.
    """

    worker: str
    slow: bool
    factor: float
    comparisons: int


class Speeds:
    """The factor by which each worker is slower than usual.

    Attributes:
        observing: Running gangs are compared too, and each comparison takes account of
            the known factors of the others. Once gangs are put together by speed, all
            members of one may be slow, and equal speeds must not make them usual.
        slow_group: The workers that were last found to be of the slow group.
    """

    def __init__(self) -> None:
        self.observing = False
        self.slow_group: frozenset[str] = frozenset()
        self._changes: list[SpeedChange] = []
        self._factors: dict[str, tuple[int, float]] = {}
        self._steps: dict[tuple[str, int, int], list[float]] = {}

    def find_factor(self, worker: str) -> float:
        """Return how many times as long as usual a worker takes; 1 if not known."""
        count, factor = self._factors.get(worker, (0, 1.0))
        return factor if count >= MIN_COMPARISONS else 1.0

    def is_slow(self, worker: str) -> bool:
        """Whether urgent work should preferably go elsewhere."""
        return self.find_factor(worker) > SLOW_FACTOR

    def record_success(self, member: Member, now: float) -> None:
        """Learn from a successful run; a gang's is reported by one member."""
        unit = member.unit
        if self.observing and unit.step.data_rack:
            # Outside the rack of its data a task takes three times as long on any
            # worker; that made two usual workers of 24 slow.
            return
        if unit.step.gang and not self.observing:
            self._compare_gang(unit)
        elif unit.step.gang:
            self._compare_running(unit)
        elif member.up_at and not member.resumed and not member.restored:
            self._compare_step(unit, member.worker, now - member.up_at)

    def _compare_gang(self, unit: Unit) -> None:
        rates = {}
        for member in unit.members:
            seconds = member.progressed_at - member.measured_at
            gained = member.percent - member.measured_percent
            if member.up_at and seconds > 0 and gained > 0:
                rates[member.worker] = gained / seconds
        if len(rates) < 2:
            return
        middle = median(rates.values())
        for worker, rate in rates.items():
            self._add_comparison(worker, middle / rate)

    def observe(self, units: Iterable[Unit]) -> None:
        """Learn from the progress of running gangs, now and from now on."""
        self.observing = True
        for unit in units:
            if not unit.step.data_rack:
                self._compare_running(unit)

    def _compare_running(self, unit: Unit) -> None:
        """Compare the members that are due with the median of their gang."""
        due = [member for member in unit.members if _is_comparison_due(member)]
        if not due:
            return
        rates: dict[str, float] = {}
        for member in unit.members:
            if _find_measured_seconds(member) >= RUNNING_COMPARISON_SECONDS:
                rate = _find_rate(member) * self.find_factor(member.worker)
                rates[member.worker] = max(rate, rates.get(member.worker, 0.0))
        if len(rates) < MIN_RUNNING_WORKERS:
            return
        middle = median(rates.values())
        for member in due if middle > 0 else ():
            member.comparisons += 1
            rate = _find_rate(member)
            factor = middle / rate if rate else MAX_RUNNING_FACTOR
            self._add_comparison(member.worker, factor)

    def normalise(self, unit: Unit, seconds: float) -> float:
        """Return how long a unit's run would have taken on usual workers, in seconds.

        The same seconds unless running gangs are compared.
        """
        if not self.observing or not unit.members:
            return seconds
        return seconds / max(self.find_factor(each.worker) for each in unit.members)

    def _compare_step(self, unit: Unit, worker: str, seconds: float) -> None:
        times = self._steps.get(unit.step_key)
        if times is None:
            if len(self._steps) >= MAX_STEPS:
                del self._steps[next(iter(self._steps))]
            times = self._steps[unit.step_key] = []
        if len(times) >= MIN_SIBLINGS:
            self._add_comparison(worker, seconds / median(times))
        known = self.find_factor(worker) if self.observing else 1.0
        times.append(seconds / known)

    def _add_comparison(self, worker: str, factor: float) -> None:
        count, known = self._factors.get(worker, (0, 1.0))
        # One comparison can be far off, as when a task waited for its data.
        most = MAX_RUNNING_FACTOR if self.observing else MAX_FACTOR
        factor = min(most, max(1 / most, factor))
        share = max(NEW_COMPARISON_WEIGHT, 1 / (count + 1))
        self._factors[worker] = (count + 1, known + share * (factor - known))

    def set_slow_group(self, slow: frozenset[str]) -> None:
        """Record the slow group, and which workers joined or left it."""
        for worker in sorted(slow ^ self.slow_group):
            count, factor = self._factors.get(worker, (0, 1.0))
            self._changes.append(SpeedChange(worker, worker in slow, factor, count))
        self.slow_group = slow

    def pop_changes(self) -> list[SpeedChange]:
        """Return the changes of the slow group since the last call."""
        changes = self._changes
        self._changes = []
        return changes

    def make_record(self) -> dict[str, tuple[int, float]]:
        """Return the factors for the next owner."""
        return dict(self._factors)

    def restore(self, record: Mapping[str, tuple[int, float]]) -> None:
        """Load the factors of an earlier owner; one that is no factor is left out."""
        self._factors.update(
            (worker, (count, factor))
            for worker, (count, factor) in record.items()
            if 0 < factor < math.inf
        )


def _is_comparison_due(member: Member) -> bool:
    if member.state is not MemberState.UP:
        return False
    done = member.comparisons
    due_after = RUNNING_COMPARISON_SECONDS * 2**done
    return (
        done < MAX_RUNNING_COMPARISONS and _find_measured_seconds(member) >= due_after
    )


def _find_measured_seconds(member: Member) -> float:
    """Return over how many seconds a member's progress was observed."""
    until = member.progressed_at if member.percent >= 100 else member.heard_at
    return until - member.measured_at if member.up_at else 0.0


def _find_rate(member: Member) -> float:
    """Return a member's progress in percent per second of observation."""
    gained = member.percent - member.measured_percent
    return gained / _find_measured_seconds(member)


def is_behind(member: Member, expected: float, now: float) -> bool:
    """Whether a run shows that its worker is currently slow or stalled."""
    elapsed = now - member.up_at
    if not member.up_at or member.resumed or elapsed < BEHIND_SECONDS:
        return False
    if expected <= 0:
        return False
    due = min(100.0, 100.0 * elapsed / expected)
    return member.percent * BEHIND_FACTOR < due


def find_slow(
    fleet_state: FleetState, durations: Durations, speeds: Speeds, now: float
) -> set[str]:
    """Return the workers that are slow, in general or currently."""
    slow = set()
    for worker in fleet_state.workers.values():
        if speeds.is_slow(worker.name) or any(
            is_behind(member, durations.guess_unit(member.unit), now)
            for member in worker.members.values()
            if now - member.up_at >= BEHIND_SECONDS and not member.unit.step.daemon
        ):
            slow.add(worker.name)
    return slow

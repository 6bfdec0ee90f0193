"""What is stopped so that urgent work can start.

Load: urgent gangs that arrive while renders and rebuilds hold every accelerator.
Harm: an organisation that does not get its guaranteed accelerators within 2.9 s,
or hours of work thrown away for a quote that could have waited. So within its
guarantee urgent work stops whatever is not within a guarantee itself, the
cheapest first; other work only what has a lower priority, and as much as is in
proportion to what it does itself.

Work with checkpoints saves one as it is stopped, so it loses only its restart. A
gang is lost whole with any of its members.
"""

from collections.abc import Collection
from dataclasses import dataclass

from primrosestile.decisions.work.units import MemberState, Unit

# An accelerator's second is worth this many of a core, as operators price them.
CORES_PER_ACCELERATOR = 8
# What stopping work with checkpoints costs: a restart of 0.1 to 0.25 s and the
# gap until it is placed again.
RESTART_SECONDS = 0.5
# Beyond its guarantee urgent work stops nothing that was started less than this
# ago: work that is stopped again and again for others never ends.
SPARED_SECONDS = 2.0
# Nothing that was begun more often than this is stopped, but for guaranteed work: the
# same patient tasks would pay for all others.
SPARED_STARTS = 3
# Work without checkpoints loses all that it did, so usual work stops only what has just
# begun; without any of that, gangs would find too little room until long tables end.
UNSAVED_SECONDS = 3.0
# For urgent work, unsaved work that is older may be stopped as well, while all of it
# comes to no more than what the urgent work does itself, times this. A gang of four
# whole workers in one rack stood beside four racks on which single unsaved tasks were
# spread, none of them young, for ten seconds, and its caller got nothing.
URGENT_WASTE_FACTOR = 2.0
# What may be thrown away for work that is not urgent but goes before what is
# stopped: a few restarts, against the hundreds of core-seconds of a gang that would
# come too late for its caller.
USUAL_CORE_SECONDS = 250.0
# Urgent work of others goes last: stopping it makes one caller late for another.
URGENT_VICTIM_FACTOR = 10.0


@dataclass(frozen=True, slots=True)
class Eviction:
    """Units to stop, and what that throws away in core-seconds.

    Attributes:
        aged: Some of them have run for long and save nothing.
    """

    units: tuple[Unit, ...]
    cost: float
    aged: bool = False


def count_cores(unit: Unit) -> float:
    """Return what one member of a unit takes, an accelerator as so many cores."""
    need = unit.step.need
    return need.processor / 1000 + need.accelerators * CORES_PER_ACCELERATOR


def find_cost(unit: Unit, now: float) -> float:
    """Return the core-seconds that stopping a unit throws away."""
    cores = count_cores(unit)
    cost = 0.0
    for member in unit.members:
        if member.state is MemberState.GONE:
            continue
        seconds = RESTART_SECONDS
        if not unit.step.checkpoints:
            seconds = max(seconds, now - member.since)
        cost += cores * seconds
    if unit.job.queue.priority == 0:
        cost *= URGENT_VICTIM_FACTOR
    return cost


def find_work(unit: Unit, seconds: float) -> float:
    """Return the core-seconds that a unit itself takes.

    Args:
        unit: To be started.
        seconds: How long its run is expected to take.
    """
    return unit.size * count_cores(unit) * seconds


def is_affordable(
    eviction: Eviction, gainer: Unit, entitled: bool, seconds: float
) -> bool:
    """Whether a unit is worth what would be thrown away for it.

    Guaranteed work and services have their room whatever that costs.

    Args:
        eviction: What would be stopped.
        gainer: For whom.
        entitled: Whether it is within its organisation's guarantee.
        seconds: How long its run is expected to take.
    """
    if entitled or gainer.step.lasting:
        return True
    if gainer.job.queue.priority > 0:
        return eviction.cost <= USUAL_CORE_SECONDS
    if not eviction.aged:
        return True
    return eviction.cost <= URGENT_WASTE_FACTOR * find_work(gainer, seconds)


def may_stop(victim: Unit, gainer: Unit, entitled: Collection[str], now: float) -> bool:
    """Whether a unit may be stopped for another one at all."""
    if victim.abandoned or victim.step.lasting or not victim.members:
        return False
    if victim.job.job_id in entitled:
        return False
    if gainer.job.job_id in entitled:
        return True
    if gainer.step.lasting:
        return victim.job.queue.priority > 0
    if victim.job.queue.priority <= gainer.job.queue.priority:
        return False
    if victim.run > SPARED_STARTS:
        return False
    if victim.step.checkpoints:
        return now - victim.members[0].since > SPARED_SECONDS
    return gainer.job.queue.priority == 0 or not is_aged(victim, now)


def is_aged(victim: Unit, now: float) -> bool:
    """Whether a unit has run for long and saves nothing."""
    if victim.step.checkpoints or not victim.members:
        return False
    return now - victim.members[0].since >= UNSAVED_SECONDS

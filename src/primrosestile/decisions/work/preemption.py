"""Preemption: what may be stopped so that other work can start, and at which cost.

Load: urgent gangs that arrive while renders and rebuilds use every accelerator.
Harm: an organisation that does not get its guaranteed accelerators within 2.9 s,
or hours of work wasted for a quote that could have waited. So urgent work within its
guarantee stops whatever is not within a guarantee itself, the cheapest first; other
work stops only what has a lower priority, and only in proportion to its own work.

Work with checkpoints saves one when it is stopped, so it loses only its restart. A
gang is lost whole with any of its members.
"""

from collections.abc import Collection
from dataclasses import dataclass

from primrosestile.decisions.work.units import MemberState, Unit

# An accelerator-second costs as much as this many core-seconds, by operators' prices.
CORES_PER_ACCELERATOR = 8
# Cost of stopping work with checkpoints: a restart of 0.1 to 0.25 s, and the gap until
# it is placed again.
RESTART_SECONDS = 0.5
# Except for guaranteed work and services, no work with checkpoints is stopped that
# started less than this ago: work that is stopped again and again never ends.
SPARED_SECONDS = 2.0
# Except for guaranteed work and services, nothing is stopped that was started more
# often than this; otherwise the same low-priority tasks would be stopped every time.
SPARED_STARTS = 3
# Work without checkpoints loses all that it did, so work that is not urgent stops only
# what has just started. If it stopped none, gangs would find too little room until long
# table jobs end.
UNSAVED_SECONDS = 3.0
# Urgent work may also stop older unsaved work if the cost of all that is stopped is at
# most this many times its own work. Without that, a gang of four whole workers in one
# rack waited for ten seconds: single unsaved tasks, all of them old, were spread over
# four racks, and its caller got no result.
URGENT_WASTE_FACTOR = 2.0
# What may be wasted for work that is not urgent but has a higher priority than what is
# stopped: a few restarts, against the hundreds of core-seconds of a gang that would
# otherwise be late for its caller.
MAX_WASTE_CORE_SECONDS = 250.0
# Urgent work is the last to be stopped: it would make one caller late for another.
URGENT_VICTIM_FACTOR = 10.0


@dataclass(frozen=True, slots=True)
class Eviction:
    """Units to stop, and what that wastes.

    Attributes:
        cost: In core-seconds.
        aged: Some of them have run for long and have no checkpoints.
    """

    units: tuple[Unit, ...]
    cost: float
    aged: bool = False


def count_cores(unit: Unit) -> float:
    """Return the cores of one member, with accelerators converted into cores."""
    need = unit.step.need
    return need.processor / 1000 + need.accelerators * CORES_PER_ACCELERATOR


def compute_cost(unit: Unit, now: float) -> float:
    """Return the core-seconds that stopping a unit wastes, weighted if urgent."""
    cores = count_cores(unit)
    cost = 0.0
    for member in unit.members:
        if member.state is MemberState.GONE:
            continue
        seconds = RESTART_SECONDS
        if not unit.step.checkpoints:
            seconds = max(seconds, member.find_age(now))
        cost += cores * seconds
    if unit.job.queue.priority == 0:
        cost *= URGENT_VICTIM_FACTOR
    return cost


def compute_core_seconds(unit: Unit, seconds: float) -> float:
    """Return the core-seconds of a unit's own run.

    Args:
        unit: To be started.
        seconds: Expected run time.
    """
    return unit.size * count_cores(unit) * seconds


def is_affordable(
    eviction: Eviction, gainer: Unit, entitled: bool, seconds: float
) -> bool:
    """Whether a unit is worth what would be wasted for it.

    Guaranteed work and services get their room at any cost.

    Args:
        eviction: What would be stopped.
        gainer: The unit that gets the room.
        entitled: Whether the gainer is within its organisation's guarantee.
        seconds: Expected run time of the gainer.
    """
    if entitled or gainer.step.daemon:
        return True
    if gainer.job.queue.priority > 0:
        return eviction.cost <= MAX_WASTE_CORE_SECONDS
    if not eviction.aged:
        return True
    return eviction.cost <= URGENT_WASTE_FACTOR * compute_core_seconds(gainer, seconds)


def may_stop(victim: Unit, gainer: Unit, entitled: Collection[str], now: float) -> bool:
    """Whether a unit may be stopped for another one at all."""
    if victim.abandoned or victim.step.daemon or not victim.members:
        return False
    if victim.job.job_id in entitled:
        return False
    if gainer.job.job_id in entitled:
        return True
    if gainer.step.daemon:
        return victim.job.queue.priority > 0
    if victim.job.queue.priority <= gainer.job.queue.priority:
        return False
    if victim.run > SPARED_STARTS:
        return False
    if victim.step.checkpoints:
        return victim.members[0].find_age(now) > SPARED_SECONDS
    return gainer.job.queue.priority == 0 or not is_aged(victim, now)


def is_aged(victim: Unit, now: float) -> bool:
    """Whether a unit has run for long and has no checkpoints."""
    if victim.step.checkpoints or not victim.members:
        return False
    return victim.members[0].find_age(now) >= UNSAVED_SECONDS

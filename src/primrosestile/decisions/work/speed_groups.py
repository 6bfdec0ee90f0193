"""Which workers belong to the fast and to the slow group.

Load: a quarter of the workers takes 2.2 times as long as the others. Harm: a gang is as
slow as its slowest member, so with workers taken as they come nearly every gang of 13
has a slow one, and holds 12 fast workers for more than twice the time that they need.
So workers are divided into two groups by their learned factors, and `group_placement`
puts gangs on one of them.

A worker is in the slow group only if it takes clearly longer than the fast ones: tasks
of one step differ by 15% either way, and with groups that close together a gang would
wait for a speed that it would not notice. A worker that is not known counts as usual.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from statistics import median

from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.decisions.work.speeds import Speeds
from primrosestile.decisions.work.units import Unit, Worker
from primrosestile.state.scheduling import SchedulingSettings

# Longer stops than this leave urgent work no time for a restart elsewhere, so that the
# first placement has to be right.
STOP_SECONDS = 0.5
# A worker joins the slow group when it takes this many times as long as the fast group,
# and leaves it below the second factor, so that noise does not move it to and fro.
JOIN_FACTOR = 1.5
LEAVE_FACTOR = 1.3


@dataclass(frozen=True, slots=True)
class SpeedGroups:
    """The workers of the slow group; all others are fast.

    Attributes:
        slow: Names of the slow ones.
        factors: How many times as long as usual each known worker takes.
        slow_factor: The median of those of the slow ones; 1 if there are none.
    """

    slow: frozenset[str] = frozenset()
    factors: Mapping[str, float] = field(default_factory=dict)
    slow_factor: float = 1.0

    def find_factor(self, worker: str) -> float:
        """Return how many times as long as usual a worker takes."""
        return self.factors.get(worker, 1.0)

    def find_run_factor(self, unit: Unit) -> float:
        """Return the factor of the slowest worker of a unit's current run."""
        return max((self.find_factor(each.worker) for each in unit.members), default=1)


def use_speed_groups(settings: SchedulingSettings) -> bool:
    """Whether gangs are put together by speed in this deployment."""
    return settings.speed_groups.resolve(settings.stop_seconds > STOP_SECONDS)


def group_workers(
    pools: Mapping[str, str], factors: Mapping[str, float], slow: Collection[str]
) -> SpeedGroups:
    """Divide workers into groups.

    Args:
        pools: The pool of each worker. Only workers of one pool are compared, since
            factors are learned from steps, each of which runs in one pool.
        factors: Of each worker that is known.
        slow: The workers that were in the slow group before.
    """
    by_pool: dict[str, list[str]] = {}
    for name, pool in pools.items():
        by_pool.setdefault(pool, []).append(name)
    found = set()
    for names in by_pool.values():
        in_order = sorted(factors.get(name, 1.0) for name in names)
        # The lower quartile is a fast worker's even if half of the pool is slow.
        fast = in_order[(len(in_order) - 1) // 4]
        for name in names:
            bound = LEAVE_FACTOR if name in slow else JOIN_FACTOR
            if factors.get(name, 1.0) >= bound * fast:
                found.add(name)
    slow_factor = median(factors[name] for name in found) if found else 1.0
    return SpeedGroups(frozenset(found), factors, slow_factor)


def find_speed_groups(fleet_state: FleetState, speeds: Speeds) -> SpeedGroups:
    """Learn from the gangs that run, and return the groups."""
    workers = fleet_state.workers
    speeds.observe(_list_gangs(workers.values()))
    groups = group_workers(
        {name: worker.entry.pool for name, worker in workers.items()},
        {name: speeds.find_factor(name) for name in workers},
        speeds.slow_group,
    )
    speeds.set_slow_group(groups.slow)
    return groups


def _list_gangs(workers: Collection[Worker]) -> list[Unit]:
    gangs = {
        id(member.unit): member.unit
        for worker in workers
        for member in worker.members.values()
        if member.unit.step.gang and not member.unit.step.daemon
    }
    return list(gangs.values())

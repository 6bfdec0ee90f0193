"""What stopping a unit costs with regard to its caller and to earlier stops.

Load: urgent and normal work that alternate over patient work, and gangs of a dozen
tasks with one task per worker. Harm: a cost that only counts lost seconds makes the
same gang the cheapest again soon after its restart. It is stopped every three seconds,
each time with seconds of work on all of its workers, and its caller gets nothing. So
what a caller loses is part of the cost, the cost grows with each earlier stop, and a
unit that was stopped is then spared for a while. Work is stopped a second time for the
same unit only if the room of the first time is lost.

Guaranteed work and services are refused nothing by these rules; they only choose among
victims by the cost. A unit's history is kept in `Unit`, so a new owner begins with an
empty one. `Switch.AUTO` means off: fewer tasks are stopped again and again, but callers
gain nothing that can be told from chance (docs/design/preemption-history.md).
"""

from collections.abc import Callable, Collection, Iterable
from typing import Protocol

from primrosestile.decisions.work.durations import Durations
from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.decisions.work.preemption import (
    URGENT_VICTIM_FACTOR,
    Eviction,
    compute_cost,
    count_cores,
)
from primrosestile.decisions.work.stop_effects import StopEffect, StopEffects
from primrosestile.decisions.work.units import MemberState, Unit

# The work of a unit's whole run is lost this many times if a stop makes its result
# late, or useless, for its caller.
LATE_RUNS = 1.0
USELESS_RUNS = 2.0
# Factor on the cost of a unit whose result is of no use to its caller anyway.
ALREADY_USELESS_FACTOR = 0.5
# Each earlier stop adds this share of the cost.
STOP_GROWTH = 1.0

Permission = Callable[[Unit, Unit, Collection[str], float], bool]


class StopRules(Protocol):
    """Decides which units may be stopped in a pass, and what each stop costs."""

    def compute_cost(self, unit: Unit, now: float) -> float:
        """Return the cost of stopping a unit, in core-seconds."""
        ...

    def may_stop(
        self, victim: Unit, gainer: Unit, entitled: Collection[str], now: float
    ) -> bool:
        """Whether a unit may be stopped for another one."""
        ...

    def may_stop_again(
        self, gainer: Unit, entitled: Collection[str], now: float
    ) -> bool:
        """Whether work may be stopped for a unit, after what was stopped before."""
        ...

    def measure_waste(self, eviction: Eviction, now: float) -> float:
        """Return the core-seconds of an eviction for which guaranteed work waits.

        That it chooses its victims by a higher cost must not make it wait longer.
        """
        ...

    def find_effect(self, unit: Unit, now: float) -> StopEffect:
        """Return what a stop makes of a unit's result."""
        ...


class CurrentRunRules:
    """Considers only the current run of a unit."""

    def __init__(self, effects: StopEffects, permission: Permission) -> None:
        self.may_stop = permission
        self.find_effect = effects.find

    def compute_cost(self, unit: Unit, now: float) -> float:
        """Return the core-seconds that a stop wastes."""
        return compute_cost(unit, now)

    def may_stop_again(
        self, gainer: Unit, entitled: Collection[str], now: float
    ) -> bool:
        """Allow any number of rounds of stops."""
        return True

    def measure_waste(self, eviction: Eviction, now: float) -> float:
        """Return the cost, which counts nothing else."""
        return eviction.cost


class HistoryRules:
    """Considers what a unit's caller loses, and earlier stops."""

    def __init__(
        self,
        fleet_state: FleetState,
        effects: StopEffects,
        permission: Permission,
    ) -> None:
        self._fleet_state = fleet_state
        self._effects = effects
        self._permission = permission
        self.find_effect = effects.find

    def compute_cost(self, unit: Unit, now: float) -> float:
        """Return the core-seconds that a stop wastes, and what the caller loses."""
        if unit.step.daemon or not unit.members:
            return compute_cost(unit, now)
        cores = count_cores(unit)
        pause = self._effects.find_pause(unit)
        cost = 0.0
        for member in unit.members:
            if member.state is not MemberState.GONE:
                unsaved = 0.0 if unit.step.checkpoints else member.find_age(now)
                cost += cores * max(pause, unsaved)
        effect = self._effects.find(unit, now)
        if effect.useless or effect.late:
            runs = USELESS_RUNS if effect.useless else LATE_RUNS
            cost += runs * unit.size * cores * self._effects.find_run_seconds(unit)
        if effect.useless_before:
            cost *= ALREADY_USELESS_FACTOR
        if unit.job.queue.priority == 0:
            cost *= URGENT_VICTIM_FACTOR
        return cost * (1.0 + STOP_GROWTH * unit.stop_count)

    def may_stop(
        self, victim: Unit, gainer: Unit, entitled: Collection[str], now: float
    ) -> bool:
        """Whether a unit may be stopped; one that was stopped is spared for a while."""
        if not self._permission(victim, gainer, entitled, now):
            return False
        if gainer.job.job_id in entitled or gainer.step.daemon:
            return True
        return not self._is_spared(victim, now)

    def may_stop_again(
        self, gainer: Unit, entitled: Collection[str], now: float
    ) -> bool:
        """Whether nothing was stopped for a unit yet, or that room is lost.

        Room that was held for longer than stops take is lost for whatever reason;
        otherwise the unit could wait without end.
        """
        if not gainer.eviction_count or gainer.step.daemon:
            return True
        if gainer.job.job_id in entitled or now >= gainer.freed_until:
            return True
        return any(
            self._is_room_lost(name, gainer, entitled, now)
            for name in gainer.round_workers
        )

    def measure_waste(self, eviction: Eviction, now: float) -> float:
        """Return the core-seconds that are lost, whatever callers lose."""
        return sum(compute_cost(unit, now) for unit in eviction.units)

    def _is_spared(self, victim: Unit, now: float) -> bool:
        """Whether a unit that was stopped before has not run for long enough again."""
        if not victim.stop_count or not victim.members:
            return False
        if victim.step.checkpoints:
            spared = self._fleet_state.settings.checkpoint_seconds
        else:
            spared = self._effects.find_run_seconds(victim)
        if victim.members[0].find_age(now) >= spared:
            return False
        # Estimates may be ten times too long; nobody needs to spare useless work.
        return not self._effects.is_useless(victim, now)

    def _is_room_lost(
        self, name: str, gainer: Unit, entitled: Collection[str], now: float
    ) -> bool:
        """Whether a worker has left, stops late, or was taken by guaranteed work."""
        worker = self._fleet_state.workers.get(name)
        if worker is None or not worker.may_take(now):
            return True
        if worker.stop_late_at >= gainer.round_at:
            return True
        if any(
            member.decided_at >= gainer.round_at
            and (member.unit.job.job_id in entitled or member.unit.step.daemon)
            for member in worker.members.values()
        ):
            return True
        jobs = self._fleet_state.jobs
        return any(
            unit.round_at >= gainer.round_at and name in unit.freed_workers
            for job_id in entitled
            for unit in jobs[job_id].units.values()
        )


def make_stop_rules(
    fleet_state: FleetState, durations: Durations, permission: Permission
) -> StopRules:
    """Return the rules that the deployment's settings call for, for one pass."""
    effects = StopEffects(fleet_state, durations)
    if fleet_state.settings.preemption_history.resolve(False):
        return HistoryRules(fleet_state, effects, permission)
    return CurrentRunRules(effects, permission)


def record_stop(victim: Unit) -> None:
    """Record that a unit is being stopped for another one."""
    victim.stop_count += 1


def record_round(gainer: Unit, workers: Iterable[str], now: float) -> None:
    """Record on which workers a round of stops makes room for a unit."""
    gainer.round_workers = tuple(workers)
    gainer.round_at = now

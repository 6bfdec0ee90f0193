"""The mechanisms of a pass, each of which can be replaced by itself.

A mechanism without effect costs every reader and every pass. An effect shows only when
a mechanism alone is replaced on the same workloads: `scripts/bench ablation` does that,
so the pass takes its mechanisms from here.
"""

from collections.abc import Collection
from dataclasses import dataclass
from typing import Protocol

from primrosestile.decisions.work.departure_restarts import find_departure_restarts
from primrosestile.decisions.work.durations import Durations
from primrosestile.decisions.work.eviction_wait import find_eviction_wait
from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.decisions.work.group_placement import (
    GroupPlacement,
    make_group_placement,
)
from primrosestile.decisions.work.headroom import find_headroom
from primrosestile.decisions.work.headroom_state import PoolHeadroom
from primrosestile.decisions.work.placement import find_locality_wait
from primrosestile.decisions.work.preemption import may_stop
from primrosestile.decisions.work.preemption_history import StopRules, make_stop_rules
from primrosestile.decisions.work.queue_order import Rank, RankKey
from primrosestile.decisions.work.reservations import reserve_room
from primrosestile.decisions.work.restarts import Restart
from primrosestile.decisions.work.rooms import Rooms
from primrosestile.decisions.work.speeds import Speeds, find_slow
from primrosestile.decisions.work.stall_restarts import find_stall_restarts
from primrosestile.decisions.work.units import Unit


class Order(Protocol):
    """Gives the sort key of waiting units; lower goes first."""

    def __call__(self, rank: Rank, /) -> RankKey:
        """Return the key of a rank."""
        ...


class LocalityWait(Protocol):
    """Gives for how many seconds a unit waits for the rack where it is fastest."""

    def __call__(self, unit: Unit, seconds: float, idle: bool) -> float:
        """Return these, given its expected run time and whether its pool is idle."""
        ...


class RoomReservation(Protocol):
    """Reserves room for a unit that does not fit yet."""

    def __call__(
        self, unit: Unit, rooms: Rooms, durations: Durations, now: float
    ) -> bool:
        """Reserve it; return whether there is any to reserve."""
        ...


class Permission(Protocol):
    """Decides whether a unit may be stopped for another one."""

    def __call__(
        self, victim: Unit, gainer: Unit, entitled: Collection[str], now: float
    ) -> bool:
        """Return whether it may."""
        ...


class StopRulesMaking(Protocol):
    """Makes the rules by which a pass stops units, from the permission to do so."""

    def __call__(
        self, fleet_state: FleetState, durations: Durations, permission: Permission
    ) -> StopRules:
        """Return them, for one pass."""
        ...


class EvictionWait(Protocol):
    """Decides until when a unit waits for room before work is stopped for it."""

    def __call__(self, unit: Unit, rank: Rank, now: float) -> float:
        """Return that time; room that is expected later is not waited for."""
        ...


class RestartFinding(Protocol):
    """Finds the units that should restart elsewhere."""

    def __call__(
        self, fleet_state: FleetState, durations: Durations, now: float
    ) -> list[Restart]:
        """Return them, each once."""
        ...


class SlowFinding(Protocol):
    """Finds the workers that urgent work should avoid."""

    def __call__(
        self, fleet_state: FleetState, durations: Durations, speeds: Speeds, now: float
    ) -> set[str]:
        """Return their names."""
        ...


class SpeedGrouping(Protocol):
    """Makes the placement of a pass by the workers' speeds."""

    def __call__(
        self, fleet_state: FleetState, durations: Durations, speeds: Speeds, now: float
    ) -> GroupPlacement:
        """Return the placement."""
        ...


class HeadroomFinding(Protocol):
    """Decides how much room is withheld for urgent work that is expected."""

    def __call__(
        self, fleet_state: FleetState, rooms: Rooms, now: float
    ) -> dict[str, PoolHeadroom]:
        """Return it by pool."""
        ...


@dataclass(frozen=True, slots=True)
class Mechanisms:
    """The parts of a pass that can be replaced one by one."""

    order: Order
    locality_wait: LocalityWait
    reservation: RoomReservation
    permission: Permission
    stop_rules: StopRulesMaking
    eviction_wait: EvictionWait
    stall_finding: RestartFinding
    departure_finding: RestartFinding
    slow_finding: SlowFinding
    speed_grouping: SpeedGrouping
    headroom_finding: HeadroomFinding


def make_mechanisms() -> Mechanisms:
    """Return the mechanisms that the scheduler uses."""
    return Mechanisms(
        order=Rank.make_key,
        locality_wait=find_locality_wait,
        reservation=reserve_room,
        permission=may_stop,
        stop_rules=make_stop_rules,
        eviction_wait=find_eviction_wait,
        stall_finding=find_stall_restarts,
        departure_finding=find_departure_restarts,
        slow_finding=find_slow,
        speed_grouping=make_group_placement,
        headroom_finding=find_headroom,
    )

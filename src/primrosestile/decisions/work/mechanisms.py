"""What a pass is composed of, so that each mechanism can be taken away by itself.

A mechanism that is believed in and worth nothing costs every reader and every pass.
Whether one is worth something shows only where it alone is replaced, on the same days:
`scripts/bench ablation` does that, for which the pass takes its mechanisms from here.
"""

from collections.abc import Collection
from dataclasses import dataclass
from typing import Protocol

from primrosestile.decisions.work.board import Board
from primrosestile.decisions.work.durations import Durations
from primrosestile.decisions.work.ordering import Rank, RankKey
from primrosestile.decisions.work.placing import Rooms, find_patience
from primrosestile.decisions.work.preempting import may_stop
from primrosestile.decisions.work.rescuing import Rescue, find_rescues
from primrosestile.decisions.work.reserving import keep_room
from primrosestile.decisions.work.speeds import Speeds, find_slow
from primrosestile.decisions.work.units import Unit


class Order(Protocol):
    """Says what waiting units are sorted by; lower goes first."""

    def __call__(self, rank: Rank, /) -> RankKey:
        """Return the key of a rank."""
        ...


class Patience(Protocol):
    """Says for how many seconds a unit waits for the rack where it is fastest."""

    def __call__(self, unit: Unit, seconds: float, idle: bool) -> float:
        """Return that, given its expected run time and whether its pool is idle."""
        ...


class Keeping(Protocol):
    """Keeps room for a unit that does not fit yet."""

    def __call__(
        self, unit: Unit, rooms: Rooms, durations: Durations, now: float
    ) -> bool:
        """Keep it and return whether there is any to be kept."""
        ...


class Permission(Protocol):
    """Says whether a unit may be stopped for another one."""

    def __call__(
        self, victim: Unit, gainer: Unit, entitled: Collection[str], now: float
    ) -> bool:
        """Return whether it may."""
        ...


class Rescuing(Protocol):
    """Finds the units that stand still."""

    def __call__(self, board: Board, durations: Durations, now: float) -> list[Rescue]:
        """Return them, each once."""
        ...


class SlowFinding(Protocol):
    """Finds the workers that urgent work rather does without."""

    def __call__(
        self, board: Board, durations: Durations, speeds: Speeds, now: float
    ) -> set[str]:
        """Return their names."""
        ...


@dataclass(frozen=True, slots=True)
class Mechanisms:
    """The parts of a pass that can be replaced one by one."""

    order: Order
    patience: Patience
    keeping: Keeping
    permission: Permission
    rescuing: Rescuing
    slow_finding: SlowFinding


def make_mechanisms() -> Mechanisms:
    """Return the mechanisms that the scheduler uses."""
    return Mechanisms(
        order=Rank.make_key,
        patience=find_patience,
        keeping=keep_room,
        permission=may_stop,
        rescuing=find_rescues,
        slow_finding=find_slow,
    )

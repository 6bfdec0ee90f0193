"""The VMs under workers, and the upkeep that operators ask for."""

from dataclasses import dataclass
from enum import StrEnum

import msgspec


class VmState(StrEnum):
    """What the platform says of a worker's VM."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class WorkerVm:
    """The VM that one life of a worker runs on; it outlasts that life.

    Attributes:
        worker: The life on it now; empty while it is away.
    """

    name: str
    pool: str
    state: VmState
    worker: str


@dataclass(frozen=True, slots=True)
class Wave:
    """VMs that are to have their upkeep.

    Attributes:
        deadline_seconds: For all of them, from when the wave was asked for.
        most: VMs that may be away for it at one time.
    """

    number: int
    vms: tuple[str, ...]
    deadline_seconds: float
    most: int


class WaveRecord(msgspec.Struct, frozen=True, array_like=True):
    """How far a wave got; written by the owner before each order.

    Attributes:
        first_seen: Seconds since 1970, for people.
        begun: VMs whose upkeep was ordered.
        over: Those that have it behind them, or are not there any more.
        waited: For how many seconds owners had known the wave when this was written,
            by their steady clocks.
    """

    first_seen: float
    begun: tuple[str, ...] = ()
    over: tuple[str, ...] = ()
    waited: float = 0.0

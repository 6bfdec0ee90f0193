"""The VMs of workers, and the maintenance waves that operators order."""

from dataclasses import dataclass
from enum import StrEnum

import msgspec


class VmState(StrEnum):
    """State of a worker's VM as the platform reports it."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "upkeep"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class WorkerVm:
    """A VM that runs one incarnation of a worker at a time.

    Attributes:
        worker: Id of the worker that runs on it now; empty while there is none.
    """

    name: str
    pool: str
    state: VmState
    worker: str


@dataclass(frozen=True, slots=True)
class Wave:
    """A set of VMs that are due for maintenance.

    Attributes:
        deadline_seconds: Time for all of them, from when the wave was ordered.
        most: Number of VMs that may be unavailable for it at one time.
    """

    number: int
    vms: tuple[str, ...]
    deadline_seconds: float
    most: int


class WaveRecord(msgspec.Struct, frozen=True, array_like=True):
    """Progress of a wave; written by the owner before each order.

    Attributes:
        first_seen: Seconds since 1970; for display only.
        begun: VMs whose maintenance was ordered.
        over: Those whose maintenance is over, or that no longer exist.
        waited: Seconds for which owners had known the wave when this was written, by
            their monotonic clocks.
    """

    first_seen: float
    begun: tuple[str, ...] = ()
    over: tuple[str, ...] = ()
    waited: float = 0.0

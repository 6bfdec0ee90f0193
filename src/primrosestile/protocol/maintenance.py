"""Interface to workers' VMs and to waves of their maintenance."""

from enum import Enum
from typing import Protocol

from primrosestile.state.maintenance import Wave, WorkerVm


class MaintenanceAnswer(Enum):
    """The platform's answer to an order to begin one VM's maintenance.

    `BEGUN`: it has begun, or is already over. `FENCE`: a newer owner has sent an order.
    `BUSY`: the VM can't be ordered now. `NOT_IN_WAVE`: no such VM, or not one of the
    wave. `THROTTLED`: too many calls just now. All but `BEGUN` mean that this order
    had no effect; an earlier order may still have had one.
    """

    BEGUN = 1
    FENCE = 2
    BUSY = 3
    NOT_IN_WAVE = 4
    THROTTLED = 5


class MaintenanceCalls(Protocol):
    """The list of VMs, the waves, and maintenance orders.

    Raises, from each call:
        Failure: STORE_UNAVAILABLE or LIST_UNAVAILABLE when no answer came; an order
            may then have taken effect.
    """

    async def list_vms(self) -> tuple[WorkerVm, ...]:
        """Return the VMs of all workers."""
        ...

    async def list_waves(self) -> tuple[Wave, ...]:
        """Return the waves that operators have ordered."""
        ...

    async def begin(self, vm: str, wave: int, fence: int) -> MaintenanceAnswer:
        """Begin one VM's maintenance; everything that runs on it ends at once."""
        ...

    async def report(self, wave: int, completed: bool, fence: int) -> bool:
        """Publish a wave's status to operators; False when we are not the owner."""
        ...

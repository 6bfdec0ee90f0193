"""Workers' VMs and waves of upkeep, as coordination sees them."""

from enum import Enum
from typing import Protocol

from primrosestile.state.upkeep import Wave, WorkerVm


class UpkeepAnswer(Enum):
    """The platform's answer to an order for one VM's upkeep.

    `BEGUN` also when it is over already. `FENCE`: another owner has ordered since.
    `BUSY`: the VM can't be ordered now. `NOT_THERE`: no such VM, or not one of the
    wave. `NOT_TAKEN`: too many calls just now. Each but `BEGUN` says that this order
    has done nothing; none says so of an earlier one.
    """

    BEGUN = 1
    FENCE = 2
    BUSY = 3
    NOT_THERE = 4
    NOT_TAKEN = 5


class UpkeepCalls(Protocol):
    """The list of VMs, the waves, and the orders.

    Raises, from each call:
        Failure: STORE_UNAVAILABLE or LIST_UNAVAILABLE without an answer; an order
            may then have been carried out.
    """

    async def list_vms(self) -> tuple[WorkerVm, ...]:
        """Return the VMs of all workers."""
        ...

    async def list_waves(self) -> tuple[Wave, ...]:
        """Return the waves that operators have asked for."""
        ...

    async def begin(self, vm: str, wave: int, fence: int) -> UpkeepAnswer:
        """Begin one VM's upkeep; everything on it ends at once."""
        ...

    async def report(self, wave: int, completed: bool, fence: int) -> bool:
        """Tell operators how a wave stands; False when we are not the owner."""
        ...

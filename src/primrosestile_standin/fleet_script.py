"""The scripted behaviour of a task in the stand-in's workers."""

from dataclasses import dataclass

from primrosestile.state.work import Need

DEFAULT_NEED = Need(1000, 1000, 1)


@dataclass(frozen=True, slots=True)
class Script:
    """The behaviour of a task on any worker.

    Attributes:
        gang: How many members its run needs; 1 for a task outside a gang.
        fails: Every run of it fails.
        ticketed: It starts only with a valid ticket.
        serves: It is a service, which slows down with the load of other tasks on its
            worker.
        checkpoints: A run of it continues from an earlier one's checkpoint.
        crashes_after: Seconds from its start until it crashes its worker; None for
            never.
    """

    seconds: float = 2.0
    need: Need = DEFAULT_NEED
    gang: int = 1
    fails: bool = False
    ticketed: bool = False
    serves: bool = False
    checkpoints: bool = False
    crashes_after: float | None = None

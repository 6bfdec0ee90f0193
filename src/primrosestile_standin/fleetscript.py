"""What becomes of a task wherever it runs."""

from dataclasses import dataclass

from primrosestile.state.work import Need

DEFAULT_NEED = Need(1000, 1000, 1)


@dataclass(frozen=True, slots=True)
class Script:
    """What becomes of a task wherever it runs.

    Attributes:
        gang: How many members its run needs; 1 for a task of its own.
        fails: Every run of it fails.
        ticketed: It starts with a good ticket only.
        serves: It lasts, and is slower the more a filling task beside it works.
        checkpoints: A run of it goes on from where an earlier one got to.
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

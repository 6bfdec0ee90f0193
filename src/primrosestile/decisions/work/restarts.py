"""A unit that is stopped so that it can restart on other workers at once."""

from dataclasses import dataclass

from primrosestile.decisions.work.units import Unit, Worker

# A unit whose task makes no progress on any worker must not be restarted without bound.
MAX_RESTARTS = 2


@dataclass(frozen=True, slots=True)
class Restart:
    """A unit to restart elsewhere, and the worker because of which it is.

    Attributes:
        lost: Seconds that the member there has lost, or loses by the restart.
    """

    unit: Unit
    worker: Worker
    lost: float


def may_restart(unit: Unit) -> bool:
    """Whether a unit may be restarted elsewhere at all."""
    step = unit.step
    if step.daemon or step.best_effort or unit.abandoned:
        return False
    return unit.restarts < MAX_RESTARTS

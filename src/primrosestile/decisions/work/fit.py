"""Tells quickly which waiting units can't start, without placing them.

Load: hundreds of units that wait for a kind of worker that is lost or full. Harm: a
pass places a bounded number of units. If these took it up in each pass, no unit that
ranks behind them would ever start, while other workers are idle.
"""

from primrosestile.decisions.work.placement import could_hold, list_suitable
from primrosestile.decisions.work.rooms import Rooms
from primrosestile.decisions.work.units import Unit
from primrosestile.state.work import Need


class Fit:
    """Checks of units against the rooms of one pass; alike units share the work."""

    def __init__(self, rooms: Rooms) -> None:
        """Check against rooms from which the pass takes what it assigns."""
        self._rooms = rooms
        self._holding: dict[tuple[object, ...], bool] = {}
        self._largest: dict[tuple[str, str], Need] = {}

    def could_hold(self, unit: Unit) -> bool:
        """Whether the workers could hold a unit if they were empty."""
        step = unit.step
        shape = (
            unit.pool,
            step.label,
            step.need,
            step.best_effort,
            step.max_per_worker,
            unit.size,
        )
        if shape not in self._holding:
            suitable = list_suitable(unit, self._rooms)
            self._holding[shape] = could_hold(unit, suitable)
        return self._holding[shape]

    def may_fit(self, unit: Unit) -> bool:
        """Whether a member of a unit may fit into what is free now.

        Only what is free at the first call for its pool and label counts, so the answer
        may be yes for a unit that no longer fits.
        """
        need = unit.step.need
        largest = self._find_largest(unit)
        return (
            need.accelerators <= largest.accelerators
            and need.memory <= largest.memory
            and (unit.step.best_effort or need.processor <= largest.processor)
        )

    def _find_largest(self, unit: Unit) -> Need:
        """Return the most of each resource that is free on any suitable worker."""
        key = (unit.pool, unit.step.label)
        if key not in self._largest:
            rooms = list_suitable(unit, self._rooms)
            self._largest[key] = Need(
                max((room.processor for room in rooms), default=-1),
                max((room.memory for room in rooms), default=-1),
                max((room.accelerators for room in rooms), default=-1),
            )
        return self._largest[key]

"""The rooms of one cell's promises, kept as work comes and goes.

A *unit* is one promised shape of one organisation. Work that cannot be stopped is
*charged* to a unit of its own organisation where one can enclose it; that unit is
then in use. Everything else that cannot be stopped stays out of all rooms.

Rooms are remembered, not searched each time: most work can be stopped and changes
nothing, and most of the rest fits beside the rooms or inside its own. Only what
does neither pays for a search.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from primrosestile.decisions.guarantees_rooms import Layout, Need, Room, find_rooms
from primrosestile.state.tenancy import Shape

# Steps of charging all work anew, times the number of promises that each step
# finds rooms for. That happens when a cell is taken over or loses a worker, not on
# each decision. The limit keeps the takeover within a second or two; past it, work
# that cannot be stopped waits until some has ended.
RECHARGE_STEP_LIMIT = 10_000

# Most pieces of work that are charged anew. Beyond it the search would take
# longer than the work; the cell then waits for some of it to end.
RECHARGE_WORK_LIMIT = 300


@dataclass(frozen=True, slots=True)
class Pinned:
    """Work that cannot be stopped, by worker index and number of accelerators."""

    organisation: str
    counts: Mapping[int, int]

    @property
    def accelerators(self) -> int:
        """How many accelerators it holds."""
        return sum(self.counts.values())


class Rooms:
    """Charges and rooms of one cell."""

    def __init__(
        self, layout: Layout, promised: Sequence[tuple[str, Shape]] = ()
    ) -> None:
        self.promised = tuple(promised)
        self.charges: dict[str, int] = {}
        self._layout = layout
        self._pinned: dict[str, Pinned] = {}
        self._pinned_counts = [0] * len(layout.capacity)
        # Charges of work on workers that are unusable now, for their return.
        self._suspended: dict[str, int] = {}
        self._steps = 0
        self._rooms: list[Room] | None = None
        self._known = False

    def set_layout(self, layout: Layout) -> None:
        """Replace the layout, after a worker became usable or unusable."""
        self._layout = layout
        self._known = False

    def set_promised(self, promised: Sequence[tuple[str, Shape]]) -> None:
        """Replace the promises, after a change of guarantees or of the fleet."""
        if tuple(promised) == self.promised:
            return
        self.promised = tuple(promised)
        self.charges.clear()
        self._suspended.clear()
        self._known = False

    def pin(self, job_id: str, pinned: Pinned) -> None:
        """Note work that cannot be stopped, wherever it is."""
        found = self.find_charge(pinned.organisation, pinned.counts)
        if found is None and self._rooms is not None:
            found = self._find_beside_uncharged(pinned)
        self._pinned[job_id] = pinned
        for worker, count in pinned.counts.items():
            self._pinned_counts[worker] += count
        if found is None:
            # More work never makes rooms: what could not be kept before it, is
            # not searched again.
            self._known = self._known and self._rooms is None
            return
        unit, rooms = found
        if unit is not None:
            self.charges[job_id] = unit
        self._rooms = rooms

    def _find_beside_uncharged(
        self, pinned: Pinned
    ) -> tuple[int | None, list[Room]] | None:
        """Find a charge after freeing its neighbours of theirs.

        Reports of a cell that is taken over come in another order than the work
        did. A neighbour on the same worker may have been charged to a unit whose
        room now wants the whole worker, though there was no need for that.
        """
        before = dict(self.charges)
        rooms = self._rooms
        for job_id in before:
            if not self._pinned[job_id].counts.keys().isdisjoint(pinned.counts):
                del self.charges[job_id]
        if len(self.charges) < len(before):
            self._rooms = self._find_for_charges()
            found = None
            if self._rooms is not None:
                found = self.find_charge(pinned.organisation, pinned.counts)
            if found is not None:
                return found
        self.charges = before
        self._rooms = rooms
        return None

    def search_again(self) -> None:
        """Forget that promises could not be kept, after much has changed."""
        if self._rooms is None:
            self._known = False

    def unpin(self, job_id: str) -> None:
        """Note that such work has ended."""
        pinned = self._pinned.pop(job_id, None)
        if pinned is None:
            return
        for worker, count in pinned.counts.items():
            self._pinned_counts[worker] -= count
        unit = self.charges.pop(job_id, None)
        self._suspended.pop(job_id, None)
        if self._rooms is None:
            self._known = False
        elif unit is not None and self._known:
            # The room stays where it is: what the work held of it is free now.
            room = dict(self._rooms[unit])
            for worker, count in pinned.counts.items():
                room[worker] = room.get(worker, 0) + count
            self._rooms = [*self._rooms[:unit], room, *self._rooms[unit + 1 :]]

    def read(self) -> list[Room] | None:
        """Return the room of each unit, without what is charged to it.

        None when the promises cannot all be kept at this instant, which only a
        lost worker or a change of settings brings about.
        """
        if not self._known:
            self._rooms = self._search()
            self._known = True
        return self._rooms

    def list_available(self) -> list[int]:
        """Return by worker what is free or held by work that may be stopped."""
        return [
            max(0, capacity - pinned)
            for capacity, pinned in zip(
                self._layout.capacity, self._pinned_counts, strict=True
            )
        ]

    def list_spare(self) -> list[int]:
        """Return by worker what is available and part of no room."""
        spare = self.list_available()
        for room in self.read() or ():
            for worker, count in room.items():
                spare[worker] -= count
        return spare

    def list_needs(self) -> list[Need]:
        """Return each unit's shape with what is charged to it."""
        charged: list[dict[int, int]] = [{} for _ in self.promised]
        for job_id, unit in self.charges.items():
            for worker, count in self._pinned[job_id].counts.items():
                charged[unit][worker] = charged[unit].get(worker, 0) + count
        return [
            Need(shape, charged[unit]) for unit, (_, shape) in enumerate(self.promised)
        ]

    def order_units(self, organisation: str) -> list[int]:
        """Order an organisation's units: those that its next work should use first.

        A unit in use is filled up before another is broken into, and a small
        one is used before a large one, so that large ones stay whole.
        """
        used = set(self.charges.values())
        own = [
            unit for unit, (name, _) in enumerate(self.promised) if name == organisation
        ]
        own.sort(
            key=lambda unit: (
                unit not in used,
                self.promised[unit][1].accelerators,
                unit,
            )
        )
        return own

    def find_charge(
        self, organisation: str, counts: Mapping[int, int]
    ) -> tuple[int | None, list[Room]] | None:
        """Find how work that cannot be stopped could be there, all promises kept.

        Args:
            organisation: Whose work it is.
            counts: Accelerators by worker index; not yet pinned.

        Returns:
            The unit it would use (None: it needs none) and the rooms of all
            units then; None when a promise could not be kept.
        """
        rooms = self.read()
        if rooms is None:
            return None
        if any(
            self._layout.capacity[worker] < count for worker, count in counts.items()
        ):
            return None
        options = self._order_charges(organisation, sum(counts.values()))
        # The rooms as they are answer most questions without a search.
        for unit in options:
            kept = self._find_inside(unit, rooms, counts)
            if kept is not None:
                return unit, kept
        return self._search_charge(options, counts, rooms)

    def _order_charges(self, organisation: str, accelerators: int) -> list[int | None]:
        """Order the units that work could use, and where using none stands (None).

        Small work goes beside the rooms rather than into a unit that it would
        not half fill: a caption pass on one accelerator that cannot be stopped
        would keep its own organisation's render of a whole rack waiting.
        """
        used = set(self.charges.values())
        suited: list[int | None] = []
        broken: list[int | None] = []
        for unit in self.order_units(organisation):
            large = self.promised[unit][1].accelerators
            if unit in used or 2 * accelerators > large:
                suited.append(unit)
            else:
                broken.append(unit)
        return [*suited, None, *broken]

    def _find_inside(
        self, unit: int | None, rooms: list[Room], counts: Mapping[int, int]
    ) -> list[Room] | None:
        """Return the rooms if the work fits one as it is, or beside all of them."""
        if unit is None:
            spare = self.list_spare()
            fits = all(spare[worker] >= count for worker, count in counts.items())
            return rooms if fits else None
        room = rooms[unit]
        if any(room.get(worker, 0) < count for worker, count in counts.items()):
            return None
        left = {worker: count - counts.get(worker, 0) for worker, count in room.items()}
        return [*rooms[:unit], left, *rooms[unit + 1 :]]

    def _search_charge(
        self,
        options: Sequence[int | None],
        counts: Mapping[int, int],
        rooms: list[Room],
    ) -> tuple[int | None, list[Room]] | None:
        available = self.list_available()
        for worker, count in counts.items():
            available[worker] -= count
            if available[worker] < 0:
                return None
        needs = self.list_needs()
        for unit in options:
            trial = list(needs)
            if unit is not None:
                trial[unit] = add_charge(needs[unit], counts)
            found = self._shift_rooms(unit, counts, rooms, trial, available)
            if found is None:
                found = find_rooms(self._layout, available, trial)
            if found is not None:
                return unit, found
        return None

    def _shift_rooms(
        self,
        unit: int | None,
        counts: Mapping[int, int],
        rooms: list[Room],
        needs: Sequence[Need],
        available: Sequence[int],
    ) -> list[Room] | None:
        """Find new rooms only for the units that the work touches.

        A cell of 1,024 workers has hundreds of units, and work touches two or
        three of them. Searching for all would take most of a second.
        """
        touched = [
            index
            for index, room in enumerate(rooms)
            if index == unit or any(room.get(worker, 0) for worker in counts)
        ]
        left = list(available)
        for index, room in enumerate(rooms):
            if index not in touched:
                for worker, count in room.items():
                    left[worker] -= count
        found = find_rooms(self._layout, left, [needs[index] for index in touched])
        if found is None:
            return None
        shifted = list(rooms)
        for index, room in zip(touched, found, strict=True):
            shifted[index] = room
        return shifted

    def _search(self) -> list[Room] | None:
        """Search all rooms anew, and the charges too where the known ones fail."""
        self._suspend_lost()
        resumed = self._resume_returned()
        rooms = self._find_for_charges()
        if rooms is None and resumed:
            # While its worker was away the unit has found a room elsewhere, and
            # other work may have come to rely on that.
            for job_id in resumed:
                del self.charges[job_id]
            rooms = self._find_for_charges()
        if rooms is None and 0 < len(self._pinned) <= RECHARGE_WORK_LIMIT:
            rooms = self._charge_anew()
        return rooms

    def _find_for_charges(self) -> list[Room] | None:
        return find_rooms(self._layout, self.list_available(), self.list_needs())

    def _suspend_lost(self) -> None:
        for job_id, unit in list(self.charges.items()):
            if not self._is_usable(self._pinned[job_id]):
                self._suspended[job_id] = unit
                del self.charges[job_id]

    def _resume_returned(self) -> list[str]:
        resumed = []
        for job_id, unit in list(self._suspended.items()):
            if self._is_usable(self._pinned[job_id]):
                self.charges[job_id] = unit
                del self._suspended[job_id]
                resumed.append(job_id)
        return resumed

    def _charge_anew(self) -> list[Room] | None:
        """Charge all work anew, stepping back where a choice leads nowhere."""
        before = dict(self.charges)
        self.charges.clear()
        work = sorted(
            (
                (job_id, pinned)
                for job_id, pinned in self._pinned.items()
                if self._is_usable(pinned)
            ),
            key=lambda each: (-each[1].accelerators, each[0]),
        )
        # Work that is still to be charged counts as free: it may open the room
        # of its own unit, so leaving it out can only make rooms easier to find.
        available = self.list_available()
        for _, pinned in work:
            for worker, count in pinned.counts.items():
                available[worker] += count
        self._steps = RECHARGE_STEP_LIMIT // max(1, len(self.promised))
        rooms = self._charge_next(work, 0, available)
        if rooms is None:
            self.charges = before
        return rooms

    def _charge_next(
        self, work: Sequence[tuple[str, Pinned]], level: int, available: list[int]
    ) -> list[Room] | None:
        if level == len(work):
            return find_rooms(self._layout, available, self.list_needs())
        job_id, pinned = work[level]
        left = list(available)
        for worker, count in pinned.counts.items():
            left[worker] -= count
        for unit in self._order_charges(pinned.organisation, pinned.accelerators):
            self._steps -= 1
            if self._steps < 0:
                return None
            if unit is not None:
                self.charges[job_id] = unit
            if find_rooms(self._layout, left, self.list_needs()) is not None:
                rooms = self._charge_next(work, level + 1, left)
                if rooms is not None:
                    return rooms
            self.charges.pop(job_id, None)
        return None

    def _is_usable(self, pinned: Pinned) -> bool:
        return all(self._layout.capacity[worker] for worker in pinned.counts)


def add_charge(need: Need, counts: Mapping[int, int]) -> Need:
    """Return a need whose room must enclose some more work."""
    charged = dict(need.charged)
    for worker, count in counts.items():
        charged[worker] = charged.get(worker, 0) + count
    return Need(need.shape, charged)

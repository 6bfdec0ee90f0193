"""The rooms of one cell's promises, kept as work comes and goes.

Rooms are remembered, not searched each time: most work can be stopped and changes
nothing, and most of the rest fits beside the rooms or inside its own. Only what
does neither pays for a search.

When a worker is lost, some promises may have no room for a time. They are named
as lost and the others keep theirs: one quarantined worker must not stop every
other organisation from taking its guarantee back.
"""

from collections.abc import Mapping, Sequence

from primrosestile.decisions.cell_charges import (
    Options,
    Pinned,
    Recharge,
    add_charge,
    keep_most,
    list_needs,
    order_charges,
    order_units,
)
from primrosestile.decisions.guarantees_rooms import Layout, Need, Room, find_rooms
from primrosestile.state.tenancy import Shape

Charge = tuple[int | None, list[Room]]

# Largest cell in which one placement may search all rooms anew. In larger ones it
# may only move those that the work touches, and waits where that is not enough: a
# search there takes 20 ms and more, and one decision asks for several.
THOROUGH_WORKERS = 256


class Rooms:
    """Charges and rooms of one cell.

    Attributes:
        promised: The units: organisation and shape.
        charges: The unit that each charged piece of work uses, by job id.
    """

    def __init__(
        self, layout: Layout, promised: Sequence[tuple[str, Shape]] = ()
    ) -> None:
        self.promised = tuple(promised)
        self.charges: dict[str, int] = {}
        self._layout = layout
        self._whole_layout = layout
        self._whole: Rooms | None = None
        self._pinned: dict[str, Pinned] = {}
        self._pinned_counts = [0] * len(layout.capacity)
        # Charges of work on workers that are unusable now, for their return.
        self._suspended: dict[str, int] = {}
        self._rooms: list[Room] = []
        self._lost: frozenset[int] = frozenset()
        self._known = False
        self._may_recharge = True

    def set_layout(self, layout: Layout) -> None:
        """Replace the layout, after a worker became usable or unusable."""
        self._layout = layout
        self.search_again()

    def set_promised(self, promised: Sequence[tuple[str, Shape]]) -> None:
        """Replace the promises, after a change of guarantees or of the fleet."""
        if tuple(promised) == self.promised:
            return
        self.promised = tuple(promised)
        self.charges.clear()
        self._suspended.clear()
        self._whole = None
        self.search_again()

    def search_again(self) -> None:
        """Search all rooms anew when they are asked for next."""
        self._known = False
        self._may_recharge = True

    def pin(self, job_id: str, pinned: Pinned) -> None:
        """Note work that cannot be stopped, wherever it is."""
        found = self._find_charge(self._list_options(pinned), pinned.counts)
        if found is None and not self._lost:
            found = self._find_beside_uncharged(pinned)
        self._pinned[job_id] = pinned
        for worker, count in pinned.counts.items():
            self._pinned_counts[worker] += count
        if self._whole is not None:
            self._whole.pin(job_id, pinned)
        if found is None:
            # More work never makes rooms: where one was lost already, it is
            # enough to see which are left.
            self._may_recharge = not self._lost
            self._known = False
            return
        unit, self._rooms = found
        if unit is not None:
            self.charges[job_id] = unit

    def unpin(self, job_id: str) -> None:
        """Note that such work has ended."""
        pinned = self._pinned.pop(job_id, None)
        if pinned is None:
            return
        if self._whole is not None:
            self._whole.unpin(job_id)
        for worker, count in pinned.counts.items():
            self._pinned_counts[worker] -= count
        unit = self.charges.pop(job_id, None)
        self._suspended.pop(job_id, None)
        if self._lost:
            self.search_again()
        elif unit is not None and self._known:
            # The room stays where it is: what the work held of it is free now.
            room = dict(self._rooms[unit])
            for worker, count in pinned.counts.items():
                room[worker] = room.get(worker, 0) + count
            self._rooms = [*self._rooms[:unit], room, *self._rooms[unit + 1 :]]

    def read(self) -> list[Room]:
        """Return the room of each unit, without what is charged to it.

        The room of a unit that is lost is empty.
        """
        if not self._known:
            self._search()
            self._known = True
            self._may_recharge = False
            if not self._lost:
                self._whole = None
        return self._rooms

    @property
    def lost(self) -> frozenset[int]:
        """Units without a room, after a lost worker or a change of settings."""
        self.read()
        return self._lost

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
        rooms = self.read()
        spare = self.list_available()
        for room in rooms:
            for worker, count in room.items():
                spare[worker] -= count
        return spare

    def order_units(self, organisation: str) -> list[int]:
        """Order an organisation's units that have a room, see `cell_charges`."""
        lost = self.lost
        used = frozenset(self.charges.values())
        ordered = order_units(self.promised, organisation, used)
        return [unit for unit in ordered if unit not in lost]

    def list_charges(self, organisation: str, shape: Shape) -> Options:
        """List the units with a room that work of a shape could use."""
        lost = self.lost
        used = frozenset(self.charges.values())
        options = order_charges(self.promised, organisation, used, shape)
        return Options(
            tuple(unit for unit in options.preferred if unit not in lost),
            tuple(unit for unit in options.others if unit not in lost),
        )

    def find_charge(
        self,
        work: Pinned,
        options: Sequence[int | None] | None = None,
        thorough: bool = True,
    ) -> Charge | None:
        """Find how work that cannot be stopped could be there, all promises kept.

        While some promise is lost, it must have a room again when all workers
        are back.

        Args:
            work: Not yet pinned.
            options: The units that it may use, with None for none; by default
                all that `list_charges` lists.
            thorough: Whether to search all rooms anew where moving those that
                the work touches is not enough.

        Returns:
            The unit it would use (None: it needs none) and the rooms of all
            units then; None when a promise could not be kept.
        """
        if options is None:
            options = self._list_options(work)
        found = self._find_charge(options, work.counts, thorough)
        if found is None or not self._lost:
            return found
        whole = self._make_whole()
        if whole.lost or whole.find_charge(work) is None:
            return None
        return found

    def _list_options(self, work: Pinned) -> Sequence[int | None]:
        return self.list_charges(work.organisation, work.shape).every

    def _make_whole(self) -> "Rooms":
        """Make the rooms as they would be with all workers back."""
        if self._whole is None:
            self._whole = Rooms(self._whole_layout, self.promised)
            for job_id, pinned in self._pinned.items():
                self._whole.pin(job_id, pinned)
            self._whole.search_again()
        return self._whole

    def _find_charge(
        self,
        options: Sequence[int | None],
        counts: Mapping[int, int],
        thorough: bool = True,
    ) -> Charge | None:
        rooms = self.read()
        capacity = self._layout.capacity
        if any(capacity[worker] < count for worker, count in counts.items()):
            return None
        # The rooms as they are answer most questions without a search.
        for unit in options:
            kept = self._find_inside(unit, rooms, counts)
            if kept is not None:
                return unit, kept
        return self._search_charge(options, counts, rooms, thorough)

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
        thorough: bool,
    ) -> Charge | None:
        available = self.list_available()
        for worker, count in counts.items():
            available[worker] -= count
            if available[worker] < 0:
                return None
        needs = self._list_needs()
        for unit in options:
            trial = list(needs)
            if unit is not None:
                trial[unit] = add_charge(needs[unit], counts)
            found = self._shift_rooms(unit, counts, rooms, trial, available)
            if found is None and thorough and len(available) <= THOROUGH_WORKERS:
                found = self._find_kept(trial, available)
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

    def _find_beside_uncharged(self, pinned: Pinned) -> Charge | None:
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
            freed = self._find_kept(self._list_needs(), self.list_available())
            if freed is not None:
                self._rooms = freed
                found = self._find_charge(self._list_options(pinned), pinned.counts)
                if found is not None:
                    return found
        self.charges = before
        self._rooms = rooms
        return None

    def _list_needs(self) -> list[Need]:
        return list_needs(self.promised, self.charges, self._pinned)

    def _find_kept(
        self, needs: Sequence[Need], available: Sequence[int]
    ) -> list[Room] | None:
        """Find rooms for the units that are not lost."""
        kept = [unit for unit in range(len(needs)) if unit not in self._lost]
        found = find_rooms(self._layout, available, [needs[unit] for unit in kept])
        if found is None:
            return None
        rooms: list[Room] = [{} for _ in needs]
        for unit, room in zip(kept, found, strict=True):
            rooms[unit] = room
        return rooms

    def _search(self) -> None:
        """Search all rooms anew, and the charges too where the known ones fail."""
        self._lost = frozenset()
        self._suspend_lost()
        resumed = self._resume_returned()
        rooms = self._find_kept(self._list_needs(), self.list_available())
        if rooms is None and resumed:
            # While its worker was away the unit has found a room elsewhere, and
            # other work may have come to rely on that.
            for job_id in resumed:
                del self.charges[job_id]
            rooms = self._find_kept(self._list_needs(), self.list_available())
        if rooms is None and self._may_recharge:
            recharge = Recharge(self._layout, self.promised, self._pinned)
            rooms = recharge.run()
            if rooms is not None:
                self.charges = recharge.charges
        if rooms is None:
            rooms = self._keep_most()
        self._rooms = rooms

    def _keep_most(self) -> list[Room]:
        needs = self._list_needs()
        rooms, self._lost = keep_most(self._layout, self.list_available(), needs)
        for job_id, unit in list(self.charges.items()):
            if unit in self._lost:
                del self.charges[job_id]
        return rooms

    def _suspend_lost(self) -> None:
        for job_id, unit in list(self.charges.items()):
            if not self._pinned[job_id].is_usable(self._layout):
                self._suspended[job_id] = unit
                del self.charges[job_id]

    def _resume_returned(self) -> list[str]:
        resumed = []
        for job_id, unit in list(self._suspended.items()):
            if self._pinned[job_id].is_usable(self._layout):
                self.charges[job_id] = unit
                del self._suspended[job_id]
                resumed.append(job_id)
        return resumed

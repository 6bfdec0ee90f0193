"""Allocations of one cell's guaranteed shapes, updated as work starts and ends.

An allocation is the set of accelerators set aside for one guaranteed shape. Allocations
are kept rather than searched each time: preemptible work changes nothing, and most
other work fits outside the allocations or inside its own. Only the remaining cases need
a search.

After the loss of a worker, some guaranteed shapes may have no allocation for a time.
Their units are marked as lost and the others keep theirs: one quarantined worker must
not stop all other organisations from reclaiming their guarantees.
"""

from collections.abc import Mapping, Sequence

from primrosestile.decisions.allocation_search import find_kept, keep_most, move_touched
from primrosestile.decisions.cell_charges import (
    Options,
    Pinned,
    RechargeSearch,
    add_charge,
    list_needs,
    order_charges,
    order_units,
)
from primrosestile.decisions.guarantee_allocations import Allocation, Layout, Need
from primrosestile.state.tenancy import Shape

Charge = tuple[int | None, list[Allocation]]

# Largest cell, in workers, in which one placement may search all allocations again. In
# larger ones a placement may only move the allocations that the work touches, and waits
# where that is not enough: a full search there takes 20 ms and more, and one decision
# asks for several.
FULL_SEARCH_WORKER_LIMIT = 256


class CellAllocations:
    """Charges and allocations of one cell.

    Attributes:
        guaranteed: The units: organisation and shape.
        charges: Unit that each charged job uses, by job id.
    """

    def __init__(
        self, layout: Layout, guaranteed: Sequence[tuple[str, Shape]] = ()
    ) -> None:
        self.guaranteed = tuple(guaranteed)
        self.charges: dict[str, int] = {}
        self._layout = layout
        self._full_layout = layout
        self._full: CellAllocations | None = None
        self._pinned: dict[str, Pinned] = {}
        self._pinned_counts = [0] * len(layout.capacity)
        # Charges of work on unusable workers, to be restored when they return.
        self._suspended: dict[str, int] = {}
        self._allocations: list[Allocation] = []
        self._lost: frozenset[int] = frozenset()
        self._is_valid = False
        self._may_recharge = True

    def set_layout(self, layout: Layout) -> None:
        """Replace the layout, after a worker became usable or unusable."""
        self._layout = layout
        self.invalidate()

    def set_guaranteed(self, guaranteed: Sequence[tuple[str, Shape]]) -> None:
        """Replace the units, after a change of guarantees or of the fleet."""
        if tuple(guaranteed) == self.guaranteed:
            return
        self.guaranteed = tuple(guaranteed)
        self.charges.clear()
        self._suspended.clear()
        self._full = None
        self.invalidate()

    def invalidate(self) -> None:
        """Have the next read search all allocations again."""
        self._is_valid = False
        self._may_recharge = True

    def pin(self, job_id: str, pinned: Pinned) -> None:
        """Record running non-preemptible work, wherever it is."""
        found = self._find_charge(self._list_options(pinned), pinned.counts)
        if found is None and not self._lost:
            found = self._find_beside_uncharged(pinned)
        self._pinned[job_id] = pinned
        for worker, count in pinned.counts.items():
            self._pinned_counts[worker] += count
        if self._full is not None:
            self._full.pin(job_id, pinned)
        if found is None:
            # More work never adds allocations: where a unit was lost already, it is
            # enough to determine which are left.
            self._may_recharge = not self._lost
            self._is_valid = False
            return
        unit, self._allocations = found
        if unit is not None:
            self.charges[job_id] = unit

    def unpin(self, job_id: str) -> None:
        """Record that non-preemptible work has ended."""
        pinned = self._pinned.pop(job_id, None)
        if pinned is None:
            return
        if self._full is not None:
            self._full.unpin(job_id)
        for worker, count in pinned.counts.items():
            self._pinned_counts[worker] -= count
        unit = self.charges.pop(job_id, None)
        self._suspended.pop(job_id, None)
        if self._lost:
            self.invalidate()
        elif unit is not None and self._is_valid:
            # The allocation stays in place and gets back the accelerators of the work.
            allocation = dict(self._allocations[unit])
            for worker, count in pinned.counts.items():
                allocation[worker] = allocation.get(worker, 0) + count
            self._allocations = [
                *self._allocations[:unit],
                allocation,
                *self._allocations[unit + 1 :],
            ]

    def read(self) -> list[Allocation]:
        """Return the allocation of each unit, without the work that is charged to it.

        The allocation of a lost unit is empty.
        """
        if not self._is_valid:
            self._search()
            self._is_valid = True
            self._may_recharge = False
            if not self._lost:
                self._full = None
        return self._allocations

    @property
    def lost(self) -> frozenset[int]:
        """Units without an allocation, after a lost worker or a change of settings."""
        self.read()
        return self._lost

    def list_available(self) -> list[int]:
        """Return by worker the accelerators not held by non-preemptible work."""
        return [
            max(0, capacity - pinned)
            for capacity, pinned in zip(
                self._layout.capacity, self._pinned_counts, strict=True
            )
        ]

    def list_spare(self) -> list[int]:
        """Return by worker the available accelerators outside all allocations."""
        allocations = self.read()
        spare = self.list_available()
        for allocation in allocations:
            for worker, count in allocation.items():
                spare[worker] -= count
        return spare

    def order_units(self, organisation: str) -> list[int]:
        """Order an organisation's units that are not lost, see `cell_charges`."""
        lost = self.lost
        used = frozenset(self.charges.values())
        ordered = order_units(self.guaranteed, organisation, used)
        return [unit for unit in ordered if unit not in lost]

    def list_charges(self, organisation: str, shape: Shape) -> Options:
        """List the units, except lost ones, that work of a shape could use."""
        lost = self.lost
        used = frozenset(self.charges.values())
        options = order_charges(self.guaranteed, organisation, used, shape)
        return Options(
            tuple(unit for unit in options.preferred if unit not in lost),
            tuple(unit for unit in options.others if unit not in lost),
        )

    def find_charge(
        self,
        work: Pinned,
        options: Sequence[int | None] | None = None,
        full_search: bool = True,
    ) -> Charge | None:
        """Find a charge for work with which all units keep an allocation.

        While some unit is lost, it must have an allocation again when all workers are
        back.

        Args:
            work: Non-preemptible work that is not yet pinned.
            options: The units that it may use, None for no unit; by default all that
                `list_charges` lists.
            full_search: Whether to search all allocations again where moving those that
                the work touches is not enough.

        Returns:
            The unit that it would use (None: no unit) and the allocations of all units
            in that case; None when a unit would lose its allocation.
        """
        if options is None:
            options = self._list_options(work)
        found = self._find_charge(options, work.counts, full_search)
        if found is None or not self._lost:
            return found
        full = self._make_full()
        if full.lost or full.find_charge(work) is None:
            return None
        return found

    def _list_options(self, work: Pinned) -> Sequence[int | None]:
        return self.list_charges(work.organisation, work.shape).every

    def _make_full(self) -> "CellAllocations":
        """Make the allocations for the cell with all workers usable."""
        if self._full is None:
            self._full = CellAllocations(self._full_layout, self.guaranteed)
            for job_id, pinned in self._pinned.items():
                self._full.pin(job_id, pinned)
            self._full.invalidate()
        return self._full

    def _find_charge(
        self,
        options: Sequence[int | None],
        counts: Mapping[int, int],
        full_search: bool = True,
    ) -> Charge | None:
        allocations = self.read()
        capacity = self._layout.capacity
        if any(capacity[worker] < count for worker, count in counts.items()):
            return None
        # The current allocations answer most queries without a search.
        for unit in options:
            kept = self._find_inside(unit, allocations, counts)
            if kept is not None:
                return unit, kept
        return self._search_charge(options, counts, allocations, full_search)

    def _find_inside(
        self, unit: int | None, allocations: list[Allocation], counts: Mapping[int, int]
    ) -> list[Allocation] | None:
        """Return the allocations if the work fits inside one or outside all of them."""
        if unit is None:
            spare = self.list_spare()
            fits = all(spare[worker] >= count for worker, count in counts.items())
            return allocations if fits else None
        allocation = allocations[unit]
        if any(allocation.get(worker, 0) < count for worker, count in counts.items()):
            return None
        left = {
            worker: count - counts.get(worker, 0)
            for worker, count in allocation.items()
        }
        return [*allocations[:unit], left, *allocations[unit + 1 :]]

    def _search_charge(
        self,
        options: Sequence[int | None],
        counts: Mapping[int, int],
        allocations: list[Allocation],
        full_search: bool,
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
            found = move_touched(
                self._layout, available, trial, allocations, unit, counts
            )
            if (
                found is None
                and full_search
                and len(available) <= FULL_SEARCH_WORKER_LIMIT
            ):
                found = self._find_kept(trial, available)
            if found is not None:
                return unit, found
        return None

    def _find_beside_uncharged(self, pinned: Pinned) -> Charge | None:
        """Find a charge after clearing those of the work's neighbours.

        When a cell is taken over, holdings are reported in another order than they
        started. A neighbour on the same worker may have been charged to a unit whose
        allocation then needs the whole worker, although another charge was possible.
        """
        before = dict(self.charges)
        allocations = self._allocations
        for job_id in before:
            if not self._pinned[job_id].counts.keys().isdisjoint(pinned.counts):
                del self.charges[job_id]
        if len(self.charges) < len(before):
            freed = self._find_kept(self._list_needs(), self.list_available())
            if freed is not None:
                self._allocations = freed
                found = self._find_charge(self._list_options(pinned), pinned.counts)
                if found is not None:
                    return found
        self.charges = before
        self._allocations = allocations
        return None

    def _list_needs(self) -> list[Need]:
        return list_needs(self.guaranteed, self.charges, self._pinned)

    def _find_kept(
        self, needs: Sequence[Need], available: Sequence[int]
    ) -> list[Allocation] | None:
        return find_kept(self._layout, available, needs, self._lost)

    def _search(self) -> None:
        """Search all allocations again, and new charges if the current ones fail."""
        self._lost = frozenset()
        self._suspend_lost()
        resumed = self._resume_returned()
        allocations = self._find_kept(self._list_needs(), self.list_available())
        if allocations is None and resumed:
            # While its worker was unusable the unit got an allocation elsewhere, and
            # other work may depend on it.
            for job_id in resumed:
                del self.charges[job_id]
            allocations = self._find_kept(self._list_needs(), self.list_available())
        if allocations is None and self._may_recharge:
            recharge = RechargeSearch(self._layout, self.guaranteed, self._pinned)
            allocations = recharge.run()
            if allocations is not None:
                self.charges = recharge.charges
        if allocations is None:
            allocations = self._keep_most()
        self._allocations = allocations

    def _keep_most(self) -> list[Allocation]:
        needs = self._list_needs()
        allocations, self._lost = keep_most(self._layout, self.list_available(), needs)
        for job_id, unit in list(self.charges.items()):
            if unit in self._lost:
                del self.charges[job_id]
        return allocations

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

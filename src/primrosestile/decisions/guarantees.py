"""Feasibility of guarantees, and their assignment to cells.

A set of guarantees is accepted only if every guaranteed shape can still be assembled
after the loss of any one failure domain or any one rack. Comparing only the sum with
the capacity would accept shapes that, after such a loss, are free in number but fit
nowhere.

Every placer computes the assignment itself from the same settings and the same list of
lost domains. The computation is deterministic, so no agreement is needed.
"""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from primrosestile.decisions.cell import CellView
from primrosestile.decisions.guarantee_allocations import Layout, Need, find_allocations
from primrosestile.state.fleet import Cell, Fleet, Worker
from primrosestile.state.tenancy import Adjacency, Guarantee, Guarantees, Shape

# Steps over (unit, cell) choices, taken when guarantees change, a few times a day. The
# limit bounds how long an operator waits for the answer about an infeasible set; at the
# limit the set is reported as infeasible, never accepted wrongly.
ASSIGN_STEP_LIMIT = 3000

Assignment = dict[str, tuple[tuple[str, Shape], ...]]


@dataclass(frozen=True, slots=True)
class _Unit:
    """One guaranteed shape; `guarantee` is its index in the settings."""

    guarantee: int
    organisation: str
    shape: Shape


@dataclass(slots=True)
class _CellUnits:
    """One cell with the units assigned to it so far."""

    name: str
    failure_domain: str
    racks: tuple[str, ...]
    view: CellView
    layout: Layout
    units: list[_Unit]

    def fits(self, unit: _Unit) -> bool:
        """Whether the empty cell has allocations for its units and this one."""
        needs = [Need(each.shape) for each in (*self.units, unit)]
        return find_allocations(self.layout, self.layout.capacity, needs) is not None

    @property
    def left(self) -> int:
        """Accelerators that are not guaranteed to any organisation."""
        return sum(self.layout.capacity) - sum(
            unit.shape.accelerators for unit in self.units
        )


@dataclass(frozen=True, slots=True)
class _Assigned:
    """The cells with their units, and the units that fit nowhere."""

    cells: list[_CellUnits]
    unassigned: list[_Unit]


def find_infeasible(fleet: Fleet, guarantees: Guarantees) -> tuple[str, ...]:
    """Find the guarantees that are infeasible, also after the loss of a part.

    Args:
        fleet: The fleet that the guarantees are for.
        guarantees: The whole set, since sets that are each feasible can be infeasible
            together.

    Returns:
        One sentence for each guarantee that cannot be assembled with the whole fleet,
        or after the loss of one failure domain or one rack; empty when all can.
    """
    units = _list_units(guarantees)
    whole = _assign_whole(fleet, units)
    faults: dict[int, str] = {}
    _record_faults(faults, guarantees, whole.unassigned, "with the whole fleet")
    for lost_racks, when in _list_losses(fleet):
        if _is_affected(whole, lost_racks):
            unassigned = _assign_after_loss(fleet, units, whole, lost_racks).unassigned
            _record_faults(faults, guarantees, unassigned, when)
    return tuple(faults[index] for index in sorted(faults))


def assign_guarantees(
    fleet: Fleet,
    guarantees: Guarantees,
    lost_domains: frozenset[str] = frozenset(),
    lost_racks: frozenset[str] = frozenset(),
) -> Assignment:
    """Assign every guaranteed shape to a cell that can assemble it.

    Units of an organisation are spread over failure domains. When a part is lost, only
    the units that were there move, if the rest of the fleet can hold them.

    Args:
        fleet: The fleet of the settings.
        guarantees: Those of the settings.
        lost_domains: Failure domains that are unavailable now.
        lost_racks: Racks that are unavailable now.

    Returns:
        By the name of each cell, the guaranteed shapes with their organisations.
    """
    units = _list_units(guarantees)
    assigned = _assign_whole(fleet, units)
    lost = lost_racks | _list_racks(fleet, lost_domains)
    if lost:
        assigned = _assign_after_loss(fleet, units, assigned, lost)
    return {
        cell.name: tuple((unit.organisation, unit.shape) for unit in cell.units)
        for cell in assigned.cells
    }


def is_reclaimable(view: CellView) -> bool:
    """Whether every guaranteed shape can be assembled at this instant.

    All of them together, by evicting only preemptible work, and with each
    organisation's own non-preemptible work inside its own allocations.
    """
    return not view.allocations.lost


def _list_losses(fleet: Fleet) -> Iterator[tuple[frozenset[str], str]]:
    for domain in fleet.failure_domains:
        lost = _list_racks(fleet, frozenset((domain.name,)))
        yield lost, f"when failure domain {domain.name} is lost"
    for rack in fleet.racks:
        yield frozenset((rack.name,)), f"when rack {rack.name} is lost"


def _list_racks(fleet: Fleet, domains: frozenset[str]) -> frozenset[str]:
    return frozenset(
        rack.name for rack in fleet.racks if rack.failure_domain in domains
    )


def _record_faults(
    faults: dict[int, str],
    guarantees: Guarantees,
    unassigned: Iterable[_Unit],
    when: str,
) -> None:
    """Describe the first loss that breaks each guarantee."""
    for unit in unassigned:
        guarantee = guarantees.guarantees[unit.guarantee]
        faults.setdefault(unit.guarantee, _describe_fault(guarantee, when))


def _describe_fault(guarantee: Guarantee, when: str) -> str:
    shape = guarantee.shape
    return (
        f"{guarantee.organisation}: {guarantee.count} x {shape.accelerators} "
        f"accelerators ({shape.adjacency.value}) cannot be kept {when}; "
        "lower a guarantee or add workers."
    )


def _assign_whole(fleet: Fleet, units: Sequence[_Unit]) -> _Assigned:
    """Assign the units to cells of the whole fleet."""
    cells = _make_cells(fleet)
    return _Assigned(cells, _fill(cells, units))


def _is_affected(assigned: _Assigned, lost_racks: frozenset[str]) -> bool:
    """Whether a loss affects a cell that has units.

    Most racks of a large fleet have no units; their loss changes nothing, and
    reassigning 15,000 workers for each of them took minutes.
    """
    return any(
        cell.units and not lost_racks.isdisjoint(cell.racks) for cell in assigned.cells
    )


def _assign_after_loss(
    fleet: Fleet, units: Sequence[_Unit], whole: _Assigned, lost_racks: frozenset[str]
) -> _Assigned:
    """Assign the units to what remains after a loss.

    Units that still fit stay where they are, so that running work keeps its
    allocations; only if the rest then fits nowhere, all units are assigned again.
    """
    cells = [_remove_racks(cell, lost_racks) for cell in whole.cells]
    moved = list(whole.unassigned)
    for cell, before in zip(cells, whole.cells, strict=True):
        if cell.layout is before.layout:
            cell.units.extend(before.units)
            continue
        for unit in before.units:
            if cell.fits(unit):
                cell.units.append(unit)
            else:
                moved.append(unit)
    if not _fill(cells, sorted(moved, key=_rank_unit)):
        return _Assigned(cells, [])
    cells = [_remove_racks(cell, lost_racks) for cell in whole.cells]
    return _Assigned(cells, _fill(cells, units))


def _list_units(guarantees: Guarantees) -> list[_Unit]:
    units = [
        _Unit(index, guarantee.organisation, guarantee.shape)
        for index, guarantee in enumerate(guarantees.guarantees)
        for _ in range(guarantee.count)
    ]
    return sorted(units, key=_rank_unit)


def _rank_unit(unit: _Unit) -> tuple[int, int, str, int]:
    order = (Adjacency.CELL, Adjacency.RACK, Adjacency.WORKER)
    return (
        -unit.shape.accelerators,
        order.index(unit.shape.adjacency),
        unit.organisation,
        unit.guarantee,
    )


def _make_cells(fleet: Fleet) -> list[_CellUnits]:
    domains = {rack.name: rack.failure_domain for rack in fleet.racks}
    by_rack: dict[str, list[Worker]] = {}
    for worker in fleet.workers:
        by_rack.setdefault(worker.rack, []).append(worker)
    cells = []
    for cell in fleet.cells:
        view = CellView(
            [worker for rack in cell.racks for worker in by_rack.get(rack, ())], ()
        )
        domain = _find_domain(cell, domains)
        cells.append(_CellUnits(cell.name, domain, cell.racks, view, view.layout, []))
    return cells


def _remove_racks(cell: _CellUnits, lost_racks: frozenset[str]) -> _CellUnits:
    """Return the cell without units, and without the workers of lost racks."""
    layout = cell.layout
    if not lost_racks.isdisjoint(cell.racks):
        view = CellView(cell.view.workers, ())
        for worker in view.workers:
            view.set_usable(worker.name, worker.rack not in lost_racks)
        layout = view.layout
    return _CellUnits(cell.name, cell.failure_domain, cell.racks, cell.view, layout, [])


def _find_domain(cell: Cell, domains: dict[str, str]) -> str:
    return domains.get(cell.racks[0], "") if cell.racks else ""


def _fill(cells: Sequence[_CellUnits], units: Sequence[_Unit]) -> list[_Unit]:
    """Add the units to cells; return those that fit nowhere."""
    search = _AssignmentSearch(cells, units)
    if search.descend(0):
        return []
    # Not all of them fit together: keep as many as possible, the largest first.
    unassigned = []
    for unit in units:
        cell = next((each for each in search.order(unit) if each.fits(unit)), None)
        if cell is None:
            unassigned.append(unit)
        else:
            cell.units.append(unit)
    return unassigned


class _AssignmentSearch:
    """Depth-first search over units, each of which goes to one cell."""

    def __init__(self, cells: Sequence[_CellUnits], units: Sequence[_Unit]) -> None:
        self.cells = cells
        self.units = units
        self.steps = ASSIGN_STEP_LIMIT

    def descend(self, level: int) -> bool:
        if level == len(self.units):
            return True
        unit = self.units[level]
        if sum(cell.left for cell in self.cells) < unit.shape.accelerators:
            return False
        for cell in self.order(unit):
            self.steps -= 1
            if self.steps < 0:
                return False
            if not cell.fits(unit):
                continue
            cell.units.append(unit)
            if self.descend(level + 1):
                return True
            cell.units.pop()
        return False

    def order(self, unit: _Unit) -> list[_CellUnits]:
        """Order the cells for a unit.

        First those of the failure domain where the organisation has least, then the
        cells with the most accelerators left.
        """
        held: dict[str, int] = {}
        for cell in self.cells:
            own = sum(
                each.shape.accelerators
                for each in cell.units
                if each.organisation == unit.organisation
            )
            domain = cell.failure_domain
            held[domain] = held.get(domain, 0) + own
        return sorted(
            self.cells,
            key=lambda cell: (held[cell.failure_domain], -cell.left, cell.name),
        )

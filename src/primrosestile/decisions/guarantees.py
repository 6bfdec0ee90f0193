"""Which guarantees the fleet can keep, and which cell keeps each of them.

A set of guarantees is accepted only if every promised shape can still be
assembled when any one failure domain, or any one rack, is lost. Were only the sum
compared with the capacity, an organisation would learn of the difference on the
evening on which a domain fails: its shape would be free in number and nowhere in
one piece.

Every placer works out the assignment for itself, from the same settings and the
same list of lost domains, so nothing has to be agreed: equal inputs, equal answer.
"""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from primrosestile.decisions.cell import CellView
from primrosestile.decisions.guarantees_rooms import Layout, Need, find_rooms
from primrosestile.state.fleet import Cell, Fleet, Worker
from primrosestile.state.tenancy import Adjacency, Guarantee, Guarantees, Shape

# Steps over (unit, cell) choices when guarantees change, a few times a day. The
# limit keeps a hopeless set from holding up the operator who asks about it; at
# the limit the answer is "cannot be kept", never a guarantee that is not there.
ASSIGN_STEP_LIMIT = 3000

Assignment = dict[str, tuple[tuple[str, Shape], ...]]


@dataclass(frozen=True, slots=True)
class _Unit:
    """One promised shape; `guarantee` is its index in the settings."""

    guarantee: int
    organisation: str
    shape: Shape


@dataclass(slots=True)
class _CellRoom:
    """One cell while units are shared out."""

    name: str
    failure_domain: str
    racks: tuple[str, ...]
    view: CellView
    layout: Layout
    units: list[_Unit]

    def has_room(self, unit: _Unit) -> bool:
        """Whether the cell, empty of work, has rooms for its units and this one."""
        needs = [Need(each.shape) for each in (*self.units, unit)]
        return find_rooms(self.layout, self.layout.capacity, needs) is not None

    @property
    def left(self) -> int:
        """Accelerators that are not promised."""
        return sum(self.layout.capacity) - sum(
            unit.shape.accelerators for unit in self.units
        )


@dataclass(frozen=True, slots=True)
class _Shared:
    """The cells with their units, and the units for which there was no room."""

    rooms: list[_CellRoom]
    left_out: list[_Unit]


def find_infeasible(fleet: Fleet, guarantees: Guarantees) -> tuple[str, ...]:
    """Find the guarantees that could not be kept after the loss of a part.

    Args:
        fleet: The fleet that the guarantees are for.
        guarantees: The whole set, since sets that are each fine can be
            impossible together.

    Returns:
        One sentence for each guarantee that cannot be assembled with the whole
        fleet, or when one failure domain or one rack is lost; empty when all
        can.
    """
    units = _list_units(guarantees)
    whole = _share_whole(fleet, units)
    faults: dict[int, str] = {}
    _note_faults(faults, guarantees, whole.left_out, "with the whole fleet")
    for lost_racks, when in _list_losses(fleet):
        if _touches(whole, lost_racks):
            left_out = _share_after_loss(fleet, units, whole, lost_racks).left_out
            _note_faults(faults, guarantees, left_out, when)
    return tuple(faults[index] for index in sorted(faults))


def assign_guarantees(
    fleet: Fleet,
    guarantees: Guarantees,
    lost_domains: frozenset[str] = frozenset(),
    lost_racks: frozenset[str] = frozenset(),
) -> Assignment:
    """Assign every promised shape to a cell that can assemble it.

    Units of an organisation are spread over failure domains. When a part is
    lost, only the units that were there move, if the rest has room for them.

    Args:
        fleet: The fleet of the settings.
        guarantees: Those of the settings.
        lost_domains: Failure domains that are not to be counted on now.
        lost_racks: Likewise.

    Returns:
        By the name of each cell, the promised shapes by organisation.
    """
    units = _list_units(guarantees)
    shared = _share_whole(fleet, units)
    lost = lost_racks | _list_racks(fleet, lost_domains)
    if lost:
        shared = _share_after_loss(fleet, units, shared, lost)
    return {
        room.name: tuple((unit.organisation, unit.shape) for unit in room.units)
        for room in shared.rooms
    }


def is_reclaimable(view: CellView) -> bool:
    """Whether every promised shape can be assembled at this instant.

    At once and side by side, by evicting only work that may be evicted, and
    with each organisation's own unstoppable work inside its own rooms.
    """
    return not view.rooms.lost


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


def _note_faults(
    faults: dict[int, str],
    guarantees: Guarantees,
    left_out: Iterable[_Unit],
    when: str,
) -> None:
    """Word the first loss that breaks each guarantee."""
    for unit in left_out:
        guarantee = guarantees.guarantees[unit.guarantee]
        faults.setdefault(unit.guarantee, _word_fault(guarantee, when))


def _word_fault(guarantee: Guarantee, when: str) -> str:
    shape = guarantee.shape
    return (
        f"{guarantee.organisation}: {guarantee.count} x {shape.accelerators} "
        f"accelerators ({shape.adjacency.value}) cannot be kept {when}; "
        "lower a guarantee or add workers."
    )


def _share_whole(fleet: Fleet, units: Sequence[_Unit]) -> _Shared:
    """Share the units out over the whole fleet."""
    rooms = _make_rooms(fleet)
    return _Shared(rooms, _fill(rooms, units))


def _touches(shared: _Shared, lost_racks: frozenset[str]) -> bool:
    """Whether a loss takes from a cell that has units.

    Most racks of a large fleet are promised to nobody; their loss changes nothing,
    and to share 15,000 workers out anew for each of them took minutes.
    """
    return any(
        room.units and not lost_racks.isdisjoint(room.racks) for room in shared.rooms
    )


def _share_after_loss(
    fleet: Fleet, units: Sequence[_Unit], whole: _Shared, lost_racks: frozenset[str]
) -> _Shared:
    """Share the units out over what a loss leaves.

    First with what survives left in place, so that work in progress keeps its
    rooms; only when that fails is everything shared out anew.
    """
    rooms = [_lose_racks(room, lost_racks) for room in whole.rooms]
    moved = list(whole.left_out)
    for room, before in zip(rooms, whole.rooms, strict=True):
        if room.layout is before.layout:
            room.units.extend(before.units)
            continue
        for unit in before.units:
            if room.has_room(unit):
                room.units.append(unit)
            else:
                moved.append(unit)
    if not _fill(rooms, sorted(moved, key=_rank_unit)):
        return _Shared(rooms, [])
    rooms = [_lose_racks(room, lost_racks) for room in whole.rooms]
    return _Shared(rooms, _fill(rooms, units))


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


def _make_rooms(fleet: Fleet) -> list[_CellRoom]:
    domains = {rack.name: rack.failure_domain for rack in fleet.racks}
    by_rack: dict[str, list[Worker]] = {}
    for worker in fleet.workers:
        by_rack.setdefault(worker.rack, []).append(worker)
    rooms = []
    for cell in fleet.cells:
        view = CellView(
            [worker for rack in cell.racks for worker in by_rack.get(rack, ())], ()
        )
        domain = _find_domain(cell, domains)
        rooms.append(_CellRoom(cell.name, domain, cell.racks, view, view.layout, []))
    return rooms


def _lose_racks(room: _CellRoom, lost_racks: frozenset[str]) -> _CellRoom:
    """Return the cell without units, and without the workers of lost racks."""
    layout = room.layout
    if not lost_racks.isdisjoint(room.racks):
        view = CellView(room.view.workers, ())
        for worker in view.workers:
            view.set_usable(worker.name, worker.rack not in lost_racks)
        layout = view.layout
    return _CellRoom(room.name, room.failure_domain, room.racks, room.view, layout, [])


def _find_domain(cell: Cell, domains: dict[str, str]) -> str:
    return domains.get(cell.racks[0], "") if cell.racks else ""


def _fill(rooms: Sequence[_CellRoom], units: Sequence[_Unit]) -> list[_Unit]:
    """Add the units to cells; return those for which no room was found."""
    sharing = _Sharing(rooms, units)
    if sharing.descend(0):
        return []
    # Not all of them fit together: keep as many as can be, the largest first.
    left_out = []
    for unit in units:
        room = next((each for each in sharing.order(unit) if each.has_room(unit)), None)
        if room is None:
            left_out.append(unit)
        else:
            room.units.append(unit)
    return left_out


class _Sharing:
    """Depth-first search over units, each of which goes to one cell."""

    def __init__(self, rooms: Sequence[_CellRoom], units: Sequence[_Unit]) -> None:
        self.rooms = rooms
        self.units = units
        self.steps = ASSIGN_STEP_LIMIT

    def descend(self, level: int) -> bool:
        if level == len(self.units):
            return True
        unit = self.units[level]
        if sum(room.left for room in self.rooms) < unit.shape.accelerators:
            return False
        for room in self.order(unit):
            self.steps -= 1
            if self.steps < 0:
                return False
            if not room.has_room(unit):
                continue
            room.units.append(unit)
            if self.descend(level + 1):
                return True
            room.units.pop()
        return False

    def order(self, unit: _Unit) -> list[_CellRoom]:
        """Order the cells: where the organisation has least, then the emptiest."""
        held: dict[str, int] = {}
        for room in self.rooms:
            own = sum(
                each.shape.accelerators
                for each in room.units
                if each.organisation == unit.organisation
            )
            domain = room.failure_domain
            held[domain] = held.get(domain, 0) + own
        return sorted(
            self.rooms,
            key=lambda room: (held[room.failure_domain], -room.left, room.name),
        )

"""Indexes over a settings snapshot for frequent look-ups.

Settings are a frozen snapshot that is replaced whole at each change. Changes are
rare, but each digest, request and submission, a few hundred thousand a day, looks up
the workers of a cell, its guaranteed shapes, or a team. A scan of 15,000 workers for
each would take more of an entry's processor time than control may use. So the
indexes are built once for each snapshot.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from primrosestile.decisions.guarantees import assign_guarantees
from primrosestile.state.fleet import Cell, Worker
from primrosestile.state.settings import Settings
from primrosestile.state.tenancy import Adjacency, Shape, Team

GuaranteedShapes = Mapping[str, tuple[tuple[str, Shape], ...]]


@dataclass(frozen=True, slots=True)
class CellCapacity:
    """The accelerators of one cell when it is empty.

    Attributes:
        worker: On its largest worker.
        rack: In its largest rack.
        cell: In all.
    """

    worker: int
    rack: int
    cell: int

    def can_hold(self, shape: Shape) -> bool:
        """Whether the empty cell could hold a shape."""
        largest = {
            Adjacency.WORKER: self.worker,
            Adjacency.RACK: self.rack,
            Adjacency.CELL: self.cell,
        }
        return shape.accelerators <= largest[shape.adjacency]


class SettingsView:
    """One settings snapshot, indexed.

    Attributes:
        cells: By name.
        workers: By name.
        slots: Of each worker, by its name.
        workers_in: The workers of each cell, in the order of settings.
        domain_of: The failure domain of each cell.
        region_of: The region of each failure domain.
        capacity: Of each cell.
        teams: By name.
    """

    def __init__(self, settings: Settings) -> None:
        fleet = settings.fleet
        self.settings = settings
        self.cells: dict[str, Cell] = {cell.name: cell for cell in fleet.cells}
        self.workers: dict[str, Worker] = {each.name: each for each in fleet.workers}
        self.slots = {each.name: each.slots for each in fleet.workers}
        self.teams: dict[str, Team] = {team.name: team for team in settings.teams}
        self.workers_in = self._group_workers()
        domains = {rack.name: rack.failure_domain for rack in fleet.racks}
        self.domain_of = {
            cell.name: domains.get(cell.racks[0], "") if cell.racks else ""
            for cell in fleet.cells
        }
        self.region_of = {each.name: each.region for each in fleet.failure_domains}
        self.capacity = {
            name: _measure(workers) for name, workers in self.workers_in.items()
        }
        self._guaranteed: dict[frozenset[str], GuaranteedShapes] = {}

    def _group_workers(self) -> dict[str, tuple[Worker, ...]]:
        cell_of = {
            rack: cell.name for cell in self.cells.values() for rack in cell.racks
        }
        grouped: dict[str, list[Worker]] = {name: [] for name in self.cells}
        for worker in self.workers.values():
            cell = cell_of.get(worker.rack)
            if cell is not None:
                grouped[cell].append(worker)
        return {name: tuple(workers) for name, workers in grouped.items()}

    def find_guaranteed_shapes(
        self, lost_domains: frozenset[str] = frozenset()
    ) -> GuaranteedShapes:
        """Return the shapes guaranteed in each cell, with their organisations.

        Args:
            lost_domains: Failure domains whose guarantees the others take over.
        """
        known = self._guaranteed.get(lost_domains)
        if known is None:
            settings = self.settings
            known = assign_guarantees(settings.fleet, settings.guarantees, lost_domains)
            self._guaranteed[lost_domains] = known
        return known


def _measure(workers: tuple[Worker, ...]) -> CellCapacity:
    racks: dict[str, int] = {}
    for worker in workers:
        racks[worker.rack] = racks.get(worker.rack, 0) + worker.accelerators
    return CellCapacity(
        worker=max((each.accelerators for each in workers), default=0),
        rack=max(racks.values(), default=0),
        cell=sum(racks.values()),
    )


class _LatestView:
    """Cache of the latest view; a process uses one settings snapshot at a time."""

    view: SettingsView | None = None


def view_settings(settings: Settings) -> SettingsView:
    """Return the indexed view of a settings snapshot."""
    view = _LatestView.view
    if view is None or view.settings is not settings:
        view = SettingsView(settings)
        _LatestView.view = view
    return view

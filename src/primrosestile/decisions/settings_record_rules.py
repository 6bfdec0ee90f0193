"""Rules on settings that need whole records: shapes, cells, capacity.

They run only on a document with a valid structure. Each yields `(path, reason,
remedy)`.
"""

from collections.abc import Iterator

from primrosestile.decisions.guarantees import find_infeasible
from primrosestile.state.fleet import Cell, Fleet
from primrosestile.state.settings import Settings
from primrosestile.state.tenancy import Adjacency, Guarantees, JobClass, Kind, Shape

Finding = tuple[str, str, str]


def find_record_faults(settings: Settings, check_capacity: bool) -> Iterator[Finding]:
    """Yield the faults of settings whose records are well-formed.

    Args:
        settings: The whole settings.
        check_capacity: Whether to check that the fleet can hold the guarantees; both
            must have no other fault.
    """
    yield from _check_cells(settings.fleet)
    yield from _check_shapes(settings.fleet, settings.guarantees)
    if check_capacity:
        yield from _check_guarantees(settings.fleet, settings.guarantees)
    yield from _check_classes(settings)
    yield from _check_weights(settings)


def _check_cells(fleet: Fleet) -> Iterator[Finding]:
    domains = {rack.name: rack.failure_domain for rack in fleet.racks}
    owned = {rack for cell in fleet.cells for rack in cell.racks}
    for i, rack in enumerate(fleet.racks):
        if rack.name not in owned:
            # No placer would own its workers, so they would be idle unnoticed.
            reason = f"rack {rack.name!r} is in no cell"
            yield f"fleet.racks[{i}]", reason, "Add the rack to one cell."
    for i, cell in enumerate(fleet.cells):
        yield from _check_cell(f"fleet.cells[{i}].racks", cell, domains)


def _check_cell(path: str, cell: Cell, domains: dict[str, str]) -> Iterator[Finding]:
    if not cell.racks:
        yield path, "the cell has no racks", "Add a rack, or remove the cell."
    spanned = sorted({domains[rack] for rack in cell.racks if rack in domains})
    if len(spanned) > 1:
        reason = f"the cell spans failure domains {', '.join(spanned)}"
        yield path, reason, "Give each failure domain cells of its own."


def _check_shapes(fleet: Fleet, guarantees: Guarantees) -> Iterator[Finding]:
    for i, guarantee in enumerate(guarantees.guarantees):
        path = f"guarantees.guarantees[{i}].shape"
        yield from _check_shape(path, guarantee.shape, fleet)


def _check_guarantees(fleet: Fleet, guarantees: Guarantees) -> Iterator[Finding]:
    for reason in find_infeasible(fleet, guarantees):
        remedy = "Lower or remove guarantees, or add racks in other failure domains."
        yield "guarantees.guarantees", reason, remedy


def _check_shape(path: str, shape: Shape, fleet: Fleet) -> Iterator[Finding]:
    largest = measure_largest(fleet, shape.adjacency)
    if shape.accelerators > largest:
        kind = shape.adjacency.value
        reason = f"{shape.accelerators} accelerators fit in no single {kind}"
        yield path, reason, f"Use at most {largest}, or a wider adjacency."


def measure_largest(fleet: Fleet, adjacency: Adjacency) -> int:
    """Return the most accelerators that one worker, rack or cell has."""
    if adjacency is Adjacency.WORKER:
        return max((worker.accelerators for worker in fleet.workers), default=0)
    racks = {rack.name: 0 for rack in fleet.racks}
    for worker in fleet.workers:
        racks[worker.rack] = racks.get(worker.rack, 0) + worker.accelerators
    if adjacency is Adjacency.RACK:
        return max(racks.values(), default=0)
    cells = (sum(racks.get(rack, 0) for rack in cell.racks) for cell in fleet.cells)
    return max(cells, default=0)


def _check_classes(settings: Settings) -> Iterator[Finding]:
    for i, team in enumerate(settings.teams):
        for k, job_class in enumerate(team.classes):
            path = f"teams[{i}].classes[{k}]"
            yield from _check_class(path, job_class, settings.fleet)


def _check_class(path: str, job_class: JobClass, fleet: Fleet) -> Iterator[Finding]:
    if job_class.kind is Kind.GANG:
        if job_class.shape is None:
            yield f"{path}.shape", "a gang class needs a shape", "Add its shape."
        else:
            yield from _check_shape(f"{path}.shape", job_class.shape, fleet)
        return
    if job_class.shape is not None:
        reason = "a request class has no shape"
        yield f"{path}.shape", reason, "Remove it, or set kind to 'gang'."
    if job_class.checkpoints:
        reason = "requests cannot checkpoint"
        yield f"{path}.checkpoints", reason, "Set it to false."
    if job_class.expected_seconds > job_class.deadline_seconds:
        # Every request of the class would be refused on arrival.
        reason = "the deadline is shorter than the expected run time"
        yield f"{path}.deadline_seconds", reason, "Raise it above expected_seconds."


def _check_weights(settings: Settings) -> Iterator[Finding]:
    policy = settings.policy
    if policy.completion_weight + policy.fragmentation_weight <= 0:
        reason = "both weights are 0, so no placement is better than another"
        yield "policy", reason, "Raise completion_weight or fragmentation_weight."

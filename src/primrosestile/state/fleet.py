"""The fleet: workers in racks, racks in failure domains, cells of whole racks.

A cell is the unit of ownership: one placer process at a time schedules its workers.
Cells consist of whole racks of one failure domain, so that a gang that needs adjacent
accelerators never spans two owners, and so that the loss of a rack or a domain is the
loss of a whole number of cells or racks.
"""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class FailureDomain:
    """A part of a region whose machines fail together."""

    name: str
    region: str


@dataclass(frozen=True, slots=True)
class Rack:
    """Adjacent workers within one failure domain."""

    name: str
    failure_domain: str


@dataclass(frozen=True, slots=True)
class Worker:
    """One backend machine.

    Attributes:
        name: Unique in the fleet.
        rack: Name of its rack.
        address: `ip:port` of its control and request endpoint.
        accelerators: Number of accelerators; they are numbered from 0.
        slots: Short requests that it serves concurrently.
        connections: Open connections it accepts.
        cores: Processor cores.
        memory_gb: Memory in gigabytes.
    """

    name: str
    rack: str
    address: str
    accelerators: int = 8
    slots: int = 8
    connections: int = 64
    cores: int = 64
    memory_gb: int = 128


@dataclass(frozen=True, slots=True)
class Cell:
    """Whole racks of one failure domain that one placer owns at a time."""

    name: str
    racks: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Fleet:
    """All workers, with their racks, cells and failure domains."""

    failure_domains: tuple[FailureDomain, ...] = ()
    racks: tuple[Rack, ...] = ()
    cells: tuple[Cell, ...] = ()
    workers: tuple[Worker, ...] = field(default=())

    def workers_of(self, cell: Cell) -> tuple[Worker, ...]:
        """Return the workers in the racks of a cell, in the order of settings."""
        racks = frozenset(cell.racks)
        return tuple(worker for worker in self.workers if worker.rack in racks)

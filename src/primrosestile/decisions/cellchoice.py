"""Which cell a new gang job is handed to.

Made for a stream of gangs over a few to a few hundred cells whose owners decide
for themselves. Asking every owner for a place would cost messages in proportion
to jobs times cells; choosing by the digests that entries get anyway costs none.
The choice may be stale by a second. The harm is a job that waits in one cell while
another has room, never a wrong placement, since the owner decides about that.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from primrosestile.state.fleet import Cell, Fleet
from primrosestile.state.tenancy import Adjacency, Shape


@dataclass(frozen=True, slots=True)
class CellPicture:
    """What an entry knows of one cell.

    Attributes:
        free: Free accelerators by usable worker.
        waiting: Jobs that wait there.
        promised: Whether the asking organisation has a guarantee there that
            holds the shape.
        fresh: Whether its owner has spoken lately.
    """

    cell: str
    free: Mapping[str, int]
    waiting: int
    promised: bool
    fresh: bool


def can_ever_fit(fleet: Fleet, cell: Cell, shape: Shape) -> bool:
    """Whether an empty cell could hold the shape."""
    workers = fleet.workers_of(cell)
    sizes = [worker.accelerators for worker in workers]
    if shape.adjacency is Adjacency.WORKER:
        return shape.accelerators <= max(sizes, default=0)
    if shape.adjacency is Adjacency.CELL:
        return shape.accelerators <= sum(sizes)
    by_rack: dict[str, int] = {}
    for worker in workers:
        by_rack[worker.rack] = by_rack.get(worker.rack, 0) + worker.accelerators
    return shape.accelerators <= max(by_rack.values(), default=0)


def _has_room(picture: CellPicture, shape: Shape) -> bool:
    """Whether the shape may fit now, as far as the free counts show."""
    counts = picture.free.values()
    if shape.adjacency is Adjacency.WORKER:
        return shape.accelerators <= max(counts, default=0)
    return shape.accelerators <= sum(counts)


def choose_cell(pictures: Sequence[CellPicture], shape: Shape) -> str | None:
    """Return the cell to hand a job to; None when there is none to choose.

    In this order: an owner that has spoken lately, since a cell without one starts
    nothing; room now with nobody waiting for it, since waiting elsewhere helps
    nobody; the organisation's own guarantee, where the job can reclaim room; the
    shorter queue; and of several with room the fullest, which keeps whole workers
    and racks free in the others.
    """

    def rank(picture: CellPicture) -> tuple[bool, bool, bool, int, int, str]:
        room = _has_room(picture, shape) and picture.waiting == 0
        total = sum(picture.free.values())
        return (
            not picture.fresh,
            not room,
            not picture.promised,
            picture.waiting,
            total if room else -total,
            picture.cell,
        )

    best = min(pictures, key=rank, default=None)
    return best.cell if best else None

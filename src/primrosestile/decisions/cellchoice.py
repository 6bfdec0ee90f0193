"""Which cell a new gang job is handed to.

Made for a stream of gangs over a few to a few hundred cells whose owners decide
for themselves. Asking every owner for a place would cost messages in proportion
to jobs times cells; choosing by the digests that entries get anyway costs none.
The choice may be stale by a second. The harm is a job that waits in one cell while
another has room, never a wrong placement, since the owner decides about that.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from primrosestile.state.tenancy import Adjacency, Shape, Urgency


@dataclass(frozen=True, slots=True)
class CellPicture:
    """What an entry knows of one cell.

    Attributes:
        free: Free accelerators by usable worker.
        waiting: Jobs that wait there.
        promised: Whether the asking organisation has a guarantee there that
            holds the shape.
        fresh: Whether its owner has spoken lately.
        handed: Accelerators that the jobs handed there by this process since
            its owner spoke ask for. Without them a burst within one second
            would all go to the cell that was the best at its beginning.
    """

    cell: str
    free: Mapping[str, int]
    waiting: int
    promised: bool
    fresh: bool
    handed: int = 0

    @property
    def is_working(self) -> bool:
        """Whether its owner speaks and reaches any worker that takes work.

        A failure domain that is cut off leaves an owner that speaks for workers
        none of which it reaches; a job handed there would wait for hours.
        """
        return self.fresh and bool(self.free)


def has_room(picture: CellPicture, shape: Shape) -> bool:
    """Whether the shape may fit now, as far as the free counts show."""
    counts = picture.free.values()
    if shape.accelerators > sum(counts) - picture.handed:
        return False
    if shape.adjacency is Adjacency.WORKER:
        return shape.accelerators <= max(counts, default=0)
    return True


# A waiting job moves once another cell could start it at once, but not before its
# own cell has had the time to reclaim room: that takes a round or two of seconds.
SHIFT_AFTER_SECONDS = 4.0
# Urgent work has 5.8 s to start, of which a move and a start may take three.
SHIFT_URGENT_AFTER_SECONDS = 1.5
# A job that was just moved stays put, or two full cells would pass it to and fro.
SHIFT_PAUSE_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class ShiftQuestion:
    """A waiting job, asked about from its own cell.

    Attributes:
        waited: Seconds since it began to wait in this cell.
        entitled: Whether it waits for its organisation's own guarantee here.
    """

    shape: Shape
    urgency: Urgency
    waited: float
    entitled: bool


def decide_shift(
    question: ShiftQuestion, here: CellPicture, others: Sequence[CellPicture]
) -> str | None:
    """Return the cell to which a waiting job should move, or None.

    Made for uneven load, since entries choose cells by pictures a second old and
    jobs wait for hours, and for the loss of a whole cell or failure domain. The
    harm prevented is a job that waits beside free room. A job moves only to room
    that is free now: moving it from one queue to another helps nobody.
    """
    lost = not here.is_working
    patience = SHIFT_AFTER_SECONDS
    if question.urgency is Urgency.URGENT or lost:
        patience = SHIFT_URGENT_AFTER_SECONDS
    if question.waited < patience or (question.entitled and not lost):
        return None
    candidates = [
        picture
        for picture in others
        if picture.is_working
        and (lost or (has_room(picture, question.shape) and picture.waiting == 0))
    ]
    return choose_cell(candidates, question.shape)


def choose_cell(pictures: Sequence[CellPicture], shape: Shape) -> str | None:
    """Return the cell to hand a job to; None when there is none to choose.

    In this order: an owner that has spoken lately, since a cell without one starts
    nothing; room now with nobody waiting for it, since waiting elsewhere helps
    nobody; the organisation's own guarantee, where the job can reclaim room; the
    shorter queue; and of several with room the fullest, which keeps whole workers
    and racks free in the others.
    """

    def rank(picture: CellPicture) -> tuple[bool, bool, bool, int, int, str]:
        room = has_room(picture, shape) and picture.waiting == 0
        total = sum(picture.free.values()) - picture.handed
        return (
            not picture.is_working,
            not room,
            not picture.promised,
            picture.waiting,
            total if room else -total,
            picture.cell,
        )

    best = min(pictures, key=rank, default=None)
    return best.cell if best else None

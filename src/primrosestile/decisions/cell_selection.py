"""Choice of the cell for a new gang job, and moves of waiting jobs between cells.

Cell owners decide about placements on their own. Asking each of a few hundred owners
would cost messages in proportion to jobs times cells; the digests that entries receive
anyway cost none. The choice may be stale by a second: at worst a job waits in one cell
while another has room, but it is never placed wrongly, since the owner decides about
that.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from primrosestile.state.tenancy import Adjacency, Shape, Urgency


@dataclass(frozen=True, slots=True)
class CellSummary:
    """What an entry knows of one cell.

    Attributes:
        free: Free accelerators by usable worker.
        waiting: Jobs that wait there.
        guaranteed: Whether the job's organisation has a guarantee there that holds the
            shape.
        fresh: Whether its owner has sent a digest recently.
        sent_accelerators: Those requested by the jobs that this process has sent there
            since the owner's latest digest. Without them a burst within one second
            would all go to the cell that was the best at its beginning.
    """

    cell: str
    free: Mapping[str, int]
    waiting: int
    guaranteed: bool
    fresh: bool
    sent_accelerators: int = 0

    @property
    def is_working(self) -> bool:
        """Whether its owner sends digests and reaches any usable worker.

        In a partitioned failure domain the owner may still send digests while it
        reaches none of its workers; a job sent there would wait for hours.
        """
        return self.fresh and bool(self.free)


def has_room(summary: CellSummary, shape: Shape) -> bool:
    """Whether the shape may fit now, judged by the free counts."""
    counts = summary.free.values()
    if shape.accelerators > sum(counts) - summary.sent_accelerators:
        return False
    if shape.adjacency is Adjacency.WORKER:
        return shape.accelerators <= max(counts, default=0)
    return True


# A waiting job moves once another cell could start it at once, but not before its own
# cell has had the time to reclaim capacity, which takes a second or two.
MOVE_AFTER_SECONDS = 4.0
# Urgent work has 5.8 s to start, of which a move and a start may take three.
MOVE_URGENT_AFTER_SECONDS = 1.5
# A job that was just moved stays, or two full cells would move it back and forth.
MOVE_COOLDOWN_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class MoveQuery:
    """A waiting job that its own cell may move to another.

    Attributes:
        waited: Seconds since it began to wait in this cell.
        entitled: Whether it waits for its organisation's own guarantee here.
    """

    shape: Shape
    urgency: Urgency
    waited: float
    entitled: bool


def decide_move(
    query: MoveQuery, here: CellSummary, others: Sequence[CellSummary]
) -> str | None:
    """Return the cell to which a waiting job should move, or None.

    Moves even out load, since entries choose cells by summaries a second old and jobs
    wait for hours, and rescue jobs after the loss of a whole cell or failure domain. A
    job moves only to a cell that has room now, unless its own cell is lost: a move
    between two queues gains nothing.
    """
    lost = not here.is_working
    wait_limit = MOVE_AFTER_SECONDS
    if query.urgency is Urgency.URGENT or lost:
        wait_limit = MOVE_URGENT_AFTER_SECONDS
    if query.waited < wait_limit or (query.entitled and not lost):
        return None
    candidates = [
        summary
        for summary in others
        if summary.is_working
        and (lost or (has_room(summary, query.shape) and summary.waiting == 0))
    ]
    return choose_cell(candidates, query.shape)


def choose_cell(summaries: Sequence[CellSummary], shape: Shape) -> str | None:
    """Return the cell to send a job to, None if there are no cells.

    In this order: an owner with recent digests and usable workers, since a cell without
    one starts nothing; room now and an empty queue; the organisation's own guarantee,
    where the job can reclaim capacity; the shorter queue; and the fullest of several
    with room, which keeps whole workers and racks free in the others.
    """

    def rank(summary: CellSummary) -> tuple[bool, bool, bool, int, int, str]:
        room = has_room(summary, shape) and summary.waiting == 0
        total = sum(summary.free.values()) - summary.sent_accelerators
        return (
            not summary.is_working,
            not room,
            not summary.guaranteed,
            summary.waiting,
            total if room else -total,
            summary.cell,
        )

    best = min(summaries, key=rank, default=None)
    return best.cell if best else None

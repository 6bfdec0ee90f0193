"""Moves a waiting job from one cell to another.

A job's key contains its cell, so a move changes two keys, and the store changes one at
a time. First the record here becomes MOVING, with the id that the job will have in the
new cell; from then on it can't start here. Then the new record is created if it is
absent, and last the one here becomes MOVED. An owner that takes the cell over between
two of these steps finds MOVING and does the rest; each step is idempotent. The caller's
id stays valid and leads to the new one.
"""

from collections.abc import Sequence
from dataclasses import replace

import msgspec
import structlog

from primrosestile.clock import read_wall_clock
from primrosestile.coordination.actions import make_reason
from primrosestile.coordination.cell_data import CellData
from primrosestile.coordination.job_table import make_job_key
from primrosestile.coordination.settled_writes import put_settled
from primrosestile.coordination.submission import make_job_id
from primrosestile.decisions.cell_selection import (
    MOVE_COOLDOWN_SECONDS,
    CellSummary,
    MoveQuery,
    decide_move,
)
from primrosestile.protocol.store import Store
from primrosestile.state.jobs import JobRecord, JobState, ReasonCode

_log = structlog.get_logger()


def find_destination(
    record: JobRecord,
    entitled: bool,
    here: CellSummary,
    others: Sequence[CellSummary],
) -> str | None:
    """Return the cell to which a waiting job should move, or None.

    Args:
        record: The waiting job.
        entitled: Whether it is within its organisation's own guarantee here.
        here: Summary of this cell.
        others: Summaries of the others.
    """
    now = read_wall_clock()
    moved = [
        reason.time
        for reason in record.history
        if reason.code is ReasonCode.MOVED_TO_CELL
    ]
    if moved and now - moved[-1] < MOVE_COOLDOWN_SECONDS:
        return None
    since = record.history[-1].time if record.history else record.accepted_at
    question = MoveQuery(record.spec.shape, record.spec.urgency, now - since, entitled)
    return decide_move(question, here, others)


async def move_job(
    store: Store, data: CellData, record: JobRecord, destination: str
) -> None:
    """Move a waiting job; `finish_move` completes an interrupted move."""
    moving = replace(
        record, state=JobState.MOVING, moved_to=make_job_id(destination)
    ).with_reason(
        make_reason(ReasonCode.MOVED_TO_CELL, f"from {data.name} to {destination}")
    )
    if await data.job_table.write(moving, record):
        await finish_move(store, data, moving)


async def finish_move(store: Store, data: CellData, record: JobRecord) -> None:
    """Create the job in its new cell if it is absent, and mark it as moved here."""
    spec = replace(record.spec, job_id=record.moved_to)
    there = replace(record, spec=spec, state=JobState.ACCEPTED, moved_to="")
    key = make_job_key(record.moved_to)
    await put_settled(store, key, msgspec.json.encode(there), 0)
    moved = replace(record, state=JobState.MOVED, finished_at=read_wall_clock())
    await data.job_table.write(moved, record)
    data.waiting_reasons.pop(record.spec.job_id, None)
    _log.info("job_moved", job_id=record.spec.job_id, moved_to=record.moved_to)

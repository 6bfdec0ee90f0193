"""Decodes workers' answers to polls, row by row.

An unreadable row is skipped on its own, but its run or end must not count as absent:
the run would be started a second time while it continues, or the end would be
acknowledged, and dropped by the worker, before it was recorded. The decoded answer
therefore says that it is incomplete, and up to which end it may be acknowledged.
"""

from typing import Annotated, Any

import msgspec

from primrosestile.platform.entries import Start
from primrosestile.platform.rejections import Fault, Unreadable, decode_json
from primrosestile.protocol.fleet import EndedTask, PollAnswer, RunningTask
from primrosestile.state.workers import EndKind

# Ten years. With a later reading every lease would appear to have expired.
CLOCK_LIMIT_MS = 3.2e11
PERCENT_LIMIT = 100.0
# Usage is in milliseconds or thousandths of a core.
USAGE_LIMIT = 1e9
# A worker numbers its ends from 1; this is a year at thirty ends a second. If a number
# far above its own were acknowledged, a worker would drop each later end at once.
NUMBER_LIMIT = 1_000_000_000

Clock = Annotated[float, msgspec.Meta(ge=0, le=CLOCK_LIMIT_MS)]
_ENDS = {each.value: each for each in EndKind}


class _Answer(msgspec.Struct, frozen=True):
    """`running`: task, run, checkpoint, percent, usage. `ended`: number, task, run,
    kind, checkpoint. Rows may gain more fields.

    `born`: when this start of the worker began.

    Both lists are required: an absent `running` that counted as empty would mean that
    nothing runs.
    """  # noqa: D205

    clock_ms: Clock
    running: list[Any]
    ended: list[Any]
    born: Start | None = None


def read_poll(body: bytes) -> tuple[PollAnswer, dict[str, Unreadable]]:
    """Decode a worker's answer; return it and the faults of its rejected rows.

    Raises:
        Unreadable: When the answer as a whole can't be read.
    """
    answer = decode_json(body, _Answer)
    rejected: dict[str, Unreadable] = {}
    running = []
    for row in answer.running:
        try:
            running.append(_read_running(row))
        except Unreadable as rejection:
            rejected[f"running {rejection.fault}"] = rejection
    ended, acknowledge_limit = _read_ends(answer.ended, rejected)
    poll = PollAnswer(
        answer.clock_ms / 1000,
        tuple(running),
        tuple(ended),
        complete=not rejected,
        acknowledge_limit=acknowledge_limit,
        start=answer.born,
    )
    return poll, rejected


def _read_running(row: Any) -> RunningTask:
    """Decode a run; progress fields that can't be read get their defaults."""
    if not isinstance(row, list) or len(row) < 2:
        raise Unreadable(Fault.FORM, "running", row)
    task, run = _check_run(row[0], row[1])
    checkpoint = row[2] if len(row) > 2 else None
    percent = _read_figure(row, 3, PERCENT_LIMIT)
    return RunningTask(
        task,
        run,
        checkpoint if isinstance(checkpoint, str) else "",
        0.0 if percent is None else percent,
        _read_figure(row, 4, USAGE_LIMIT),
    )


def _read_ends(
    rows: list[Any], rejected: dict[str, Unreadable]
) -> tuple[list[EndedTask], int | None]:
    """Decode the ends; also return the limit for acknowledging, None for no limit."""
    ended: list[EndedTask] = []
    limits: list[int] = []
    last = 0
    for row in rows:
        try:
            end = _read_end(row, last)
        except Unreadable as rejection:
            rejected[f"ended {rejection.fault}"] = rejection
            limits.append(min(last, _find_number(row) - 1))
            continue
        ended.append(end)
        last = end.number
    return ended, min(limits, default=None)


def _find_number(row: Any) -> int:
    """Return the number of a rejected end, or one above the limit if it has none.

    If the number is lower than that of the end before it, either may be wrong.
    """
    number = row[0] if isinstance(row, list) and row else None
    return number if type(number) is int and number > 0 else NUMBER_LIMIT + 1


def _read_end(row: Any, last: int) -> EndedTask:
    """Decode an end; its checkpoint may be unreadable.

    An unknown kind may mean that the task must not run again, so it is not mapped to
    any known kind.
    """
    if not isinstance(row, list) or len(row) < 4:
        raise Unreadable(Fault.FORM, "ended", row)
    number = row[0]
    if type(number) is not int or not last < number <= NUMBER_LIMIT:
        raise Unreadable(Fault.RANGE, "ended", row)
    task, run = _check_run(row[1], row[2])
    kind = _ENDS.get(row[3]) if isinstance(row[3], str) else None
    if kind is None:
        raise Unreadable(Fault.STATE, "ended", row)
    checkpoint = row[4] if len(row) > 4 else None
    return EndedTask(
        number, task, run, kind, checkpoint if isinstance(checkpoint, str) else ""
    )


def _check_run(task: Any, run: Any) -> tuple[str, int]:
    if not isinstance(task, str) or not task:
        raise Unreadable(Fault.FORM, "run", (task, run))
    # Runs are numbered by the starts of a task, so a larger number was never assigned,
    # and unwanted runs are stopped by their number.
    if type(run) is not int or not 0 < run <= NUMBER_LIMIT:
        raise Unreadable(Fault.RANGE, "run", (task, run))
    return task, run


def _read_figure(row: list[Any], index: int, limit: float) -> float | None:
    value = row[index] if len(row) > index else None
    # In Python, bool is a subclass of int.
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    return value if 0 <= value <= limit else None

"""Workers' answers to looks, read row by row.

A row that can't be read is passed over by itself, but what it may have told must not
be concluded from its absence: the run in it would be started a second time while it
goes on, or an end in it would be forgotten by the worker before anybody took note.
The look then says that it is not complete, and up to which end it may be forgotten.
"""

from typing import Annotated, Any

import msgspec

from primrosestile.platform.refusals import Fault, Unreadable, decode_json
from primrosestile.protocol.fleet import EndedTask, RunningTask, WorkerLook
from primrosestile.state.workers import EndKind

# Ten years. A reading past this would make every lease seem to have run out.
CLOCK_LIMIT_MS = 3.2e11
PERCENT_LIMIT = 100.0
# A figure of usage is milliseconds or thousandths of a core.
USAGE_LIMIT = 1e9
# A worker numbers its ends from 1; a year of thirty a second. Told to forget ends up to
# a number far past its own, a worker would forget each later one at once.
NUMBER_LIMIT = 1_000_000_000

Clock = Annotated[float, msgspec.Meta(ge=0, le=CLOCK_LIMIT_MS)]
_ENDS = {each.value: each for each in EndKind}


class _Look(msgspec.Struct, frozen=True):
    """`running`: task, run, saved, percent, usage. `ended`: number, task, run, how,
    saved. Rows may come to have more fields.

    Both lists are asked for: taken as empty where it is missing, the first would say
    that nothing runs.
    """  # noqa: D205

    clock_ms: Clock
    running: list[Any]
    ended: list[Any]


def read_look(body: bytes) -> tuple[WorkerLook, dict[str, Unreadable]]:
    """Return what a worker told, and why rows of it are refused.

    Raises:
        Unreadable: When nothing can be said by it.
    """
    answer = decode_json(body, _Look)
    refused: dict[str, Unreadable] = {}
    running = []
    for row in answer.running:
        try:
            running.append(_read_running(row))
        except Unreadable as refusal:
            refused[f"running {refusal.fault}"] = refusal
    ended, forget_limit = _read_ends(answer.ended, refused)
    look = WorkerLook(
        answer.clock_ms / 1000,
        tuple(running),
        tuple(ended),
        complete=not refused,
        forget_limit=forget_limit,
    )
    return look, refused


def _read_running(row: Any) -> RunningTask:
    """Return a run; of its progress, what can't be read is left open."""
    if not isinstance(row, list) or len(row) < 2:
        raise Unreadable(Fault.FORM, "running", row)
    task, run = _check_run(row[0], row[1])
    saved = row[2] if len(row) > 2 else None
    percent = _read_figure(row, 3, PERCENT_LIMIT)
    return RunningTask(
        task,
        run,
        saved if isinstance(saved, str) else "",
        0.0 if percent is None else percent,
        _read_figure(row, 4, USAGE_LIMIT),
    )


def _read_ends(
    rows: list[Any], refused: dict[str, Unreadable]
) -> tuple[list[EndedTask], int | None]:
    """Return the ends, and the last one before any that can't be read."""
    ended: list[EndedTask] = []
    limits: list[int] = []
    last = 0
    for row in rows:
        try:
            end = _read_end(row, last)
        except Unreadable as refusal:
            refused[f"ended {refusal.fault}"] = refusal
            limits.append(min(last, _find_number(row) - 1))
            continue
        ended.append(end)
        last = end.number
    return ended, min(limits, default=None)


def _find_number(row: Any) -> int:
    """Return the number of an end that is refused; one past any where it has none.

    One that is lower than the end before it tells that either may be wrong.
    """
    number = row[0] if isinstance(row, list) and row else None
    return number if type(number) is int and number > 0 else NUMBER_LIMIT + 1


def _read_end(row: Any, last: int) -> EndedTask:
    """Return an end; without its checkpoint it still is one.

    A kind that is not known may be an end that must not be run again, so it is not
    taken for any other.
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
    saved = row[4] if len(row) > 4 else None
    return EndedTask(number, task, run, kind, saved if isinstance(saved, str) else "")


def _check_run(task: Any, run: Any) -> tuple[str, int]:
    if not isinstance(task, str) or not task:
        raise Unreadable(Fault.FORM, "run", (task, run))
    # One for each start of a task; nobody has given a larger number, and a run that
    # nobody wants is stopped by it.
    if type(run) is not int or not 0 < run <= NUMBER_LIMIT:
        raise Unreadable(Fault.RANGE, "run", (task, run))
    return task, run


def _read_figure(row: list[Any], place: int, limit: float) -> float | None:
    value = row[place] if len(row) > place else None
    # A truth value is a number to Python, and none to the worker.
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    return value if 0 <= value <= limit else None

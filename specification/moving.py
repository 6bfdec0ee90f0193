"""A waiting job moves to another cell, still runs once and can be cancelled.

The job's key is stored under its cell, and the store changes one key at a time. Two
owners of the old cell, one of which does not know yet that it was replaced, start the
job there or move it; the new cell starts a record that it finds. A caller cancels at
any moment, at whichever record it finds. Each step may come arbitrarily late.

Left out: lost answers of these writes (see `gang_start` for their effect on a record),
a second move, and the stages of a start.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum

from specification.explore import Model, Rules
from specification.guards import Guard


class Record(Enum):
    """The state of one of the job's records."""

    NONE = "none"
    ACCEPTED = "accepted"
    MOVING = "moving"
    MOVED = "moved"
    STARTED = "started"
    CANCELLED = "cancelled"


class Step(Enum):
    """The next step of one owner of the old cell."""

    READ = "read"
    START = "start"
    MOVE = "move"
    CREATE = "create"
    FINISH = "finish"


@dataclass(frozen=True, slots=True)
class Owner:
    """One owner of the old cell.

    Attributes:
        seen: Revision of the old record that it decided on.
        carries_cancel: Whether the record that it read asked for cancellation.
        unrecorded: Whether it creates the new record before the old one names the move.
    """

    step: Step = Step.READ
    seen: int = 0
    carries_cancel: bool = False
    unrecorded: bool = False


@dataclass(frozen=True, slots=True)
class State:
    """Both cells' records, and the owners of the old cell.

    Attributes:
        old_record: The record in the old cell.
        revision: Revision of the old record.
        new_records: The records in the new cell, one for each id that a mover may
            choose.
        old_cancel: Whether the old record requests cancellation.
        new_cancels: Likewise for the new ones.
        asked: Whether the caller was told that cancellation is requested.
        runs: Number of times the job was started.
    """

    old_record: Record = Record.ACCEPTED
    revision: int = 0
    new_records: tuple[Record, Record] = (Record.NONE, Record.NONE)
    old_cancel: bool = False
    new_cancels: tuple[bool, bool] = (False, False)
    asked: bool = False
    owners: tuple[Owner, Owner] = (Owner(), Owner())
    runs: int = 0


MAX_RUNS = 2


def list_steps(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    """Yield every possible next step."""
    if state.runs >= MAX_RUNS:
        return
    for index in (0, 1):
        yield from _list_owner(state, index, rules)
        yield from _list_new_cell(state, index)
    if not state.asked:
        yield from _list_caller(state, rules)


def _put_owner(state: State, index: int, **changes: object) -> State:
    owners = list(state.owners)
    owners[index] = replace(owners[index], **changes)  # type: ignore[arg-type]
    return replace(state, owners=(owners[0], owners[1]))


def _write_old_record(state: State, old_record: Record) -> State:
    return replace(state, old_record=old_record, revision=state.revision + 1)


def _choose_id(index: int, rules: Rules) -> int:
    """Return the new id: fixed by the old record, or each mover's own without it."""
    return 0 if Guard.MOVE_NAMES_NEW_ID in rules else index


def _list_owner(state: State, index: int, rules: Rules) -> Iterator[tuple[str, State]]:
    owner = state.owners[index]
    name = f"owner {index}"
    if owner.step is Step.READ:
        yield from _read(state, index, rules)
    elif owner.step is Step.CREATE:
        created = _create(state, _choose_id(index, rules), owner, rules)
        after = Step.MOVE if owner.unrecorded else Step.FINISH
        yield f"{name} creates the new record", _put_owner(created, index, step=after)
    elif owner.seen != state.revision:
        yield f"{name}'s write is refused", _put_owner(state, index, step=Step.READ)
    elif owner.step is Step.START:
        started = replace(_write_old_record(state, Record.STARTED), runs=state.runs + 1)
        yield f"{name} starts the job", _put_owner(started, index, step=Step.READ)
    elif owner.step is Step.MOVE:
        moving = _write_old_record(state, Record.MOVING)
        after = Step.FINISH if owner.unrecorded else Step.CREATE
        moving = _put_owner(moving, index, step=after, seen=moving.revision)
        yield f"{name} records the move", moving
    elif owner.step is Step.FINISH:
        moved = _write_old_record(state, Record.MOVED)
        yield f"{name} completes the move", _put_owner(moved, index, step=Step.READ)


def _read(state: State, index: int, rules: Rules) -> Iterator[tuple[str, State]]:
    name = f"owner {index}"
    read = {"seen": state.revision, "carries_cancel": state.old_cancel}
    if state.old_record is Record.MOVING:
        create = _put_owner(state, index, step=Step.CREATE, unrecorded=False, **read)
        yield f"{name} resumes a move", create
    if state.old_record is not Record.ACCEPTED:
        return
    if state.old_cancel:
        yield f"{name} cancels the job", _write_old_record(state, Record.CANCELLED)
        return
    start = _put_owner(state, index, step=Step.START, **read)
    yield f"{name} decides to start the job", start
    move = _put_owner(state, index, step=Step.MOVE, unrecorded=False, **read)
    yield f"{name} decides to move the job", move
    if Guard.MOVE_RECORDED_FIRST not in rules:
        create = _put_owner(state, index, step=Step.CREATE, unrecorded=True, **read)
        yield f"{name} moves the job without recording it", create


def _create(state: State, place: int, owner: Owner, rules: Rules) -> State:
    absent = state.new_records[place] is Record.NONE
    if not absent and Guard.MOVED_JOB_CREATED_ONCE in rules:
        return state
    new_records = list(state.new_records)
    new_records[place] = Record.ACCEPTED
    cancel = list(state.new_cancels)
    cancel[place] = owner.carries_cancel
    return replace(
        state,
        new_records=(new_records[0], new_records[1]),
        new_cancels=(cancel[0], cancel[1]),
    )


def _list_new_cell(state: State, place: int) -> Iterator[tuple[str, State]]:
    if state.new_records[place] is not Record.ACCEPTED:
        return
    new_records = list(state.new_records)
    if state.new_cancels[place]:
        new_records[place] = Record.CANCELLED
        yield (
            "the new cell cancels",
            replace(state, new_records=(new_records[0], new_records[1])),
        )
    else:
        new_records[place] = Record.STARTED
        started = replace(
            state, new_records=(new_records[0], new_records[1]), runs=state.runs + 1
        )
        yield "the new cell starts the job", started


def _list_caller(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    """Cancel at the record that the old id resolves to."""
    waits = state.old_record is Record.MOVING and Guard.CANCEL_WAITS_FOR_MOVE in rules
    if state.old_record in (Record.ACCEPTED, Record.MOVING) and not waits:
        asked = replace(
            _write_old_record(state, state.old_record), old_cancel=True, asked=True
        )
        yield "the caller requests cancellation", asked
    if state.old_record is Record.MOVED and state.new_records[0] is Record.ACCEPTED:
        cancel = (True, state.new_cancels[1])
        asked = replace(state, new_cancels=cancel, asked=True)
        yield "the caller requests cancellation in the new cell", asked


def keeps_cancel(state: State) -> bool:
    """Whether the record where the job now waits has the requested cancellation."""
    waits_there = (
        state.old_record is Record.MOVED and state.new_records[0] is Record.ACCEPTED
    )
    return not (state.asked and waits_there) or state.new_cancels[0]


MODEL = Model(
    name="moving",
    initial=State(),
    steps=list_steps,
    properties={
        "a moved job is started once": lambda state: state.runs <= 1,
        "a moved job is not lost": lambda state: (
            state.old_record is not Record.MOVED
            or any(record is not Record.NONE for record in state.new_records)
        ),
        "a requested cancellation is kept": keeps_cancel,
    },
    witnesses={
        "the job runs in the new cell": lambda state: (
            state.old_record is Record.MOVED and state.new_records[0] is Record.STARTED
        ),
        "the job runs in the old cell": lambda state: (
            state.old_record is Record.STARTED
        ),
        "the job is cancelled in the new cell": lambda state: (
            state.new_records[0] is Record.CANCELLED
        ),
    },
    guards=(
        Guard.MOVE_RECORDED_FIRST,
        Guard.MOVE_NAMES_NEW_ID,
        Guard.MOVED_JOB_CREATED_ONCE,
        Guard.CANCEL_WAITS_FOR_MOVE,
    ),
)

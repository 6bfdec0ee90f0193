"""A gang that may not run twice is started whole, once, across a change of owner.

The first owner starts the gang on two workers: prepare and hold both, record the
start by compare-and-swap, tell both to go. The second owner may take the cell over at
any moment while the first still believes that it owns it, so every step of the first
may come arbitrarily late; this also covers a pause or a slow network. The second owner
decides from the job's record and the workers' reports. The store may lose the answer
to the start's write, which may even take effect after the owner has read the record
again; a worker may lose its task or be unreachable for the second owner; and a caller
may cancel.

The second owner's own start is one step: it follows the same rules on workers that
the first never uses, so its stages would show nothing new.

Left out: time (see `gang_lease`), more members, the end of a run, a third owner, and
restarts of a worker, which would lose its state.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum

from specification.explore import Model, Rules
from specification.guards import Guard


class Record(Enum):
    """The state of the job in the store."""

    ACCEPTED = "accepted"
    STARTED = "started"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


class Phase(Enum):
    """The first attempt's member on one worker."""

    NONE = "none"
    HELD = "held"
    RUNNING = "running"
    STOPPED = "stopped"


class Step(Enum):
    """An owner's next step."""

    READ = "read"
    PREPARE = "prepare"
    RECORD = "record"
    RECORD_LOST = "record lost"
    GO = "go"
    POLL = "look"
    DECIDE = "decide"
    STOP = "stop"
    ELSEWHERE = "elsewhere"
    END = "end"


@dataclass(frozen=True, slots=True)
class Member:
    """One worker of the first attempt.

    Attributes:
        seen: The highest epoch that the worker has seen.
    """

    phase: Phase = Phase.NONE
    seen: int = 1


@dataclass(frozen=True, slots=True)
class Owner:
    """One placer that owns the cell or believes that it does.

    Attributes:
        read: Revision of the record that it decides on.
        polled: What each worker reported to it; None before.
    """

    step: Step = Step.READ
    read: int = 0
    polled: tuple[Phase | None, Phase | None] = (None, None)


@dataclass(frozen=True, slots=True)
class State:
    """Record, workers and both owners.

    Attributes:
        starter: Epoch of the owner that recorded the latest start.
        late: Whether a lost write of the first owner's start may still take effect.
        taken_over: Whether the second owner holds the cell.
        ran_first: Whether a member of the first attempt has run.
        ran_second: Whether the second owner's own attempt has run.
        ran_in_part: Whether a member ran before the other one was held.
        stale: Whether a worker obeyed the first owner after seeing the second's epoch.
        unrecorded: Whether a member ran with no start recorded.
        said_not_run: Whether the caller was told that the job did not run.
    """

    record: Record = Record.ACCEPTED
    revision: int = 0
    starter: int = 0
    first: Owner = Owner()
    second: Owner = Owner()
    late: bool = False
    taken_over: bool = False
    members: tuple[Member, Member] = (Member(), Member())
    cancel: bool = False
    ran_first: bool = False
    ran_second: bool = False
    ran_in_part: bool = False
    stale: bool = False
    unrecorded: bool = False
    said_not_run: bool = False


def list_steps(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    """Yield every possible next step."""
    yield from _list_first_owner(state, rules)
    if state.taken_over:
        yield from _list_second_owner(state, rules)
    else:
        yield "the second owner takes over", replace(state, taken_over=True)
    if not state.cancel and state.record in (Record.ACCEPTED, Record.STARTED):
        following = replace(state, cancel=True, revision=state.revision + 1)
        yield "the caller cancels", following
    for index in (0, 1):
        if state.members[index].phase in (Phase.HELD, Phase.RUNNING):
            lost = _put_member(state, index, phase=Phase.STOPPED)
            yield f"worker {index} loses its task", lost
    if state.late:
        yield "the lost write takes effect late", _apply_late_write(state)


def _apply_late_write(state: State) -> State:
    """Apply a write whose sender no longer waits; it still compares the revision."""
    landed = replace(state, late=False)
    if state.revision != state.first.read:
        return landed
    return replace(
        landed, record=Record.STARTED, revision=state.revision + 1, starter=1
    )


def _put_member(state: State, index: int, **changes: object) -> State:
    members = list(state.members)
    members[index] = replace(members[index], **changes)  # type: ignore[arg-type]
    return replace(state, members=(members[0], members[1]))


def _obeys(member: Member, epoch: int, rules: Rules) -> bool:
    return Guard.EPOCH_CHECKED_BY_WORKER not in rules or epoch >= member.seen


def _command(
    state: State, index: int, epoch: int, phase: Phase, rules: Rules
) -> State | None:
    """Return the state after a worker obeys a command, or None if it refuses."""
    member = state.members[index]
    if not _obeys(member, epoch, rules):
        return None
    stale = state.stale or epoch < member.seen
    following = _put_member(state, index, phase=phase, seen=max(epoch, member.seen))
    following = replace(following, stale=stale)
    if phase is not Phase.RUNNING:
        return following
    other = state.members[1 - index].phase
    return replace(
        following,
        ran_first=True,
        ran_in_part=state.ran_in_part or other is Phase.NONE,
        unrecorded=state.unrecorded or state.starter == 0,
    )


def _put_first(state: State, step: Step, **changes: object) -> State:
    owner = replace(state.first, step=step, **changes)  # type: ignore[arg-type]
    return replace(state, first=owner)


def _put_second(state: State, step: Step, **changes: object) -> State:
    owner = replace(state.second, step=step, **changes)  # type: ignore[arg-type]
    return replace(state, second=owner)


# The first owner's start.


def _list_first_owner(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    step = state.first.step
    if step is Step.READ:
        yield from _read_first(state)
    elif step is Step.PREPARE:
        yield from _prepare(state, rules)
    elif step is Step.RECORD:
        yield from _record_start(state, rules)
    elif step is Step.RECORD_LOST:
        yield from _resolve_lost_start(state, rules)
    elif step is Step.GO:
        yield from _go_first(state, rules)


def _read_first(state: State) -> Iterator[tuple[str, State]]:
    if state.record is Record.ACCEPTED and not state.cancel:
        following = _put_first(state, Step.PREPARE, read=state.revision)
        yield "the first owner reads the job", following
    else:
        yield from _cancel(state, state.first, "first", _put_first(state, Step.END))


def _prepare(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    for index in (0, 1):
        if state.members[index].phase is Phase.NONE:
            prepared = _command(state, index, 1, Phase.HELD, rules)
            if prepared:
                yield f"the first owner prepares on worker {index}", prepared
    held = [member.phase is Phase.HELD for member in state.members]
    whole = all(held) or (Guard.ALL_HELD_BEFORE_START not in rules and any(held))
    if whole:
        yield "the first owner is ready to record", _put_first(state, Step.RECORD)
    yield from _release(state, rules)


def _release(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    """Abandon the start before it is recorded; held members lapse or are stopped."""
    following = state
    for index in (0, 1):
        if state.members[index].phase is Phase.HELD:
            stopped = _command(following, index, 1, Phase.STOPPED, rules)
            following = stopped or following
    yield "the first owner abandons the start", _put_first(following, Step.END)


def _record_start(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    if Guard.START_RECORDED_BEFORE_GO not in rules:
        yield "the first owner skips the record", _put_first(state, Step.GO)
    lost = _put_first(state, Step.RECORD_LOST)
    yield "the start's write is lost, without effect", lost
    yield "the start's write is delayed", replace(lost, late=True)
    compared = Guard.START_RECORD_COMPARED in rules
    if compared and state.revision != state.first.read:
        yield from _release(state, rules)
        return
    written = replace(
        state, record=Record.STARTED, revision=state.revision + 1, starter=1
    )
    yield "the first owner records the start", _put_first(written, Step.GO)
    yield (
        "the start's write is lost, with effect",
        _put_first(written, Step.RECORD_LOST),
    )


def _resolve_lost_start(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    mine = state.record is Record.STARTED and state.starter == 1
    if mine or Guard.LOST_START_REREAD not in rules:
        yield "the first owner takes the start as recorded", _put_first(state, Step.GO)
    else:
        yield from _release(state, rules)


def _go_first(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    for index in (0, 1):
        if state.members[index].phase is Phase.HELD:
            gone = _command(state, index, 1, Phase.RUNNING, rules)
            if gone:
                yield f"the first owner tells worker {index} to go", gone


# The second owner's recovery.


def _list_second_owner(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    step = state.second.step
    if step is Step.READ:
        yield from _read_second(state)
    elif step is Step.POLL:
        yield from _poll(state, rules)
    elif step is Step.DECIDE:
        yield from _decide(state, rules)
    elif step is Step.GO:
        yield from _go_second(state, rules)
    elif step is Step.STOP:
        yield from _stop(state, rules)
    elif step is Step.ELSEWHERE:
        yield from _start_elsewhere(state)


def _read_second(state: State) -> Iterator[tuple[str, State]]:
    read = {"read": state.revision, "polled": (None, None)}
    if state.record is Record.STARTED:
        yield "the second owner reads a start", _put_second(state, Step.POLL, **read)
    elif state.record is Record.ACCEPTED and not state.cancel:
        following = _put_second(state, Step.ELSEWHERE, **read)
        yield "the second owner reads the job", following
    else:
        yield from _cancel(state, state.second, "second", _put_second(state, Step.END))


def _cancel(
    state: State, owner: Owner, name: str, ended: State
) -> Iterator[tuple[str, State]]:
    """A job that never started is cancelled as 'not run', by compare-and-swap."""
    if state.record is Record.ACCEPTED and state.cancel:
        yield (
            f"the {name} owner cancels the job",
            replace(
                ended,
                record=Record.CANCELLED,
                revision=state.revision + 1,
                said_not_run=True,
            ),
        )
    else:
        yield f"the {name} owner has nothing to do", ended


def _poll(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    """Poll both workers; with the guard on, a poll also shows them the new epoch."""
    for index in (0, 1):
        if state.second.polled[index] is not None:
            continue
        member = state.members[index]
        shown = state
        if Guard.FENCE_BEFORE_ACTING in rules:
            shown = _put_member(state, index, seen=2)
        polled = list(state.second.polled)
        # An unreachable worker proves no more than one that lost its task.
        polled[index] = Phase.STOPPED
        unreachable = _put_second(state, Step.POLL, polled=(polled[0], polled[1]))
        yield f"the second owner cannot reach worker {index}", unreachable
        polled[index] = member.phase
        following = _put_second(shown, Step.POLL, polled=(polled[0], polled[1]))
        yield f"the second owner polls worker {index}", following
    if None not in state.second.polled:
        yield "the second owner has polled all workers", _put_second(state, Step.DECIDE)


def _decide(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    """Adopt a whole gang; end or restart one that has lost a member."""
    polled = state.second.polled
    whole = all(phase in (Phase.HELD, Phase.RUNNING) for phase in polled)
    if whole and not state.cancel:
        yield "the second owner adopts the gang", _put_second(state, Step.GO)
    proved_not_run = all(phase in (Phase.HELD, Phase.NONE) for phase in polled)
    allowed = proved_not_run or Guard.RESTART_ONLY_IF_ALLOWED not in rules
    if allowed and state.revision == state.second.read:
        yield "the second owner starts it again", _put_second(state, Step.STOP)
    if not allowed and state.revision == state.second.read:
        ended = replace(state, record=Record.UNKNOWN, revision=state.revision + 1)
        yield "the second owner records 'unknown'", _put_second(ended, Step.END)
    if state.revision != state.second.read:
        yield "the second owner reads again", _put_second(state, Step.READ)


def _go_second(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    for index in (0, 1):
        if state.members[index].phase is Phase.HELD:
            gone = _command(state, index, 2, Phase.RUNNING, rules)
            if gone:
                yield f"the second owner tells worker {index} to go", gone


def _stop(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    following = state
    for index in (0, 1):
        if state.members[index].phase in (Phase.HELD, Phase.RUNNING):
            stopped = _command(following, index, 2, Phase.STOPPED, rules)
            following = stopped or following
    yield (
        "the second owner stops the first attempt",
        _put_second(following, Step.ELSEWHERE),
    )


def _start_elsewhere(state: State) -> Iterator[tuple[str, State]]:
    if state.revision != state.second.read:
        yield "the second owner's start is refused", _put_second(state, Step.READ)
        return
    written = replace(
        state,
        record=Record.STARTED,
        revision=state.revision + 1,
        starter=2,
        ran_second=True,
    )
    yield "the second owner starts it elsewhere", _put_second(written, Step.END)


MODEL = Model(
    name="gang start",
    initial=State(),
    steps=list_steps,
    properties={
        "a job that may not run twice runs once": lambda state: (
            not (state.ran_first and state.ran_second)
        ),
        "no member runs before all are held": lambda state: not state.ran_in_part,
        "no member runs without a recorded start": lambda state: not state.unrecorded,
        "a worker obeys no owner older than one it has seen": lambda state: (
            not state.stale
        ),
        "'not run' is true": lambda state: (
            not (state.said_not_run and (state.ran_first or state.ran_second))
        ),
    },
    witnesses={
        "the first attempt runs whole": lambda state: all(
            member.phase is Phase.RUNNING for member in state.members
        ),
        "the second owner adopts and runs it": lambda state: (
            state.second.step is Step.GO
            and all(member.phase is Phase.RUNNING for member in state.members)
            and all(member.seen == 2 for member in state.members)
        ),
        "the second owner runs it elsewhere": lambda state: state.ran_second,
        "a start is proved not run and made again": lambda state: (
            state.ran_second and state.members[0].phase is Phase.STOPPED
        ),
        "a cancelled job is told 'not run'": lambda state: state.said_not_run,
    },
    guards=(
        Guard.EPOCH_CHECKED_BY_WORKER,
        Guard.FENCE_BEFORE_ACTING,
        Guard.ALL_HELD_BEFORE_START,
        Guard.START_RECORDED_BEFORE_GO,
        Guard.START_RECORD_COMPARED,
        Guard.LOST_START_REREAD,
        Guard.RESTART_ONLY_IF_ALLOWED,
    ),
)

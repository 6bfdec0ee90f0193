"""A non-idempotent request is claimed, dispatched and run at most once.

One caller's request reaches two entries, as when the first call times out and the
caller retries with the same id. Each entry may pause for any length of time between
any two steps, which also covers a crash. The store may lose the answer to a write
before or after its effect, and a lost write may take effect after its sender has read
the claim again. A request in flight to a target may arrive long after its sender timed
out.

Left out: more than two entries or targets; answers themselves (see `answers`); a
caller's second id. 'Not run' refers to one call: an entry that cannot read the store
cannot know what an earlier call with the same id did.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum

from specification.explore import Model, Rules
from specification.guards import Guard


class Stored(Enum):
    """The state of the claim in the store."""

    NONE = "none"
    CLAIMED = "claimed"
    DISPATCHED = "dispatched"
    NOT_RUN = "not run"
    FINAL = "final"


class Step(Enum):
    """The state of one entry's call."""

    READ = "read"
    CLAIM = "claim"
    CLAIM_LOST = "claim lost"
    CLAIMED = "claimed"
    DISPATCH_LOST = "dispatch lost"
    DISPATCHED = "dispatched"
    SENT = "sent"
    REFUSED = "refused by the target"
    GAVE_UP = "gave up waiting"
    TOLD_NOT_RUN = "told not run"
    TOLD = "told something else"


@dataclass(frozen=True, slots=True)
class Call:
    """One entry's call, and its requests in flight to a target.

    Attributes:
        seen: Mod revision of the claim that the entry decides on; 0 when absent.
        late: A lost write that may still take effect, if any.
        late_over: The mod revision that the lost write expects.
        in_flight: Number of requests in flight to a target.
        refused: Whether the target has answered that it did not run the request.
        ran: Number of times a request of this call has run.
    """

    step: Step = Step.READ
    seen: int = 0
    late: Stored | None = None
    late_over: int = 0
    in_flight: int = 0
    refused: bool = False
    ran: int = 0


@dataclass(frozen=True, slots=True)
class State:
    """The claim and both calls.

    Attributes:
        holder: Index of the call whose token the claim holds; -1 for none.
        revision: Mod revision of the claim; 0 when absent.
        writes: Number of writes so far, like the store's revision; it never falls.
    """

    stored: Stored = Stored.NONE
    holder: int = -1
    revision: int = 0
    writes: int = 0
    calls: tuple[Call, Call] = (Call(), Call())


MAX_WRITES = 7
OPEN_STEPS = (Step.READ, Step.CLAIM, Step.CLAIM_LOST, Step.CLAIMED, Step.DISPATCH_LOST)


def list_steps(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    """Yield every possible next step."""
    for index in (0, 1):
        yield from _list_call_steps(state, index, rules)
    yield from _list_expiry(state, rules)


def _list_call_steps(
    state: State, index: int, rules: Rules
) -> Iterator[tuple[str, State]]:
    call = state.calls[index]
    name = f"entry {index}"
    if call.step is Step.READ:
        yield from _read(state, index, rules)
    elif call.step is Step.CLAIM:
        yield from _claim(state, index, rules)
    elif call.step is Step.CLAIM_LOST:
        yield from _resolve_lost(state, index, rules, Stored.CLAIMED, Step.CLAIMED)
    elif call.step is Step.CLAIMED:
        yield from _dispatch(state, index, rules)
    elif call.step is Step.DISPATCH_LOST:
        yield from _resolve_lost(
            state, index, rules, Stored.DISPATCHED, Step.DISPATCHED
        )
    elif call.step is Step.DISPATCHED:
        yield f"{name} sends", _change(state, index, Step.SENT, in_flight=1)
    elif call.step is Step.SENT:
        yield from _wait(state, index, rules)
    elif call.step is Step.REFUSED:
        yield from _use_refusal(state, index)
    elif call.step is Step.GAVE_UP:
        yield from _end_unknown(state, index, rules)
    if call.step in OPEN_STEPS:
        yield from _refuse_early(state, index, rules)
    yield from _arrive(state, index)
    if call.late is not None:
        yield (
            f"the lost write of entry {index} arrives",
            _apply_late_write(state, index),
        )


def _apply_late_write(state: State, index: int) -> State:
    """Apply a write whose sender no longer waits; it still compares the revision."""
    call = state.calls[index]
    landed = _change(state, index, call.step, late=None, late_over=0)
    if call.late is None or state.revision != call.late_over:
        return landed
    return _write(landed, index, call.late)


def _change(state: State, index: int, step: Step, **changes: object) -> State:
    calls = list(state.calls)
    calls[index] = replace(calls[index], step=step, **changes)  # type: ignore[arg-type]
    return replace(state, calls=(calls[0], calls[1]))


def _write(state: State, index: int, stored: Stored) -> State:
    writes = state.writes + 1
    return replace(state, stored=stored, holder=index, revision=writes, writes=writes)


def _read(state: State, index: int, rules: Rules) -> Iterator[tuple[str, State]]:
    name = f"entry {index}"
    if Guard.CLAIM_BEFORE_DISPATCH not in rules:
        yield f"{name} skips the claim", _change(state, index, Step.DISPATCHED)
    free = state.stored in (Stored.NONE, Stored.NOT_RUN, Stored.CLAIMED)
    if free:
        following = _change(state, index, Step.CLAIM, seen=state.revision)
        yield f"{name} reads a free claim ({state.stored.value})", following
    else:
        yield f"{name} reads a taken claim", _change(state, index, Step.TOLD)


def _claim(state: State, index: int, rules: Rules) -> Iterator[tuple[str, State]]:
    """Take the claim, also from a holder that has not dispatched yet."""
    yield from _swap(
        *(state, index, Stored.CLAIMED, Guard.CLAIM_COMPARED in rules),
        *(Step.CLAIMED, Step.CLAIM_LOST),
    )


def _dispatch(state: State, index: int, rules: Rules) -> Iterator[tuple[str, State]]:
    if Guard.DISPATCH_RECORDED_BEFORE_SEND not in rules:
        following = _change(state, index, Step.DISPATCHED)
        yield f"entry {index} does not record the dispatch", following
    yield from _swap(
        *(state, index, Stored.DISPATCHED, Guard.DISPATCH_RECORD_COMPARED in rules),
        *(Step.DISPATCHED, Step.DISPATCH_LOST),
    )


def _swap(
    state: State, index: int, stored: Stored, compared: bool, done: Step, lost: Step
) -> Iterator[tuple[str, State]]:
    """Write the claim; the answer may be lost with or without the effect."""
    name = f"entry {index} writes {stored.value}"
    yield f"{name}: lost, without effect", _change(state, index, lost)
    over = state.calls[index].seen
    late = _change(state, index, lost, late=stored, late_over=over)
    yield f"{name}: delayed", late
    if compared and state.revision != state.calls[index].seen:
        yield f"{name}: refused", _change(state, index, Step.TOLD)
    elif state.writes < MAX_WRITES:
        written = _write(state, index, stored)
        yield f"{name}: done", _change(written, index, done, seen=written.revision)
        yield f"{name}: lost, with effect", _change(written, index, lost)


def _resolve_lost(
    state: State, index: int, rules: Rules, stored: Stored, done: Step
) -> Iterator[tuple[str, State]]:
    """Read the claim again; only this call's token proves its own write."""
    name = f"entry {index}"
    if Guard.LOST_ANSWER_REREAD not in rules:
        yield f"{name} assumes its write", _change(state, index, done)
    elif state.holder == index and state.stored is stored:
        following = _change(state, index, done, seen=state.revision)
        yield f"{name} finds its write", following
    elif state.holder == index and state.stored is Stored.CLAIMED:
        following = _change(state, index, Step.CLAIMED, seen=state.revision)
        yield f"{name} finds its claim unchanged", following
    elif state.stored is Stored.NONE:
        yield f"{name} finds no claim", _change(state, index, Step.READ)
    else:
        yield f"{name} finds another's claim", _change(state, index, Step.TOLD)


def _wait(state: State, index: int, rules: Rules) -> Iterator[tuple[str, State]]:
    call = state.calls[index]
    if call.refused:
        yield f"entry {index} reads 'not run'", _change(state, index, Step.REFUSED)
    yield f"entry {index} times out", _change(state, index, Step.GAVE_UP)


def _use_refusal(state: State, index: int) -> Iterator[tuple[str, State]]:
    """Send to another target, or record and tell: the target's refusal is proof."""
    call = state.calls[index]
    name = f"entry {index}"
    again = _change(
        state, index, Step.SENT, in_flight=call.in_flight + 1, refused=False
    )
    if call.in_flight == 0:
        yield f"{name} sends to another target", again
    told = _change(state, index, Step.TOLD_NOT_RUN)
    mine = state.holder == index and state.stored is Stored.DISPATCHED
    if mine and state.writes < MAX_WRITES:
        yield f"{name} records and tells 'not run'", _write(told, index, Stored.NOT_RUN)
    yield f"{name} tells 'not run'", told


def _end_unknown(state: State, index: int, rules: Rules) -> Iterator[tuple[str, State]]:
    name = f"entry {index}"
    told = _change(state, index, Step.TOLD)
    if state.holder == index and state.writes < MAX_WRITES:
        yield f"{name} records and tells 'unknown'", _write(told, index, Stored.FINAL)
    yield f"{name} tells 'unknown'", told
    if Guard.REDISPATCH_ONLY_IF_PROVED_NOT_RUN not in rules:
        in_flight = state.calls[index].in_flight + 1
        following = _change(state, index, Step.SENT, in_flight=in_flight)
        yield f"{name} sends again, unproved", following
    if Guard.NOT_RUN_ONLY_IF_PROVED not in rules:
        following = _change(state, index, Step.TOLD_NOT_RUN)
        yield f"{name} tells 'not run', unproved", following


def _refuse_early(
    state: State, index: int, rules: Rules
) -> Iterator[tuple[str, State]]:
    """End the call before it has sent anything, so that 'not run' is true."""
    following = _change(state, index, Step.TOLD_NOT_RUN)
    yield f"entry {index} refuses before sending", following


def _arrive(state: State, index: int) -> Iterator[tuple[str, State]]:
    call = state.calls[index]
    if not call.in_flight:
        return
    step = call.step
    left = call.in_flight - 1
    ran = min(call.ran + 1, 2)
    yield (
        f"the target runs the request of entry {index}",
        _change(state, index, step, in_flight=left, ran=ran),
    )
    yield (
        f"the target refuses the request of entry {index}",
        _change(state, index, step, in_flight=left, refused=True),
    )
    yield (
        f"the request of entry {index} is lost",
        _change(state, index, step, in_flight=left),
    )


def _list_expiry(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    """Expire the claim; with the guard on, only when no call can still send."""
    if state.stored is Stored.NONE or state.writes >= MAX_WRITES:
        return
    over = all(
        call.step in (Step.TOLD, Step.TOLD_NOT_RUN, Step.READ) and not call.in_flight
        for call in state.calls
    )
    retried = any(call.step is Step.READ for call in state.calls)
    if Guard.CLAIM_OUTLIVES_RETRIES in rules and (retried or not over):
        return
    yield "the claim expires", replace(state, stored=Stored.NONE, holder=-1, revision=0)


def runs_at_most_once(state: State) -> bool:
    """Whether the requests of both calls have run at most once in total."""
    return sum(call.ran for call in state.calls) <= 1


def not_run_is_true(state: State) -> bool:
    """Whether no call that was told 'not run' has run or still can."""
    return not any(
        call.step is Step.TOLD_NOT_RUN and (call.ran or call.in_flight)
        for call in state.calls
    )


MODEL = Model(
    name="claims",
    initial=State(),
    steps=list_steps,
    properties={
        "a non-idempotent request runs at most once": runs_at_most_once,
        "'not run' is true": not_run_is_true,
    },
    witnesses={
        "a request runs": lambda state: any(call.ran for call in state.calls),
        "a second entry takes over a claim": lambda state: (
            state.holder == 1 and state.calls[0].step is Step.CLAIMED
        ),
        "a refused request runs elsewhere": lambda state: any(
            call.ran and call.step is Step.TOLD and state.revision > 2
            for call in state.calls
        ),
    },
    guards=(
        Guard.CLAIM_BEFORE_DISPATCH,
        Guard.CLAIM_COMPARED,
        Guard.DISPATCH_RECORDED_BEFORE_SEND,
        Guard.DISPATCH_RECORD_COMPARED,
        Guard.LOST_ANSWER_REREAD,
        Guard.REDISPATCH_ONLY_IF_PROVED_NOT_RUN,
        Guard.NOT_RUN_ONLY_IF_PROVED,
        Guard.CLAIM_OUTLIVES_RETRIES,
    ),
)

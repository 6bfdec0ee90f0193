"""No accepted setting is overwritten unseen, and no process applies an older one.

Three operators change one path at once: two set a value and the third removes it; each
has read the value at some time before. The store may lose the answer to a change
before or after its effect, or apply the change after its author has read again. A
process lists the path and watches it, while old peers relay any value that was ever in
force.

Left out: more paths, validation of values, and how a gap in a broken watch is detected;
a watch here delivers late but in order.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum

from specification.explore import Model, Rules
from specification.guards import Guard


class Step(Enum):
    """The state of one operator's change."""

    READ = "read"
    WRITE = "write"
    LOST = "lost"
    TOLD_DONE = "told done"
    TOLD_NOT_DONE = "told not done"
    TOLD_MAYBE = "told maybe"


@dataclass(frozen=True, slots=True)
class Change:
    """One accepted change; its place in the history is the store's revision.

    Attributes:
        author: Index of the operator who made it; -1 for the initial value.
        revision: The setting's own revision, rising by one.
        removed: Whether the key was deleted, which only happens with the guard off.
    """

    author: int = -1
    revision: int = 1
    removed: bool = False


@dataclass(frozen=True, slots=True)
class Operator:
    """One operator.

    Attributes:
        seen: Length of the history when the operator read it.
        late: Whether the lost write may still take effect.
    """

    step: Step = Step.READ
    seen: int = 0
    late: bool = False


@dataclass(frozen=True, slots=True)
class State:
    """The store's history, the operators, and one process that watches it.

    Attributes:
        undone: Whether a change overwrote one that its author had not seen.
        listed: Length of the history when the process listed the path; 0 before.
        watched: Length of the history that the watch has delivered; 0 before.
        applied: Position in the history of the change in force in the process.
        highest: The setting's own revision in force in the process.
        went_back: Whether the process ever applied an older change.
    """

    history: tuple[Change, ...] = (Change(),)
    operators: tuple[Operator, Operator, Operator] = (
        Operator(),
        Operator(),
        Operator(),
    )
    undone: bool = False
    listed: int = 0
    watched: int = 0
    applied: int = 0
    highest: int = 0
    went_back: bool = False


REMOVER = 2


def list_steps(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    """Yield every possible next step."""
    for index in range(len(state.operators)):
        yield from _list_operator(state, index, rules)
    yield from _list_process(state, rules)


def _put_operator(state: State, index: int, **changes: object) -> State:
    operators = list(state.operators)
    operators[index] = replace(operators[index], **changes)  # type: ignore[arg-type]
    return replace(state, operators=(operators[0], operators[1], operators[2]))


def _list_operator(
    state: State, index: int, rules: Rules
) -> Iterator[tuple[str, State]]:
    operator = state.operators[index]
    name = f"operator {index}"
    if operator.step is Step.READ:
        seen = len(state.history)
        following = _put_operator(state, index, step=Step.WRITE, seen=seen)
        yield f"{name} reads the setting", following
    elif operator.step is Step.WRITE:
        yield from _write(state, index, rules)
    elif operator.step is Step.LOST:
        yield from _resolve_lost(state, index, rules)
    if operator.late:
        landed = _put_operator(_accept(state, index, rules), index, late=False)
        yield f"the lost change of {name} arrives", landed


def _accept(state: State, index: int, rules: Rules) -> State:
    """Return the state after a change reaches the store, accepted or not."""
    seen = state.operators[index].seen
    if Guard.CHANGE_COMPARED in rules and seen != len(state.history):
        return state
    latest = state.history[-1]
    revision = 1 if latest.removed else latest.revision + 1
    removed = index == REMOVER and Guard.REMOVAL_KEEPS_REVISION not in rules
    change = Change(index, 0 if removed else revision, removed)
    return replace(
        state,
        history=(*state.history, change),
        undone=state.undone or seen != len(state.history),
    )


def _write(state: State, index: int, rules: Rules) -> Iterator[tuple[str, State]]:
    name = f"operator {index} changes the setting"
    accepted = _accept(state, index, rules)
    done = len(accepted.history) > len(state.history)
    told = Step.TOLD_DONE if done else Step.TOLD_NOT_DONE
    yield f"{name}: {told.value}", _put_operator(accepted, index, step=told)
    yield f"{name}: lost", _put_operator(state, index, step=Step.LOST)
    on_its_way = _put_operator(state, index, step=Step.LOST, late=True)
    yield f"{name}: delayed", on_its_way
    if done:
        with_effect = _put_operator(accepted, index, step=Step.LOST)
        yield f"{name}: lost, with effect", with_effect


def _resolve_lost(
    state: State, index: int, rules: Rules
) -> Iterator[tuple[str, State]]:
    """Read again: an own audit entry proves it done, another revision not done."""
    name = f"operator {index}"
    if Guard.LOST_CHANGE_REREAD not in rules:
        following = _put_operator(state, index, step=Step.TOLD_NOT_DONE)
        yield f"{name} takes the change as not done", following
        return
    own = any(change.author == index for change in state.history)
    moved = len(state.history) > state.operators[index].seen
    if own:
        told = Step.TOLD_DONE
    elif moved or Guard.LOST_WRITE_NOT_DISPROVED not in rules:
        told = Step.TOLD_NOT_DONE
    else:
        told = Step.TOLD_MAYBE
    yield f"{name} reads again: {told.value}", _put_operator(state, index, step=told)


def _list_process(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    length = len(state.history)
    if not state.listed:
        applied = _apply(replace(state, listed=length), length, rules)
        yield "the process lists the setting", applied
        return
    if not state.watched:
        kept = Guard.WATCH_FROM_LISTED_REVISION in rules
        watching = replace(state, watched=state.listed if kept else length)
        yield "the process opens its watch", watching
    elif state.watched < length:
        place = state.watched + 1
        applied = _apply(replace(state, watched=place), place, rules)
        yield f"the watch shows change {place}", applied
    for place in range(1, length + 1):
        if not state.history[place - 1].removed:
            yield f"an old peer relays change {place}", _apply(state, place, rules)


def _apply(state: State, place: int, rules: Rules) -> State:
    change = state.history[place - 1]
    higher = change.removed or change.revision > state.highest
    if not higher and Guard.HIGHER_REVISION_ONLY in rules:
        return state
    went_back = state.went_back or place < state.applied
    return replace(state, applied=place, highest=change.revision, went_back=went_back)


def _is_told_truth(state: State) -> bool:
    authors = [change.author for change in state.history]
    return all(
        (operator.step is not Step.TOLD_DONE or index in authors)
        and (operator.step is not Step.TOLD_NOT_DONE or index not in authors)
        for index, operator in enumerate(state.operators)
    )


def _is_in_force(state: State) -> bool:
    """Whether a process whose watch is up to date has the latest change in force."""
    quiet = state.watched == len(state.history)
    return not quiet or state.applied == len(state.history)


MODEL = Model(
    name="settings",
    initial=State(),
    steps=list_steps,
    properties={
        "no change overwrites one that its author had not seen": lambda state: (
            not state.undone
        ),
        "a process never applies an older change": lambda state: not state.went_back,
        "an accepted change comes into force": _is_in_force,
        "an operator is told the true outcome": _is_told_truth,
    },
    witnesses={
        "three changes are accepted": lambda state: len(state.history) == 4,
        "an operator is refused": lambda state: any(
            operator.step is Step.TOLD_NOT_DONE for operator in state.operators
        ),
        "a change arrives after 'maybe'": lambda state: any(
            operator.step is Step.TOLD_MAYBE
            and any(change.author == index for change in state.history)
            for index, operator in enumerate(state.operators)
        ),
        "the latest change is in force": lambda state: (
            state.applied == len(state.history) == 4
        ),
    },
    guards=(
        Guard.CHANGE_COMPARED,
        Guard.HIGHER_REVISION_ONLY,
        Guard.LOST_CHANGE_REREAD,
        Guard.LOST_WRITE_NOT_DISPROVED,
        Guard.REMOVAL_KEEPS_REVISION,
        Guard.WATCH_FROM_LISTED_REVISION,
    ),
)

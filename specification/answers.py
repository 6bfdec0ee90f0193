"""A caller gets the whole answer to the own request, or an honest failure.

One entry sends two callers' requests over one connection. It may give up on the
first and use the connection for the second while the first answer is still on its
way; answers may come crossed, and cut short when the target dies.

Left out: more connections, and targets that write wrong ids.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum

from specification.explore import Model, Rules
from specification.guards import Guard


@dataclass(frozen=True, slots=True)
class Answer:
    """One answer on its way.

    Attributes:
        request: Index of the request that it answers.
        whole: Whether all of its bytes are there.
    """

    request: int
    whole: bool


class Waiting(Enum):
    """How one caller stands."""

    NOT_SENT = "not sent"
    SENT = "sent"
    FAILED = "failed"
    ANSWERED = "answered"


@dataclass(frozen=True, slots=True)
class State:
    """The callers, and what is on the connection.

    Attributes:
        at_target: Whether the target still has to answer each request.
        given: The answer that each caller got.
    """

    callers: tuple[Waiting, Waiting] = (Waiting.NOT_SENT, Waiting.NOT_SENT)
    at_target: tuple[bool, bool] = (False, False)
    travelling: frozenset[Answer] = frozenset()
    given: tuple[Answer | None, Answer | None] = (None, None)


def list_steps(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    """Yield all that may happen next."""
    for index in (0, 1):
        caller = state.callers[index]
        if caller is Waiting.NOT_SENT:
            sent = _put_caller(state, index, Waiting.SENT)
            sent = replace(sent, at_target=_put(state.at_target, index, True))
            yield f"request {index} is sent", sent
        if caller is Waiting.SENT:
            given_up = _put_caller(state, index, Waiting.FAILED)
            yield f"the entry gives up on request {index}", given_up
        if state.at_target[index]:
            yield from _answer(state, index)
    for answer in state.travelling:
        yield from _read(state, answer, rules)


def _put(pair: tuple, index: int, value: object) -> tuple:
    changed = list(pair)
    changed[index] = value
    return tuple(changed)


def _put_caller(state: State, index: int, waiting: Waiting) -> State:
    return replace(state, callers=_put(state.callers, index, waiting))


def _answer(state: State, index: int) -> Iterator[tuple[str, State]]:
    answered = replace(state, at_target=_put(state.at_target, index, False))
    for whole in (True, False):
        travelling = state.travelling | {Answer(index, whole)}
        label = "answers" if whole else "answers in part"
        following = replace(answered, travelling=travelling)
        yield f"the target {label} request {index}", following


def _read(state: State, answer: Answer, rules: Rules) -> Iterator[tuple[str, State]]:
    """Read one answer while some request is waited for."""
    rest = replace(state, travelling=state.travelling - {answer})
    for index in (0, 1):
        if state.callers[index] is not Waiting.SENT:
            continue
        own = answer.request == index or Guard.ANSWER_ID_CHECKED not in rules
        whole = answer.whole or Guard.ANSWER_LENGTH_CHECKED not in rules
        if own and whole:
            given = _put_caller(rest, index, Waiting.ANSWERED)
            given = replace(given, given=_put(state.given, index, answer))
            yield f"caller {index} is given an answer", given
        elif own:
            failed = _put_caller(rest, index, Waiting.FAILED)
            yield f"caller {index} is told that the answer was cut short", failed
        else:
            yield "an answer to another request is dropped", rest


MODEL = Model(
    name="answers",
    initial=State(),
    steps=list_steps,
    properties={
        "a caller gets the own answer": lambda state: all(
            answer is None or answer.request == index
            for index, answer in enumerate(state.given)
        ),
        "a caller gets the whole answer": lambda state: all(
            answer is None or answer.whole for answer in state.given
        ),
    },
    witnesses={
        "both callers are answered": lambda state: None not in state.given,
        "an answer comes after its request was given up": lambda state: any(
            state.callers[answer.request] is Waiting.FAILED
            for answer in state.travelling
        ),
    },
    guards=(Guard.ANSWER_ID_CHECKED, Guard.ANSWER_LENGTH_CHECKED),
)

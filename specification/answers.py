"""A caller gets the whole answer to its own request, or a true error.

One entry sends two callers' requests over one connection. The first may time out and
the connection carry the second while the first answer is still in flight; answers may
arrive swapped, or truncated when the target dies.

Left out: more connections, and targets that write wrong ids.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum

from specification.explore import Model, Rules
from specification.guards import Guard


@dataclass(frozen=True, slots=True)
class Answer:
    """One answer in flight.

    Attributes:
        request: Index of the request that it answers.
        whole: Whether it is complete, not truncated.
    """

    request: int
    whole: bool


class CallerState(Enum):
    """The state of one caller."""

    NOT_SENT = "not sent"
    SENT = "sent"
    FAILED = "failed"
    ANSWERED = "answered"


@dataclass(frozen=True, slots=True)
class State:
    """The callers, and the answers in flight on the connection.

    Attributes:
        at_target: Whether the target still has to answer each request.
        received: The answer that each caller received.
    """

    callers: tuple[CallerState, CallerState] = (
        CallerState.NOT_SENT,
        CallerState.NOT_SENT,
    )
    at_target: tuple[bool, bool] = (False, False)
    in_flight: frozenset[Answer] = frozenset()
    received: tuple[Answer | None, Answer | None] = (None, None)


def list_steps(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    """Yield every possible next step."""
    for index in (0, 1):
        caller = state.callers[index]
        if caller is CallerState.NOT_SENT:
            sent = _put_caller(state, index, CallerState.SENT)
            sent = replace(sent, at_target=_put(state.at_target, index, True))
            yield f"request {index} is sent", sent
        if caller is CallerState.SENT:
            failed = _put_caller(state, index, CallerState.FAILED)
            yield f"the entry times out on request {index}", failed
        if state.at_target[index]:
            yield from _answer(state, index)
    for answer in state.in_flight:
        yield from _read(state, answer, rules)


def _put(pair: tuple, index: int, value: object) -> tuple:
    changed = list(pair)
    changed[index] = value
    return tuple(changed)


def _put_caller(state: State, index: int, waiting: CallerState) -> State:
    return replace(state, callers=_put(state.callers, index, waiting))


def _answer(state: State, index: int) -> Iterator[tuple[str, State]]:
    answered = replace(state, at_target=_put(state.at_target, index, False))
    for whole in (True, False):
        in_flight = state.in_flight | {Answer(index, whole)}
        label = "answers" if whole else "sends a truncated answer to"
        following = replace(answered, in_flight=in_flight)
        yield f"the target {label} request {index}", following


def _read(state: State, answer: Answer, rules: Rules) -> Iterator[tuple[str, State]]:
    """Yield how each caller that waits may read one answer."""
    rest = replace(state, in_flight=state.in_flight - {answer})
    for index in (0, 1):
        if state.callers[index] is not CallerState.SENT:
            continue
        own = answer.request == index or Guard.ANSWER_ID_CHECKED not in rules
        whole = answer.whole or Guard.ANSWER_LENGTH_CHECKED not in rules
        if own and whole:
            received = _put_caller(rest, index, CallerState.ANSWERED)
            received = replace(received, received=_put(state.received, index, answer))
            yield f"caller {index} receives an answer", received
        elif own:
            failed = _put_caller(rest, index, CallerState.FAILED)
            yield f"caller {index} is told that the answer was truncated", failed
        else:
            yield "an answer to another request is dropped", rest


MODEL = Model(
    name="answers",
    initial=State(),
    steps=list_steps,
    properties={
        "a caller gets its own answer": lambda state: all(
            answer is None or answer.request == index
            for index, answer in enumerate(state.received)
        ),
        "a caller gets the whole answer": lambda state: all(
            answer is None or answer.whole for answer in state.received
        ),
    },
    witnesses={
        "both callers are answered": lambda state: None not in state.received,
        "an answer arrives after its request timed out": lambda state: any(
            state.callers[answer.request] is CallerState.FAILED
            for answer in state.in_flight
        ),
    },
    guards=(Guard.ANSWER_ID_CHECKED, Guard.ANSWER_LENGTH_CHECKED),
)

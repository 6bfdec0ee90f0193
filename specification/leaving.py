"""A target that is leaving gets no new work after a few seconds.

The VM list or the target itself may be first to say that it leaves, and the other
one may never say so. A process of ours learns from each within one poll. A placer
prepares the members of a gang as soon as it has chosen their workers; an entry may
choose a target for a request and send it much later, when a connection comes free.
Time passes in whole ticks.

Left out: a sleep of a process between the last check and sending; the target's own
refusal answers that.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace

from specification.explore import Model, Rules
from specification.guards import Guard

POLL_TICKS = 2
BOUND_TICKS = 2
OLD = BOUND_TICKS + 1


@dataclass(frozen=True, slots=True)
class Source:
    """The VM list, or the target's own word.

    Attributes:
        age: Ticks since it said that the target leaves; -1 while it has not.
        known: Whether the entry has read it.
    """

    age: int = -1
    known: bool = False


@dataclass(frozen=True, slots=True)
class State:
    """Both sources, and one request.

    Attributes:
        chosen: Whether the target is chosen for the request, not yet sent.
        sent: Whether any work was sent.
        sent_late: Whether work was sent past the bound.
    """

    listed: Source = Source()
    told: Source = Source()
    chosen: bool = False
    sent: bool = False
    sent_late: bool = False


def list_steps(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    """Yield all that may happen next."""
    yield from _list_sources(state)
    yield (
        "time passes",
        replace(state, listed=_age(state.listed), told=_age(state.told)),
    )
    yield from _list_work(state, rules)


def _list_sources(state: State) -> Iterator[tuple[str, State]]:
    if state.listed.age < 0:
        yield "the VM list shows the target leaving", replace(state, listed=Source(0))
    elif not state.listed.known:
        known = replace(state.listed, known=True)
        yield "the entry reads the VM list", replace(state, listed=known)
    if state.told.age < 0:
        yield "the target says that it leaves", replace(state, told=Source(0))
    elif not state.told.known:
        known = replace(state.told, known=True)
        yield "the entry hears the target", replace(state, told=known)


def _age(source: Source) -> Source:
    if source.age < 0:
        return source
    age = min(source.age + 1, OLD)
    return Source(age, source.known or age >= POLL_TICKS)


def _list_work(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    words = (state.listed.known, state.told.known)
    leaving = any(words)
    if Guard.LEAVING_FROM_EITHER_SOURCE not in rules:
        leaving = all(words)
    if not leaving or Guard.LEAVING_EXCLUDED not in rules:
        yield "the placer prepares a gang's member", _send(state)
    if not state.chosen:
        if not leaving:
            yield "the entry chooses the target", replace(state, chosen=True)
    elif leaving and Guard.LEAVING_CHECKED_AT_SEND in rules:
        yield "the entry chooses another target", replace(state, chosen=False)
    else:
        yield "the entry sends a request", replace(_send(state), chosen=False)


def _send(state: State) -> State:
    late = max(state.listed.age, state.told.age) > BOUND_TICKS
    return replace(state, sent=True, sent_late=state.sent_late or late)


MODEL = Model(
    name="leaving",
    initial=State(),
    steps=list_steps,
    properties={
        "a leaving target gets nothing new after the bound": lambda state: (
            not state.sent_late
        ),
    },
    witnesses={
        "work is sent to a target that leaves": lambda state: (
            state.sent and state.listed.age > 0
        ),
        "work goes elsewhere at the last check": lambda state: (
            state.chosen and state.told.known
        ),
    },
    guards=(
        Guard.LEAVING_EXCLUDED,
        Guard.LEAVING_FROM_EITHER_SOURCE,
        Guard.LEAVING_CHECKED_AT_SEND,
    ),
)

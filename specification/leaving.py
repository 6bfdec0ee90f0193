"""A target that is leaving gets no new work after a few seconds.

Either the VM list or the target itself may report first that it leaves, and the other
may never report it. Our processes learn of each report within one poll. A placer
prepares the members of a gang as soon as it has chosen their workers; an entry may
choose a target for a request and send it much later, when a connection is free. Time
passes in whole ticks.

Left out: a pause of a process between the last check and sending; the target's own
refusal covers that.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace

from specification.explore import Model, Rules
from specification.guards import Guard

POLL_TICKS = 2
BOUND_TICKS = 2
MAX_AGE_TICKS = BOUND_TICKS + 1


@dataclass(frozen=True, slots=True)
class Source:
    """The VM list, or the target's own report.

    Attributes:
        age: Ticks since it reported that the target leaves; -1 before.
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
    announced: Source = Source()
    chosen: bool = False
    sent: bool = False
    sent_late: bool = False


def list_steps(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    """Yield every possible next step."""
    yield from _list_sources(state)
    yield (
        "time passes",
        replace(state, listed=_age(state.listed), announced=_age(state.announced)),
    )
    yield from _list_work(state, rules)


def _list_sources(state: State) -> Iterator[tuple[str, State]]:
    if state.listed.age < 0:
        yield "the VM list shows the target leaving", replace(state, listed=Source(0))
    elif not state.listed.known:
        known = replace(state.listed, known=True)
        yield "the entry reads the VM list", replace(state, listed=known)
    if state.announced.age < 0:
        yield "the target reports that it leaves", replace(state, announced=Source(0))
    elif not state.announced.known:
        known = replace(state.announced, known=True)
        yield "the entry reads the target's report", replace(state, announced=known)


def _age(source: Source) -> Source:
    if source.age < 0:
        return source
    age = min(source.age + 1, MAX_AGE_TICKS)
    return Source(age, source.known or age >= POLL_TICKS)


def _list_work(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    sources = (state.listed.known, state.announced.known)
    leaving = any(sources)
    if Guard.LEAVING_FROM_EITHER_SOURCE not in rules:
        leaving = all(sources)
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
    late = max(state.listed.age, state.announced.age) > BOUND_TICKS
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
        "work is sent to a leaving target": lambda state: (
            state.sent and state.listed.age > 0
        ),
        "the check at sending diverts work": lambda state: (
            state.chosen and state.announced.known
        ),
    },
    guards=(
        Guard.LEAVING_EXCLUDED,
        Guard.LEAVING_FROM_EITHER_SOURCE,
        Guard.LEAVING_CHECKED_AT_SEND,
    ),
)

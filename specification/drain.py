"""A process that ends cuts off nothing: not a request, not a gang start.

The balancer sends requests while it believes that the process is ready; it learns
otherwise within its lag. A request that the balancer has sent arrives within the
same tick. A placer may be anywhere in a gang start when it is told to end.

Left out: a request that takes longer than the platform lets a process end, and
connections that the balancer keeps open and reuses.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum

from specification.explore import Model, Rules
from specification.guards import Guard

LAG_TICKS = 2
MAX_REQUESTS = 2


class Gang(Enum):
    """How far the placer's gang start has come."""

    NONE = "none"
    HELD = "held"
    RECORDED = "recorded"
    HALF_GONE = "half gone"
    GONE = "gone"


NEXT_STAGE = {
    Gang.NONE: Gang.HELD,
    Gang.HELD: Gang.RECORDED,
    Gang.RECORDED: Gang.HALF_GONE,
    Gang.HALF_GONE: Gang.GONE,
}


@dataclass(frozen=True, slots=True)
class State:
    """One process, and the balancer's view of it.

    Attributes:
        unready: Ticks since readiness was turned off; -1 before.
        routed: Whether the balancer sends to the process.
        travelling: Whether a request is on its way.
        running: Requests in progress.
        cut: Whether a request was refused a connection or ended half-way.
    """

    ending: bool = False
    unready: int = -1
    routed: bool = True
    travelling: bool = False
    running: int = 0
    listening: bool = True
    exited: bool = False
    cut: bool = False
    gang: Gang = Gang.NONE
    owns: bool = True


def list_steps(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    """Yield all that may happen next."""
    yield from _list_balancer(state)
    if state.exited:
        return
    yield from _list_work(state)
    if not state.ending:
        yield "the process is told to end", replace(state, ending=True)
        return
    if state.unready < 0:
        yield "readiness goes off", replace(state, unready=0)
    if state.listening and _may_stop_listening(state, rules):
        yield "the process stops listening", replace(state, listening=False)
    if state.owns and state.gang in (Gang.NONE, Gang.GONE):
        yield "the placer gives up its cell", replace(state, owns=False)
    if not state.listening and _may_exit(state, rules):
        cut = state.cut or state.running > 0
        yield "the process exits", replace(state, exited=True, cut=cut)


def _list_balancer(state: State) -> Iterator[tuple[str, State]]:
    if state.routed and not state.travelling:
        yield "the balancer sends a request", replace(state, travelling=True)
    if state.travelling and not state.listening:
        refused = replace(state, travelling=False, cut=True)
        yield "a request is refused a connection", refused
    elif state.travelling and state.running < MAX_REQUESTS:
        running = state.running + 1
        arrived = replace(state, travelling=False, running=running)
        yield "a request arrives", arrived
    if state.routed and state.unready >= 0:
        yield "the balancer sees it", replace(state, routed=False)
    if not state.travelling:
        yield "time passes", _pass_time(state)


def _pass_time(state: State) -> State:
    if state.unready < 0:
        return state
    unready = min(state.unready + 1, LAG_TICKS + 1)
    return replace(state, unready=unready, routed=state.routed and unready < LAG_TICKS)


def _list_work(state: State) -> Iterator[tuple[str, State]]:
    if state.running:
        yield "a request ends", replace(state, running=state.running - 1)
    started = state.gang is not Gang.NONE
    if state.gang in NEXT_STAGE and state.owns and (started or not state.ending):
        following = NEXT_STAGE[state.gang]
        yield f"the gang start: {following.value}", replace(state, gang=following)


def _may_stop_listening(state: State, rules: Rules) -> bool:
    if state.unready < 0:
        return Guard.READINESS_OFF_FIRST not in rules
    waited = state.unready > LAG_TICKS
    return waited or Guard.LISTEN_WHILE_BALANCER_LAGS not in rules


def _may_exit(state: State, rules: Rules) -> bool:
    idle = state.running == 0 or Guard.DRAIN_BEFORE_EXIT not in rules
    handed_over = not state.owns or Guard.HAND_OVER_BEFORE_EXIT not in rules
    return idle and handed_over


MODEL = Model(
    name="drain",
    initial=State(),
    steps=list_steps,
    properties={
        "a graceful end cuts off no request": lambda state: not state.cut,
        "a graceful end leaves no gang start half done": lambda state: (
            not (state.exited and state.gang not in (Gang.NONE, Gang.GONE))
        ),
    },
    witnesses={
        "a process ends after it has served": lambda state: (
            state.exited and state.gang is Gang.GONE
        ),
        "a request arrives while readiness is off": lambda state: (
            state.unready > 0 and state.travelling
        ),
    },
    guards=(
        Guard.READINESS_OFF_FIRST,
        Guard.LISTEN_WHILE_BALANCER_LAGS,
        Guard.DRAIN_BEFORE_EXIT,
        Guard.HAND_OVER_BEFORE_EXIT,
    ),
)

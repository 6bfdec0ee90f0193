"""A graceful shutdown interrupts no request and no gang start.

The load balancer routes requests to the process until it sees, within its lag, that
the process is not ready. A request that it has sent arrives within the same tick. A
placer may be at any stage of a gang start when it is told to shut down.

Left out: a request that takes longer than the platform's shutdown grace period, and
connections that the balancer keeps open and reuses.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum

from specification.explore import Model, Rules
from specification.guards import Guard

LAG_TICKS = 2
MAX_REQUESTS = 2


class GangStart(Enum):
    """The stage of the placer's gang start."""

    NONE = "none"
    HELD = "held"
    RECORDED = "recorded"
    HALF_GONE = "half gone"
    GONE = "gone"


NEXT_STAGE = {
    GangStart.NONE: GangStart.HELD,
    GangStart.HELD: GangStart.RECORDED,
    GangStart.RECORDED: GangStart.HALF_GONE,
    GangStart.HALF_GONE: GangStart.GONE,
}


@dataclass(frozen=True, slots=True)
class State:
    """One process, and the balancer's view of it.

    Attributes:
        unready_ticks: Ticks since readiness was turned off; -1 before.
        routed: Whether the balancer routes requests to the process.
        in_flight: Whether a request is in flight to the process.
        running: Requests in progress.
        cut: Whether a request was refused a connection or interrupted.
    """

    ending: bool = False
    unready_ticks: int = -1
    routed: bool = True
    in_flight: bool = False
    running: int = 0
    listening: bool = True
    exited: bool = False
    cut: bool = False
    gang: GangStart = GangStart.NONE
    owns: bool = True


def list_steps(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    """Yield every possible next step."""
    yield from _list_balancer(state)
    if state.exited:
        return
    yield from _list_work(state)
    if not state.ending:
        yield "the process is told to shut down", replace(state, ending=True)
        return
    if state.unready_ticks < 0:
        yield "readiness is turned off", replace(state, unready_ticks=0)
    if state.listening and _may_stop_listening(state, rules):
        yield "the process stops listening", replace(state, listening=False)
    if state.owns and state.gang in (GangStart.NONE, GangStart.GONE):
        yield "the placer resigns its cell", replace(state, owns=False)
    if not state.listening and _may_exit(state, rules):
        cut = state.cut or state.running > 0
        yield "the process exits", replace(state, exited=True, cut=cut)


def _list_balancer(state: State) -> Iterator[tuple[str, State]]:
    if state.routed and not state.in_flight:
        yield "the balancer sends a request", replace(state, in_flight=True)
    if state.in_flight and not state.listening:
        refused = replace(state, in_flight=False, cut=True)
        yield "a request's connection is refused", refused
    elif state.in_flight and state.running < MAX_REQUESTS:
        running = state.running + 1
        arrived = replace(state, in_flight=False, running=running)
        yield "a request arrives", arrived
    if state.routed and state.unready_ticks >= 0:
        yield "the balancer sees that it is not ready", replace(state, routed=False)
    if not state.in_flight:
        yield "time passes", _pass_time(state)


def _pass_time(state: State) -> State:
    if state.unready_ticks < 0:
        return state
    unready_ticks = min(state.unready_ticks + 1, LAG_TICKS + 1)
    return replace(
        state,
        unready_ticks=unready_ticks,
        routed=state.routed and unready_ticks < LAG_TICKS,
    )


def _list_work(state: State) -> Iterator[tuple[str, State]]:
    if state.running:
        yield "a request ends", replace(state, running=state.running - 1)
    started = state.gang is not GangStart.NONE
    if state.gang in NEXT_STAGE and state.owns and (started or not state.ending):
        following = NEXT_STAGE[state.gang]
        yield f"the gang start: {following.value}", replace(state, gang=following)


def _may_stop_listening(state: State, rules: Rules) -> bool:
    if state.unready_ticks < 0:
        return Guard.READINESS_OFF_FIRST not in rules
    waited = state.unready_ticks > LAG_TICKS
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
            not (state.exited and state.gang not in (GangStart.NONE, GangStart.GONE))
        ),
    },
    witnesses={
        "a process exits after a gang start": lambda state: (
            state.exited and state.gang is GangStart.GONE
        ),
        "a request arrives while readiness is off": lambda state: (
            state.unready_ticks > 0 and state.in_flight
        ),
    },
    guards=(
        Guard.READINESS_OFF_FIRST,
        Guard.LISTEN_WHILE_BALANCER_LAGS,
        Guard.DRAIN_BEFORE_EXIT,
        Guard.HAND_OVER_BEFORE_EXIT,
    ),
)

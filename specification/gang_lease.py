"""A gang that lost a member stops everywhere within one lease, and runs once.

A gang that may be restarted runs on two workers under leases, which three kinds of
process may renew: the first owner, which may pause past its own store lease; the
second owner, once that lease has lapsed in the store; and a caretaker, while the
store is down. Any poll or command may fail to reach any worker, at any time and
independently for each process; a process may pause between polling and renewing. A
worker may lose its task at any time. Time passes in whole ticks.

What the model shows: a renewal must not extend a lease by a full time to live from
when it is sent, but only to one time to live after the start of the last round that
saw the whole gang. Then a pause between polling and renewing is harmless, and the
bound on running in part is the lease itself, without another renewal interval.

Left out: the time that a command itself needs (it adds to the bound), clocks of
different speed, a caretaker that alone cannot reach a store that is up, further
owners, and whether the restart is recorded (see `gang_start`).
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace

from specification.explore import Model, Rules
from specification.guards import Guard

# Time to live of a lease on a worker, and of an owner's lease in the store.
TASK_TICKS = 4
OWNER_TICKS = 2


@dataclass(frozen=True, slots=True)
class Member:
    """One worker of the first attempt.

    Attributes:
        lease: Ticks until the lease lapses.
        fenced: Whether the worker has seen the second owner's epoch.
        known_stopped: Whether the second owner knows that the task has stopped.
    """

    running: bool = True
    lease: int = TASK_TICKS
    fenced: bool = False
    known_stopped: bool = False


@dataclass(frozen=True, slots=True)
class State:
    """The workers, the store and the processes that renew.

    Attributes:
        store_up: Whether the store answers.
        owner_lease: Ticks left of the first owner's lease in the store.
        taken_over: Whether the second owner owns the cell.
        first_age: Ticks since the first owner last saw the gang whole.
        second_age: Likewise for the second owner.
        caretaker_age: Likewise for the caretaker.
        waited: Ticks for which the second owner has owned the cell, the store has
            answered without interruption, and it has not seen the gang whole.
        restarted: Whether another attempt of the gang runs elsewhere.
        partial_ticks: Full ticks for which one member has run without the other.
    """

    members: tuple[Member, Member] = (Member(), Member())
    store_up: bool = True
    owner_lease: int = OWNER_TICKS
    taken_over: bool = False
    first_age: int = 0
    second_age: int = TASK_TICKS
    caretaker_age: int = TASK_TICKS
    waited: int = 0
    restarted: bool = False
    partial_ticks: int = 0


def list_steps(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    """Yield every possible next step."""
    if state.restarted:
        return
    yield "time passes", _pass_time(state, rules)
    yield from _list_store(state)
    yield from _list_first_owner(state, rules)
    yield from _list_caretaker(state, rules)
    if state.taken_over:
        yield from _list_second_owner(state, rules)
    for index in (0, 1):
        if state.members[index].running:
            yield f"worker {index} loses its task", _stop(state, index)


def _put_member(state: State, index: int, **changes: object) -> State:
    members = list(state.members)
    members[index] = replace(members[index], **changes)  # type: ignore[arg-type]
    return replace(state, members=(members[0], members[1]))


def _stop(state: State, index: int) -> State:
    return _put_member(state, index, running=False, lease=0)


def _is_partial(state: State) -> bool:
    return state.members[0].running != state.members[1].running


def _pass_time(state: State, rules: Rules) -> State:
    following = state
    for index in (0, 1):
        lease = max(following.members[index].lease - 1, 0)
        following = _put_member(following, index, lease=lease)
        if not lease and Guard.LEASE_LAPSE_STOPS_TASK in rules:
            following = _stop(following, index)
    still_partial = _is_partial(state) and _is_partial(following)
    waiting = state.taken_over and state.store_up
    return replace(
        following,
        owner_lease=max(state.owner_lease - 1, 0),
        first_age=min(state.first_age + 1, TASK_TICKS),
        second_age=min(state.second_age + 1, TASK_TICKS),
        caretaker_age=min(state.caretaker_age + 1, TASK_TICKS),
        waited=min(state.waited + 1, TASK_TICKS) if waiting else 0,
        partial_ticks=min(state.partial_ticks + 1, TASK_TICKS) if still_partial else 0,
    )


def _list_store(state: State) -> Iterator[tuple[str, State]]:
    if not state.store_up:
        yield "the store answers again", replace(state, store_up=True)
        return
    yield "the store goes down", replace(state, store_up=False, waited=0)
    if state.owner_lease:
        following = replace(state, owner_lease=OWNER_TICKS)
        yield "the first owner renews its own lease", following
    elif not state.taken_over:
        yield "the second owner takes over", replace(state, taken_over=True)


def _renew(state: State, index: int, age: int, whole: bool) -> State:
    """Extend a lease to one time to live after the gang was last seen whole.

    Without `whole`, extend it by one time to live from now.
    """
    member = state.members[index]
    ticks = TASK_TICKS - age if whole else TASK_TICKS
    return _put_member(state, index, lease=max(member.lease, ticks))


def _list_first_owner(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    if not state.owner_lease and Guard.OWNER_STOPS_ACTING_AT_LAPSE in rules:
        may_poll = False
    else:
        may_poll = True
    reachable = [member.running and not member.fenced for member in state.members]
    if may_poll and all(reachable):
        yield "the first owner sees the gang whole", replace(state, first_age=0)
    whole = Guard.RENEWED_ONLY_WHOLE in rules
    for index in (0, 1):
        if reachable[index] and (state.first_age < TASK_TICKS or not whole):
            following = _renew(state, index, state.first_age, whole)
            yield f"the first owner renews on worker {index}", following


def _list_caretaker(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    """A caretaker repeats the epoch that a worker reports, so it is never refused."""
    may_poll = not state.store_up or Guard.CARETAKER_ONLY_IN_OUTAGE not in rules
    running = [member.running for member in state.members]
    whole = Guard.CARETAKER_RENEWS_WHOLE in rules
    if may_poll and (all(running) or (any(running) and not whole)):
        yield "the caretaker sees what it renews", replace(state, caretaker_age=0)
    for index in (0, 1):
        if running[index] and state.caretaker_age < TASK_TICKS:
            following = _renew(state, index, state.caretaker_age, whole=True)
            yield f"the caretaker renews on worker {index}", following
    if may_poll and not all(running) and Guard.CARETAKER_ONLY_RENEWS not in rules:
        yield "the caretaker restarts the gang", replace(state, restarted=True)


def _list_second_owner(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    if all(member.running for member in state.members):
        seen = _put_member(state, 0, fenced=True)
        seen = _put_member(seen, 1, fenced=True)
        seen = replace(seen, second_age=0, waited=0)
        yield "the second owner sees the gang whole", seen
    for index in (0, 1):
        yield from _act_on_worker(state, index)
    yield from _restart(state, rules)


def _act_on_worker(state: State, index: int) -> Iterator[tuple[str, State]]:
    member = state.members[index]
    if member.running:
        fenced = _put_member(state, index, fenced=True)
        yield f"the second owner reaches worker {index}", fenced
        stopped = _put_member(_stop(fenced, index), index, known_stopped=True)
        yield f"the second owner stops worker {index}", stopped
    else:
        known_stopped = _put_member(state, index, fenced=True, known_stopped=True)
        yield f"the second owner sees that worker {index} stopped", known_stopped
    if member.running and state.second_age < TASK_TICKS:
        following = _renew(state, index, state.second_age, whole=True)
        yield f"the second owner renews on worker {index}", following


def _restart(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    lapsed = state.waited >= TASK_TICKS
    ended = all(member.known_stopped or lapsed for member in state.members)
    if not ended and Guard.RESTART_AFTER_LAPSE in rules:
        return
    if state.store_up:
        yield "the second owner restarts the gang", replace(state, restarted=True)


MODEL = Model(
    name="gang lease",
    initial=State(),
    steps=list_steps,
    properties={
        "a gang runs in part for less than one lease": lambda state: (
            state.partial_ticks < TASK_TICKS
        ),
        "two attempts of a gang never run at once": lambda state: (
            not (state.restarted and any(member.running for member in state.members))
        ),
    },
    witnesses={
        "a gang is restarted": lambda state: state.restarted,
        "a gang is restarted without an answer from any worker": lambda state: (
            state.restarted and not any(member.fenced for member in state.members)
        ),
        "the second owner keeps the gang": lambda state: (
            state.second_age == 0 and all(member.running for member in state.members)
        ),
        "the caretaker keeps the gang": lambda state: (
            not state.owner_lease
            and not state.store_up
            and all(member.running for member in state.members)
            and state.first_age == TASK_TICKS
        ),
        "a gang runs in part": lambda state: state.partial_ticks > 0,
    },
    guards=(
        Guard.LEASE_LAPSE_STOPS_TASK,
        Guard.RENEWED_ONLY_WHOLE,
        Guard.OWNER_STOPS_ACTING_AT_LAPSE,
        Guard.RESTART_AFTER_LAPSE,
        Guard.CARETAKER_ONLY_RENEWS,
        Guard.CARETAKER_RENEWS_WHOLE,
        Guard.CARETAKER_ONLY_IN_OUTAGE,
    ),
)

"""A task on the fleet never runs twice at once, nor again after its end counts.

One task, two workers, two successive owners, and a store. The owner records a run,
then sends its start; the start may arrive late, twice or never. A worker runs under a
lease that every poll extends, and keeps the end of a run until the end is
acknowledged. The second owner takes over once the first one's lease has lapsed in the
store; the first one may pause at any point and resume beside it. Any poll, start or
stop may fail to reach any worker: a step that is never taken models a partition. A
worker may crash, and its address then answers for its next incarnation.

Explored here without time, so that no lease lapses except the first owner's;
`fleet_lease` explores the same steps in whole ticks, without ends and stops. Both
together hold too, in 392,542 states, which takes two minutes and is therefore not
part of the check.

Left out: gangs (see `gang_start`), polls whose answers are reordered, further owners,
a lost answer from the store, a message's delay between the check of the owner's lease
and the worker, and whether every task ends.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum

from specification.explore import Model, Rules
from specification.guards import Guard

RUN_LIMIT = 2
# A worker's lease; the first owner's lease in the store, and how long after that it
# still extends workers' leases; how much a worker's clock may lose.
LEASE_TICKS = 2
OWNER_TICKS = 1
EXTENSION_TICKS = 1
SLOW_TICKS = 1
SILENCE_WAIT_TICKS = LEASE_TICKS + SLOW_TICKS
UNACQUIRED_WAIT_TICKS = EXTENSION_TICKS + LEASE_TICKS + SLOW_TICKS


class Phase(Enum):
    """The state of a task."""

    WAITING = 0
    ORDERED = 1
    DONE = 2


@dataclass(frozen=True, slots=True)
class Record:
    """The task's record in the store."""

    phase: Phase = Phase.WAITING
    run: int = 0
    worker: int = 0


@dataclass(frozen=True, slots=True)
class Incarnation:
    """One worker's incarnation.

    Attributes:
        run: The run in progress; 0 for none.
        stopping: Whether that run was stopped and has not ended yet.
        barred: Starts of runs up to this one are refused.
        ended: The run that has succeeded and is still reported; 0 for none.
        counts: Whether the lease has not expired since that end.
    """

    up: bool = True
    run: int = 0
    stopping: bool = False
    barred: int = 0
    ended: int = 0
    counts: bool = False
    fence: int = 1
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Start:
    """A start in flight, valid for some ticks of its worker's clock."""

    worker: int
    run: int
    fence: int
    ticks: int


@dataclass(frozen=True, slots=True)
class Owner:
    """One owner's view of the task.

    Attributes:
        belief: The record as the owner knows it.
        recorded: Whether the store has that record.
        sent: Whether it has sent the start of this run.
        restored: Whether the run was read from the record, ordered by the other owner.
        stopped: Whether the worker has answered a stop of this run.
        unacquired: Whether the worker has not yet answered this owner.
        silent_ticks: Ticks since it last extended the worker's lease, sent the start,
            decided the run or took over.
    """

    belief: Record = Record()
    recorded: bool = True
    sent: bool = False
    restored: bool = False
    stopped: bool = False
    unacquired: bool = False
    silent_ticks: int = 0


@dataclass(frozen=True, slots=True)
class State:
    """Workers, store and owners.

    Attributes:
        timed: Whether time passes and runs end only with a lease; otherwise no
            worker's lease expires.
        starts: Starts in flight.
        extension_ticks: Ticks for which the first owner may extend leases; it may send
            orders while more than EXTENSION_TICKS are left.
        second: The second owner, once it has taken over.
        late: An older record that the store may still write.
        lost_ticks: Ticks that the workers' clocks have lost in total.
        highest_begun: The highest run that has begun.
        end_counted: Whether an end that counts was acknowledged.
        ran_again: Whether a run began after an end that counts.
    """

    timed: bool = False
    incarnations: tuple[Incarnation, Incarnation] = (Incarnation(), Incarnation())
    record: Record = Record()
    starts: frozenset[Start] = frozenset()
    first: Owner = Owner()
    extension_ticks: int = OWNER_TICKS + EXTENSION_TICKS
    second: Owner | None = None
    late: Record | None = None
    lost_ticks: int = 0
    highest_begun: int = 0
    end_counted: bool = False
    ran_again: bool = False


Steps = Iterator[tuple[str, State]]


def list_steps(state: State, rules: Rules) -> Steps:
    """Yield every possible next step."""
    if state.ran_again or not runs_once(state):
        return
    if state.timed:
        yield "time passes", _pass_time(state, slow=None)
    elif state.extension_ticks > EXTENSION_TICKS:
        lapsed = replace(state, extension_ticks=EXTENSION_TICKS)
        yield "the first owner's lease lapses", lapsed
    for index in (0, 1):
        if not state.timed:
            yield from _list_incarnation(state, index)
        elif state.incarnations[index].lease and state.lost_ticks < SLOW_TICKS:
            yield f"clock {index} loses a tick", _pass_time(state, slow=index)
    for start in state.starts:
        yield from _deliver(state, start)
    yield from _list_store(state)
    for number in (1, 2):
        yield from _list_owner(state, number, rules)


def _put_incarnation(state: State, index: int, **changes: object) -> State:
    incarnation = replace(state.incarnations[index], **changes)  # type: ignore[arg-type]
    incarnations = (
        (incarnation, state.incarnations[1])
        if index == 0
        else (state.incarnations[0], incarnation)
    )
    return replace(state, incarnations=incarnations)


def _get_owner(state: State, number: int) -> Owner:
    owner = state.first if number == 1 else state.second
    assert owner is not None
    return owner


def _put_owner(state: State, number: int, **changes: object) -> State:
    owner = replace(_get_owner(state, number), **changes)  # type: ignore[arg-type]
    if number == 1:
        return replace(state, first=owner)
    return replace(state, second=owner)


def _pass_time(state: State, slow: int | None) -> State:
    following = state
    for index in (0, 1):
        if index != slow:
            following = _tick(following, index)
    starts = {
        start if start.worker == slow else replace(start, ticks=start.ticks - 1)
        for start in state.starts
    }
    # The second owner always renews its own lease; the first may, in a separate step.
    following = replace(
        following,
        starts=frozenset(start for start in starts if start.ticks > 0),
        extension_ticks=max(state.extension_ticks - 1, 0),
        lost_ticks=state.lost_ticks + (slow is not None),
    )
    for number in (1, 2):
        owner = following.first if number == 1 else following.second
        if owner is not None and owner.belief.phase is Phase.ORDERED:
            silent_ticks = min(
                owner.silent_ticks + 1,
                UNACQUIRED_WAIT_TICKS if owner.unacquired else SILENCE_WAIT_TICKS,
            )
            following = _put_owner(following, number, silent_ticks=silent_ticks)
    return following


def _tick(state: State, index: int) -> State:
    incarnation = state.incarnations[index]
    lease = max(incarnation.lease - 1, 0)
    if lease:
        return _put_incarnation(state, index, lease=lease)
    run = incarnation.run
    return _put_incarnation(
        state,
        index,
        lease=0,
        run=0,
        stopping=False,
        barred=max(incarnation.barred, run),
        counts=False,
    )


def _list_incarnation(state: State, index: int) -> Steps:
    incarnation = state.incarnations[index]
    if not incarnation.up:
        return
    if index == 0:
        # Worker 1 never crashes, so that a run always has a worker left.
        incarnations = (Incarnation(up=False), state.incarnations[1])
        yield "worker 0 crashes", replace(state, incarnations=incarnations)
    if incarnation.stopping:
        barred = max(incarnation.barred, incarnation.run)
        stopped = _put_incarnation(state, index, run=0, stopping=False, barred=barred)
        yield f"the stopped run on worker {index} ends", stopped
    if incarnation.run:
        yield (
            f"the run on worker {index} succeeds",
            _put_incarnation(
                state,
                index,
                run=0,
                stopping=False,
                barred=max(incarnation.barred, incarnation.run),
                ended=incarnation.run,
                counts=True,
            ),
        )


def _deliver(state: State, start: Start) -> Steps:
    """Begin a run; the start stays in flight, since it may be delivered twice."""
    incarnation = state.incarnations[start.worker]
    refused = (
        start.fence < incarnation.fence
        or start.run <= incarnation.barred
        or incarnation.run
    )
    if not incarnation.up or refused:
        return
    following = _put_incarnation(
        state,
        start.worker,
        run=start.run,
        fence=start.fence,
        lease=max(incarnation.lease, start.ticks),
    )
    yield (
        f"the start of run {start.run} reaches worker {start.worker}",
        replace(
            following,
            highest_begun=max(state.highest_begun, start.run),
            ran_again=state.end_counted,
        ),
    )


def _list_store(state: State) -> Steps:
    if state.second is None:
        if state.extension_ticks > EXTENSION_TICKS:
            renewed = replace(state, extension_ticks=OWNER_TICKS + EXTENSION_TICKS)
            yield "the first owner renews its lease", renewed
        else:
            second = Owner(belief=state.record, restored=True, unacquired=True)
            yield "the second owner takes over", replace(state, second=second)
        if state.late is not None:
            landed = replace(state, record=state.late, late=None)
            yield "an older record is written late", landed


def _owns(state: State, number: int) -> bool:
    """Whether the store accepts this owner's records."""
    return (number == 1) == (state.second is None)


def _may_act(state: State, number: int, rules: Rules) -> bool:
    past = number == 1 and state.extension_ticks <= EXTENSION_TICKS
    return not past or Guard.NO_ORDER_PAST_LEASE not in rules


def _may_extend_leases(state: State, number: int, rules: Rules) -> bool:
    past = number == 1 and not state.extension_ticks
    return not past or Guard.CARE_IS_BOUNDED not in rules


def _list_owner(state: State, number: int, rules: Rules) -> Steps:
    if number == 2 and state.second is None:
        return
    owner = _get_owner(state, number)
    if not owner.recorded and _owns(state, number):
        yield from _record(state, number, rules)
    if _may_act(state, number, rules):
        yield from _decide(state, number)
        yield from _send(state, number, rules)
        if not state.timed:
            yield from _stop(state, number, rules)
    if owner.belief.phase is Phase.ORDERED:
        if _may_extend_leases(state, number, rules):
            yield from _poll(state, number, rules)
        if state.timed:
            yield from _wait_out(state, number, rules)
        yield from _read_worker_list(state, number, rules)


def _record(state: State, number: int, rules: Rules) -> Steps:
    owner = _get_owner(state, number)
    written = replace(state, record=owner.belief)
    written = _put_owner(written, number, recorded=True)
    yield f"owner {number} records {owner.belief.phase.name.lower()}", written
    if Guard.RECORD_COMPARED not in rules and state.late is None:
        label = f"owner {number} records it on a retry"
        yield label, replace(written, late=owner.belief)


def _decide(state: State, number: int) -> Steps:
    owner = _get_owner(state, number)
    belief = owner.belief
    if belief.phase is not Phase.WAITING or belief.run >= RUN_LIMIT:
        return
    for index in (0, 1):
        # The workers are symmetric, so the first run goes to worker 0.
        if state.incarnations[index].up and (belief.run or index == 0):
            ordered = Record(Phase.ORDERED, belief.run + 1, index)
            yield (
                f"owner {number} decides run {ordered.run} on worker {index}",
                _put_owner(
                    state,
                    number,
                    belief=ordered,
                    recorded=False,
                    sent=False,
                    restored=False,
                    stopped=False,
                    unacquired=False,
                    silent_ticks=0,
                ),
            )


def _send(state: State, number: int, rules: Rules) -> Steps:
    owner = _get_owner(state, number)
    belief = owner.belief
    if belief.phase is not Phase.ORDERED or owner.sent or owner.restored:
        return
    if not owner.recorded and Guard.RUN_RECORDED_BEFORE_ORDER in rules:
        return
    start = Start(belief.worker, belief.run, number, LEASE_TICKS)
    sent = replace(state, starts=state.starts | {start})
    yield (
        f"owner {number} sends the start of run {belief.run}",
        _put_owner(sent, number, sent=True, silent_ticks=0),
    )


def _stop(state: State, number: int, rules: Rules) -> Steps:
    """Stop a run; a stop without an answer may have been carried out or not."""
    owner = _get_owner(state, number)
    belief = owner.belief
    incarnation = state.incarnations[belief.worker]
    if belief.phase is not Phase.ORDERED or owner.stopped or number < incarnation.fence:
        return
    if not incarnation.up or Guard.RUN_BARRED_BEFORE_NEXT not in rules:
        return
    barred = _put_incarnation(
        state,
        belief.worker,
        fence=number,
        barred=max(incarnation.barred, belief.run),
        stopping=incarnation.run == belief.run,
    )
    yield f"the stop by owner {number} is carried out, its answer lost", barred
    answered = _put_owner(barred, number, stopped=True)
    if Guard.STOP_END_AWAITED not in rules:
        answered = _mark_gone(barred, number)
    yield f"the stop by owner {number} is answered", answered


def _mark_gone(state: State, number: int) -> State:
    """Mark the run as gone, so that the next one may be decided."""
    belief = replace(_get_owner(state, number).belief, phase=Phase.WAITING)
    return _put_owner(state, number, belief=belief, recorded=False)


def _poll(state: State, number: int, rules: Rules) -> Steps:
    owner = _get_owner(state, number)
    belief = owner.belief
    incarnation = state.incarnations[belief.worker]
    if not incarnation.up:
        gone = _mark_gone(state, number)
        yield f"owner {number} learns that incarnation {belief.worker} is over", gone
        return
    if number < incarnation.fence:
        return
    seen = _put_incarnation(state, belief.worker, fence=number, lease=LEASE_TICKS)
    seen = _put_owner(seen, number, unacquired=False, silent_ticks=0)
    label = f"owner {number} polls worker {belief.worker}"
    if incarnation.ended == belief.run:
        yield f"{label} and sees the end", _record_end(seen, number, rules)
        return
    yield label, seen
    if incarnation.run == belief.run:
        return
    # This poll's higher fence blocks every start that an earlier owner sent.
    certain = owner.restored or owner.stopped
    if certain or Guard.RUN_BARRED_BEFORE_NEXT not in rules:
        yield f"{label} and does not see the run", _mark_gone(seen, number)


def _record_end(state: State, number: int, rules: Rules) -> State:
    belief = replace(_get_owner(state, number).belief, phase=Phase.DONE)
    done = _put_owner(state, number, belief=belief, recorded=False)
    if Guard.END_STORED_BEFORE_FORGOTTEN not in rules:
        return _acknowledge_end(done, belief.worker)
    if not _owns(state, number):
        return done
    stored = replace(done, record=belief)
    return _acknowledge_end(_put_owner(stored, number, recorded=True), belief.worker)


def _acknowledge_end(state: State, index: int) -> State:
    incarnation = state.incarnations[index]
    return replace(
        _put_incarnation(state, index, ended=0, counts=False),
        end_counted=state.end_counted or incarnation.counts,
        ran_again=state.ran_again
        or (incarnation.counts and state.highest_begun > incarnation.ended),
    )


def _wait_out(state: State, number: int, rules: Rules) -> Steps:
    owner = _get_owner(state, number)
    enough = UNACQUIRED_WAIT_TICKS if owner.unacquired else SILENCE_WAIT_TICKS
    if Guard.SLOW_CLOCK_ALLOWED_FOR not in rules:
        enough -= SLOW_TICKS
    if owner.silent_ticks >= enough or Guard.SILENCE_WAITED_OUT not in rules:
        label = (
            f"owner {number} treats the lease of worker {owner.belief.worker} as over"
        )
        yield label, _mark_gone(state, number)


def _read_worker_list(state: State, number: int, rules: Rules) -> Steps:
    """Read the list; it may name another incarnation at an address at any time."""
    if Guard.LIFE_ENDS_BY_OWN_WORD not in rules:
        label = f"the list names another incarnation there, for owner {number}"
        yield label, _mark_gone(state, number)


def runs_once(state: State) -> bool:
    """Whether at most one run of the task is in progress."""
    return sum(bool(incarnation.run) for incarnation in state.incarnations) < 2


MODEL = Model(
    name="fleet task",
    initial=State(),
    steps=list_steps,
    properties={
        "a task never runs twice at once": runs_once,
        "a task never runs again after its end counts": lambda state: (
            not state.ran_again
        ),
    },
    witnesses={
        "a run succeeds and is recorded": lambda state: (
            state.record.phase is Phase.DONE
        ),
        "the second owner starts the second run": lambda state: (
            state.second is not None
            and any(
                incarnation.run == RUN_LIMIT and incarnation.fence == 2
                for incarnation in state.incarnations
            )
        ),
        "a start is in flight while the next owner decides": lambda state: (
            state.second is not None and any(each.fence == 1 for each in state.starts)
        ),
    },
    guards=(
        Guard.RUN_RECORDED_BEFORE_ORDER,
        Guard.RECORD_COMPARED,
        Guard.RUN_BARRED_BEFORE_NEXT,
        Guard.STOP_END_AWAITED,
        Guard.END_STORED_BEFORE_FORGOTTEN,
        Guard.LIFE_ENDS_BY_OWN_WORD,
    ),
)

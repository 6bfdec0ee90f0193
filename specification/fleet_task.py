"""A task on the fleet never runs twice at once, nor again after its end counts.

One task, two workers, two owners one after the other, and a store. The owner records
a run, then sends its start; the start may come late, doubled or never. A worker runs
on under a lease that every look extends, and keeps the end of a run until it is told
to forget it. The second owner follows once the first one's lease has lapsed in the
store; the first one may sleep at any point and wake beside it. Any look, start or
stop may fail to reach any worker, so a step that is never taken is a cut. A worker may
crash, and its address then answers for its next life.

Swept here without time, so that nothing lapses but the first owner; `fleet_lease`
sweeps the same steps in whole ticks, without ends and stops. Both at once hold too, in
392,542 states, which takes two minutes and is therefore not swept each time.

Left out: gangs (see `gang start`), looks whose answers overtake one another, further
owners, a lost answer from the store, the way of a message between the check of the
owner's lease and the worker, and whether every task ends.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum

from specification.explore import Model, Rules
from specification.guards import Guard

RUN_LIMIT = 2
# A worker's lease; the first owner's in the store, and how long after that it goes on
# extending workers' leases; what a worker's clock may lose.
LEASE_TICKS = 2
OWNER_TICKS = 1
CARE_TICKS = 1
SLOW_TICKS = 1
WAIT_TICKS = LEASE_TICKS + SLOW_TICKS
BLIND_TICKS = CARE_TICKS + LEASE_TICKS + SLOW_TICKS


class Phase(Enum):
    """How far a task is."""

    WAITING = 0
    ORDERED = 1
    DONE = 2


@dataclass(frozen=True, slots=True)
class Record:
    """What the store says of the task."""

    phase: Phase = Phase.WAITING
    run: int = 0
    worker: int = 0


@dataclass(frozen=True, slots=True)
class Life:
    """One worker's life.

    Attributes:
        run: What runs there; 0 for nothing.
        stopping: That run was stopped and has not ended yet.
        barred: No run up to this one starts there any more.
        ended: The run that has ended well and is still listed.
        counts: The lease has not run out since that end.
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
    """A start on its way: it holds for some ticks of its worker's clock."""

    worker: int
    run: int
    fence: int
    ticks: int


@dataclass(frozen=True, slots=True)
class Owner:
    """What one owner believes.

    Attributes:
        recorded: The store has what it believes.
        sent: It has sent the start of this run.
        restored: The run is from the record, ordered by the other owner.
        stopped: The worker has answered a stop of this run.
        blind: The worker has not yet answered this owner.
        silent: Ticks since it last extended the worker's lease, or since it began.
    """

    belief: Record = Record()
    recorded: bool = True
    sent: bool = False
    restored: bool = False
    stopped: bool = False
    blind: bool = False
    silent: int = 0


@dataclass(frozen=True, slots=True)
class State:
    """Workers, store and owners.

    Attributes:
        timed: Time passes, and nothing ends but by a lease; else nothing lapses.
        starts: Orders on their way.
        care: Ticks for which the first owner may extend leases; it may give orders
            while more than CARE_TICKS are left.
        second: The second owner, once it has taken over.
        late: An older record that the store may still write.
        lost: What the workers' clocks have lost, in ticks.
        begun: The highest run that has begun.
        taken: An end that counts was taken note of.
        again: A run began after an end that counts.
    """

    timed: bool = False
    lives: tuple[Life, Life] = (Life(), Life())
    record: Record = Record()
    starts: frozenset[Start] = frozenset()
    first: Owner = Owner()
    care: int = OWNER_TICKS + CARE_TICKS
    second: Owner | None = None
    late: Record | None = None
    lost: int = 0
    begun: int = 0
    taken: bool = False
    again: bool = False


Steps = Iterator[tuple[str, State]]


def list_steps(state: State, rules: Rules) -> Steps:
    """Yield all that may happen next."""
    if state.again or not runs_once(state):
        return
    if state.timed:
        yield "time passes", _pass_time(state, slow=None)
    elif state.care > CARE_TICKS:
        lapsed = replace(state, care=CARE_TICKS)
        yield "the first owner's lease lapses", lapsed
    for index in (0, 1):
        if not state.timed:
            yield from _list_life(state, index)
        elif state.lives[index].lease and state.lost < SLOW_TICKS:
            yield f"clock {index} loses a tick", _pass_time(state, slow=index)
    for start in state.starts:
        yield from _deliver(state, start)
    yield from _list_store(state)
    for number in (1, 2):
        yield from _list_owner(state, number, rules)


def _put_life(state: State, index: int, **changes: object) -> State:
    life = replace(state.lives[index], **changes)  # type: ignore[arg-type]
    lives = (life, state.lives[1]) if index == 0 else (state.lives[0], life)
    return replace(state, lives=lives)


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
    # The second owner renews its own lease; the first may, by a step of its own.
    following = replace(
        following,
        starts=frozenset(start for start in starts if start.ticks > 0),
        care=max(state.care - 1, 0),
        lost=state.lost + (slow is not None),
    )
    for number in (1, 2):
        owner = following.first if number == 1 else following.second
        if owner is not None and owner.belief.phase is Phase.ORDERED:
            silent = min(owner.silent + 1, BLIND_TICKS if owner.blind else WAIT_TICKS)
            following = _put_owner(following, number, silent=silent)
    return following


def _tick(state: State, index: int) -> State:
    life = state.lives[index]
    lease = max(life.lease - 1, 0)
    if lease:
        return _put_life(state, index, lease=lease)
    run = life.run
    return _put_life(
        state,
        index,
        lease=0,
        run=0,
        stopping=False,
        barred=max(life.barred, run),
        counts=False,
    )


def _list_life(state: State, index: int) -> Steps:
    life = state.lives[index]
    if not life.up:
        return
    if index == 0:
        # The other one stays, so that there is where to run.
        lives = (Life(up=False), state.lives[1])
        yield "worker 0 crashes", replace(state, lives=lives)
    if life.stopping:
        barred = max(life.barred, life.run)
        stopped = _put_life(state, index, run=0, stopping=False, barred=barred)
        yield f"the stopped run on worker {index} ends", stopped
    if life.run:
        yield (
            f"the run on worker {index} ends well",
            _put_life(
                state,
                index,
                run=0,
                stopping=False,
                barred=max(life.barred, life.run),
                ended=life.run,
                counts=True,
            ),
        )


def _deliver(state: State, start: Start) -> Steps:
    """Carry a start out; it may be carried out again, as the order may be doubled."""
    life = state.lives[start.worker]
    refused = start.fence < life.fence or start.run <= life.barred or life.run
    if not life.up or refused:
        return
    following = _put_life(
        state,
        start.worker,
        run=start.run,
        fence=start.fence,
        lease=max(life.lease, start.ticks),
    )
    yield (
        f"the start of run {start.run} reaches worker {start.worker}",
        replace(following, begun=max(state.begun, start.run), again=state.taken),
    )


def _list_store(state: State) -> Steps:
    if state.second is None:
        if state.care > CARE_TICKS:
            renewed = replace(state, care=OWNER_TICKS + CARE_TICKS)
            yield "the first owner renews its lease", renewed
        else:
            second = Owner(belief=state.record, restored=True, blind=True)
            yield "the second owner takes over", replace(state, second=second)
        if state.late is not None:
            landed = replace(state, record=state.late, late=None)
            yield "an older record is written late", landed


def _owns(state: State, number: int) -> bool:
    """Whether the store takes this owner's records."""
    return (number == 1) == (state.second is None)


def _may_act(state: State, number: int, rules: Rules) -> bool:
    past = number == 1 and state.care <= CARE_TICKS
    return not past or Guard.NO_ORDER_PAST_LEASE not in rules


def _may_care(state: State, number: int, rules: Rules) -> bool:
    past = number == 1 and not state.care
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
        if _may_care(state, number, rules):
            yield from _look(state, number, rules)
        if state.timed:
            yield from _wait_out(state, number, rules)
        yield from _hear_of_address(state, number, rules)


def _record(state: State, number: int, rules: Rules) -> Steps:
    owner = _get_owner(state, number)
    written = replace(state, record=owner.belief)
    written = _put_owner(written, number, recorded=True)
    yield f"owner {number} records {owner.belief.phase.name.lower()}", written
    if Guard.RECORD_COMPARED not in rules and state.late is None:
        label = f"owner {number} records it at the second try"
        yield label, replace(written, late=owner.belief)


def _decide(state: State, number: int) -> Steps:
    owner = _get_owner(state, number)
    belief = owner.belief
    if belief.phase is not Phase.WAITING or belief.run >= RUN_LIMIT:
        return
    for index in (0, 1):
        # The two are alike: the first run goes to the first one.
        if state.lives[index].up and (belief.run or index == 0):
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
                    blind=False,
                    silent=0,
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
        _put_owner(sent, number, sent=True, silent=0),
    )


def _stop(state: State, number: int, rules: Rules) -> Steps:
    """Stop a run that is to end; unanswered, the stop may be carried out or not."""
    owner = _get_owner(state, number)
    belief = owner.belief
    life = state.lives[belief.worker]
    if belief.phase is not Phase.ORDERED or owner.stopped or number < life.fence:
        return
    if not life.up or Guard.RUN_BARRED_BEFORE_NEXT not in rules:
        return
    barred = _put_life(
        state,
        belief.worker,
        fence=number,
        barred=max(life.barred, belief.run),
        stopping=life.run == belief.run,
    )
    yield f"the stop by owner {number} is carried out unheard", barred
    answered = _put_owner(barred, number, stopped=True)
    if Guard.STOP_END_AWAITED not in rules:
        answered = _give_up(barred, number)
    yield f"the stop by owner {number} is answered", answered


def _give_up(state: State, number: int) -> State:
    """Take the run as gone, so that the next one may be decided."""
    belief = replace(_get_owner(state, number).belief, phase=Phase.WAITING)
    return _put_owner(state, number, belief=belief, recorded=False)


def _look(state: State, number: int, rules: Rules) -> Steps:
    owner = _get_owner(state, number)
    belief = owner.belief
    life = state.lives[belief.worker]
    if not life.up:
        gone = _give_up(state, number)
        yield f"owner {number} hears that life {belief.worker} is over", gone
        return
    if number < life.fence:
        return
    seen = _put_life(state, belief.worker, fence=number, lease=LEASE_TICKS)
    seen = _put_owner(seen, number, blind=False, silent=0)
    label = f"owner {number} looks at worker {belief.worker}"
    if life.ended == belief.run:
        yield f"{label} and sees the end", _take_end(seen, number, rules)
        return
    yield label, seen
    if life.run == belief.run:
        return
    # What an earlier owner ordered can't come after this look's higher fence.
    certain = owner.restored or owner.stopped
    if certain or Guard.RUN_BARRED_BEFORE_NEXT not in rules:
        yield f"{label} and does not see the run", _give_up(seen, number)


def _take_end(state: State, number: int, rules: Rules) -> State:
    belief = replace(_get_owner(state, number).belief, phase=Phase.DONE)
    done = _put_owner(state, number, belief=belief, recorded=False)
    if Guard.END_STORED_BEFORE_FORGOTTEN not in rules:
        return _forget(done, belief.worker)
    if not _owns(state, number):
        return done
    stored = replace(done, record=belief)
    return _forget(_put_owner(stored, number, recorded=True), belief.worker)


def _forget(state: State, index: int) -> State:
    life = state.lives[index]
    return replace(
        _put_life(state, index, ended=0, counts=False),
        taken=state.taken or life.counts,
        again=state.again or (life.counts and state.begun > life.ended),
    )


def _wait_out(state: State, number: int, rules: Rules) -> Steps:
    owner = _get_owner(state, number)
    enough = BLIND_TICKS if owner.blind else WAIT_TICKS
    if Guard.SLOW_CLOCK_ALLOWED_FOR not in rules:
        enough -= SLOW_TICKS
    if owner.silent >= enough or Guard.SILENCE_WAITED_OUT not in rules:
        label = (
            f"owner {number} takes the lease of worker {owner.belief.worker} as over"
        )
        yield label, _give_up(state, number)


def _hear_of_address(state: State, number: int, rules: Rules) -> Steps:
    """The list may name another life at a worker's address at any time."""
    if Guard.LIFE_ENDS_BY_OWN_WORD not in rules:
        label = f"the list names another life at the address, for owner {number}"
        yield label, _give_up(state, number)


def runs_once(state: State) -> bool:
    """Whether at most one run of the task is there."""
    return sum(bool(life.run) for life in state.lives) < 2


MODEL = Model(
    name="fleet task",
    initial=State(),
    steps=list_steps,
    properties={
        "a task never runs twice at once": runs_once,
        "a task never runs again after its end counts": lambda state: not state.again,
    },
    witnesses={
        "a run ends well and is recorded": lambda state: (
            state.record.phase is Phase.DONE
        ),
        "the second owner starts the second run": lambda state: (
            state.second is not None
            and any(life.run == RUN_LIMIT and life.fence == 2 for life in state.lives)
        ),
        "a run is on its way while the next owner decides": lambda state: (
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

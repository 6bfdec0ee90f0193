"""Steps for shares of organisations, without a network."""

import asyncio
from dataclasses import replace
from typing import Any

import msgspec
from behave import given, then, when
from work_decisions_steps import add_job, add_worker, make_fleet_state

from primrosestile.coordination.work.run_statistics import (
    RunStatistics,
    StatisticsStore,
)
from primrosestile.coordination.work.term import Term
from primrosestile.decisions.work.durations import Durations
from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.decisions.work.organisation_shares import make_organisation_shares
from primrosestile.decisions.work.plan import make_plan
from primrosestile.decisions.work.speeds import Speeds
from primrosestile.decisions.work.units import Unit
from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.store import Entry
from primrosestile.state.scheduling import SchedulingSettings, Switch
from primrosestile.state.work import JobState, Need, Step
from primrosestile.state.workers import EndKind

BEGAN = 100.0
NOW = 110.0
TASK = Need(100, 100, 1)
WALL = 1000.0
HOG, SMALL = "domes", "post"


def add_tasks(
    fleet_state: FleetState,
    number: int,
    organisation: str,
    count: int,
    priority: int = 1,
    now: float = NOW,
) -> list[Unit]:
    step = Step(count, TASK, 10.0)
    add_job(fleet_state, number, priority, (step,), organisation=organisation, now=now)
    return list(fleet_state.jobs[f"{number:016x}"].units.values())


def run_units(fleet_state: FleetState, units: list[Unit], now: float) -> None:
    names = [name for name in fleet_state.workers for _ in range(4)]
    free = [
        name
        for index, name in enumerate(names)
        if names[:index].count(name) >= len(fleet_state.workers[name].members)
    ]
    for unit, name in zip(units, free, strict=False):
        fleet_state.order(unit, [name], now)
        fleet_state.mark_up(unit.members[0], now)


def update(context: Any, now: float) -> None:
    state = context.fleet_state
    state.shares.update(state.policy, state.workers.values(), [], now)


def plan(context: Any, now: float) -> None:
    context.plan = make_plan(context.fleet_state, Durations(), Speeds(), now)


def count_starts(context: Any, organisation: str) -> int:
    return sum(
        start.unit.job.submission.organisation == organisation
        for start in context.plan.starts
    )


@given("4 workers of 4 accelerators, with guarantees of 4 to post and 1 to domes")
def step_fleet(context: Any) -> None:
    context.fleet_state = make_fleet_state()
    for number in range(4):
        add_worker(context.fleet_state, number, 4)
    policy = context.fleet_state.policy
    # The organisations without a guarantee make these ones uneven.
    keys = {"k1": HOG, "k2": SMALL, "k3": "others", "k4": "more"}
    guarantees = {SMALL: 4, HOG: 1}
    context.fleet_state.policy = replace(policy, keys=keys, guarantees=guarantees)


@given("equal guarantees")
def step_even(context: Any) -> None:
    policy = context.fleet_state.policy
    even = dict.fromkeys((HOG, SMALL, "others", "more"), 1)
    context.fleet_state.policy = replace(policy, guarantees=even)


@given("domes has used all accelerators for 10 s")
def step_used(context: Any) -> None:
    state = context.fleet_state
    units = add_tasks(state, 1, HOG, 16, now=BEGAN)
    run_units(state, units, BEGAN)
    for half in range(21):
        update(context, BEGAN + half / 2)
    for unit in units[:4]:
        state.record_end(unit.members[0].task, unit.run, EndKind.DONE, "", 0.0)


def wait_for(context: Any, *numbers: tuple[str, int]) -> None:
    for index, (organisation, count) in enumerate(numbers):
        add_tasks(context.fleet_state, 20 + index, organisation, count)
    plan(context, NOW)


@when(
    "{count:d} tasks of domes and then {other:d} of post wait for 4 free accelerators"
)
def step_wait_both(context: Any, count: int, other: int) -> None:
    wait_for(context, (HOG, count), (SMALL, other))


@when("{count:d} tasks of domes wait for 4 free accelerators")
def step_wait(context: Any, count: int) -> None:
    wait_for(context, (HOG, count))


@when(
    "an urgent task of domes within its guarantee and {count:d} tasks of post wait"
    " for 4 free accelerators"
)
def step_wait_urgent(context: Any, count: int) -> None:
    add_tasks(context.fleet_state, 19, HOG, 1, priority=0)
    wait_for(context, (SMALL, count))


@then("both tasks of post start, and 2 of domes")
def step_both(context: Any) -> None:
    assert (count_starts(context, SMALL), count_starts(context, HOG)) == (2, 2)


@then("the urgent task starts first")
def step_urgent_first(context: Any) -> None:
    assert context.plan.starts[0].unit.job.queue.priority == 0


@then("all of them start")
def step_all(context: Any) -> None:
    assert (count_starts(context, SMALL), count_starts(context, HOG)) == (1, 3)


@then("nobody is over a share")
def step_nobody(context: Any) -> None:
    assert not context.fleet_state.shares.over


@when(
    "2 tasks of domes and 2 of post run, and urgent work of post beyond its guarantee"
    " takes 2 accelerators"
)
def step_stops(context: Any) -> None:
    stop_for_urgent(context, HOG)


@when(
    "2 tasks of domes and 2 of post run, and urgent work of post beyond its guarantee"
    " takes 2 accelerators while others wait"
)
def step_stops_others(context: Any) -> None:
    stop_for_urgent(context, "others")


def stop_for_urgent(context: Any, waiting: str) -> None:
    state = context.fleet_state
    policy = state.policy
    state.policy = replace(policy, guarantees={SMALL: 0, HOG: 1})
    # That of post is listed first: at equal cost it would be stopped.
    running = add_tasks(state, 30, SMALL, 2, priority=2)
    running += add_tasks(state, 31, HOG, 2, priority=2)
    run_units(state, running, NOW - 1.0)
    add_tasks(state, 32, SMALL, 2, priority=0)
    add_tasks(state, 33, waiting, 1, priority=1)
    plan(context, NOW)


@then("both tasks of domes are stopped for it")
def step_stopped(context: Any) -> None:
    stopped = [
        stop.unit.job.submission.organisation
        for stop in context.plan.stops
        if stop.gainer.job.queue.priority == 0
    ]
    assert stopped == [HOG, HOG], stopped


@given(
    "domes has used {hog:d} accelerators and post {small:d} lately, and eight others"
    " long ago"
)
def step_former(context: Any, hog: int, small: int) -> None:
    shares = context.fleet_state.shares
    former = {f"former{number}": 1e-6 for number in range(8)}
    shares.uses = {"engine": {HOG: hog / 16, SMALL: small / 16, **former}}
    shares.updated_at = NOW


@when("a task of domes and one of post wait")
def step_wait_one_each(context: Any) -> None:
    wait_for(context, (HOG, 1), (SMALL, 1))


@then("only domes is over its share")
def step_only(context: Any) -> None:
    assert set(context.fleet_state.shares.over) == {("engine", HOG)}


@given("a pool whose workers have no accelerators")
def step_no_accelerators(context: Any) -> None:
    for worker in context.fleet_state.workers.values():
        capacity = Need(4000, 4000, 0)
        worker.entry = replace(worker.entry, capacity=capacity)


@when("an organisation with a guarantee and two without one wait there")
def step_wait_plain(context: Any) -> None:
    step = Step(1, Need(100, 100, 0), 10.0)
    for number, organisation in enumerate((SMALL, "others", "more")):
        add_job(
            context.fleet_state,
            20 + number,
            1,
            (step,),
            organisation=organisation,
            now=NOW,
        )
    plan(context, NOW)


@then("the pass succeeds, and starts all of them")
def step_all_plain(context: Any) -> None:
    assert len(context.plan.starts) == 3, context.plan.starts


@then("no use is left to store")
def step_none_left(context: Any) -> None:
    uses = context.fleet_state.shares.uses
    assert not uses, uses


@when("{seconds:d} s pass without work")
def step_pass(context: Any, seconds: int) -> None:
    context.fleet_state.finish(
        context.fleet_state.jobs[f"{1:016x}"], JobState.CANCELLED
    )
    for worker in context.fleet_state.workers.values():
        for member in list(worker.members.values()):
            worker.detach(member)
    update(context, NOW + seconds)


@then("the use of domes is below {most:g}")
def step_below(context: Any, most: float) -> None:
    assert context.fleet_state.shares.uses["engine"][HOG] < most


class FakeStore:
    """Holds one record; fails a commit on request."""

    def __init__(self, value: bytes | None = None, fails: bool = False) -> None:
        self.value = value
        self._fails = fails

    async def get(self, key: str) -> Entry | None:
        return None if self.value is None else Entry(key, self.value, 1, 1)

    async def commit(self, conditions: Any, writes: Any) -> Any:
        if self._fails:
            raise Failure(ErrorKind.STORE_UNAVAILABLE, "no answer")
        self.value = writes[0].value
        return type("Done", (), {"done": True})


def make_statistics(store: FakeStore, shares: Any) -> StatisticsStore:
    term = Term.__new__(Term)
    term.fence = 1
    return StatisticsStore(store, term, Durations(), Speeds(), shares)


def load(context: Any, value: bytes | None) -> None:
    context.next = make_organisation_shares(Switch.ON)

    async def run() -> None:
        await make_statistics(FakeStore(value), context.next).load()

    asyncio.run(run())


def save(context: Any, store: FakeStore) -> None:
    async def run() -> None:
        await make_statistics(store, context.fleet_state.shares).save()

    asyncio.run(run())


@when("the owner stores its statistics, and the next one loads them 10 s later")
def step_store(context: Any) -> None:
    store = FakeStore()
    save(context, store)
    statistics = msgspec.msgpack.decode(store.value, type=RunStatistics)
    older = msgspec.structs.replace(statistics, written_at=statistics.written_at - 10.0)
    load(context, msgspec.msgpack.encode(older))


@then("the next owner counts half of the use of domes")
def step_half(context: Any) -> None:
    before = context.fleet_state.shares.uses["engine"][HOG]
    assert abs(context.next.uses["engine"][HOG] / before - 0.5) < 0.02


RECORDS = {
    "no statistics": None,
    "statistics of another form": b"\xc1 not a record",
    "statistics of the former form": msgspec.msgpack.encode(
        {"speeds": {"w": (3, 1.2)}, "durations": {}}
    ),
    "statistics with a negative use": msgspec.msgpack.encode(
        RunStatistics(uses={"engine": {HOG: -0.5}}, written_at=WALL)
    ),
    "statistics with a use of nan": msgspec.msgpack.encode(
        RunStatistics(uses={"engine": {HOG: float("nan")}}, written_at=WALL)
    ),
}


@when("an owner loads {record}")
def step_load(context: Any, record: str) -> None:
    load(context, RECORDS[record.strip()])


@then("the next owner counts no use")
def step_no_use(context: Any) -> None:
    assert not context.next.uses.get("engine"), context.next.uses


@when("the store fails while the owner stores its statistics")
def step_fails(context: Any) -> None:
    save(context, FakeStore(fails=True))


@then("the owner still counts the use of domes")
def step_still(context: Any) -> None:
    assert context.fleet_state.shares.uses["engine"][HOG] > 0.4


def play_burst(context: Any, switch: Switch) -> dict[str, int]:
    """Return how many callers of each organisation were in time."""
    state = make_fleet_state()
    state = FleetState(
        replace(
            state.policy,
            keys=context.fleet_state.policy.keys,
            guarantees=context.fleet_state.policy.guarantees,
        ),
        wall=0.0,
        settings=SchedulingSettings(organisation_shares=switch),
    )
    for number in range(4):
        add_worker(state, number, 4)
    ends: list[tuple[float, Unit]] = []
    in_time = {HOG: 0, SMALL: 0}
    number = 0
    for tick in range(300):
        now = 100.0 + tick / 4
        for due, unit in [each for each in ends if each[0] <= now]:
            ends.remove((due, unit))
            state.record_end(unit.members[0].task, unit.run, EndKind.DONE, "", 0.0)
            organisation = unit.job.submission.organisation
            # The objective: three times the work of 4 s, and 1 s.
            in_time[organisation] += due <= unit.job.accepted + 13.0
        if tick < 120:
            number += 1
            organisation = SMALL if number % 5 == 0 else HOG
            step = Step(2, TASK, 4.0)
            add_job(state, number, 1, (step,), organisation=organisation, now=now)
        for start in make_plan(state, Durations(), Speeds(), now).starts:
            state.order(start.unit, [each.name for each in start.workers], now)
            state.mark_up(start.unit.members[0], now)
            ends.append((now + 4.0, start.unit))
    return in_time


@when("the burst is played with shares and without")
def step_play(context: Any) -> None:
    context.with_shares = play_burst(context, Switch.ON)
    context.without = play_burst(context, Switch.OFF)


@then("more of the small organisation's callers are in time with shares")
def step_more(context: Any) -> None:
    assert context.with_shares[SMALL] > context.without[SMALL], context.with_shares


@then("as many callers are in time in all, but for one in twenty")
def step_as_many(context: Any) -> None:
    after, before = sum(context.with_shares.values()), sum(context.without.values())
    assert after >= 0.95 * before, (after, before)

"""Steps on passing settings on between processes, on a paused clock."""

import asyncio
from typing import Any

import looptime
from behave import given, then, when
from features.settings.doubles import run_paused
from features.settings.relayworld import PATH, Process, RelayWorld
from hypothesis import given as for_all, settings as fuzz_settings, strategies as st

from primrosestile.clock import read_clock
from primrosestile.decisions.watchers import choose_watchers

IN_FORCE_SECONDS = 11.0


def run(context: Any, work: Any) -> Any:
    return context.runner.run(work)


@given("{count:d} relaying processes in 3 failure domains")
def give_processes(context: Any, count: int) -> None:
    context.runner = asyncio.Runner(loop_factory=looptime.new_event_loop)
    context.cleanups.append(context.runner.close)

    async def start() -> RelayWorld:
        world = RelayWorld()
        await world.change()
        for number in range(count):
            world.start(number)
        return world

    context.world = run(context, start())
    context.cleanups.append(lambda: run(context, context.world.end()))


@when("the relaying processes have run for {seconds:d} seconds")
def run_for(context: Any, seconds: int) -> None:
    run(context, asyncio.sleep(seconds))


@then("the store has at most {count:d} settings watches open")
def check_watches(context: Any, count: int) -> None:
    world = context.world
    assert 1 <= run(context, world.count_watchers()) <= count
    # A watch that is opened again counts as another call.
    before = world.store.calls.total()
    run(context, asyncio.sleep(60))
    assert world.store.calls.total() - before <= 3 * count, world.store.calls


async def wait_in_force(world: RelayWorld, seconds: float) -> None:
    deadline = read_clock() + seconds
    while world.list_lagging():
        assert read_clock() < deadline, world.list_lagging()
        await asyncio.sleep(0.1)


@then("a settings change is in force at every relaying process within {n:d} seconds")
def check_in_force(context: Any, n: int) -> None:
    async def change() -> None:
        await context.world.change()
        await wait_in_force(context.world, n)

    run(context, change())


@when("each next message to a relaying process is lost, {count:d} in all")
def lose_messages(context: Any, count: int) -> None:
    context.world.lose_next = count


@when("the watchers of the first failure domain die")
def kill_watchers(context: Any) -> None:
    world = context.world
    for name in choose_watchers(world.list_records(), "domain-0"):
        run(context, world.processes.pop(name).end())


async def find_quiet(world: RelayWorld) -> Process:
    return next(p for p in world.processes.values() if not p.relay.watches())


@when("one relaying process that does not watch is cut off from its peers")
def cut_off(context: Any) -> None:
    run(context, find_quiet(context.world)).cut = True


@when("one relaying process is paused during a change and the store goes down")
def pause_through_change(context: Any) -> None:
    world = context.world

    async def work() -> None:
        # From now on it is paused: neither its tasks nor its settings change.
        context.old = await find_quiet(world)
        await context.old.end()
        context.old.follower.apply = lambda values: False
        await world.change()
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert world.list_lagging() == [context.old.name]
        world.store.faults.down = True

    run(context, work())


@when("a relaying process starts with the old one and two others as seeds")
def start_among(context: Any) -> None:
    others = [name for name in context.world.processes if name != context.old.name]
    seeds = (context.old.name, *others[:2])

    async def start() -> None:
        context.started = context.world.start(100, seeds)

    run(context, start())


@when("a relaying process starts that can reach only the old one")
def start_with_old(context: Any) -> None:
    async def start() -> None:
        context.started = context.world.start(100, (context.old.name, "gone-1"))

    run(context, start())


@then("the started process is not ready after {seconds:d} seconds")
def check_not_ready(context: Any, seconds: int) -> None:
    run(context, asyncio.sleep(seconds))
    assert not context.started.follower.is_ready


@when("the store of the relaying processes recovers")
def recover_store(context: Any) -> None:
    context.world.store.faults.down = False


@then("the started process is ready with the changed settings within {n:d} seconds")
def check_ready(context: Any, n: int) -> None:
    async def wait() -> None:
        async with asyncio.timeout(n):
            await context.started.follower.wait_for_first()

    run(context, wait())
    assert context.started.follower.revisions[PATH] == context.world.accepted


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("loss"), st.sampled_from((0.0, 0.3, 0.9))),
        st.tuples(st.just("repeat"), st.sampled_from((0.0, 0.5))),
        st.tuples(st.just("delay"), st.sampled_from((0.01, 1.0, 5.0))),
        st.tuples(st.just("down"), st.booleans()),
        st.tuples(st.just("silent"), st.booleans()),
        st.tuples(st.just("lost answers"), st.integers(0, 2)),
        st.tuples(st.just("cut"), st.integers(0, 5)),
        st.tuples(st.just("restart"), st.integers(0, 5)),
        st.tuples(st.just("change"), st.none()),
        st.tuples(st.just("wait"), st.sampled_from((0.5, 5.0, 20.0))),
    ),
    max_size=15,
)


async def take_step(world: RelayWorld, step: str, value: Any) -> None:
    faults = world.store.faults
    if step in ("loss", "repeat", "delay"):
        setattr(world, step, value)
    elif step == "down":
        faults.down = value
    elif step == "silent":
        faults.silent_watches = value
    elif step == "lost answers":
        faults.lose_answers = value
    elif step == "cut":
        process = world.processes[f"process-{value}"]
        process.cut = not process.cut
    elif step == "restart":
        await world.processes[f"process-{value}"].end()
        others = tuple(name for name in world.processes if name != f"process-{value}")
        world.start(value, others)
    elif step == "change" and not faults.down:
        await world.change()
    elif step == "wait":
        await asyncio.sleep(value)


async def heal(world: RelayWorld) -> None:
    world.loss = world.repeat = 0.0
    world.delay = 0.01
    world.store.faults.down = False
    world.store.faults.silent_watches = False
    world.store.faults.lose_answers = 0
    for process in world.processes.values():
        process.cut = False


async def run_steps(steps: list[tuple[str, Any]]) -> None:
    world = RelayWorld()
    await world.change()
    for number in range(6):
        world.start(number)
    for step, value in steps:
        await take_step(world, step, value)
        for process in world.processes.values():
            assert not process.task.done(), process.task
    await heal(world)
    await wait_in_force(world, IN_FORCE_SECONDS)
    await world.end()
    assert world.reverted == []


@then("under any such faults no applied revision falls and all reach the accepted")
def fuzz_relay(context: Any) -> None:
    @fuzz_settings(derandomize=True, max_examples=120, deadline=None, database=None)
    @for_all(STEPS)
    def check(steps: list[tuple[str, Any]]) -> None:
        run_paused(run_steps(steps))

    check()

"""Steps for refusals under load by several processes on the platform's stand-in."""

import asyncio
from typing import Any

import structlog.testing
from behave import given, then, when
from features.doubles.fleet_world import FleetWorld, Process, make_policy
from features.doubles.load_callers import REFUSALS, Callers
from msgspec.structs import replace

from primrosestile.clock import read_clock
from primrosestile.coordination.work.keys import make_ended_key
from primrosestile.coordination.work.load_watch import LoadWatch
from primrosestile.errors import Failure
from primrosestile.platform.entries import WORKERS_PREFIX
from primrosestile.platform.policy import POLICY_KEY
from primrosestile.state.load import LoadSummary
from primrosestile.state.scheduling import SchedulingSettings, Switch

# Until an owner has watched for the window of the rates.
SETTLE_SECONDS = 8.0
RUN_SECONDS = 2.0
STEP = {"count": 1, "cpu": 1000, "mem_mb": 1000, "gpu": 8, "estimate_ms": 2000}
SEED = 7
OVERLOAD_FACTOR = 4.0
LOST = "00000000000000e1"
ENDED = "00000000000000e2"


@given(
    "a fleet of {count:d} workers and {processes:d} processes, with admission control"
    " {switch}"
)
def step_fleet(context: Any, count: int, processes: int, switch: str) -> None:
    settings = SchedulingSettings(load_admission=Switch(switch))
    world = context.world = FleetWorld(settings=settings)
    context.cleanups.append(world.close)
    context.callers = Callers(world, SEED)
    context.rate = count / RUN_SECONDS

    async def build() -> None:
        world.store.put(POLICY_KEY, make_policy(1, guarantees={"domes": 16}))
        for number in range(count):
            world.add_worker(f"w{number}", rack=f"r{number % 2}")
        for number in range(processes):
            world.add_process(f"p{number}")
        await asyncio.sleep(SETTLE_SECONDS)

    world.run(build())


async def play(context: Any, factor: float, seconds: float) -> None:
    """Submit at a multiple of the capacity, and some guaranteed urgent jobs."""
    callers = context.callers
    async with asyncio.TaskGroup() as tasks:
        load = callers.submit_all("usual", "post", factor * context.rate, seconds)
        tasks.create_task(load)
        tasks.create_task(callers.submit_all("urgent", "domes", 0.2, seconds))


@when("the fleet gets {factor:g} times its load for {seconds:g} s")
def step_play(context: Any, factor: float, seconds: float) -> None:
    context.world.run(play(context, factor, seconds))


@when(
    "the fleet gets {factor:g} times its load for {seconds:g} s, and its owner is"
    " killed after {until:g} s"
)
def step_play_killed(context: Any, factor: float, seconds: float, until: float) -> None:
    async def kill() -> None:
        await asyncio.sleep(until)
        await context.world.kill(find_owner(context.world).name)

    async def run() -> None:
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(kill())
            tasks.create_task(play(context, factor, seconds))

    context.world.run(run())


def find_owner(world: FleetWorld) -> Process:
    owner = world.find_owner()
    assert owner is not None, "no process is the owner"
    return owner


@then("no process was asked for the load, and the owner has no summary")
def step_none_asked(context: Any) -> None:
    world = context.world
    assert not world.load_views.asked, world.load_views.asked

    async def find() -> LoadSummary | None:
        return find_owner(world).find_load()

    assert world.run(find()) is None
    assert all(call.admitted for call in context.callers.calls)


@then("at least {count:d} callers were refused, each within {seconds:g} s")
def step_refused(context: Any, count: int, seconds: float) -> None:
    refused = [call for call in context.callers.calls if call.refused]
    assert len(refused) >= count, len(refused)
    assert max(call.slowest for call in refused) <= seconds


@then("at least four fifths of those were admitted")
def step_admitted(context: Any) -> None:
    refused = [call for call in context.callers.calls if call.refused]
    admitted = [call for call in refused if call.admitted]
    assert len(admitted) >= 0.8 * len(refused), (len(admitted), len(refused))


@then("none was refused while the accepted jobs could all end within {seconds:g} s")
def step_no_room(context: Any, seconds: float) -> None:
    fewest = min(call.open_jobs for call in context.callers.calls)
    assert fewest / context.rate > seconds, fewest / context.rate


@then("no guaranteed urgent job was refused")
def step_urgent(context: Any) -> None:
    urgent = [call for call in context.callers.calls if call.queue == "urgent"]
    assert urgent
    assert not any(call.refused for call in urgent)


@then("no process had more than one query for the load at a time")
def step_one_query(context: Any) -> None:
    assert context.world.load_views.most_in_progress == 1


@when("the fleet is overloaded until callers of a VM are refused")
def step_overload(context: Any) -> None:
    world = context.world

    async def overload() -> None:
        owner = find_owner(world)
        context.vm = next(each for each in world.processes if each != owner.name)
        context.loading = asyncio.get_running_loop().create_task(
            play(context, OVERLOAD_FACTOR, 60.0)
        )
        await world.wait_for(lambda: bool(world.processes[context.vm].refused), 40.0)

    world.run(overload())


async def submit_once(context: Any, job_id: str) -> Failure | None:
    try:
        await context.world.submit(context.vm, job_id, "usual", "post", steps=[STEP])
    except Failure as failure:
        return failure
    return None


def count_refusals(context: Any) -> int:
    return int(context.world.processes[context.vm].refused.total())


def pass_seconds(context: Any, seconds: float) -> None:
    with structlog.testing.capture_logs() as context.log:
        context.world.run(asyncio.sleep(seconds))


@when("the owner answers no query, and {seconds:g} s pass")
def step_silent(context: Any, seconds: float) -> None:
    context.world.load_views.silent.add(find_owner_now(context))
    pass_seconds(context, seconds)


@when("the VM's queries are lost, and {seconds:g} s pass")
def step_cut(context: Any, seconds: float) -> None:
    context.world.load_views.cut.add(context.vm)
    pass_seconds(context, seconds)


@when("summaries become unreadable, and {seconds:g} s pass")
def step_unreadable(context: Any, seconds: float) -> None:
    context.world.load_views.unreadable = True
    pass_seconds(context, seconds)


def find_owner_now(context: Any) -> str:
    async def find() -> str:
        return find_owner(context.world).name

    name: str = context.world.run(find())
    return name


@then("the VM accepts a job as before")
def step_accepts(context: Any) -> None:
    before = count_refusals(context)
    failure = context.world.run(submit_once(context, LOST))
    assert failure is None, failure
    assert count_refusals(context) == before


@then("nothing more is logged")
def step_not_logged(context: Any) -> None:
    assert not [line for line in context.log if line["event"] == "load_unreadable"]


@then("the unreadable summary is logged once")
def step_logged_once(context: Any) -> None:
    lines = [line for line in context.log if line["event"] == "load_unreadable"]
    # Each process logs its own.
    assert 1 <= len(lines) <= len(context.world.processes), lines
    asked = context.world.load_views.asked[context.vm]
    assert asked > len(lines), "the summary was not asked for again"


@when("another process becomes the owner")
def step_other_owner(context: Any) -> None:
    world = context.world
    watch = context.watch = get_watch(context)

    async def change() -> None:
        owner = find_owner(world)
        context.former = watch._summary
        await world.kill(owner.name)
        await world.wait_for(
            lambda: (
                world.processes[context.vm].election.owner_fence > context.former.fence
            ),
            6.0,
        )

    world.run(change())


def get_watch(context: Any) -> LoadWatch:
    gate: Any = context.world.processes[context.vm].submitting._gate
    watch: LoadWatch = gate._watch
    return watch


@then("a late summary of the former owner, or an older one, is dropped")
def step_dropped(context: Any) -> None:
    watch = context.watch

    async def keep() -> None:
        _, fence = watch._find_owner()
        watch._keep(replace(context.former, revision=10_000), read_clock())
        assert watch._summary is None or watch._summary.revision < 10_000
        newest = replace(context.former, fence=fence, revision=7)
        watch._keep(newest, read_clock())
        watch._keep(replace(newest, revision=6), read_clock())
        assert watch._summary is newest

    context.world.run(keep())


@when("the owner can't read the list of workers for {seconds:g} s")
def step_owner_undecided(context: Any, seconds: float) -> None:
    world = context.world
    context.owner = find_owner_now(context)
    world.store.faults.unread[context.owner] = WORKERS_PREFIX
    world.run(asyncio.sleep(seconds))


@then("the owner's summary is at least {seconds:g} s old")
def step_summary_old(context: Any, seconds: float) -> None:
    async def find() -> LoadSummary | None:
        return context.world.processes[context.owner].find_load()

    summary = context.world.run(find())
    assert summary is not None
    assert summary.age >= seconds, summary.age


@when("the store loses the answer to a submission, and its caller gives up")
def step_lost(context: Any) -> None:
    world = context.world
    context.vm = "p0"

    async def lose() -> None:
        assert await submit_once(context, ENDED) is None
        await world.wait_for(
            lambda: world.store.read(make_ended_key(ENDED)) is not None, 10.0
        )
        world.store.faults.lose_writes = 1
        world.store.faults.unread[context.vm] = ""
        await submit_once(context, LOST)
        world.store.faults.lose_writes = 0
        world.store.faults.unread.clear()

    world.run(lose())


@then("the VM accepts that job again, and also one that has ended")
def step_accepts_again(context: Any) -> None:
    before = count_refusals(context)

    async def submit() -> None:
        assert await submit_once(context, LOST) is None
        assert await submit_once(context, ENDED) is None
        # Another job is refused: the load alone would have refused these too.
        failure = await submit_once(context, "00000000000000e3")
        assert failure is not None and failure.kind in REFUSALS, failure

    context.world.run(submit())
    assert count_refusals(context) > before


@when("the store answers that VM nothing more")
def step_store_silent(context: Any) -> None:
    context.world.store.faults.silent.add(context.vm)


@then("a caller of the VM is not refused under load")
def step_not_refused(context: Any) -> None:
    before = count_refusals(context)
    failure = context.world.run(submit_once(context, LOST))
    assert failure is not None and failure.kind not in REFUSALS, failure
    assert count_refusals(context) == before

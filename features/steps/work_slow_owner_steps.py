"""Steps for owners that can't schedule."""

import asyncio
from dataclasses import replace
from typing import Any

from behave import given, step, then, when
from features.doubles.fleet_world import FleetWorld, Process
from work_steps import list_running, make_id, read_steps, write_script

from primrosestile.clock import read_clock
from primrosestile.coordination.work.keys import (
    CALLER_REQUESTS_PREFIX,
    RESIGNATIONS_KEY,
)
from primrosestile.decisions.work.election_delay import find_election_delay
from primrosestile.decisions.work.owner_health import (
    OwnerHealth,
    OwnerMetrics,
    find_candidacy_pause,
    find_minimum_term_seconds,
)
from primrosestile.platform.entries import WORKERS_PREFIX
from primrosestile.platform.policy import POLICY_KEY
from primrosestile.state.work import JobState

# Added to the store's usual time for a call, this makes it sixty times as long.
SLOW_STORE_SECONDS = 0.24


def take_owner(context: Any) -> Process:
    """Return the owner and keep its name as that of the replaced one."""
    owner = context.world.find_owner()
    assert owner is not None, "no process schedules"
    context.dead = owner.name
    return owner


def find_other(context: Any) -> Process:
    """Return a live process other than the impaired owner."""
    return next(
        process
        for process in context.world.processes.values()
        if process.name != context.dead
        and process.task is not None
        and not process.task.done()
    )


@when("the link of the scheduling process carries {rate:d} bytes a second")
def step_link(context: Any, rate: int) -> None:
    async def slow() -> None:
        take_owner(context).link.rate = float(rate)

    context.world.run(slow())


@when(
    "the processor of the scheduling process takes {seconds:g} s to process an answer"
)
def step_processor(context: Any, seconds: float) -> None:
    async def slow() -> None:
        take_owner(context).link.call_seconds = seconds

    context.world.run(slow())


@when("of ten calls of the scheduling process to workers {lost:d} are lost")
def step_lost_calls(context: Any, lost: int) -> None:
    async def lose() -> None:
        take_owner(context).calls.lost_of_ten = lost

    context.world.run(lose())


@when("the scheduling process can't read caller requests")
def step_unread_requests(context: Any) -> None:
    async def fail() -> None:
        name = take_owner(context).name
        context.world.store.faults.unread[name] = CALLER_REQUESTS_PREFIX

    context.world.run(fail())


@when("the scheduling process can't read the policy")
def step_unread_policy(context: Any) -> None:
    async def fail() -> None:
        context.world.store.faults.unread_key[take_owner(context).name] = POLICY_KEY

    context.world.run(fail())


@when("the store {refuses} the scheduling process")
def step_refused(context: Any, refuses: str) -> None:
    async def refuse() -> None:
        name = take_owner(context).name
        faults = context.world.store.faults
        named = faults.refused if refuses == "refuses" else faults.silent
        named.add(name)

    context.world.run(refuse())


@then("until then nothing of {name} was stopped")
def step_nothing_stopped(context: Any, name: str) -> None:
    ends = [task for task, _, _ in context.world.fleet.ends]
    assert not [task for task in ends if task.startswith(make_id(name))], ends


@when("it can read caller requests again")
def step_read_again(context: Any) -> None:
    context.resigned = context.dead
    context.world.store.faults.unread.clear()


@when("job {name} is handed in at another process with steps")
def step_hand_in_other(context: Any, name: str) -> None:
    job = make_id(name)
    steps = read_steps(context.table)
    write_script(context, job, steps)
    context.queues[job] = "usual"
    other = find_other(context).name
    context.world.run(context.world.submit(other, job, "usual", steps=steps))


@then("job {name} is shown at another process as {state} within {seconds:g} s")
def step_state_other(context: Any, name: str, state: str, seconds: float) -> None:
    job = make_id(name)
    other = find_other(context).name
    context.world.run(
        context.world.wait_for_state(other, job, JobState(state), seconds, "usual")
    )


async def cancel_at_other(context: Any, name: str) -> None:
    process = find_other(context)
    queue = process.policies.require().find_queue_by_name("usual")
    assert await process.submitting.cancel(make_id(name), queue, "domes")


@when("job {name} is cancelled at another process")
def step_cancel_other(context: Any, name: str) -> None:
    context.world.run(cancel_at_other(context, name))


@when(
    "the scheduling process can't read caller requests for {seconds:g} s,"
    " and {name} is cancelled after {after:g} s"
)
def step_unread_cancel(context: Any, seconds: float, name: str, after: float) -> None:
    job = make_id(name)
    faults = context.world.store.faults
    fleet = context.world.fleet
    note = fleet.record_start
    context.started = []

    def record_start(worker: Any, order: Any) -> None:
        if order.task.startswith(job):
            context.started.append(read_clock())
        note(worker, order)

    async def play() -> None:
        faults.unread[take_owner(context).name] = CALLER_REQUESTS_PREFIX
        fleet.record_start = record_start
        await asyncio.sleep(after)
        assert list_running(context.world, job)
        await cancel_at_other(context, name)
        context.cancelled_at = read_clock()
        await asyncio.sleep(seconds - after)
        faults.unread.clear()
        await asyncio.sleep(5.0)
        assert not list_running(context.world, job)

    context.world.run(play())


@then("nothing of {name} started later than {seconds:g} s after that")
def step_not_later(context: Any, name: str, seconds: float) -> None:
    assert context.started, "nothing started at all"
    late = [round(at - context.cancelled_at, 2) for at in context.started]
    assert max(late) <= seconds, late


@when(
    "only the scheduling process is left, and it can't read caller requests"
    " for {seconds:g} s"
)
def step_only_owner(context: Any, seconds: float) -> None:
    world = context.world

    async def play() -> None:
        owner = take_owner(context)
        for name in world.processes:
            if name != owner.name:
                await world.kill(name)
        world.store.faults.unread[owner.name] = CALLER_REQUESTS_PREFIX
        context.owned = [
            await sample_owner(world) is not None for _ in range(int(seconds * 10))
        ]
        world.store.faults.unread.clear()

    world.run(play())


async def sample_owner(world: FleetWorld) -> Process | None:
    await asyncio.sleep(0.1)
    return world.find_owner()


@then("it owned the fleet for most of that time")
def step_owned(context: Any) -> None:
    share = sum(context.owned) / len(context.owned)
    assert share >= 0.7, share


@when("the store is {fault} for {seconds:g} s")
def step_store_fault(context: Any, fault: str, seconds: float) -> None:
    world = context.world
    faults = world.store.faults

    async def play() -> None:
        fence = take_owner(context).election.term.fence
        set_store_fault(world, fault)
        context.fences = {fence}
        for _ in range(int(seconds * 10)):
            await record_fence(context)
        faults.down = faults.hangs = False
        faults.slow_seconds = 0.0
        faults.unread.clear()
        for _ in range(100):
            await record_fence(context)

    world.run(play())


async def record_fence(context: Any) -> None:
    owner = await sample_owner(context.world)
    if owner is not None:
        context.fences.add(owner.election.term.fence)


def set_store_fault(world: FleetWorld, fault: str) -> None:
    faults = world.store.faults
    if fault == "down with its leases paused":
        faults.down = faults.leases_pause = True
    elif fault == "hanging with its leases paused":
        faults.hangs = faults.leases_pause = True
    elif fault == "hanging":
        faults.hangs = True
    elif fault == "sixty times slower":
        faults.slow_seconds = SLOW_STORE_SECONDS
    elif fault == "unable to list the workers for anyone":
        faults.unread.update(dict.fromkeys(world.processes, WORKERS_PREFIX))
    else:
        assert fault == "unable to read caller requests for anyone", fault
        faults.unread.update(dict.fromkeys(world.processes, CALLER_REQUESTS_PREFIX))


@then("the ownership changed at most {most:d} times")
def step_changes(context: Any, most: int) -> None:
    assert len(context.fences) - 1 <= most, context.fences


@given("VMs with {cores:g} cores and {mbps:g} Mbit/s from now on")
def step_vms(context: Any, cores: float, mbps: float) -> None:
    context.vm = (cores, mbps)


@when(
    "all processes die while the store is down, are back,"
    " and the store after {seconds:g} s"
)
def step_return(context: Any, seconds: float) -> None:
    world = context.world

    async def play() -> None:
        world.store.faults.down = True
        names = list(world.processes)
        for name in names:
            await world.kill(name)
        await asyncio.sleep(seconds / 2)
        for name in names:
            world.add_process(name, *context.vm)
        await asyncio.sleep(seconds / 2)
        world.store.faults.down = False

    world.run(play())


@step("a process schedules within {seconds:g} s")
def step_any_owner(context: Any, seconds: float) -> None:
    world = context.world
    world.run(world.wait_for(lambda: world.find_owner() is not None, seconds))


@then("the one that resigned does not schedule within {seconds:g} s")
def step_last_candidate(context: Any, seconds: float) -> None:
    async def watch() -> None:
        for _ in range(int(seconds * 10)):
            owner = await sample_owner(context.world)
            assert owner is None or owner.name != context.resigned

    context.world.run(watch())


@given("the store has an unreadable count of owners that resigned")
def step_unreadable(context: Any) -> None:
    async def put() -> None:
        context.world.store.put(RESIGNATIONS_KEY, b"\xff")

    context.world.run(put())


@then("the count of owners that resigned is gone after {seconds:g} s")
def step_count_gone(context: Any, seconds: float) -> None:
    async def check() -> None:
        await asyncio.sleep(seconds)
        assert context.world.store.read(RESIGNATIONS_KEY) is None

    context.world.run(check())


@then("VMs run for election after these seconds")
def step_election_delays(context: Any) -> None:
    for row in context.table:
        seconds = find_election_delay(float(row["processor"]), float(row["link"]))
        low, high = float(row["from"]), float(row["to"])
        assert low <= seconds <= high, (row.cells, seconds)


HEALTHY = OwnerMetrics(
    requests_age=0.5,
    records_age=0.1,
    workers=100,
    heard=100,
    loop_delay=0.01,
    calls=200,
    unanswered=0.0,
    store_answers=1000.0,
    served=1000.0,
)


@given("a healthy owner")
def step_healthy(context: Any) -> None:
    context.metrics = HEALTHY
    context.health = OwnerHealth()
    context.health.resignations = 0


@given("its {measure} is {value:g}")
def step_measure(context: Any, measure: str, value: float) -> None:
    context.metrics = replace(context.metrics, **{measure: value})


@when("it is judged for {seconds:g} s")
def step_judge(context: Any, seconds: float) -> None:
    times = [number * 0.1 for number in range(int(seconds * 10) + 1)]
    judged = [context.health.judge(context.metrics, at) for at in times]
    context.problem = next((each for each in judged if each is not None), None)


@then("it stays")
def step_stays(context: Any) -> None:
    assert context.problem is None, context.problem


@then("it resigns: {problem}")
def step_resigns(context: Any, problem: str) -> None:
    assert context.problem is not None and context.problem.value == problem


@given("{before} owners resigned before it")
def step_before(context: Any, before: str) -> None:
    context.health.resignations = int(before) if before.isdigit() else None


@then(
    "it may resign after {seconds:g} s, and is the last candidate for {pause:g} s"
    " afterwards"
)
def step_minimum_term(context: Any, seconds: float, pause: float) -> None:
    health = context.health
    assert find_minimum_term_seconds(health.resignations) == seconds
    for served, expected in ((seconds - 0.1, False), (seconds + 0.1, True)):
        metrics = replace(context.metrics, served=served)
        judged = [health.judge(metrics, number * 0.5) for number in range(4)]
        assert any(judged) is expected, (served, judged)
    times = 1000 if health.resignations is None else health.resignations + 1
    assert find_candidacy_pause(times) == pause

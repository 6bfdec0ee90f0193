"""Steps for sequences of events that could be taken as false proof of an end."""

import asyncio
from typing import Any

from behave import given, then, when
from features.doubles.fleet_world import QUEUES, make_policy
from work_steps import list_running, make_id

from primrosestile.clock import read_clock
from primrosestile.coordination.work.keys import CALLER_REQUESTS_PREFIX, make_job_key
from primrosestile.errors import ErrorKind, Failure
from primrosestile.platform.policy import POLICY_KEY
from primrosestile.protocol.maintenance import MaintenanceAnswer
from primrosestile.state.maintenance import Wave

ANSWER_SECONDS = 0.005


@given("maintenance orders for {vm} are refused for {seconds:g} s once it is back")
def step_refused(context: Any, vm: str, seconds: float) -> None:
    vms = context.world.vms
    begin = vms.begin
    back_at: list[float] = []

    async def begin_or_refuse(name: str, wave: int, fence: int) -> MaintenanceAnswer:
        incarnation = next(
            each.worker for each in await vms.list_vms() if each.name == name
        )
        if name != vm or not incarnation.endswith("+"):
            return await begin(name, wave, fence)
        if not back_at:
            back_at.append(read_clock())
        if read_clock() - back_at[0] < seconds:
            return MaintenanceAnswer.BUSY
        return await begin(name, wave, fence)

    vms.begin = begin_or_refuse


@when("operators ask for maintenance of {vm} within {seconds:d} s")
def step_wave_of_one(context: Any, vm: str, seconds: int) -> None:
    waves = context.world.vms.waves
    waves.append(Wave(8 + len(waves), (vm,), float(seconds), 1))


@given("maintenance orders of wave {number:d} are lost on their way")
def step_lost_orders(context: Any, number: int) -> None:
    vms = context.world.vms
    begin = vms.begin

    async def begin_or_lose(name: str, wave: int, fence: int) -> MaintenanceAnswer:
        if wave == number:
            raise Failure(ErrorKind.LIST_UNAVAILABLE, "lost on its way")
        return await begin(name, wave, fence)

    vms.begin = begin_or_lose


@then("wave {number:d} is reported as completed")
def step_is_completed(context: Any, number: int) -> None:
    assert number in context.world.vms.completed, context.world.vms.completed


@then("wave {number:d} is not reported as completed")
def step_not_completed(context: Any, number: int) -> None:
    assert number not in context.world.vms.completed, context.world.vms.completed


@when("worker {name} is added to the list")
def step_new_worker(context: Any, name: str) -> None:
    async def add() -> None:
        context.world.add_worker(name)

    context.world.run(add())


@given("the store drops its history and answers late while records are removed")
def step_slow_lists(context: Any) -> None:
    """Let the list of jobs be read just before a removal and returned just after."""
    world = context.world
    owner = world.processes["p1"]
    assert owner.scheduler is not None
    client = owner.scheduler._store
    read_list, commit = client.list, client.commit

    async def list_late(prefix: str, after: str = "") -> Any:
        page = await read_list(prefix, after)
        if prefix == CALLER_REQUESTS_PREFIX:
            await asyncio.sleep(ANSWER_SECONDS)
        return page

    async def commit_late(*change: Any, **named: Any) -> Any:
        if any(key.startswith(make_job_key("")) for key in named.get("removals", ())):
            # Another client's write moves the revision past the watched one.
            world.store.put("learned/elsewhere", b"")
            world.store.compact()
            await asyncio.sleep(ANSWER_SECONDS / 2)
        return await commit(*change, **named)

    client.list, client.commit = list_late, commit_late


@then("nothing of {name} starts again within {seconds:d} s")
def step_starts_no_more(context: Any, name: str, seconds: int) -> None:
    world = context.world
    job = make_id(name)

    async def check() -> None:
        before = len([1 for task, _, _ in world.fleet.starts if task.startswith(job)])
        await asyncio.sleep(seconds)
        now = len([1 for task, _, _ in world.fleet.starts if task.startswith(job)])
        assert before and now == before, f"{name}: {before} starts, then {now}"
        assert not list_running(world, job)

    world.run(check())


@when("version {version:d} of the configuration has {queues}")
def step_queues(context: Any, version: int, queues: str) -> None:
    names = QUEUES if queues == "all queues" else {"urgent": QUEUES["urgent"]}

    async def put() -> None:
        policy = make_policy(version, queues=dict(names))
        context.world.store.put(POLICY_KEY, policy)
        await asyncio.sleep(0.3)

    context.world.run(put())

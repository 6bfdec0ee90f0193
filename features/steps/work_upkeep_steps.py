"""Steps for maintenance waves on the stand-in."""

import asyncio
from collections import defaultdict
from dataclasses import replace
from itertools import pairwise
from typing import Any

import msgspec
from behave import given, step, then, when
from work_services_steps import FOREVER, SERVICE, SERVICE_STEP
from work_steps import hand_in, list_running, step_owner_dies

from primrosestile.clock import read_clock
from primrosestile.coordination.work.keys import MAINTENANCE_PREFIX
from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.maintenance import MaintenanceAnswer
from primrosestile.state.maintenance import VmState, Wave, WaveRecord, WorkerVm

LIST_SECONDS = 0.1
ORDER_DELAY_SECONDS = 0.5


@given("a VM under each worker")
def step_vms(context: Any) -> None:
    for name in list(context.world.fleet.workers):
        context.world.vms.add(f"vm-{name}", name)


@given("the answers to the next {count:d} maintenance orders are lost")
def step_lost(context: Any, count: int) -> None:
    context.world.vms.lose_answers = count


@given("maintenance orders are refused for a VM that is away")
def step_refused_away(context: Any) -> None:
    vms = context.world.vms
    begin, read = vms.begin, vms.list_vms

    async def begin_or_refuse(name: str, wave: int, fence: int) -> MaintenanceAnswer:
        if name in [each.name for each in await read() if each.state is VmState.UP]:
            return await begin(name, wave, fence)
        return MaintenanceAnswer.BUSY

    vms.begin = begin_or_refuse


@given("maintenance takes {seconds:g} s")
def step_maintenance_seconds(context: Any, seconds: float) -> None:
    context.world.vms.seconds = seconds


@given("the worker on {vm} is replaced just before its maintenance is ordered")
def step_replaced(context: Any, vm: str) -> None:
    vms = context.world.vms
    begin = vms.begin

    async def replace_and_begin(name: str, wave: int, fence: int) -> MaintenanceAnswer:
        if name == vm and not vms.orders:
            vms.replace(name)
            await asyncio.sleep(ORDER_DELAY_SECONDS)
        return await begin(name, wave, fence)

    vms.begin = replace_and_begin


@given("{vm} is left out of the list for {seconds:g} s")
def step_left_out(context: Any, vm: str, seconds: float) -> None:
    vms = context.world.vms
    read = vms.list_vms
    first_at: list[float] = []

    async def list_others() -> tuple[WorkerVm, ...]:
        first_at.append(read_clock())
        if read_clock() - first_at[0] > seconds:
            return await read()
        return tuple(each for each in await read() if each.name != vm)

    vms.list_vms = list_others


@given("VMs that are away are left out of the list")
def step_away_left_out(context: Any) -> None:
    vms = context.world.vms
    read = vms.list_vms

    async def list_up() -> tuple[WorkerVm, ...]:
        return tuple(each for each in await read() if each.state is VmState.UP)

    vms.list_vms = list_up


@given(
    "the next maintenance order is refused, and the answer to removing its record"
    " is lost"
)
def step_record_removed(context: Any) -> None:
    world = context.world
    owner = next(each for each in world.processes.values() if each.election.term)
    assert owner.scheduler is not None
    client = owner.scheduler._store
    begin, commit = world.vms.begin, client.commit
    refused: list[str] = []
    recorded: list[int] = []

    async def refuse_once(name: str, wave: int, fence: int) -> MaintenanceAnswer:
        if refused:
            return await begin(name, wave, fence)
        refused.append(name)
        return MaintenanceAnswer.BUSY

    async def commit_and_lose(conditions: Any, writes: Any = (), **named: Any) -> Any:
        done = await commit(conditions, writes, **named)
        for write in writes:
            if write.key.startswith(MAINTENANCE_PREFIX):
                record = msgspec.msgpack.decode(write.value, type=WaveRecord)
                recorded.append(len(record.begun))
                if recorded == [1, 0]:
                    raise Failure(ErrorKind.STORE_UNAVAILABLE, "lost")
        return done

    world.vms.begin, client.commit = refuse_once, commit_and_lose


@given("the list of VMs is {seconds:g} s old")
def step_old_list(context: Any, seconds: float) -> None:
    vms = context.world.vms
    read = vms.list_vms
    seen: list[tuple[float, tuple[WorkerVm, ...]]] = []

    async def keep() -> None:
        while True:
            seen.append((read_clock(), await read()))
            await asyncio.sleep(LIST_SECONDS)

    async def list_old() -> tuple[WorkerVm, ...]:
        await asyncio.sleep(0.004)
        until = read_clock() - seconds
        return [vms for at, vms in seen if at <= until or at == seen[0][0]][-1]

    async def begin() -> None:
        context.listing = asyncio.create_task(keep())
        await asyncio.sleep(0.1)

    context.world.run(begin())
    vms.list_vms = list_old


@when("operators ask for maintenance of all VMs within {seconds:d} s, {most:d} at once")
def step_wave(context: Any, seconds: int, most: int) -> None:
    names = tuple(f"vm-{name}" for name in context.world.fleet.workers)
    context.world.vms.waves.append(Wave(7, names, float(seconds), most))


@then("the wave is reported as completed, and was")
def step_completed_wave(context: Any) -> None:
    assert context.world.vms.completed == {7: []}, context.world.vms.completed


@when("operators add {vm} to wave {number:d}")
def step_add_vm(context: Any, vm: str, number: int) -> None:
    vms = context.world.vms
    vms.waves = [
        replace(each, vms=(*each.vms, vm)) if each.number == number else each
        for each in vms.waves
    ]


@then("wave {number:d} is reported as running")
def step_running(context: Any, number: int) -> None:
    assert number not in context.world.vms.completed, context.world.vms.completed


@then("{vm} has had its maintenance in wave {number:d}")
def step_had_maintenance(context: Any, vm: str, number: int) -> None:
    assert context.world.vms.has_begun(vm, number)


@then("wave {number:d} is reported as completed, and was")
def step_completed_truly(context: Any, number: int) -> None:
    completed = context.world.vms.completed
    assert completed.get(number) == [], completed


@given("maintenance orders of wave {number:d} are lost on their way for {seconds:g} s")
def step_lost_for(context: Any, number: int, seconds: float) -> None:
    vms = context.world.vms
    begin = vms.begin
    first_at: list[float] = []

    async def begin_or_lose(name: str, wave: int, fence: int) -> MaintenanceAnswer:
        if wave != number:
            return await begin(name, wave, fence)
        first_at.append(read_clock())
        if read_clock() - first_at[0] < seconds:
            raise Failure(ErrorKind.LIST_UNAVAILABLE, "lost on its way")
        return await begin(name, wave, fence)

    vms.begin = begin_or_lose


@then("at most {most:d} VMs were away at once")
def step_most_away(context: Any, most: int) -> None:
    assert context.world.vms.peak_unavailable <= most, (
        context.world.vms.peak_unavailable
    )


@when("the owner is lost right after its {which} order")
def step_lost_after_order(context: Any, which: str) -> None:
    world = context.world
    count = ("first", "second").index(which) + 1

    async def wait() -> None:
        await world.wait_for(lambda: len(world.vms.orders) == count, 30.0)

    world.run(wait())
    step_owner_dies(context)


@then("no VM had orders of two owners within {seconds:g} s")
def step_one_owner_orders(context: Any, seconds: float) -> None:
    by_vm = defaultdict(list)
    for at, name, fence in context.world.vms.orders:
        by_vm[name].append((at, fence))
    for orders in by_vm.values():
        for (at, fence), (later, other) in pairwise(orders):
            assert fence == other or later - at > seconds


@when(
    "a service of {count:d} tasks of {each:d} accelerators of which {away:d}"
    " may be away runs"
)
def step_service(context: Any, count: int, each: int, away: int) -> None:
    context.scripts[SERVICE] = {"seconds": FOREVER, "serves": True}
    step = {**SERVICE_STEP, "count": count, "gpu": each, "may_miss": away}
    hand_in(context, "service", "usual", "domes", steps=[step])


@given("the record of wave {number:d} can't be read")
def step_unreadable_record(context: Any, number: int) -> None:
    async def put() -> None:
        context.world.store.put(f"upkeep/{number}", b"\xff\xfe")
        context.term = context.world.find_owner().election.term

    context.world.run(put())


@when("operators ask for wave {number:d} of the same VMs")
def step_second_wave(context: Any, number: int) -> None:
    names = tuple(f"vm-{name}" for name in context.world.fleet.workers)
    context.world.vms.waves.append(Wave(number, names, 60.0, 2))


@then("no VM was ordered for wave {number:d}")
def step_wave_not_ordered(context: Any, number: int) -> None:
    assert number not in context.world.vms.completed
    assert len(context.world.vms.orders) == len(context.world.vms.waves[1].vms)


@then("the owner's term went on")
def step_same_term(context: Any) -> None:
    async def check() -> None:
        assert context.world.find_owner().election.term is context.term

    context.world.run(check())


@step("the list of VMs is empty for {seconds:g} s")
def step_empty_list(context: Any, seconds: float) -> None:
    """Let reads of the list return nothing for a time, from the first read on."""
    vms = context.world.vms
    read = vms.list_vms
    first_at: list[float] = []

    async def list_none() -> tuple[WorkerVm, ...]:
        first_at.append(read_clock())
        return await read() if read_clock() - first_at[0] > seconds else ()

    vms.list_vms = list_none


@given("{vm} is removed for good")
def step_removed(context: Any, vm: str) -> None:
    del context.world.vms._vms[vm]


@given("the running tasks of the service are counted as each maintenance begins")
def step_count_service_tasks(context: Any) -> None:
    world = context.world
    begin = world.vms.begin
    context.counts = []

    async def count_and_begin(name: str, wave: int, fence: int) -> MaintenanceAnswer:
        running = len(list_running(world, SERVICE))
        before = len(world.vms.orders)
        answer = await begin(name, wave, fence)
        if len(world.vms.orders) > before:
            context.counts.append(running)
        return answer

    world.vms.begin = count_and_begin


@when("worker {name} crashes for good")
def step_crash_for_good(context: Any, name: str) -> None:
    async def crash() -> None:
        context.world.end_worker(name)

    context.world.run(crash())


@then("at each begin {count:d} tasks of the service ran")
def step_service_tasks_ran(context: Any, count: int) -> None:
    assert context.counts and set(context.counts) == {count}, context.counts

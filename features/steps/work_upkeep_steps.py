"""Steps for waves of upkeep on the stand-in."""

from collections import defaultdict
from itertools import pairwise
from typing import Any

from behave import given, then, when
from work_services_steps import FOREVER, SERVICE, SERVICE_STEP
from work_steps import hand_in, step_owner_dies

from primrosestile.state.upkeep import Wave


@given("a VM under each worker")
def step_vms(context: Any) -> None:
    for name in list(context.world.fleet.workers):
        context.world.vms.add(f"vm-{name}", name)


@given("the answers to the next {count:d} upkeep orders are lost")
def step_lost(context: Any, count: int) -> None:
    context.world.vms.lose_answers = count


@when("operators ask for the upkeep of all VMs within {seconds:d} s, {most:d} at once")
def step_wave(context: Any, seconds: int, most: int) -> None:
    names = tuple(f"vm-{name}" for name in context.world.fleet.workers)
    context.world.vms.waves.append(Wave(7, names, float(seconds), most))


@then("the wave is said to be completed, and was")
def step_completed_wave(context: Any) -> None:
    assert context.world.vms.completed == {7: []}, context.world.vms.completed


@then("at most {most:d} VMs were away at once")
def step_most_away(context: Any, most: int) -> None:
    assert context.world.vms.most_away <= most, context.world.vms.most_away


@when("the owner is lost right after its second order")
def step_lost_after_order(context: Any) -> None:
    world = context.world

    async def wait() -> None:
        await world.wait_for(lambda: len(world.vms.orders) == 2, 30.0)

    world.run(wait())
    step_owner_dies(context)


@then("no VM had orders of two owners within {seconds:g} s")
def step_turns(context: Any, seconds: float) -> None:
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
def step_left_alone(context: Any, number: int) -> None:
    assert number not in context.world.vms.completed
    assert len(context.world.vms.orders) == len(context.world.vms.waves[1].vms)


@then("the owner's term went on")
def step_same_term(context: Any) -> None:
    async def check() -> None:
        assert context.world.find_owner().election.term is context.term

    context.world.run(check())

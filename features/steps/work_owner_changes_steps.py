"""Steps for owners that change while workers are lost."""

import asyncio
from typing import Any

from behave import then, when
from features.steps.work_steps import find_running_worker, list_running, make_id

from primrosestile.coordination.work.keys import LEASE_BOUNDS_KEY

DAMAGED = {
    "overwritten": b"\x91{",
    # More nested than a decoder follows, behind the fields of a record of ours.
    "nested deeply": b"\x94\xa0\x80\x80" + b"\x91" * 5000,
}


@when("a worker that runs {name} is gone with its entry")
def step_gone(context: Any, name: str) -> None:
    lose(context, name)
    context.world.run(remove_entry(context))


@when("a worker that runs {name} is gone beside its entry")
def step_gone_listed(context: Any, name: str) -> None:
    lose(context, name)


def lose(context: Any, name: str) -> None:
    async def crash() -> None:
        context.cut = find_running_worker(context, make_id(name))
        context.cut.crash()

    context.world.run(crash())


async def remove_entry(context: Any) -> None:
    context.world.store.remove(f"servers/{context.cut.entry.worker}")


@when("the worker that was cut off is cut off again")
def step_cut_again(context: Any) -> None:
    context.cut.faults.cut = True


@when(
    "the scheduling process dies and is back after {down:g} s, {times:d} times"
    " in {gap:g} s each"
)
def step_die_often(context: Any, down: float, times: int, gap: float) -> None:
    async def change() -> None:
        world = context.world
        for _ in range(times):
            owner = world.find_owner()
            assert owner is not None, "no process schedules"
            await world.kill(owner.name)
            await asyncio.sleep(down)
            world.add_process(owner.name)
            context.former = owner.name
            await asyncio.sleep(gap - down)

    context.world.run(change())


@when("a process that doesn't schedule dies for good, the former owner")
def step_former_dies(context: Any) -> None:
    context.world.run(context.world.kill(context.former))


@when("a worker that runs {name} is lost at the moment at which the owner dies")
def step_lost_together(context: Any, name: str) -> None:
    async def lose_both() -> None:
        world = context.world
        owner = world.find_owner()
        context.cut = find_running_worker(context, make_id(name))
        await world.kill(owner.name)
        context.cut.crash()
        await remove_entry(context)
        await asyncio.sleep(2.0)
        world.add_process(owner.name)

    context.world.run(lose_both())


@when("the next {count:d} writes are carried out {seconds:g} s late")
def step_late(context: Any, count: int, seconds: float) -> None:
    context.world.store.faults.late_writes = [seconds] * count


@when("the record of silent workers is {damaged} while the owner changes")
def step_overwrite(context: Any, damaged: str) -> None:
    async def overwrite() -> None:
        world = context.world
        owner = world.find_owner()
        await world.kill(owner.name)
        assert world.store.read(LEASE_BOUNDS_KEY) is not None
        world.store.put(LEASE_BOUNDS_KEY, DAMAGED[damaged])
        world.add_process(owner.name)

    context.world.run(overwrite())


@then("{count:d} tasks of {name} run on other workers")
def step_run_elsewhere(context: Any, count: int, name: str) -> None:
    async def check() -> None:
        context.cut.sweep()
        running = list_running(context.world, make_id(name))
        assert len(running) == count, running
        assert not context.cut.runs

    context.world.run(check())

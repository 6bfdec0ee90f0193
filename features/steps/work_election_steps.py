"""Steps for the processes that wait for the ownership."""

import asyncio
import random
from typing import Any

from behave import then, when

from primrosestile.clock import read_clock
from primrosestile.coordination.work.keys import OWNER_KEY

STEP_SECONDS = 0.02
SEED = 20_611


@when("the store has dropped the history of the owner's key")
def step_compact(context: Any) -> None:
    world = context.world
    world.store.put("op/other", b"{}")
    world.store.compact()
    world.store.calls_by_key.clear()
    context.began = world.runner.get_loop().time()


@then(
    "the waiting processes made at most {most:g} calls a second each for the"
    " owner's key"
)
def step_calls(context: Any, most: float) -> None:
    world = context.world
    seconds = world.runner.get_loop().time() - context.began
    waiting = len(world.processes) - 1
    calls = world.store.calls_by_key[OWNER_KEY]
    assert 0 < calls <= most * seconds * waiting, calls / seconds / waiting


@when("the scheduling process hands over")
def step_hand_over(context: Any) -> None:
    async def leave() -> None:
        owner = context.world.find_owner()
        assert owner is not None, "no process schedules"
        context.dead = owner.name
        await owner.election.leave()

    context.world.run(leave())


@when("the store takes {more:g} s longer over each call for {seconds:g} s")
def step_slow_store(context: Any, more: float, seconds: float) -> None:
    context.world.store.faults.slow_seconds = more
    watch_owner(context, seconds)


@when("the store loses the answer to each third renewal for {seconds:g} s")
def step_lost_renewals(context: Any, seconds: float) -> None:
    context.world.store.faults.lose_renewals = 3
    watch_owner(context, seconds)


def watch_owner(context: Any, seconds: float) -> None:
    """Note who may give orders, moment by moment."""

    async def watch() -> None:
        # What was on its way when the trouble began is over by then.
        await asyncio.sleep(1.0)
        for _ in range(round(seconds / STEP_SECONDS)):
            await asyncio.sleep(STEP_SECONDS)
            owner = context.world.find_owner()
            context.owners.append(owner.name if owner else "")

    context.owners = []
    context.world.run(watch())


@then("the same process may give orders all that time")
def step_same_owner(context: Any) -> None:
    missing = context.owners.count("")
    assert len(set(context.owners)) == 1, (set(context.owners), missing)


@when("{count:d} owners die one after another, each at a moment of its own")
def step_owners_die(context: Any, count: int) -> None:
    world = context.world
    chance = random.Random(SEED)
    context.absences = []

    async def replace_one(number: int) -> None:
        await world.wait_for(lambda: world.find_owner() is not None, 5.0)
        await asyncio.sleep(chance.uniform(1.0, 3.0))
        owner = world.find_owner()
        died_at = read_clock()
        await world.kill(owner.name)
        world.add_process(f"q{number}")
        await world.wait_for(lambda: is_at_work(world), 10.0)
        context.absences.append(read_clock() - died_at)

    async def replace_all() -> None:
        for number in range(count):
            await replace_one(number)

    world.run(replace_all())


def is_at_work(world: Any) -> bool:
    """Whether an owner has read what there is and may give orders."""
    owner = world.find_owner()
    if owner is None or owner.scheduler is None:
        return False
    return bool(owner.scheduler.count().get("workers_in_hand"))


@then("none was missed for more than {most:g} s")
def step_absence(context: Any, most: float) -> None:
    absences = sorted(context.absences)
    median = absences[len(absences) // 2]
    print(f"median {median:.2f} s, worst {absences[-1]:.2f} s")
    assert absences[-1] <= most, absences[-5:]

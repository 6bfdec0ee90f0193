"""Steps for elections and the processes that watch the owner's key."""

import asyncio
import random
from typing import Any

from behave import given, then, when
from features.doubles.fleet_world import FleetWorld, Process

from primrosestile.clock import read_clock
from primrosestile.coordination.work.keys import OWNER_KEY

SAMPLE_SECONDS = 0.02
FROZEN_SECONDS = 4.0
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


@when("the store takes {more:g} s longer for each call for {seconds:g} s")
def step_slow_store(context: Any, more: float, seconds: float) -> None:
    context.world.store.faults.slow_seconds = more
    watch_owner(context, seconds)


@when("the store loses the answer to each third renewal for {seconds:g} s")
def step_lost_renewals(context: Any, seconds: float) -> None:
    context.world.store.faults.lose_renewals = 3
    watch_owner(context, seconds)


def watch_owner(context: Any, seconds: float) -> None:
    """Record at short intervals which process may give orders."""

    async def watch() -> None:
        # Calls that were under way when the fault began have ended by then.
        await asyncio.sleep(1.0)
        for _ in range(round(seconds / SAMPLE_SECONDS)):
            await asyncio.sleep(SAMPLE_SECONDS)
            owner = context.world.find_owner()
            context.owners.append(owner.name if owner else "")
            term = owner.election.term if owner else None
            context.doubtful += bool(term and term.doubtful)

    context.owners = []
    context.doubtful = 0
    context.world.run(watch())


@then("the same process may give orders all that time")
def step_same_owner(context: Any) -> None:
    missing = context.owners.count("")
    assert len(set(context.owners)) == 1, (set(context.owners), missing)


@then("it doubted the store for at most {most:g} of that time")
def step_doubt(context: Any, most: float) -> None:
    share = context.doubtful / len(context.owners)
    assert share <= most, share


@given("{count:d} more workers")
def step_more_workers(context: Any, count: int) -> None:
    async def add() -> None:
        for number in range(count):
            context.world.add_worker(f"x{number}", rack=f"r{number // 20}")
        await asyncio.sleep(2.0)

    context.world.run(add())


async def kill(world: FleetWorld, owner: Process) -> None:
    await world.kill(owner.name)


async def leave(world: FleetWorld, owner: Process) -> None:
    await owner.election.leave()
    await world.kill(owner.name)


async def freeze(world: FleetWorld, owner: Process) -> None:
    world.store.faults.silent.add(owner.name)
    owner.frozen_for += FROZEN_SECONDS


async def cut_off(world: FleetWorld, owner: Process) -> None:
    world.store.faults.silent.add(owner.name)


async def refuse(world: FleetWorld, owner: Process) -> None:
    world.store.faults.refused.add(owner.name)


REMOVALS = (kill, leave, freeze, cut_off, refuse)


@when("{count:d} owners in turn die, leave, freeze, are cut off or refused")
def step_replace_owners(context: Any, count: int) -> None:
    world: FleetWorld = context.world
    rng = random.Random(SEED)
    context.absences = []

    async def replace_one(number: int) -> None:
        await world.wait_for(lambda: has_acquired_workers(world, ""), 10.0)
        await asyncio.sleep(rng.uniform(1.0, 3.0))
        owner = world.find_owner()
        assert owner is not None
        remove = REMOVALS[number % len(REMOVALS)]
        gone_at = read_clock()
        await remove(world, owner)
        await world.wait_for(lambda: has_acquired_workers(world, owner.name), 10.0)
        context.absences.append((round(read_clock() - gone_at, 2), remove.__name__))
        world.store.faults.silent.discard(owner.name)
        world.store.faults.refused.discard(owner.name)
        await world.kill(owner.name)
        world.add_process(f"q{number}")

    async def replace_all() -> None:
        for number in range(count):
            await replace_one(number)

    world.run(replace_all())


def has_acquired_workers(world: FleetWorld, former: str) -> bool:
    """Whether an owner other than the former one has acquired workers."""
    for process in world.processes.values():
        term = process.election.term
        acts = term is not None and term.may_act() and process.name != former
        if acts and process.scheduler is not None:
            return bool(process.scheduler.count().get("workers_in_hand"))
    return False


@then("no absence lasted more than {most:g} s")
def step_absence(context: Any, most: float) -> None:
    absences = sorted(context.absences)
    assert absences[-1][0] <= most, absences

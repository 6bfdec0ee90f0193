"""Steps on the settings follower, on a paused clock."""

import asyncio
from dataclasses import replace
from typing import Any

import looptime
from behave import given, then, when
from features.settings.doubles import (
    ACTOR,
    encode_text,
    make_loaded_store,
    read_example_settings,
    run_paused,
)

from primrosestile.clock import read_clock
from primrosestile.coordination.follower import SettingsFollower, make_follower
from primrosestile.coordination.settingstore import (
    encode_stored,
    make_setting_key,
    put_setting,
)
from primrosestile.state.fleet import Cell, FailureDomain, Fleet, Rack, Worker
from primrosestile.state.settings import Settings, StoredSetting
from primrosestile_standin.store import MemoryStore


class World:
    """One loop with a store and a follower that runs over several steps."""

    def __init__(self) -> None:
        self.runner = asyncio.Runner(loop_factory=looptime.new_event_loop)
        self.store: MemoryStore = self.runner.run(make_loaded_store("domeworks"))
        self.seen: list[Settings] = []
        self.runner.run(self.start())

    async def start(self) -> None:
        self.follower: SettingsFollower = make_follower(self.store, "follower")
        self.follower.add_handler(self.seen.append)
        self.task = asyncio.create_task(self.follower.run())
        await self.follower.wait_for_first()

    async def set_limit(self, limit: int) -> None:
        policy = replace(self.follower.settings.policy, queue_limit=limit)
        revision = self.follower.revisions["policy"]
        await put_setting(self.store, "policy", encode_text(policy), revision, ACTOR)

    def store_policy(self, stored: StoredSetting) -> None:
        key = make_setting_key("policy")
        current = self.store.read_all()[key]
        data = encode_stored(stored)
        self.runner.run(self.store.put(key, data, current.mod_revision))


@given("a settings follower of the domeworks example")
def give_follower(context: Any) -> None:
    context.world = World()
    context.cleanups.append(context.world.runner.close)


@when("an operator sets the queue limit to {limit:d}")
def set_limit(context: Any, limit: int) -> None:
    context.world.runner.run(context.world.set_limit(limit))


@when("the settings store is down for 60 seconds and the queue limit changes to {n:d}")
def change_in_outage(context: Any, n: int) -> None:
    world = context.world

    async def work() -> None:
        # The change is made just before the outage, and its news is cut off.
        await world.set_limit(n)
        world.store.faults.down = True
        await asyncio.sleep(60)
        world.store.faults.down = False

    world.runner.run(work())


@then("the settings follower kept the example meanwhile")
def keep_example(context: Any) -> None:
    example = read_example_settings("domeworks")
    for seen in context.world.seen:
        assert seen.fleet in (example.fleet, Fleet())
    assert context.world.follower.settings.fleet == example.fleet


@when("the settings watch goes silent and the queue limit changes to {limit:d}")
def change_in_silence(context: Any, limit: int) -> None:
    context.world.store.faults.silent_watches = True
    context.world.runner.run(asyncio.sleep(1))
    context.world.runner.run(context.world.set_limit(limit))


@when("the queue limit changes to {limit:d} and the old policy arrives again")
def change_and_old(context: Any, limit: int) -> None:
    world = context.world
    old = world.follower.values["policy"]
    world.runner.run(world.set_limit(limit))
    world.runner.run(asyncio.sleep(1))
    assert world.follower.apply({"policy": old}) is False


@when("the store holds a policy that no program can read")
def store_unreadable(context: Any) -> None:
    context.world.store_policy(StoredSetting(9, '{"queue_limit": "many"}'))
    context.world.runner.run(asyncio.sleep(5))
    assert context.world.follower.revisions["policy"] == 1


@then(
    "the settings follower shows a queue limit of {limit:d} within {seconds:d} seconds"
)
def show_limit(context: Any, limit: int, seconds: int) -> None:
    world = context.world

    async def wait() -> None:
        deadline = read_clock() + seconds
        while world.follower.settings.policy.queue_limit != limit:
            assert read_clock() < deadline, world.follower.settings.policy
            await asyncio.sleep(0.1)

    world.runner.run(wait())


def make_large_fleet(workers: int) -> Fleet:
    racks = tuple(Rack(f"rack-{i}", f"domain-{i % 19}") for i in range(workers // 8))
    return Fleet(
        tuple(FailureDomain(f"domain-{i}", f"region-{i % 8}") for i in range(19)),
        racks,
        tuple(Cell(f"cell-{rack.name}", (rack.name,)) for rack in racks),
        tuple(
            Worker(f"worker-{i}", f"rack-{i // 8}", f"10.0.{i // 250}.{i % 250}:8000")
            for i in range(workers)
        ),
    )


@given("a settings store with a fleet of {workers:d} workers")
def give_large(context: Any, workers: int) -> None:
    context.store = MemoryStore()
    context.fleet = make_large_fleet(workers)
    value = encode_text(context.fleet)
    run_paused(put_setting(context.store, "fleet", value, 0, ACTOR))


@when("the large fleet is changed {count:d} times")
def change_large(context: Any, count: int) -> None:
    for i in range(count):
        workers = list(context.fleet.workers)
        workers[i] = replace(workers[i], slots=9)
        context.fleet = replace(context.fleet, workers=tuple(workers))
        value = encode_text(context.fleet)
        run_paused(put_setting(context.store, "fleet", value, i + 1, ACTOR))


@then("a new settings follower shows {workers:d} workers")
def show_workers(context: Any, workers: int) -> None:
    async def read() -> Fleet:
        follower = make_follower(context.store, "follower")
        task = asyncio.create_task(follower.run())
        await follower.wait_for_first()
        task.cancel()
        return follower.settings.fleet

    assert run_paused(read()) == context.fleet

"""Steps on the settings follower, on a paused clock."""

import asyncio
from dataclasses import replace
from typing import Any

import looptime
import msgspec
from behave import given, then, when
from features.settings.doubles import (
    ACTOR,
    encode_text,
    make_loaded_store,
    read_example,
    read_example_settings,
    run_paused,
)
from hypothesis import given as for_all, settings as fuzz_settings, strategies as st
from tools.bench.fleets import make_settings

from primrosestile.clock import read_clock
from primrosestile.coordination.setting_store import (
    decode_stored,
    encode_stored,
    make_setting_key,
    put_setting,
)
from primrosestile.coordination.settings_follower import SettingsFollower, make_follower
from primrosestile.decisions.settings_check import check_raw
from primrosestile.decisions.settings_parts import list_load_steps
from primrosestile.decisions.settings_view import SettingsView
from primrosestile.state.fleet import Fleet
from primrosestile.state.settings import Settings, StoredSetting
from primrosestile_standin.store import MemoryStore

MEGABYTE = 1_000_000


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
        # The change is made just before the outage, which cuts off its notification.
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


@given(
    "a settings store loaded with {workers:d} workers, {domains:d} domains, {n:d} teams"
)
def give_large(context: Any, workers: int, domains: int, n: int) -> None:
    context.store = MemoryStore()
    context.large = make_settings(workers, n, domains)
    document = msgspec.to_builtins(context.large)
    assert check_raw(document, with_capacity=False) == ()
    steps = list_load_steps(document, {})
    assert len(steps) == 3 + domains + n

    async def load() -> None:
        for path, value in steps:
            await put_setting(context.store, path, encode_text(value), 0, ACTOR)

    run_paused(load())


@when("the workers of {domain} are changed {count:d} times in the large settings")
def change_large(context: Any, domain: str, count: int) -> None:
    fleet = context.large.fleet
    racks = {rack.name for rack in fleet.racks if rack.failure_domain == domain}
    workers = list(fleet.workers)
    own = [i for i, worker in enumerate(workers) if worker.rack in racks]

    async def change() -> None:
        for revision, i in enumerate(own[:count], start=1):
            workers[i] = replace(workers[i], slots=9)
            value = encode_text([workers[each] for each in own])
            path = f"workers/{domain}"
            await put_setting(context.store, path, value, revision, ACTOR)

    run_paused(change())
    changed = replace(fleet, workers=tuple(workers))
    context.large = replace(context.large, fleet=changed)


@then("each stored setting is below a megabyte with its audit entries, also unpacked")
def check_sizes(context: Any) -> None:
    for key, entry in context.store.read_all().items():
        assert len(entry.value) < MEGABYTE, (key, len(entry.value))
        if key.startswith("settings/"):
            text = msgspec.json.encode(decode_stored(entry.value))
            assert len(text) < MEGABYTE, (key, len(text))


@then("a new settings follower shows the same large settings")
def show_large(context: Any) -> None:
    async def read() -> SettingsFollower:
        follower = make_follower(context.store, "follower")
        await follower.refresh()
        return follower

    follower = run_paused(read())
    assert follower.excluded_workers == ()
    assert follower.settings.fleet == context.large.fleet
    assert follower.settings.guarantees == context.large.guarantees
    assert follower.settings.policy == context.large.policy
    by_name = sorted(context.large.teams, key=lambda team: team.name)
    assert list(follower.settings.teams) == by_name


@then("a follower that gets the example's values in any order shows only what fits")
def check_any_order(context: Any) -> None:
    store = run_paused(make_loaded_store("domeworks"))
    values = {
        key.removeprefix("settings/"): entry.value
        for key, entry in store.read_all().items()
    }
    example = read_example_settings("domeworks").fleet

    @fuzz_settings(derandomize=True, max_examples=60, deadline=None, database=None)
    @for_all(st.permutations(sorted(values)))
    def check(paths: list[str]) -> None:
        follower = make_follower(MemoryStore(), "follower")
        for path in paths:
            follower.apply({path: values[path]})
            fleet = follower.settings.fleet
            racks = {rack.name for rack in fleet.racks}
            assert {worker.rack for worker in fleet.workers} <= racks
            view = SettingsView(follower.settings)
            grouped = [each for found in view.workers_in.values() for each in found]
            assert len(grouped) == len(fleet.workers)
        assert follower.settings.fleet == example
        assert follower.excluded_workers == ()

    check()


@given("a fleet that is stored with its workers, as earlier versions did")
def give_old_form(context: Any) -> None:
    context.store = MemoryStore()
    context.fleet = read_example_settings("domeworks").fleet
    value = encode_text(context.fleet)
    run_paused(put_setting(context.store, "fleet", value, 0, ACTOR))


@then("a settings follower shows all its workers, and so at each step of a load")
def check_old_form(context: Any) -> None:
    document = read_example("domeworks")

    async def work() -> None:
        follower = make_follower(context.store, "follower")
        await follower.refresh()
        assert follower.settings.fleet == context.fleet
        stands = {"fleet": msgspec.to_builtins(context.fleet)}
        revisions = {"fleet": 1}
        for path, value in list_load_steps(document, stands):
            if stands.get(path) == value:
                continue
            text, seen = encode_text(value), revisions.get(path, 0)
            stored = await put_setting(context.store, path, text, seen, ACTOR)
            stands[path], revisions[path] = value, stored.revision
            await follower.refresh()
            assert follower.settings.fleet == context.fleet, path
        assert "workers" not in stands["fleet"]

    run_paused(work())

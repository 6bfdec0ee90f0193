"""Steps for lists of workers that arrive late or not at all."""

import asyncio
from typing import Any

from behave import given, then, when
from features.doubles.fleet_world import FleetWorld
from features.steps.work_slow_owner_steps import take_owner
from features.steps.work_steps import make_id

from primrosestile.clock import read_clock
from primrosestile.coordination.work.list_freshness import ListFreshness
from primrosestile.decisions.work.owner_health import MAX_LIST_SILENCE_SECONDS
from primrosestile.platform.entries import WORKERS_PREFIX
from primrosestile_standin.fleet_script import Script

# From a worker's announcement, or an operator's cordon, until nothing starts there.
NOTICE_SECONDS = 2.0


@when("the scheduling process can't read the list of workers")
def step_unread_list(context: Any) -> None:
    async def fail() -> None:
        context.world.store.faults.unread[take_owner(context).name] = WORKERS_PREFIX

    context.world.run(fail())


@when("the scheduling process dies, and the next one can't read the list of workers")
def step_next_unread_list(context: Any) -> None:
    world: FleetWorld = context.world

    async def fail() -> None:
        dead = take_owner(context).name
        unread = world.store.faults.unread
        unread.update(dict.fromkeys(world.processes, WORKERS_PREFIX))
        await world.kill(dead)
        await world.wait_for(lambda: world.find_owner() is not None, 5.0)
        failing = take_owner(context).name
        for name in world.processes:
            if name != failing:
                del unread[name]

    world.run(fail())


@when(
    "{count:d} reads of the first list fail, with {seconds:g} s of loading after each"
)
def step_first_reads_fail(context: Any, count: int, seconds: float) -> None:
    async def fail() -> None:
        freshness = ListFreshness()
        for _ in range(count):
            freshness.record_request()
            await asyncio.sleep(1.0)
            freshness.record_failure()
            await asyncio.sleep(seconds)
        context.list_silence = freshness.silence

    context.world.run(fail())


@then("the list {counts} as silent")
def step_list_silent(context: Any, counts: str) -> None:
    silent = context.list_silence > MAX_LIST_SILENCE_SECONDS
    assert silent is (counts == "counts"), context.list_silence


@given("job {name} of {tasks:d} tasks of {seconds:g} s is handed in at p1")
def step_small_tasks(context: Any, name: str, tasks: int, seconds: float) -> None:
    job_id = make_id(name)
    context.world.fleet.scripts[job_id] = Script(seconds=seconds)
    context.queues[job_id] = "usual"
    step = {"count": tasks, "cpu": 1000, "mem_mb": 1000, "gpu": 1, "estimate_ms": 500}
    context.world.run(context.world.submit("p1", job_id, steps=[step]))


@when("on worker {worker}, {event}")
def step_event(context: Any, event: str, worker: str) -> None:
    world: FleetWorld = context.world

    async def begin() -> None:
        faults = world.store.faults
        if event == "maintenance is announced":
            world.list_worker(worker, state="draining")
        elif event == "a cordon is set":
            world.store.put("op/evacuate/perth", b"")
        elif event == "the entry expires":
            world.store.remove(f"{WORKERS_PREFIX}{worker}")
        elif event == "the entry is damaged":
            world.store.put(f"{WORKERS_PREFIX}{worker}", b"{")
        else:
            assert event == "the entry is not answered", event
            faults.unread_key["p1"] = f"{WORKERS_PREFIX}{worker}"
        context.event_at = read_clock()

    world.run(begin())


@when("the store drops its history and its watches are silent")
def step_history(context: Any) -> None:
    async def begin() -> None:
        context.world.store.faults.silent_watches = True
        context.world.store.compact()

    context.world.run(begin())


@then("worker {worker} gets no start later than {seconds:g} s after that")
def step_no_late_start(context: Any, worker: str, seconds: float) -> None:
    async def check() -> None:
        starts = context.world.fleet.starts
        await asyncio.sleep(seconds)
        counted = len(starts)
        await asyncio.sleep(10.0)
        late = [start for start in starts[counted:] if start[2] == worker]
        assert not late, (len(late), late[:3])
        # Work went on elsewhere, so there was something that could have started there.
        assert len(starts) > counted, counted

    context.world.run(check())


@then("worker {worker} had got starts before")
def step_had_starts(context: Any, worker: str) -> None:
    assert any(start[2] == worker for start in context.world.fleet.starts)

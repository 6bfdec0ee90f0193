"""Steps for workers whose capacity changes and that refuse no start."""

import asyncio
from typing import Any

from behave import given, then, when
from features.steps.work_steps import list_running, make_id
from msgspec.structs import replace

from primrosestile.coordination.work.keys import make_progress_key
from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.fleet import StartOrder
from primrosestile.state.work import Need
from primrosestile_standin.fleet_script import Script

ORPHANED_JOB = make_id("orphan")


@given("no worker refuses what does not fit")
def step_unchecked(context: Any) -> None:
    for worker in context.world.fleet.workers.values():
        worker.faults.overcommits = True


@when("worker {name} has {count:d} accelerators from now on")
def step_capacity(context: Any, name: str, count: int) -> None:
    async def change() -> None:
        worker = context.world.fleet.workers[name]
        capacity = replace(worker.entry.capacity, accelerators=count)
        worker.change_capacity(capacity)
        entry = worker.entry
        context.world.list_worker(name, entry.address, entry.rack, count)

    context.world.run(change())


@when("the store goes down as soon as a start of {name} is recorded")
def step_down_at_start(context: Any, name: str) -> None:
    """Take the store down at the first write of a job's progress record."""
    store = context.world.store
    key = make_progress_key(make_id(name))
    apply = store.apply

    def apply_or_fail(conditions: Any, writes: Any, removals: Any) -> Any:
        if any(write.key == key for write in writes):
            store.faults.down = store.faults.leases_pause = True
            store.apply = apply
            raise Failure(ErrorKind.STORE_UNAVAILABLE, "down")
        return apply(conditions, writes, removals)

    store.apply = apply_or_fail


@then("{count:d} tasks of {name} run")
def step_count_running(context: Any, count: int, name: str) -> None:
    running = list_running(context.world, make_id(name))
    assert len(running) == count, running


@when(
    "{first} and {second} run a task of {count:d} accelerators that no job has,"
    " and stop it in {seconds:g} s"
)
def step_orphans(
    context: Any, first: str, second: str, count: int, seconds: float
) -> None:
    async def start() -> None:
        fleet = context.world.fleet
        for number, name in enumerate((first, second)):
            worker = fleet.workers[name]
            worker.faults.stop_seconds = seconds
            task = f"{ORPHANED_JOB}.0.0.{number}"
            fleet.scripts[task] = Script(60.0, Need(1000, 1000, count))
            until = worker.read_clock() + 8.0
            worker.take_start(worker.fence, StartOrder(task, 1, "", until))
        await asyncio.sleep(0.05)

    context.world.run(start())

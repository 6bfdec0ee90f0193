"""Steps for waiting jobs and the keys by which they are counted."""

import asyncio
from typing import Any

from behave import given, then, when
from features.doubles.fleet_world import FleetWorld, Process

from primrosestile.coordination.work.keys import make_waiting_key
from primrosestile.state.work import Need
from primrosestile_standin.fleet_script import Script

QUEUE = "usual"
REMOVED_JOB = "00000000000000ff"
TASK = {"cpu": 1000, "mem_mb": 1000, "gpu": 1, "estimate_ms": 60_000}


@given("every task takes {seconds:g} s")
def step_all_take(context: Any, seconds: float) -> None:
    context.world.fleet.default = Script(seconds, Need(1000, 1000, 1))


@given("{running:d} jobs of {tasks:d} tasks run, and {waiting:d} wait")
def step_jobs(context: Any, running: int, tasks: int, waiting: int) -> None:
    world: FleetWorld = context.world
    context.running = [f"{number:016x}" for number in range(running)]
    context.waiting = [f"b{number:015x}" for number in range(waiting)]
    steps = [{"count": tasks, **TASK}]

    async def hand_in() -> None:
        for job in context.running:
            await world.submit("p1", job, QUEUE, steps=steps)
        await asyncio.sleep(2.0)
        for job in context.waiting:
            await world.submit("p1", job, QUEUE, steps=steps)
        await asyncio.sleep(1.0)

    world.run(hand_in())
    world.store.bytes_listed.clear()


@then("{process} has read at most {most:d} bytes for that")
def step_bytes(context: Any, process: str, most: int) -> None:
    # The owner's own reads are counted elsewhere.
    assert context.read <= most, context.read


@given("the key of a waiting job is missing")
def step_missing(context: Any) -> None:
    context.world.store.remove(make_waiting_key(context.waiting[0]))


@given("the key of a job that has begun is still there")
def step_begun(context: Any) -> None:
    context.world.store.put(make_waiting_key(context.running[0]), QUEUE.encode())


@given("the key of a job that is gone is still there")
def step_gone(context: Any) -> None:
    context.world.store.put(make_waiting_key(REMOVED_JOB), QUEUE.encode())


def find_alive(context: Any) -> Process:
    """Return a running process, not the dead owner."""
    processes = context.world.processes.values()
    return next(each for each in processes if each.task and not each.task.done())


@when("one of those that wait is cancelled")
def step_cancel(context: Any) -> None:
    async def cancel() -> None:
        process = find_alive(context)
        queue = process.policies.require().find_queue_by_name(QUEUE)
        assert queue is not None
        assert await process.submitting.cancel(context.waiting[0], queue, "domes")

    context.world.run(cancel())


@then("another process counts {count:d} waiting jobs")
def step_counts(context: Any, count: int) -> None:
    async def count_waiting() -> int:
        process = find_alive(context)
        queue = process.policies.require().find_queue_by_name(QUEUE)
        assert queue is not None
        return await process.submitting.count_pending(queue)

    found = context.world.run(count_waiting())
    assert found == count, found

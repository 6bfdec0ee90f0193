"""Steps for poison tasks, which crash their workers."""

import asyncio
import dataclasses
import random
from typing import Any

from behave import given, then, when
from features.doubles.random_crashes import RandomCrashes
from features.doubles.worker_restarts import Restarts, make_restarts
from features.steps.work_decisions_steps import add_job, add_worker, make_fleet_state
from features.steps.work_steps import hand_in, make_id

from primrosestile.decisions.work.durations import Durations
from primrosestile.decisions.work.plan import make_plan
from primrosestile.decisions.work.proofs import Proof
from primrosestile.decisions.work.speeds import Speeds
from primrosestile.state.work import CrashCount, Need, Step
from primrosestile_standin.fleet_script import Script

LASTING_SECONDS = 10_000.0


@given("crashed workers restart after {seconds:g} s")
def step_restart(context: Any, seconds: float) -> None:
    context.restarts = make_restarts(context.world)
    context.restarts.after = seconds


@given("task {index:d} of {name} crashes its worker after {seconds:g} s")
def step_crashing(context: Any, index: int, name: str, seconds: float) -> None:
    """Override the script of one task, which is set when its job is submitted."""
    task = f"{make_id(name)}.0.0.{index}"
    find_script = context.world.fleet.find_script

    def find_crashing(asked: str) -> Script:
        script = find_script(asked)
        if asked != task:
            return script
        return dataclasses.replace(script, crashes_after=seconds)

    context.world.fleet.find_script = find_crashing


@then("at most {count:d} workers have crashed")
def step_crashed(context: Any, count: int) -> None:
    restarts: Restarts = context.restarts
    assert restarts.count <= count, f"{restarts.count} workers have crashed"


@given("crashed workers restart after {seconds:g} s, and answer nothing until then")
def step_restart_unreachable(context: Any, seconds: float) -> None:
    context.restarts.after = seconds
    context.restarts.unresponsive = True


def find_worker(context: Any, name: str) -> str | None:
    """Return a worker on which a task of a job runs."""
    for worker in context.world.fleet.workers.values():
        if any(task.startswith(make_id(name)) for task in worker.runs):
            return str(worker.entry.worker)
    return None


async def wait_for_worker(context: Any, name: str, seconds: float) -> str:
    """Return a worker on which a task of a job runs, once there is one."""
    await context.world.wait_for(
        lambda: find_worker(context, name) is not None, seconds
    )
    worker = find_worker(context, name)
    assert worker is not None
    return worker


@when(
    "the worker that runs {name} crashes {count:d} times, {seconds:g} s after its start"
)
def step_crash_often(context: Any, name: str, count: int, seconds: float) -> None:
    async def crash() -> None:
        for _ in range(count):
            await wait_for_worker(context, name, 20.0)
            await asyncio.sleep(seconds)
            context.restarts.crash(await wait_for_worker(context, name, 0.1))
        # The last crash is detected once the worker is back.
        await asyncio.sleep(context.restarts.after + 0.3)

    context.world.run(crash())


@given("the tasks of {name} last for ever")
def step_last(context: Any, name: str) -> None:
    context.scripts[make_id(name)] = {"seconds": LASTING_SECONDS}


@when("job {name} of a task that lasts is handed in")
def step_lasting_job(context: Any, name: str) -> None:
    step = {"count": 1, "cpu": 1000, "mem_mb": 100, "gpu": 1, "daemon": True}
    hand_in(context, name, "usual", "domes", steps=[step])


@when("the worker that runs {name} is partitioned for {seconds:g} s, {count:d} times")
def step_partition_often(context: Any, name: str, seconds: float, count: int) -> None:
    async def cut() -> None:
        for _ in range(count):
            worker = await wait_for_worker(context, name, 20.0)
            faults = context.world.fleet.workers[worker].faults
            faults.cut = True
            await asyncio.sleep(seconds)
            faults.cut = False
            await asyncio.sleep(2.0)

    context.world.run(cut())


@then("a task of {name} runs within {seconds:g} s")
def step_runs_within(context: Any, name: str, seconds: float) -> None:
    context.world.run(wait_for_worker(context, name, seconds))


@when("a day of crashes is drawn with seed {seed:d}")
def step_day(context: Any, seed: int) -> None:
    context.day = RandomCrashes(context.world, context.restarts, random.Random(seed))
    context.world.run(context.day.play())


@then("every job of that day ended as expected")
def step_day_ended(context: Any) -> None:
    assert not context.day.wrong, context.day.wrong


@when("worker {name} crashes by itself")
def step_crash_alone(context: Any, name: str) -> None:
    async def crash() -> None:
        context.restarts.crash(name)

    context.world.run(crash())


@then("no task of {name} has had more than {count:d} runs")
def step_decided(context: Any, name: str, count: int) -> None:
    async def list_runs() -> list[int]:
        owner = context.world.find_owner()
        job = owner.scheduler.fleet_state.jobs[make_id(name)]
        return [unit.run for unit in job.units.values()]

    runs = context.world.run(list_runs())
    assert max(runs) <= count, runs


@given(
    "a fleet state with {count:d} workers in use, and 2 tasks of a step with"
    " {first:d} and {second:d} crashes"
)
def step_in_use(context: Any, count: int, first: int, second: int) -> None:
    fleet_state = context.fleet_state = make_fleet_state()
    for number in range(count):
        add_worker(fleet_state, number, 8)
    add_job(fleet_state, 1, 1, (Step(count, Need(100, 100, 1)),))
    for number, unit in enumerate(fleet_state.jobs[f"{1:016x}"].units.values()):
        fleet_state.order(unit, [f"w{number}"], 0.0)
    add_job(fleet_state, 2, 1, (Step(2, Need(100, 100, 1)),))
    context.units = list(fleet_state.jobs[f"{2:016x}"].units.values())
    for unit, crashes in zip(context.units, (first, second), strict=True):
        unit.crashes = {0: CrashCount(0, crashes, 1)}


@when("a pass is planned")
def step_pass(context: Any) -> None:
    context.plan = make_plan(context.fleet_state, Durations(), Speeds(), 1.0)


@then("only the task with 1 crash is started")
def step_sibling(context: Any) -> None:
    started = [each.unit for each in context.plan.starts]
    assert started == [context.units[1]], started


@given("a fleet state with a worker that fell silent with a task of {name} on it")
def step_silent(context: Any, name: str) -> None:
    fleet_state = context.fleet_state = make_fleet_state()
    add_worker(fleet_state, 1, 8)
    add_job(fleet_state, 1, 1, (Step(1, Need(1000, 1000, 1)),))
    (unit,) = fleet_state.jobs[f"{1:016x}"].units.values()
    fleet_state.order(unit, ["w1"], 0.0)
    fleet_state.clear_worker(fleet_state.workers["w1"], Proof.LEASE_OVER, 10.0)


@when("the same incarnation is listed again")
def step_listed(context: Any) -> None:
    context.fleet_state.crashes.record_entry("a1", "w1", 11.0)


@when("another incarnation answers at its address")
def step_next_answers(context: Any) -> None:
    context.fleet_state.crashes.record_answer("a1", "w9", 12.0)


@when("the same incarnation answers")
def step_same_answers(context: Any) -> None:
    context.fleet_state.crashes.record_answer("a1", "w1", 11.5)


@then("no crash of {name} is counted")
def step_none_counted(context: Any, name: str) -> None:
    assert not context.fleet_state.crashes.found


@then("{count:d} crash of {name} is counted")
def step_counted(context: Any, count: int, name: str) -> None:
    found = context.fleet_state.crashes.found
    assert [each.count.count for each in found] == [count], found

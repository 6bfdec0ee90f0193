"""Steps for owners that end before what they recorded has taken effect."""

from dataclasses import replace
from typing import Any

from behave import given, then, when
from features.steps.work_steps import find_running_worker, list_running, make_id

from primrosestile.coordination.work.keys import make_job_key, make_progress_key


@given("task {number:d} of {name} fails at its end, each time after {seconds:g} s")
def step_task_fails(context: Any, number: int, name: str, seconds: float) -> None:
    context.failing = (f"{make_id(name)}.0.0.{number}", seconds)


@when("task {number:d} of {name} runs")
def step_task_runs(context: Any, number: int, name: str) -> None:
    scripts = context.world.fleet.scripts
    failing, seconds = context.failing
    scripts[failing] = replace(scripts[failing], seconds=seconds, fails=True)
    context.task = f"{make_id(name)}.0.0.{number}"

    def runs() -> bool:
        return context.task in list_running(context.world, context.task)

    context.world.run(context.world.wait_for(runs, 5.0))


@when("the worker of task {number:d} of {name} is cut off")
def step_cut_worker(context: Any, number: int, name: str) -> None:
    task = f"{make_id(name)}.0.0.{number}"
    context.cut = find_running_worker(context, task)
    context.cut.faults.cut = True


@when("the worker that was cut off is back")
def step_worker_back(context: Any) -> None:
    context.cut.faults.cut = False


@when("the scheduling process is turned away by the store")
def step_turn_away(context: Any) -> None:
    async def turn_away() -> None:
        context.dead = context.world.find_owner().name
        context.world.store.faults.refused.add(context.dead)

    context.world.run(turn_away())


@when("the store serves every process")
def step_serve_all(context: Any) -> None:
    context.world.store.faults.refused.clear()


@when("the record of {name} is overwritten")
def step_overwrite(context: Any, name: str) -> None:
    async def put() -> None:
        context.world.store.put(make_progress_key(make_id(name)), b"{")

    context.world.run(put())


@then("the records of {name} are removed within {seconds:g} s")
def step_records_removed(context: Any, name: str, seconds: float) -> None:
    keys = (make_job_key(make_id(name)), make_progress_key(make_id(name)))

    def removed() -> bool:
        return all(context.world.store.read(key) is None for key in keys)

    context.world.run(context.world.wait_for(removed, seconds))

"""Steps for tasks that crash their workers."""

import dataclasses
from typing import Any

from behave import given, then
from features.doubles.restarts import Restarts, make_restarts
from features.steps.work_steps import make_id

from primrosestile_standin.fleetscript import Script


@given("crashed workers are back after {seconds:g} s")
def step_back(context: Any, seconds: float) -> None:
    context.restarts = make_restarts(context.world)
    context.restarts.after = seconds


@given("task {index:d} of {name} crashes its worker after {seconds:g} s")
def step_crashing(context: Any, index: int, name: str, seconds: float) -> None:
    """Replace the script of one task, which its job writes when it is handed in."""
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

from typing import Any

from behave import then
from features.fuzzing.running import run_machine
from features.fuzzing.work import WorkMachine


@then(
    "{runs:d} runs of {steps:d} steps with owners, a store and a fleet keep every"
    " promise"
)
def run_work(context: Any, runs: int, steps: int) -> None:
    run_machine(WorkMachine, runs, steps)

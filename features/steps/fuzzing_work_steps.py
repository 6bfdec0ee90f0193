from typing import Any

from behave import given, then, when
from features.doubles.workworld import Job, WorkWorld, check_ledger
from features.fuzzing.running import run_machine
from features.fuzzing.work import SHAPES, WorkMachine

from primrosestile.state.work import JobState


@then(
    "{runs:d} runs of {steps:d} steps with owners, a store and a fleet keep every"
    " promise"
)
def run_work(context: Any, runs: int, steps: int) -> None:
    run_machine(WorkMachine, runs, steps)


@given("a fleet in trouble with 2 processes of ours")
def give_world(context: Any) -> None:
    context.troubled = WorkWorld()
    context.cleanups.append(context.troubled.close)
    context.troubled.begin()


def find_other(world: WorkWorld) -> str:
    """Return a process that runs and does not schedule, if there is one."""
    owner = world.find_owner_name()
    others = [name for name in world.find_running() if name != owner]
    return others[0] if others else owner


@when("a job of {shape} of {seconds:g} s is handed in to the fleet in trouble")
def hand_in(context: Any, shape: str, seconds: float) -> None:
    world = context.troubled
    world.hand_in(find_other(world), seconds, SHAPES[shape])


@when("{seconds:g} s pass in the fleet in trouble")
def pass_time(context: Any, seconds: float) -> None:
    context.troubled.advance(seconds)


@when("the owner of the fleet in trouble is killed")
def kill_owner(context: Any) -> None:
    context.troubled.kill_process(context.troubled.find_owner_name())


@then("the job on the fleet in trouble is known as completed")
def check_known(context: Any) -> None:
    world: WorkWorld = context.troubled
    job: Job = world.jobs[0]
    assert job.accepted, "the job was not accepted"
    state = world.do(world.read_job, job)
    assert state is JobState.COMPLETED, f"shown as {state and state.value}"
    check_ledger(world)


@when("an entry {name} names the address of {vm} in the fleet in trouble")
def list_foreign(context: Any, name: str, vm: str) -> None:
    world = context.troubled
    world.do(world.list_foreign, name, vm)

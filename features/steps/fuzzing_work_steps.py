import asyncio
from collections import Counter
from typing import Any

from behave import given, then, when
from features.doubles.fleetworld import make_address
from features.doubles.worklinks import Way
from features.doubles.workworld import VMS, Job, WorkWorld, check_ledger
from features.fuzzing.running import run_machine
from features.fuzzing.work import SHAPES, WorkMachine

from primrosestile.state.work import JobState

# More than one owner looks within a run.
SLOW_LOOKS = 1000
SLOW_SETTLE_SECONDS = 3.0


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


def hide_owner(world: WorkWorld, vm: str) -> str:
    """Let nobody but the owner reach a VM; return the owner's name."""
    owner = world.find_owner_name()
    for name, seat in world.seats.items():
        if name != owner:
            seat.link.cut.add(make_address(vm))
    return owner


@given(
    "the next {count:d} orders of the owner of the fleet in trouble are lost before"
    " their effect"
)
def lose_orders(context: Any, count: int) -> None:
    world = context.troubled
    link = world.seats[world.find_owner_name()].link
    link.order_ways.extend([Way.LOST_BEFORE] * count)


@when(
    "the owner of the fleet in trouble sleeps for {seconds:g} s, and no other reaches"
    " {vm}"
)
def sleep_owner(context: Any, seconds: float, vm: str) -> None:
    world = context.troubled
    machine = world.seats[hide_owner(world, vm)].machine
    machine.pause()
    world.advance(seconds)
    world.do(machine.resume)


@when(
    "the owner of the fleet in trouble loses the store for {seconds:g} s, reaches {vm}"
    " only, and no other reaches that"
)
def lose_store(context: Any, seconds: float, vm: str) -> None:
    world = context.troubled
    owner = hide_owner(world, vm)
    # Another worker would tell it of the successor.
    world.seats[owner].link.cut |= {make_address(each) for each in VMS if each != vm}
    world.store.faults.refused.add(owner)
    world.advance(seconds)
    world.store.faults.refused.discard(owner)


@given(
    "answers to looks come late in the fleet in trouble, and stops take {seconds:g} s"
)
def slow_looks(context: Any, seconds: float) -> None:
    world = context.troubled
    for seat in world.seats.values():
        seat.link.look_ways.extend([Way.SLOW_BACK] * SLOW_LOOKS)
    for worker in world.serving.values():
        worker.faults.stop_seconds = seconds
    world.advance(SLOW_SETTLE_SECONDS)


@given(
    "{vm} refuses every start in the fleet in trouble for {seconds:g} s from"
    " {moment:g} s on"
)
def refuse_starts(context: Any, vm: str, seconds: float, moment: float) -> None:
    world = context.troubled
    world.advance(moment)
    faults = world.serving[vm].faults
    faults.unhealthy = True

    def take_again() -> None:
        faults.unhealthy = False

    world.do(lambda: asyncio.get_running_loop().call_later(seconds, take_again))


@then("nothing ran twice in the fleet in trouble")
def check_nothing_twice(context: Any) -> None:
    check_ledger(context.troubled)


@then("the job on the fleet in trouble is completed within {seconds:g} s")
def check_completed(context: Any, seconds: float) -> None:
    world: WorkWorld = context.troubled
    until = world.runner.now + seconds
    while world.do(world.read_job, world.jobs[0]) is not JobState.COMPLETED:
        assert world.runner.now < until, f"not completed within {seconds} s"
        world.advance(0.5)
    check_ledger(world)


@then("each task was started once in the fleet in trouble")
def check_once(context: Any) -> None:
    starts = Counter(task for task, _, _ in context.troubled.fleet.starts)
    assert starts and set(starts.values()) == {1}, starts


@when("the next {count:d} writes come {seconds:g} s late in the fleet in trouble")
def late_writes(context: Any, count: int, seconds: float) -> None:
    context.troubled.store.faults.late_writes = [seconds] * count


@given("no process but the owner reaches {vm} in the fleet in trouble")
def hide_vm(context: Any, vm: str) -> None:
    hide_owner(context.troubled, vm)

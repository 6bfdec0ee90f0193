import asyncio
from collections import Counter
from typing import Any

from behave import given, then, when
from features.doubles.fleet_world import make_address
from features.doubles.work_links import Way
from features.doubles.work_world import VMS, Job, WorkWorld, check_ledger
from features.fuzzing.running import run_machine
from features.fuzzing.work import SHAPES, WorkMachine

from primrosestile.state.work import JobState

# More polls than one owner makes within a run.
SLOW_POLLS = 1000
SLOW_SETTLE_SECONDS = 3.0


@then(
    "{runs:d} runs of {steps:d} steps with owners, a store and a fleet hold every"
    " invariant"
)
def run_work(context: Any, runs: int, steps: int) -> None:
    run_machine(WorkMachine, runs, steps)


@given("a fuzzed fleet with 2 processes of ours")
def give_world(context: Any) -> None:
    context.fuzzed = WorkWorld()
    context.cleanups.append(context.fuzzed.close)
    context.fuzzed.begin()


def find_other(world: WorkWorld) -> str:
    """Return a process that runs and does not schedule, if there is one."""
    owner = world.find_owner_name()
    others = [name for name in world.find_running() if name != owner]
    return others[0] if others else owner


@when("a job of {shape} of {seconds:g} s is submitted to the fuzzed fleet")
def submit(context: Any, shape: str, seconds: float) -> None:
    world = context.fuzzed
    world.hand_in(find_other(world), seconds, SHAPES[shape])


@when("{seconds:g} s pass in the fuzzed fleet")
def pass_time(context: Any, seconds: float) -> None:
    context.fuzzed.advance(seconds)


@when("the owner of the fuzzed fleet is killed")
def kill_owner(context: Any) -> None:
    context.fuzzed.kill_process(context.fuzzed.find_owner_name())


@then("the job on the fuzzed fleet is known as completed")
def check_known(context: Any) -> None:
    world: WorkWorld = context.fuzzed
    job: Job = world.jobs[0]
    assert job.accepted, "the job was not accepted"
    state = world.do(world.read_job, job)
    assert state is JobState.COMPLETED, f"shown as {state and state.value}"
    check_ledger(world)


@when("an entry {name} names the address of {vm} in the fuzzed fleet")
def list_foreign(context: Any, name: str, vm: str) -> None:
    world = context.fuzzed
    world.do(world.list_foreign, name, vm)


def cut_others_off(world: WorkWorld, vm: str) -> str:
    """Cut all processes but the owner off from a VM; return the owner's name."""
    owner = world.find_owner_name()
    for name, seat in world.seats.items():
        if name != owner:
            seat.link.cut.add(make_address(vm))
    return owner


@given(
    "the next {count:d} orders of the owner of the fuzzed fleet are lost before"
    " they take effect"
)
def lose_orders(context: Any, count: int) -> None:
    world = context.fuzzed
    link = world.seats[world.find_owner_name()].link
    link.order_ways.extend([Way.LOST_BEFORE] * count)


@when(
    "the owner of the fuzzed fleet is suspended for {seconds:g} s, and no other"
    " process reaches {vm}"
)
def suspend_owner(context: Any, seconds: float, vm: str) -> None:
    world = context.fuzzed
    machine = world.seats[cut_others_off(world, vm)].machine
    machine.pause()
    world.advance(seconds)
    world.do(machine.resume)


@when(
    "the owner of the fuzzed fleet loses the store for {seconds:g} s, reaches {vm}"
    " only, and no other process does"
)
def lose_store(context: Any, seconds: float, vm: str) -> None:
    world = context.fuzzed
    owner = cut_others_off(world, vm)
    # Any other worker's answer would reveal the successor to it.
    world.seats[owner].link.cut |= {make_address(each) for each in VMS if each != vm}
    world.store.faults.refused.add(owner)
    world.advance(seconds)
    world.store.faults.refused.discard(owner)


@given("answers to polls come late in the fuzzed fleet, and stops take {seconds:g} s")
def slow_polls(context: Any, seconds: float) -> None:
    world = context.fuzzed
    for seat in world.seats.values():
        seat.link.look_ways.extend([Way.SLOW_BACK] * SLOW_POLLS)
    for worker in world.serving.values():
        worker.faults.stop_seconds = seconds
    world.advance(SLOW_SETTLE_SECONDS)


@given(
    "{vm} refuses every start in the fuzzed fleet for {seconds:g} s from"
    " {moment:g} s on"
)
def refuse_starts(context: Any, vm: str, seconds: float, moment: float) -> None:
    world = context.fuzzed
    world.advance(moment)
    faults = world.serving[vm].faults
    faults.unhealthy = True

    def accept_again() -> None:
        faults.unhealthy = False

    world.do(lambda: asyncio.get_running_loop().call_later(seconds, accept_again))


@then("nothing ran twice in the fuzzed fleet")
def check_nothing_twice(context: Any) -> None:
    check_ledger(context.fuzzed)


@then("the job on the fuzzed fleet is completed within {seconds:g} s")
def check_completed(context: Any, seconds: float) -> None:
    world: WorkWorld = context.fuzzed
    until = world.runner.now + seconds
    while world.do(world.read_job, world.jobs[0]) is not JobState.COMPLETED:
        assert world.runner.now < until, f"not completed within {seconds} s"
        world.advance(0.5)
    check_ledger(world)


@then("each task was started once in the fuzzed fleet")
def check_once(context: Any) -> None:
    starts = Counter(task for task, _, _ in context.fuzzed.fleet.starts)
    assert starts and set(starts.values()) == {1}, starts


@when("the next {count:d} writes come {seconds:g} s late in the fuzzed fleet")
def late_writes(context: Any, count: int, seconds: float) -> None:
    context.fuzzed.store.faults.late_writes = [seconds] * count


@given("no process but the owner reaches {vm} in the fuzzed fleet")
def cut_vm_off(context: Any, vm: str) -> None:
    cut_others_off(context.fuzzed, vm)

"""Steps for poison tasks, which crash their workers."""

import asyncio
import dataclasses
import random
from typing import Any

from behave import given, then, when
from features.doubles.random_crashes import RandomCrashes
from features.doubles.worker_restarts import Restarts, make_restarts
from features.steps.work_decisions_steps import add_job, add_worker, make_fleet_state
from features.steps.work_outdated_orders_steps import find_scheduler
from features.steps.work_steps import hand_in, make_id

from primrosestile.decisions.work.durations import Durations
from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.decisions.work.plan import make_plan
from primrosestile.decisions.work.preemption import is_aged
from primrosestile.decisions.work.proofs import Proof
from primrosestile.decisions.work.speeds import Speeds
from primrosestile.decisions.work.units import Member
from primrosestile.state.work import CrashCount, JobState, Need, Step
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
        (member,) = fleet_state.order(unit, [f"w{number}"], 0.0)
        member.record_sent(0.0)
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
    (member,) = fleet_state.order(unit, ["w1"], 0.0)
    member.record_sent(0.0)
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


@when("the workers for {name} crash {seconds:g} s after its next {count:d} decisions")
def step_crash_decisions(context: Any, name: str, seconds: float, count: int) -> None:
    world = context.world

    def find_decided(after: int) -> Member | None:
        job = find_scheduler(world).fleet_state.jobs.get(make_id(name))
        units = job.units.values() if job is not None else ()
        members = [each for unit in units for each in unit.members if each.run > after]
        return members[0] if members else None

    async def crash() -> None:
        run = 0
        for _ in range(count):
            await world.wait_for(lambda run=run: find_decided(run) is not None, 10.0)
            decided = find_decided(run)
            assert decided is not None
            run = decided.run
            await asyncio.sleep(seconds)
            context.restarts.crash(decided.worker)

    world.run(crash())


def add_task(fleet_state: FleetState, number: int) -> Member:
    """Decide the start of a task on worker w1, 1 s after the beginning."""
    add_job(fleet_state, number, 1, (Step(1, Need(1000, 1000, 1)),))
    (unit,) = fleet_state.jobs[f"{number:016x}"].units.values()
    (member,) = fleet_state.order(unit, ["w1"], 1.0)
    return member


@given("a fleet state with a task whose start {start}, beside {beside}")
def step_started(context: Any, start: str, beside: str) -> None:
    fleet_state = context.fleet_state = make_fleet_state()
    add_worker(fleet_state, 1, 8)
    member = context.member = add_task(fleet_state, 1)
    if start != "was not sent":
        member.record_sent(1.0)
    if start == "was accepted":
        fleet_state.mark_up(member, 1.01)
    elif start == "broke the connection":
        member.reached = True
    elif start == "was recorded by a former owner":
        member.restored = True
    if beside != "nothing":
        neighbour = add_task(fleet_state, 2)
        if beside == "a task that runs":
            neighbour.record_sent(0.5)
            fleet_state.mark_up(neighbour, 0.51)


@when("its worker stops answering {seconds:g} s later and crashes")
def step_stops_answering(context: Any, seconds: float) -> None:
    worker = context.fleet_state.workers["w1"]
    worker.record_answer(1.0)
    worker.record_no_answer(1.0 + seconds)
    context.fleet_state.drop_worker("w1", Proof.INCARNATION_OVER)


@then("{count:d} crashes are counted, {alone:d} of them with the task alone")
def step_counts(context: Any, count: int, alone: int) -> None:
    crashes = context.member.unit.crashes.get(0, CrashCount(0))
    assert (crashes.count, crashes.alone) == (count, alone), crashes
    found = context.fleet_state.crashes.found
    assert all(each.member.sent_at is not None for each in found), found


@given(
    "a fleet state with a task that former owners recorded on {count:d} workers that"
    " crashed"
)
def step_restored(context: Any, count: int) -> None:
    fleet_state = context.fleet_state = make_fleet_state()
    add_job(fleet_state, 1, 1, (Step(1, Need(1000, 1000, 1)),))
    (unit,) = fleet_state.jobs[f"{1:016x}"].units.values()
    for number in range(count):
        add_worker(fleet_state, number, 8)
        (member,) = fleet_state.order(unit, [f"w{number}"], float(number))
        member.record_sent(float(number))
        member.restored = True
        fleet_state.drop_worker(f"w{number}", Proof.INCARNATION_OVER)
    context.unit = unit


@then("its job is not given up")
def step_not_given_up(context: Any) -> None:
    assert context.unit.job.state is JobState.QUEUED, context.unit.job.state


@when("its next run is accepted, and its worker crashes at once")
def step_accepted(context: Any) -> None:
    fleet_state = context.fleet_state
    add_worker(fleet_state, 99, 8)
    (member,) = fleet_state.order(context.unit, ["w99"], 90.0)
    member.record_sent(90.0)
    fleet_state.mark_up(member, 90.01)
    fleet_state.drop_worker("w99", Proof.INCARNATION_OVER)


@then("its job is given up")
def step_given_up(context: Any) -> None:
    assert context.unit.job.state is JobState.FAILED, context.unit.job.state


@given("a task that was decided 10 s ago, and {sent}")
def step_decided_earlier(context: Any, sent: str) -> None:
    fleet_state = make_fleet_state()
    add_worker(fleet_state, 1, 8)
    member = context.member = add_task(fleet_state, 1)
    context.now = 11.0
    if sent != "has not been sent":
        member.record_sent(context.now - float(sent.split()[2]))


@then("it counts as having run for {seconds:d} s")
def step_age(context: Any, seconds: int) -> None:
    member = context.member
    assert member.find_age(context.now) == seconds
    left = Durations().guess_left(member, context.now)
    assert left == max(0.0, Durations().guess_run(member) - seconds), left


@then("its unit is {aged}")
def step_aged(context: Any, aged: str) -> None:
    assert is_aged(context.member.unit, context.now) == (aged == "aged")

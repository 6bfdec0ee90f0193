"""Steps for many waiting units that can't start."""

from typing import Any

from behave import given, then, when
from features.steps.work_decisions_steps import (
    add_job,
    add_worker,
    apply_plan,
    make_fleet_state,
)

from primrosestile.decisions.work.durations import Durations
from primrosestile.decisions.work.plan import make_plan
from primrosestile.decisions.work.speeds import Speeds
from primrosestile.decisions.work.units import Job, Unit
from primrosestile.state.work import Need, Step

ACCELERATORS = 8
PASS_SECONDS = 0.25
LONG_SECONDS = 600.0
SMALL = Need(1000, 1000, 1)
WHOLE = Need(8000, 8000, ACCELERATORS)
NEARLY_WHOLE = Need(7000, 7000, ACCELERATORS - 1)


@given("{count:d} workers of kind a")
def step_workers(context: Any, count: int) -> None:
    context.fleet_state = make_fleet_state()
    context.numbers = iter(range(1, 10_000))
    context.now = 0.0
    context.groups = {}
    for number in range(count):
        add_worker(context.fleet_state, number, ACCELERATORS, rack="r0")


@given("1 worker of kind b, full of tasks that last")
def step_full_worker(context: Any) -> None:
    add_worker(context.fleet_state, 99, ACCELERATORS, labels=("b",), rack="r0")
    step = Step(1, WHOLE, LONG_SECONDS, label="b", daemon=True)
    run(context, add(context, 0, step), "w99")


@given("a task that lasts on worker {name}")
def step_lasting(context: Any, name: str) -> None:
    run(context, add(context, 0, Step(1, SMALL, LONG_SECONDS, daemon=True)), name)


@given("each worker has a task of 1 accelerator with {seconds:g} s left")
def step_busy(context: Any, seconds: float) -> None:
    for name in list(context.fleet_state.workers):
        run(context, add(context, 1, Step(1, SMALL, seconds)), name)


def add(context: Any, priority: int, step: Step) -> Job:
    number = next(context.numbers)
    add_job(context.fleet_state, number, priority, (step,), now=context.now)
    job: Job = context.fleet_state.jobs[f"{number:016x}"]
    return job


def run(context: Any, job: Job, worker: str) -> None:
    unit = find_unit(job)
    context.fleet_state.order(unit, [worker], context.now)
    for member in unit.members:
        context.fleet_state.mark_up(member, context.now)


def find_unit(job: Job) -> Unit:
    return next(iter(job.units.values()))


@given("{count:d} jobs of priority {priority:d} that need kind b")
def step_kind(context: Any, count: int, priority: int) -> None:
    step = Step(1, SMALL, LONG_SECONDS, label="b")
    context.groups["b"] = [add(context, priority, step) for _ in range(count)]


@given("{count:d} jobs of priority {priority:d} that need any kind")
def step_any(context: Any, count: int, priority: int) -> None:
    step = Step(2, SMALL, 1.0)
    context.groups["any"] = [add(context, priority, step) for _ in range(count)]


@given("{count:d} jobs of priority {priority:d} that nearly fill a worker")
def step_filling(context: Any, count: int, priority: int) -> None:
    step = Step(1, NEARLY_WHOLE, LONG_SECONDS, label="a")
    context.groups["filling"] = [add(context, priority, step) for _ in range(count)]


@given(
    "{count:d} gangs of priority {priority:d}, each of {size:d} tasks that fill a"
    " worker"
)
def step_gangs(context: Any, count: int, priority: int, size: int) -> None:
    step = Step(size, WHOLE, 1.0, gang=True)
    context.groups["gangs"] = [add(context, priority, step) for _ in range(count)]


@given("a gang of priority {priority:d}, of {size:d} tasks that fill a worker")
def step_gang(context: Any, priority: int, size: int) -> None:
    context.gang = add(context, priority, Step(size, WHOLE, 5.0, gang=True))


@when("a pass is made")
def step_pass(context: Any) -> None:
    make_passes(context, 1)


@when("{count:d} passes are made")
def step_passes(context: Any, count: int) -> None:
    make_passes(context, count)


def make_passes(context: Any, count: int) -> None:
    durations, speeds = Durations(), Speeds()
    context.started = set()
    for _ in range(count):
        context.now += PASS_SECONDS
        plan = make_plan(context.fleet_state, durations, speeds, context.now)
        context.started.update(start.unit.job for start in plan.starts)
        apply_plan(context.fleet_state, plan, context.now)


@then("each job that needs any kind is started")
def step_started(context: Any) -> None:
    assert context.started.issuperset(context.groups["any"]), len(context.started)


@then("room is reserved for the gang of {size:d} tasks")
def step_reserved(context: Any, size: int) -> None:
    assert len(find_unit(context.gang).reserved_workers) == size


@then("none of the jobs that nearly fill a worker is started")
def step_none(context: Any) -> None:
    assert not context.started.intersection(context.groups["filling"])

"""Steps for workers on which tasks failed."""

from typing import Any

from behave import given, then, when
from features.steps.work_decisions_steps import add_job, add_worker, make_fleet_state
from features.steps.work_steps import hand_in, make_id

from primrosestile.decisions.work.proofs import Proof
from primrosestile.state.work import Need, Step

NOW = 1.0


@given("job {name} fails after that, wherever it runs")
def step_fails(context: Any, name: str) -> None:
    context.scripts[make_id(name)]["fails"] = True


@when(
    "job {name} of {count:d} tasks that last, with {each:d} accelerators each, is"
    " handed in"
)
def step_lasting(context: Any, name: str, count: int, each: int) -> None:
    step = {"count": count, "cpu": 1000, "mem_mb": 100, "gpu": each, "daemon": True}
    hand_in(context, name, "usual", "domes", steps=[step])


@then("tasks of {name} have been started {count:d} times or more")
def step_started(context: Any, name: str, count: int) -> None:
    tasks = [task for task, _, _ in context.world.fleet.starts]
    started = sum(task.startswith(make_id(name)) for task in tasks)
    assert started >= count, started


@given("a fleet state with a task that failed on worker 0 {seconds:g} s ago")
def step_failed(context: Any, seconds: float) -> None:
    fleet_state = context.fleet_state = make_fleet_state()
    for number in (0, 1):
        add_worker(fleet_state, number, 8)
    add_job(fleet_state, 1, 1, (Step(2, Need(100, 100, 2)),))
    context.units = list(fleet_state.jobs[f"{1:016x}"].units.values())
    first, other = context.units
    first.failed_on = {"w0": NOW - seconds}
    # The other task is elsewhere unless the scenario needs it.
    add_worker(fleet_state, 2, 2)
    fleet_state.order(other, ["w2"], NOW)


@given(
    "worker 1 has {free:d} free accelerators of 8, and worker 0 has {other:d}",
)
def step_free(context: Any, free: int, other: int) -> None:
    for number, left in ((1, free), (0, other)):
        if left == 8:
            continue
        step = Step(1, Need(100, 100, 8 - left))
        add_job(context.fleet_state, 10 + number, 0, (step,))
        job = context.fleet_state.jobs[f"{10 + number:016x}"]
        (unit,) = job.units.values()
        (member,) = context.fleet_state.order(unit, [f"w{number}"], NOW)
        member.record_sent(NOW)


@given("another task of its step that failed there {seconds:g} s ago")
def step_other(context: Any, seconds: float) -> None:
    _, other = context.units
    (member,) = other.members
    context.fleet_state.drop_worker("w2", Proof.LEASE_OVER)
    assert other.idle and not other.crashes, member
    other.failed_on = {"w0": NOW - seconds}


@then("the task is placed on {worker}")
def step_placed(context: Any, worker: str) -> None:
    first, _ = context.units
    found = [each.workers[0].name for each in context.plan.starts if each.unit is first]
    expected = [] if worker == "none" else [worker.replace("worker ", "w")]
    assert found == expected, found


@then("only the other task is placed")
def step_only_other(context: Any) -> None:
    _, other = context.units
    assert [each.unit for each in context.plan.starts] == [other], context.plan.starts

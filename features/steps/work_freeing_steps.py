"""Steps for room that is freed and held for a unit."""

from dataclasses import replace
from typing import Any

from behave import given, then, when
from work_decisions_steps import add_job

from primrosestile.decisions.work.durations import Durations
from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.decisions.work.plan import Stop, make_plan
from primrosestile.decisions.work.proofs import Proof
from primrosestile.decisions.work.speeds import Speeds
from primrosestile.decisions.work.stop_timing import make_stop_timing
from primrosestile.decisions.work.units import Unit
from primrosestile.state.work import JobState, Need, Step
from primrosestile.state.workers import EndKind

BEGAN = 90.0
NOW = 100.0
GANG = 20


def find_units(fleet_state: FleetState, number: int) -> list[Unit]:
    return list(fleet_state.jobs[f"{number:016x}"].units.values())


def plan(context: Any, later: float) -> None:
    context.plan = make_plan(context.fleet_state, Durations(), Speeds(), NOW + later)


def run_tasks(context: Any, number: int, worker: str, count: int, need: Need) -> None:
    step = Step(count, need, 20.0, checkpoints=True)
    add_job(context.fleet_state, number, 2, (step,), now=BEGAN)
    for unit in find_units(context.fleet_state, number):
        context.fleet_state.order(unit, [worker], BEGAN)
        context.fleet_state.mark_up(unit.members[0], BEGAN)


@given(
    "worker 0 holds {count:d} checkpointed low-priority tasks,"
    " and worker 1 others that take more"
)
def step_hold(context: Any, count: int) -> None:
    run_tasks(context, 10, "w0", count, Need(100, 100, 1))
    run_tasks(context, 11, "w1", count, Need(900, 100, 1))


@when("an urgent gang of {accelerators:d} accelerators in one task waits")
def step_gang(context: Any, accelerators: int) -> None:
    step = Step(1, Need(100, 100, accelerators), 2.0, gang=True)
    add_job(context.fleet_state, GANG, 0, (step,), now=NOW)
    plan(context, 0.0)


@then("the {count:d} tasks on worker 0 are stopped for it")
def step_stopped(context: Any, count: int) -> None:
    context.stopped = [stop.unit for stop in context.plan.stops]
    on = [member.worker for unit in context.stopped for member in unit.members]
    assert on == ["w0"] * count, on


@given("{count:d} accelerators are guaranteed to post alone")
def step_guarantee(context: Any, count: int) -> None:
    policy = context.fleet_state.policy
    context.fleet_state.policy = replace(policy, guarantees={"post": count})


@when("{count:d} of the stopped tasks has ended")
@when("{count:d} of the stopped tasks have ended")
def step_end(context: Any, count: int) -> None:
    for unit in context.stopped[:count]:
        context.fleet_state.mark_gone(unit.members[0], Proof.ENDED)
        # Its job must not wait again.
        context.fleet_state.finish(unit.job, JobState.CANCELLED)


@when("{count:d} tasks on worker 1 have ended")
def step_end_others(context: Any, count: int) -> None:
    for unit in find_units(context.fleet_state, 11)[:count]:
        context.fleet_state.record_end(
            unit.members[0].task, unit.run, EndKind.DONE, "", 0.0
        )


def add_task(context: Any, organisation: str, later: float) -> None:
    step = Step(1, Need(100, 100, 1), 0.1)
    fields = {"now": NOW + later, "organisation": organisation}
    add_job(context.fleet_state, 30, 0, (step,), **fields)
    plan(context, later)


@when("a more urgent task of one accelerator waits {later:g} s later")
@when("an urgent task of one accelerator waits {later:g} s later")
def step_task(context: Any, later: float) -> None:
    add_task(context, "domes", later)


@when("a guaranteed task of one accelerator waits {later:g} s later")
def step_guaranteed_task(context: Any, later: float) -> None:
    add_task(context, "post", later)


def find_start(context: Any, number: int) -> list[str]:
    units = find_units(context.fleet_state, number)
    return [
        worker.name
        for start in context.plan.starts
        if start.unit in units
        for worker in start.workers
    ]


@then("the task is not started on worker 0")
def step_not_started(context: Any) -> None:
    assert "w0" not in find_start(context, 30)


@then("the task is started on worker 0")
def step_started(context: Any) -> None:
    assert find_start(context, 30) == ["w0"], find_start(context, 30)


@then("the task is started on worker 1")
def step_started_elsewhere(context: Any) -> None:
    assert find_start(context, 30) == ["w1"], find_start(context, 30)


@then("the gang is started on worker 0")
def step_gang_started(context: Any) -> None:
    assert find_start(context, GANG) == ["w0"], find_start(context, GANG)


def list_stopped_for(context: Any, number: int) -> list[Stop]:
    gainers = find_units(context.fleet_state, number)
    return [stop for stop in context.plan.stops if stop.gainer in gainers]


def find_stopped_on(stops: list[Stop]) -> set[str]:
    return {member.worker for stop in stops for member in stop.unit.members}


@then("nothing more is stopped for the gang")
def step_no_more(context: Any) -> None:
    assert not list_stopped_for(context, GANG)


@given("a worker takes up to {seconds:g} s for a stop")
def step_stop_seconds(context: Any, seconds: float) -> None:
    context.fleet_state.stop_timing = make_stop_timing(seconds)


@when("none of the stopped tasks has ended {later:g} s later")
def step_unanswered(context: Any, later: float) -> None:
    plan(context, later)


@then("the tasks on worker 1 are stopped for the gang, marked as stopped again")
def step_again(context: Any) -> None:
    stops = list_stopped_for(context, GANG)
    assert find_stopped_on(stops) == {"w1"}, find_stopped_on(stops)
    assert all(stop.again for stop in stops)


@when("the gang is cancelled")
def step_cancel(context: Any) -> None:
    context.fleet_state.finish(
        find_units(context.fleet_state, GANG)[0].job, JobState.CANCELLED
    )


@when("all of the stopped tasks have ended, and others run in their place")
def step_replace(context: Any) -> None:
    count = len(context.stopped)
    step_end(context, count)
    run_tasks(context, 12, "w0", count, Need(100, 100, 1))


@when("an urgent step of {count:d} tasks of one accelerator waits {later:g} s later")
def step_urgent_step(context: Any, count: int, later: float) -> None:
    step = Step(count, Need(100, 100, 1), 0.1)
    add_job(context.fleet_state, 30, 0, (step,), now=NOW + later)
    plan(context, later)


@then("one other task is stopped for each of its tasks")
def step_each_freed(context: Any) -> None:
    gainers = [stop.gainer for stop in context.plan.stops]
    units = find_units(context.fleet_state, 30)
    assert sorted(map(id, gainers)) == sorted(map(id, units)), len(gainers)


@then("what is stopped for it is on worker 1")
def step_on_other(context: Any) -> None:
    on = find_stopped_on(list_stopped_for(context, 30))
    assert on == {"w1"}, on

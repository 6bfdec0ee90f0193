"""Steps for scheduling decisions under more work than the fleet can hold."""

from pathlib import Path
from statistics import mean
from typing import Any

from behave import given, then, when
from tools.bench.site_driver import PLANNERS, SiteRun
from tools.bench.site_measures import measure
from tools.bench.site_workloads import draw_day, read_workload
from work_decisions_steps import POOL, add_job, add_worker, make_fleet_state

from primrosestile.decisions.work.durations import Durations
from primrosestile.decisions.work.plan import make_plan
from primrosestile.decisions.work.preemption import CORES_PER_ACCELERATOR
from primrosestile.decisions.work.speeds import Speeds
from primrosestile.state.work import (
    JobState,
    Need,
    Phase,
    Progress,
    Step,
    Submission,
    UnitRecord,
)

WORKLOADS = Path("examples/workloads")
# Well after 0, so that work can have begun long before.
NOW = 100.0


def plan(context: Any) -> None:
    durations = getattr(context, "durations", Durations())
    context.plan = make_plan(context.fleet_state, durations, Speeds(), NOW)


@given(
    "a fleet state with {racks:d} racks of {count:d} workers of {each:d} accelerators"
)
def step_racks(context: Any, racks: int, count: int, each: int) -> None:
    context.fleet_state = make_fleet_state()
    for number in range(racks * count):
        add_worker(context.fleet_state, number, each, rack=f"r{number % racks}")


@given("{count:d} low-priority tasks without checkpoints have run for {seconds:g} s")
def step_low_priority(context: Any, count: int, seconds: float) -> None:
    began = NOW - seconds
    step = Step(count, Need(100, 100, 1), estimate_seconds=10.0)
    add_job(context.fleet_state, 1, 2, (step,), now=began)
    started = make_plan(context.fleet_state, Durations(), Speeds(), began).starts
    assert len(started) == count
    for each in started:
        context.fleet_state.order(each.unit, [each.workers[0].name], began)
        context.fleet_state.mark_up(each.unit.members[0], began)


@given("{count:d} low-priority tasks {saving} checkpoints run under an earlier owner")
def step_restored(context: Any, count: int, saving: str) -> None:
    need = Need(100, 100, 1)
    saves = saving == "with"
    step = Step(count, need, estimate_seconds=10.0, checkpoints=saves)
    submission = Submission(f"{1:016x}", "q2", "domes", POOL, "", (step,))
    (worker,) = context.fleet_state.workers
    units = tuple(
        UnitRecord(0, 0, index, Phase.ORDERED, run=1, workers=(worker,))
        for index in range(count)
    )
    progress = Progress(JobState.RUNNING, units)
    job = context.fleet_state.admit(submission, progress, NOW, 0.0)
    for unit in job.units.values():
        context.fleet_state.mark_up(unit.members[0], NOW)


@when("an urgent task of one accelerator waits")
def step_urgent(context: Any) -> None:
    wait_urgent(context, 2.0)


@when("an urgent task of one accelerator and {seconds:g} s waits")
def step_short_urgent(context: Any, seconds: float) -> None:
    wait_urgent(context, seconds)


def wait_urgent(context: Any, seconds: float) -> None:
    step = Step(1, Need(100, 100, 1), estimate_seconds=seconds)
    add_job(context.fleet_state, 2, 0, (step,), now=NOW)
    plan(context)


@then("one of the low-priority tasks is stopped")
def step_one_stopped(context: Any) -> None:
    assert len(context.plan.stops) == 1, context.plan.stops


@given("runs of {seconds:g} s with callers' estimates of {estimate:g} s")
def step_runs(context: Any, seconds: float, estimate: float) -> None:
    context.durations = Durations()
    context.estimate = estimate
    for _ in range(10):
        context.durations.learn("q1", estimate, seconds)


@given("{count:d} accelerators are in use on each worker but the first of each rack")
def step_taken(context: Any, count: int) -> None:
    step = Step(1, Need(100, 100, count), estimate_seconds=60.0)
    racks = set()
    for number, worker in enumerate(list(context.fleet_state.workers.values())):
        if worker.entry.rack not in racks:
            racks.add(worker.entry.rack)
            continue
        add_job(context.fleet_state, number, 0, (step,), now=NOW - 50)
        unit = next(iter(context.fleet_state.jobs[f"{number:016x}"].units.values()))
        context.fleet_state.order(unit, [worker.name], NOW - 50)
        context.fleet_state.mark_up(unit.members[0], NOW - 50)


@when(
    "a gang of {count:d} tasks of {each:d} accelerators bound to one rack"
    " has waited for {seconds:g} s"
)
def step_gang_waited(context: Any, count: int, each: int, seconds: float) -> None:
    step = Step(
        count,
        Need(100, 100, each),
        estimate_seconds=context.estimate,
        gang=True,
        one_rack=True,
    )
    add_job(context.fleet_state, 7, 1, (step,), now=NOW - seconds)
    for unit in context.fleet_state.jobs[f"{7:016x}"].units.values():
        unit.ready_at = NOW - seconds
    plan(context)


@then("it waits on")
def step_waits(context: Any) -> None:
    assert not context.plan.starts, context.plan.starts


@then("it starts")
def step_starts(context: Any) -> None:
    assert len(context.plan.starts) == 1, context.plan


@when(
    "{days:d} drawn days of {workload} are simulated with our plan and with first fit"
)
def step_simulate(context: Any, days: int, workload: str) -> None:
    drawn = read_workload(WORKLOADS / f"{workload}.json")
    context.figures = {}
    for name, planner in PLANNERS.items():
        runs = [SiteRun(drawn, draw_day(drawn, seed), planner) for seed in range(days)]
        context.figures[name] = [measure(each.run(), drawn.weights) for each in runs]
    context.queues = [kind.queue for kind in drawn.kinds]


def find_mean(context: Any, planner: str, figure: str) -> float:
    return mean(day[figure] for day in context.figures[planner])


@then(
    "callers get at least {least:g} of the total worth,"
    " {more:g} more than with first fit"
)
def step_all(context: Any, least: float, more: float) -> None:
    ours = find_mean(context, "primrosestile", "all")
    baseline = find_mean(context, "first_fit", "all")
    assert ours >= max(least, baseline + more), (ours, baseline)


@then("each kind of job gets at least {least:g}")
def step_each(context: Any, least: float) -> None:
    got = {
        queue: find_mean(context, "primrosestile", queue) for queue in context.queues
    }
    assert min(got.values()) >= least, got


@when("an urgent gang of {count:d} tasks of {each:d} accelerators waits")
def step_gang_waits(context: Any, count: int, each: int) -> None:
    step = Step(count, Need(100, 100, each), estimate_seconds=4.0, gang=True)
    add_job(context.fleet_state, 2, 0, (step,), now=NOW)
    plan(context)


@then(
    "low-priority tasks are stopped whose cost is at most {times:g} times its own work"
)
def step_in_proportion(context: Any, times: float) -> None:
    assert context.plan.stops, "nothing is stopped"
    first = context.plan.stops[0]
    need = first.gainer.step.need
    cores = need.processor / 1000 + CORES_PER_ACCELERATOR * need.accelerators
    assert first.cost <= times * first.gainer.size * cores * 4.0

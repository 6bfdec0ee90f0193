"""Steps for stops that take account of callers and of earlier stops."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path
from statistics import mean
from typing import Any

import msgspec
from behave import given, then, when
from tools.bench.site_driver import Planner, SiteRun
from tools.bench.site_measures import measure
from tools.bench.site_workloads import Workload, draw_day, read_workload
from work_decisions_steps import add_job, add_worker, make_fleet_state

from primrosestile.decisions.work.durations import Durations
from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.decisions.work.plan import Plan, make_plan
from primrosestile.decisions.work.proofs import Proof
from primrosestile.decisions.work.speeds import Speeds
from primrosestile.decisions.work.stop_timing import make_stop_timing
from primrosestile.decisions.work.units import Unit
from primrosestile.state.scheduling import SchedulingSettings, Switch
from primrosestile.state.work import JobState, Need, Step, UnitKey

NOW = 100.0
GANG = 10
PATIENT = 11
URGENT = 20
OTHER = 30
RUN_SECONDS = 3.0
SHIFTED = Path("examples/workloads/domeworks-shifted.json")


def set_stop_seconds(fleet_state: FleetState, seconds: float, switch: Switch) -> None:
    # Only the history differs: other features change what is stopped.
    fleet_state.settings = SchedulingSettings(
        stop_seconds=seconds,
        headroom=Switch.OFF,
        preemption_history=switch,
        speed_groups=Switch.OFF,
    )
    fleet_state.stop_timing = make_stop_timing(seconds)


def find_units(context: Any, number: int) -> list[Unit]:
    return list(context.fleet_state.jobs[f"{number:016x}"].units.values())


def start(
    context: Any,
    number: int,
    priority: int,
    step: Step,
    workers: list[str],
    began: float,
    **fields: Any,
) -> None:
    accepted = fields.pop("accepted", began)
    add_job(context.fleet_state, number, priority, (step,), now=accepted, **fields)
    for unit in find_units(context, number):
        context.fleet_state.order(unit, workers, began)
        for member in unit.members:
            context.fleet_state.mark_up(member, began)


def plan(context: Any, later: float = 0.0) -> None:
    durations = Durations()
    context.plan = make_plan(context.fleet_state, durations, Speeds(), NOW + later)


def list_stopped(context: Any) -> set[int]:
    return {int(stop.unit.job.job_id, 16) for stop in context.plan.stops}


@given("{count:d} workers of {each:d} accelerators that take {seconds:g} s for a stop")
def step_workers(context: Any, count: int, each: int, seconds: float) -> None:
    context.fleet_state = make_fleet_state()
    for number in range(count):
        add_worker(context.fleet_state, number, each, rack="r0")
    set_stop_seconds(context.fleet_state, seconds, Switch.ON)


@given(
    "{count:d} workers of {each:d} accelerators that take {seconds:g} s for a stop, and"
    " no switch set"
)
def step_unset(context: Any, count: int, each: int, seconds: float) -> None:
    step_workers(context, count, each, seconds)
    context.fleet_state.settings = SchedulingSettings(stop_seconds=seconds)


def stop_for_guaranteed(context: Any, number: int, now: float) -> None:
    """Have the gang stopped once, and its place free again."""
    (gang,) = find_units(context, GANG)
    policy = context.fleet_state.policy
    guarantee(context)
    step = Step(1, Need(100, 100, 4), 0.1)
    add_job(context.fleet_state, number, 0, (step,), now=now, organisation="post")
    plan(context, now - NOW)
    assert list_stopped(context) == {GANG}, list_stopped(context)
    for member in gang.members:
        context.fleet_state.mark_gone(member, Proof.ENDED)
    context.fleet_state.finish(find_units(context, number)[0].job, JobState.CANCELLED)
    context.fleet_state.policy = policy


@given(
    "a normal gang on both workers that was stopped {count}"
    " and runs again for {seconds:g} s"
)
def step_gang(context: Any, count: str, seconds: float) -> None:
    stops = {"once": 1, "three times": 3}[count]
    step = Step(2, Need(100, 100, 4), RUN_SECONDS, gang=True)
    began = NOW - seconds
    times = [began - 0.5 * left for left in range(stops, 0, -1)]
    start(context, GANG, 1, step, ["w0", "w1"], times[0] - 0.1)
    (unit,) = find_units(context, GANG)
    for number, at in enumerate(times):
        stop_for_guaranteed(context, OTHER + number, at)
        context.fleet_state.order(unit, ["w0", "w1"], at + 0.1)
    for member in unit.members:
        member.sent_at = began
        context.fleet_state.mark_up(member, began)


@given("its caller has waited for {seconds:g} s, three times as long as it can")
def step_waited(context: Any, seconds: float) -> None:
    (unit,) = find_units(context, GANG)
    unit.job.accepted = NOW - seconds


def wait(context: Any, organisation: str = "domes", age: float = 0.0) -> None:
    step = Step(1, Need(100, 100, 4), 20.0)
    fields = {"organisation": organisation, "age": age}
    add_job(context.fleet_state, URGENT, 0, (step,), now=NOW, **fields)
    plan(context)


@when("an urgent task waits")
def step_urgent(context: Any) -> None:
    wait(context)


@when("an urgent task has waited for {seconds:g} s")
def step_urgent_waited(context: Any, seconds: float) -> None:
    wait(context, age=seconds)


def guarantee(context: Any) -> None:
    policy = replace(context.fleet_state.policy, guarantees={"post": 8})
    context.fleet_state.policy = policy


@when("a guaranteed urgent task waits")
def step_guaranteed(context: Any) -> None:
    guarantee(context)
    wait(context, "post")


@then("the gang is stopped")
def step_gang_stopped(context: Any) -> None:
    assert list_stopped(context) == {GANG}, list_stopped(context)


@given("a normal gang with checkpoints on worker 0 that can just be in time")
def step_gang_in_time(context: Any) -> None:
    # It ends in 2 s, and its result is of no use from 0.5 s later on.
    step = Step(2, Need(100, 100, 2), RUN_SECONDS, gang=True, checkpoints=True)
    useless = 3.0 * (3.0 * RUN_SECONDS + 1.0)
    accepted = NOW + 2.5 - useless
    began = NOW + 2.0 - RUN_SECONDS - 1.5
    start(context, GANG, 1, step, ["w0", "w0"], began, accepted=accepted)
    (unit,) = find_units(context, GANG)
    for member in unit.members:
        member.record_progress(50.0, NOW)


@given("patient tasks without checkpoints on worker 1 that have just started")
def step_patient(context: Any) -> None:
    step = Step(1, Need(100, 100, 4), RUN_SECONDS)
    start(context, PATIENT, 2, step, ["w1"], NOW - 2.0)


@then("a patient task is stopped")
def step_patient_stopped(context: Any) -> None:
    assert list_stopped(context) == {PATIENT}, list_stopped(context)


@given("patient tasks with checkpoints on both workers")
def step_patient_both(context: Any) -> None:
    for number, need in ((0, 100), (1, 900)):
        step = Step(1, Need(need, 100, 4), 20.0, checkpoints=True)
        start(context, PATIENT + number, 2, step, [f"w{number}"], NOW - 10.0)


@given("work was stopped on worker 0 for an urgent gang")
def step_first_round(context: Any) -> None:
    step = Step(1, Need(100, 100, 4), 8.0, gang=True)
    add_job(context.fleet_state, URGENT, 0, (step,), now=NOW)
    plan(context)
    assert list_stopped(context) == {PATIENT}, list_stopped(context)
    (unit,) = find_units(context, PATIENT)
    context.fleet_state.mark_gone(unit.members[0], Proof.ENDED)
    context.fleet_state.finish(unit.job, JobState.CANCELLED)


@when("{priority} work runs on worker 0 0.2 s later")
def step_taken(context: Any, priority: str) -> None:
    guarantee(context)
    fields = {"patient": (2, "domes"), "guaranteed": (0, "post")}[priority]
    step = Step(1, Need(100, 100, 4), 20.0)
    began = NOW + 0.1
    start(context, OTHER, fields[0], step, ["w0"], began, organisation=fields[1])
    plan(context, 0.2)


@when("worker 0 has left 0.2 s later")
def step_left(context: Any) -> None:
    context.fleet_state.drop_worker("w0", Proof.INCARNATION_OVER)
    plan(context, 0.2)


@then("no work is stopped for the gang")
def step_no_second(context: Any) -> None:
    assert not context.plan.stops, context.plan.stops


@then("work is stopped for the gang on worker 1")
def step_second(context: Any) -> None:
    assert list_stopped(context) == {PATIENT + 1}, list_stopped(context)
    assert all(stop.again for stop in context.plan.stops)


@dataclass
class PlayedDays:
    """What came of the days that are played in one way.

    Attributes:
        shares: Of each day's total worth, what callers got.
        starts: By job and unit.
        waits: Seconds until guaranteed work first started.
    """

    shares: list[float] = field(default_factory=list)
    starts: Counter[tuple[str, UnitKey]] = field(default_factory=Counter)
    waits: list[float] = field(default_factory=list)

    def count_repeated(self) -> int:
        """Return how many units were started four times or more."""
        return sum(count >= 4 for count in self.starts.values())


def make_planner(switch: Switch, days: PlayedDays) -> Planner:
    def plan_and_count(
        fleet_state: FleetState, durations: Durations, speeds: Speeds, now: float
    ) -> Plan:
        set_stop_seconds(fleet_state, 0.9, switch)
        made = make_plan(fleet_state, durations, speeds, now)
        for each in made.starts:
            unit = each.unit
            days.starts[unit.job.job_id, unit.key] += 1
            if each.rank.entitled and not unit.run:
                days.waits.append(now - unit.job.accepted)
        return made

    return plan_and_count


def make_workload() -> Workload:
    """Return Thumbframe's load by docs/hard-load.md for 48 of its 176 workers."""
    workload = read_workload(SHIFTED)
    change: Callable[..., Any] = msgspec.structs.replace
    render, preview, caption = workload.kinds
    share = 48 / 176
    # Two tasks of a gang do not fit on one worker.
    render = change(render, per_second=0.909 * share, seconds=7.2, processor=17000)
    preview = change(preview, per_second=3.86 * share, seconds=2.1, width=5.0)
    caption = change(caption, per_second=0.716 * share, seconds=8.1)
    return change(
        workload,
        seconds=40.0,
        workers=48,
        rack_size=12,
        speeds=[1 / 0.55, 1 / 1.2, 1 / 1.2, 1 / 1.2],
        organisations=10,
        guarantee=16,
        stop_seconds=0.9,
        kinds=[render, preview, caption],
    )


def play(switch: Switch, count: int) -> PlayedDays:
    workload = make_workload()
    days = PlayedDays()
    for seed in range(count):
        arrivals = draw_day(workload, seed)
        run = SiteRun(workload, arrivals, make_planner(switch, days), seed)
        days.shares.append(measure(run.run(), workload.weights)["all"])
    return days


@when("{count:d} drawn days of such work are played with the history and without it")
def step_play(context: Any, count: int) -> None:
    context.on = play(Switch.ON, count)
    context.off = play(Switch.OFF, count)


@then("at most half as many units are started four times or more with the history")
def step_repeated(context: Any) -> None:
    with_history = context.on.count_repeated()
    without = context.off.count_repeated()
    assert without, "the load stops nothing again and again"
    assert 2 * with_history <= without, (with_history, without)


@then("callers get no less than {least:g} below what they get without it")
def step_shares(context: Any, least: float) -> None:
    with_history = mean(context.on.shares)
    without = mean(context.off.shares)
    assert with_history >= without - least, (with_history, without)


@then("guaranteed work starts within {seconds:g} s with it")
def step_bound(context: Any, seconds: float) -> None:
    assert max(context.on.waits) <= seconds, max(context.on.waits)

"""Steps for the placement of work by the speed of workers."""

from statistics import mean
from typing import Any

import msgspec
from behave import given, then, when
from tools.bench.site_driver import RunStatistics, SiteRun
from tools.bench.site_measures import measure
from tools.bench.site_workloads import draw_day, read_workload
from work_decisions_steps import add_job
from work_heavy_steps import NOW, WORKLOADS

from primrosestile.decisions.work.durations import Durations
from primrosestile.decisions.work.group_placement import make_group_placement
from primrosestile.decisions.work.plan import Plan, make_plan
from primrosestile.decisions.work.speed_groups import find_speed_groups
from primrosestile.decisions.work.speeds import Speeds
from primrosestile.decisions.work.units import Unit
from primrosestile.state.scheduling import SchedulingSettings, Switch
from primrosestile.state.work import Need, Step

FAST = tuple(f"w{number}" for number in range(6))
SLOW = ("w6", "w7")
SPEEDS = [1.82, 0.83, 0.83, 0.83]


def switch(fleet_state: Any, state: Switch) -> None:
    fleet_state.settings = SchedulingSettings(speed_groups=state)


def find_slow_group(context: Any) -> frozenset[str]:
    return find_speed_groups(context.fleet_state, context.speeds).slow


def plan(context: Any) -> Plan:
    context.plan = make_plan(
        context.fleet_state, context.durations, context.speeds, NOW
    )
    return context.plan


def occupy(
    context: Any, worker: str, accelerators: int, left: float, ran: float = 10.0
) -> Unit:
    """Let a task run on a worker since `ran` seconds ago that ends in `left`."""
    fleet_state = context.fleet_state
    number = 1000 + len(fleet_state.jobs)
    step = Step(1, Need(100, 100, accelerators), estimate_seconds=ran + left)
    add_job(fleet_state, number, 2, (step,), now=NOW - ran)
    unit = next(iter(fleet_state.jobs[f"{number:016x}"].units.values()))
    fleet_state.order(unit, [worker], NOW - ran)
    fleet_state.mark_up(unit.members[0], NOW - ran)
    unit.members[0].record_progress(100 * ran / (ran + left), NOW)
    return unit


def run_gang(context: Any, number: int, workers: tuple[str, ...]) -> Unit:
    fleet_state = context.fleet_state
    step = Step(len(workers), Need(100, 100, 1), estimate_seconds=8.0, gang=True)
    add_job(fleet_state, number, 1, (step,), now=NOW)
    unit = next(iter(fleet_state.jobs[f"{number:016x}"].units.values()))
    fleet_state.order(unit, workers, NOW)
    for member in unit.members:
        fleet_state.mark_up(member, NOW)
    return unit


def report(context: Any, unit: Unit, seconds: int, slow: tuple[str, ...]) -> None:
    """Let a gang report progress each second, some of its workers at half speed."""
    for second in range(1, seconds + 1):
        for member in unit.members:
            speed = 5.0 if member.worker in slow else 11.0
            member.record_progress(speed * second, NOW + second)
        find_speed_groups(context.fleet_state, context.speeds)


@given("speed groups are used")
def step_used(context: Any) -> None:
    context.durations = Durations()
    switch(context.fleet_state, Switch.ON)


@given("speed groups are not used")
def step_not_used(context: Any) -> None:
    switch(context.fleet_state, Switch.OFF)


@given("workers 6 and 7 are known to take {factor:g} times as long as the others")
def step_known(context: Any, factor: float) -> None:
    context.speeds = Speeds()
    context.speeds.restore(dict.fromkeys(FAST, (9, 1.0)))
    context.speeds.restore(dict.fromkeys(SLOW, (9, factor)))


@given("no worker's speed is known")
def step_unknown(context: Any) -> None:
    context.speeds = Speeds()


@given("{count:d} accelerators are taken on workers 6 and 7")
def step_taken(context: Any, count: int) -> None:
    for name in SLOW:
        occupy(context, name, count, left=20.0)


@given("all accelerators of the fast workers are taken for {left:g} s more")
def step_fast_taken(context: Any, left: float) -> None:
    for name in FAST:
        occupy(context, name, 8, left)


@given("urgent work of up to {count:d} accelerators is guaranteed")
def step_guaranteed(context: Any, count: int) -> None:
    context.fleet_state.policy.guarantees["domes"] = count


@given(
    "patient tasks have run for {fast:g} s on the fast and for {slow:g} s"
    " on the slow workers"
)
def step_patient(context: Any, fast: float, slow: float) -> None:
    for name in FAST:
        occupy(context, name, 8, left=20.0, ran=fast)
    for name in SLOW:
        occupy(context, name, 8, left=20.0, ran=slow)


@when(
    "a gang of priority {priority:d} with {count:d} tasks of {each:d} accelerators"
    " waits"
)
def step_gang(context: Any, priority: int, count: int, each: int) -> None:
    step = Step(count, Need(100, 100, each), estimate_seconds=4.0, gang=True)
    add_job(context.fleet_state, 1, priority, (step,), now=NOW)
    plan(context)


@when("a single task of priority 2 that failed on all slow workers waits")
def step_failed(context: Any) -> None:
    step = Step(1, Need(100, 100, 1), estimate_seconds=4.0)
    add_job(context.fleet_state, 1, 2, (step,), now=NOW)
    (unit,) = context.fleet_state.jobs[f"{1:016x}"].units.values()
    unit.failed_on = dict.fromkeys(SLOW, NOW)
    plan(context)


@when("{count:d} single tasks of priority 2 with {each:d} accelerators wait")
def step_singles(context: Any, count: int, each: int) -> None:
    step = Step(count, Need(100, 100, each), estimate_seconds=4.0)
    add_job(context.fleet_state, 1, 2, (step,), now=NOW)
    plan(context)
    assert len(context.plan.starts) == count, len(context.plan.starts)


@then("{subject} {verb} on {group} workers")
def step_starts_on(context: Any, subject: str, verb: str, group: str) -> None:
    used = {each.name for start in context.plan.starts for each in start.workers}
    assert used, "nothing starts"
    assert used <= set(SLOW if group == "slow" else FAST), used


@then("it waits")
def step_waits(context: Any) -> None:
    assert not context.plan.starts, context.plan.starts


@then("it starts on workers 6 and 7 among others")
def step_among(context: Any) -> None:
    used = {each.name for start in context.plan.starts for each in start.workers}
    assert used > set(SLOW), used


@then("work is stopped on fast workers only")
def step_stopped_on_fast(context: Any) -> None:
    stopped = {
        member.worker for stop in context.plan.stops for member in stop.unit.members
    }
    assert stopped and stopped <= set(FAST), stopped


@when("a gang over all workers has run for {seconds:d} s, with worker 3 at half speed")
def step_one_gang(context: Any, seconds: int) -> None:
    report(context, run_gang(context, 1, FAST + SLOW), seconds, ("w3",))


@then("worker 3 is slow, and that is reported once")
def step_found(context: Any) -> None:
    assert find_slow_group(context) == {"w3"}, find_slow_group(context)
    found = [(each.worker, each.slow) for each in context.speeds.pop_changes()]
    assert found == [("w3", True)], found


@when("{count:d} gangs over the slow workers and 2 unknown ones end, all alike")
def step_all_slow(context: Any, count: int) -> None:
    # Two members of known factor 2.2 among four of equal speed: the two others are as
    # slow, but not known yet.
    known = context.speeds.make_record()
    context.speeds = Speeds()
    context.speeds.restore({name: known[name] for name in known if name in SLOW})
    for number in range(count):
        unit = run_gang(context, number, (*SLOW, "w0", "w1"))
        report(context, unit, 5, (*SLOW, "w0", "w1"))
        context.speeds.record_success(unit.members[0], NOW + 6)


@then("workers 6 and 7 are still slow")
def step_still(context: Any) -> None:
    assert find_slow_group(context) >= set(SLOW), context.speeds.make_record()


@when(
    "{count:d} tasks with data in another rack have taken {factor:g} times as long"
    " on worker 0"
)
def step_far(context: Any, count: int, factor: float) -> None:
    find_slow_group(context)
    step = Step(4 + count, Need(100, 100, 0), data_rack="r1")
    add_job(context.fleet_state, 1, 2, (step,), now=NOW)
    for number, unit in enumerate(context.fleet_state.jobs[f"{1:016x}"].units.values()):
        near = number < 4
        context.fleet_state.order(unit, ["w1" if near else "w0"], NOW)
        member = unit.members[0]
        context.fleet_state.mark_up(member, NOW)
        seconds = 4.0 if near else 4.0 * factor
        context.speeds.record_success(member, NOW + seconds)


@then("worker 0 is fast")
def step_zero_fast(context: Any) -> None:
    assert "w0" not in find_slow_group(context), context.speeds.make_record()


@when("worker 6 is learned to take {factor:g} times as long as the others")
def step_between(context: Any, factor: float) -> None:
    assert find_slow_group(context) == set(SLOW)
    context.speeds.restore({"w6": (9, factor), "w5": (9, factor)})


@then("worker 5 with the same factor is fast")
def step_five(context: Any) -> None:
    assert "w5" not in find_slow_group(context)


@given("runs of {fast:g} s on fast workers and of {slow:g} s on slow ones were learned")
def step_learned(context: Any, fast: float, slow: float) -> None:
    find_speed_groups(context.fleet_state, context.speeds)
    for _ in range(10):
        for name, seconds in (("w0", fast), ("w6", slow)):
            unit = occupy(context, name, 0, left=1.0)
            seconds = context.speeds.normalise(unit, seconds)
            context.durations.learn("q2", 60.0, seconds)


@then("{fast:g} s are expected on worker 0 and {slow:g} s on worker 6")
def step_expected(context: Any, fast: float, slow: float) -> None:
    groups = make_group_placement(
        context.fleet_state, context.durations, context.speeds, NOW
    )
    durations = groups.adjust(context.durations)
    for name, seconds in (("w0", fast), ("w6", slow)):
        member = occupy(context, name, 0, left=1.0).members[0]
        expected = durations.guess_run(member)
        assert abs(expected - seconds) < 0.05 * seconds, (name, expected)


@then("a running gang has changed no factor")
def step_no_factor(context: Any) -> None:
    before = context.speeds.make_record()
    unit = run_gang(context, 2, FAST)
    for second in range(1, 6):
        for member in unit.members:
            member.record_progress(3.0 + second, NOW + second)
        plan(context)
    assert context.speeds.make_record() == before


@when("{count:d} drawn days with a quarter of the workers slow are played both ways")
def step_days(context: Any, count: int) -> None:
    workload = read_workload(WORKLOADS / "domeworks-heavy.json")
    workload = msgspec.structs.replace(workload, speeds=SPEEDS)
    context.days = {}
    for state in (Switch.OFF, Switch.ON):
        days = []
        for seed in range(count):
            context.statistics = RunStatistics()
            arrivals = draw_day(workload, seed)
            run = SiteRun(workload, arrivals, make_plan, seed, context.statistics)
            switch(run._fleet_state, state)
            days.append(measure(run.run(), workload.weights))
        context.days[state] = days


@then("callers get at least {more:g} more of the total worth with speed groups")
def step_more(context: Any, more: float) -> None:
    got = {
        state: mean(day["all"] for day in days) for state, days in context.days.items()
    }
    assert got[Switch.ON] >= got[Switch.OFF] + more, got


@then("all slow workers were found, and no other")
def step_all_found(context: Any) -> None:
    slow = {f"w{number}" for number in range(0, 24, len(SPEEDS))}
    assert context.statistics.speeds.slow_group == slow

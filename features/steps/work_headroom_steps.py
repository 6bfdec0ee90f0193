"""Steps for headroom, and for evacuation at short notice where stops take long."""

from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import Any

from behave import given, then, when
from structlog.testing import capture_logs
from tools.bench.site_driver import SiteRun
from tools.bench.site_measures import measure
from tools.bench.site_workloads import draw_day, read_workload
from work_decisions_steps import POOL, QUEUES, add_job, add_worker

from primrosestile.coordination.work.scheduler_log import log_headroom
from primrosestile.decisions.work.durations import Durations
from primrosestile.decisions.work.evacuation import find_evacuations
from primrosestile.decisions.work.fleet_counts import count_fleet
from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.decisions.work.mechanisms import make_mechanisms
from primrosestile.decisions.work.plan import Plan, make_plan
from primrosestile.decisions.work.speeds import Speeds
from primrosestile.decisions.work.units import Unit
from primrosestile.state.policy import Policy, Pool
from primrosestile.state.scheduling import SchedulingSettings, Switch
from primrosestile.state.work import JobState, Need, Step
from primrosestile.state.workers import EndKind

NOW = 100.0
URGENT = replace(QUEUES[0], stretch=1.5, objective_seconds=0.3)
WHOLE = Need(100, 100, 8)
SINGLE = Need(100, 100, 1)


def plan_at(context: Any, now: float) -> Plan:
    return make_plan(context.fleet_state, Durations(), Speeds(), now)


@given(
    "{racks:d} racks of {count:d} workers of {each:d} accelerators"
    " whose stops take {seconds:g} s"
)
def step_racks(context: Any, racks: int, count: int, each: int, seconds: float) -> None:
    policy = Policy(1, 1, (URGENT, *QUEUES[1:]), {POOL: Pool(POOL, True)})
    settings = SchedulingSettings(stop_seconds=seconds)
    context.fleet_state = FleetState(policy, 0.0, settings)
    for number in range(racks * count):
        add_worker(context.fleet_state, number, each, rack=f"r{number // count}")


@given("headroom is {switch}")
def step_switch(context: Any, switch: str) -> None:
    fleet_state = context.fleet_state
    fleet_state.settings = replace(fleet_state.settings, headroom=Switch(switch))


@given(
    "{count:d} urgent gangs of {accelerators:d} accelerators"
    " were accepted {age:g} s ago and have ended"
)
def step_arrived(context: Any, count: int, accelerators: int, age: float) -> None:
    step = Step(accelerators // 8, WHOLE, estimate_seconds=2.0, gang=True)
    for number in range(count):
        add_job(context.fleet_state, number, 0, (step,), now=NOW, age=age)
        job = context.fleet_state.jobs.pop(f"{number:016x}")
        context.fleet_state.finish(job, JobState.COMPLETED)


@when("{count:d} {kind} tasks wait")
def step_wait(context: Any, count: int, kind: str) -> None:
    step = Step(count, SINGLE, estimate_seconds=8.0, daemon=kind == "service")
    wait(context, step, 0.0)


@when("a patient gang of {count:d} whole workers has waited for {seconds:g} s")
def step_gang_waits(context: Any, count: int, seconds: float) -> None:
    wait(context, Step(count, WHOLE, estimate_seconds=8.0, gang=True), seconds)


def wait(context: Any, step: Step, seconds: float) -> None:
    add_job(context.fleet_state, 900, 2, (step,), now=NOW, age=seconds)
    for unit in context.fleet_state.jobs[f"{900:016x}"].units.values():
        unit.ready_at = NOW - seconds
    context.started = plan_at(context, NOW).starts
    for start in context.started:
        names = [worker.name for worker in start.workers]
        context.fleet_state.order(start.unit, names, NOW)


def list_free(context: Any) -> list[str]:
    workers = context.fleet_state.workers.values()
    assert all(worker.accelerators in (0, 8) for worker in workers)
    return [worker.name for worker in workers if not worker.accelerators]


@then("{count:d} whole workers are withheld")
def step_withheld(context: Any, count: int) -> None:
    assert len(list_free(context)) == count, list_free(context)


@then("{count:d} whole workers are withheld, which is logged and counted")
def step_logged(context: Any, count: int) -> None:
    step_withheld(context, count)
    fleet_state = context.fleet_state
    with capture_logs() as lines:
        log_headroom({}, fleet_state.headroom.pools)
        log_headroom(fleet_state.headroom.pools, fleet_state.headroom.pools)
    (line,) = lines
    assert (line["event"], line["pool"]) == ("headroom_changed", POOL)
    assert line["amount"] == 8 * count, line
    assert count_fleet(fleet_state)["headroom_accelerators"] == 8 * count


@then("an urgent gang of {count:d} tasks starts there at once without a stop")
def step_starts_there(context: Any, count: int) -> None:
    free = list_free(context)
    step = Step(count, WHOLE, estimate_seconds=2.0, gang=True)
    add_job(context.fleet_state, 901, 0, (step,), now=NOW)
    plan = plan_at(context, NOW + 0.1)
    assert not plan.stops, plan.stops
    (start,) = plan.starts
    assert {worker.name for worker in start.workers} <= set(free), start


class DelayRun(SiteRun):
    """Also counts the urgent jobs that wait for their first start.

    Attributes:
        delays: Seconds from the acceptance of each started urgent job to its start.
    """

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.delays: dict[str, float] = {}

    def _begin(self, unit: Unit) -> None:
        super()._begin(unit)
        if unit.job.queue.priority == 0 and unit.members and not unit.abandoned:
            delay = self._now - unit.job.accepted
            self.delays.setdefault(unit.job.job_id, delay)


@when("{days:d} drawn days of {name} are played with and without headroom")
def step_play(context: Any, days: int, name: str) -> None:
    workload = read_workload(Path(f"examples/workloads/{name}.json"))
    mechanisms = make_mechanisms()
    without = replace(mechanisms, headroom_finding=lambda fleet_state, rooms, now: {})
    context.late: list[int] = []
    context.got: list[float] = []
    for each in (mechanisms, without):
        planner = partial(make_plan, mechanisms=each)
        late, got = 0, 0.0
        for seed in range(days):
            run = DelayRun(workload, draw_day(workload, seed), planner, seed)
            # Only headroom differs: other features change which work waits for stops.
            run._fleet_state.settings = replace(
                run._fleet_state.settings,
                preemption_history=Switch.OFF,
                speed_groups=Switch.OFF,
            )
            day = run.run()
            got += measure(day, workload.weights)["all"]
            late += sum(
                run.delays.get(outcome.arrival.submission.job_id, 99.0) > 0.25
                for outcome in day.outcomes
                if outcome.arrival.kind.priority == 0
            )
        context.late.append(late)
        context.got.append(got)


@then("at least 1 in {share:d} fewer urgent jobs start later than 0.25 s")
def step_fewer(context: Any, share: int) -> None:
    with_headroom, without = context.late
    assert with_headroom <= (1 - 1 / share) * without, context.late


@then("callers get at least {share:g} of what they get without")
def step_get(context: Any, share: float) -> None:
    with_headroom, without = context.got
    assert with_headroom >= share * without, context.got


@given(
    "a gang of {count:d} tasks with checkpoints and one without run in the first rack"
)
def step_gangs(context: Any, count: int) -> None:
    fleet_state = context.fleet_state
    context.units = []
    for number, checkpoints in enumerate((True, False)):
        need = Need(100, 100, 4)
        step = Step(
            count, need, estimate_seconds=14.0, gang=True, checkpoints=checkpoints
        )
        add_job(fleet_state, number, 1, (step,), now=NOW - 8.0)
        (unit,) = fleet_state.jobs[f"{number:016x}"].units.values()
        fleet_state.order(unit, [f"w{each}" for each in range(count)], NOW - 8.0)
        for member in unit.members:
            fleet_state.mark_up(member, NOW - 8.0)
        context.units.append(unit)


@when("a worker of both announces that it leaves in {seconds:g} s")
def step_leaves(context: Any, seconds: float) -> None:
    worker = context.fleet_state.workers["w0"]
    worker.entry = replace(worker.entry, leaving=True)
    worker.leaves_at = NOW + seconds


@then("only the gang with checkpoints is stopped, and has ended before that")
def step_evacuated(context: Any) -> None:
    fleet_state = context.fleet_state
    saved = context.units[0]
    at = NOW
    # The owner makes a pass at least every 0.25 s.
    while not (found := find_evacuations(fleet_state, Durations(), at)):
        assert at < NOW + 1.9, "nothing was evacuated"
        at += 0.25
    assert found == [saved], found
    fleet_state.abandon(saved)
    context.ended_at = at + fleet_state.settings.stop_seconds
    assert context.ended_at < fleet_state.workers["w0"].leaves_at, context.ended_at
    for member in saved.members:
        fleet_state.record_end(member.task, member.run, EndKind.STOPPED, "saved", 0.0)


@then("it resumes from its checkpoint on other workers")
def step_resumes(context: Any) -> None:
    (start,) = plan_at(context, context.ended_at).starts
    assert start.unit is context.units[0]
    assert start.unit.checkpoint == "saved"
    assert "w0" not in {worker.name for worker in start.workers}


@given(
    "a patient gang without checkpoints of {seconds:g} s"
    " was accepted {age:g} s ago and runs"
)
def step_patient_runs(context: Any, seconds: float, age: float) -> None:
    fleet_state = context.fleet_state
    step = Step(4, WHOLE, estimate_seconds=seconds, gang=True)
    add_job(fleet_state, 5, 2, (step,), now=NOW, age=age)
    (unit,) = fleet_state.jobs[f"{5:016x}"].units.values()
    fleet_state.order(unit, [f"w{number}" for number in range(4)], NOW - 4.0)
    for member in unit.members:
        fleet_state.mark_up(member, NOW - 4.0)
    context.units = [unit]


@then("the patient gang is restarted elsewhere")
def step_restarted(context: Any) -> None:
    (restart,) = plan_at(context, NOW).restarts
    assert restart.unit is context.units[0]


@then("the patient gang is left there")
def step_left_there(context: Any) -> None:
    assert not plan_at(context, NOW).restarts

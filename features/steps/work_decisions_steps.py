"""Steps for scheduling decisions, without input or output."""

from collections import Counter
from dataclasses import replace
from typing import Any

from behave import given, then, when
from hypothesis import given as draw, settings, strategies as st

from primrosestile.decisions.work.durations import Durations
from primrosestile.decisions.work.evacuation import find_evacuations
from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.decisions.work.placement import could_hold, find_eligible
from primrosestile.decisions.work.plan import Plan, Stop, make_plan
from primrosestile.decisions.work.queue_order import find_entitled, rank_unit
from primrosestile.decisions.work.rooms import make_rooms
from primrosestile.decisions.work.speeds import Speeds
from primrosestile.decisions.work.units import Unit
from primrosestile.decisions.work.waiting_units import list_waiting
from primrosestile.decisions.work.worker_quarantine import WorkerQuarantine
from primrosestile.state.policy import Policy, Pool, Queue
from primrosestile.state.work import Need, Step, Submission
from primrosestile.state.workers import EndKind, WorkerEntry

POOL = "engine"
ORGANISATIONS = ("domes", "post")
TRIES = settings(max_examples=150, deadline=None, derandomize=True, database=None)
BIG = Need(1, 1, 1)


def make_queue(priority: int) -> Queue:
    return Queue(
        f"q{priority}", "h", f"/q{priority}/", POOL, priority, 2, 3.0, 1.0, 3.0
    )


QUEUES = tuple(make_queue(priority) for priority in range(3))


def make_fleet_state(guarantee: int = 0) -> FleetState:
    policy = Policy(
        1,
        1,
        QUEUES,
        {POOL: Pool(POOL, True)},
        guarantees=dict.fromkeys(ORGANISATIONS, guarantee),
    )
    return FleetState(policy, wall=0.0)


def add_worker(
    fleet_state: FleetState, number: int, accelerators: int, **fields: Any
) -> None:
    entry = WorkerEntry(
        worker=f"w{number}",
        address=f"a{number}",
        pool=fields.get("pool", POOL),
        failure_domain="z",
        capacity=Need(accelerators * 1000, accelerators * 1000, accelerators),
        labels=fields.get("labels", ("a",)),
        rack=fields.get("rack", f"r{number % 2}"),
        leaving=fields.get("leaving", False),
    )
    fleet_state.add_worker(entry).acquired = fields.get("acquired", True)


def add_job(
    fleet_state: FleetState,
    number: int,
    priority: int,
    steps: tuple[Step, ...],
    **fields: Any,
) -> None:
    submission = Submission(
        f"{number:016x}",
        f"q{priority}",
        fields.get("organisation", "domes"),
        POOL,
        "",
        steps,
    )
    job = fleet_state.admit(
        submission, None, fields.get("now", 0.0), fields.get("age", 0.0)
    )
    fleet_state.open_occurrence(job, 0)


STEPS = st.builds(
    Step,
    count=st.integers(1, 6),
    need=st.builds(Need, st.integers(0, 3000), st.integers(0, 3000), st.integers(0, 8)),
    estimate_seconds=st.floats(0.5, 9.0),
    gang=st.booleans(),
    one_rack=st.booleans(),
    label=st.sampled_from(["", "", "a", "b"]),
    data_rack=st.sampled_from(["", "", "r0", "r9"]),
    max_per_worker=st.integers(0, 3),
    checkpoints=st.booleans(),
    best_effort=st.booleans(),
)
JOBS = st.lists(
    st.tuples(
        st.integers(0, 2), STEPS, st.sampled_from(ORGANISATIONS), st.floats(0, 30)
    ),
    min_size=1,
    max_size=8,
)
WORKERS = st.lists(
    st.tuples(
        st.sampled_from([4, 8]),
        st.sampled_from([("a",), ("b",), ("a", "b")]),
        st.booleans(),
        st.sampled_from([POOL, POOL, POOL, "other"]),
    ),
    min_size=1,
    max_size=6,
)


def build_fleet_state(workers: Any, jobs: Any, guarantee: int = 0) -> FleetState:
    fleet_state = make_fleet_state(guarantee)
    for number, (accelerators, labels, leaving, pool) in enumerate(workers):
        add_worker(
            fleet_state, number, accelerators, labels=labels, leaving=leaving, pool=pool
        )
    for number, (priority, step, organisation, age) in enumerate(jobs):
        add_job(
            fleet_state, number, priority, (step,), organisation=organisation, age=age
        )
    return fleet_state


def apply_plan(fleet_state: FleetState, plan: Plan, now: float) -> None:
    for start in plan.starts:
        names = [worker.name for worker in start.workers]
        for member in fleet_state.order(start.unit, names, now):
            member.record_sent(now)


def plan_at(fleet_state: FleetState, now: float) -> Plan:
    return make_plan(fleet_state, Durations(), Speeds(), now)


def check_bounds(fleet_state: FleetState) -> None:
    for worker in fleet_state.workers.values():
        room = worker.find_room()
        assert min(room.processor, room.memory, room.accelerators) >= 0, worker.name
        spread: Counter[tuple[str, int, int]] = Counter()
        for member in worker.members.values():
            unit = member.unit
            assert not worker.entry.leaving and worker.entry.pool == POOL
            assert not unit.step.label or unit.step.label in worker.entry.labels
            spread[unit.step_key] += 1
            bound = unit.step.max_per_worker
            assert not bound or spread[unit.step_key] <= bound


@then("a drawn plan respects room, labels, pools, spreading and leaving workers")
def step_bounds(context: Any) -> None:
    @TRIES
    @draw(WORKERS, JOBS)
    def check(workers: Any, jobs: Any) -> None:
        fleet_state = build_fleet_state(workers, jobs)
        for now in (0.0, 5.0, 30.0):
            apply_plan(fleet_state, plan_at(fleet_state, now), now)
            check_bounds(fleet_state)

    check()


@then("a drawn plan gives each unit a worker for every member")
def step_whole(context: Any) -> None:
    @TRIES
    @draw(WORKERS, JOBS)
    def check(workers: Any, jobs: Any) -> None:
        fleet_state = build_fleet_state(workers, jobs)
        for start in plan_at(fleet_state, 0.0).starts:
            assert len(start.workers) == start.unit.size

    check()


@then("a drawn plan stops only what may be stopped, and something starts for each stop")
def step_stops(context: Any) -> None:
    @TRIES
    @draw(WORKERS, JOBS, JOBS)
    def check(workers: Any, running: Any, waiting: Any) -> None:
        fleet_state = build_fleet_state(workers, running, guarantee=8)
        apply_plan(fleet_state, plan_at(fleet_state, 0.0), 0.0)
        for number, (priority, step, organisation, _) in enumerate(waiting, 100):
            add_job(
                fleet_state,
                number,
                priority,
                (step,),
                organisation=organisation,
                now=5.0,
            )
        entitled = find_entitled(fleet_state)
        plan = plan_at(fleet_state, 5.0)
        for stop in plan.stops:
            assert stop.unit.job.job_id not in entitled
            assert stop.unit.abandoned
            gainer = stop.gainer.job
            if gainer.job_id not in entitled:
                assert stop.unit.job.queue.priority > gainer.queue.priority
                check_proportion(stop)
        before = rank_all(fleet_state, 5.0)
        end_stopping(fleet_state)
        started = [*plan.starts, *plan_at(fleet_state, 5.0).starts]
        taken = {start.unit.job.job_id for start in started}
        for stop in plan.stops:
            gainer = stop.gainer.job.job_id
            # The room may go to more urgent work that could not have had it freed
            # itself.
            ahead = before[: before.index(gainer) + 1]
            assert taken.intersection(ahead), "stopped for nothing"

    check()


def check_proportion(stop: Stop) -> None:
    """Check that unsaved work is stopped only for urgent work in proportion to it."""
    if stop.unit.step.checkpoints:
        return
    assert stop.gainer.job.queue.priority == 0
    need = stop.gainer.step.need
    seconds = stop.gainer.step.estimate_seconds
    cores = need.processor / 1000 + 8 * need.accelerators
    assert stop.cost <= 2 * stop.gainer.size * cores * seconds


def end_stopping(fleet_state: FleetState) -> None:
    for member in list(fleet_state.list_stopping()):
        fleet_state.record_end(member.task, member.run, EndKind.STOPPED, "", 0.0)


@then("on an empty fleet a drawn unit that could ever run is started")
def step_empty(context: Any) -> None:
    @TRIES
    @draw(WORKERS, STEPS)
    def check(workers: Any, step: Step) -> None:
        fleet_state = build_fleet_state(workers, [(1, step, "domes", 0.0)])
        unit = next(iter(next(iter(fleet_state.jobs.values())).units.values()))
        # Longer ago than any locality wait.
        unit.ready_at = -60.0
        rooms = make_rooms(fleet_state, 0.0)
        could = could_hold(unit, find_eligible(unit, rooms, 0.0))
        started = any(start.unit is unit for start in plan_at(fleet_state, 0.0).starts)
        assert started == could

    check()


@given("a fleet state with {count:d} workers of {each:d} accelerators")
def step_fleet(context: Any, count: int, each: int) -> None:
    context.fleet_state = make_fleet_state()
    context.durations = Durations()
    context.speeds = Speeds()
    for number in range(count):
        add_worker(context.fleet_state, number, each, rack="r0")


@when("tasks of one accelerator arrive all the time and a gang of 2 whole workers once")
def step_stream(context: Any) -> None:
    fleet_state = context.fleet_state
    small = Step(1, Need(100, 100, 1), estimate_seconds=3.0)
    gang = Step(2, Need(100, 100, 4), estimate_seconds=3.0, gang=True)
    context.gang_at = None
    ends: list[tuple[float, Unit]] = []
    for tick in range(200):
        now = tick * 0.2
        add_job(fleet_state, 1000 + tick, 2, (small,), now=now)
        add_job(fleet_state, 3000 + tick, 2, (small,), now=now)
        if tick == 10:
            add_job(fleet_state, 1, 1, (gang,), now=now)
        for at, unit in [each for each in ends if each[0] <= now]:
            ends.remove((at, unit))
            for member in unit.members:
                fleet_state.record_end(member.task, member.run, EndKind.DONE, "", 0.0)
        plan = make_plan(fleet_state, context.durations, context.speeds, now)
        apply_plan(fleet_state, plan, now)
        for start in plan.starts:
            ends.append((now + 3.0, start.unit))
            if start.unit.step.gang and context.gang_at is None:
                context.gang_at = now - 2.0


@then("the gang starts within {seconds:g} s")
def step_gang(context: Any, seconds: float) -> None:
    assert context.gang_at is not None, "the gang never started"
    assert context.gang_at <= seconds, context.gang_at


@given("worker 0 has taken {factor:g} times as long as the others, {count:d} times")
def step_slow(context: Any, factor: float, count: int) -> None:
    fleet_state = context.fleet_state
    step = Step(4, Need(100, 100, 1), gang=True, max_per_worker=1)
    for number in range(count):
        add_job(fleet_state, number, 1, (step,))
        apply_plan(fleet_state, plan_at(fleet_state, 0.0), 0.0)
        unit = next(iter(fleet_state.jobs[f"{number:016x}"].units.values()))
        for member in unit.members:
            fleet_state.mark_up(member, 0.1)
            member.percent = 90.0 / (factor if member.worker == "w0" else 1.0)
            member.progressed_at = 3.0
        context.speeds.record_success(unit.members[0], 3.1)
        for member in unit.members:
            fleet_state.record_end(member.task, member.run, EndKind.DONE, "", 0.0)


@when("an urgent task of one accelerator is placed")
def step_urgent(context: Any) -> None:
    add_job(context.fleet_state, 99, 0, (Step(1, Need(100, 100, 1)),))
    plan = make_plan(context.fleet_state, context.durations, context.speeds, 4.0)
    context.placed = plan.starts[0].workers[0].name


@then("it is not placed on worker 0")
def step_not_slow(context: Any) -> None:
    assert context.placed != "w0"


@given("a quarantine for {count:d} workers")
def step_quarantine(context: Any, count: int) -> None:
    context.quarantine = WorkerQuarantine()
    context.count = count


@when("two jobs fail on worker 0")
def step_two_fail(context: Any) -> None:
    context.quarantine.record_failure("w0", "j1", 2.0, 0.0, context.count)
    context.until = context.quarantine.record_failure(
        "w0", "j2", 2.0, 0.0, context.count
    )


@then("worker 0 gets no work for {seconds:g} s")
def step_left_out(context: Any, seconds: float) -> None:
    assert context.until == seconds


@when("a run succeeds on worker 0 and then one job fails there")
def step_well(context: Any) -> None:
    context.quarantine.record_success("w0")
    context.until = context.quarantine.record_failure(
        "w0", "j3", 2.0, 10.0, context.count
    )


@then("worker 0 still gets work")
def step_goes_on(context: Any) -> None:
    assert context.until == 0.0


@given("callers whose estimates are off by a factor of three")
def step_off(context: Any) -> None:
    context.durations = Durations()


@when("{count:d} runs of {seconds:g} s end")
def step_seen(context: Any, count: int, seconds: float) -> None:
    for number in range(count):
        context.durations.learn("q1", seconds * (3 if number % 2 else 0.3), seconds)


@then("a run is expected to take about {seconds:g} s")
def step_expected(context: Any, seconds: float) -> None:
    guess = context.durations.guess("q1", Step(1, estimate_seconds=12.0))
    assert abs(guess - seconds) < 0.5, guess


def rank_all(fleet_state: FleetState, now: float) -> list[str]:
    """Return the waiting jobs, the most urgent first."""
    entitled = find_entitled(fleet_state)
    ranked = sorted(
        list_waiting(fleet_state.jobs.values(), now),
        key=lambda unit: rank_unit(
            unit, now, unit.job.job_id in entitled, Durations()
        ).make_key(),
    )
    return [unit.job.job_id for unit in ranked]


@given("two waiting jobs of one queue, one of them late")
def step_late(context: Any) -> None:
    context.fleet_state = make_fleet_state()
    step = Step(1, BIG, estimate_seconds=2.0)
    add_job(context.fleet_state, 1, 1, (step,), age=20.0)
    add_job(context.fleet_state, 2, 1, (step,), age=1.0)


@then("the one that can be in time goes first")
def step_in_time(context: Any) -> None:
    assert rank_all(context.fleet_state, 0.0)[0].endswith("2")


@given("a waiting job of each priority, the lowest with the least slack")
def step_priorities(context: Any) -> None:
    context.fleet_state = make_fleet_state()
    for priority, seconds in ((2, 1.0), (1, 4.0), (0, 9.0)):
        add_job(
            context.fleet_state,
            priority,
            priority,
            (Step(1, BIG, estimate_seconds=seconds),),
        )


@then("they go in the order of their queues' priorities")
def step_in_order(context: Any) -> None:
    order = [int(job, 16) for job in rank_all(context.fleet_state, 0.0)]
    assert order == [0, 1, 2], order


@given("a checkpointed gang of {count:d} tasks of {each:d} accelerators runs")
def step_gang_runs(context: Any, count: int, each: int) -> None:
    step = Step(count, Need(100, 100, each), 1.0, gang=True, checkpoints=True)
    add_job(context.fleet_state, 1, 1, (step,))
    apply_plan(context.fleet_state, plan_at(context.fleet_state, 0.0), 0.0)


@when(
    "an urgent gang of {count:d} tasks of {each:d} accelerators"
    " with at most 1 on a worker waits"
)
def step_bounded_gang(context: Any, count: int, each: int) -> None:
    step = Step(count, Need(100, 100, each), 4.0, gang=True, max_per_worker=1)
    add_job(context.fleet_state, 2, 0, (step,), now=5.0)
    context.plan = plan_at(context.fleet_state, 5.0)


@then("nothing is stopped")
def step_nothing_stopped(context: Any) -> None:
    assert not context.plan.stops, context.plan.stops


@given("domes and post are guaranteed {count:d} accelerators each")
def step_guarantees(context: Any, count: int) -> None:
    worker = context.fleet_state.workers["w0"].entry
    context.fleet_state = make_fleet_state(count)
    add_worker(context.fleet_state, 0, worker.capacity.accelerators)


@given("2 urgent tasks of domes and 2 low-priority tasks run")
def step_mixed(context: Any) -> None:
    urgent = Step(2, Need(0, 100, 1), 1.0)
    low_priority = Step(2, Need(1000, 100, 1), 4.0)
    add_job(context.fleet_state, 0, 0, (urgent,))
    add_job(context.fleet_state, 2, 1, (low_priority,), organisation="post")
    apply_plan(context.fleet_state, plan_at(context.fleet_state, 0.0), 0.0)


@when("a gang of 3 accelerators and 4 tasks of 1 wait, all urgent and of post")
def step_gang_and_tasks(context: Any) -> None:
    gang = Step(1, Need(0, 100, 3), 1.0, gang=True)
    tasks = Step(4, Need(0, 100, 1), 4.0, checkpoints=True)
    for number, step in ((100, gang), (101, tasks)):
        add_job(context.fleet_state, number, 0, (step,), organisation="post", now=5.0)
    context.plan = plan_at(context.fleet_state, 5.0)


@then("what is stopped makes room for something that starts")
def step_room_made(context: Any) -> None:
    stopped = len(context.plan.stops)
    end_stopping(context.fleet_state)
    started = len(context.plan.starts) + len(plan_at(context.fleet_state, 5.0).starts)
    assert started >= stopped, (started, stopped)


@when("a job fails {seconds:g} s after it was started on worker 0")
def step_fails_after(context: Any, seconds: float) -> None:
    context.until = context.quarantine.record_failure(
        "w0", "j1", seconds, 0.0, context.count
    )


@given("a checkpointed task of 8 s runs on worker 0, and one without checkpoints")
def step_two_tasks(context: Any) -> None:
    fleet_state = context.fleet_state
    for number, checkpoints in enumerate((True, False)):
        step = Step(1, Need(100, 100, 1), 8.0, checkpoints=checkpoints)
        add_job(fleet_state, number, 1, (step,))
        unit = next(iter(fleet_state.jobs[f"{number:016x}"].units.values()))
        fleet_state.order(unit, ["w0"], 0.0)
        fleet_state.mark_up(unit.members[0], 0.01)


@when("worker 0 announces that it leaves in {seconds:g} s")
def step_leaving(context: Any, seconds: float) -> None:
    worker = context.fleet_state.workers["w0"]
    worker.entry = replace(worker.entry, leaving=True)
    worker.leaves_at = 2.0 + seconds


@then("nothing is moved off it at once")
def step_not_yet(context: Any) -> None:
    assert not find_evacuations(context.fleet_state, context.durations, 2.0)


@then("after {seconds:g} s only the checkpointed task is")
def step_taken_off(context: Any, seconds: float) -> None:
    units = find_evacuations(context.fleet_state, context.durations, 2.0 + seconds)
    assert [unit.step.checkpoints for unit in units] == [True], units


@given(
    "an urgent gang of {count:d} tasks of {each:d} accelerators runs for {seconds:g} s"
)
def step_urgent_runs(context: Any, count: int, each: int, seconds: float) -> None:
    run_gang(context, 0, count, each, seconds)


@given(
    "a low-priority gang of {count:d} tasks of {each:d} accelerators"
    " runs for {seconds:g} s"
)
def step_low_priority_runs(context: Any, count: int, each: int, seconds: float) -> None:
    run_gang(context, 2, count, each, seconds)


def run_gang(
    context: Any, priority: int, count: int, each: int, seconds: float
) -> None:
    step = Step(count, Need(100, 100, each), seconds, gang=True)
    add_job(context.fleet_state, 1, priority, (step,))
    apply_plan(context.fleet_state, plan_at(context.fleet_state, 0.0), 0.0)
    context.unit = next(iter(context.fleet_state.jobs[f"{1:016x}"].units.values()))
    assert context.unit.members, "the gang doesn't run"


@given("it was restarted elsewhere twice")
def step_moved(context: Any) -> None:
    context.unit.restarts = 2


@when("its members show {first:g} and {second:g} percent after {seconds:g} s")
def step_progress(context: Any, first: float, second: float, seconds: float) -> None:
    pairs = zip(context.unit.members, (first, second), strict=True)
    for member, percent in pairs:
        context.fleet_state.mark_up(member, 0.0)
        member.heard_at = seconds
        if percent:
            member.percent = percent
            member.progressed_at = seconds
    context.held = {member.worker for member in context.unit.members}
    context.plan = plan_at(context.fleet_state, seconds)


@given(
    "a new owner first polls its members at {first:g} and {second:g} percent,"
    " after {before:g} and {after:g} s"
)
def step_taken_over(
    context: Any, first: float, second: float, before: float, after: float
) -> None:
    reports = zip(context.unit.members, (first, second), (before, after), strict=True)
    for member, percent, seconds in reports:
        member.restored = True
        context.fleet_state.mark_up(member, seconds)
        member.record_progress(percent, seconds)


@when("they then show {first:g} and {second:g} percent after {seconds:g} s")
def step_later_progress(
    context: Any, first: float, second: float, seconds: float
) -> None:
    for member, percent in zip(context.unit.members, (first, second), strict=True):
        member.record_progress(percent, seconds)
    context.held = {member.worker for member in context.unit.members}
    context.plan = plan_at(context.fleet_state, seconds)


@when("its first worker announces that it leaves in {seconds:g} s")
def step_departing(context: Any, seconds: float) -> None:
    worker = context.fleet_state.workers[context.unit.members[0].worker]
    worker.entry = replace(worker.entry, leaving=True)
    worker.leaves_at = 1.0 + seconds
    context.plan = plan_at(context.fleet_state, 1.0)


@then("the gang is restarted elsewhere")
def step_elsewhere(context: Any) -> None:
    (restart,) = context.plan.restarts
    assert restart.unit is context.unit
    end_stopping(context.fleet_state)
    (start,) = plan_at(context.fleet_state, 2.4).starts
    assert start.unit is context.unit


@then("the gang is not restarted")
def step_left_alone(context: Any) -> None:
    assert not context.plan.restarts
    assert not context.unit.abandoned

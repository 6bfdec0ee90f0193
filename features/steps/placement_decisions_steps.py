from typing import Any

from behave import given, then, when
from tools.bench.placement import find_quantile, make_scheduler
from tools.bench.placement_driver import CellRun, Outcome
from tools.bench.placement_workloads import (
    WINDOW_SECONDS,
    WORKLOADS,
    draw_arrivals,
    make_deployments,
)

from primrosestile.decisions.backfill import PATIENT_WAIT_LIMIT_SECONDS, list_startable
from primrosestile.decisions.cell import CellView, Demand, Holding
from primrosestile.decisions.defragmentation import find_move
from primrosestile.decisions.guarantees import assign_guarantees
from primrosestile.decisions.placement import (
    NeverFits,
    Reclaim,
    Waits,
    decide_placement,
    order_demands,
)
from primrosestile.decisions.run_times import RunTimes
from primrosestile.state.fleet import Worker
from primrosestile.state.jobs import Member, ReasonCode
from primrosestile.state.tenancy import Adjacency, Policy, Shape, Urgency

URGENT_SECONDS = 5.8
SEED = 2


def make_shape(accelerators: int) -> Shape:
    if accelerators > 9:
        return Shape(accelerators, Adjacency.RACK)
    return Shape(accelerators)


def make_demand(
    organisation: str, accelerators: int, now: float, evictable: bool = True
) -> Demand:
    return Demand(
        job_id=f"{organisation}-asks",
        organisation=organisation,
        team="team",
        job_class="class",
        shape=make_shape(accelerators),
        urgency=Urgency.PATIENT,
        evictable=evictable,
        checkpoints=False,
        accepted_at=now,
        declared_seconds=600.0,
    )


def hold(
    view: CellView,
    job_id: str,
    members: tuple[Member, ...],
    since: float,
    evictable: bool = True,
    checkpoints: bool = False,
) -> Holding:
    count = sum(len(member.accelerators) for member in members)
    holding = Holding(
        job_id=job_id,
        organisation="guest",
        team="team",
        members=members,
        shape=make_shape(count),
        urgency=Urgency.PATIENT,
        evictable=evictable,
        checkpoints=checkpoints,
        started_at=since,
        checkpointed_at=since,
    )
    view.hold(holding)
    return holding


def hold_on_next_worker(context: Any, job_id: str, count: int, **fields: Any) -> None:
    name = next(name for name, free in context.view.free.items() if free >= count)
    members = (Member(name, tuple(range(count))),)
    hold(context.view, job_id, members, **fields)


@given(
    "a placement cell of 1 rack with {workers:d} workers that "
    'guarantees {count:d} to "{name}"'
)
def make_cell(context: Any, workers: int, count: int, name: str) -> None:
    context.workers = [Worker(f"w{index}", "rack", "") for index in range(workers)]
    context.view = CellView(context.workers, [(name, make_shape(count))])


@given('the placement cell also guarantees {count:d} to "{name}"')
def guarantee_also(context: Any, count: int, name: str) -> None:
    promised = (*context.view.promised, (name, make_shape(count)))
    context.view = CellView(context.workers, promised)


@when("worker {worker:d} of the placement cell is quarantined")
def quarantine(context: Any, worker: int) -> None:
    context.view.set_usable(f"w{worker}", False)


@when(
    '"guest" runs "{job_id}" on {count:d} accelerators since '
    "{since:d} without checkpoints"
)
def run_without_checkpoints(context: Any, job_id: str, count: int, since: int) -> None:
    hold_on_next_worker(context, job_id, count, since=float(since))


@when(
    '"guest" runs "{job_id}" on {count:d} accelerators since {since:d} with checkpoints'
)
def run_with_checkpoints(context: Any, job_id: str, count: int, since: int) -> None:
    hold_on_next_worker(context, job_id, count, since=float(since), checkpoints=True)


@when(
    '"guest" runs the non-preemptible "{job_id}" on {count:d} accelerators '
    "since {since:d}"
)
def run_non_preemptible(context: Any, job_id: str, count: int, since: int) -> None:
    hold_on_next_worker(context, job_id, count, since=float(since), evictable=False)


@when(
    '"guest" runs "{job_id}" on {count:d} accelerators of '
    "worker {worker:d} since {since:d}"
)
def run_on_worker(
    context: Any, job_id: str, count: int, worker: int, since: int
) -> None:
    members = (Member(f"w{worker}", tuple(range(count))),)
    hold(context.view, job_id, members, float(since))


@when('"{name}" asks for {count:d} accelerators at {now:d}')
def ask(context: Any, name: str, count: int, now: int) -> None:
    demand = make_demand(name, count, float(now))
    context.decision = decide_placement(context.view, demand, Policy(), float(now))


@when('"{name}" asks for {count:d} non-preemptible accelerators at {now:d}')
def ask_non_preemptible(context: Any, name: str, count: int, now: int) -> None:
    demand = make_demand(name, count, float(now), evictable=False)
    context.decision = decide_placement(context.view, demand, Policy(), float(now))


@then('the placement stops exactly "{job_id}"')
def check_victim(context: Any, job_id: str) -> None:
    assert isinstance(context.decision, Reclaim), context.decision
    assert context.decision.victims == (job_id,), context.decision


@then("the placement waits because of a guarantee")
def check_waits_for_guarantee(context: Any) -> None:
    assert isinstance(context.decision, Waits), context.decision
    assert context.decision.reason is ReasonCode.WAITS_FOR_GUARANTEE
    assert "guaranteed" in context.decision.detail


@then("the placement waits")
def check_waits(context: Any) -> None:
    assert isinstance(context.decision, Waits), context.decision


@then("the placement answers that it never fits")
def check_never_fits(context: Any) -> None:
    assert isinstance(context.decision, NeverFits), context.decision


@when('"dome" reclaims 16 accelerators at {now:d} from two workers')
def reclaim(context: Any, now: int) -> None:
    # The running jobs are on the first two workers; a third one, if any, is occupied
    # until the place has been chosen.
    view = context.view
    for name, free in view.free.items():
        if free:
            hold(view, "busy", (Member(name, tuple(range(8))),), 0.0, evictable=False)
    demand = make_demand("dome", 16, float(now))
    decision = decide_placement(view, demand, Policy(), float(now))
    assert isinstance(decision, Reclaim), decision
    assert set(decision.victims) == {"first", "second"}, decision
    context.incoming = Holding(
        job_id=demand.job_id,
        organisation=demand.organisation,
        team=demand.team,
        members=decision.members,
        shape=demand.shape,
        urgency=demand.urgency,
        evictable=True,
        checkpoints=False,
        started_at=float(now),
        checkpointed_at=float(now),
    )
    view.begin_reclaim(context.incoming, decision.victims)
    view.release("busy")


@when('the victim "{job_id}" stops and starts again on the third worker')
def restart_victim(context: Any, job_id: str) -> None:
    context.view.release(job_id)
    hold(context.view, job_id, (Member("w2", tuple(range(8))),), 200.0)


@when('the victim "{job_id}" stops')
def stop_victim(context: Any, job_id: str) -> None:
    context.view.release(job_id)


@then("the reclaimed place is free")
def check_reclaimed(context: Any) -> None:
    assert context.view.is_opened(context.incoming.job_id)
    context.view.hold(context.incoming)
    assert context.incoming.job_id in context.view.holdings


@when(
    "a class declared at {declared:d} seconds has run {count:d} "
    "times for {ran:d} seconds"
)
def learn(context: Any, declared: int, count: int, ran: int) -> None:
    context.learned = RunTimes()
    context.declared = float(declared)
    assert context.learned.estimate("class", context.declared) == context.declared
    for _ in range(count):
        context.learned.record("class", float(ran))


@then("its learned run time is {seconds:d} seconds")
def check_learned(context: Any, seconds: int) -> None:
    assert context.learned.estimate("class", context.declared) == float(seconds)


@when("a job of 16 accelerators has waited past the limit beside a short one")
def wait_long(context: Any) -> None:
    members = (Member("w0", tuple(range(8))),)
    hold(context.view, "running", members, 0.0)
    long = make_demand("guest", 16, 0.0)
    short = make_demand("other", 1, PATIENT_WAIT_LIMIT_SECONDS)
    now = PATIENT_WAIT_LIMIT_SECONDS + 1.0
    context.ordered = order_demands(
        [short, long], context.view, Policy(), RunTimes(), now
    )
    context.now = now


@then("the order of placement begins with the long one")
def check_order(context: Any) -> None:
    assert context.ordered[0].shape.accelerators == 16


@then("accelerators are reserved for it that other long work may not take")
def check_reserved(context: Any) -> None:
    view = context.view
    assert view.reservation.job_id == context.ordered[0].job_id
    assert sum(list_startable(view, context.ordered[1], context.now)) == 0
    assert sum(list_startable(view, context.ordered[0], context.now)) == 8


@then("a placement move at {now:d} stops exactly one job")
def check_move(context: Any, now: int) -> None:
    move = find_move(context.view, Policy(), float(now))
    assert move is not None
    assert move.victims == ("right",), move


@then("no placement move is made when fragmentation has no weight")
def check_no_move(context: Any) -> None:
    policy = Policy(completion_weight=1.0, fragmentation_weight=0.0)
    assert find_move(context.view, policy, 110.0) is None


@when("one failure domain of three is lost to the assignment of guarantees")
def lose_domain(context: Any) -> None:
    deployment = make_deployments()[0]
    context.before = assign_guarantees(deployment.fleet, deployment.guarantees)
    context.after = assign_guarantees(
        deployment.fleet, deployment.guarantees, frozenset(("malaga",))
    )


@then("the guarantees of the other two stay where they were")
def check_stays(context: Any) -> None:
    assert not context.after["malaga"]
    for cell in ("osborne", "welshpool"):
        before, after = context.before[cell], context.after[cell]
        assert after[: len(before)] == before
    total = sum(len(units) for units in context.before.values())
    assert sum(len(units) for units in context.after.values()) == total


@when('the workload "{workload}" runs at the size of "{deployment}"')
def run_workload(context: Any, workload: str, deployment: str) -> None:
    spec = next(each for each in WORKLOADS if each.name == workload)
    place = next(each for each in make_deployments() if each.name == deployment)
    arrivals = draw_arrivals(place, spec, SEED)
    assigned = assign_guarantees(place.fleet, place.guarantees)
    context.outcome = Outcome()
    for cell in place.fleet.cells:
        run = CellRun(
            make_scheduler("primrosestile", place.policy),
            place.fleet.workers_of(cell),
            assigned[cell.name],
            [arrival for arrival in arrivals if arrival.cell == cell.name],
            spec.bad_workers,
            WINDOW_SECONDS,
        )
        context.outcome.add(run.run())
    context.expected = {
        arrival.job_id
        for arrival in arrivals
        if arrival.cancelled_at is None
        and not (spec.bad_workers and not arrival.evictable)
    }


@then("every guaranteed shape that is due starts within the urgent bound")
def check_guarantees(context: Any) -> None:
    delays = context.outcome.owed_delays
    assert len(delays) > 20
    assert max(delays) <= URGENT_SECONDS, max(delays)


@then("urgent placements start within the urgent bound in all but 1 of 100")
def check_urgent(context: Any) -> None:
    p99 = find_quantile(context.outcome.urgent_delays, 0.99)
    assert p99 is not None and p99 <= URGENT_SECONDS, p99


@then("no gang ran in part and every guarantee was reclaimable at every step")
def check_whole(context: Any) -> None:
    assert context.outcome.gangs_in_part == 0
    assert context.outcome.infeasible_steps == 0


@then("every job that was not cancelled ended")
def check_ended(context: Any) -> None:
    missing = context.expected - set(context.outcome.completions)
    assert not missing, sorted(missing)[:5]

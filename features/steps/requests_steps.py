import threading
from collections.abc import Iterator
from dataclasses import replace
from functools import cache
from typing import Any

from behave import given, then, when
from features.requests.machines import GrantMachine, RequestMachine, run_machine
from tools.bench.requests import take_quantile
from tools.bench.requests_driver import Outcome, drive
from tools.bench.requests_policies import make_product
from tools.bench.requests_workloads import find_plan

from primrosestile.decisions.allowances import Allowances, Grant
from primrosestile.decisions.quarantine import make_ledger
from primrosestile.decisions.request_queue import QueuedRequest, make_queue
from primrosestile.decisions.routing import Outcome as Ended, Router, make_router
from primrosestile.decisions.slots import GRANT_SECONDS, make_grant_ledger, share_safely
from primrosestile.decisions.stragglers import Running, StragglerDetector
from primrosestile.state.tenancy import Policy, Urgency


@cache
def run_workload(name: str) -> Outcome:
    return drive(find_plan(name), make_product, queue_inside=False)


def list_waits(outcome: Outcome, urgency: Urgency) -> list[float]:
    return [
        each.started - each.arrival.waiting.arrived_at
        for each in outcome.results
        if each.started is not None and each.arrival.waiting.urgency is urgency
    ]


def find_p99(outcome: Outcome) -> float:
    times = [
        each.ended - each.arrival.waiting.arrived_at
        for each in outcome.results
        if each.outcome == "ok" and each.ended is not None
    ]
    return take_quantile(times, 0.99) or 0.0


@when('the workload "{name}" runs')
def run_named(context: Any, name: str) -> None:
    context.outcome = run_workload(name)
    assert all(each.outcome != "open" for each in context.outcome.results)


@then("no refusal comes after the deadline of its request")
def check_no_late_refusal(context: Any) -> None:
    assert not [e for e in context.outcome.results if e.outcome == "refused_late"]


@then('at least {part:d} in 100 as many requests as in "{name}" are answered in time')
def check_goodput(context: Any, part: int, name: str) -> None:
    good = sum(each.good for each in context.outcome.results)
    reference = sum(each.good for each in run_workload(name).results)
    assert good >= part / 100 * reference, (good, reference)


@then("urgent work starts within {seconds:g} seconds in 99 of 100 cases")
def check_urgent_wait(context: Any, seconds: float) -> None:
    wait = take_quantile(list_waits(context.outcome, Urgency.URGENT), 0.99)
    assert wait is not None and wait <= seconds, wait


@then("patient work gets at least {part:d} in 100 of the slot time")
def check_patient_share(context: Any, part: int) -> None:
    ran = [each for each in context.outcome.results if each.started is not None]
    patient = sum(
        each.arrival.run
        for each in ran
        if each.arrival.waiting.urgency is Urgency.PATIENT
    )
    share = patient / sum(each.arrival.run for each in ran)
    assert share >= part / 100, share


@then("fewer than {part:d} in 100 requests are admitted and then dropped")
def check_dropped(context: Any, part: int) -> None:
    results = context.outcome.results
    dropped = sum(each.outcome == "given_up" for each in results)
    assert dropped < part / 100 * len(results), dropped


@then('at least {part:d} in 100 requests of "{names}" are answered in time')
def check_organisations(context: Any, part: int, names: str) -> None:
    wanted = names.split(", ")
    theirs = [
        each
        for each in context.outcome.results
        if each.arrival.waiting.organisation in wanted
    ]
    good = sum(each.good for each in theirs)
    assert good >= part / 100 * len(theirs), (good, len(theirs))


@then(
    'the 99th percentile of answer times is at most {factor:g} times that of "{name}"'
)
def check_p99(context: Any, factor: float, name: str) -> None:
    here, there = find_p99(context.outcome), find_p99(run_workload(name))
    assert here <= factor * there, (here, there)


@then("retries and hedges add at most {part:d} in 100 attempts")
def check_extra(context: Any, part: int) -> None:
    first = sum(each.started is not None for each in context.outcome.results)
    assert context.outcome.attempts <= (1 + part / 100) * first


@then("a worker that reported leaving gets at most one more request from each entry")
def check_leaving(context: Any) -> None:
    # The worker refuses, as not run, requests sent before its report arrived.
    plan = find_plan("half-the-fleet-leaves")
    assert context.outcome.refused_by_workers <= len(plan.leaving) * plan.entries


@then("{count:d} runs of the request machine agree with the oracle")
def check_request_machine(context: Any, count: int) -> None:
    run_machine(RequestMachine, count)


@then("{count:d} runs of the grant machine agree with the oracle")
def check_grant_machine(context: Any, count: int) -> None:
    run_machine(GrantMachine, count)


def make_waiting(number: object, now: float = 0.0, **changes: Any) -> QueuedRequest:
    waiting = QueuedRequest(
        request_id=f"request-{number}",
        organisation="a",
        team="a",
        job_class="class",
        urgency=Urgency.URGENT,
        idempotent=True,
        arrived_at=now,
        deadline=now + 10.0,
        expected_seconds=1.0,
    )
    return replace(waiting, **changes)


@given("a queue with {slots:d} slots")
def start_queue(context: Any, slots: int) -> None:
    context.queue = make_queue(Policy())
    context.queue.set_slots(slots)


@given("a queue with {slots:d} slots and room for {room:d} requests")
def start_small_queue(context: Any, slots: int, room: int) -> None:
    context.queue = make_queue(Policy(queue_limit=room))
    context.queue.set_slots(slots)


@given("{urgent:d} urgent and {patient:d} patient requests of one second wait")
def fill_both(context: Any, urgent: int, patient: int) -> None:
    for number in range(urgent):
        waiting = make_waiting(f"u{number}", deadline=1000.0)
        # Admitted as far as the queue allows; more are offered as it drains.
        context.queue.offer(waiting, 0.0)
    for number in range(patient):
        waiting = make_waiting(f"p{number}", urgency=Urgency.PATIENT, deadline=1000.0)
        assert context.queue.offer(waiting, 0.0) is None


@when("the queue is emptied one by one")
def empty_queue(context: Any) -> None:
    context.taken = []
    for step in range(60):
        now = step * 0.5
        waiting = context.queue.take(now)
        if waiting is None:
            break
        context.taken.append(waiting.urgency)
        context.queue.offer(make_waiting(f"n{step}", now, deadline=1000.0), now)


@then("at most {most:d} urgent requests leave between two patient ones")
def check_turns(context: Any, most: int) -> None:
    gaps = "".join(
        "p" if each is Urgency.PATIENT else "u" for each in context.taken
    ).split("p")
    assert len(gaps) > 5, "patient work was starved"
    assert max(len(gap) for gap in gaps) <= most, gaps


@when('organisation "{name}" offers {count:d} patient requests')
def offer_many(context: Any, name: str, count: int) -> None:
    context.refusals = []
    for number in range(count):
        waiting = make_waiting(
            f"{name}-{number}",
            organisation=name,
            urgency=Urgency.PATIENT,
            deadline=100000.0,
        )
        refusal = context.queue.offer(waiting, 0.0)
        if refusal is not None:
            context.refusals.append(refusal)


@then('it is refused as "{kind}"')
def check_kind(context: Any, kind: str) -> None:
    assert context.refusals
    assert {each.kind.value for each in context.refusals} == {kind}


@then('one {urgency} request of organisation "{name}" is queued')
def offer_one(context: Any, urgency: str, name: str) -> None:
    waiting = make_waiting(
        f"{name}-{urgency}",
        organisation=name,
        urgency=Urgency(urgency),
        deadline=100000.0,
    )
    assert context.queue.offer(waiting, 0.0) is None


@when("{count:d} urgent requests arrive at once and the refused retry as told")
def retry_refused(context: Any, count: int) -> None:
    retries = []
    for number in range(count):
        refusal = context.queue.offer(make_waiting(number), 0.0)
        if refusal is not None:
            retries.append((refusal.retry_after, number))
    context.retried = len(retries)
    context.admitted = 0
    retries.sort()
    for step in range(1, 600):
        now = step * 0.125
        # Eight slots and runs of one second: one leaves each eighth of a second.
        taken = context.queue.take(now)
        if taken is not None:
            context.queue.note_served(taken, 1.0, now)
        while retries and retries[0][0] <= now:
            _, number = retries.pop(0)
            again = make_waiting(f"again-{number}", now)
            context.admitted += context.queue.offer(again, now) is None


@then("at least {part:d} in 100 of the retries are admitted")
def check_admitted(context: Any, part: int) -> None:
    assert context.retried > 50
    share = context.admitted / context.retried
    assert share >= part / 100, (context.admitted, context.retried)


@given("{count:d} patient requests of one second wait")
def fill_patient(context: Any, count: int) -> None:
    for number in range(count):
        waiting = make_waiting(number, urgency=Urgency.PATIENT)
        assert context.queue.offer(waiting, 0.0) is None


@when("only {slots:d} slots are left for {seconds:d} seconds")
def lose_slots(context: Any, slots: int, seconds: int) -> None:
    context.queue.set_slots(slots)
    context.dropped = []
    for step in range(1, seconds * 4 + 1):
        now = step / 4
        if step % (4 // slots) == 0:
            context.queue.take(now)
        for waiting, _ in context.queue.remove_late(now):
            context.dropped.append((now, waiting))


@then(
    "at least {count:d} requests have been dropped, each {seconds:d} seconds "
    "before its deadline"
)
def check_dropped_early(context: Any, count: int, seconds: int) -> None:
    assert len(context.dropped) >= count, len(context.dropped)
    assert all(now + seconds <= each.deadline for now, each in context.dropped)


@when("a class has taken {seconds:d} seconds in each of {count:d} runs")
def learn_slow(context: Any, seconds: int, count: int) -> None:
    for number in range(count):
        context.queue.note_served(make_waiting(number), float(seconds), 0.0)
    # The first one is admitted as a probe; the next is refused by measured run times.
    context.queue.offer(make_waiting("probe"), 0.0)
    assert context.queue.offer(make_waiting("refused"), 0.0) is not None


@when("it is offered each second, and takes one second when it runs")
def offer_steadily(context: Any) -> None:
    context.admitted_at = []
    for second in range(1, 121):
        for number in range(4):
            waiting = make_waiting(f"{second}-{number}", float(second))
            if context.queue.offer(waiting, float(second)) is None and number == 3:
                context.admitted_at.append(second)
        while waiting := context.queue.take(float(second)):
            context.queue.note_served(waiting, 1.0, float(second))


@then("it is admitted again within {seconds:d} seconds")
def check_recovered(context: Any, seconds: int) -> None:
    assert context.admitted_at and context.admitted_at[0] <= seconds, (
        context.admitted_at[:1]
    )


@when("all but each tenth are cancelled at once")
def cancel_many(context: Any) -> None:
    cancelled = [f"request-{number}" for number in range(2500) if number % 10]
    removed = context.queue.remove(cancelled)
    assert [each.request_id for each in removed] == cancelled


@then("the rest leave in their original order")
def check_order(context: Any) -> None:
    left = []
    while waiting := context.queue.take(0.5):
        left.append(waiting.request_id)
    assert left == [f"request-{number}" for number in range(0, 2500, 10)]


@given("{entries:d} entries that share {workers:d} workers of {slots:d} slots")
def start_entries(context: Any, entries: int, workers: int, slots: int) -> None:
    context.names = [f"entry-{number}" for number in range(1, entries + 1)]
    context.slots = {f"worker-{number}": slots for number in range(workers)}
    context.allowances = [Allowances(name) for name in context.names]
    context.grants = {}
    for allowances in context.allowances:
        allowances.set_slots(context.slots)
        allowances.set_entries(context.names)


def grant_for(
    context: Any, demands: list[int], rounds: int, late: float = 0.3
) -> float:
    context.ledger = make_grant_ledger(0.0, took_over=False)
    for second in range(rounds):
        # The entries receive it one after another, within the delivery time.
        received = [float(second) + late * number for number in (1, 2, 3)]
        send_grants(context, demands, float(second), received)
    return float(rounds - 1)


def send_grants(
    context: Any,
    demands: list[int],
    now: float,
    received: list[float | None],
    in_flight: dict[str, dict[str, int]] | None = None,
) -> None:
    demand = dict(zip(context.names, demands, strict=True))
    grants = context.ledger.grant(context.slots, demand, in_flight or {}, now)
    for name, entry, time in zip(
        context.names, context.allowances, received, strict=True
    ):
        if time is not None:
            grant = Grant(grants[name], time + GRANT_SECONDS, GRANT_SECONDS)
            entry.set_grant(context.slots, grant, time)
            context.grants[name] = grant


@when(
    "the owner grants by a demand of {a:d}, {b:d} and {c:d}, received "
    "{late:d} second late"
)
def grant_late(context: Any, a: int, b: int, c: int, late: int) -> None:
    context.died = 9.0
    context.ledger = make_grant_ledger(0.0, took_over=False)
    for second in range(10):
        send_grants(context, [a, b, c], float(second), [float(second + late)] * 3)


@when("{count:d} requests run at entry 1 and the owner grants for {seconds:d} seconds")
def grant_running(context: Any, count: int, seconds: int) -> None:
    context.died = float(seconds - 1)
    context.ledger = make_grant_ledger(0.0, took_over=False)
    each = count // len(context.slots)
    running = {"entry-1": dict.fromkeys(context.slots, each)}
    for second in range(seconds):
        now = float(second)
        send_grants(context, [0, 0, 0], now, [now] * 3, running)


@when("it grants by a demand of {a:d}, {b:d} and {c:d}, which entry 1 does not receive")
def grant_without_first(context: Any, a: int, b: int, c: int) -> None:
    context.moments = []
    for step in range(1, 60):
        now = context.died + step * 0.2
        send_grants(context, [a, b, c], now, [None, now, now])
        context.moments.append((now, dict(context.grants)))
    final = context.moments[-1][1]["entry-2"]
    assert sum(final.slots.values()) >= 18, "entry 2 never got what entry 1 lost"


@then("at no time do the grants together exceed {slots:d} slots of a worker")
def check_grants(context: Any, slots: int) -> None:
    for now, grants in context.moments:
        for worker in context.slots:
            total = sum(
                grant.slots.get(worker, 0)
                for grant in grants.values()
                if grant.until > now
            )
            assert total <= slots, (worker, now, total)


@when("the owner grants by a demand of {a:d}, {b:d} and {c:d} and then dies")
def grant_and_die(context: Any, a: int, b: int, c: int) -> None:
    context.died = grant_for(context, [a, b, c], 10)


@then("at no time do the entries together use more than {slots:d} slots of a worker")
def check_sums(context: Any, slots: int) -> None:
    for step in range(200):
        now = context.died + 1.0 + step * 0.05
        for worker in context.slots:
            total = sum(each.find(worker, now) for each in context.allowances)
            assert total <= slots, (worker, now, total)


@then("after {seconds:d} seconds they use all slots again")
def check_all_used(context: Any, seconds: int) -> None:
    now = context.died + seconds
    for worker, slots in context.slots.items():
        assert sum(each.find(worker, now) for each in context.allowances) == slots


@when("the owner grants by a demand of {a:d}, {b:d} and {c:d} for {seconds:d} seconds")
def grant_steadily(context: Any, a: int, b: int, c: int, seconds: int) -> None:
    context.died = grant_for(context, [a, b, c], seconds)


@then("entry 1 may use at least {most:d} slots and each other at least {least:d}")
def check_shifted(context: Any, most: int, least: int) -> None:
    now = context.died + 0.9
    sums = [
        sum(each.find(worker, now) for worker in context.slots)
        for each in context.allowances
    ]
    assert sums[0] >= most and min(sums[1:]) >= least, sums


@given(
    "{entries:d} entries that share {workers:d} workers of {slots:d} slots "
    "without grants"
)
def start_many(context: Any, entries: int, workers: int, slots: int) -> None:
    names = [f"entry-{number}" for number in range(entries)]
    count = {f"worker-{number}": slots for number in range(workers)}
    context.shares = [share_safely(count, names, name) for name in names]


@then("each worker is used by {entries:d} entries and each entry has some worker")
def check_subsets(context: Any, entries: int) -> None:
    for worker in context.shares[0]:
        assert sum(share[worker] > 0 for share in context.shares) == entries
    assert all(any(share.values()) for share in context.shares)


@given("a router with {count:d} targets")
def start_router(context: Any, count: int) -> None:
    context.router = make_router("entry-1", Policy())
    context.router.set_entries(["entry-1"])
    slots = {f"target-{number}": 8 for number in range(1, count + 1)}
    context.router.set_targets(slots, frozenset(), 0.0)


def choose_many(router: Router, now: float, count: int = 60) -> Iterator[str | None]:
    for number in range(count):
        yield router.choose(make_waiting(number, now), now)


def end_at(router: Router, target: str, ended: Ended, now: float = 0.0) -> None:
    waiting = make_waiting("end")
    router.start(target, waiting, now)
    router.finish(target, waiting, ended, 0.1, now)


@when('"{target}" reports that it is leaving')
def report_leaving(context: Any, target: str) -> None:
    end_at(context.router, target, Ended.LEAVING)


@when('"{target}" refuses a request')
def refuse_one(context: Any, target: str) -> None:
    end_at(context.router, target, Ended.REFUSED)


@when('"{target}" fails {count:d} requests')
def fail_some(context: Any, target: str, count: int) -> None:
    for _ in range(count):
        end_at(context.router, target, Ended.FAILED)


@when(
    "the first {count:d} targets fail {failures:d} requests each "
    "and the others are full"
)
def fail_first(context: Any, count: int, failures: int) -> None:
    for number in range(1, count + 1):
        fail_some(context, f"target-{number}", failures)
    for number in range(count + 1, 9):
        for place in range(8):
            waiting = make_waiting(f"full-{number}-{place}")
            context.router.start(f"target-{number}", waiting, 0.0)


@then("at most {most:d} of {count:d} requests within a second are sent there")
def check_paused(context: Any, most: int, count: int) -> None:
    sent = 0
    for number in range(count):
        now = number / count
        target = context.router.choose(make_waiting(number, now), now)
        if target is not None:
            sent += 1
            end_at(context.router, target, Ended.FAILED, now)
    assert sent <= most, sent


@when("every target fails {count:d} requests")
def fail_all(context: Any, count: int) -> None:
    for number in range(1, 9):
        fail_some(context, f"target-{number}", count)


@then('none of 60 choices is "{target}"')
def check_avoided(context: Any, target: str) -> None:
    assert target not in set(choose_many(context.router, 0.05))


@then('after {seconds:d} second "{target}" is chosen again')
def check_chosen(context: Any, seconds: int, target: str) -> None:
    assert target in set(choose_many(context.router, float(seconds)))


@then('after {seconds:d} seconds a non-idempotent request avoids "{target}"')
def check_no_probe(context: Any, seconds: int, target: str) -> None:
    for number in range(60):
        waiting = make_waiting(number, urgency=Urgency.PATIENT, idempotent=False)
        assert context.router.choose(waiting, float(seconds)) != target


@then('after {seconds:d} seconds a patient idempotent request goes to "{target}"')
def check_probe(context: Any, seconds: int, target: str) -> None:
    context.waiting = make_waiting("try", urgency=Urgency.PATIENT)
    assert context.router.choose(context.waiting, float(seconds)) == target


@then('once that has succeeded "{target}" is chosen again')
def check_recovery(context: Any, target: str) -> None:
    context.router.start(target, context.waiting, 6.0)
    assert target not in set(choose_many(context.router, 6.0))
    context.router.finish(target, context.waiting, Ended.OK, 1.0, 7.0)
    assert target in set(choose_many(context.router, 7.0))


@then("at least {count:d} targets are still chosen")
def check_cap(context: Any, count: int) -> None:
    assert len(set(choose_many(context.router, 0.05, 200))) >= count


@when("{count:d} requests are sent and each asks for a retry")
def ask_retries(context: Any, count: int) -> None:
    context.retries = 0
    for number in range(count):
        context.router.note_first_attempt()
        context.retries += context.router.may_retry(make_waiting(number), 0.0)


@then("at most {most:d} retries are allowed")
def check_retries(context: Any, most: int) -> None:
    assert 0 < context.retries <= most, context.retries


@when("{count:d} runs of each kind of work take {seconds:d} second")
def run_kinds(context: Any, count: int, seconds: int) -> None:
    context.kinds = [
        make_waiting(
            f"{urgency.value}-{idempotent}",
            urgency=urgency,
            idempotent=idempotent,
            job_class=f"{urgency.value}-{idempotent}",
        )
        for urgency in Urgency
        for idempotent in (True, False)
    ]
    for waiting in context.kinds:
        for _ in range(count):
            context.router.start("target-1", waiting, 0.0)
            context.router.finish("target-1", waiting, Ended.OK, float(seconds), 0.0)


@then("only urgent idempotent work is hedged")
def check_hedges(context: Any) -> None:
    for waiting in context.kinds:
        after = context.router.hedge_after(waiting, 0.0)
        wanted = waiting.urgency is Urgency.URGENT and waiting.idempotent
        assert (after is not None) == wanted, waiting


@given("a ledger of {count:d} workers")
def start_ledger(context: Any, count: int) -> None:
    context.ledger = make_ledger(Policy())
    context.workers = [f"worker-{number}" for number in range(1, count + 1)]
    context.now = 0.0


@when('{count:d} jobs fail on "{bad}" and succeed on "{good}"')
def cross_jobs(context: Any, count: int, bad: str, good: str) -> None:
    for number in range(count):
        context.ledger.record(bad, f"job-{number}", True, context.now)
        context.ledger.record(good, f"job-{number}", False, context.now)


@when('job "{name}" fails on every worker {count:d} times while others succeed there')
def fail_everywhere(context: Any, name: str, count: int) -> None:
    for worker in context.workers:
        for number in range(count):
            context.ledger.record(worker, name, True, context.now)
            context.ledger.record(worker, f"job-{number}", False, context.now)


@when('class "{name}" fails {count:d} times on "{bad}" and succeeds on all others')
def fail_class(context: Any, name: str, count: int, bad: str) -> None:
    for _ in range(count):
        for worker in context.workers:
            context.ledger.record(worker, name, worker == bad, context.now)


@when('class "{name}" fails each second of {count:d} runs on every worker')
def fail_flaky(context: Any, name: str, count: int) -> None:
    for number in range(count):
        for place, worker in enumerate(context.workers):
            failed = (number + place) % 2 == 0
            context.ledger.record(worker, name, failed, context.now)


@when(
    "{count:d} jobs fail on each of the first {bad:d} workers and succeed on the others"
)
def fail_half(context: Any, count: int, bad: int) -> None:
    for number in range(count):
        for worker in context.workers[:bad]:
            context.ledger.record(worker, f"job-{number}", True, context.now)
        for worker in context.workers[bad:]:
            context.ledger.record(worker, f"job-{number}", False, context.now)


@when("the share for quarantine is set to {count:d} of {total:d}")
def lower_share(context: Any, count: int, total: int) -> None:
    context.ledger.decide(context.workers, context.now)
    context.ledger.set_policy(Policy(quarantine_share=count / total))


@then('"{worker}" alone is in quarantine')
def check_alone(context: Any, worker: str) -> None:
    found = context.ledger.decide(context.workers, context.now)
    assert [each.worker for each in found] == [worker], found
    assert found[0].reason


@then("no worker is in quarantine")
def check_none(context: Any) -> None:
    assert context.ledger.decide(context.workers, context.now) == ()


@then("{count:d} workers are in quarantine")
def check_count(context: Any, count: int) -> None:
    assert len(context.ledger.decide(context.workers, context.now)) == count


@then('"{bad}" is a bad job and "{good}" is not')
def check_bad_job(context: Any, bad: str, good: str) -> None:
    assert context.ledger.is_bad_job(bad)
    assert not context.ledger.is_bad_job(good)


@then('a canary may run on "{worker}" after {seconds:d} seconds and not before')
def check_canary(context: Any, worker: str, seconds: int) -> None:
    context.ledger.decide(context.workers, context.now)
    early = context.now + seconds - 0.1
    assert not context.ledger.wants_canary(worker, early)
    context.now += seconds
    assert context.ledger.wants_canary(worker, context.now)


@when('a canary fails on "{worker}"')
def fail_canary(context: Any, worker: str) -> None:
    context.ledger.record(worker, "canary", True, context.now)


@when('{count:d} canaries succeed on "{worker}"')
def pass_canaries(context: Any, count: int, worker: str) -> None:
    for _ in range(count):
        context.ledger.record(worker, "canary", False, context.now)


@given("an attempt that began at this moment and is expected to take no time")
def start_quick_attempt(context: Any) -> None:
    context.overdue = StragglerDetector()
    context.overdue.start(Running("target-1", "r1", 10.0, 0.0, 0.0))


@when("stragglers are collected at this moment")
def collect_quick_attempt(context: Any) -> None:
    context.finder = threading.Thread(
        target=context.overdue.collect, args=(10.0,), daemon=True
    )
    context.finder.start()


@then("the collection ends")
def check_collection_ended(context: Any) -> None:
    context.finder.join(timeout=10.0)
    assert not context.finder.is_alive()


def make_long(number: int, now: float) -> QueuedRequest:
    return make_waiting(
        f"long-{number}",
        now,
        urgency=Urgency.PATIENT,
        job_class="tables",
        expected_seconds=60.0,
        deadline=now + 1000.0,
    )


def start_long(router: Router, now: float) -> int:
    for number in range(100):
        waiting = make_long(number, now)
        target = router.choose(waiting, now)
        if target is None:
            return number
        router.start(target, waiting, now)
    raise AssertionError("there are not so many slots")


@when("patient requests that run for 60 seconds start as long as one may")
def fill_long(context: Any) -> None:
    context.started = start_long(context.router, 0.0)


@then("{used:d} of {slots:d} slots are used and an urgent request still gets one")
def check_one_left(context: Any, used: int, slots: int) -> None:
    assert context.router.count_slots(0.0) == slots
    assert context.started == used
    assert context.router.choose(make_waiting("urgent"), 0.0) is not None


@when(
    "urgent requests take every slot for {seconds:d} seconds and then {count:d} "
    "of them end"
)
def flood_urgent(context: Any, seconds: int, count: int) -> None:
    started = []
    while target := context.router.choose(make_waiting(len(started)), 0.0):
        waiting = make_waiting(len(started))
        context.router.start(target, waiting, 0.0)
        started.append((target, waiting))
    context.now = float(seconds)
    for target, waiting in started[:count]:
        context.router.finish(target, waiting, Ended.OK, 1.0, context.now)


@then("{count:d} patient requests that run for 60 seconds may start")
def check_kept_share(context: Any, count: int) -> None:
    assert start_long(context.router, context.now) == count

"""Steps for services, best-effort work and advised queues on the stand-in."""

import asyncio
from typing import Any

from behave import given, then, when
from features.doubles.fleet_world import QUEUES, make_policy
from work_steps import SETTLE_SECONDS, hand_in, make_id

from primrosestile.clock import read_clock
from primrosestile.platform.policy import POLICY_KEY
from primrosestile_standin.fleet_script import Script

SERVICE = make_id("service")
BATCH = make_id("batch")
SAMPLE_SECONDS = 0.05
FOREVER = 10_000.0
# Samples since the owner died 12 s ago; the next owner acts after about 2 s.
LATEST_SAMPLES = 220
SERVICE_STEP = {"count": 1, "cpu": 1000, "mem_mb": 100, "daemon": True}


def run_both(context: Any, target_ms: int) -> None:
    scripts = context.world.fleet.scripts
    need = type(Script().need)(1000, 100, 0)
    scripts[SERVICE] = Script(FOREVER, need=need, serves=True)
    scripts[BATCH] = Script(FOREVER, need=type(need)(0, 100, 0))
    steps = [{**SERVICE_STEP, "target_ms": target_ms, "estimate_ms": 1000}]
    context.scripts[SERVICE] = {"seconds": FOREVER, "serves": True}
    context.scripts[BATCH] = {"seconds": FOREVER}
    for step in steps:
        step.setdefault("gpu", 0)
    hand_in(context, "service", "usual", "domes", steps=steps)
    batch = [{"count": 1, "cpu": 4000, "mem_mb": 100, "gpu": 0, "fills": True}]
    hand_in(context, "batch", "patient", "post", steps=batch)


@when(
    "a service with a target of {target:d} ms and best-effort batch work beside it run"
)
def step_service_and_batch(context: Any, target: int) -> None:
    context.over = 0.0
    context.longest_over = 0.0
    context.paces = []
    context.target = target
    run_both(context, target)
    context.watcher = context.world.runner.get_loop().create_task(watch(context))


async def watch(context: Any) -> None:
    """Record the longest time without a break that the service is over its target."""
    since = None
    while True:
        await asyncio.sleep(SAMPLE_SECONDS)
        for worker in context.world.fleet.workers.values():
            for run in worker.runs.values():
                if run.script.serves:
                    over = worker.find_usage(run) >= context.target
                    since = (since or read_clock()) if over else None
                    if since is not None:
                        spent = read_clock() - since
                        context.longest_over = max(context.longest_over, spent)
                else:
                    context.paces.append(run.pace)


@then("the service is never over its target for {seconds:g} s")
def step_never_over(context: Any, seconds: float) -> None:
    assert context.longest_over < seconds, context.longest_over
    context.watcher.cancel()


@then("the batch work still works at times")
def step_batch_works(context: Any) -> None:
    assert max(context.paces[len(context.paces) // 2 :]) > 0


@then("the speed of the batch work is chosen anew")
def step_speed_changed(context: Any) -> None:
    latest = set(context.paces[-LATEST_SAMPLES:])
    assert len(latest) > 1, latest


def run_failing_service(context: Any, seconds: float, accelerators: int) -> None:
    context.scripts[SERVICE] = {"seconds": seconds, "fails": True}
    steps = [{**SERVICE_STEP, "gpu": accelerators, "estimate_ms": 1000}]
    hand_in(context, "service", "usual", "domes", steps=steps)


@when("a service that fails every {seconds:d} s runs")
def step_failing(context: Any, seconds: int) -> None:
    run_failing_service(context, float(seconds), 1)


@when(
    "a service of {accelerators:d} accelerators that fails every {seconds:d} s runs"
    " beside tables of {long:d} s"
)
def step_failing_beside(
    context: Any, accelerators: int, seconds: int, long: int
) -> None:
    run_failing_service(context, float(seconds), accelerators)
    context.scripts[make_id("table")] = {"seconds": float(long)}
    steps = [{"count": 40, "cpu": 100, "mem_mb": 100, "gpu": 1, "estimate_ms": 60_000}]
    hand_in(context, "table", "patient", "post", steps=steps)


def count_starts(context: Any, job: str) -> int:
    return sum(task.startswith(job) for task, _, _ in context.world.fleet.starts)


@then("the service was started at least {count:d} times")
def step_started(context: Any, count: int) -> None:
    assert count_starts(context, SERVICE) >= count, count_starts(context, SERVICE)


@then("it is there")
def step_there(context: Any) -> None:
    async def wait() -> None:
        await context.world.wait_for(
            lambda: any(
                task.startswith(SERVICE)
                for worker in context.world.fleet.workers.values()
                for task in worker.runs
            ),
            3.0,
        )

    context.world.run(wait())


@given("queues whose workers only the advice service knows, {first} and {second}")
def step_advised(context: Any, first: str, second: str) -> None:
    fleet = context.world.fleet
    fleet.advice.allowed = {first, second}
    advice = {
        "decide_ms": fleet.advice.decide_seconds * 1000,
        "period_ms": fleet.advice.per_worker_seconds * 1000,
        "valid_ms": fleet.advice.valid_seconds * 1000,
    }
    context.advice = advice
    for name in ("a1", "a2", "b1"):
        context.scripts.setdefault(make_id(name), {})["ticketed"] = True

    async def change() -> None:
        policy = make_policy(3, queues=QUEUES, advice=advice)
        context.world.store.put(POLICY_KEY, policy)
        await asyncio.sleep(SETTLE_SECONDS)

    context.world.run(change())


@given("the advice service is away")
def step_away(context: Any) -> None:
    context.world.fleet.advice.down = True


@when("the advice service is back")
def step_back(context: Any) -> None:
    context.world.fleet.advice.down = False


@then("it was started on {first} and {second} only")
def step_only_on(context: Any, first: str, second: str) -> None:
    used = {worker for _, _, worker in context.world.fleet.starts}
    assert used <= {first, second}, used


@then("no start was refused for its ticket")
def step_none_refused(context: Any) -> None:
    assert context.world.fleet.tickets_refused == 0, context.world.fleet.tickets_refused


@when("operators remove all queues but the usual one, which is {advised}")
def step_usual_only(context: Any, advised: str) -> None:
    queues = {"usual": QUEUES["usual"]}
    advice = context.advice if advised == "advised" else None

    async def put() -> None:
        context.world.store.put(
            POLICY_KEY, make_policy(9, queues=queues, advice=advice)
        )
        await asyncio.sleep(0.3)

    context.world.run(put())

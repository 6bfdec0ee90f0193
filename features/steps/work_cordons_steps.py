"""Steps for operators who cordon a failure domain of workers."""

from typing import Any

from behave import given, then, when
from features.steps.work_steps import make_id

from primrosestile.platform.workers import CORDONS_PREFIX


@given("worker {name} is in failure domain {domain}")
def step_domain(context: Any, name: str, domain: str) -> None:
    async def put() -> None:
        rack = f"r{int(name[1:]) % 2}"
        context.world.list_worker(name, rack=rack, failure_domain=domain)

    context.world.run(put())


@when("operators empty failure domain {domain}")
def step_empty(context: Any, domain: str) -> None:
    async def put() -> None:
        context.world.store.put(CORDONS_PREFIX + domain, b"{}")

    context.world.run(put())


@when("operators take failure domain {domain} back")
def step_take_back(context: Any, domain: str) -> None:
    async def remove() -> None:
        context.world.store.remove(CORDONS_PREFIX + domain)

    context.world.run(remove())


@then("none of {name} was started on worker {worker}")
def step_not_there(context: Any, name: str, worker: str) -> None:
    there = [
        task
        for task, _, where in context.world.fleet.starts
        if task.startswith(make_id(name)) and where == worker
    ]
    assert not there, there


@when("operators take failure domain {domain} back and close it again")
def step_close_again(context: Any, domain: str) -> None:
    step_take_back(context, domain)
    step_empty(context, domain)


@when("the store answers {seconds:g} s late from now on")
def step_slow_store(context: Any, seconds: float) -> None:
    context.world.store.faults.slow_seconds = seconds


@when("the starts on worker {worker} are counted")
def step_count_starts(context: Any, worker: str) -> None:
    context.counted = count_starts(context, worker)


@then("no more was started on worker {worker}")
def step_no_more(context: Any, worker: str) -> None:
    assert count_starts(context, worker) == context.counted


def count_starts(context: Any, worker: str) -> int:
    return sum(where == worker for _, _, where in context.world.fleet.starts)


@then("the log warns of the unknown failure domain {domain}")
def step_warned(context: Any, domain: str) -> None:
    assert any(
        line["event"] == "cordons_without_workers" and line["domains"] == [domain]
        for line in context.log
    ), context.log

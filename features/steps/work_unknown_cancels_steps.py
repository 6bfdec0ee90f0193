"""Steps for cancels of ids that no job has, or not yet."""

import asyncio
import json
from typing import Any

from behave import given, step, then, when
from features.doubles.fleet_world import HOST, FleetWorld, make_policy
from features.steps.work_steps import make_id, write_script

from primrosestile.clock import read_wall_clock
from primrosestile.coordination.work.keys import TOMBSTONES_PREFIX
from primrosestile.errors import Failure
from primrosestile.platform.callers import read_submission
from primrosestile.platform.policy import POLICY_KEY
from primrosestile.state.policy import Policy
from primrosestile.state.work import Submission

ONE_TASK = [{"count": 1, "cpu": 1000, "mem_mb": 1000, "gpu": 1}]
POLICY_SECONDS = 1.0
NONE = "no such job"


def find_organisation(caller: str) -> str:
    return "" if caller == "nobody" else caller


@given("each task takes {seconds:d} s")
def step_every_job(context: Any, seconds: int) -> None:
    context.seconds = float(seconds)
    context.cancels = []
    context.submissions = []


@given("the queue {queue} is public")
def step_public(context: Any, queue: str) -> None:
    config = json.loads(make_policy(2))
    for route in config["routes"]:
        route["public"] = route["name"] == queue

    async def put() -> None:
        context.world.store.put(POLICY_KEY, json.dumps(config).encode())
        await asyncio.sleep(POLICY_SECONDS)

    context.world.run(put())


async def submit(
    context: Any, name: str, process: str, queue: str, organisation: str
) -> None:
    """Submit a job of one task and record the answer."""
    world: FleetWorld = context.world
    job_id = make_id(name)
    context.scripts[job_id] = {"seconds": context.seconds}
    write_script(context, job_id, ONE_TASK)
    body = json.dumps({"spec": "", "steps": ONE_TASK}).encode()

    def make(policy: Policy) -> Submission:
        found = policy.find_queue(HOST, f"/{queue}/{job_id}")
        assert found is not None
        return read_submission(body, job_id, found, organisation, read_wall_clock())

    try:
        await world.processes[process].submitting.submit(job_id, make)
        context.submissions.append("accepted")
    except Failure as failure:
        context.submissions.append(failure.kind.value)


async def cancel(
    context: Any, name: str, process: str, queue: str, organisation: str
) -> None:
    """Cancel a job and record the answer."""
    running = context.world.processes[process]
    found = running.policies.require().find_queue_by_name(queue)
    try:
        known = await running.submitting.cancel(make_id(name), found, organisation)
        context.cancels.append("cancelled" if known else NONE)
    except Failure as failure:
        context.cancels.append(failure.kind.value)


@when("the caller submits {name} at {process}")
def step_submit(context: Any, name: str, process: str) -> None:
    context.world.run(submit(context, name, process, "usual", "domes"))


@when("{caller} submits {name} to {queue} at {process}")
def step_submit_to(
    context: Any, caller: str, name: str, queue: str, process: str
) -> None:
    organisation = find_organisation(caller)
    context.world.run(submit(context, name, process, queue, organisation))


@step("the caller cancels {name} at {process}")
def step_cancel(context: Any, name: str, process: str) -> None:
    context.world.run(cancel(context, name, process, "usual", "domes"))


@when("{first} and {second} answer cancels of {name} at once")
def step_cancel_both(context: Any, first: str, second: str, name: str) -> None:
    async def both() -> None:
        await asyncio.gather(
            *(cancel(context, name, each, "usual", "domes") for each in (first, second))
        )

    context.world.run(both())


@when("{caller} cancels {name} in {queue}")
def step_cancel_in(context: Any, caller: str, name: str, queue: str) -> None:
    organisation = find_organisation(caller)
    context.world.run(cancel(context, name, "p1", queue, organisation))


@when("the write of {name}, submitted at {process}, is carried out {seconds:g} s late")
def step_late(context: Any, name: str, process: str, seconds: float) -> None:
    context.world.store.faults.late_writes = [seconds]
    step_submit(context, name, process)
    assert context.submissions[-1] == "store_answer_lost", context.submissions


@when(
    "the write of {name}, submitted at {process}, is carried out {seconds:g} s late,"
    " and {other} is asked to cancel {same} meanwhile"
)
def step_late_and_cancelled(
    context: Any, name: str, process: str, seconds: float, other: str, same: str
) -> None:
    async def both() -> None:
        context.world.store.faults.late_writes = [seconds]
        submitted = asyncio.create_task(
            submit(context, name, process, "usual", "domes")
        )
        await asyncio.sleep(0.05)
        await cancel(context, same, other, "usual", "domes")
        await submitted

    context.world.run(both())


@when("{other} looks for {name} to cancel it, and {process} accepts it just after")
def step_between(context: Any, other: str, name: str, process: str) -> None:
    client = context.world.processes[other].submitting._store
    commit = client.commit

    async def commit_after(*change: Any, **named: Any) -> Any:
        client.commit = commit
        await submit(context, name, process, "usual", "domes")
        return await commit(*change, **named)

    client.commit = commit_after
    step_cancel(context, name, other)


@when("the store refuses every change")
def step_refuse_changes(context: Any) -> None:
    context.world.store.faults.refuses_changes = True


@when("every lease of a cancelled id expires")
def step_expire(context: Any) -> None:
    store = context.world.store

    async def expire() -> None:
        for key in list(store._entries):
            if key.startswith(TOMBSTONES_PREFIX):
                store._leases.pop(store.read(key).lease, None)
                store.remove(key)

    context.world.run(expire())


@when("{count:d} unknown ids are cancelled at {process} at once")
def step_many(context: Any, count: int, process: str) -> None:
    async def cancel_all() -> None:
        names = [f"n{number}" for number in range(count)]
        await asyncio.gather(
            *(cancel(context, each, process, "usual", "domes") for each in names)
        )

    context.world.run(cancel_all())


@then('the cancels were answered "{answer}"')
def step_answers(context: Any, answer: str) -> None:
    assert context.cancels and set(context.cancels) == {answer}, context.cancels
    context.cancels = []


@then("the cancel was answered {answer}")
def step_answer(context: Any, answer: str) -> None:
    assert context.cancels == [answer], context.cancels


@then("the submission was answered {answer}")
def step_submitted(context: Any, answer: str) -> None:
    assert context.submissions[-1] == answer, context.submissions


@then('at least {least:d} and at most {most:d} of them were answered "{answer}"')
def step_counted(context: Any, least: int, most: int, answer: str) -> None:
    count = context.cancels.count(answer)
    assert least <= count <= most, count
    context.cancels = [each for each in context.cancels if each != answer]


@then("the others were answered {answer}")
def step_others(context: Any, answer: str) -> None:
    assert set(context.cancels) == {answer}, set(context.cancels)
    context.cancels = []


@then("at most {count:d} records of them are in the store")
def step_stored(context: Any, count: int) -> None:
    store = context.world.store

    async def list_keys() -> list[str]:
        store.expire()
        return [key for key in store._entries if key.startswith(TOMBSTONES_PREFIX)]

    keys = context.world.run(list_keys())
    assert len(keys) <= count, len(keys)


@then("the state of job {name} at {process} is {state} within {seconds:d} s")
def step_state(context: Any, name: str, process: str, state: str, seconds: int) -> None:
    world: FleetWorld = context.world

    async def holds() -> bool:
        found = await world.read_state(process, make_id(name), "usual")
        return found is not None and found.value == state

    world.run(world.wait_for(holds, seconds))

"""Steps for the owner's recorder at a slow store."""

import asyncio
import math
from typing import Any

from behave import given, step, then, when
from features.doubles.fleet_world import FleetWorld, make_policy
from features.doubles.stored_jobs import STATUS_RETENTION_SECONDS, store_jobs

from primrosestile.clock import read_clock
from primrosestile.coordination.work.ended_jobs import EndedJobs
from primrosestile.coordination.work.keys import OWNER_KEY, make_progress_key
from primrosestile.coordination.work.recorder import Recorder
from primrosestile.coordination.work.term import Term
from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.platform.policy import read_policy
from primrosestile.protocol.store import Entry
from primrosestile.state.work import Phase, decode_progress, decode_submission


@given("an owner's recorder and {count:d} open jobs")
def step_recorder(context: Any, count: int) -> None:
    world = context.world = FleetWorld()
    context.cleanups.append(world.close)

    async def make() -> None:
        store = world.store.connect("owner")
        fence = world.store.put(OWNER_KEY, b"")
        term = Term(fence, 0, math.inf, asyncio.Event(), read_clock)
        policy = read_policy(Entry("", make_policy(1), 1, 1))
        fleet_state = context.fleet_state = FleetState(policy, wall=0.0)
        ended = EndedJobs(store, term, STATUS_RETENTION_SECONDS)
        context.recorder = Recorder(store, term, fleet_state, ended)
        context.jobs = []
        for entry in store_jobs(world, range(count), 2):
            submission = decode_submission(entry.value)
            job = fleet_state.admit(submission, None, read_clock(), 0.0)
            fleet_state.open_occurrence(job, 0)
            context.recorder.set_job_revision(job, entry.mod_revision)
            context.jobs.append(job)
        context.writing = asyncio.create_task(context.recorder.run())

    world.run(make())
    context.cleanups.append(lambda: world.run(stop(context)))


async def stop(context: Any) -> None:
    context.writing.cancel()
    await asyncio.sleep(0)


@given("a store that takes {seconds:g} s a call")
def step_slow(context: Any, seconds: float) -> None:
    context.world.store.faults.slow_seconds = seconds


@step("job {number:d} changes")
def step_change(context: Any, number: int) -> None:
    context.world.run(change(context, number))


@step("job {number:d} changes and {seconds:g} s pass")
def step_change_and_pass(context: Any, number: int, seconds: float) -> None:
    context.world.run(change(context, number))
    context.world.run(asyncio.sleep(seconds))


async def change(context: Any, number: int) -> None:
    """Begin the next run of a job's first task."""
    job = context.jobs[number]
    unit = next(iter(job.units.values()))
    unit.phase = Phase.WAITING
    unit.run += 1
    context.fleet_state.changed.add(job)
    context.recorder.request_round()


@when("the store goes silent")
def step_silent(context: Any) -> None:
    context.world.store.faults.hangs = True


@when("the store answers again")
def step_answers(context: Any) -> None:
    context.world.store.faults.hangs = False


@then("the changes of job {number:d} are stored within {seconds:g} s")
def step_stored(context: Any, number: int, seconds: float) -> None:
    async def wait() -> None:
        async with asyncio.timeout(seconds):
            await context.recorder.save([context.jobs[number]])

    context.world.run(wait())
    check_stored(context, number)


@then("the changes of jobs {first:d} and {second:d} are stored when it is told so")
def step_both(context: Any, first: int, second: int) -> None:
    jobs = [context.jobs[first], context.jobs[second]]
    context.world.run(context.recorder.save(jobs))
    check_stored(context, first)
    check_stored(context, second)


@then("the store has the latest state of job {number:d}")
def step_latest(context: Any, number: int) -> None:
    check_stored(context, number)


@then("the store has the latest state of job {number:d} within {seconds:g} s")
def step_latest_within(context: Any, number: int, seconds: float) -> None:
    context.world.run(asyncio.sleep(seconds))
    check_stored(context, number)


def check_stored(context: Any, number: int) -> None:
    job = context.jobs[number]

    async def read() -> Entry | None:
        return context.world.store.read(make_progress_key(job.job_id))

    entry = context.world.run(read())
    assert entry is not None, "no record"
    runs = [each.run for each in decode_progress(entry.value).units]
    assert runs == [next(iter(job.units.values())).run], runs

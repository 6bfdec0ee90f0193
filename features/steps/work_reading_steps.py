"""Steps for an owner's reads: at its start, after a lost watch, of ended jobs."""

import asyncio
import json
import random
from dataclasses import replace
from typing import Any

import structlog.testing
from behave import given, then, when
from features.doubles.fleet_world import FleetWorld, Process
from features.doubles.random_faults import JOBS, RandomFaults
from features.doubles.stored_jobs import end_jobs, set_link, spread_id, store_jobs
from features.steps.work_steps import list_running, make_id, write_script

from primrosestile import clock
from primrosestile.clock import read_clock, read_wall_clock
from primrosestile.coordination.work.keys import (
    CALLER_REQUESTS_PREFIX,
    CANCELS_PREFIX,
    ENDED_PREFIX,
    JOBS_PREFIX,
    PROGRESS_PREFIX,
    WAITING_PREFIX,
    make_job_key,
    make_progress_key,
    make_waiting_key,
)
from primrosestile.coordination.work.prefix_reader import PrefixReader
from primrosestile.errors import ErrorKind, Failure
from primrosestile.platform.callers import read_submission
from primrosestile.protocol.store import Entry, Page
from primrosestile.state.policy import Policy
from primrosestile.state.work import Submission, decode_ended

FOREIGN = b"\xc1\x00not ours"
# More nested than a decoder follows, behind the fields of a record of ours.
NESTED = b"\xdc\x00\x07\xa7running\x90\x00\x80" + b"\x91" * 5000


@given("{count:d} jobs of {tasks:d} tasks each are open")
def step_open(context: Any, count: int, tasks: int) -> None:
    async def put() -> None:
        store_jobs(context.world, range(1, count + 1), tasks)

    context.world.run(put())


@given(
    "{count:d} jobs of {tasks:d} tasks each ran under an earlier owner and have ended"
)
def step_ended(context: Any, count: int, tasks: int) -> None:
    context.world.run(end_jobs(context.world, count, tasks))


@when("{process} starts on a VM with a link of {megabits:g} Mbit/s")
def step_start(context: Any, process: str, megabits: float) -> None:
    set_link(context.world, process, megabits)

    async def start() -> None:
        context.world.add_process(process)

    context.world.run(start())


@when("the link of {process} falls to {megabits:g} Mbit/s")
def step_link(context: Any, process: str, megabits: float) -> None:
    set_link(context.world, process, megabits)


@then("{process} gives its first order within {seconds:g} s of being the owner")
def step_first_order(context: Any, process: str, seconds: float) -> None:
    world: FleetWorld = context.world

    async def measure() -> float:
        await world.wait_for(lambda: world.find_owner() is not None, 5.0)
        gained_at = read_clock()
        await world.wait_for(lambda: bool(world.fleet.starts), seconds + 30)
        return read_clock() - gained_at

    took = world.run(measure())
    assert took <= seconds, f"{took:.2f} s"


@then("it has read less than {megabytes:g} MB")
def step_read(context: Any, megabytes: float) -> None:
    read = context.world.store.bytes_listed["p1"] / 1_000_000
    assert read < megabytes, f"{read:.2f} MB"


async def read_jobs(context: Any) -> list[Entry]:
    """Read the open jobs and count the calls."""
    before = context.world.store.calls
    try:
        entries, _ = await context.reader.read(JOBS_PREFIX)
        return list(entries)
    finally:
        context.calls = context.world.store.calls - before


@when("the open jobs are read while the store is silent to the reader")
def step_read_silent(context: Any) -> None:
    world: FleetWorld = context.world
    context.reader = PrefixReader(world.store.connect("reader"))
    world.store.faults.silent.add("reader")
    context.read_failed = False

    async def read() -> None:
        try:
            await read_jobs(context)
        except Failure:
            context.read_failed = True

    world.run(read())


@then("the read fails after at most {count:d} calls")
def step_read_fails(context: Any, count: int) -> None:
    assert context.read_failed and context.calls <= count, context.calls


@then("the next read, once the store answers, is one call")
def step_next_read(context: Any) -> None:
    context.world.store.faults.silent.clear()
    context.world.run(read_jobs(context))
    assert context.calls == 1, context.calls


@when("the open jobs are read over a link of {megabits:g} Mbit/s")
def step_read_slowly(context: Any, megabits: float) -> None:
    context.reader = PrefixReader(context.world.store.connect("reader"))
    set_link(context.world, "reader", megabits)
    context.read = context.world.run(read_jobs(context))


@then("the read brings {count:d} jobs")
def step_brings(context: Any, count: int) -> None:
    keys = {entry.key for entry in context.read}
    assert len(keys) == len(context.read) == count, len(context.read)


@when("all but {count:d} of these jobs are gone and two more reads are made")
def step_fewer(context: Any, count: int) -> None:
    async def read() -> None:
        for entry in context.read[count:]:
            context.world.store.remove(entry.key)
        await read_jobs(context)
        await read_jobs(context)

    context.world.run(read())


@then("the last read is one call")
def step_one_call(context: Any) -> None:
    assert context.calls == 1, context.calls


@when("an open job that runs is cancelled as the store drops its history")
def step_cancel_compact(context: Any) -> None:
    world: FleetWorld = context.world

    async def cancel() -> None:
        runs = [task for each in world.fleet.workers.values() for task in each.runs]
        assert runs, "nothing runs"
        context.job_id = runs[0][:16]
        process = world.processes["p1"]
        queue = process.policies.require().find_queue_by_name("usual")
        assert queue is not None
        assert await process.submitting.cancel(context.job_id, queue, "domes")
        world.store.compact()

    world.run(cancel())


@when("the store drops its history")
def step_compact(context: Any) -> None:
    async def compact() -> None:
        context.world.store.compact()

    context.world.run(compact())


@when("the watches of the store are silent")
def step_silent_watches(context: Any) -> None:
    context.world.store.faults.silent_watches = True


@then("the job that was cancelled has stopped within {seconds:g} s")
def step_stopped(context: Any, seconds: float) -> None:
    async def check() -> None:
        await asyncio.sleep(seconds)
        running = list_running(context.world, context.job_id)
        assert not running, running

    context.world.run(check())


def list_keys(world: FleetWorld, job_id: str) -> list[str]:
    page = world.store.read_page("", "")
    return [entry.key for entry in page.entries if job_id in entry.key]


@then("the store has nothing but the end record of {name}")
def step_only_end(context: Any, name: str) -> None:
    job_id = make_id(name)

    async def check() -> None:
        await asyncio.sleep(0.5)
        keys = list_keys(context.world, job_id)
        assert keys == [ENDED_PREFIX + job_id], keys

    context.world.run(check())


@then("the end of {name} has its time")
def step_end_time(context: Any, name: str) -> None:
    async def check() -> None:
        entry = context.world.store.read(ENDED_PREFIX + make_id(name))
        assert entry is not None
        age = read_wall_clock() - decode_ended(entry.value).ended_at
        assert 0 <= age < 60, age

    context.world.run(check())


@when("the time of day of the others is {seconds:g} s ahead")
def step_time_ahead(context: Any, seconds: float) -> None:
    before = clock._time_of_day.offset
    context.cleanups.append(lambda: setattr(clock._time_of_day, "offset", before))
    clock._time_of_day.offset = before + seconds


@when("job {name} is handed in on a VM whose time of day is {seconds:g} s behind")
def step_hand_in_behind(context: Any, name: str, seconds: float) -> None:
    job_id = make_id(name)
    steps = [{"count": 1, "cpu": 1000, "mem_mb": 1000, "gpu": 8, "estimate_ms": 2000}]
    write_script(context, job_id, steps)
    body = json.dumps({"spec": "", "steps": steps}).encode()

    def make(policy: Policy) -> Submission:
        queue = policy.find_queue_by_name("usual")
        assert queue is not None
        accepted_at = read_wall_clock() - seconds
        return read_submission(body, job_id, queue, "domes", accepted_at)

    context.world.run(context.world.processes["p1"].submitting.submit(job_id, make))


@then("job {first} was started before job {second}")
def step_started_before(context: Any, first: str, second: str) -> None:
    started = [task[:16] for task, _, _ in context.world.fleet.starts]
    wanted = [make_id(first), make_id(second)]
    assert [job for job in started if job in wanted] == wanted, started


@when(
    "the next list of records at {first} and {second} has an item without a"
    " readable key"
)
def step_keyless(context: Any, first: str, second: str) -> None:
    for name in (first, second):
        skip_one_item(context.world.processes[name])


def skip_one_item(process: Process) -> None:
    """Make the first item of the next list of records unreadable."""
    client: Any = process.election._store
    read_list = client.list
    left = [1]

    async def list_without_first(prefix: str, after: str = "") -> Page:
        page: Page = await read_list(prefix, after)
        if not prefix.startswith(PROGRESS_PREFIX) or not left[0] or not page.entries:
            return page
        left[0] -= 1
        return replace(page, entries=page.entries[1:], left_out=1)

    client.list = list_without_first


@given("what the processes log is kept")
def step_keep_log(context: Any) -> None:
    keeping = structlog.testing.capture_logs()
    context.log = keeping.__enter__()
    context.cleanups.append(lambda: keeping.__exit__(None, None, None))


@when("{process} is asked for job {name}, which it doesn't know")
def step_ask_unknown(context: Any, process: str, name: str) -> None:
    ask = context.world.read_state(process, make_id(name), "usual")
    assert context.world.run(ask) is None


@then("the log has these events of {name} in this order")
def step_log_order(context: Any, name: str) -> None:
    expected = [row["event"] for row in context.table]
    events = [
        line["event"] for line in context.log if line.get("job_id") == make_id(name)
    ]
    assert [event for event in events if event in expected] == expected, events


@then("the store has nothing of {name}")
def step_nothing_left(context: Any, name: str) -> None:
    async def check() -> None:
        keys = list_keys(context.world, make_id(name))
        assert not keys, keys

    context.world.run(check())


@given("reads that may be old show nothing")
def step_stale(context: Any) -> None:
    context.world.store.faults.stale_reads = True


@when("the answer to the last record of {name} is lost")
def step_lost_last(context: Any, name: str) -> None:
    world: FleetWorld = context.world
    apply = world.store.apply
    key = ENDED_PREFIX + make_id(name)
    left = [1]

    def apply_and_lose(conditions: Any, writes: Any, removals: Any) -> Any:
        outcome = apply(conditions, writes, removals)
        if left[0] and any(write.key == key for write in writes):
            left[0] = 0
            raise Failure(ErrorKind.STORE_ANSWER_LOST, "lost")
        return outcome

    world.store.apply = apply_and_lose  # type: ignore[method-assign]


@given("from now on lists show every job that was ever there")
def step_old_lists(context: Any) -> None:
    world: FleetWorld = context.world
    read_page = world.store.read_page
    seen: dict[str, Entry] = {}

    def read_all(prefix: str, after: str) -> Page:
        page = read_page(prefix, after)
        if not prefix.startswith(CALLER_REQUESTS_PREFIX):
            return page
        for change in world.store.find_changes(JOBS_PREFIX, 0).changes:
            if change.entry is not None:
                seen[change.key] = change.entry
        return Page(tuple(seen.values()), page.revision)

    world.store.read_page = read_all  # type: ignore[method-assign]


@then("the owner has no open job")
def step_no_job(context: Any) -> None:
    async def check() -> None:
        owner = context.world.find_owner()
        assert owner is not None and owner.scheduler is not None
        assert not owner.scheduler.fleet_state.jobs, owner.scheduler.fleet_state.jobs

    context.world.run(check())


@when("worker {name} is cut off for {seconds:g} s while job {job} is cancelled")
def step_cut_cancel(context: Any, name: str, seconds: float, job: str) -> None:
    world: FleetWorld = context.world
    job_id = make_id(job)

    async def cancel() -> None:
        faults = world.fleet.workers[name].faults
        faults.cut = True
        process = world.processes["p1"]
        queue = process.policies.require().find_queue_by_name("usual")
        assert queue is not None
        assert await process.submitting.cancel(job_id, queue, "domes")
        await asyncio.sleep(seconds)
        assert list_running(world, job_id), "the worker has stopped it by itself"
        keys = list_keys(world, job_id)
        assert PROGRESS_PREFIX + job_id in keys, keys
        faults.cut = False

    world.run(cancel())


@given("unreadable records are in the store")
def step_foreign(context: Any) -> None:
    prefixes = (JOBS_PREFIX, CANCELS_PREFIX, PROGRESS_PREFIX, ENDED_PREFIX)
    foreign = spread_id(77)
    context.foreign = [prefix + foreign for prefix in prefixes]
    context.foreign += [prefix + "not-an-id" for prefix in prefixes]

    async def put() -> None:
        for key in context.foreign:
            context.world.store.put(key, FOREIGN)

    context.world.run(put())


@given("a job whose progress record is nested deeply")
def step_nested_progress(context: Any) -> None:
    put_progress(context, 79, NESTED)


@given("a job whose progress record is unreadable")
def step_foreign_progress(context: Any) -> None:
    put_progress(context, 78, FOREIGN)


def put_progress(context: Any, number: int, value: bytes) -> None:
    async def put() -> None:
        store_jobs(context.world, [number], 1)
        key = make_progress_key(spread_id(number))
        context.world.store.put(key, value)
        # Its owner had started it before the record was overwritten.
        context.world.store.remove(make_waiting_key(spread_id(number)))
        context.foreign += [key, make_job_key(spread_id(number))]

    context.world.run(put())


@then("nothing else was started")
def step_nothing_else(context: Any) -> None:
    assert len(context.world.fleet.starts) == 1, context.world.fleet.starts


@then("the unreadable records are still in the store")
def step_still_there(context: Any) -> None:
    async def check() -> None:
        gone = [key for key in context.foreign if context.world.store.read(key) is None]
        assert not gone, gone

    context.world.run(check())


@when("{count:d} callers ask {process} for the number of waiting jobs at once")
def step_ask_pending(context: Any, count: int, process: str) -> None:
    world: FleetWorld = context.world
    read_page = world.store.read_page
    context.reads = []

    def record_page(prefix: str, after: str) -> Page:
        if prefix == WAITING_PREFIX and not after:
            context.reads.append(prefix)
        return read_page(prefix, after)

    async def ask() -> list[int]:
        running = world.processes[process]
        queue = running.policies.require().find_queue_by_name("usual")
        assert queue is not None
        asked = [running.submitting.count_pending(queue) for _ in range(count)]
        return await asyncio.gather(*asked)

    world.store.read_page = record_page  # type: ignore[method-assign]
    before = world.store.bytes_listed[process]
    context.counts = world.run(ask())
    context.read = world.store.bytes_listed[process] - before
    world.store.read_page = read_page  # type: ignore[method-assign]


@then("each is told {count:d}")
def step_told_count(context: Any, count: int) -> None:
    assert set(context.counts) == {count}, context.counts


@then("the open jobs were read once")
def step_read_once(context: Any) -> None:
    assert len(context.reads) == 1, context.reads


@when("the day of faults of seed {seed:d} is played")
def step_drawn_day(context: Any, seed: int) -> None:
    context.day = RandomFaults(context.world, random.Random(seed))
    context.world.run(context.day.play())


@then("every job was shown correctly, ran once and left one record")
def step_check_day(context: Any) -> None:
    assert len(context.day.accepted) > JOBS / 2, "too few jobs were accepted"
    assert not context.day.wrong, "\n".join(context.day.wrong)

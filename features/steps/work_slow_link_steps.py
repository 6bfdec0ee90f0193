"""Steps for large messages over a slow link."""

import asyncio
import itertools
import math
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import msgspec
from behave import given, then, when
from features.doubles.fleet_world import (
    POOL,
    QUEUES,
    FleetWorld,
    PlatformEntry,
    make_address,
    make_policy,
)
from features.doubles.stored_jobs import make_submission, spread_id
from features.settings.doubles import ACTOR, encode_text, run_paused
from features.steps.work_outage_scope_steps import make_vm
from features.steps.work_steps import make_id

from primrosestile.clock import read_clock, read_wall_clock
from primrosestile.coordination.setting_store import put_setting
from primrosestile.coordination.settings_follower import make_follower
from primrosestile.coordination.work.ended_jobs import EndedJobs
from primrosestile.coordination.work.keys import (
    JOBS_PREFIX,
    OWNER_KEY,
    STATISTICS_KEY,
    make_job_key,
    make_progress_key,
    make_waiting,
    make_wave_key,
)
from primrosestile.coordination.work.pending_counts import PendingCounts
from primrosestile.coordination.work.recorder import Recorder
from primrosestile.coordination.work.run_statistics import RunStatistics
from primrosestile.coordination.work.term import Term
from primrosestile.decisions.settings_parts import list_load_steps
from primrosestile.decisions.work.durations import QueueRunTimes
from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.errors import Failure
from primrosestile.platform.policy import POLICY_KEY, PlatformPolicies, read_policy
from primrosestile.platform.store import BYTES_PER_MEGABIT
from primrosestile.protocol.store import Change, Entry, Page
from primrosestile.state.decoding import decode_json
from primrosestile.state.maintenance import Wave, WaveRecord
from primrosestile.state.settings import SETTINGS_PREFIX
from primrosestile.state.work import (
    JobState,
    Phase,
    Progress,
    UnitRecord,
    encode_record,
)
from primrosestile.transport import gateway
from primrosestile.transport.call_progress import AnswerLimits
from primrosestile.transport.connections import FailureKinds, Reply
from primrosestile.transport.store import (
    CALL_TIMEOUT_SECONDS,
    HEARTBEAT_BOUND_SECONDS,
    GatewayStore,
)
from primrosestile.transport.wire import encode_json
from primrosestile_standin.fleet_script import Script
from primrosestile_standin.fleet_store import FleetStore, FleetStoreClient
from primrosestile_standin.link import Link
from primrosestile_standin.store import MemoryStore

RETENTION_SECONDS = 120.0
# An answer is sent this long after the call at the latest.
CALL_SECONDS = 2.85
LARGE_JOB = "00000000000000aa"


def make_link(megabits: float) -> Link:
    """Return a VM's link of a rate in Mbit/s."""
    link = Link()
    link.rate = megabits * BYTES_PER_MEGABIT
    return link


@when("{process} starts over a link of {megabits:g} Mbit/s")
def step_start(context: Any, process: str, megabits: float) -> None:
    async def start() -> None:
        started = context.world.add_process(process)
        started.link.rate = megabits * BYTES_PER_MEGABIT

    context.world.run(start())


@when("{process} gets a link of {megabits:g} Mbit/s")
def step_link(context: Any, process: str, megabits: float) -> None:
    context.world.processes[process].link.rate = megabits * BYTES_PER_MEGABIT


# Statistics.


@given("statistics of {workers:d} workers and {queues:d} queues from an earlier owner")
def step_statistics(context: Any, workers: int, queues: int) -> None:
    statistics = RunStatistics(
        {f"worker-{spread_id(number)}": (9, 1.0321) for number in range(workers)},
        {
            f"queue-{number:05d}": QueueRunTimes(40, 7.1234, 0.3, 2.7)
            for number in range(queues)
        },
    )

    async def put() -> None:
        value = msgspec.msgpack.encode(statistics)
        context.world.store.put(STATISTICS_KEY, value)

    context.world.run(put())


# Records.


@when("an owner over a link of {megabits:g} Mbit/s records a start of every task")
def step_record(context: Any, megabits: float) -> None:
    world: FleetWorld = context.world

    async def begin() -> None:
        store = world.store.connect("owner", make_link(megabits))
        fence = world.store.put(OWNER_KEY, b"")
        term = Term(fence, 0, math.inf, asyncio.Event(), read_clock)
        fleet_state = FleetState(read_policy(Entry("", make_policy(1), 1, 1)), 0.0)
        ended = EndedJobs(store, term, RETENTION_SECONDS)
        recorder = Recorder(store, term, fleet_state, ended)
        for entry in world.store.read_page(JOBS_PREFIX, "").entries:
            job_id = entry.key.removeprefix(JOBS_PREFIX)
            # The stand-in's jobs differ only in their ids.
            submission = make_submission(job_id, tasks=4000)
            job = fleet_state.admit(submission, None, read_clock(), 0.0)
            recorder.set_job_revision(job, entry.mod_revision)
            fleet_state.open_occurrence(job, 0)
            for unit in job.units.values():
                worker = f"worker-{spread_id(unit.key.position % 500)}"
                fleet_state.order(unit, [worker], read_clock())
            job.state = JobState.RUNNING
        context.jobs = list(fleet_state.jobs)
        context.writing = asyncio.create_task(recorder.run())
        context.saving = asyncio.create_task(
            recorder.save(list(fleet_state.jobs.values()))
        )

    world.run(begin())


@then("all of these records are stored within {seconds:g} s")
def step_stored(context: Any, seconds: float) -> None:
    world: FleetWorld = context.world

    async def check() -> None:
        await asyncio.wait({context.saving}, timeout=seconds)
        context.writing.cancel()
        stored = [
            job_id
            for job_id in context.jobs
            if world.store.read(make_progress_key(job_id)) is not None
        ]
        assert len(stored) == len(context.jobs), f"{len(stored)} are stored"

    world.run(check())


# The policy.


def make_large_policy(version: int, size: int) -> bytes:
    """Return a policy of about `size` bytes."""
    least = len(make_policy(version))
    row = len(make_policy(version, queues={**QUEUES, "queue-00000": 1})) - least
    count = (size - least) // row
    queues = {f"queue-{number:05d}": 1 for number in range(count)}
    return make_policy(version, queues={**QUEUES, **queues})


@given("a policy of {size:d} kB")
def step_policy(context: Any, size: int) -> None:
    context.policy_bytes = 1000 * size

    async def put() -> None:
        policy = make_large_policy(1, context.policy_bytes)
        context.world.store.put(POLICY_KEY, policy)

    context.world.run(put())


@when("operators change the policy")
def step_change(context: Any) -> None:
    async def put() -> None:
        policy = make_large_policy(2, context.policy_bytes)
        context.world.store.put(POLICY_KEY, policy)

    context.world.run(put())


@then("the caller is told whether the job was accepted")
def step_told(context: Any) -> None:
    assert context.told in (["accepted"], ["store_unavailable"]), context.told
    assert context.took <= CALL_SECONDS, context.took


# Callers' queries.


@given("{count:d} jobs wait")
def step_waiting(context: Any, count: int) -> None:
    async def put() -> None:
        for number in range(count):
            write = make_waiting(spread_id(number), "usual")
            context.world.store.put(write.key, write.value)

    context.world.run(put())


@given("a job of {tasks:d} tasks whose record is stored")
def step_large_job(context: Any, tasks: int) -> None:
    units = tuple(
        UnitRecord(
            *(0, 0, index, Phase.ORDERED),
            run=1,
            workers=(f"worker-{spread_id(index % 500)}",),
            checkpoint=spread_id(index),
        )
        for index in range(tasks)
    )

    async def put() -> None:
        store = context.world.store
        store.put(
            make_job_key(LARGE_JOB), encode_record(make_submission(LARGE_JOB, tasks))
        )
        store.put(
            make_progress_key(LARGE_JOB),
            encode_record(Progress(JobState.RUNNING, units)),
        )

    context.world.run(put())


async def keep_asking(
    context: Any,
    ask: Callable[[], Awaitable[Any]],
    seconds: float,
    callers: int,
    interval: float,
) -> None:
    """Ask at an interval; record when each caller asked, and how long it waited.

    A caller that is told nothing waits for an infinite time.
    """
    context.waits = []

    async def ask_once() -> None:
        asked_at = read_clock()
        try:
            async with asyncio.timeout(CALL_SECONDS):
                await ask()
            waited = read_clock() - asked_at
        except (TimeoutError, Failure):
            waited = math.inf
        context.waits.append((asked_at, waited))

    async with asyncio.TaskGroup() as tasks:
        for _ in range(int(seconds / interval)):
            for _ in range(callers):
                tasks.create_task(ask_once())
            await asyncio.sleep(interval)
    context.asked_until = read_clock()


@given("some other process schedules")
def step_other_owner(context: Any) -> None:
    async def put() -> None:
        context.world.store.put(OWNER_KEY, b"")

    context.world.run(put())


@when(
    "for {seconds:g} s {callers:d} callers ask {process} every {interval:g} s"
    " for the number of waiting jobs"
)
def step_ask_waiting(
    context: Any, seconds: float, callers: int, process: str, interval: float
) -> None:
    asked = context.world.processes[process]

    async def ask() -> None:
        queue = asked.policies.require().find_queue_by_name("usual")
        assert queue is not None
        assert await asked.submitting.count_pending(queue) > 0

    context.world.run(keep_asking(context, ask, seconds, callers, interval))


class OneSilentList(FleetStoreClient):
    """A client whose first list is never answered."""

    silent = True

    async def list(self, prefix: str, after: str = "") -> Page:
        """Return one page of the entries under a prefix."""
        if self.silent:
            self.silent = False
            await asyncio.Event().wait()
        return await super().list(prefix, after)


@given("the store leaves the first list unanswered")
def step_silent_list(context: Any) -> None:
    context.counts = PendingCounts(OneSilentList(context.world.store, "p1", Link()))


@when("two callers ask {seconds:g} s apart for the number of waiting jobs")
def step_ask_apart(context: Any, seconds: float) -> None:
    async def ask() -> None:
        first = asyncio.create_task(context.counts.count("usual"))
        await asyncio.sleep(seconds)
        asked_at = read_clock()
        async with asyncio.timeout(CALL_SECONDS):
            await context.counts.count("usual")
        context.took = read_clock() - asked_at
        first.cancel()

    context.world.run(ask())


@then("the second is told at once")
def step_second_told(context: Any) -> None:
    assert context.took < 0.1, context.took


@when(
    "for {seconds:g} s {callers:d} callers ask {process} every {interval:g} s"
    " for the state of that job"
)
def step_ask_state(
    context: Any, seconds: float, callers: int, process: str, interval: float
) -> None:
    async def ask() -> None:
        state = await context.world.read_state(process, LARGE_JOB, "usual")
        assert state is JobState.RUNNING, state

    context.world.run(keep_asking(context, ask, seconds, callers, interval))


@then("each caller of the last {last:g} s was told within {seconds:g} s")
def step_told_in_time(context: Any, last: float, seconds: float) -> None:
    waits = [
        round(waited, 2)
        for asked_at, waited in context.waits
        if asked_at >= context.asked_until - CALL_SECONDS - last
    ]
    assert waits and max(waits) <= seconds, waits


@when(
    "for {seconds:g} s {callers:d} callers hand in jobs at {process}"
    " every {interval:g} s"
)
def step_keep_submitting(
    context: Any, seconds: float, callers: int, process: str, interval: float
) -> None:
    numbers = itertools.count(1)
    step = {"count": 1, "cpu": 1000, "mem_mb": 1000, "gpu": 1}

    async def ask() -> None:
        job_id = spread_id(next(numbers))
        await context.world.submit(process, job_id, steps=[step])

    context.world.run(keep_asking(context, ask, seconds, callers, interval))


# The view of another VM.


@given("a VM with a link of {megabits:g} Mbit/s that has read a policy of {size:d} kB")
def step_vm(context: Any, megabits: float, size: int) -> None:
    store = FleetStore()
    client = store.connect("p1", make_link(megabits))
    make_vm(context, PlatformPolicies(client), [])

    async def read() -> None:
        store.put(POLICY_KEY, make_large_policy(1, 1000 * size))
        # The first read brings the policy, the second proves that it is the newest.
        await context.policies.refresh()
        await context.policies.refresh()

    context.runner.run(read())


# The list of workers.


@given("the list has {count:d} workers of other services")
def step_list(context: Any, count: int) -> None:
    async def put() -> None:
        for number in range(count):
            name = spread_id(number)
            entry = PlatformEntry(name, make_address(name), "r1", 8, ())
            other = entry.encode().replace(POOL.encode(), b"render")
            context.world.store.put(f"servers/{name}", other)

    context.world.run(put())


# Waves.


@given(
    "a wave over {count:d} VMs with names of {size:d} bytes, which an earlier owner"
    " has begun"
)
def step_wave(context: Any, count: int, size: int) -> None:
    world: FleetWorld = context.world
    names = tuple(f"machine-{number:0{size - 8}d}" for number in range(count))

    async def put() -> None:
        for name in names:
            world.vms.add(name, f"worker-{name}")
        world.vms.waves.append(Wave(1, names, 600.0, count))
        # Of the last one it isn't known yet that it is back.
        record = WaveRecord(read_wall_clock(), names, names[:-1])
        world.store.put(make_wave_key(1), encode_record(record))

    world.run(put())


@then("the wave is completed within {seconds:g} s")
def step_completed(context: Any, seconds: float) -> None:
    vms = context.world.vms
    context.world.run(context.world.wait_for(lambda: 1 in vms.completed, seconds))


# Starts.


@when(
    "job {name} of {tasks:d} tasks with arguments of {size:d} bytes is handed in at p1"
)
def step_large_starts(context: Any, name: str, tasks: int, size: int) -> None:
    job_id = make_id(name)
    context.world.fleet.scripts[job_id] = Script()
    context.queues[job_id] = "usual"
    step = {"count": tasks, "cpu": 1000, "mem_mb": 1000, "gpu": 1, "estimate_ms": 2000}
    context.world.run(context.world.submit("p1", job_id, spec="x" * size, steps=[step]))


# The product's own settings.


class LinkedConnections:
    """Answers reads of the gateway from a store in memory, over a link."""

    def __init__(self, store: MemoryStore, link: Link) -> None:
        self._store = store
        self._link = link

    async def call(
        self,
        address: str,
        path: str,
        body: bytes,
        limits: AnswerLimits,
        kinds: FailureKinds,
    ) -> Reply:
        assert path == gateway.RANGE_PATH, path
        request = decode_json(body, gateway.RangeRequest)
        start, end = request.key.decode(), request.range_end.decode()
        page = await self._store.read_range(start, end, int(request.limit))
        answer = gateway.RangeResponse(
            gateway.Header(str(page.revision)),
            tuple(gateway.write_entry(entry) for entry in page.entries),
            page.more,
        )
        reply = Reply(200, {}, encode_json(answer))
        try:
            await self._link.carry(
                len(reply.body), limits.answer_seconds + limits.transfer_seconds
            )
        except TimeoutError as error:
            raise Failure(kinds.lost, "no answer in time") from error
        return reply


async def watch_nothing(
    prefix: str, revision: int
) -> AsyncIterator[tuple[Change, ...]]:
    """Yield no change; the watch has a connection of its own."""
    await asyncio.Event().wait()
    yield ()


@given("each of these settings was changed {count:d} times")
def step_settings_changed(context: Any, count: int) -> None:
    async def change() -> None:
        document = msgspec.to_builtins(context.large)
        for path, value in list_load_steps(document, {}):
            for revision in range(1, count + 1):
                text = encode_text(value)
                await put_setting(context.store, path, text, revision, ACTOR)

    run_paused(change())


@when("a process begins to follow them over a link of {megabits:g} Mbit/s")
def step_follow(context: Any, megabits: float) -> None:
    store = GatewayStore(
        lambda: ("store",), CALL_TIMEOUT_SECONDS, HEARTBEAT_BOUND_SECONDS
    )
    connections = LinkedConnections(context.store, make_link(megabits))
    store._connections = connections  # type: ignore[assignment]
    store.watch = watch_nothing  # type: ignore[assignment,method-assign]
    context.follower = make_follower(store, "follower")


@then("it has read all of them within {seconds:g} s")
def step_followed(context: Any, seconds: float) -> None:
    async def check() -> None:
        following = asyncio.create_task(context.follower.run())
        try:
            async with asyncio.timeout(seconds):
                await context.follower.wait_for_first()
        except TimeoutError:
            raise AssertionError("nothing was read") from None
        finally:
            following.cancel()
        stored = [
            key for key in context.store.read_all() if key.startswith(SETTINGS_PREFIX)
        ]
        assert len(context.follower.revisions) == len(stored)

    run_paused(check())

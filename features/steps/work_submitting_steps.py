"""Steps for the answers that callers get when they submit jobs."""

import asyncio
import json
from collections.abc import Callable
from typing import Any

from behave import given, then, when
from features.doubles.fleet_world import HOST, FleetWorld, make_policy
from features.steps.coordination_steps import run_paused
from features.steps.work_steps import make_id, write_script

from primrosestile.clock import read_clock, read_wall_clock
from primrosestile.coordination.work.policy_watch import PolicyWatch
from primrosestile.errors import ErrorKind, Failure
from primrosestile.platform.callers import read_submission
from primrosestile.platform.policy import POLICY_KEY, PlatformPolicies
from primrosestile.platform.store import BYTES_PER_MEGABIT
from primrosestile.protocol.policies import StoredVersion
from primrosestile.protocol.store import Entry
from primrosestile.state.policy import Policy, Queue
from primrosestile.state.work import JobState, Submission
from primrosestile_standin.fleet_store import FleetStore
from primrosestile_standin.link import VALUE_FACTOR, Link

ONE_TASK = [{"count": 1, "cpu": 1000, "mem_mb": 1000, "gpu": 1}]
KEYS = {"domes": "key-domes", "post": "key-post"}
# Interval at which a step checks whether callers are refused.
SAMPLE_SECONDS = 0.05


def make_submission_maker(job_id: str, organisation: str) -> Any:
    """Return a function that checks a call's key and makes its submission."""

    def make(policy: Policy) -> Submission:
        if policy.keys.get(KEYS[organisation]) != organisation:
            raise Failure(ErrorKind.UNAUTHENTICATED)
        queue = policy.find_queue(HOST, f"/usual/{job_id}")
        assert queue is not None
        body = json.dumps({"spec": "", "steps": ONE_TASK}).encode()
        return read_submission(body, job_id, queue, organisation, read_wall_clock())

    return make


async def hand_in(
    context: Any, name: str, process: str, organisation: str = "domes"
) -> None:
    """Submit a job of one task and record the answer."""
    job_id = make_id(name)
    write_script(context, job_id, ONE_TASK)
    context.queues[job_id] = "usual"
    began = read_clock()
    submitting = context.world.processes[process].submitting
    try:
        await submitting.submit(job_id, make_submission_maker(job_id, organisation))
        context.told.append("accepted")
    except Failure as failure:
        context.told.append(failure.kind.value)
    context.took = read_clock() - began


@when("job {name} is handed in at p1 and again at p2")
def step_twice(context: Any, name: str) -> None:
    context.told = []

    async def send() -> None:
        await hand_in(context, name, "p1")
        await hand_in(context, name, "p2")

    context.world.run(send())


@when("job {name} is handed in at p1 and by post at p2")
def step_two_callers(context: Any, name: str) -> None:
    context.told = []

    async def send() -> None:
        await hand_in(context, name, "p1")
        await hand_in(context, name, "p2", "post")

    context.world.run(send())


@when("job {name} is handed in at p1")
def step_one(context: Any, name: str) -> None:
    context.told = []
    context.world.run(hand_in(context, name, "p1"))


@when("job {name} is handed in at p1 at once")
def step_at_once(context: Any, name: str) -> None:
    step_one(context, name)


@when("the next write is carried out {seconds:g} s late and the store goes down")
def step_late_and_down(context: Any, seconds: float) -> None:
    faults = context.world.store.faults
    faults.late_writes = [seconds]
    commit = context.world.store.connect("p1").commit
    assert commit is not None
    faults.leases_pause = True

    async def go_down() -> None:
        loop = asyncio.get_running_loop()
        # Down as soon as the store has accepted the write.
        loop.call_later(0.006, setattr, faults, "down", True)

    context.world.run(go_down())


@when("the key of {organisation} is taken away")
def step_revoke(context: Any, organisation: str) -> None:
    async def revoke() -> None:
        others = {name: [key] for name, key in KEYS.items() if name != organisation}
        context.world.store.put(POLICY_KEY, make_policy(2, keys=others))

    context.world.run(revoke())


@when("{process} is refused by the store")
def step_refused(context: Any, process: str) -> None:
    context.world.store.faults.refused.add(process)


@when("policy version {version:d} is in force")
def step_version(context: Any, version: int) -> None:
    async def put() -> None:
        world: FleetWorld = context.world
        context.older = world.store.read(POLICY_KEY)
        world.store.put(POLICY_KEY, make_policy(version))
        await asyncio.sleep(1.0)

    context.world.run(put())


@when("p1 is shown policy version {version:d} by a late answer")
def step_older(context: Any, version: int) -> None:
    context.world.processes["p1"].policies.apply_version(context.older)


@then("p1 uses version {version:d}")
def step_goes_on(context: Any, version: int) -> None:
    policy = context.world.processes["p1"].policies.policy
    assert policy is not None and policy.version == version


@then("both are told that it was accepted")
def step_both(context: Any) -> None:
    assert context.told == ["accepted", "accepted"], context.told


@when("the store leaves the calls of {process} unanswered")
def step_unanswered(context: Any, process: str) -> None:
    context.world.store.faults.silent.add(process)


@then("the second is told {kind}")
def step_second(context: Any, kind: str) -> None:
    assert context.told[1] == kind, context.told


@then("the caller is told that it was accepted")
def step_accepted(context: Any) -> None:
    assert context.told == ["accepted"], context.told


@then("the caller is told {kind} within {seconds:g} s")
def step_told_within(context: Any, kind: str, seconds: float) -> None:
    assert context.told == [kind], context.told
    assert context.took <= seconds, context.took


@then("the caller is told {kind:w}")
def step_told(context: Any, kind: str) -> None:
    assert context.told == [kind], context.told


@then("{count:d} task of {name} was started in {seconds:g} s")
def step_started(context: Any, count: int, name: str, seconds: float) -> None:
    async def check() -> None:
        await asyncio.sleep(seconds)
        job = make_id(name)
        starts = [each for each in context.world.fleet.starts if each[0][:16] == job]
        assert len(starts) == count, starts

    context.world.run(check())


@then("{count:d} tasks of {name} were started in {seconds:g} s")
def step_started_many(context: Any, count: int, name: str, seconds: float) -> None:
    step_started(context, count, name, seconds)


@then("{process} is not ready")
def step_not_ready(context: Any, process: str) -> None:
    async def check() -> None:
        assert not context.world.processes[process].policies.recent

    context.world.run(check())


@then("{process} is ready")
def step_ready(context: Any, process: str) -> None:
    async def check() -> None:
        assert context.world.processes[process].policies.recent

    context.world.run(check())


@then("a call with the key of {organisation} at {process} is told {kind}")
def step_call_told(context: Any, organisation: str, process: str, kind: str) -> None:
    context.told = []
    context.world.run(hand_in(context, "z1", process, organisation))
    assert context.told == [kind], context.told


@then("cancelling job {name} at {process} finds none")
def step_cancel_none(context: Any, name: str, process: str) -> None:
    async def cancel() -> None:
        running = context.world.processes[process]
        queue = running.policies.require().find_queue_by_name("usual")
        assert not await running.submitting.cancel(make_id(name), queue, "domes")

    context.world.run(cancel())


@then("the state of job {name} at {process} is none")
def step_state_none(context: Any, name: str, process: str) -> None:
    state = context.world.run(context.world.read_state(process, make_id(name), "usual"))
    assert state is None, state


@then("{process} counts {count:d} waiting job")
def step_pending(context: Any, process: str, count: int) -> None:
    async def check() -> int:
        running = context.world.processes[process]
        queue = running.policies.require().find_queue_by_name("usual")
        found = await running.submitting.count_pending(queue)
        return int(found)

    assert context.world.run(check()) == count


@when("the queue {name} gets the name {other}")
def step_rename(context: Any, name: str, other: str) -> None:
    """Rename a queue; its host and prefix stay."""

    async def rename() -> None:
        config = json.loads(make_policy(2))
        for route in config["routes"]:
            if route["name"] == name:
                route["name"] = other
        context.world.store.put(POLICY_KEY, json.dumps(config).encode())
        await asyncio.sleep(1.0)

    context.world.run(rename())


def find_queue(context: Any, name: str) -> Queue:
    """Return a queue as p1 knows it."""
    queue = context.world.processes["p1"].policies.require().find_queue_by_name(name)
    assert queue is not None, f"no queue {name}"
    return queue


def read_shown(context: Any, name: str, queue: str) -> JobState | None:
    """Return the state that p1 shows for a job at a queue's path."""

    async def read() -> JobState | None:
        submitting = context.world.processes["p1"].submitting
        found: JobState | None = await submitting.read_state(
            make_id(name), find_queue(context, queue)
        )
        return found

    shown: JobState | None = context.world.run(read())
    return shown


@then("at the path of {queue} job {name} is shown as {state}")
def step_shown_at(context: Any, queue: str, name: str, state: str) -> None:
    shown = read_shown(context, name, queue)
    assert shown is JobState(state), shown


@then("at the path of {queue} job {name} is not known")
def step_unknown_at(context: Any, queue: str, name: str) -> None:
    shown = read_shown(context, name, queue)
    assert shown is None, shown


@when("job {name} is cancelled at the path of {queue}")
def step_cancel_at(context: Any, name: str, queue: str) -> None:
    async def cancel() -> None:
        submitting = context.world.processes["p1"].submitting
        found = find_queue(context, queue)
        assert await submitting.cancel(make_id(name), found, "domes")
        await asyncio.sleep(1.0)

    context.world.run(cancel())


@then("a cancel of {name} without a key at the path of {queue} finds none")
def step_no_cancel(context: Any, name: str, queue: str) -> None:
    async def cancel() -> None:
        submitting = context.world.processes["p1"].submitting
        found = find_queue(context, queue)
        assert not await submitting.cancel(make_id(name), found, "")

    context.world.run(cancel())


class FailingSource:
    """A policy source of which some reads fail.

    Attributes:
        fails_each: Every read whose number is a multiple of this fails.
        fails_after: Seconds until such a read fails.
        answers_after: Seconds that other reads take.
    """

    key = POLICY_KEY

    def __init__(
        self, fails_each: int, fails_after: float, answers_after: float = 0.0
    ) -> None:
        self.reads = 0
        self.fails_each = fails_each
        self.fails_after = fails_after
        self.answers_after = answers_after
        self._policies = PlatformPolicies(FleetStore().connect("p1"))

    async def read(self, on_part: Callable[[], None]) -> StoredVersion | None:
        self.reads += 1
        if self.reads % self.fails_each == 0:
            await asyncio.sleep(self.fails_after)
            raise Failure(ErrorKind.STORE_UNAVAILABLE, "refused")
        await asyncio.sleep(self.answers_after)
        on_part()
        return StoredVersion(1, Entry(POLICY_KEY, make_policy(1), 1, 1))

    def decode(self, entry: Entry) -> Policy:
        return self._policies.decode(entry)


@given("a process whose proof of the policy holds for {seconds:g} s")
def step_proof(context: Any, seconds: float) -> None:
    context.holds = seconds


@when("it runs for {seconds:g} s while every third read fails after 0.3 s")
def step_read_often(context: Any, seconds: float) -> None:
    read_policy(context, seconds, FailingSource(3, 0.3))


@when(
    "it runs for {seconds:g} s while reads take {answers:g} s"
    " and every tenth fails after {fails:g} s"
)
def step_read_silent(
    context: Any, seconds: float, answers: float, fails: float
) -> None:
    read_policy(context, seconds, FailingSource(10, fails, answers))


def read_policy(context: Any, seconds: float, source: FailingSource) -> None:
    context.source = source
    watch = PolicyWatch(source, context.holds, read_clock)
    context.stale = 0

    async def run() -> None:
        reading = asyncio.create_task(watch.run())
        await watch.loaded.wait()
        for _ in range(round(seconds / 0.05)):
            await asyncio.sleep(0.05)
            context.stale += not watch.recent
        reading.cancel()

    run_paused(run())


@then("it has read the policy at most {most:d} times")
def step_reads(context: Any, most: int) -> None:
    assert 0 < context.source.reads <= most, context.source.reads


@then("its policy was recent all the time")
def step_recent(context: Any) -> None:
    assert not context.stale, context.stale


def make_large_policy(version: int, size: int) -> bytes:
    """Return a policy of many queues, padded to a size in bytes."""
    few, many = (
        make_policy(version, queues={f"queue{each:05}": 1 for each in range(count)})
        for count in (1, 101)
    )
    count = 1 + 100 * (size - len(few)) // (len(many) - len(few))
    queues = {f"queue{each:05}": 1 for each in range(count)}
    return make_policy(version, queues=queues).ljust(size)


@given("its link has {megabits:g} Mbit/s")
def step_policy_link(context: Any, megabits: float) -> None:
    context.link = Link()
    context.link.rate = megabits * BYTES_PER_MEGABIT
    context.refuses_changes = False


@given("the store refuses changes")
def step_refuse_changes(context: Any) -> None:
    context.refuses_changes = True


@when(
    "it runs for {seconds:g} s while operators replace a policy of {size:d} kB"
    " every {interval:g} s"
)
def step_replace_policy(
    context: Any, seconds: float, size: int, interval: float
) -> None:
    store = FleetStore()
    store.faults.refuses_changes = context.refuses_changes
    source = PlatformPolicies(store.connect("p1", context.link))
    watch = PolicyWatch(source, context.holds, read_clock)
    context.policy_bytes = size * 1000
    # Seconds in which callers were refused, and the version known at the end, of each
    # interval.
    context.refused, context.known = [], []
    context.ran_for = seconds

    async def run() -> None:
        reading = asyncio.create_task(watch.run())
        for version in range(1, round(seconds / interval) + 1):
            store.put(POLICY_KEY, make_large_policy(version, context.policy_bytes))
            refused = 0
            for _ in range(round(interval / SAMPLE_SECONDS)):
                await asyncio.sleep(SAMPLE_SECONDS)
                refused += not watch.recent
            context.refused.append(refused * SAMPLE_SECONDS)
            context.known.append(watch.policy.version if watch.policy else 0)
        reading.cancel()
        await asyncio.wait({reading})

    run_paused(run())


@then("callers were refused for at most {seconds:g} s after each change")
def step_refused_briefly(context: Any, seconds: float) -> None:
    assert max(context.refused) <= seconds, context.refused
    assert context.known == list(range(1, len(context.known) + 1)), context.known


@then("its link carried each version once and at most {rate:g} kB/s besides")
def step_link_load(context: Any, rate: float) -> None:
    versions = len(context.refused)
    once = versions * VALUE_FACTOR * context.policy_bytes
    limit = once + rate * 1000 * context.ran_for
    assert context.link.carried <= limit, (context.link.carried, limit)

"""Steps for values, rows and answers that other programs wrote."""

import asyncio
import json
from collections.abc import Coroutine
from typing import Any

import aiohttp
from behave import given, then, when
from features.doubles.fleet_world import POOL, make_policy
from features.doubles.foreign import (
    GOOD_RUN,
    GOOD_WAVE,
    GOOD_WORKER,
    ITEM_FAULTS,
    CannedConnections,
    Change,
    GarbledPolls,
    OnePage,
    change_kinds,
    cut_running,
    encode_value,
    make_policy_fault,
    make_poll_fault,
    make_wave_fault,
    make_worker_fault,
    show_item,
)
from work_steps import make_id

from primrosestile.errors import ErrorKind, Failure
from primrosestile.platform.advice import PlatformAdvice
from primrosestile.platform.maintenance import PlatformMaintenance
from primrosestile.platform.policy import POLICY_KEY, PlatformPolicies
from primrosestile.platform.rejections import RejectionLog
from primrosestile.platform.store import PlatformStore
from primrosestile.platform.workers import PlatformWorkerList, PlatformWorkers
from primrosestile.programs.node import METRICS_PORT
from primrosestile.protocol.fleet import PollAnswer, RunningTask, StartOrder
from primrosestile.protocol.store import Entry
from primrosestile.protocol.transactions import Condition, Write, list_entries
from primrosestile.state.maintenance import VmState
from primrosestile.state.workers import EndKind


def find_pools() -> frozenset[str]:
    """Return the pools that the policy names."""
    return frozenset({POOL})


def make_store(body: Any, status: int = 200) -> PlatformStore:
    """Return a store client whose every call is answered with one body."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    return PlatformStore("", CannedConnections(data, status), link=1000.0)


def fail(work: Coroutine[Any, Any, Any]) -> Failure:
    """Return the failure of a call that must fail."""
    try:
        answer = asyncio.run(work)
    except Failure as failure:
        return failure
    raise AssertionError(f"returned as an answer: {answer}")


def list_workers(store: Any) -> list[str]:
    """Return the names of the workers on a store's list."""
    found = asyncio.run(PlatformWorkerList(store, find_pools).list_workers())
    return [entry.worker for entry in found.entries]


@when("a worker's entry is written with {fault}")
def write_worker(context: Any, fault: str) -> None:
    context.store = OnePage(("servers/w1", GOOD_WORKER), make_worker_fault(fault))


@then("only the valid worker is listed")
def check_listed(context: Any) -> None:
    assert list_workers(context.store) == ["w1"], list_workers(context.store)


@when("the store returns a page of workers with {fault} beside a valid one")
def show_page(context: Any, fault: str) -> None:
    good = show_item("servers/w1", encode_value(GOOD_WORKER))
    items = [ITEM_FAULTS[fault], good]
    context.store = make_store({"store_revision": 9, "items": items})


@then("the valid worker of the page is listed")
def check_page(context: Any) -> None:
    assert list_workers(context.store) == ["w1"]


@when("the store returns a page of records with an item without a key")
def show_records(context: Any) -> None:
    good = show_item("progress/a")
    items = [good, ITEM_FAULTS["an item without a key"]]
    context.store = make_store({"store_revision": 9, "items": items})


@then("listing the records fails")
def check_records(context: Any) -> None:
    failure = fail(list_entries(context.store, "progress/"))
    assert failure.kind is ErrorKind.STORE_UNAVAILABLE, failure


@then("a record whose value is no base64 keeps its key and revision")
def check_keyed(context: Any) -> None:
    store = make_store({"store_revision": 9, "items": [show_item("progress/a", "?")]})
    entries, _ = asyncio.run(list_entries(store, "progress/"))
    assert entries == [Entry("progress/a", b"", 5, 5)], entries


@when("the store answers a watch with an event that can't be read")
def show_events(context: Any) -> None:
    store = make_store({"store_revision": 9, "events": [show_item("work/a"), 7]})
    context.watch = asyncio.run(store.watch_once("work/", 4, 1.0))


@then("the watch result is incomplete")
def check_watch(context: Any) -> None:
    assert not context.watch.complete


@then("a change that is answered {body} has an unknown outcome")
def check_change(context: Any, body: str) -> None:
    store = make_store(body.encode())
    failure = fail(store.commit([Condition("a", 0)], [Write("a", b"x")]))
    assert failure.kind is ErrorKind.STORE_ANSWER_LOST


@then("a lease that is answered {body} is not held")
def check_lease(context: Any, body: str) -> None:
    fail(make_store(body.encode()).grant_lease(2.0))


async def poll(body: bytes, status: int = 200) -> Any:
    """Poll a worker that answers with one body."""
    calls = PlatformWorkers(CannedConnections(body, status))
    entry = await PlatformWorkerList(
        OnePage(("servers/w1", GOOD_WORKER))
    ).list_workers()
    return await calls.poll(entry.entries[0], 7, 0, None, 0.0)


@when("a worker answers a poll with {row}")
def answer_poll(context: Any, row: str) -> None:
    context.poll = asyncio.run(poll(make_poll_fault(row)))
    assert isinstance(context.poll, PollAnswer)


@then("the poll returns the valid run and the valid end")
def check_good_rows(context: Any) -> None:
    task, run, checkpoint, percent, usage = GOOD_RUN
    assert context.poll.running == (
        RunningTask(task, run, checkpoint, percent, usage),
    ), context.poll
    assert [each.kind for each in context.poll.ended] == [EndKind.DONE]


@then("the poll is marked as incomplete")
def check_partial(context: Any) -> None:
    assert not context.poll.complete


@then("ends may be acknowledged up to number {most}")
def check_acknowledgeable(context: Any, most: str) -> None:
    expected = None if most == "all" else int(most)
    assert context.poll.acknowledge_limit == expected, context.poll


@then("a run with an unreadable percent and usage is still listed")
def check_lenient(context: Any) -> None:
    rows = [["a.0.0.0", 1, 7, "41", 1e300], ["a.0.0.1", 2, None, 1e9]]
    body = {"clock_ms": 5, "running": rows, "ended": []}
    answer = asyncio.run(poll(json.dumps(body).encode()))
    assert answer.running == (
        RunningTask("a.0.0.0", 1, "", 0.0, None),
        RunningTask("a.0.0.1", 2, "", 0.0, None),
    ), answer.running
    assert answer.complete


@then("a poll that is answered {body} fails as unanswered")
def check_unreadable(context: Any, body: str) -> None:
    assert fail(poll(body.encode())).kind is ErrorKind.WORKER_UNREACHABLE


async def order(body: bytes) -> Any:
    """Start a run on a worker that refuses it with one body."""
    calls = PlatformWorkers(CannedConnections(body, 409))
    found = await PlatformWorkerList(
        OnePage(("servers/w1", GOOD_WORKER))
    ).list_workers()
    start = StartOrder("a.0.0.0", 1, "", 5.0)
    return await calls.start(found.entries[0], 7, start)


@then("an order that is refused for an unknown reason is unanswered")
def check_unknown_reason(context: Any) -> None:
    failure = fail(order(b'{"clock_ms":5,"reason":"weather"}'))
    assert failure.kind is ErrorKind.WORKER_UNREACHABLE


@then("an order whose refusal can't be read is unanswered")
def check_unreadable_refusal(context: Any) -> None:
    for body in (b"", b"[", b'{"reason":7}', b"\xff"):
        assert fail(order(body)).kind is ErrorKind.WORKER_UNREACHABLE


@when("the advice service answers with rows that can't be read")
def answer_advice(context: Any) -> None:
    rows = [["w1", "t1"], ["w2"], [], 7, ["w3", None], ["w4", 5]]
    calls = PlatformAdvice("", CannedConnections(json.dumps({"good": rows}).encode()))
    workers = ("w1", "w2", "w3", "w4")
    context.advice = asyncio.run(calls.ask("a.0.0", workers, 1.0))


@then("the valid row is used")
def check_good_advice(context: Any) -> None:
    assert [each.worker for each in context.advice.allowed] == ["w1"]


@then("the answer is marked as incomplete")
def check_partial_advice(context: Any) -> None:
    assert not context.advice.complete


def make_upkeep(body: Any, status: int = 200) -> PlatformMaintenance:
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    return PlatformMaintenance("", "p1", OnePage(), CannedConnections(data, status))


@when("the list of VMs has a row of which only the name can be read")
def show_vms(context: Any) -> None:
    good = {"machine": "m1", "pool": "engine", "state": "up", "id": "w1"}
    calls = make_upkeep({"machines": [good, {**good, "machine": "m2", "id": 7}]})
    context.vms = asyncio.run(calls.list_vms())


@then("that VM is listed as down")
def check_down(context: Any) -> None:
    states = [(each.name, each.state) for each in context.vms]
    assert states == [("m1", VmState.UP), ("m2", VmState.DOWN)], states


@then("a list with a row without a name fails")
def check_nameless(context: Any) -> None:
    for row in (7, {"state": "up"}, {"machine": 7}):
        failure = fail(make_upkeep({"machines": [row]}).list_vms())
        assert failure.kind is ErrorKind.LIST_UNAVAILABLE


@then("a maintenance order that is refused with an unreadable body is unanswered")
def check_upkeep_body(context: Any) -> None:
    for body in (b"", b"[", b'{"reason":7}'):
        failure = fail(make_upkeep(body, 409).begin("m1", 7, 42))
        assert failure.kind is ErrorKind.LIST_UNAVAILABLE


@then("a maintenance order that is refused for an unknown reason is unanswered")
def check_upkeep_reason(context: Any) -> None:
    failure = fail(make_upkeep({"reason": "weather"}, 409).begin("m1", 7, 42))
    assert failure.kind is ErrorKind.LIST_UNAVAILABLE


@when("a wave is written with {fault}")
def write_wave(context: Any, fault: str) -> None:
    context.store = OnePage(
        ("op/wave/1", GOOD_WAVE), ("op/wave/2", make_wave_fault(fault))
    )


@then("only the valid wave is listed")
def check_waves(context: Any) -> None:
    calls = PlatformMaintenance("", "p1", context.store, CannedConnections(b""))
    waves = asyncio.run(calls.list_waves())
    assert [wave.number for wave in waves] == [1], waves


@when("the configuration is written with {fault}")
def write_policy(context: Any, fault: str) -> None:
    context.entry = Entry(POLICY_KEY, make_policy_fault(fault), 3, 12)


@then("reading the policy fails as malformed")
def check_policy(context: Any) -> None:
    try:
        policy = PlatformPolicies(OnePage()).decode(context.entry)
    except Failure as failure:
        assert failure.kind is ErrorKind.MALFORMED
        return
    raise AssertionError(f"returned as a policy: {policy}")


def put(context: Any, *entries: tuple[str, bytes]) -> None:
    """Write values into the store of the world."""

    async def write() -> None:
        for key, value in entries:
            context.world.store.put(key, value)

    context.world.run(write())


@when("the configuration is overwritten with bytes that can't be read")
def overwrite_policy(context: Any) -> None:
    put(context, (POLICY_KEY, b"\xff{"))


@when("a readable configuration of version {version:d} is written")
def rewrite_policy(context: Any, version: int) -> None:
    put(context, (POLICY_KEY, make_policy(version)))


@then("requests are checked against policy version {version:d}")
def check_version(context: Any, version: int) -> None:
    async def check() -> None:
        for process in context.world.processes.values():
            assert process.policies.require().version == version

    context.world.run(check())


@then("requests fail since the policy is not recent")
def check_refused(context: Any) -> None:
    async def check() -> None:
        for process in context.world.processes.values():
            assert not process.policies.recent
            try:
                process.policies.require()
            except Failure as failure:
                assert failure.kind is ErrorKind.STORE_UNAVAILABLE
            else:
                raise AssertionError("an outdated policy was returned")

    context.world.run(check())


@when("another program overwrites the entries of w1 and w2, and adds some of its own")
def write_foreign(context: Any) -> None:
    beside = ("only a service and an address", "-8 accelerators", "an unknown state")
    entries = [
        (f"servers/a{number}", make_worker_fault(fault)[1])
        for number, fault in enumerate(beside)
    ]
    put(context, *entries, make_worker_fault("a line break in its key"))
    put(context, ("servers/w1", b"\xff\xfe"))
    put(context, ("servers/w2", make_worker_fault("an empty address")[1]))


@given("the entries of w1 and w2 are valid again")
@when("the entries of w1 and w2 are valid again")
def write_valid(context: Any) -> None:
    async def write() -> None:
        for name in ("w1", "w2"):
            context.world.list_worker(name, rack=f"r{int(name[1:]) % 2}")

    context.world.run(write())


@then("no task of {name} was started on w1 or w2")
def check_not_used(context: Any, name: str) -> None:
    starts = [
        each for each in context.world.fleet.starts if each[0].startswith(make_id(name))
    ]
    assert starts
    assert not [each for each in starts if each[2] in ("w1", "w2")], starts


@then("only the four workers are known to the owner")
def check_known(context: Any) -> None:
    async def check() -> None:
        owner = context.world.find_owner()
        assert set(owner.scheduler.fleet_state.workers) == {"w1", "w2", "w3", "w4"}

    context.world.run(check())


def garble(context: Any, edit: Change | None) -> None:
    """Edit all workers' answers before any process decodes them."""
    if "garbled" not in context:
        context.garbled = [
            GarbledPolls(process.calls) for process in context.world.processes.values()
        ]
    for each in context.garbled:
        each.edit = edit


@when("workers truncate the rows of their runs")
def garble_running(context: Any) -> None:
    garble(context, cut_running)


@when("workers report the end of every second task with an unknown kind")
def garble_ends(context: Any) -> None:
    garble(context, change_kinds)


@when("workers' rows are valid again")
def garble_nothing(context: Any) -> None:
    garble(context, None)


@then("the workers were polled at most {most:d} times in {seconds:d} s")
def check_polls(context: Any, most: int, seconds: int) -> None:
    before = sum(each.polls for each in context.garbled)
    context.world.run(asyncio.sleep(seconds))
    polls = sum(each.polls for each in context.garbled) - before
    assert 0 < polls <= most, polls


def read_list(context: Any, value: bytes, times: int) -> None:
    """Read a list of one entry several times, recording the counted rejections."""
    if "logged" not in context:
        context.logged = []
        context.rejections = RejectionLog(
            lambda source, fault: context.logged.append((source.value, fault.value))
        )
    page = OnePage(("servers/x", value))
    workers = PlatformWorkerList(page, find_pools, context.rejections)
    for _ in range(times):
        asyncio.run(workers.list_workers())


@when("a list with an entry without labels is read {times:d} times")
def read_without_labels(context: Any, times: int) -> None:
    read_list(context, make_worker_fault("no labels")[1], times)


@when("the entry is written with {fault}, and the list is read {times:d} times")
def read_with_fault(context: Any, fault: str, times: int) -> None:
    read_list(context, make_worker_fault(fault)[1], times)


@when("the entry is valid, and the list is read {times:d} times")
def read_valid(context: Any, times: int) -> None:
    read_list(context, GOOD_WORKER, times)


@then("{count:d} rejection is logged, as {source} {fault}")
@then("{count:d} rejections are logged, the last as {source} {fault}")
def check_logged(context: Any, count: int, source: str, fault: str) -> None:
    assert len(context.logged) == count, context.logged
    assert context.logged[-1] == (source, fault), context.logged


@given("an entry of another program in the list of workers")
def put_beside(context: Any) -> None:
    platform = context.platform
    value = make_worker_fault("only a service and an address")[1]

    async def put() -> None:
        platform.store.put("servers/x", value)

    platform.runner.run(put())


@then("the metrics count {count:d} {source} rejected for its {fault}")
def check_metrics(context: Any, count: int, source: str, fault: str) -> None:
    wanted = (
        f'unreadable_total{{fault="{fault}",program="node",source="{source}"}} {count}'
    )

    async def wait() -> None:
        text = ""
        url = f"http://{context.platform.ip}:{METRICS_PORT}/metrics"
        for _ in range(100):
            async with (
                aiohttp.ClientSession() as session,
                session.get(url) as response,
            ):
                text = await response.text()
            if wanted in text:
                break
            await asyncio.sleep(0.1)
        assert wanted in text, text

    context.platform.runner.run(wait())

"""Steps for the adapter to the users' platform."""

import asyncio
import base64
import contextlib
import json
import math
import os
import re
import socket
from collections.abc import AsyncIterator, Sequence
from typing import Any

import aiohttp
from aiohttp import web
from behave import given, then, when
from features.doubles.fleet_world import HOST, PlatformEntry, make_policy

from primrosestile.errors import ErrorKind, Failure
from primrosestile.platform.callers import read_submission
from primrosestile.platform.entries import read_worker
from primrosestile.platform.policy import POLICY_KEY, read_policy
from primrosestile.platform.rejections import Fault, Unreadable
from primrosestile.platform.settings import SettingsError, parse_settings
from primrosestile.platform.store import BYTES_PER_MEGABIT, PlatformStore
from primrosestile.platform.workers import PlatformWorkers
from primrosestile.programs.metrics import Metrics
from primrosestile.programs.node import Node
from primrosestile.protocol.fleet import (
    OrderAnswer,
    PollAnswer,
    Refusal,
    Restarted,
    StartOrder,
)
from primrosestile.protocol.store import Entry
from primrosestile.protocol.transactions import CommitResult, Condition, Write
from primrosestile.state.policy import Queue
from primrosestile.state.scheduling import SchedulingSettings, Switch
from primrosestile.state.work import Need
from primrosestile.transport.connections import Connections, Reply
from primrosestile.transport.owner_views import HttpOwnerViews
from primrosestile_standin.fleet_http import AdviceServer, StoreServer, WorkersServer
from primrosestile_standin.fleet_script import Script
from primrosestile_standin.fleet_store import FleetStore
from primrosestile_standin.fleet_worker import Fleet

SETTINGS = """
node=front-1
ip={ip}
zone=leith-hall
listen.front=127.0.0.1:{front}
listen.ready=127.0.0.1:{ready}
port_range=7000,7015
platform.address=127.0.0.1:{store}
advice=127.0.0.1:{advice}
bounds.config_apply_ms=2000
bounds.revoke_ms=5000
bounds.grace_s=6
a.new.line=nobody knows it
"""
EXAMPLE_PORTS = {"front": 8521, "ready": 8523, "store": 8524, "advice": 8525}
WAIT_SECONDS = 30.0
# A slow answer is sent in parts of this size.
PART_BYTES = 1000


def find_free_port() -> int:
    """Return a port on which nothing listens."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


QUEUE = Queue("usual", HOST, "/usual/", "engine", 1, 2, 3.0, 1.0, 3.0)


@given("the platform's settings file with an unknown line")
def step_settings(context: Any) -> None:
    context.lines = SETTINGS.format(ip="127.0.0.1", **EXAMPLE_PORTS)


@given("the platform's settings file with {line:S}")
def step_settings_line(context: Any, line: str) -> None:
    context.lines = SETTINGS.format(ip="127.0.0.1", **EXAMPLE_PORTS) + f"\n{line}\n"


@then("headroom is on, and each other feature is left to its rule")
def step_switched(context: Any) -> None:
    expected = SchedulingSettings(headroom=Switch.ON)
    assert parse_settings(context.lines).scheduling == expected


@then("parsing fails and names {text}")
def step_parsing_fails(context: Any, text: str) -> None:
    try:
        parse_settings(context.lines)
    except SettingsError as error:
        assert text in str(error), error
    else:
        raise AssertionError("the settings were accepted")


@given("the platform's settings file without platform.address")
def step_settings_short(context: Any) -> None:
    lines = SETTINGS.format(ip="127.0.0.1", **EXAMPLE_PORTS).splitlines()
    context.lines = "\n".join(line for line in lines if "platform" not in line)


@then("its addresses and limits are parsed")
def step_parsed(context: Any) -> None:
    settings = parse_settings(context.lines)
    assert settings.callers_address == "127.0.0.1:8521"
    assert settings.store_address == "127.0.0.1:8524"
    assert settings.internal_ports == (7000, 7015)
    assert settings.bounds.key_revoke_seconds == 5.0
    assert settings.bounds.max_lease_seconds == 10.0


@then("parsing fails for want of the missing line")
def step_missing(context: Any) -> None:
    step_parsing_fails(context, "platform.address")


@when("a caller submits the body {body}")
def step_body(context: Any, body: str) -> None:
    context.kind = None
    try:
        read_submission(body.encode(), "0" * 16, QUEUE, "domes", 0.0)
    except Failure as failure:
        context.kind = failure.kind


@then("the body is refused as malformed")
def step_malformed(context: Any) -> None:
    assert context.kind is ErrorKind.MALFORMED, context.kind


@when("a caller submits a step that uses every field")
def step_full(context: Any) -> None:
    step = {
        "count": 4,
        "cpu": 500,
        "mem_mb": 256,
        "gpu": 2,
        "estimate_ms": 900,
        "after": [0],
        "checkpoint": True,
        "gang": True,
        "same_rack": True,
        "constraints": "a",
        "affinity": "r1-3",
        "anti_affinity": 2,
        "speculative": True,
        "daemon": True,
        "image": "im",
        "target_ms": 80,
        "fills": True,
        "may_miss": 1,
        "a_new_field": 7,
    }
    body = {
        "spec": "s",
        "steps": [{"count": 1}, step],
        "repeat_count": 3,
        "start_at_ms": 5000,
        "interval_ms": 2000,
    }
    context.submission = read_submission(
        json.dumps(body).encode(), "0" * 16, QUEUE, "domes", 0.0
    )


@then("every field of the step is decoded")
def step_decoded(context: Any) -> None:
    step = context.submission.steps[1]
    assert step.need == Need(500, 256, 2)
    assert (step.count, step.estimate_seconds, step.after) == (4, 0.9, (0,))
    assert step.gang and step.one_rack and step.checkpoints and step.speculative
    assert (step.label, step.data_rack, step.max_per_worker) == ("a", "r1-3", 2)
    assert step.daemon and step.best_effort
    assert (step.image, step.latency_target_seconds, step.max_unavailable) == (
        "im",
        0.08,
        1,
    )
    repeats = context.submission.repeats
    assert (repeats.count, repeats.first_at, repeats.interval) == (3, 5.0, 2.0)


@then("a worker's entry gives its rack, capacity and whether it is leaving")
def step_worker(context: Any) -> None:
    shape = PlatformEntry("w1", "10.0.0.1:80", "r1-3", 8, ())
    entry = read_worker(Entry("servers/w1", shape.encode("draining"), 1, 1))
    assert (entry.worker, entry.rack, entry.leaving) == ("w1", "r1-3", True)
    assert entry.capacity == Need(64_000, 131_072, 8)
    try:
        read_worker(Entry("servers/w2", b"{", 1, 1))
    except Unreadable as refusal:
        assert refusal.fault is Fault.NOT_JSON
    else:
        raise AssertionError("a truncated entry was accepted")


@then("a stored configuration gives queues, keys, guarantees and limits")
def step_policy(context: Any) -> None:
    value = make_policy(7, guarantees={"domes": 32})
    context.policy = read_policy(Entry(POLICY_KEY, value, 3, 12))
    assert (context.policy.version, context.policy.revision) == (7, 12)
    assert context.policy.keys == {"key-domes": "domes", "key-post": "post"}
    assert context.policy.guarantees == {"domes": 32, "post": 0}
    assert context.policy.pools["engine"].enforces_capacity
    assert context.policy.limits.body_bytes == 262_144


@then("the longest prefix selects the queue")
def step_prefix(context: Any) -> None:
    found = context.policy.find_queue(HOST, "/urgent/0123")
    assert found is not None and found.name == "urgent"
    assert context.policy.find_queue(HOST, "/nowhere/0123") is None
    assert context.policy.find_queue("other.example", "/urgent/0123") is None


class Platform:
    """The stand-in over HTTP and one of our processes, on a real-time event loop."""

    def __init__(self, workers: int) -> None:
        self.runner = asyncio.Runner()
        self.store = FleetStore()
        self.fleet = Fleet()
        self.fleet.default = Script(seconds=0.3)
        self.ends: list[web.AppRunner] = []
        names = ("front", "ready", "store", "advice")
        self.ports = {name: find_free_port() for name in names}
        # Metrics listen on a fixed port; a separate address for each test process lets
        # several run concurrently.
        pid = os.getpid()
        self.ip = f"127.{1 + (pid >> 16 & 63)}.{pid >> 8 & 255}.{pid & 255}"
        self.runner.run(self._serve(workers))

    async def _serve(self, workers: int) -> None:
        self.store.put(POLICY_KEY, make_policy(1))
        await self._listen(StoreServer(self.store).make_app(), self.ports["store"])
        await self._listen(AdviceServer(self.fleet).make_app(), self.ports["advice"])
        for number in range(workers):
            port = find_free_port()
            await self._listen(WorkersServer(self.fleet).make_app(), port)
            shape = PlatformEntry(f"w{number}", f"127.0.0.1:{port}", "r1", 8, ())
            self.store.put(f"servers/w{number}", shape.encode())
            self.fleet.add(shape.make())

    async def _listen(self, app: web.Application, port: int) -> None:
        end = web.AppRunner(app, shutdown_timeout=0.1, access_log=None)
        await end.setup()
        await web.TCPSite(end, "127.0.0.1", port).start()
        self.ends.append(end)

    def start_node(self) -> None:
        settings = parse_settings(SETTINGS.format(ip=self.ip, **self.ports))
        node = Node(settings, Metrics("node"))

        async def start() -> None:
            self.node = asyncio.get_running_loop().create_task(node.run())
            await self.wait_for("/v1/ready", "ready", 200)

        self.runner.run(start())

    async def wait_for(self, path: str, port: str, status: int) -> None:
        until = asyncio.get_running_loop().time() + WAIT_SECONDS
        while True:
            try:
                if (await self.call("GET", path, port=port))[0] == status:
                    return
            except aiohttp.ClientError:
                pass
            assert asyncio.get_running_loop().time() < until, (
                "the status did not come in time"
            )
            await asyncio.sleep(0.05)

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        key: str = "key-domes",
        port: str = "front",
    ) -> tuple[int, bytes]:
        headers = {"Host": HOST, "Authorization": f"Token {key}"}
        url = f"http://127.0.0.1:{self.ports[port]}{path}"
        async with (
            aiohttp.ClientSession() as session,
            session.request(method, url, data=body, headers=headers) as response,
        ):
            return response.status, await response.read()

    def close(self) -> None:
        async def end() -> None:
            self.node.cancel()
            await asyncio.wait({self.node})
            for each in self.ends:
                await each.cleanup()

        self.runner.run(end())
        self.runner.close()


@contextlib.asynccontextmanager
async def serve(app: web.Application) -> AsyncIterator[str]:
    """Serve an application; yield its address."""
    end = web.AppRunner(app, shutdown_timeout=0.1, access_log=None)
    await end.setup()
    port = find_free_port()
    await web.TCPSite(end, "127.0.0.1", port).start()
    try:
        yield f"127.0.0.1:{port}"
    finally:
        await end.cleanup()


@contextlib.asynccontextmanager
async def answer_always(path: str, status: int) -> AsyncIterator[str]:
    """Serve a path with one fixed status; yield the address."""

    async def answer(request: web.Request) -> web.Response:
        return web.Response(status=status, text="{}")

    app = web.Application()
    app.router.add_post(path, answer)
    async with serve(app) as address:
        yield address


@contextlib.asynccontextmanager
async def answer_slowly(
    body: bytes, rate: float, stops_after: float = math.inf
) -> AsyncIterator[str]:
    """Serve every GET with a body at a rate in bytes a second; yield the address.

    With a rate of 0 no call is answered. Otherwise the body stops after some bytes.
    """

    async def answer(request: web.Request) -> web.StreamResponse:
        if not rate:
            await asyncio.Event().wait()
        response = web.StreamResponse()
        response.content_length = len(body)
        await response.prepare(request)
        for start in range(0, len(body), PART_BYTES):
            if start >= stops_after:
                await asyncio.Event().wait()
            part = body[start : start + PART_BYTES]
            await asyncio.sleep(len(part) / rate)
            await response.write(part)
        return response

    app = web.Application()
    app.router.add_get("/{path:.*}", answer)
    async with serve(app) as address:
        yield address


def read_slowly(
    size: int, rate: float, link: float, stops_after: float = math.inf
) -> Entry | Failure | None:
    """Read a value of `size` bytes that arrives at a rate in bytes a second.

    The VM's settings name a link of `link` megabits a second.
    """
    value = base64.b64encode(bytes(size)).decode()
    item = {"key": "k", "value": value, "revision": 1, "created": 1}

    async def read() -> Entry | Failure | None:
        body = json.dumps(item).encode()
        async with answer_slowly(body, rate, stops_after) as address:
            connections = Connections()
            store = PlatformStore(address, connections, link)
            try:
                return await store.get("k")
            except Failure as failure:
                return failure
            finally:
                await connections.close()

    return asyncio.run(read())


@when("a value of {size:d} kB is read that arrives at {rate:g} kB/s")
def step_read_slowly(context: Any, size: int, rate: float) -> None:
    context.read = read_slowly(size * 1000, rate * 1000, link=1000.0)


@contextlib.asynccontextmanager
async def serve_store(store: FleetStore) -> AsyncIterator[tuple[PlatformStore, list]]:
    """Serve a store; yield a client and the sizes of the answers that it got."""
    sizes: list[int] = []

    class CountingConnections(Connections):
        async def call(self, *args: Any, **options: Any) -> Reply:
            reply = await super().call(*args, **options)
            sizes.append(len(reply.body))
            return reply

    connections = CountingConnections()
    async with serve(StoreServer(store).make_app()) as address:
        try:
            yield PlatformStore(address, connections, link=5.0), sizes
        finally:
            await connections.close()


@given("a store over HTTP with a value of {size:d} kB")
def step_large_value(context: Any, size: int) -> None:
    context.stored = FleetStore()
    context.value = bytes(size * 1000)
    context.revision = context.stored.put("k", context.value)


@then("a check of its revision is answered in under {size:d} kB")
def step_check_same(context: Any, size: int) -> None:
    async def check() -> None:
        async with serve_store(context.stored) as (store, sizes):
            outcome = await store.check(Condition("k", context.revision))
            assert outcome.done
            assert sizes[0] < size * 1000, sizes

    asyncio.run(check())


@then("a check of an older revision brings the value")
def step_check_older(context: Any) -> None:
    async def check() -> None:
        async with serve_store(context.stored) as (store, _):
            outcome = await store.check(Condition("k", context.revision - 1))
            assert not outcome.done
            assert outcome.found[0].value == context.value
            assert outcome.found[0].mod_revision == context.revision

    asyncio.run(check())


@then("a change on the condition of an older revision is refused without the value")
def step_refused_without(context: Any) -> None:
    async def change() -> None:
        async with serve_store(context.stored) as (store, sizes):
            conditions = [Condition("k", context.revision - 1)]
            outcome = await store.commit(
                conditions, [Write("other", b"v")], found_bytes=1000
            )
            assert not outcome.done
            assert outcome.omitted
            assert sizes == [0], sizes
            # The next call needs another connection.
            assert await store.get("other") is None

    asyncio.run(change())


@then("a check that is answered with another key's value fails")
def step_check_other_key(context: Any) -> None:
    class OtherStore(FleetStore):
        def check(self, conditions: Sequence[Condition]) -> CommitResult:
            if not conditions:
                return super().check(conditions)
            found = self.read("k")
            assert found is not None
            return CommitResult(done=False, found=(found,))

    async def check() -> None:
        other = OtherStore()
        revision = other.put("k", context.value)
        async with serve_store(other) as (store, _):
            for condition in (Condition("l", revision - 1), Condition("k", revision)):
                try:
                    await store.check(condition)
                except Failure:
                    continue
                raise AssertionError(condition)

    asyncio.run(check())


@when("a value of {size:d} kB is read over a link of {megabits:g} Mbit/s")
def step_read_linked(context: Any, size: int, megabits: float) -> None:
    rate = megabits * BYTES_PER_MEGABIT
    context.read = read_slowly(size * 1000, rate, link=megabits)


@then("the value is read")
def step_value_read(context: Any) -> None:
    assert isinstance(context.read, Entry), context.read


@when("a value of {size:d} kB is read that stops to arrive after {part:d} kB")
def step_read_broken_off(context: Any, size: int, part: int) -> None:
    context.read = read_slowly(
        size * 1000, rate=1e6, link=1000.0, stops_after=part * 1000
    )


@then("its connection counts as silent")
def step_silent(context: Any) -> None:
    assert context.read.silent


@when("a value is read that is never answered")
def step_read_unanswered(context: Any) -> None:
    context.read = read_slowly(1, 0.0, link=1000.0)


@then("the read fails and names how much of the answer has arrived")
def step_arrived(context: Any) -> None:
    assert isinstance(context.read, Failure)
    found = re.search(r"sent (\d+) of (\d+) bytes", context.read.detail)
    assert found is not None, context.read.detail
    assert 0 < int(found[1]) < int(found[2]), context.read.detail


@then("the read fails and says that there was no answer")
def step_unanswered(context: Any) -> None:
    assert isinstance(context.read, Failure)
    assert "did not answer" in context.read.detail, context.read.detail


def send_order(status: int) -> OrderAnswer:
    """Send a start to a worker that answers every order with one status."""

    async def send() -> OrderAnswer:
        async with answer_always("/v1/run-start", status) as address:
            connections = Connections()
            shape = PlatformEntry("w1", address, "r1", 8, ())
            order = StartOrder("00000000000000aa.0.0.0", 1, "x", 500.0)
            try:
                return await PlatformWorkers(connections).start(shape.make(), 7, order)
            finally:
                await connections.close()

    return asyncio.run(send())


def send_write(status: int) -> ErrorKind:
    """Write to a store that answers every call with one status; return the failure."""

    async def send() -> ErrorKind:
        async with answer_always("/v1/kv-txn", status) as address:
            connections = Connections()
            store = PlatformStore(address, connections, link=1000.0)
            try:
                await store.commit([], [Write("k", b"v")])
            except Failure as failure:
                return failure.kind
            finally:
                await connections.close()
        raise AssertionError(f"a write that is answered with {status} succeeded")

    return asyncio.run(send())


@then("a write that is answered with {status:d} may have taken effect")
def step_may_have_effect(context: Any, status: int) -> None:
    assert send_write(status) is ErrorKind.STORE_ANSWER_LOST


@then("a write that is answered with {status:d} had no effect")
def step_write_no_effect(context: Any, status: int) -> None:
    assert send_write(status) is ErrorKind.STORE_UNAVAILABLE


@then("an order that is answered with {status:d} may have taken effect")
def step_order_may_have_effect(context: Any, status: int) -> None:
    try:
        answer = send_order(status)
    except Failure as failure:
        assert failure.kind is ErrorKind.WORKER_UNREACHABLE, failure
        return
    raise AssertionError(f"returned as a definite answer: {answer}")


@then("an order that is answered with {status:d} had no effect")
def step_order_no_effect(context: Any, status: int) -> None:
    assert send_order(status).refusal is Refusal.MALFORMED


@given("the platform's stand-in over HTTP with {count:d} workers")
def step_http(context: Any, count: int) -> None:
    context.platform = Platform(count)
    context.cleanups.append(context.platform.close)


@given("only its advice service knows its queues' workers")
def step_advised_http(context: Any) -> None:
    platform = context.platform
    platform.fleet.default = Script(seconds=0.3, ticketed=True)
    advice = {"decide_ms": 100, "period_ms": 20, "valid_ms": 5000}
    platform.store.put(POLICY_KEY, make_policy(2, advice=advice))


@then("each start carried a valid ticket")
def step_tickets_http(context: Any) -> None:
    fleet = context.platform.fleet
    assert fleet.starts
    assert fleet.tickets_refused == 0, fleet.tickets_refused


@given("a process of ours on it")
def step_node(context: Any) -> None:
    context.platform.start_node()


@when("a caller submits a job over HTTP")
def step_submit_http(context: Any) -> None:
    steps = [{"count": 3, "cpu": 1000, "mem_mb": 1000, "gpu": 1}]
    body = json.dumps({"spec": "x", "steps": steps}).encode()

    async def send() -> None:
        status, _ = await context.platform.call("POST", "/usual/00000000000000aa", body)
        assert status == 200, status

    context.platform.runner.run(send())


@then("the caller is shown the job as completed")
def step_completed(context: Any) -> None:
    async def wait() -> None:
        until = asyncio.get_running_loop().time() + WAIT_SECONDS
        while True:
            _, body = await context.platform.call("GET", "/usual/00000000000000aa")
            if json.loads(body)["state"] == "completed":
                return
            assert asyncio.get_running_loop().time() < until, body
            await asyncio.sleep(0.05)

    context.platform.runner.run(wait())


@then("the stand-in's ledger shows no faults")
def step_ledger_http(context: Any) -> None:
    assert not context.platform.fleet.violations


@then("invalid requests get these statuses")
def step_mistakes(context: Any) -> None:
    async def ask(row: Any) -> None:
        key = "key-domes" if row["key"] == "good" else "key-nobody"
        status, _ = await context.platform.call(row["method"], row["path"], b"{", key)
        assert status == int(row["status"]), (row["method"], row["path"], status)

    for row in context.table:
        context.platform.runner.run(ask(row))


@then("the process reports that it is ready")
def step_ready_http(context: Any) -> None:
    context.platform.runner.run(context.platform.wait_for("/v1/ready", "ready", 200))


@then("an answer of another start of a worker is told from that of the expected one")
def step_other_start(context: Any) -> None:
    poll: dict[str, Any] = {"clock_ms": 500, "running": [], "ended": []}
    for born in (7, 8):
        found = call_start({**poll, "born": born})
        assert found["id"] == "w1"
        if born == 7:
            assert isinstance(found["poll"], PollAnswer)
            assert found["start"] == OrderAnswer(0.5)
        else:
            assert found["poll"] == Restarted("w1/8")
            assert found["start"] == OrderAnswer(refusal=Refusal.RESTARTED)


def call_start(body: dict[str, Any]) -> dict[str, Any]:
    """Poll and order the start 7 of a worker; every call gets the same answer."""
    found: dict[str, Any] = {}

    async def answer(request: web.Request) -> web.Response:
        found["id"] = request.headers["Expect-Instance"]
        return web.json_response(body)

    async def call() -> None:
        app = web.Application()
        app.router.add_post("/v1/hold", answer)
        app.router.add_post("/v1/run-start", answer)
        async with serve(app) as address:
            connections = Connections()
            entry = PlatformEntry("w1", address, "r1", 8, (), born=7).make()
            order = StartOrder("00000000000000aa.0.0.0", 1, "x", 500.0)
            try:
                workers = PlatformWorkers(connections)
                found["poll"] = await workers.poll(entry, 7, 0, None, 0.0)
                found["start"] = await workers.start(entry, 7, order)
            finally:
                await connections.close()

    asyncio.run(call())
    return found


@then("an earlier owner has stopped only if it answers so")
def step_has_stopped(context: Any) -> None:
    assert ask_owner(204)
    for status in (200, 404, 503):
        assert not ask_owner(status), status
    assert not asyncio.run(ask_address(f"127.0.0.1:{find_free_port()}"))


def ask_owner(status: int) -> bool:
    """Ask a process that answers with one status whether it has stopped."""

    async def answer(request: web.Request) -> web.Response:
        return web.Response(status=status)

    async def ask() -> bool:
        app = web.Application()
        app.router.add_get("/extends-leases", answer)
        async with serve(app) as address:
            return await ask_address(address)

    return asyncio.run(ask())


async def ask_address(address: str) -> bool:
    connections = Connections()
    try:
        return await HttpOwnerViews(connections).has_stopped(address)
    finally:
        await connections.close()

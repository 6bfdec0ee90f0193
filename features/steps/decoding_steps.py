"""Steps for values that other writers wrote, or that callers send."""

import asyncio
import contextlib
import json
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import looptime
import msgspec
import structlog.testing
from behave import given, then, when
from features.doubles.fleet_world import make_policy
from features.settings.doubles import ACTOR, encode_text, make_loaded_store
from features.steps.jobbook_steps import CELL, JOB, make_record
from features.steps.work_outage_scope_steps import make_call
from hypothesis import given as draw, settings, strategies as st

from primrosestile.clock import read_clock
from primrosestile.coordination.claims import Claims, compute_fingerprint
from primrosestile.coordination.job_table import JobTable, make_job_key
from primrosestile.coordination.membership import PROCESSES_PREFIX, Directory
from primrosestile.coordination.owner_table import CELLS_PREFIX, OwnerTable
from primrosestile.coordination.setting_store import (
    decode_entry,
    decode_stored,
    make_setting_key,
    put_setting,
)
from primrosestile.coordination.settings_follower import make_follower
from primrosestile.coordination.work.job_submissions import JobSubmissions
from primrosestile.coordination.work.outage_scope import OutageScope
from primrosestile.coordination.work.policy_watch import PolicyWatch
from primrosestile.errors import Failure
from primrosestile.platform.entries import WORKERS_PREFIX, read_worker
from primrosestile.platform.policy import POLICY_KEY, PlatformPolicies
from primrosestile.platform.rejections import Unreadable
from primrosestile.programs.entry import DirectoryCheck
from primrosestile.programs.metrics import Metrics
from primrosestile.programs.node_calls import CallerCalls
from primrosestile.protocol.messages import decode_envelope
from primrosestile.protocol.store import Entry
from primrosestile.state.decoding import Undecodable, decode_json, decode_msgpack
from primrosestile.state.jobs import CLAIMS_PREFIX, CellOwner, ProcessRecord
from primrosestile.state.load import decode_load
from primrosestile.state.work import (
    decode_ended,
    decode_lease_bounds,
    decode_owner,
    decode_progress,
    decode_resignations,
    decode_submission,
)
from primrosestile_standin.fleet_store import FleetStore
from primrosestile_standin.store import MemoryStore

TRIES = settings(max_examples=60, deadline=None, derandomize=True, database=None)
# Where the odd value begins, of the frames that the stack may have.
FRAMES = st.integers(0, 200)
FOLLOW_SECONDS = 5.0


class _Known(msgspec.Struct):
    a: int = 0


def call_deeper(frames: int, action: Callable[[], object]) -> object:
    """Call a function with so many frames below it on the stack."""
    return action() if not frames else call_deeper(frames - 1, action)


def make_json(levels: int) -> bytes:
    return b'{"odd":' + b"[" * levels + b"]" * levels + b"}"


def make_msgpack(levels: int) -> bytes:
    return b"\x81\xa3odd" + b"\x91" * levels + b"\x90"


CODECS: dict[str, tuple[Callable[..., Any], Callable[[int], bytes]]] = {
    "JSON": (decode_json, make_json),
    "MessagePack": (decode_msgpack, make_msgpack),
}
RECORD_DECODERS: tuple[tuple[Callable[[bytes], Any], bytes], ...] = (
    (decode_submission, b"\x97\xa1a\xa1b\xa1c\xa1d\xa1e" + b"\x91" * 5000 + b"\x90"),
    (decode_progress, b"\xdc\x00\x07\xa7running\x90\x00\x80" + b"\x91" * 5000),
    (decode_ended, b"\x95\xa9completed\xa1a\xa1b\x00" + b"\x91" * 5000),
    (decode_owner, b"\x94\xa1a\xa1b\xa1c" + b"\x91" * 5000),
    (decode_resignations, b"\x92\x01" + b"\x91" * 5000),
    (decode_lease_bounds, b"\x94\xa1a\x80\x80" + b"\x91" * 5000),
    (decode_load, b"\x81\xa3odd" + b"\x91" * 5000),
    (decode_envelope, b"\x81\xa3odd" + b"\x91" * 5000),
    (decode_stored, make_json(5000)),
    (decode_entry, make_json(5000)),
)


@then(
    "decoding {codec} of {least:d} to {most:d} levels fails as undecodable or succeeds"
)
def step_levels(context: Any, codec: str, least: int, most: int) -> None:
    decode, make = CODECS[codec]

    @TRIES
    @draw(st.integers(least, most), FRAMES, st.sampled_from((_Known, Any)))
    def check(levels: int, frames: int, kind: Any) -> None:
        value = make(levels)
        with contextlib.suppress(Undecodable):
            call_deeper(frames, lambda: decode(value, kind))

    check()


@then("every decoder of records fails as undecodable for {levels:d} levels")
def step_records(context: Any, levels: int) -> None:
    for decode, value in RECORD_DECODERS:
        try:
            decode(value)
        except Undecodable:
            continue
        raise AssertionError(decode.__name__)


def make_job(**odd: Any) -> str:
    return json.dumps({"spec": "", "steps": [{"count": 1, **odd}]})


DIGITS = "9" * 5000
BODIES: dict[str, bytes] = {
    "3000 nested objects in an odd field": (
        b'{"spec":"","steps":[{"count":1}],"odd":'
        + b'{"a":' * 3000
        + b"1"
        + b"}" * 3000
        + b"}"
    ),
    "200000 nested lists": b"[" * 100_000 + b"]" * 100_000,
    "a processor of 5000 digits": make_job(cpu="C").replace('"C"', DIGITS).encode(),
    "a processor of 30 digits": make_job(cpu=10**30).encode(),
    "30 digits of most per worker": make_job(anti_affinity=10**30).encode(),
    "an interval of 1e999": (
        b'{"spec":"","steps":[{"count":1}],"repeat_count":2,"interval_ms":1e999}'
    ),
    "an interval of 5000 digits": (
        b'{"spec":"","steps":[{"count":1}],"repeat_count":2,"interval_ms":'
        + DIGITS.encode()
        + b"}"
    ),
    "a lone surrogate": b'{"spec":"\\ud800","steps":[{"count":1}]}',
    "bytes that are no text": b'{"spec":"\xff","steps":[{"count":1}]}',
    "two counts": b'{"spec":"","steps":[{"count":1,"count":2}]}',
}


@when("a job is submitted with {body}")
def step_submit(context: Any, body: str) -> None:
    headers = {"Host": "queue.example", "Authorization": "Token key-domes"}

    async def submit() -> int:
        fleet_store = FleetStore()
        fleet_store.put(POLICY_KEY, make_policy(1))
        store = fleet_store.connect("p1")
        policies = PolicyWatch(PlatformPolicies(store), 60.0, read_clock)
        await policies.refresh()
        scope = OutageScope(None, list, lambda: False)  # type: ignore[arg-type]
        submissions = JobSubmissions(store, policies, POLICY_KEY)
        calls = CallerCalls(submissions, policies, scope, Metrics("node"))
        answer = await calls.answer(make_call(BODIES[body], 1, headers))
        return answer.status

    with (
        asyncio.Runner(loop_factory=looptime.new_event_loop) as runner,
        structlog.testing.capture_logs() as context.log,
    ):
        context.status = runner.run(submit())


@then("it is answered {status:d}")
def step_status(context: Any, status: int) -> None:
    assert context.status == status, (context.status, context.log)
    events = [line["event"] for line in context.log]
    assert "call_failed" not in events, events


ODD = {"nested": make_json(5000), "cut short": b'{"name":"odd"'}


class Follower:
    """One follower of a list of the product's own interface."""

    def __init__(self, context: Any, kind: str) -> None:
        self.kind = kind
        self.store: MemoryStore = context.store
        self.directory = Directory(self.store)
        self.owners = OwnerTable(self.store)
        self.jobs = JobTable(self.store, CELL)
        self.settings = make_follower(self.store, "follower")

    async def run(self) -> None:
        if self.kind == "processes":
            await self.directory.run()
        elif self.kind == "cells":
            await self.owners.run()
        elif self.kind == "jobs":
            await self.jobs.load()
            await self.jobs.follow(lambda record: None)
        else:
            await self.settings.run()

    def shows_usable(self) -> bool:
        if self.kind == "processes":
            return self.directory.find("usable") is not None
        if self.kind == "cells":
            return self.owners.find("usable") is not None
        if self.kind == "jobs":
            return self.jobs.find(JOB) is not None
        return self.settings.settings.policy.queue_limit == 77

    async def put_usable(self) -> None:
        if self.kind == "settings":
            await put_limit(self)
            return
        key, value = make_usable(self.kind)
        await self.store.put(key, value, 0)

    def make_odd_key(self) -> str:
        return make_key(self.kind, "odd")


def make_key(kind: str, name: str) -> str:
    return {
        "processes": PROCESSES_PREFIX + name,
        "cells": CELLS_PREFIX + name,
        "jobs": make_job_key(f"{CELL}.{name}"),
        "settings": make_setting_key(f"workers/{name}"),
    }[kind]


def make_usable(kind: str) -> tuple[str, bytes]:
    if kind == "processes":
        record = ProcessRecord("usable", "vm", "entry", "leith", "h:1", "p:1", "i1")
        return make_key(kind, "usable"), msgspec.json.encode(record)
    if kind == "cells":
        return make_key(kind, "usable"), msgspec.json.encode(CellOwner("p1/i1", "p:1"))
    return make_job_key(JOB), msgspec.json.encode(make_record())


async def put_limit(follower: Follower) -> None:
    policy = replace(follower.settings.settings.policy, queue_limit=77)
    revision = follower.settings.revisions["policy"]
    await put_setting(follower.store, "policy", encode_text(policy), revision, ACTOR)


def prepare(context: Any) -> None:
    if "runner" in context:
        return
    context.runner = asyncio.Runner(loop_factory=looptime.new_event_loop)
    context.cleanups.append(context.runner.close)
    context.store = context.runner.run(make_loaded_store("domeworks"))
    context.log = []


def run(context: Any, work: Any) -> Any:
    with structlog.testing.capture_logs() as log:
        result = context.runner.run(work)
    context.log += log
    return result


@given("an entry of {kind} that is {odd}")
def step_odd_before(context: Any, kind: str, odd: str) -> None:
    prepare(context)
    run(context, context.store.put(make_key(kind, "odd"), ODD[odd], 0))


@given("a follower of {kind}")
def step_follower(context: Any, kind: str) -> None:
    prepare(context)

    async def start() -> None:
        context.follower = Follower(context, kind)
        context.task = asyncio.create_task(context.follower.run())
        await asyncio.sleep(1.0)

    run(context, start())


async def settle() -> None:
    await asyncio.sleep(FOLLOW_SECONDS)


@when("another writer puts an entry that is {odd} into the list")
def step_odd(context: Any, odd: str) -> None:
    async def put() -> None:
        await context.store.put(context.follower.make_odd_key(), ODD[odd], 0)
        await settle()

    run(context, put())


@when("a usable entry follows")
def step_usable(context: Any) -> None:
    async def put() -> None:
        await context.follower.put_usable()
        await settle()

    run(context, put())


@when("another writer overwrites it")
def step_overwrite(context: Any) -> None:
    async def put() -> None:
        key, _ = make_usable(context.follower.kind)
        current = await context.store.get(key)
        await context.store.put(key, ODD["nested"], current.mod_revision)
        await settle()

    run(context, put())


@then("the follower shows the usable entry and still runs")
def step_shows(context: Any) -> None:
    assert not context.task.done(), context.task
    assert context.follower.shows_usable()


@then("one warning names the odd entry")
def step_warning(context: Any) -> None:
    key = context.follower.make_odd_key()
    named = [
        line
        for line in context.log
        if line["log_level"] in ("warning", "error")
        and (line.get("key") == key or str(line.get("path", "-")) in key)
    ]
    assert len(named) == 1, context.log


@then("the holder of that name counts as alive")
def step_alive(context: Any) -> None:
    assert DirectoryCheck(context.follower.directory).is_alive("odd/i1")


class _HolderGone:
    def is_alive(self, holder: str) -> bool:
        return False


FINGERPRINT = compute_fingerprint("render", b"")


@given("a claim that another writer has overwritten")
def step_claim(context: Any) -> None:
    prepare(context)
    context.key = f"{CLAIMS_PREFIX}domes/r1"
    run(context, context.store.put(context.key, ODD["nested"], 0))


@then("a repeated request is told {kind}")
def step_repeated(context: Any, kind: str) -> None:
    claims = Claims(context.store, "entry/i1", _HolderGone())
    calls: list[Callable[[], Any]] = [
        lambda: claims.claim("domes", "r1", FINGERPRINT, "t"),
        lambda: claims.settle_abandoned("domes", "r1"),
        lambda: claims.claim_job("domes", "r1", FINGERPRINT, "j1"),
    ]
    for call in calls:
        try:
            run(context, call())
        except Failure as failure:
            assert failure.kind.value == kind, failure
        else:
            raise AssertionError("it was answered")
    run(context, claims.release("domes", "r1", FINGERPRINT, "t"))


@then("the claim is unchanged")
def step_unchanged(context: Any) -> None:
    entry = run(context, context.store.get(context.key))
    assert entry.value == ODD["nested"]


@then("the address {address} is rejected")
def step_address(context: Any, address: str) -> None:
    value = {
        "service": "engine",
        "address": address,
        "zone": "leith",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_left_ms": 0,
        "seq": 4,
        "capacity": {"cpu": 1, "mem_mb": 1, "gpu": 1},
        "labels": ["a", "r1"],
    }
    entry = Entry(WORKERS_PREFIX + "w1", json.dumps(value).encode(), 1, 1)
    try:
        read_worker(entry)
    except Unreadable as rejection:
        assert rejection.fault.value == "address", rejection
    else:
        raise AssertionError("it was taken")

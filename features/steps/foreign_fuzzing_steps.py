"""Steps that mutate the values of other programs, with an oracle for each kind."""

import asyncio
import ipaddress
import json
from typing import Any

from behave import then
from features.doubles.fleet_world import POOL, FleetWorld, make_address, make_policy
from features.doubles.foreign import (
    GOOD_POLICY,
    GOOD_WAVE,
    GOOD_WORKER,
    CannedConnections,
    OnePage,
    encode_value,
    show_item,
)
from features.fuzzing.foreign import change
from features.fuzzing.running import run_property
from foreign_entries_steps import find_pools, make_store, make_upkeep, order
from hypothesis import strategies as st

from primrosestile.errors import ErrorKind, Failure
from primrosestile.platform.advice import PlatformAdvice
from primrosestile.platform.entries import read_worker
from primrosestile.platform.maintenance import PlatformMaintenance
from primrosestile.platform.policy import POLICY_KEY, PlatformPolicies
from primrosestile.platform.workers import PlatformWorkerList, PlatformWorkers
from primrosestile.protocol.fleet import PollAnswer
from primrosestile.protocol.store import Entry
from primrosestile.protocol.transactions import list_entries
from primrosestile.state.work import JobState
from primrosestile.state.workers import WorkerEntry
from primrosestile_standin.fleet_script import Script

WORKER = json.loads(GOOD_WORKER)
WORKER_ITEM = show_item("servers/x", encode_value(GOOD_WORKER))
RUNNING = [
    ["a.0.0.0", 1, "0bb8", 41, 7],
    ["a.0.0.1", 2, "", 0, 0],
    ["a.0.0.2", 1, "", 9, 1],
]
ENDED = [
    [6, "b.0.0.0", 1, "done", ""],
    [7, "b.0.0.1", 1, "failed", "0c"],
    [9, "b.0.0.2", 3, "done", ""],
]
VM = {"machine": "m2", "pool": POOL, "state": "up", "id": "w2"}
REASONS = ("fence", "old", "late", "room", "ticket")


def check_entry(entry: WorkerEntry) -> None:
    """Raise where an entry is not that of a usable worker."""
    host, _, port = entry.address.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    assert 0 < int(port) < 65_536
    assert entry.pool == POOL
    needs = (
        entry.capacity.processor,
        entry.capacity.memory,
        entry.capacity.accelerators,
    )
    assert all(0 <= need <= 100_000_000 for need in needs)
    assert 0 <= entry.leaving_seconds <= 86_400


@then("{count:d} changed workers' entries leave the others as they are")
def change_entries(context: Any, count: int) -> None:
    good = [
        read_worker(Entry(f"servers/{name}", GOOD_WORKER, 1, 1))
        for name in ("w1", "z1")
    ]

    def check(value: bytes) -> None:
        page = OnePage(
            ("servers/w1", GOOD_WORKER),
            ("servers/x", value),
            ("servers/z1", GOOD_WORKER),
        )
        found = asyncio.run(PlatformWorkerList(page, find_pools).list_workers())
        assert [each for each in found.entries if each.worker != "x"] == good
        others = [each for each in found.entries if each.worker == "x"]
        assert len(others) == ("x" not in found.rejected)
        for entry in others:
            check_entry(entry)

    run_property(check, change(WORKER), count)


@then("{count:d} changed items of the store leave the others as they are")
def change_items(context: Any, count: int) -> None:
    first = show_item("servers/w1", "YQ==")
    last = show_item("servers/z1", "Yg==")
    good = [Entry("servers/w1", b"a", 5, 5), Entry("servers/z1", b"b", 5, 5)]

    def check(item: bytes) -> None:
        parts = (json.dumps(first).encode(), item, json.dumps(last).encode())
        body = b'{"store_revision":9,"items":[' + b",".join(parts) + b"]}"
        try:
            entries, _ = asyncio.run(
                list_entries(make_store(body), "servers/", whole=False)
            )
        except Failure as failure:
            # Only when the page as a whole is not valid JSON any more.
            assert failure.kind is ErrorKind.STORE_ANSWER_LOST
            assert not is_json(body)
            return
        assert [each for each in entries if each in good] == good
        assert len(entries) <= 3

    run_property(check, change(WORKER_ITEM), count)


def is_json(body: bytes) -> bool:
    """Whether a body is strict JSON, without NaN, Infinity or a lone surrogate."""

    def refuse(word: str) -> None:
        raise ValueError(word)

    try:
        json.loads(body.decode("utf-8"), parse_constant=refuse)
    except (ValueError, RecursionError):
        return False
    return b"\\ud800" not in body


def poll(body: bytes) -> Any:
    """Poll a worker that answers with a body; return the result."""
    entry = read_worker(Entry("servers/w1", GOOD_WORKER, 1, 1))
    calls = PlatformWorkers(CannedConnections(body))
    return asyncio.run(calls.poll(entry, 7, 0, None, 0.0))


@then("{count:d} changed rows of a worker's answer never count as absent")
def change_rows(context: Any, count: int) -> None:
    rows = [("running", place) for place in range(3)]
    rows += [("ended", place) for place in range(3)]
    lists = {"running": RUNNING, "ended": ENDED}
    values = st.sampled_from(rows).flatmap(
        lambda row: st.tuples(st.just(row), change(lists[row[0]][row[1]]))
    )

    def check(value: tuple[tuple[str, int], bytes]) -> None:
        (name, place), changed = value
        encoded = {
            each: [json.dumps(row).encode() for row in lists[each]] for each in lists
        }
        encoded[name][place] = changed
        body = b'{"clock_ms":5,"running":[%b],"ended":[%b]}' % (
            b",".join(encoded["running"]),
            b",".join(encoded["ended"]),
        )
        try:
            found = poll(body)
        except Failure as failure:
            assert failure.kind is ErrorKind.WORKER_UNREACHABLE
            return
        check_poll(found, name, place)

    run_property(check, values, count)


def check_poll(found: PollAnswer, name: str, place: int) -> None:
    """Raise where an unreadable row counts as absent or may be acknowledged."""
    shown = {(row.task, row.run) for row in found.running}
    shown |= {(row.task, row.run) for row in found.ended}
    for each, rows, first in (("running", RUNNING, 0), ("ended", ENDED, 1)):
        for number, row in enumerate(rows):
            if (each, number) != (name, place) and found.complete:
                assert (row[first], row[first + 1]) in shown, row
    assert all(run <= 10**9 for _, run in shown)
    assert len(found.running) >= 3 or not found.complete or name != "running"
    if len(found.ended) < 3:
        assert not found.complete
        ends = {(row.task, row.run) for row in found.ended}
        lost = [row[0] for row in ENDED if (row[1], row[2]) not in ends]
        assert found.acknowledge_limit is not None
        assert found.acknowledge_limit < min(lost, default=10)


@then("{count:d} changed answers of a worker are read or fail as declared")
def change_answers(context: Any, count: int) -> None:
    def check(body: bytes) -> None:
        try:
            found = poll(body)
        except Failure as failure:
            assert failure.kind is ErrorKind.WORKER_UNREACHABLE
            return
        assert isinstance(found, PollAnswer)
        assert 0 <= found.clock < 3.2e8

    run_property(
        check, change({"clock_ms": 5, "running": RUNNING, "ended": ENDED}), count
    )


@then("{count:d} changed waves leave the others as they are")
def change_waves(context: Any, count: int) -> None:
    def check(value: bytes) -> None:
        page = OnePage(("op/wave/1", GOOD_WAVE), ("op/wave/2", value))
        calls = PlatformMaintenance("", "p1", page, CannedConnections(b""))
        waves = asyncio.run(calls.list_waves())
        assert waves[0].number == 1 and waves[0].vms == ("m1", "m2")
        for wave in waves[1:]:
            assert wave.number == 2 and wave.most >= 1 and wave.deadline_seconds > 0

    run_property(check, change({**json.loads(GOOD_WAVE), "wave": 2}), count)


@then("{count:d} changed VMs never count as removed")
def change_vms(context: Any, count: int) -> None:
    good = json.dumps({**VM, "machine": "m1"}).encode()

    def check(value: bytes) -> None:
        body = b'{"machines":[' + good + b"," + value + b'],"next_token":null}'
        try:
            vms = asyncio.run(make_upkeep(body).list_vms())
        except Failure as failure:
            assert failure.kind is ErrorKind.LIST_UNAVAILABLE
            return
        assert vms[0].name == "m1" and len(vms) >= 2
        assert all(vm.name for vm in vms)

    run_property(check, change(VM), count)


@then("{count:d} changed rows of advice leave the others as they are")
def change_advice(context: Any, count: int) -> None:
    def check(value: bytes) -> None:
        body = b'{"good":[["w1","t1"],' + value + b"]}"
        calls = PlatformAdvice("", CannedConnections(body))
        try:
            advice = asyncio.run(calls.ask("a.0.0", ("w1", "w2", "w3"), 1.0))
        except Failure as failure:
            assert failure.kind is ErrorKind.ADVICE_UNAVAILABLE
            return
        assert advice.allowed[0].worker == "w1"
        assert len(advice.allowed) >= 2 or not advice.complete
        assert all(
            each.ticket and each.worker in ("w1", "w2", "w3") for each in advice.allowed
        )

    run_property(check, change(["w2", "t2"]), count)


@then("{count:d} changed refusals are decoded or fail as declared")
def change_refusals(context: Any, count: int) -> None:
    def check(body: bytes) -> None:
        try:
            answer = asyncio.run(order(body))
        except Failure as failure:
            assert failure.kind is ErrorKind.WORKER_UNREACHABLE
        else:
            assert answer.refusal in REASONS
        try:
            asyncio.run(make_upkeep(body, 409).begin("m1", 7, 42))
        except Failure as failure:
            assert failure.kind is ErrorKind.LIST_UNAVAILABLE

    run_property(check, change({"clock_ms": 5, "reason": "fence"}), count)


@then("{count:d} changed configurations are read or fail as declared")
def change_policies(context: Any, count: int) -> None:
    source = PlatformPolicies(OnePage())

    def check(value: bytes) -> None:
        try:
            policy = source.decode(Entry(POLICY_KEY, value, 3, 12))
        except Failure as failure:
            assert failure.kind is ErrorKind.MALFORMED
            return
        assert all(queue.attempts >= 1 and queue.stretch > 0 for queue in policy.queues)
        assert all(count >= 0 for count in policy.guarantees.values())

    run_property(check, change(json.loads(GOOD_POLICY)), count)


@then(
    "{count:d} runs are undisturbed by changed entries over and beside those of live"
    " workers"
)
def change_fleet(context: Any, count: int) -> None:
    values = st.lists(
        st.tuples(st.sampled_from(("w1", "w2", "x1", "x2")), change(WORKER)),
        min_size=1,
        max_size=6,
    )
    run_property(check_fleet, values, count)


def check_fleet(values: list[tuple[str, bytes]]) -> None:
    """Raise where a task is started again, or the owner's term ends."""
    world = FleetWorld()
    job = "0" * 16
    world.fleet.default = Script(seconds=4.0)

    async def run() -> None:
        world.store.put(POLICY_KEY, make_policy(1))
        for name in ("w1", "w2", "w3"):
            world.add_worker(name)
        world.add_process("p1")
        await asyncio.sleep(2.0)
        term = world.processes["p1"].election.term
        step = {"count": 6, "cpu": 1000, "mem_mb": 1000, "gpu": 1, "anti_affinity": 2}
        await world.submit("p1", job, steps=[step])
        await asyncio.sleep(0.5)
        for name, value in values:
            world.store.put(f"servers/{name}", value)
            await asyncio.sleep(0.6)
        for name in ("w1", "w2"):
            world.list_worker(name, make_address(name))
        await world.wait_for_state("p1", job, JobState.COMPLETED, 10.0, "usual")
        assert world.processes["p1"].election.term is term
        assert len(world.fleet.starts) == 6, world.fleet.starts
        assert not world.fleet.violations

    try:
        world.run(run())
    finally:
        world.close()

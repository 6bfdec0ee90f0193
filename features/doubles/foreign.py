"""Invalid values as other programs might write them, and canned answers."""

import base64
import json
from collections.abc import Callable
from typing import Any

from features.doubles.fleet_world import PlatformEntry, make_address, make_policy

from primrosestile.platform.polls import read_poll
from primrosestile.protocol.fleet import PollAnswer, Refusal
from primrosestile.protocol.store import Entry, Page
from primrosestile.transport.connections import Reply
from primrosestile_standin.fleet_calls import FleetCalls

GOOD_WORKER = PlatformEntry("w1", make_address("w1"), "r1", 8, ()).encode()
GOOD_WAVE = json.dumps(
    {"wave": 1, "machines": ["m1", "m2"], "deadline_s": 20, "cap": 1}
).encode()
GOOD_POLICY = make_policy(7)
GOOD_RUN = ["a.0.0.0", 1, "0bb8", 41, 700]
GOOD_END = [6, "a.0.0.1", 1, "done", ""]
GOOD_POLL = {"clock_ms": 482113, "running": [GOOD_RUN], "ended": [GOOD_END]}

Change = Callable[[dict[str, Any]], Any]


def change(good: bytes, edit: Change) -> bytes:
    """Return the JSON of a value after an edit of its fields."""
    value = json.loads(good)
    edit(value)
    return json.dumps(value).encode()


def keep_only(*names: str) -> Change:
    """Return the edit that drops every other field."""

    def edit(value: dict[str, Any]) -> None:
        for name in set(value) - set(names):
            del value[name]

    return edit


def replace(**fields: Any) -> Change:
    """Return the edit that sets fields."""
    return lambda value: value.update(fields)


def replace_capacity(**fields: Any) -> Change:
    """Return the edit that sets fields of a worker's capacity."""
    return lambda value: value["capacity"].update(fields)


def nest_deeply(good: bytes) -> bytes:
    """Return a value with one more field that holds very deeply nested lists."""
    return good[:-1] + b',"more":' + b"[" * 50_000 + b"]" * 50_000 + b"}"


WORKER_CHANGES: dict[str, Change] = {
    "only a service and an address": keep_only("service", "address"),
    "an empty address": replace(address=""),
    "the address nowhere": replace(address="nowhere"),
    "an address without a port": replace(address="10.0.0.1"),
    "an address with port 0": replace(address="10.0.0.1:0"),
    "-8 accelerators": replace_capacity(gpu=-8),
    "more memory than any VM has": replace_capacity(mem_mb=10**12),
    "a number past 64 bits": replace_capacity(cpu=10**40),
    "text for its accelerators": replace_capacity(gpu="8"),
    "an unknown service": replace(service="loom"),
    "an unknown state": replace(state="resting"),
    "no labels": lambda value: value.pop("labels"),
    "a number for a label": replace(labels=["a", 7]),
    "a negative time to leave": replace(state="draining", remaining_ms=-5),
    "a megabyte of padding": replace(more="x" * 1_000_000),
}
RAW_WORKERS: dict[str, bytes] = {
    "bytes that are no text": b"\xff\xfe\x00",
    "half of its bytes": GOOD_WORKER[: len(GOOD_WORKER) // 2],
    "nothing in it": b"",
    "a list in place of an object": b"[1, 2]",
    "a very deep list in a field": nest_deeply(GOOD_WORKER),
}
WORKER_KEYS = {
    "a line break in its key": "servers/x\r\nExpect-Instance: w1",
    "a second slash in its key": "servers/x/y",
}


def make_worker_fault(fault: str) -> tuple[str, bytes]:
    """Return the key and value of a faulty worker's entry."""
    if fault in WORKER_CHANGES:
        return "servers/x", change(GOOD_WORKER, WORKER_CHANGES[fault])
    if fault in RAW_WORKERS:
        return "servers/x", RAW_WORKERS[fault]
    return WORKER_KEYS[fault], GOOD_WORKER


WAVE_CHANGES: dict[str, Change] = {
    "no list of VMs": lambda value: value.pop("machines"),
    "no bound on how many": lambda value: value.pop("cap"),
    "a bound of 0": replace(cap=0),
    "a negative deadline": replace(deadline_s=-1),
    "another number than its key": replace(wave=3),
    "text for a VM": replace(machines=[["m1"]]),
}


def make_wave_fault(fault: str) -> bytes:
    """Return a faulty value of wave 2."""
    good = change(GOOD_WAVE, replace(wave=2))
    if fault == "half of its bytes":
        return good[: len(good) // 2]
    return change(good, WAVE_CHANGES[fault])


def replace_tenant(**fields: Any) -> Change:
    """Return the edit that sets fields of each organisation."""
    return lambda value: [each.update(fields) for each in value["tenants"]]


def replace_route(**fields: Any) -> Change:
    """Return the edit that sets fields of the first queue."""
    return lambda value: value["routes"][0].update(fields)


POLICY_CHANGES: dict[str, Change] = {
    "only its version": keep_only("version"),
    "no organisations": lambda value: value.pop("tenants"),
    "no services": lambda value: value.pop("services"),
    "text for a guarantee": replace_tenant(guaranteed={"gpu": "many"}),
    "a list for a guarantee": replace_tenant(guaranteed={"gpu": [8]}),
    "a guarantee of -1": replace_tenant(guaranteed={"gpu": -1}),
    "a queue without a prefix": lambda value: value["routes"][0].pop("prefix"),
    "a queue with 0 attempts": replace_route(attempts=0),
    "a queue with a stretch of -1": replace_route(stretch=-1),
    "a huge time-out": replace_route(timeout_ms=1e300),
}


def make_policy_fault(fault: str) -> bytes:
    """Return a faulty configuration."""
    if fault == "half of its bytes":
        return GOOD_POLICY[: len(GOOD_POLICY) // 2]
    return change(GOOD_POLICY, POLICY_CHANGES[fault])


def show_item(key: str, value: Any = "e30=", **fields: Any) -> dict[str, Any]:
    """Return an item in the form of the store's answers."""
    return {"key": key, "value": value, "revision": 5, "created": 5, **fields}


def omit(item: dict[str, Any], name: str) -> dict[str, Any]:
    """Return an item without one of its fields."""
    return {field: value for field, value in item.items() if field != name}


_ITEM = show_item("servers/x")
ITEM_FAULTS: dict[str, Any] = {
    "a value that is no base64": show_item("servers/x", "e30"),
    "a value that is no ASCII": show_item("servers/x", "é30="),
    "a value of another type": show_item("servers/x", 7),
    "a number in place of an item": 7,
    "an item without a key": omit(_ITEM, "key"),
    "an item without a revision": omit(_ITEM, "revision"),
    "a revision of another type": show_item("servers/x", revision="5"),
    "a key outside the prefix": show_item("work/jobs/x"),
}
ROW_FAULTS: dict[str, tuple[str, Any]] = {
    "a running row of one field": ("running", ["b.0.0.0"]),
    "a running row of other types": ("running", [7, "b.0.0.0", None, None]),
    "a running row that is no list": ("running", {"task": "b.0.0.0"}),
    "an ended row of two fields": ("ended", [7, "b.0.0.0"]),
    "an ended row of an unknown kind": ("ended", [7, "b.0.0.0", 1, "lost", ""]),
    "an ended row without a number": ("ended", [None, "b.0.0.0", 1, "done", ""]),
    "an ended row with a lower number": ("ended", [2, "b.0.0.0", 1, "done", ""]),
    "an ended row that is no list": ("ended", "b.0.0.0"),
}


def make_poll_fault(fault: str) -> bytes:
    """Return a worker's answer with a valid run, a valid end and a faulty row."""
    name, row = ROW_FAULTS[fault]
    rows = [*GOOD_POLL[name], row]
    return json.dumps({**GOOD_POLL, name: rows}).encode()


class CannedConnections:
    """Replaces `transport.Connections`; answers every call with one fixed reply."""

    def __init__(self, body: bytes, status: int = 200) -> None:
        self._reply = Reply(status, {}, body)

    async def call(self, *args: Any, **fields: Any) -> Reply:
        return self._reply


class GarbledPolls:
    """Wraps a process's polls: encodes each answer as JSON, edits it and decodes it.

    Attributes:
        edit: Changes the answer's body; None for no change.
        polls: Number of polls.
    """

    def __init__(self, calls: FleetCalls) -> None:
        self._poll = calls.poll
        self.edit: Change | None = None
        self.polls = 0
        calls.poll = self.poll  # type: ignore[method-assign]

    async def poll(self, *args: Any) -> PollAnswer | Refusal:
        answer = await self._poll(*args)
        self.polls += 1
        if isinstance(answer, Refusal):
            return answer
        body = show_poll(answer)
        if self.edit is not None:
            self.edit(body)
        return read_poll(json.dumps(body).encode())[0]


def show_poll(poll: PollAnswer) -> dict[str, Any]:
    """Return a poll's answer in the form of a worker's JSON."""
    return {
        "clock_ms": poll.clock * 1000,
        "running": [
            [row.task, row.run, row.checkpoint, row.percent, row.usage]
            for row in poll.running
        ],
        "ended": [
            [row.number, row.task, row.run, row.kind, row.checkpoint]
            for row in poll.ended
        ],
    }


def cut_running(body: dict[str, Any]) -> None:
    """Truncate the rows of runs to one field."""
    body["running"] = [row[:1] for row in body["running"]]


def change_kinds(body: dict[str, Any]) -> None:
    """Give the ends of tasks with an odd index an unknown kind."""
    for row in body["ended"]:
        if int(row[1].rpartition(".")[2]) % 2:
            row[3] = "vanished"


class OnePage:
    """A store that holds one page of entries, whatever the prefix."""

    def __init__(self, *entries: tuple[str, bytes]) -> None:
        self._entries = tuple(Entry(key, value, 1, 1) for key, value in entries)

    async def list(self, prefix: str, after: str = "") -> Page:
        return Page(self._entries, 1)


def encode_value(value: bytes) -> str:
    """Return a value in the form of the store's answers."""
    return base64.b64encode(value).decode()

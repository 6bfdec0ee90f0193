"""The platform's store over HTTP."""

import base64
from collections.abc import Sequence
from typing import Any
from urllib.parse import quote

import msgspec

from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.store import Change, Entry, Page
from primrosestile.protocol.transactions import (
    Committed,
    Condition,
    Heard,
    Write,
)
from primrosestile.transport.connections import Connections, FailureKinds, Reply

# A healthy store answers in 4 ms, a slow one in 300 ms. Past this the connection
# has more likely lost its other end.
READ_TIMEOUT_SECONDS = 1.0
WRITE_TIMEOUT_SECONDS = 1.5
# What a watch may take over the time that it was asked to wait.
WATCH_SLACK_SECONDS = 1.0
# The largest page: a megabyte of values in base 64, their keys and numbers.
PAGE_BYTES = 1_500_000
BYTES_PER_MEGABIT = 125_000
# A page is one call among many, which may take half of the link meanwhile.
LINK_SHARE = 0.5
# Past this the page comes faster in parts, whatever the link.
LONGEST_LIST_SECONDS = 6.0

_READ = FailureKinds(ErrorKind.STORE_UNAVAILABLE, ErrorKind.STORE_UNAVAILABLE)
_WRITE = FailureKinds(ErrorKind.STORE_UNAVAILABLE, ErrorKind.STORE_ANSWER_LOST)


def find_list_timeout(link: float) -> float:
    """Return how long a page may take over a link of some megabits a second.

    Were each page given a second, a VM with a link of 10 Mbit/s could never read a
    full one: it would ask for the same page again and again, and as the owner it
    would hear of no job and no cancellation.
    """
    carried = PAGE_BYTES / (link * BYTES_PER_MEGABIT * LINK_SHARE)
    return min(LONGEST_LIST_SECONDS, READ_TIMEOUT_SECONDS + carried)


class _Item(msgspec.Struct, frozen=True):
    """An item, or an event of a watch; `created` is a revision, not a time."""

    key: str
    revision: int
    value: str = ""
    created: int = 0
    lease: int = 0
    deleted: bool = False


class _Items(msgspec.Struct, frozen=True):
    store_revision: int
    items: list[_Item] = []
    has_more: bool = False


class _Events(msgspec.Struct, frozen=True):
    store_revision: int
    events: list[_Item] = []


class _Txn(msgspec.Struct, frozen=True):
    """The answer to a change: `items` stand there where a condition failed."""

    revision: int = 0
    items: list[_Item] = []


class _Lease(msgspec.Struct, frozen=True):
    lease: int = 0
    ttl_ms: int = 0


class PlatformStore:
    """Implements `protocol.transactions.TransactionalStore`."""

    def __init__(self, address: str, connections: Connections, link: float) -> None:
        self._address = address
        self._connections = connections
        self._list_seconds = find_list_timeout(link)

    async def get(self, key: str, recent: bool = True) -> Entry | None:
        """Return the value of a key, or None; the present one unless told."""
        path = f"/v1/kv-key?key={quote(key, safe='')}"
        if not recent:
            path += "&serializable=1"
        reply = await self._read(path, READ_TIMEOUT_SECONDS, (200, 404))
        if reply.status == 404:
            return None
        return _make_entry(_decode(reply, _Item))

    async def list(self, prefix: str, after: str = "") -> Page:
        """Return one page of the entries under a prefix."""
        path = f"/v1/kv-range?prefix={quote(prefix, safe='')}"
        if after:
            path += f"&after={quote(after, safe='')}"
        reply = await self._read(path, self._list_seconds, (200,))
        answer = _decode(reply, _Items)
        entries = tuple(_make_entry(item) for item in answer.items)
        return Page(entries, answer.store_revision, answer.has_more)

    async def commit(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write] = (),
        removals: Sequence[str] = (),
    ) -> Committed:
        """Make a change if all of its conditions hold."""
        body = {
            "precondition": [
                {"key": each.key, "revision": each.revision} for each in conditions
            ],
            "writes": [_make_write(each) for each in writes],
            "remove": list(removals),
        }
        reply = await self._write("POST", "/v1/kv-txn", body, (200, 412, 404))
        if reply.status == 404:
            raise Failure(ErrorKind.NOT_FOUND, "the lease of a write has ended")
        answer = _decode(reply, _Txn)
        if reply.status == 200:
            return Committed(done=True, revision=answer.revision)
        found = tuple(
            _make_entry(item)
            for item in answer.items
            if item.revision and not item.deleted
        )
        return Committed(done=False, found=found)

    async def grant_lease(self, seconds: float) -> int:
        """Return a new lease."""
        body = {"ttl_ms": int(seconds * 1000)}
        reply = await self._write("POST", "/v1/kv-lease", body, (200,))
        return _decode(reply, _Lease).lease

    async def keep_lease(self, lease: int) -> bool:
        """Renew a lease; return False when it has ended."""
        path = f"/v1/kv-keep/{lease}"
        reply = await self._write("POST", path, {}, (200, 404))
        return reply.status == 200

    async def watch_once(self, prefix: str, after: int, seconds: float) -> Heard:
        """Return changes after a revision, as soon as there is one."""
        path = (
            f"/v1/kv-watch?prefix={quote(prefix, safe='')}"
            f"&after={after}&wait_ms={int(seconds * 1000)}"
        )
        timeout = seconds + WATCH_SLACK_SECONDS
        reply = await self._read(path, timeout, (200, 410))
        if reply.status == 410:
            return Heard((), after, complete=False)
        answer = _decode(reply, _Events)
        changes = tuple(_make_change(event) for event in answer.events)
        return Heard(changes, answer.store_revision)

    async def _read(
        self, path: str, timeout: float, accepted: tuple[int, ...]
    ) -> Reply:
        reply = await self._connections.call(
            self._address, path, b"", timeout, _READ, method="GET"
        )
        return _check(reply, path, accepted)

    async def _write(
        self, method: str, path: str, body: dict[str, Any], accepted: tuple[int, ...]
    ) -> Reply:
        reply = await self._connections.call(
            self._address,
            path,
            msgspec.json.encode(body),
            WRITE_TIMEOUT_SECONDS,
            _WRITE,
            headers={"Content-Type": "application/json"},
            method=method,
        )
        return _check(reply, path, accepted)


def _check(reply: Reply, path: str, accepted: tuple[int, ...]) -> Reply:
    """Return the reply, or raise that nothing was done."""
    if reply.status in accepted:
        return reply
    detail = f"{path.partition('?')[0]} answered {reply.status}"
    raise Failure(ErrorKind.STORE_UNAVAILABLE, detail)


def _decode(reply: Reply, kind: type) -> Any:
    try:
        return msgspec.json.decode(reply.body, type=kind)
    except msgspec.MsgspecError as error:
        raise Failure(
            ErrorKind.STORE_ANSWER_LOST, f"unreadable answer: {error}"
        ) from error


def _make_entry(item: _Item) -> Entry:
    value = base64.b64decode(item.value)
    return Entry(item.key, value, item.created, item.revision, item.lease)


def _make_change(event: _Item) -> Change:
    entry = None if event.deleted else _make_entry(event)
    return Change(event.key, event.revision, entry)


def _make_write(write: Write) -> dict[str, Any]:
    value = base64.b64encode(write.value).decode()
    return {"key": write.key, "value": value, "lease": write.lease}

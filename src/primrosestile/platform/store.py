"""The platform's store over HTTP."""

import base64
import binascii
from collections.abc import Iterable, Sequence
from typing import Annotated, Any
from urllib.parse import quote

import msgspec

from primrosestile.errors import ErrorKind, Failure
from primrosestile.platform.refusals import (
    Fault,
    Refusals,
    Source,
    Unreadable,
    decode_json,
)
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

# By these the store says that it did nothing: a call that it can't take, one that it
# does not allow, too many of them, and none at the moment.
REFUSED = (400, 403, 429, 503)

_READ = FailureKinds(ErrorKind.STORE_UNAVAILABLE, ErrorKind.STORE_UNAVAILABLE)
_WRITE = FailureKinds(ErrorKind.STORE_UNAVAILABLE, ErrorKind.STORE_ANSWER_LOST)


_Revision = Annotated[int, msgspec.Meta(ge=0, le=2**62)]


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
    revision: _Revision
    value: Any = ""
    created: _Revision = 0
    lease: _Revision = 0
    deleted: bool = False


class _Items(msgspec.Struct, frozen=True):
    """Each item is read by itself: one of another form leaves the others good."""

    store_revision: _Revision
    items: list[msgspec.Raw]
    has_more: bool = False


class _Events(msgspec.Struct, frozen=True):
    store_revision: _Revision
    events: list[msgspec.Raw]


class _Done(msgspec.Struct, frozen=True):
    """The answer to a change that was made."""

    revision: Annotated[int, msgspec.Meta(gt=0, le=2**62)]


class _NotDone(msgspec.Struct, frozen=True):
    """The answer to one whose condition failed: what stands there instead."""

    items: list[_Item]


class _Lease(msgspec.Struct, frozen=True):
    """A lease of 0 would be none: what is written under it would stay for good."""

    lease: Annotated[int, msgspec.Meta(gt=0, le=2**62)]


class PlatformStore:
    """Implements `protocol.transactions.TransactionalStore`."""

    def __init__(
        self,
        address: str,
        connections: Connections,
        link: float,
        refusals: Refusals | None = None,
    ) -> None:
        self._address = address
        self._connections = connections
        self._list_seconds = find_list_timeout(link)
        self._refusals = refusals or Refusals()

    async def get(self, key: str, recent: bool = True) -> Entry | None:
        """Return the value of a key, or None; the present one unless told."""
        path = f"/v1/kv-key?key={quote(key, safe='')}"
        if not recent:
            path += "&serializable=1"
        reply = await self._read(path, READ_TIMEOUT_SECONDS, (200, 404))
        if reply.status == 404:
            return None
        item = _decode(reply, _Item)
        if item.key != key:
            raise Failure(ErrorKind.STORE_ANSWER_LOST, "another key was answered")
        return self._make_entries([item], key, {})[0]

    async def list(self, prefix: str, after: str = "") -> Page:
        """Return one page of the entries under a prefix."""
        path = f"/v1/kv-range?prefix={quote(prefix, safe='')}"
        if after:
            path += f"&after={quote(after, safe='')}"
        reply = await self._read(path, self._list_seconds, (200,))
        answer = _decode(reply, _Items)
        refused: dict[str, Unreadable] = {}
        items = _read_items(answer.items, prefix, refused)
        return Page(
            self._make_entries(items, prefix, refused),
            answer.store_revision,
            answer.has_more,
            left_out=len(answer.items) - len(items),
        )

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
        if reply.status == 200:
            return Committed(done=True, revision=_decode(reply, _Done).revision)
        # An item that can't be read would be taken for a key that does not exist, and
        # the owner's key for one that another process has; so all must be readable.
        items = _decode(reply, _NotDone).items
        standing = [item for item in items if item.revision and not item.deleted]
        return Committed(False, found=self._make_entries(standing, "", {}))

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
        refused: dict[str, Unreadable] = {}
        events = _read_items(answer.events, prefix, refused)
        entries = self._make_entries(events, prefix, refused)
        if len(events) < len(answer.events):
            # What the others told is read from the list instead.
            return Heard((), after, complete=False)
        changes = tuple(
            Change(event.key, event.revision, None if event.deleted else entry)
            for event, entry in zip(events, entries, strict=True)
        )
        return Heard(changes, answer.store_revision)

    def _make_entries(
        self, items: Iterable[_Item], scope: str, refused: dict[str, Unreadable]
    ) -> tuple[Entry, ...]:
        """Return the entries of items.

        A value that can't be read is taken as empty, which no record of ours and no
        value of others is: whoever reads it refuses it under its key and revision.
        Left out, it would be taken for one that does not exist.
        """
        entries = []
        for item in items:
            try:
                value = _read_value(item.value)
            except Unreadable as refusal:
                refused[item.key] = refusal
                value = b""
            entries.append(
                Entry(item.key, value, item.created, item.revision, item.lease)
            )
        self._refusals.settle(Source.STORE_ITEM, scope, refused)
        return tuple(entries)

    async def _read(
        self, path: str, timeout: float, accepted: tuple[int, ...]
    ) -> Reply:
        reply = await self._connections.call(
            self._address, path, b"", timeout, _READ, method="GET"
        )
        return _check(reply, path, accepted, _READ)

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
        return _check(reply, path, accepted, _WRITE)


def _check(
    reply: Reply, path: str, accepted: tuple[int, ...], kinds: FailureKinds
) -> Reply:
    """Return the reply, or raise whether anything may have been done.

    Only the store's own refusals say that nothing was. Any other answer may come from
    something between, or from a fault after the change was made: taken for a no, a
    caller would be told that a job was not accepted, and it would run all the same.
    """
    if reply.status in accepted:
        return reply
    detail = f"{path.partition('?')[0]} answered {reply.status}"
    refused = reply.status in REFUSED
    raise Failure(kinds.unsent if refused else kinds.lost, detail)


def _decode(reply: Reply, kind: type) -> Any:
    try:
        return decode_json(reply.body, kind)
    except Unreadable as refusal:
        raise Failure(
            ErrorKind.STORE_ANSWER_LOST, f"unreadable answer: {refusal}"
        ) from refusal


def _read_items(
    raws: Iterable[msgspec.Raw], prefix: str, refused: dict[str, Unreadable]
) -> list[_Item]:
    """Return the items under a prefix that can be told from one another."""
    items = []
    for raw in raws:
        try:
            items.append(_read_item(raw, prefix))
        except Unreadable as refusal:
            refused[f"item {refusal.fault}"] = refusal
    return items


def _read_item(raw: msgspec.Raw, prefix: str) -> _Item:
    item: _Item = decode_json(raw, _Item)
    if not item.key.startswith(prefix):
        raise Unreadable(Fault.KEY, "key", item.key)
    return item


def _read_value(value: Any) -> bytes:
    if not isinstance(value, str):
        raise Unreadable(Fault.FORM, "value", value)
    try:
        return binascii.a2b_base64(value, strict_mode=True)
    except ValueError as error:
        raise Unreadable(Fault.ENCODING, str(error)) from error


def _make_write(write: Write) -> dict[str, Any]:
    value = base64.b64encode(write.value).decode()
    return {"key": write.key, "value": value, "lease": write.lease}

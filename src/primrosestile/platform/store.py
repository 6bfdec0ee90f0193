"""Client of the platform's store over HTTP."""

import base64
import binascii
import math
from collections.abc import Callable, Iterable, Sequence
from typing import Annotated, Any
from urllib.parse import quote

import msgspec

from primrosestile.errors import ErrorKind, Failure
from primrosestile.platform.rejections import (
    Fault,
    RejectionLog,
    Source,
    Unreadable,
    decode_json,
)
from primrosestile.protocol.store import Change, Entry, Page
from primrosestile.protocol.transactions import (
    CommitResult,
    Condition,
    WatchBatch,
    Write,
)
from primrosestile.transport.call_progress import AnswerLimits, do_nothing
from primrosestile.transport.connections import Connections, FailureKinds, Reply

# A healthy store answers in 4 ms, a slow one in 300 ms. After this time the connection
# is more likely dead.
READ_TIMEOUT_SECONDS = 1.0
WRITE_TIMEOUT_SECONDS = 1.5
# Added to the requested wait time of a watch.
WATCH_SLACK_SECONDS = 1.0
# The largest page or value: a megabyte in base 64, with keys and numbers.
PAGE_BYTES = 1_500_000
BYTES_PER_MEGABIT = 125_000
# Other calls at the same time may take the other half of the link.
LINK_SHARE = 0.5
# Beyond this, reading a page in parts is faster, whatever the link.
MAX_PAGE_SECONDS = 5.0
# For a value, which can't be read in parts: the largest takes 12 s over 1 Mbit/s.
MAX_VALUE_SECONDS = 30.0
# For the read of one value of any size.
VALUE_LIMITS = AnswerLimits(READ_TIMEOUT_SECONDS, MAX_VALUE_SECONDS)

# Statuses by which the store says that a call had no effect: bad request, forbidden,
# too many requests, unavailable.
NO_EFFECT_STATUSES = (400, 403, 429, 503)

_JSON_HEADERS = {"Content-Type": "application/json"}
_READ = FailureKinds(ErrorKind.STORE_UNAVAILABLE, ErrorKind.STORE_UNAVAILABLE)
_WRITE = FailureKinds(ErrorKind.STORE_UNAVAILABLE, ErrorKind.STORE_ANSWER_LOST)


_Revision = Annotated[int, msgspec.Meta(ge=0, le=2**62)]


def find_list_timeout(link: float) -> float:
    """Return the timeout in seconds of reading a page over a link in megabits a second.

    With a fixed timeout of one second, a VM with a link of 10 Mbit/s could never read a
    full page: it would request the same page over and over, and as the owner it would
    receive no jobs and no cancellations.
    """
    transfer_seconds = min(MAX_PAGE_SECONDS, find_transfer_seconds(PAGE_BYTES, link))
    return READ_TIMEOUT_SECONDS + transfer_seconds


def find_write_timeout(size: float, link: float) -> float:
    """Return the timeout in seconds of a write.

    Args:
        size: Of its request, in bytes.
        link: Throughput of the VM's link in megabits a second.
    """
    transfer_seconds = min(MAX_VALUE_SECONDS, find_transfer_seconds(size, link))
    return WRITE_TIMEOUT_SECONDS + transfer_seconds


def find_transfer_seconds(size: float, link: float) -> float:
    """Return how long bytes take, over a link in megabits a second that others use."""
    return size / (link * BYTES_PER_MEGABIT * LINK_SHARE)


class _Item(msgspec.Struct, frozen=True):
    """An item, or an event of a watch; `created` is a revision, not a time."""

    key: str
    revision: _Revision
    value: Any = ""
    created: _Revision = 0
    lease: _Revision = 0
    deleted: bool = False


class _Items(msgspec.Struct, frozen=True):
    """Items are decoded one by one, so that a malformed one does not affect others."""

    store_revision: _Revision
    items: list[msgspec.Raw]
    has_more: bool = False


class _Events(msgspec.Struct, frozen=True):
    store_revision: _Revision
    events: list[msgspec.Raw]


class _Done(msgspec.Struct, frozen=True):
    """The answer to a change that was applied."""

    revision: Annotated[int, msgspec.Meta(gt=0, le=2**62)]


class _NotDone(msgspec.Struct, frozen=True):
    """The answer to a change whose condition failed: the current items."""

    items: list[_Item]


class _Lease(msgspec.Struct, frozen=True):
    """Lease 0 means no lease: what is written under it would never expire."""

    lease: Annotated[int, msgspec.Meta(gt=0, le=2**62)]


class PlatformStore:
    """Implements `protocol.transactions.TransactionalStore`."""

    def __init__(
        self,
        address: str,
        connections: Connections,
        link: float,
        rejections: RejectionLog | None = None,
    ) -> None:
        self._address = address
        self._connections = connections
        self._link = link
        self._list_seconds = find_list_timeout(link)
        self._rejections = rejections or RejectionLog()

    async def get(
        self,
        key: str,
        recent: bool = True,
        on_part: Callable[[], None] = do_nothing,
    ) -> Entry | None:
        """Return the value of a key, or None; the current one if `recent`."""
        path = f"/v1/kv-key?key={quote(key, safe='')}"
        if not recent:
            path += "&serializable=1"
        reply = await self._read(path, VALUE_LIMITS, (200, 404), on_part)
        if reply.status == 404:
            return None
        item = _decode(reply, _Item)
        if item.key != key:
            raise Failure(ErrorKind.STORE_ANSWER_LOST, "the answer is for another key")
        return self._make_entries([item], key, {})[0]

    async def list(self, prefix: str, after: str = "") -> Page:
        """Return one page of the entries under a prefix."""
        path = f"/v1/kv-range?prefix={quote(prefix, safe='')}"
        if after:
            path += f"&after={quote(after, safe='')}"
        reply = await self._read(path, self._list_seconds, (200,))
        answer = _decode(reply, _Items)
        rejected: dict[str, Unreadable] = {}
        items = _read_items(answer.items, prefix, rejected)
        return Page(
            self._make_entries(items, prefix, rejected),
            answer.store_revision,
            answer.has_more,
            left_out=len(answer.items) - len(items),
        )

    async def commit(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write] = (),
        removals: Sequence[str] = (),
        found_bytes: float = math.inf,
    ) -> CommitResult:
        """Apply a change if all of its conditions hold."""
        body = {
            "precondition": [
                {"key": each.key, "revision": each.revision} for each in conditions
            ],
            "writes": [_make_write(each) for each in writes],
            "remove": list(removals),
        }
        reply = await self._write(
            "POST", "/v1/kv-txn", body, (200, 412, 404), found_bytes
        )
        if reply.status == 404:
            raise Failure(ErrorKind.NOT_FOUND, "the lease of a write has expired")
        return self._read_outcome(reply)

    async def check(
        self, condition: Condition, on_part: Callable[[], None] = do_nothing
    ) -> CommitResult:
        """Return whether a condition holds; if not, the entry under its key."""
        row = {"key": condition.key, "revision": condition.revision}
        reply = await self._connections.call(
            self._address,
            "/v1/kv-txn",
            msgspec.json.encode({"precondition": [row], "writes": [], "remove": []}),
            VALUE_LIMITS,
            _READ,
            headers=_JSON_HEADERS,
            on_part=on_part,
        )
        outcome = self._read_outcome(_check(reply, "/v1/kv-txn", (200, 412), _READ))
        for entry in outcome.found:
            if entry.key != condition.key or entry.mod_revision == condition.revision:
                raise Failure(
                    ErrorKind.STORE_ANSWER_LOST, "the answer is for another key"
                )
        return outcome

    def _read_outcome(self, reply: Reply) -> CommitResult:
        if reply.status == 200:
            return CommitResult(done=True, revision=_decode(reply, _Done).revision)
        if reply.omitted:
            return CommitResult(done=False, omitted=True)
        # All items must be readable: a rejected one would count as a key that does not
        # exist, and the owner's own key as held by another process.
        items = _decode(reply, _NotDone).items
        existing = [item for item in items if item.revision and not item.deleted]
        return CommitResult(False, found=self._make_entries(existing, "", {}))

    async def grant_lease(self, seconds: float) -> int:
        """Return a new lease."""
        body = {"ttl_ms": int(seconds * 1000)}
        reply = await self._write("POST", "/v1/kv-lease", body, (200,))
        return _decode(reply, _Lease).lease

    async def keep_lease(self, lease: int) -> bool:
        """Renew a lease; return False when it has expired."""
        path = f"/v1/kv-keep/{lease}"
        reply = await self._write("POST", path, {}, (200, 404))
        return reply.status == 200

    async def watch_once(self, prefix: str, after: int, seconds: float) -> WatchBatch:
        """Return the changes after a revision, waiting until there is one."""
        path = (
            f"/v1/kv-watch?prefix={quote(prefix, safe='')}"
            f"&after={after}&wait_ms={int(seconds * 1000)}"
        )
        limits = AnswerLimits(seconds + WATCH_SLACK_SECONDS, MAX_VALUE_SECONDS)
        reply = await self._read(path, limits, (200, 410))
        if reply.status == 410:
            return WatchBatch((), after, complete=False)
        answer = _decode(reply, _Events)
        rejected: dict[str, Unreadable] = {}
        events = _read_items(answer.events, prefix, rejected)
        entries = self._make_entries(events, prefix, rejected)
        if len(events) < len(answer.events):
            # The caller lists again, which also covers the readable events.
            return WatchBatch((), after, complete=False)
        changes = tuple(
            Change(event.key, event.revision, None if event.deleted else entry)
            for event, entry in zip(events, entries, strict=True)
        )
        return WatchBatch(changes, answer.store_revision)

    def _make_entries(
        self, items: Iterable[_Item], scope: str, rejected: dict[str, Unreadable]
    ) -> tuple[Entry, ...]:
        """Return the entries of items.

        A value that can't be read is replaced by an empty one, which is no valid record
        of ours and no valid value of others: its reader rejects it, with its key and
        revision. If it were left out, the key would count as absent.
        """
        entries = []
        for item in items:
            try:
                value = _read_value(item.value)
            except Unreadable as rejection:
                rejected[item.key] = rejection
                value = b""
            entries.append(
                Entry(item.key, value, item.created, item.revision, item.lease)
            )
        self._rejections.replace(Source.STORE_ITEM, scope, rejected)
        return tuple(entries)

    async def _read(
        self,
        path: str,
        limits: float | AnswerLimits,
        accepted: tuple[int, ...],
        on_part: Callable[[], None] = do_nothing,
    ) -> Reply:
        reply = await self._connections.call(
            self._address,
            path,
            b"",
            limits,
            _READ,
            method="GET",
            on_part=on_part,
        )
        return _check(reply, path, accepted, _READ)

    async def _write(
        self,
        method: str,
        path: str,
        body: dict[str, Any],
        accepted: tuple[int, ...],
        answer_bytes: float = math.inf,
    ) -> Reply:
        content = msgspec.json.encode(body)
        timeout = find_write_timeout(len(content), self._link)
        reply = await self._connections.call(
            self._address,
            path,
            content,
            AnswerLimits(timeout, MAX_VALUE_SECONDS, answer_bytes),
            _WRITE,
            headers=_JSON_HEADERS,
            method=method,
        )
        return _check(reply, path, accepted, _WRITE)


def _check(
    reply: Reply, path: str, accepted: tuple[int, ...], kinds: FailureKinds
) -> Reply:
    """Return an accepted reply; otherwise raise the failure for its status.

    Only the store's own refusals prove that a call had no effect. Any other status may
    come from a proxy, or from a fault after the change was made: if it counted as a
    refusal, a caller would learn that a job was not accepted although it runs.
    """
    if reply.status in accepted:
        return reply
    detail = f"{path.partition('?')[0]} answered {reply.status}"
    refused = reply.status in NO_EFFECT_STATUSES
    raise Failure(kinds.unsent if refused else kinds.lost, detail)


def _decode(reply: Reply, kind: type) -> Any:
    try:
        return decode_json(reply.body, kind)
    except Unreadable as rejection:
        raise Failure(
            ErrorKind.STORE_ANSWER_LOST, f"unreadable answer: {rejection}"
        ) from rejection


def _read_items(
    raws: Iterable[msgspec.Raw], prefix: str, rejected: dict[str, Unreadable]
) -> list[_Item]:
    """Return the items under a prefix whose key and revision are readable."""
    items = []
    for raw in raws:
        try:
            items.append(_read_item(raw, prefix))
        except Unreadable as rejection:
            rejected[f"item {rejection.fault}"] = rejection
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

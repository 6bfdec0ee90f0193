"""Changes one stored setting, with its audit entry, by one compare-and-swap.

Two operators may change one path at the same moment, the process may die between any
two calls, and the store may apply a write and lose the answer. One value that holds
both the setting and its latest audit entries makes each of these harmless: a change and
its entry are always written together.
"""

import asyncio
import zlib

import msgspec

from primrosestile.clock import read_wall_clock
from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.store import Entry, Store
from primrosestile.state.decoding import decode_json
from primrosestile.state.settings import SETTINGS_PREFIX, AuditEntry, StoredSetting

AUDIT_PREFIX = "audit/"
# Limits on the entries stored with the value, in number and in characters. A history
# page then takes one read; but every watcher is sent the whole value at each change, so
# a large fleet keeps its newest entry only.
AUDIT_KEPT_ENTRIES = 16
AUDIT_KEPT_CHARACTERS = 256 * 1024
# In a fleet of 15,000 the workers of a failure domain are 124 KB of repetitive text,
# and twice more in the newest audit entry; small values stay readable.
COMPRESS_ABOVE_BYTES = 32 * 1024
VALUE_LIMIT_BYTES = 1_000_000
# Attempts to settle a write whose answer was lost, RETRY_SECONDS apart, before the
# operator is told that the outcome isn't known.
ATTEMPTS = 5
RETRY_SECONDS = 0.2

_COMPRESSED = b"z"
_encoder = msgspec.json.Encoder()


def _pack(text: bytes) -> bytes:
    if len(text) <= COMPRESS_ABOVE_BYTES:
        return text
    return _COMPRESSED + zlib.compress(text)


def _unpack(data: bytes) -> bytes:
    if not data.startswith(_COMPRESSED):
        return data
    try:
        return zlib.decompress(data[len(_COMPRESSED) :])
    except zlib.error as error:
        raise ValueError(str(error)) from error


def encode_stored(stored: StoredSetting) -> bytes:
    """Return the bytes that the store keeps."""
    return _pack(_encoder.encode(stored))


def decode_stored(data: bytes) -> StoredSetting:
    """Return the stored setting in `data`.

    Raises:
        ValueError: When `data` can't be decoded.
    """
    return decode_json(_unpack(data), StoredSetting)


def encode_entry(entry: AuditEntry) -> bytes:
    """Return the stored bytes of a rolled audit entry."""
    return _pack(_encoder.encode(entry))


def decode_entry(data: bytes) -> AuditEntry:
    """Return the audit entry in `data`.

    Raises:
        ValueError: When `data` can't be decoded.
    """
    return decode_json(_unpack(data), AuditEntry)


def make_setting_key(path: str) -> str:
    """Return the store's key of a path."""
    return SETTINGS_PREFIX + path


def make_audit_prefix(path: str) -> str:
    """Return the prefix of a path's rolled audit entries."""
    return f"{AUDIT_PREFIX}{path}/"


def make_audit_key(path: str, revision: int) -> str:
    """Return the key of one rolled audit entry; keys sort by revision."""
    return f"{make_audit_prefix(path)}{revision:010d}"


async def read_setting(
    store: Store, path: str
) -> tuple[StoredSetting | None, Entry | None]:
    """Return a path's stored setting and the entry that holds it.

    Raises:
        Failure: STORE_UNAVAILABLE when the store doesn't answer.
    """
    entry = await store.get(make_setting_key(path))
    if entry is None:
        return None, None
    return decode_stored(entry.value), entry


async def put_setting(
    store: Store, path: str, value: str, expected: int, actor: str, comment: str = ""
) -> StoredSetting:
    """Store a checked value, and return the setting as it now stands.

    Args:
        store: The platform's store.
        path: Such as `fleet`, `workers/<failure domain>` or `teams/<team>`.
        value: JSON text; empty removes the path but keeps its revision, so that a path
            that is added again continues from it.
        expected: The path's revision that the operator has seen; 0 for none.
        actor: Name of the operator's key.
        comment: Why, in the operator's words.

    Raises:
        Failure: CONFLICT when the path has another revision, with both values in
            the detail; TOO_LARGE; STORE_UNAVAILABLE when nothing was changed;
            STORE_ANSWER_LOST when the change may have been made.
    """
    current, entry = await read_setting(store, path)
    _require_revision(path, current, expected, value)
    change = _make_entry(current, value, actor, comment)
    after = await _append_entry(store, path, current, change)
    data = encode_stored(after)
    if len(data) > VALUE_LIMIT_BYTES:
        raise Failure(ErrorKind.TOO_LARGE, f"{path} has {len(data)} bytes when stored")
    await _swap(store, path, data, entry.mod_revision if entry else 0, change)
    return after


def _make_entry(
    current: StoredSetting | None, value: str, actor: str, comment: str
) -> AuditEntry:
    return AuditEntry(
        actor=actor,
        time=read_wall_clock(),
        revision=(current.revision if current else 0) + 1,
        before=current.value if current else "",
        after=value,
        comment=comment,
    )


def _require_revision(
    path: str, current: StoredSetting | None, expected: int, value: str
) -> None:
    revision = current.revision if current else 0
    if revision == expected:
        return
    stands = current.value if current else "(nothing)"
    raise Failure(
        ErrorKind.CONFLICT,
        f"{path} is at revision {revision}, your change expects {expected};"
        f" stands: {stands}; yours: {value}",
    )


async def _append_entry(
    store: Store, path: str, current: StoredSetting | None, change: AuditEntry
) -> StoredSetting:
    audit = (*(current.audit if current else ()), change)
    kept = audit[-_count_kept(audit) :]
    # Older entries are written under their own keys before they are cut from the value.
    # If this process dies in between, they are stored twice, which readers handle; in
    # the other order an entry would be lost.
    for old in audit[: -len(kept)]:
        await _roll_entry(store, path, old)
    return StoredSetting(change.revision, change.after, kept)


def _count_kept(audit: tuple[AuditEntry, ...]) -> int:
    """Return how many of the newest entries stay with the value, at least 1."""
    room = AUDIT_KEPT_CHARACTERS
    for count, entry in enumerate(reversed(audit)):
        room -= len(entry.before) + len(entry.after)
        if count == AUDIT_KEPT_ENTRIES or (room < 0 and count):
            return count
    return len(audit)


async def _roll_entry(store: Store, path: str, old: AuditEntry) -> None:
    key = make_audit_key(path, old.revision)
    data = encode_entry(old)
    try:
        await store.put(key, data, 0)
    except Failure as failure:
        if failure.kind is not ErrorKind.STORE_ANSWER_LOST:
            raise
        if await store.get(key) is None:
            raise Failure(ErrorKind.STORE_UNAVAILABLE, "audit entry not kept") from None


async def _swap(
    store: Store, path: str, data: bytes, expected: int, change: AuditEntry
) -> None:
    """Write, and settle a write whose answer was lost.

    The same bytes with the same expected revision can be sent again: either this
    write or the lost one takes effect, never both.
    """
    lost = False
    for _ in range(ATTEMPTS):
        try:
            if lost and await _is_settled(store, path, change):
                return
            swap = await store.put(make_setting_key(path), data, expected)
        except Failure as failure:
            if failure.kind is ErrorKind.CONFLICT:
                raise
            if failure.kind is not ErrorKind.STORE_ANSWER_LOST and not lost:
                raise
            # After a lost answer "unavailable" would be wrong: it says that nothing
            # changed, and the operator would send the change again.
            lost = True
            await asyncio.sleep(RETRY_SECONDS)
            continue
        if swap.done:
            return
        if not lost:
            current = decode_stored(swap.current.value) if swap.current else None
            _require_revision(path, current, change.revision - 1, change.after)
        lost = True
    raise Failure(ErrorKind.STORE_ANSWER_LOST, f"{path}: read it before changing it")


async def _is_settled(store: Store, path: str, change: AuditEntry) -> bool:
    """Return whether the change is stored; False while nothing has changed.

    Raises:
        Failure: CONFLICT when another change was stored in its place.
    """
    current, _ = await read_setting(store, path)
    if await _find_entry(store, path, current, change.revision) == change:
        return True
    _require_revision(path, current, change.revision - 1, change.after)
    return False


async def _find_entry(
    store: Store, path: str, current: StoredSetting | None, revision: int
) -> AuditEntry | None:
    kept = current.audit if current else ()
    found = next((each for each in kept if each.revision == revision), None)
    if found is not None:
        return found
    entry = await store.get(make_audit_key(path, revision))
    return None if entry is None else decode_entry(entry.value)

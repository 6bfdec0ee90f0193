"""The JSON forms of the etcd v3 gateway, as far as single-key work needs them.

Both the adapter and the stand-in use these, so neither can drift from the other.
They are `msgspec.Struct` because the gateway leaves out fields that have their
default value, which that library does for a `Struct` only. Keys and values travel
as base64, 64-bit numbers as strings.
"""

import msgspec

from primrosestile.protocol.store import Entry

RANGE_PATH = "/v3/kv/range"
TXN_PATH = "/v3/kv/txn"
GRANT_PATH = "/v3/lease/grant"
KEEPALIVE_PATH = "/v3/lease/keepalive"
REVOKE_PATH = "/v3/lease/revoke"
WATCH_PATH = "/v3/watch"

# Codes of gRPC that the gateway puts into its errors.
CODE_INVALID_ARGUMENT = 3
CODE_NOT_FOUND = 5
CODE_UNAVAILABLE = 14

VALUE_LIMIT_BYTES = 1_000_000


class Header(msgspec.Struct, frozen=True, omit_defaults=True):
    """The store's revision when it answered."""

    revision: str = "0"


class KeyValue(msgspec.Struct, frozen=True, omit_defaults=True):
    """One stored value."""

    key: bytes = b""
    value: bytes = b""
    create_revision: str = "0"
    mod_revision: str = "0"
    lease: str = "0"


class RangeRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Reads one key, or all from `key` up to but without `range_end`."""

    key: bytes
    range_end: bytes = b""
    limit: str = "0"


class RangeResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """What was read, in key order."""

    header: Header = Header()
    kvs: tuple[KeyValue, ...] = ()
    more: bool = False


class Compare(msgspec.Struct, frozen=True, omit_defaults=True):
    """The condition of a transaction: the key's mod revision."""

    key: bytes
    mod_revision: str
    target: str = ""
    result: str = "EQUAL"


class PutRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Writes one key, under a lease if one is named."""

    key: bytes
    value: bytes
    lease: str = "0"


class DeleteRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Removes one key."""

    key: bytes


class Operation(msgspec.Struct, frozen=True, omit_defaults=True):
    """One of the three."""

    request_put: PutRequest | None = None
    request_delete_range: DeleteRequest | None = None
    request_range: RangeRequest | None = None


class TxnRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Compare-and-swap on one key; on failure the key is read."""

    compare: tuple[Compare, ...]
    success: tuple[Operation, ...]
    failure: tuple[Operation, ...] = ()


class Outcome(msgspec.Struct, frozen=True, omit_defaults=True):
    """The outcome of one operation; only a read has one worth looking at."""

    response_range: RangeResponse | None = None


class TxnResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """Whether the condition held, and what the operations gave."""

    header: Header = Header()
    succeeded: bool = False
    responses: tuple[Outcome, ...] = ()


class GrantRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Asks for a lease of some seconds."""

    TTL: str


class LeaseRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Names a lease, to renew or to revoke it."""

    ID: str


class LeaseResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """A lease with its time to live; 0 when it has lapsed."""

    ID: str = "0"
    TTL: str = "0"


class KeepaliveResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """One line of the stream that answers a renewal."""

    result: LeaseResponse = LeaseResponse()


class WatchCreate(msgspec.Struct, frozen=True, omit_defaults=True):
    """Which keys to watch, and from which revision on."""

    key: bytes
    range_end: bytes = b""
    start_revision: str = "0"
    progress_notify: bool = False


class WatchRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Opens one watch."""

    create_request: WatchCreate


class Event(msgspec.Struct, frozen=True, omit_defaults=True):
    """One change; `type` is left out for a write."""

    kv: KeyValue
    type: str = "PUT"


class WatchResult(msgspec.Struct, frozen=True, omit_defaults=True):
    """Some changes at once, or none: then it only says that the watch lives."""

    header: Header = Header()
    created: bool = False
    canceled: bool = False
    events: tuple[Event, ...] = ()


class WatchResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """One line of the stream of a watch."""

    result: WatchResult | None = None


class GatewayError(msgspec.Struct, frozen=True, omit_defaults=True):
    """The body of an answer whose status is not 200."""

    code: int = 0
    message: str = ""


def find_range_end(prefix: bytes) -> bytes:
    """Return the first key after all that begin with the prefix."""
    for index in range(len(prefix) - 1, -1, -1):
        if prefix[index] < 0xFF:
            return prefix[:index] + bytes([prefix[index] + 1])
    return b"\0"


def read_entry(kv: KeyValue) -> Entry:
    """Return the entry in a stored value's form."""
    return Entry(
        kv.key.decode(),
        kv.value,
        int(kv.create_revision),
        int(kv.mod_revision),
        int(kv.lease),
    )


def write_entry(entry: Entry) -> KeyValue:
    """Return the form of an entry."""
    return KeyValue(
        entry.key.encode(),
        entry.value,
        str(entry.create_revision),
        str(entry.mod_revision),
        str(entry.lease),
    )

"""The JSON messages of the etcd v3 gateway that single-key operations need.

The adapter and the stand-in share them, so that both use the same format. They are
`msgspec.Struct` because the gateway omits fields that have their default value, which
msgspec supports only for a `Struct`. Keys and values are encoded as base64, 64-bit
numbers as strings.
"""

import msgspec

from primrosestile.protocol.store import Entry

RANGE_PATH = "/v3/kv/range"
TXN_PATH = "/v3/kv/txn"
GRANT_PATH = "/v3/lease/grant"
KEEPALIVE_PATH = "/v3/lease/keepalive"
REVOKE_PATH = "/v3/lease/revoke"
WATCH_PATH = "/v3/watch"

# gRPC status codes in the errors of the gateway.
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
    """Reads one key, or all from `key` up to but excluding `range_end`."""

    key: bytes
    range_end: bytes = b""
    limit: str = "0"


class RangeResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """The entries read, in key order."""

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
    """Writes one key, attached to a lease if one is named."""

    key: bytes
    value: bytes
    lease: str = "0"


class DeleteRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Removes one key."""

    key: bytes


class Operation(msgspec.Struct, frozen=True, omit_defaults=True):
    """One operation of a transaction: a put, a delete or a read."""

    request_put: PutRequest | None = None
    request_delete_range: DeleteRequest | None = None
    request_range: RangeRequest | None = None


class TxnRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Compare-and-swap on one key; on failure the key is read."""

    compare: tuple[Compare, ...]
    success: tuple[Operation, ...]
    failure: tuple[Operation, ...] = ()


class Outcome(msgspec.Struct, frozen=True, omit_defaults=True):
    """The outcome of one operation; only that of a read is used."""

    response_range: RangeResponse | None = None


class TxnResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """Whether the condition held, and the outcomes of the operations."""

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
    """A lease with its time to live; 0 when it has expired."""

    ID: str = "0"
    TTL: str = "0"


class KeepaliveResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """One line of the stream that answers a renewal."""

    result: LeaseResponse = LeaseResponse()


class WatchCreate(msgspec.Struct, frozen=True, omit_defaults=True):
    """The keys to watch, and the first revision to report."""

    key: bytes
    range_end: bytes = b""
    start_revision: str = "0"
    progress_notify: bool = False


class WatchRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Opens one watch."""

    create_request: WatchCreate


class Event(msgspec.Struct, frozen=True, omit_defaults=True):
    """One change; `type` is omitted for a write."""

    kv: KeyValue
    type: str = "PUT"


class WatchResult(msgspec.Struct, frozen=True, omit_defaults=True):
    """A batch of changes; an empty batch is a heartbeat of the watch."""

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
    """Return the first key after all keys with the prefix."""
    for index in range(len(prefix) - 1, -1, -1):
        if prefix[index] < 0xFF:
            return prefix[:index] + bytes([prefix[index] + 1])
    return b"\0"


def read_entry(kv: KeyValue) -> Entry:
    """Return the entry of a gateway message."""
    return Entry(
        kv.key.decode(),
        kv.value,
        int(kv.create_revision),
        int(kv.mod_revision),
        int(kv.lease),
    )


def write_entry(entry: Entry) -> KeyValue:
    """Return the gateway message of an entry."""
    return KeyValue(
        entry.key.encode(),
        entry.value,
        str(entry.create_revision),
        str(entry.mod_revision),
        str(entry.lease),
    )

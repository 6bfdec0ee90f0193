"""Strict validation of workers' entries in the store.

Other programs may write under these keys. An entry is accepted only when every field
that workers write is present, of its type and within its range; accepted values are
used for placement, as addresses and in headers without further checks.
"""

import ipaddress
import re
from collections.abc import Collection
from functools import lru_cache
from typing import Annotated

import msgspec

from primrosestile.platform.rejections import Fault, Unreadable, decode_json
from primrosestile.protocol.store import Entry
from primrosestile.state.work import Need
from primrosestile.state.workers import WorkerEntry, name_incarnation

# Each worker's entry has its key under this prefix, followed by the worker's name.
WORKERS_PREFIX = "servers/"
# A worker writes about 300 bytes. A longer entry is not decoded, so that rejecting it
# costs less than reading a valid one.
ENTRY_LIMIT_BYTES = 16_384
# The store's keys have at most 200 bytes. The name is sent in a header: a line break in
# it would fail each call to the worker with an unhandled error.
_NAME = re.compile(r"[!-.0-~]{1,190}")
# Far above any VM: thousandths of a core, megabytes, accelerators. An entry with larger
# figures would appear to have capacity for everything.
PROCESSOR_LIMIT_MILLICORES = 10_000_000
MEMORY_LIMIT_MB = 100_000_000
ACCELERATORS_LIMIT = 10_000
# A day. A leaving worker stays for seconds to minutes.
LEAVING_LIMIT_MS = 86_400_000.0
# The year 5138.
START_LIMIT_MS = 100_000_000_000_000
PORT_LIMIT = 65_535
# Several times the workers of the largest fleet.
ADDRESS_CACHE_SIZE = 2048
READY = "ready"
_BROADCAST = frozenset({ipaddress.IPv4Address("255.255.255.255")})
LEAVING = "draining"

_Text = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
_Count = Annotated[int, msgspec.Meta(ge=0)]
_Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=LEAVING_LIMIT_MS)]
Start = Annotated[int, msgspec.Meta(ge=0, le=START_LIMIT_MS)]


class _Capacity(msgspec.Struct, frozen=True):
    """`cpu` is in thousandths of a core."""

    cpu: _Count
    mem_mb: _Count
    gpu: _Count


class _Server(msgspec.Struct, frozen=True):
    """A worker's entry; `remaining_ms` is present only while it is leaving, and `born`
    only where a worker may start again under its id.

    Fields that are not used here are still required: an entry without them was not
    written by a worker.
    """  # noqa: D205

    service: _Text
    address: Annotated[str, msgspec.Meta(max_length=100)]
    zone: _Text
    version: str
    slots: _Count
    state: str
    cold_left_ms: Annotated[float, msgspec.Meta(ge=0)]
    seq: _Count
    capacity: _Capacity
    labels: list[_Text]
    remaining_ms: _Milliseconds = 0.0
    born: Start | None = None


def read_worker(entry: Entry, pools: Collection[str] | None = None) -> WorkerEntry:
    """Decode and validate a worker's entry.

    Args:
        entry: The stored entry.
        pools: Pools that the policy names; None to skip this check.

    Raises:
        Unreadable: When the entry is not that of a usable worker.
    """
    name = entry.key.removeprefix(WORKERS_PREFIX)
    if not _NAME.fullmatch(name):
        raise Unreadable(Fault.KEY, "name", name)
    if len(entry.value) > ENTRY_LIMIT_BYTES:
        raise Unreadable(Fault.SIZE, "bytes", len(entry.value))
    server = decode_json(entry.value, _Server)
    _check_server(server, pools)
    capacity = server.capacity
    labels = tuple(server.labels)
    return WorkerEntry(
        worker=name_incarnation(name, server.born),
        address=server.address,
        pool=server.service,
        failure_domain=server.zone,
        capacity=Need(capacity.cpu, capacity.mem_mb, capacity.gpu),
        labels=labels,
        # The first label is the kind of worker, the second its rack.
        rack=labels[1] if len(labels) > 1 else server.zone,
        leaving=server.state == LEAVING,
        leaving_seconds=server.remaining_ms / 1000,
    )


def _check_server(server: _Server, pools: Collection[str] | None) -> None:
    if server.state not in (READY, LEAVING):
        raise Unreadable(Fault.STATE, "state", server.state)
    if pools is not None and server.service not in pools:
        raise Unreadable(Fault.POOL, "service", server.service)
    if not _is_address(server.address):
        raise Unreadable(Fault.ADDRESS, "address", server.address)
    capacity = server.capacity
    if (
        capacity.cpu > PROCESSOR_LIMIT_MILLICORES
        or capacity.mem_mb > MEMORY_LIMIT_MB
        or capacity.gpu > ACCELERATORS_LIMIT
    ):
        raise Unreadable(Fault.RANGE, "capacity")


@lru_cache(ADDRESS_CACHE_SIZE)
def _is_address(text: str) -> bool:
    """Whether a text is `ip:port`, with IPv6 addresses in brackets.

    Cached, since a worker's address rarely changes but is read twice a second.
    """
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdecimal() and 0 < len(port) <= 5):
        return False
    if not 0 < int(port) <= PORT_LIMIT:
        return False
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        address = (
            ipaddress.IPv6Address(host[1:-1])
            if bracketed
            else ipaddress.IPv4Address(host)
        )
    except ValueError:
        return False
    if isinstance(address, ipaddress.IPv6Address) and address.scope_id is not None:
        # A scope names an interface of the VM that wrote it.
        return False
    return not (address.is_multicast or address.is_unspecified or address in _BROADCAST)

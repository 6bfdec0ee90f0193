"""Reads the memory, processor time and socket bytes of running processes.

All figures come from the kernel, so that the programs need no counters for a benchmark.
"""

import os
import socket
import struct
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

KILOBYTE = 1024
NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
REQUEST_DUMP = 0x301
MESSAGE_DONE = 3
INFO_ATTRIBUTE = 2
ALL_STATES = 0xFFF
HEADER = struct.Struct("=IHHII")
REQUEST = struct.Struct("=BBBBI48s")
ATTRIBUTE = struct.Struct("=HH")
# Offsets in `struct inet_diag_msg` and `struct tcp_info` of linux/inet_diag.h and
# linux/tcp.h.
PORTS_OFFSET = 4
INODE_OFFSET = 68
MESSAGE_SIZE = 72
BYTES_OFFSET = 120
RECEIVE_SIZE = 1 << 20


@dataclass(frozen=True, slots=True)
class Connection:
    """One end of a TCP connection.

    Attributes:
        moved: Bytes sent and acknowledged, and received, since it was opened.
    """

    inode: int
    port: int
    peer_port: int
    transferred: int


def read_memory(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * KILOBYTE
    return 0


def read_processor_seconds(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def list_inodes(pids: Iterable[int]) -> set[int]:
    """Return the inodes of all sockets that the processes hold."""
    inodes = set()
    for pid in pids:
        for link in Path(f"/proc/{pid}/fd").iterdir():
            try:
                target = os.readlink(link)
            except OSError:
                continue
            if target.startswith("socket:["):
                inodes.add(int(target[8:-1]))
    return inodes


def list_connections() -> list[Connection]:
    """Return all TCP connections of this machine, as the kernel reports them."""
    request = REQUEST.pack(
        socket.AF_INET,
        socket.IPPROTO_TCP,
        1 << (INFO_ATTRIBUTE - 1),
        0,
        ALL_STATES,
        bytes(48),
    )
    header = HEADER.pack(
        HEADER.size + len(request), SOCK_DIAG_BY_FAMILY, REQUEST_DUMP, 1, 0
    )
    found: list[Connection] = []
    with socket.socket(
        socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG
    ) as netlink:
        netlink.send(header + request)
        while read_messages(netlink.recv(RECEIVE_SIZE), found):
            pass
    return found


def read_messages(data: bytes, found: list[Connection]) -> bool:
    """Add the connections in one answer; return whether more answers follow."""
    start = 0
    while start < len(data):
        length, kind, _, _, _ = HEADER.unpack_from(data, start)
        if kind == MESSAGE_DONE:
            return False
        found.append(read_connection(data[start + HEADER.size : start + length]))
        start += (length + 3) & ~3
    return True


def read_connection(message: bytes) -> Connection:
    """Return the connection that one message describes."""
    port, peer_port = struct.unpack_from(">HH", message, PORTS_OFFSET)
    (inode,) = struct.unpack_from("=I", message, INODE_OFFSET)
    start, transferred = MESSAGE_SIZE, 0
    while start + ATTRIBUTE.size <= len(message):
        length, kind = ATTRIBUTE.unpack_from(message, start)
        if kind == INFO_ATTRIBUTE:
            offset = start + ATTRIBUTE.size + BYTES_OFFSET
            transferred = sum(struct.unpack_from("=QQ", message, offset))
        start += max(4, (length + 3) & ~3)
    return Connection(inode, port, peer_port, transferred)


class Traffic:
    """Counts the bytes that groups of processes exchange with all others.

    A connection between two processes of one group is not counted, since it would not
    leave the VM.
    """

    def __init__(self, groups: dict[str, list[int]]) -> None:
        self._groups = groups
        self._first: dict[int, int] = {}
        self._latest: dict[str, dict[int, int]] = {name: {} for name in groups}
        self.sample(opening=True)

    def sample(self, opening: bool = False) -> None:
        """Read all counters; call it often, as connections that close go uncounted."""
        connections = list_connections()
        for name, pids in self._groups.items():
            inodes = list_inodes(pids)
            ports = {each.port for each in connections if each.inode in inodes}
            for each in connections:
                if each.inode not in inodes or each.peer_port in ports:
                    continue
                self._first.setdefault(each.inode, each.transferred if opening else 0)
                self._latest[name][each.inode] = each.transferred

    def sum_bytes(self, name: str) -> int:
        """Return the bytes of a group since the first sample."""
        latest = self._latest[name]
        return sum(
            transferred - self._first[inode] for inode, transferred in latest.items()
        )

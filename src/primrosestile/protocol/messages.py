"""Messages between our own processes, and the envelope that carries them.

Messages are tagged `msgspec.Struct`s and not frozen data classes, because the codec
distinguishes the kinds of message by the tag and offers none for data classes. Each
envelope carries sender, epoch, sequence and request id, so that a late or swapped
answer is recognised and dropped.
"""

import msgspec

from primrosestile.errors import ErrorKind
from primrosestile.state.decoding import decode_msgpack


class CellDigest(msgspec.Struct, frozen=True, tag=True):
    """State of a cell that its owner sends to entries each second.

    Attributes:
        free: Free accelerators on each usable worker.
        slots: The slots that the receiving entry may use, by worker.
        leaving: Workers that take no new work.
        quarantined: Workers that get canary requests only.
        waiting: Jobs that wait for placement in this cell.
        used: Accelerators that each team holds in this cell.
        seconds: How long the grant of slots is valid.
    """

    cell: str
    epoch: int
    free: dict[str, int]
    used: dict[str, int]
    slots: dict[str, int]
    leaving: tuple[str, ...]
    quarantined: tuple[str, ...]
    waiting: int
    seconds: float


class CellDigests(msgspec.Struct, frozen=True, tag=True):
    """All cells that one process owns; the answer to a demand report."""

    cells: tuple[CellDigest, ...]


class DigestRequest(msgspec.Struct, frozen=True, tag=True):
    """Asks a placer for the digests of its cells, without slots."""


class DemandReport(msgspec.Struct, frozen=True, tag=True):
    """An entry's demand for slots, sent to each placer each second.

    One message for each pair of processes and not for each cell: at 128 cells, the
    latter would cost an entry more processor time than control may use.

    Attributes:
        queued: Requests waiting here that any target could serve.
        in_flight: Requests of this entry at each worker.
        failures: Failed requests at each worker since the last report.
        successes: Successful ones.
    """

    entry: str
    queued: int
    in_flight: dict[str, int]
    failures: dict[str, int]
    successes: dict[str, int]


class SettingsDigest(msgspec.Struct, frozen=True, tag=True):
    """The revision of each path that the sender has applied."""

    revisions: dict[str, int]


class SettingsValues(msgspec.Struct, frozen=True, tag=True):
    """Stored values by path, byte for byte as in the store."""

    values: dict[str, bytes]


class Heartbeat(msgspec.Struct, frozen=True, tag=True):
    """Shows that the sender is alive; answered by a heartbeat."""

    vm: str
    leaving: bool


class Refused(msgspec.Struct, frozen=True, tag=True):
    """The answer when a message could not be served."""

    kind: ErrorKind
    detail: str


Body = (
    CellDigests
    | DigestRequest
    | DemandReport
    | SettingsDigest
    | SettingsValues
    | Heartbeat
    | Refused
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """One message between two of our processes.

    Attributes:
        sender: Name of the sending process.
        epoch: The sender's epoch for the cell that the message is about, or 0.
        sequence: Rises by one with each message of this sender to this peer.
        request_id: Repeated in the answer; empty when none is expected.
    """

    sender: str
    epoch: int
    sequence: int
    request_id: str
    body: Body


_encoder = msgspec.msgpack.Encoder()


def encode_envelope(envelope: Envelope) -> bytes:
    """Return the MessagePack form."""
    return _encoder.encode(envelope)


def decode_envelope(data: bytes) -> Envelope:
    """Return the message in `data`.

    Raises:
        Undecodable: When it is not an envelope.
    """
    return decode_msgpack(data, Envelope)

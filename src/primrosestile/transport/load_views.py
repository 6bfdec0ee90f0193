"""Fetches the owner's summary of the fleet's load over HTTP."""

from primrosestile.errors import ErrorKind, Failure
from primrosestile.state.decoding import Undecodable
from primrosestile.state.load import MAX_SUMMARY_BYTES, LoadSummary, decode_load
from primrosestile.transport.call_progress import AnswerLimits
from primrosestile.transport.connections import Connections, FailureKinds

# Where the owner answers this, on its address for peers.
LOAD_VIEW_PATH = "/load"
# No caller waits for it. An owner that takes longer is overloaded itself.
LIMITS = AnswerLimits(
    answer_seconds=0.5, transfer_seconds=0.5, body_bytes=MAX_SUMMARY_BYTES
)

_KINDS = FailureKinds(ErrorKind.NO_TARGET, ErrorKind.NO_TARGET)


class HttpLoadViews:
    """Implements `protocol.load_views.LoadViewCalls`."""

    def __init__(self, connections: Connections) -> None:
        self._connections = connections

    async def fetch(self, address: str) -> LoadSummary | None:
        """Return the summary of the process at an address; None if it gives none."""
        reply = await self._connections.call(
            address, LOAD_VIEW_PATH, b"", LIMITS, _KINDS, method="GET"
        )
        if reply.status != 200:
            return None
        if reply.omitted:
            raise Failure(ErrorKind.MALFORMED, "the summary is too large")
        try:
            return decode_load(reply.body)
        except Undecodable as error:
            raise Failure(ErrorKind.MALFORMED, str(error)) from error

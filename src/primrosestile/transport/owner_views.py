"""Asks an earlier owner over HTTP whether it still extends workers' leases."""

import asyncio

from primrosestile.errors import ErrorKind, Failure
from primrosestile.transport.connections import Connections, FailureKinds

# Where a process answers this, on its address for peers.
OWNER_VIEW_PATH = "/extends-leases"
# A definite "no". Processes of a version that doesn't know the path answer 404.
STOPPED_STATUS = 204
TIMEOUT_SECONDS = 0.25
# Longer than any query: the connections would otherwise report a silent address.
CALL_SECONDS = 1.0

_KINDS = FailureKinds(ErrorKind.NO_TARGET, ErrorKind.NO_TARGET)


class HttpOwnerViews:
    """Implements `protocol.owners.OwnerCalls`."""

    def __init__(self, connections: Connections) -> None:
        self._connections = connections

    async def has_stopped(self, address: str) -> bool:
        """Whether the process at an address extends no more leases."""
        try:
            async with asyncio.timeout(TIMEOUT_SECONDS):
                reply = await self._connections.call(
                    address, OWNER_VIEW_PATH, b"", CALL_SECONDS, _KINDS, method="GET"
                )
        except (TimeoutError, Failure):
            return False
        return reply.status == STOPPED_STATUS

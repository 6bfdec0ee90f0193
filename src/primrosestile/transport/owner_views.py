"""Asks an earlier owner over HTTP whether it still extends workers' leases."""

from primrosestile.errors import Failure
from primrosestile.transport.connections import Connections
from primrosestile.transport.peer_queries import query_peer

# Where a process answers this, on its address for peers.
OWNER_VIEW_PATH = "/extends-leases"
# A definite "no". Processes of a version that doesn't know the path answer 404.
STOPPED_STATUS = 204


class HttpOwnerViews:
    """Implements `protocol.owners.OwnerCalls`."""

    def __init__(self, connections: Connections) -> None:
        self._connections = connections

    async def has_stopped(self, address: str) -> bool:
        """Whether the process at an address extends no more leases."""
        try:
            status = await query_peer(self._connections, address, OWNER_VIEW_PATH)
        except (TimeoutError, Failure):
            return False
        return status == STOPPED_STATUS

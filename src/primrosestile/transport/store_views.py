"""Asks another process of ours over HTTP whether the store answers it."""

from primrosestile.errors import Failure
from primrosestile.protocol.store_views import StoreView
from primrosestile.transport.connections import Connections
from primrosestile.transport.peer_queries import query_peer

# Where a process answers this, on its address for peers.
STORE_VIEW_PATH = "/store"
# How long an asked process waits for the store; less than the asking one waits for its
# answer. A caller waits meanwhile.
CHECK_SECONDS = 0.15


class HttpStoreViews:
    """Implements `protocol.store_views.StoreViewCalls`."""

    def __init__(self, connections: Connections) -> None:
        self._connections = connections

    async def ask(self, address: str) -> StoreView:
        """Return whether the store answers the process at an address."""
        try:
            status = await query_peer(self._connections, address, STORE_VIEW_PATH)
        except TimeoutError:
            return StoreView.SILENT
        except Failure:
            return StoreView.ABSENT
        return StoreView.ANSWERS if status == 200 else StoreView.AWAY

"""Asks another process of ours over HTTP whether the store answers it."""

import asyncio

from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.store_views import StoreView
from primrosestile.transport.connections import Connections, FailureKinds

# Where a process answers this, on its address for peers.
STORE_VIEW_PATH = "/store"
# How long an asked process waits for the store, and an asking one for its answer. A
# caller waits meanwhile.
CHECK_SECONDS = 0.15
TIMEOUT_SECONDS = 0.25
# Longer than any query: the connections would otherwise report a silent address.
CALL_SECONDS = 1.0

_KINDS = FailureKinds(ErrorKind.NO_TARGET, ErrorKind.NO_TARGET)


class HttpStoreViews:
    """Implements `protocol.store_views.StoreViewCalls`."""

    def __init__(self, connections: Connections) -> None:
        self._connections = connections

    async def ask(self, address: str) -> StoreView:
        """Return whether the store answers the process at an address."""
        try:
            async with asyncio.timeout(TIMEOUT_SECONDS):
                reply = await self._connections.call(
                    address, STORE_VIEW_PATH, b"", CALL_SECONDS, _KINDS, method="GET"
                )
        except TimeoutError:
            return StoreView.SILENT
        except Failure:
            return StoreView.ABSENT
        return StoreView.ANSWERS if reply.status == 200 else StoreView.AWAY

"""Asks other processes of ours over HTTP, where the status is the answer."""

import asyncio

from primrosestile.errors import ErrorKind
from primrosestile.transport.connections import Connections, FailureKinds

TIMEOUT_SECONDS = 0.25
# Longer than any query: the connections would otherwise report a silent address.
CALL_SECONDS = 1.0

_KINDS = FailureKinds(ErrorKind.NO_TARGET, ErrorKind.NO_TARGET)


async def query_peer(connections: Connections, address: str, path: str) -> int:
    """Return the status with which the process at an address answers.

    Raises:
        TimeoutError: When it does not answer in time.
        Failure: When nothing listens there, or the answer is lost.
    """
    async with asyncio.timeout(TIMEOUT_SECONDS):
        reply = await connections.call(
            address, path, b"", CALL_SECONDS, _KINDS, method="GET"
        )
    return reply.status

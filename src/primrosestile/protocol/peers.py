"""Interface for requests between our own processes."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from primrosestile.protocol.messages import Body, Envelope

Handler = Callable[[Envelope], Awaitable[Body]]


class Peers(Protocol):
    """Requests and answers between processes, addressed by `ip:port`."""

    async def ask(self, peer: str, body: Body, timeout: float, epoch: int = 0) -> Body:
        """Send a message and return the peer's answer.

        Raises:
            Failure: NO_TARGET when no answer came in time; the peer's own kind when
                it refused.
        """
        ...

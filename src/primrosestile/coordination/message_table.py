"""Routes messages from peers to the handlers of one process."""

from collections.abc import Awaitable, Callable

from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.messages import Body, Envelope, Heartbeat


class MessageTable:
    """Handlers by kind of message; a heartbeat is answered by every process."""

    def __init__(self, vm: str, is_leaving: Callable[[], bool]) -> None:
        self._vm = vm
        self._is_leaving = is_leaving
        self._handlers: dict[type, Callable[[Envelope], Awaitable[Body]]] = {}

    def add(self, kind: type, handler: Callable[[Envelope], Awaitable[Body]]) -> None:
        """Register the handler of one kind of message."""
        self._handlers[kind] = handler

    async def answer(self, envelope: Envelope) -> Body:
        """Answer one message.

        Raises:
            Failure: MALFORMED for a kind without a handler.
        """
        if isinstance(envelope.body, Heartbeat):
            return Heartbeat(self._vm, self._is_leaving())
        handler = self._handlers.get(type(envelope.body))
        if handler is None:
            kind = type(envelope.body).__name__
            raise Failure(ErrorKind.MALFORMED, f"{kind} is not answered here")
        return await handler(envelope)

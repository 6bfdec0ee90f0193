"""Questions to the platform's advice service over HTTP."""

import msgspec

from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.advice import Allowed
from primrosestile.transport.connections import Connections, FailureKinds

# Over what the answer is expected to take: a question that waits behind another one.
SLACK_SECONDS = 1.0

_KINDS = FailureKinds(ErrorKind.ADVICE_UNAVAILABLE, ErrorKind.ADVICE_UNAVAILABLE)


class _Advice(msgspec.Struct, frozen=True):
    """`good`: rows of worker and ticket. Rows may come to have more fields."""

    good: list[list[str]] = []


class PlatformAdvice:
    """Implements `protocol.advice.AdviceCalls`."""

    def __init__(self, address: str, connections: Connections) -> None:
        self._address = address
        self._connections = connections

    async def ask(
        self, step: str, workers: tuple[str, ...], seconds: float
    ) -> tuple[Allowed, ...]:
        """Return those of some workers on which a step may run."""
        body = msgspec.json.encode({"step": step, "workers": workers})
        reply = await self._connections.call(
            self._address,
            "/v1/advise",
            body,
            seconds + SLACK_SECONDS,
            _KINDS,
            {"Content-Type": "application/json"},
        )
        if reply.status != 200:
            raise Failure(ErrorKind.ADVICE_UNAVAILABLE, f"answered {reply.status}")
        try:
            advice = msgspec.json.decode(reply.body, type=_Advice)
        except msgspec.MsgspecError as error:
            detail = f"unreadable answer: {error}"
            raise Failure(ErrorKind.ADVICE_UNAVAILABLE, detail) from error
        return tuple(Allowed(row[0], row[1]) for row in advice.good)

"""Questions to the platform's advice service over HTTP."""

from collections.abc import Collection
from typing import Any

import msgspec

from primrosestile.errors import ErrorKind, Failure
from primrosestile.platform.refusals import (
    Fault,
    Refusals,
    Source,
    Unreadable,
    decode_json,
)
from primrosestile.protocol.advice import Advice, Allowed
from primrosestile.transport.connections import Connections, FailureKinds

# Over what the answer is expected to take: a question that waits behind another one.
SLACK_SECONDS = 1.0
# Tickets have about twenty characters, and are sent back with each start.
TICKET_LIMIT = 1000

_KINDS = FailureKinds(ErrorKind.ADVICE_UNAVAILABLE, ErrorKind.ADVICE_UNAVAILABLE)


class _Advice(msgspec.Struct, frozen=True):
    """`good`: rows of worker and ticket. Rows may come to have more fields."""

    good: list[Any]


class PlatformAdvice:
    """Implements `protocol.advice.AdviceCalls`."""

    def __init__(
        self,
        address: str,
        connections: Connections,
        refusals: Refusals | None = None,
    ) -> None:
        self._address = address
        self._connections = connections
        self._refusals = refusals or Refusals()

    async def ask(self, step: str, workers: tuple[str, ...], seconds: float) -> Advice:
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
            answer = decode_json(reply.body, _Advice)
        except Unreadable as refusal:
            self._refusals.settle(Source.ADVICE, "", {"answer": refusal})
            detail = f"unreadable answer: {refusal}"
            raise Failure(ErrorKind.ADVICE_UNAVAILABLE, detail) from refusal
        return self._read_rows(answer.good, workers)

    def _read_rows(self, rows: list[Any], workers: Collection[str]) -> Advice:
        """Return the rows that can be read, and whether these are all."""
        allowed = []
        refused: dict[str, Unreadable] = {}
        for row in rows:
            try:
                allowed.append(_read_row(row, workers))
            except Unreadable as refusal:
                refused[f"row {refusal.fault}"] = refusal
        self._refusals.settle(Source.ADVICE, "", refused)
        return Advice(tuple(allowed), complete=not refused)


def _read_row(row: Any, workers: Collection[str]) -> Allowed:
    if not isinstance(row, list) or len(row) < 2:
        raise Unreadable(Fault.FORM, "row", row)
    worker, ticket = row[0], row[1]
    if worker not in workers:
        raise Unreadable(Fault.KEY, "row", row)
    if not isinstance(ticket, str) or not 0 < len(ticket) <= TICKET_LIMIT:
        raise Unreadable(Fault.FORM, "row", row)
    return Allowed(worker, ticket)

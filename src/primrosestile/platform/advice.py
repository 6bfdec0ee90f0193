"""Client of the platform's advice service over HTTP."""

from collections.abc import Mapping
from typing import Any

import msgspec

from primrosestile.errors import ErrorKind, Failure
from primrosestile.platform.rejections import (
    Fault,
    RejectionLog,
    Source,
    Unreadable,
    decode_json,
)
from primrosestile.protocol.advice import Advice, AllowedWorker
from primrosestile.state.workers import find_worker_id
from primrosestile.transport.connections import Connections, FailureKinds

# Added to the expected answer time: the query may be queued behind another one.
SLACK_SECONDS = 1.0
# Tickets have about twenty characters, and are sent to the worker with each start.
TICKET_LIMIT_CHARACTERS = 1000

_KINDS = FailureKinds(ErrorKind.ADVICE_UNAVAILABLE, ErrorKind.ADVICE_UNAVAILABLE)


class _Advice(msgspec.Struct, frozen=True):
    """`good`: rows of worker and ticket. Rows may gain more fields."""

    good: list[Any]


class PlatformAdvice:
    """Implements `protocol.advice.AdviceCalls`."""

    def __init__(
        self,
        address: str,
        connections: Connections,
        rejections: RejectionLog | None = None,
    ) -> None:
        self._address = address
        self._connections = connections
        self._rejections = rejections or RejectionLog()

    async def ask(self, step: str, workers: tuple[str, ...], seconds: float) -> Advice:
        """Return those of some workers on which a step may run."""
        # The service knows workers by id; a ticket is valid for the present start.
        names = {find_worker_id(name): name for name in workers}
        body = msgspec.json.encode({"step": step, "workers": list(names)})
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
        except Unreadable as rejection:
            self._rejections.replace(Source.ADVICE, "", {"answer": rejection})
            detail = f"unreadable answer: {rejection}"
            raise Failure(ErrorKind.ADVICE_UNAVAILABLE, detail) from rejection
        return self._read_rows(answer.good, names)

    def _read_rows(self, rows: list[Any], names: Mapping[str, str]) -> Advice:
        """Return the readable rows, and whether all rows were readable."""
        allowed = []
        rejected: dict[str, Unreadable] = {}
        for row in rows:
            try:
                allowed.append(_read_row(row, names))
            except Unreadable as rejection:
                rejected[f"row {rejection.fault}"] = rejection
        self._rejections.replace(Source.ADVICE, "", rejected)
        return Advice(tuple(allowed), complete=not rejected)


def _read_row(row: Any, names: Mapping[str, str]) -> AllowedWorker:
    if not isinstance(row, list) or len(row) < 2:
        raise Unreadable(Fault.FORM, "row", row)
    worker, ticket = row[0], row[1]
    if not isinstance(worker, str) or worker not in names:
        raise Unreadable(Fault.KEY, "row", row)
    if not isinstance(ticket, str) or not 0 < len(ticket) <= TICKET_LIMIT_CHARACTERS:
        raise Unreadable(Fault.FORM, "row", row)
    return AllowedWorker(names[worker], ticket)

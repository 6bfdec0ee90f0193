"""Short requests to targets over HTTP.

An answer is returned to a caller only when it is complete and carries the id of the
request, so the answer to another request is never taken for it.
"""

from collections.abc import Callable

from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.workers import RequestAnswer, RequestOrder
from primrosestile.transport import control
from primrosestile.transport.connections import (
    CONNECTIONS_PER_ADDRESS,
    Connections,
    FailureKinds,
    Reply,
)

_KINDS = FailureKinds(ErrorKind.NO_TARGET, ErrorKind.OUTCOME_UNKNOWN)
_FLAGS = {control.TRUE: True, control.FALSE: False}


def make_targets(
    addresses: Callable[[str], str], connections: int = CONNECTIONS_PER_ADDRESS
) -> "HttpTargets":
    """Return the adapter to targets.

    Args:
        addresses: Returns a target's address in the settings in force, or an empty
            string when they do not have it.
        connections: Maximum number of connections to one target.
    """
    return HttpTargets(addresses, Connections(connections))


class HttpTargets:
    """Implements `protocol.workers.Targets`."""

    def __init__(
        self, addresses: Callable[[str], str], connections: Connections
    ) -> None:
        self._addresses = addresses
        self._connections = connections

    async def send(
        self, target: str, order: RequestOrder, timeout: float
    ) -> RequestAnswer:
        """Send one request and return its complete answer.

        Raises:
            Failure: NO_TARGET when nothing was sent, OUTCOME_UNKNOWN when no
                complete answer to this request came.
        """
        address = self._addresses(target)
        if not address:
            raise Failure(ErrorKind.NO_TARGET, f"{target} has no address")
        reply = await self._connections.call(
            address,
            control.REQUESTS_PATH,
            order.body,
            timeout,
            _KINDS,
            headers=write_headers(order),
        )
        return read_answer(reply, target, order)

    async def close(self) -> None:
        """Close every connection."""
        await self._connections.close()


def write_headers(order: RequestOrder) -> dict[str, str]:
    """Return the headers that describe a request."""
    return {
        control.REQUEST_ID_HEADER: order.request_id,
        control.ORGANISATION_HEADER: order.organisation,
        control.JOB_CLASS_HEADER: order.job_class,
        control.IDEMPOTENT_HEADER: control.write_flag(order.idempotent),
        control.EXPECTED_SECONDS_HEADER: f"{order.expected_seconds:.6g}",
        "Content-Type": "application/octet-stream",
    }


def read_answer(reply: Reply, target: str, order: RequestOrder) -> RequestAnswer:
    """Return the answer if it carries the id of the request.

    Raises:
        Failure: OUTCOME_UNKNOWN when it does not, or does not state whether the
            request ran.
    """
    request_id = reply.headers.get(control.REQUEST_ID_HEADER, "")
    ran = _FLAGS.get(reply.headers.get(control.RAN_HEADER, ""))
    ok = _FLAGS.get(reply.headers.get(control.OK_HEADER, ""))
    if request_id != order.request_id:
        detail = f"{target} answered request {request_id or '(no id)'} instead"
        raise Failure(ErrorKind.OUTCOME_UNKNOWN, detail)
    if reply.status != 200 or ran is None or ok is None:
        detail = f"{target} answered with status {reply.status} and without an outcome"
        raise Failure(ErrorKind.OUTCOME_UNKNOWN, detail)
    if "Content-Length" not in reply.headers:
        raise Failure(ErrorKind.OUTCOME_UNKNOWN, f"{target} sent no Content-Length")
    leaving = reply.headers.get(control.LEAVING_HEADER) == control.TRUE
    return RequestAnswer(request_id, ran, ok, reply.body, leaving)

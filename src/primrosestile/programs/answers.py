"""Middleware that turns exceptions of the steward's handlers into error answers.

Handlers raise `Failure`, and the table of errors alone sets status and wording. Any
other exception is a bug: its traceback goes to the log, and the operator gets only the
request id to report.
"""

import secrets
from collections.abc import Awaitable, Callable

import structlog
from aiohttp import web

from primrosestile.errors import ErrorKind, Failure
from primrosestile.programs.common import answer_failure
from primrosestile.state.decoding import Undecodable

REQUEST_ID_HEADER = "X-Request-Id"
REQUEST_ID_LIMIT = 128
MIN_ERROR_STATUS = 400

# Requests that aiohttp rejects before they reach a handler.
_WEB_KINDS = {404: ErrorKind.NOT_FOUND, 413: ErrorKind.TOO_LARGE}

WebHandler = Callable[[web.Request], Awaitable[web.StreamResponse]]

_log = structlog.get_logger()


def read_request_id(request: web.Request) -> str:
    """Return the request id that the sender gave, or a new one."""
    given = request.headers.get(REQUEST_ID_HEADER, "")[:REQUEST_ID_LIMIT]
    return given or secrets.token_hex(8)


@web.middleware
async def answer_failures(
    request: web.Request, handler: WebHandler
) -> web.StreamResponse:
    """Turn exceptions of a handler into error answers."""
    request_id = read_request_id(request)
    try:
        return await handler(request)
    except web.HTTPException as error:
        if error.status < MIN_ERROR_STATUS:
            raise
        kind = _WEB_KINDS.get(error.status, ErrorKind.MALFORMED)
        return answer_failure(Failure(kind, error.reason), request_id)
    except Failure as failure:
        return answer_failure(failure, request_id)
    except Undecodable as error:
        malformed = Failure(ErrorKind.MALFORMED, str(error))
        return answer_failure(malformed, request_id)
    except Exception:
        _log.exception("request_failed", request_id=request_id, path=request.path)
        return answer_failure(Failure(ErrorKind.INTERNAL), request_id)

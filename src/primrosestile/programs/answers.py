"""Failures as HTTP answers, from the one table of errors.

Each handler raises `Failure` and nothing else decides about statuses or wording.
What is not a `Failure` is a fault of the program: its trace goes to the log, and
the caller gets the request id to report, never the trace.
"""

import math
import secrets
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec
import structlog
from aiohttp import web

from primrosestile.errors import ErrorKind, Failure
from primrosestile.transport.wire import encode_json

REQUEST_ID_HEADER = "X-Request-Id"
REQUEST_ID_LIMIT = 128
JSON_TYPE = "application/json"

FIRST_ERROR_STATUS = 400

# What aiohttp refuses by itself, before any handler of ours.
_WEB_KINDS = {404: ErrorKind.NOT_FOUND, 413: ErrorKind.TOO_LARGE}

WebHandler = Callable[[web.Request], Awaitable[web.StreamResponse]]

_log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class ErrorBody:
    """What a caller gets for every error; the docs list the kinds."""

    error: str
    detail: str
    ran: str
    remedy: str
    retry_after: float | None
    request_id: str


def read_request_id(request: web.Request) -> str:
    """Return the caller's id of a request, or a new one."""
    given = request.headers.get(REQUEST_ID_HEADER, "")[:REQUEST_ID_LIMIT]
    return given or secrets.token_hex(8)


def make_json_answer(value: object, status: int = 200) -> web.Response:
    """Return a data class or a plain value as a JSON answer."""
    return web.Response(body=encode_json(value), status=status, content_type=JSON_TYPE)


def make_failure_answer(failure: Failure, request_id: str) -> web.Response:
    """Return the answer that the table gives for a failure."""
    answer = failure.answer
    wait = failure.come_back_after
    body = ErrorBody(
        error=failure.kind.value,
        detail=failure.detail,
        ran=answer.ran.value,
        remedy=answer.remedy,
        retry_after=wait,
        request_id=request_id,
    )
    response = make_json_answer(body, answer.status)
    if wait is not None:
        # The header takes whole seconds only; rounding up never invites early.
        response.headers["Retry-After"] = str(math.ceil(wait))
    return response


@web.middleware
async def answer_failures(
    request: web.Request, handler: WebHandler
) -> web.StreamResponse:
    """Turn failures of a handler into answers."""
    request_id = read_request_id(request)
    try:
        return await handler(request)
    except web.HTTPException as error:
        if error.status < FIRST_ERROR_STATUS:
            raise
        kind = _WEB_KINDS.get(error.status, ErrorKind.MALFORMED)
        return make_failure_answer(Failure(kind, error.reason), request_id)
    except Failure as failure:
        return make_failure_answer(failure, request_id)
    except msgspec.MsgspecError as error:
        malformed = Failure(ErrorKind.MALFORMED, str(error))
        return make_failure_answer(malformed, request_id)
    except Exception:
        _log.exception("request_failed", request_id=request_id, path=request.path)
        return make_failure_answer(Failure(ErrorKind.INTERNAL), request_id)

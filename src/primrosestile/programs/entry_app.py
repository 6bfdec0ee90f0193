"""The HTTP routes of an entry."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import structlog
from aiohttp import web

from primrosestile.clock import read_clock
from primrosestile.coordination.cell_watch import CellWatch
from primrosestile.coordination.claims import compute_fingerprint
from primrosestile.coordination.dispatcher import Dispatcher
from primrosestile.coordination.submission import Submission, Submissions
from primrosestile.decisions.access import Rights, require_rights
from primrosestile.decisions.cell_selection import choose_cell
from primrosestile.decisions.request_queue import QueuedRequest
from primrosestile.errors import ErrorKind, Failure
from primrosestile.programs.common import answer_failure, answer_json
from primrosestile.programs.entry_requests import (
    BODY_LIMIT_BYTES,
    Caller,
    JobBody,
    RequestBody,
    check_deadline,
    check_job,
    check_request_id,
    decode_body,
    find_caller,
    make_spec,
)
from primrosestile.programs.metrics import Metrics
from primrosestile.protocol.workers import RequestOrder
from primrosestile.state.jobs import JobRecord
from primrosestile.state.settings import Settings
from primrosestile.state.tenancy import Kind

# No caller sends one request a million times.
ATTEMPT_DIGITS = 6

_log = structlog.get_logger()

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@dataclass(frozen=True, slots=True)
class EntryParts:
    """The parts that the routes use."""

    dispatcher: Dispatcher
    submissions: Submissions
    cells: CellWatch
    metrics: Metrics
    read_settings: Callable[[], Settings]


def _read_request_id(request: web.Request) -> str:
    return request.headers.get("X-Request-Id", "")


def _read_attempt(request: web.Request) -> int:
    """Return the caller's attempt number; 0 when it did not send one."""
    text = request.headers.get("X-Attempt", "0")
    if not text.isascii() or not text.isdigit() or len(text) > ATTEMPT_DIGITS:
        raise Failure(ErrorKind.MALFORMED, "X-Attempt must be a whole number")
    return int(text)


async def _read_body(request: web.Request) -> bytes:
    length = request.content_length
    if length is not None and length > BODY_LIMIT_BYTES:
        raise Failure(ErrorKind.TOO_LARGE, f"{length} bytes")
    try:
        return await request.read()
    except web.HTTPRequestEntityTooLarge:
        raise Failure(ErrorKind.TOO_LARGE, "the body is too large") from None


def make_entry_app(parts: EntryParts) -> web.Application:
    """Return the application with the routes for callers."""
    app = web.Application(client_max_size=BODY_LIMIT_BYTES)
    routes = _Routes(parts)
    app.router.add_post("/v1/requests", routes.guard(routes.serve_request))
    app.router.add_post("/v1/jobs", routes.guard(routes.submit_job))
    app.router.add_get("/v1/jobs/{id}", routes.guard(routes.show_job))
    app.router.add_delete("/v1/jobs/{id}", routes.guard(routes.cancel_job))
    return app


class _Routes:
    def __init__(self, parts: EntryParts) -> None:
        self._parts = parts
        self._ids = random.SystemRandom()

    def guard(self, handler: Handler) -> Handler:
        """Turn every failure into the answer of its kind; log and count it."""

        async def handle(request: web.Request) -> web.StreamResponse:
            request_id = _read_request_id(request)
            started = read_clock()
            try:
                response = await handler(request)
                kind = "ok"
            except Failure as failure:
                kind = failure.kind.value
                _log_refusal(failure, request_id)
                response = answer_failure(failure, request_id)
            except Exception:
                # A bug: the caller gets an internal error, and other requests are
                # not affected.
                kind = ErrorKind.INTERNAL.value
                _log.exception("request_broke", request_id=request_id)
                response = answer_failure(Failure(ErrorKind.INTERNAL), request_id)
            self._count(request, kind, read_clock() - started)
            return response

        return handle

    def _count(self, request: web.Request, kind: str, seconds: float) -> None:
        metrics = self._parts.metrics
        if request.path == "/v1/requests":
            metrics.requests.inc({"kind": kind})
            metrics.seconds.observe({"kind": kind}, seconds)
        else:
            metrics.jobs.inc({"kind": kind})

    def _check_rights(self, request: web.Request) -> Rights:
        settings = self._parts.read_settings()
        return require_rights(settings, request.headers.get("Authorization"))

    async def serve_request(self, request: web.Request) -> web.StreamResponse:
        """Answer one short request."""
        rights = self._check_rights(request)
        attempt = _read_attempt(request)
        body = decode_body(await _read_body(request), RequestBody)
        settings = self._parts.read_settings()
        caller = find_caller(settings, rights, body.team, body.job_class, Kind.REQUEST)
        request_id = _read_request_id(request)
        check_request_id(request_id, caller.job_class.idempotent)
        order = self._make_order(caller, body, request_id)
        seconds = check_deadline(body.deadline_seconds, caller.job_class)
        queued = _make_queued_request(caller, order, seconds)
        answer = await self._parts.dispatcher.answer(order, queued, attempt)
        return web.Response(
            body=answer.body, headers={"X-Request-Id": order.request_id}
        )

    def _make_order(
        self, caller: Caller, body: RequestBody, request_id: str
    ) -> RequestOrder:
        """Return the order to send to a target."""
        return RequestOrder(
            request_id=request_id or f"{self._ids.getrandbits(64):016x}",
            organisation=caller.team.organisation,
            job_class=caller.job_class.name,
            idempotent=caller.job_class.idempotent,
            expected_seconds=caller.job_class.expected_seconds,
            body=body.body.encode(),
        )

    async def submit_job(self, request: web.Request) -> web.StreamResponse:
        """Accept one gang job; it is stored durably before the answer."""
        rights = self._check_rights(request)
        data = await _read_body(request)
        body = decode_body(data, JobBody)
        settings = self._parts.read_settings()
        caller = find_caller(settings, rights, body.team, body.job_class, Kind.GANG)
        request_id = _read_request_id(request)
        check_request_id(request_id, caller.job_class.idempotent)
        shape = check_job(body, caller)
        summaries = self._parts.cells.list_summaries(caller.team.organisation, shape)
        cell = choose_cell(summaries, shape)
        if cell is None:
            raise Failure(
                ErrorKind.NEVER_FITS,
                f"no cell fits {shape.accelerators} in one {shape.adjacency.value}",
            )
        spec = make_spec(body, caller, cell, shape)
        fingerprint = compute_fingerprint(body.job_class, data)
        job_id = await self._parts.submissions.submit(
            Submission(spec, request_id, fingerprint)
        )
        self._parts.cells.note_handed(cell, shape.accelerators)
        return answer_json({"job_id": job_id}, 202)

    async def _find_job(self, request: web.Request) -> JobRecord:
        rights = self._check_rights(request)
        record = await self._parts.submissions.find(request.match_info["id"])
        if not rights.may_see(record.spec.organisation, record.spec.team):
            raise Failure(ErrorKind.NOT_FOUND, f"no job {request.match_info['id']}")
        return record

    async def show_job(self, request: web.Request) -> web.StreamResponse:
        """Show a job's state and its history of decisions."""
        return answer_json(await self._find_job(request))

    async def cancel_job(self, request: web.Request) -> web.StreamResponse:
        """Request a job's cancellation."""
        record = await self._find_job(request)
        cancelled = await self._parts.submissions.cancel(record.spec.job_id)
        return answer_json(cancelled)


def _make_queued_request(
    caller: Caller, order: RequestOrder, seconds: float
) -> QueuedRequest:
    """Return the queue's record of a request."""
    now = read_clock()
    return QueuedRequest(
        # Two organisations may choose the same id.
        request_id=f"{order.organisation}/{order.request_id}",
        organisation=order.organisation,
        team=caller.team.name,
        job_class=order.job_class,
        urgency=caller.job_class.urgency,
        idempotent=order.idempotent,
        arrived_at=now,
        deadline=now + seconds,
        expected_seconds=order.expected_seconds,
    )


def _log_refusal(failure: Failure, request_id: str) -> None:
    _log.info(
        "refused",
        request_id=request_id,
        kind=failure.kind.value,
        ran=failure.answer.ran.value,
        detail=failure.detail,
    )

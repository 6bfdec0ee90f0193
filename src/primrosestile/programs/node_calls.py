"""The HTTP interface of a node for callers."""

import asyncio
import math
from collections.abc import Callable

import structlog
from aiohttp import web

from primrosestile.clock import read_clock, read_wall_clock
from primrosestile.coordination.work.job_submissions import JobSubmissions
from primrosestile.coordination.work.outage_scope import OutageScope
from primrosestile.coordination.work.policy_watch import PolicyWatch
from primrosestile.errors import ErrorKind, Failure
from primrosestile.platform.callers import (
    DEADLINE_HEADER,
    KEY_SCHEME,
    is_job_id,
    make_pending_body,
    make_refusal_body,
    make_state_body,
    read_submission,
)
from primrosestile.programs.metrics import Metrics
from primrosestile.state.load import LoadSummary, encode_load
from primrosestile.state.policy import Policy, Queue
from primrosestile.state.work import Submission
from primrosestile.transport.load_views import LOAD_VIEW_PATH
from primrosestile.transport.owner_views import OWNER_VIEW_PATH, STOPPED_STATUS
from primrosestile.transport.store_views import CHECK_SECONDS, STORE_VIEW_PATH

# An answer is sent this long before the caller's deadline, because it is useless once
# the caller has disconnected. Of a shorter deadline than twice this, half is kept.
ANSWER_MARGIN_SECONDS = 0.15
# Maximum duration of a call, also the default where the caller gave no deadline.
MAX_CALL_SECONDS = 3.0
# How long calls wait for the policy once it is not recent, unless the store is known to
# be away. A store that is sixty times slower than usual answers within 0.3 s.
POLICY_WAIT_SECONDS = 0.5
# Kept of a caller's time for asking other VMs, which takes up to 0.25 s.
SCOPE_SECONDS = 0.3

# Kinds of refusals under load; their callers are told the reason.
_EXPLAINED = {ErrorKind.NO_WORKER_FITS, ErrorKind.OVERLOADED, ErrorKind.OVER_QUOTA}

_log = structlog.get_logger()


class CallerCalls:
    """Answers callers.

    Attributes:
        leaving: The process is shutting down: its readiness is off, and connections
            are closed after their answers, as whenever it is not ready.
    """

    def __init__(
        self,
        submissions: JobSubmissions,
        policies: PolicyWatch,
        scope: OutageScope,
        metrics: Metrics,
        find_load: Callable[[], LoadSummary | None] = lambda: None,
        extends_leases: Callable[[], bool] = lambda: True,
    ) -> None:
        self._metrics = metrics
        self._scope = scope
        self._find_load = find_load
        self._extends_leases = extends_leases
        self._submissions = submissions
        self._policies = policies
        self._not_recent_since: float | None = None
        self.leaving = False

    @property
    def _ready(self) -> bool:
        return self._policies.recent and not self.leaving

    async def answer_ready(self, request: web.BaseRequest) -> web.Response:
        """Answer the balancer's readiness check."""
        return web.Response(status=200 if self._ready else 503)

    async def answer_peer(self, request: web.BaseRequest) -> web.Response:
        """Answer another process of ours.

        It asks whether this one serves callers or may extend workers' leases, or for
        the owner's load summary.
        """
        if request.path == OWNER_VIEW_PATH:
            return web.Response(
                status=200 if self._extends_leases() else STOPPED_STATUS
            )
        if request.path == LOAD_VIEW_PATH:
            summary = self._find_load()
            if summary is None:
                return web.Response(status=404)
            return web.Response(body=encode_load(summary))
        if request.path != STORE_VIEW_PATH:
            return web.Response(status=404)
        serves = await self._can_serve()
        return web.Response(status=200 if serves else 503)

    async def _can_serve(self) -> bool:
        """Whether the policy is recent and the store answers a read that is sent now.

        A recent policy alone doesn't show that the store still answers.
        """
        if not self._policies.recent:
            return False
        if self._policies.age < CHECK_SECONDS:
            return True
        try:
            await self._submissions.check_store(CHECK_SECONDS)
        except Failure:
            return False
        return True

    async def answer(self, request: web.BaseRequest) -> web.Response:
        """Answer one call within its caller's deadline, also when it fails."""
        began = read_clock()
        until = began + _find_limit(_read_deadline(request))
        await self._await_policy(until - SCOPE_SECONDS)
        try:
            async with asyncio.timeout_at(until):
                response = await self._dispatch(request)
        except Failure as failure:
            if await self._is_served_elsewhere(failure, until):
                # Callers that share a read share its failure, which stays unchanged.
                failure = Failure(failure.kind, failure.detail, retry_after=0.0)
            response = _answer_failure(request, failure, began)
        except TimeoutError:
            late = Failure(ErrorKind.DEADLINE_UNKNOWN, "no outcome in time")
            response = _answer_failure(request, late, began)
        except (ConnectionError, asyncio.CancelledError):
            raise
        except Exception:
            _log.exception("call_failed", method=request.method, path=request.path)
            fault = Failure(ErrorKind.INTERNAL, "an unexpected error")
            response = _answer_failure(request, fault, began)
        if not self._ready:
            # The balancer sends the caller's next connection to another VM.
            response.force_close()
        labels = {"method": request.method, "status": str(response.status)}
        self._metrics.requests.inc(labels)
        self._metrics.seconds.observe({"method": request.method}, read_clock() - began)
        return response

    async def _await_policy(self, until: float) -> None:
        """Wait for a policy that is being read, as after a start or a suspension.

        The time for that begins with the first call that finds no recent policy, so
        that callers are refused at once while the policy takes long to arrive.
        """
        if self._policies.recent:
            self._not_recent_since = None
            return
        if self._not_recent_since is None:
            self._not_recent_since = read_clock()
        until = min(until, self._not_recent_since + POLICY_WAIT_SECONDS)
        await self._policies.wait_for_proof(until - read_clock())

    async def _is_served_elsewhere(self, failure: Failure, until: float) -> bool:
        """Whether a caller's next attempt, which reaches another VM, can succeed."""
        away = failure.kind is ErrorKind.STORE_UNAVAILABLE
        return away and await self._scope.is_own(until, self._policies.age)

    async def _dispatch(self, request: web.BaseRequest) -> web.Response:
        policy = self._policies.require()
        queue = _find_queue(policy, request)
        organisation = _find_organisation(policy, queue, request)
        rest = request.path[len(queue.prefix) :]
        if request.method == "GET" and not rest:
            return await self._answer_pending(queue)
        if not is_job_id(rest):
            raise Failure(ErrorKind.NOT_FOUND, "the path does not end in a job id")
        if request.method == "POST":
            return await self._submit(request, rest)
        if request.method == "GET":
            return await self._answer_state(rest, queue)
        if request.method == "DELETE":
            return await self._cancel(rest, queue, organisation)
        raise Failure(ErrorKind.METHOD_UNKNOWN, request.method)

    async def _submit(self, request: web.BaseRequest, job_id: str) -> web.Response:
        policy = self._policies.require()
        body = await _read_body(request, policy.limits.body_bytes)
        accepted_at = read_wall_clock()
        began = read_clock()

        def make(policy: Policy) -> Submission:
            queue = _find_queue(policy, request)
            organisation = _find_organisation(policy, queue, request)
            return read_submission(body, job_id, queue, organisation, accepted_at)

        submission = await self._submissions.submit(job_id, make)
        _log.info(
            "job_accepted",
            job_id=job_id,
            queue=submission.queue,
            organisation=submission.organisation,
            seconds=round(read_clock() - began, 3),
            policy_age=round(self._policies.age, 3),
        )
        return web.Response(status=200)

    async def _answer_state(self, job_id: str, queue: Queue) -> web.Response:
        state = await self._submissions.read_state(job_id, queue)
        if state is None:
            return web.Response(status=410)
        return web.Response(
            body=make_state_body(state), content_type="application/json"
        )

    async def _cancel(
        self, job_id: str, queue: Queue, organisation: str
    ) -> web.Response:
        known = await self._submissions.cancel(job_id, queue, organisation)
        _log.info("cancel_accepted", job_id=job_id, known=known)
        return web.Response(status=200 if known else 410)

    async def _answer_pending(self, queue: Queue) -> web.Response:
        count = await self._submissions.count_pending(queue)
        return web.Response(
            body=make_pending_body(count), content_type="application/json"
        )


def _read_deadline(request: web.BaseRequest) -> float:
    """Return how many seconds the caller waits for an answer."""
    try:
        seconds = float(request.headers.get(DEADLINE_HEADER, "")) / 1000
    except ValueError:
        return MAX_CALL_SECONDS
    return seconds if math.isfinite(seconds) else MAX_CALL_SECONDS


def _find_limit(deadline: float) -> float:
    """Return after how many seconds a call must be answered, given its deadline."""
    deadline = max(0.0, min(deadline, MAX_CALL_SECONDS))
    return max(deadline / 2, deadline - ANSWER_MARGIN_SECONDS)


def _find_queue(policy: Policy, request: web.BaseRequest) -> Queue:
    host = request.headers.get("Host", "").partition(":")[0].lower()
    queue = policy.find_queue(host, request.path)
    if queue is None:
        raise Failure(ErrorKind.NOT_FOUND, "no queue for this host and path")
    return queue


def _find_organisation(policy: Policy, queue: Queue, request: web.BaseRequest) -> str:
    """Return the key's organisation; empty for a public queue without a key."""
    scheme, _, key = request.headers.get("Authorization", "").partition(" ")
    organisation = None
    if scheme == KEY_SCHEME:
        organisation = policy.keys.get(key.strip())
    if organisation is None and not queue.public:
        raise Failure(ErrorKind.UNAUTHENTICATED, "the key is missing or unknown")
    return organisation or ""


async def _read_body(request: web.BaseRequest, limit: int) -> bytes:
    if (request.content_length or 0) > limit:
        raise Failure(ErrorKind.TOO_LARGE, f"a body has at most {limit} bytes")
    body = bytearray()
    async for chunk in request.content.iter_any():
        body += chunk
        if len(body) > limit:
            raise Failure(ErrorKind.TOO_LARGE, f"a body has at most {limit} bytes")
    return bytes(body)


def _answer_failure(
    request: web.BaseRequest, failure: Failure, began: float
) -> web.Response:
    answer = failure.answer
    _log.info(
        "call_refused",
        method=request.method,
        job_id=request.path.rpartition("/")[2],
        kind=failure.kind.value,
        detail=failure.detail,
        ran=answer.ran.value,
        status=answer.status,
        retry_after=failure.retry_delay,
        seconds=round(read_clock() - began, 3),
        deadline=round(_read_deadline(request), 3),
    )
    response = web.Response(status=answer.status)
    if failure.kind in _EXPLAINED:
        response.body = make_refusal_body(failure.detail)
        response.content_type = "application/json"
    if failure.retry_delay is not None:
        response.headers["Retry-After"] = str(math.ceil(failure.retry_delay))
    return response

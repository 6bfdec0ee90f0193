"""In-memory workers behind the messages of the control and request calls."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from typing import TypeVar

from aiohttp import web

from primrosestile.errors import Failure
from primrosestile.protocol.workers import RequestAnswer, RequestOrder
from primrosestile.state.decoding import decode_json
from primrosestile.transport import control
from primrosestile.transport.wire import encode_json
from primrosestile.transport.workers import REFUSED_STATUS
from primrosestile_standin.listener import cut_connection, hang
from primrosestile_standin.worker import MemoryWorker

BODY_LIMIT_BYTES = 16_000_000
T = TypeVar("T")
Handler = Callable[[web.Request, MemoryWorker], Awaitable[web.StreamResponse]]


class ServedWorkers:
    """The calls of workers that share one address."""

    def __init__(self, workers: Mapping[str, MemoryWorker]) -> None:
        self._workers = workers
        self._previous: dict[str, RequestAnswer] = {}

    def make_app(self) -> web.Application:
        """Return the application; a single worker is also served without a prefix."""
        app = web.Application(client_max_size=BODY_LIMIT_BYTES)
        for path, handler in self._list_calls():
            served = self._guard(handler)
            app.router.add_post("/workers/{name}" + path, served)
            app.router.add_post(path, served)
        return app

    def _list_calls(self) -> tuple[tuple[str, Handler], ...]:
        return (
            (control.REPORT_PATH, self._report),
            (control.RESERVE_PATH, self._reserve),
            (control.PREPARE_PATH, self._prepare),
            (control.GO_PATH, self._go),
            (control.RENEW_PATH, self._renew),
            (control.CHECKPOINT_PATH, self._checkpoint),
            (control.THROTTLE_PATH, self._throttle),
            (control.STOP_PATH, self._stop),
            (control.REQUESTS_PATH, self._run_request),
        )

    def _guard(
        self, handler: Handler
    ) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
        """Return a handler that applies the worker's faults to each call."""

        async def serve(request: web.Request) -> web.StreamResponse:
            worker = self._find_worker(request)
            if worker is None:
                return web.Response(status=404)
            if worker.faults.down:
                cut_connection(request)
                return web.Response(status=500)
            if worker.faults.frozen:
                return await hang()
            try:
                response = await handler(request, worker)
            except Failure as failure:
                refusal = control.Refusal(failure.kind.value, failure.detail)
                response = answer(refusal, REFUSED_STATUS)
            if worker.faults.late_seconds:
                await asyncio.sleep(worker.faults.late_seconds)
            if worker.faults.take_lost_answer():
                cut_connection(request)
            if worker.faults.frozen:
                return await hang()
            return response

        return serve

    def _find_worker(self, request: web.Request) -> MemoryWorker | None:
        name = request.match_info.get("name")
        if name is not None:
            return self._workers.get(name)
        if len(self._workers) == 1:
            return next(iter(self._workers.values()))
        return None

    async def _report(self, request: web.Request, worker: MemoryWorker) -> web.Response:
        call = await read_call(request, control.ReportCall)
        return answer(worker.report(call.epoch))

    async def _reserve(
        self, request: web.Request, worker: MemoryWorker
    ) -> web.Response:
        call = await read_call(request, control.OrderCall)
        worker.reserve(call.epoch, call.order)
        return answer(control.Done())

    async def _prepare(
        self, request: web.Request, worker: MemoryWorker
    ) -> web.Response:
        call = await read_call(request, control.OrderCall)
        worker.prepare(call.epoch, call.order)
        return answer(control.Done())

    async def _go(self, request: web.Request, worker: MemoryWorker) -> web.Response:
        call = await read_call(request, control.TaskCall)
        worker.go(call.epoch, call.task_id)
        return answer(control.Done())

    async def _renew(self, request: web.Request, worker: MemoryWorker) -> web.Response:
        call = await read_call(request, control.RenewCall)
        return answer(worker.renew(call.epoch, call.task_ids, call.lease_seconds))

    async def _checkpoint(
        self, request: web.Request, worker: MemoryWorker
    ) -> web.Response:
        call = await read_call(request, control.TaskCall)
        return answer(control.Saved(worker.checkpoint(call.epoch, call.task_id)))

    async def _throttle(
        self, request: web.Request, worker: MemoryWorker
    ) -> web.Response:
        call = await read_call(request, control.ThrottleCall)
        worker.throttle(call.epoch, call.task_id, call.share)
        return answer(control.Done())

    async def _stop(self, request: web.Request, worker: MemoryWorker) -> web.Response:
        call = await read_call(request, control.TaskCall)
        worker.stop(call.epoch, call.task_id)
        return answer(control.Done())

    async def _run_request(
        self, request: web.Request, worker: MemoryWorker
    ) -> web.StreamResponse:
        order = await read_order(request)
        own = await worker.run_request(order)
        previous = self._previous.get(worker.name, own)
        self._previous[worker.name] = own
        given = previous if worker.faults.crossed else own
        response = answer_request(given)
        if worker.faults.truncated:
            return await truncate(request, response)
        return response


async def read_call(request: web.Request, kind: type[T]) -> T:
    """Return the control call decoded from a request."""
    return decode_json(await request.read(), kind)


async def read_order(request: web.Request) -> RequestOrder:
    """Return the short request decoded from a call."""
    headers = request.headers
    return RequestOrder(
        headers[control.REQUEST_ID_HEADER],
        headers[control.ORGANISATION_HEADER],
        headers[control.JOB_CLASS_HEADER],
        headers[control.IDEMPOTENT_HEADER] == control.TRUE,
        float(headers[control.EXPECTED_SECONDS_HEADER]),
        await request.read(),
    )


def answer(value: object, status: int = 200) -> web.Response:
    """Return an answer to a control call."""
    return web.Response(
        status=status, body=encode_json(value), content_type="application/json"
    )


def answer_request(given: RequestAnswer) -> web.Response:
    """Return an answer to a short request."""
    headers = {
        control.REQUEST_ID_HEADER: given.request_id,
        control.RAN_HEADER: control.write_flag(given.ran),
        control.OK_HEADER: control.write_flag(given.ok),
        control.LEAVING_HEADER: control.write_flag(given.leaving),
    }
    return web.Response(body=given.body, headers=headers)


async def truncate(request: web.Request, response: web.Response) -> web.StreamResponse:
    """Send half of an answer with its full length stated, then close the connection."""
    body = response.body if isinstance(response.body, bytes) else b""
    short = web.StreamResponse(headers=response.headers)
    short.content_length = len(body)
    await short.prepare(request)
    await short.write(body[: len(body) // 2])
    if request.transport is not None:
        request.transport.close()
    return short

"""The in-memory store behind the etcd v3 JSON gateway's messages."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from typing import Any, TypeVar

from aiohttp import web

from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.store import Change, Page, SwapResult
from primrosestile.state.decoding import decode_json
from primrosestile.transport import gateway
from primrosestile.transport.wire import encode_json
from primrosestile_standin.listener import cut_connection, is_silent
from primrosestile_standin.store import MemoryStore, find_end

PROGRESS_SECONDS = 1.0
BODY_LIMIT_BYTES = 4_000_000
NO_LIMIT = 1_000_000
T = TypeVar("T")

_REFUSALS = {
    ErrorKind.TOO_LARGE: (400, gateway.CODE_INVALID_ARGUMENT, "request is too large"),
    ErrorKind.NOT_FOUND: (404, gateway.CODE_NOT_FOUND, "requested lease not found"),
}


def make_store_app(store: MemoryStore) -> web.Application:
    """Return an application that serves a store."""
    served = _ServedStore(store)
    app = web.Application(
        client_max_size=BODY_LIMIT_BYTES, middlewares=[answer_failures]
    )
    app.router.add_post(gateway.RANGE_PATH, served.read_range)
    app.router.add_post(gateway.TXN_PATH, served.run_txn)
    app.router.add_post(gateway.GRANT_PATH, served.grant_lease)
    app.router.add_post(gateway.KEEPALIVE_PATH, served.keep_lease)
    app.router.add_post(gateway.REVOKE_PATH, served.revoke_lease)
    app.router.add_post(gateway.WATCH_PATH, served.watch)
    return app


@web.middleware
async def answer_failures(
    request: web.Request,
    handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
) -> web.StreamResponse:
    """Answer a refusal as the gateway does; abort the connection on other failures."""
    try:
        return await handler(request)
    except Failure as failure:
        refusal = _REFUSALS.get(failure.kind)
        if refusal is None:
            cut_connection(request)
            return web.Response(status=500)
        status, code, message = refusal
        body = encode_json(gateway.GatewayError(code, message))
        return web.Response(status=status, body=body)


class _ServedStore:
    """The gateway's calls, forwarded to the in-memory store."""

    def __init__(self, store: MemoryStore) -> None:
        self._store = store
        self._writing: set[asyncio.Task[Any]] = set()

    async def read_range(self, request: web.Request) -> web.Response:
        form = await read_form(request, gateway.RangeRequest)
        start = form.key.decode()
        if not form.range_end:
            found = await self._store.get(start)
            page = Page((found,) if found else (), self._store.revision)
        else:
            limit = int(form.limit) or NO_LIMIT
            page = await self._store.read_range(start, read_end(form.range_end), limit)
        kvs = tuple(gateway.write_entry(entry) for entry in page.entries)
        header = gateway.Header(str(page.revision))
        return answer_form(gateway.RangeResponse(header, kvs, page.more))

    async def run_txn(self, request: web.Request) -> web.Response:
        form = await read_form(request, gateway.TxnRequest)
        compare, operation = form.compare[0], form.success[0]
        key, expected = compare.key.decode(), int(compare.mod_revision)
        put = operation.request_put
        if put is not None:
            writing = self._store.put(key, put.value, expected, int(put.lease))
        else:
            writing = self._store.delete(key, expected)
        return answer_form(write_swap(await self._finish(writing)))

    async def grant_lease(self, request: web.Request) -> web.Response:
        form = await read_form(request, gateway.GrantRequest)
        lease = await self._finish(self._store.grant_lease(int(form.TTL)))
        return answer_form(gateway.LeaseResponse(str(lease), form.TTL))

    async def keep_lease(self, request: web.Request) -> web.Response:
        form = await read_form(request, gateway.LeaseRequest)
        held = await self._finish(self._store.keep_lease(int(form.ID)))
        left = gateway.LeaseResponse(form.ID, "1" if held else "0")
        return answer_form(gateway.KeepaliveResponse(left))

    async def revoke_lease(self, request: web.Request) -> web.Response:
        form = await read_form(request, gateway.LeaseRequest)
        await self._finish(self._store.revoke_lease(int(form.ID)))
        return answer_form(gateway.LeaseResponse())

    async def watch(self, request: web.Request) -> web.StreamResponse:
        create = (await read_form(request, gateway.WatchRequest)).create_request
        response = web.StreamResponse()
        await response.prepare(request)
        created = gateway.WatchResult(self._make_header(), created=True)
        await write_line(response, created)
        changes = self._store.watch_range(
            create.key.decode(),
            read_end(create.range_end),
            int(create.start_revision),
        )
        with contextlib.suppress(ConnectionError):
            await self._stream(request, response, changes)
        cut_connection(request)
        return response

    async def _stream(
        self,
        request: web.Request,
        response: web.StreamResponse,
        changes: AsyncIterator[tuple[Change, ...]],
    ) -> None:
        upcoming = asyncio.ensure_future(anext(changes))
        try:
            while request.transport is not None:
                await asyncio.wait({upcoming}, timeout=PROGRESS_SECONDS)
                if self._store.faults.silent_watches or is_silent(request):
                    continue
                events: tuple[gateway.Event, ...] = ()
                if upcoming.done():
                    events = tuple(write_change(each) for each in upcoming.result())
                    upcoming = asyncio.ensure_future(anext(changes))
                result = gateway.WatchResult(self._make_header(), events=events)
                await write_line(response, result)
        except Failure:
            return
        finally:
            upcoming.cancel()

    async def _finish(self, writing: Coroutine[Any, Any, T]) -> T:
        """Complete a write even if its caller disconnects."""
        task = asyncio.get_running_loop().create_task(writing)
        self._writing.add(task)
        task.add_done_callback(self._writing.discard)
        return await asyncio.shield(task)

    def _make_header(self) -> gateway.Header:
        return gateway.Header(str(self._store.revision))


async def read_form(request: web.Request, kind: type[T]) -> T:
    """Return the decoded body of a request."""
    return decode_json(await request.read(), kind)


def read_end(range_end: bytes) -> str:
    """Return the first key after a range; a zero byte means no end."""
    if range_end == b"\0":
        return find_end("")
    return range_end.decode(errors="surrogateescape")


def answer_form(form: object) -> web.Response:
    """Return an answer with an encoded body."""
    return web.Response(body=encode_json(form), content_type="application/json")


async def write_line(response: web.StreamResponse, result: gateway.WatchResult) -> None:
    """Send one line of a watch's stream."""
    await response.write(encode_json(gateway.WatchResponse(result)) + b"\n")


def write_swap(swap: SwapResult) -> gateway.TxnResponse:
    """Return the gateway's message for the result of a compare-and-swap."""
    header = gateway.Header(str(swap.revision))
    if swap.done:
        return gateway.TxnResponse(header, True)
    kvs = (gateway.write_entry(swap.current),) if swap.current else ()
    read = gateway.Outcome(gateway.RangeResponse(header, kvs))
    return gateway.TxnResponse(header, False, (read,))


def write_change(change: Change) -> gateway.Event:
    """Return the gateway's message for one change."""
    if change.entry is not None:
        return gateway.Event(gateway.write_entry(change.entry))
    removed = gateway.KeyValue(change.key.encode(), mod_revision=str(change.revision))
    return gateway.Event(removed, "DELETE")

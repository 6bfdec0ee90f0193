"""The stand-in of the users' platform over HTTP, in the platform's wire format.

The in-memory cores (`fleet_store`, `fleet_worker`) implement the behaviour; this
module decodes and encodes bodies. One listener serves the store and another all
workers, which a call selects by the incarnation that it expects.
"""

import base64
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from aiohttp import web

from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.fleet import OrderAnswer, PollAnswer, Refusal, StartOrder
from primrosestile.protocol.store import Change, Entry
from primrosestile.protocol.transactions import Condition, Write
from primrosestile.state.decoding import decode_json
from primrosestile.state.workers import WorkerEntry
from primrosestile_standin.fleet_calls import FleetCalls
from primrosestile_standin.fleet_store import FleetStore
from primrosestile_standin.fleet_worker import Fleet

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
WorkerHandler = Callable[[WorkerEntry, Any], Awaitable[web.StreamResponse]]

_STATUSES = {
    Refusal.OTHER_INCARNATION: 421,
    Refusal.UNHEALTHY: 503,
    Refusal.MALFORMED: 400,
}


def answer(value: Any, status: int = 200) -> web.Response:
    """Return an answer with a JSON body."""
    body = msgspec.json.encode(value)
    return web.Response(body=body, status=status, content_type="application/json")


def show_entry(entry: Entry) -> dict[str, Any]:
    """Return an entry in the store's wire format."""
    return {
        "key": entry.key,
        "value": base64.b64encode(entry.value).decode(),
        "revision": entry.mod_revision,
        "created": entry.create_revision,
        "lease": entry.lease,
    }


def show_change(change: Change) -> dict[str, Any]:
    """Return a change in the wire format of a watch."""
    if change.entry is not None:
        return show_entry(change.entry)
    return {"key": change.key, "revision": change.revision, "deleted": True}


class StoreServer:
    """The store's calls. Faults identify a caller by its address."""

    def __init__(self, store: FleetStore) -> None:
        self._store = store

    def make_app(self) -> web.Application:
        """Return the application that serves the store."""
        app = web.Application()
        app.router.add_get("/v1/kv-key", self._guard(self._get))
        app.router.add_get("/v1/kv-range", self._guard(self._list))
        app.router.add_get("/v1/kv-watch", self._guard(self._watch))
        app.router.add_post("/v1/kv-txn", self._guard(self._commit))
        app.router.add_post("/v1/kv-lease", self._guard(self._grant))
        app.router.add_post("/v1/kv-keep/{lease}", self._guard(self._keep))
        return app

    def _guard(self, handler: Handler) -> Handler:
        """Answer 503 for a refused call; close the connection for a lost answer."""

        async def call(request: web.Request) -> web.StreamResponse:
            try:
                return await handler(request)
            except Failure as failure:
                if failure.kind is ErrorKind.NOT_FOUND:
                    return web.Response(status=404)
                lost = failure.kind is ErrorKind.STORE_ANSWER_LOST
                if lost and request.transport is not None:
                    request.transport.close()
                return web.Response(status=503)

        return call

    def _connect(self, request: web.Request) -> Any:
        return self._store.connect(request.remote or "")

    async def _get(self, request: web.Request) -> web.Response:
        entry = await self._connect(request).get(request.query["key"])
        if entry is None:
            return web.Response(status=404)
        return answer({**show_entry(entry), "store_revision": self._store.revision})

    async def _list(self, request: web.Request) -> web.Response:
        page = await self._connect(request).list(
            request.query["prefix"], request.query.get("after", "")
        )
        return answer(
            {
                "items": [show_entry(entry) for entry in page.entries],
                "has_more": page.more,
                "store_revision": page.revision,
            }
        )

    async def _watch(self, request: web.Request) -> web.Response:
        batch = await self._connect(request).watch_once(
            request.query["prefix"],
            int(request.query["after"]),
            int(request.query["wait_ms"]) / 1000,
        )
        if not batch.complete:
            return web.Response(status=410)
        return answer(
            {
                "events": [show_change(each) for each in batch.changes],
                "store_revision": batch.revision,
            }
        )

    async def _commit(self, request: web.Request) -> web.Response:
        body = decode_json(await request.read())
        conditions = [
            Condition(each["key"], each["revision"]) for each in body["precondition"]
        ]
        writes = [
            Write(each["key"], base64.b64decode(each["value"]), each.get("lease", 0))
            for each in body["writes"]
        ]
        done = await self._connect(request).commit(conditions, writes, body["remove"])
        if done.done:
            return answer({"revision": done.revision})
        return answer({"items": [show_entry(entry) for entry in done.found]}, 412)

    async def _grant(self, request: web.Request) -> web.Response:
        body = decode_json(await request.read())
        lease = await self._connect(request).grant_lease(body["ttl_ms"] / 1000)
        return answer({"lease": lease, "ttl_ms": body["ttl_ms"]})

    async def _keep(self, request: web.Request) -> web.Response:
        alive = await self._connect(request).keep_lease(
            int(request.match_info["lease"])
        )
        return answer({"ttl_ms": 0}) if alive else web.Response(status=404)


class AdviceServer:
    """The advice service's call; a failure is answered with 429."""

    def __init__(self, fleet: Fleet) -> None:
        self._advice = fleet.advice

    def make_app(self) -> web.Application:
        """Return the application that serves advice."""
        app = web.Application()
        app.router.add_post("/v1/advise", self._advise)
        return app

    async def _advise(self, request: web.Request) -> web.Response:
        body = decode_json(await request.read())
        try:
            advice = await self._advice.ask(body["step"], tuple(body["workers"]), 0.0)
        except Failure:
            return web.Response(status=429)
        return answer({"good": [[each.worker, each.ticket] for each in advice.allowed]})


class WorkersServer:
    """The calls of all workers, on one listener."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._calls = FleetCalls(fleet)

    def make_app(self) -> web.Application:
        """Return the application that serves the workers."""
        app = web.Application()
        app.router.add_post("/v1/hold", self._guard(self._hold))
        app.router.add_post("/v1/run-start", self._guard(self._start))
        app.router.add_post("/v1/run-stop", self._guard(self._stop))
        app.router.add_post("/v1/pace", self._guard(self._pace))
        return app

    def _guard(self, handler: WorkerHandler) -> Handler:
        """Find the expected incarnation; close the connection on a failure."""

        async def call(request: web.Request) -> web.StreamResponse:
            body = decode_json(await request.read())
            entry = self._find(request)
            if entry is None:
                return web.Response(status=421)
            try:
                return await handler(entry, body)
            except Failure:
                if request.transport is not None:
                    request.transport.close()
                return web.Response(status=503)

        return call

    def _find(self, request: web.Request) -> WorkerEntry | None:
        worker = self._fleet.workers.get(request.headers.get("Expect-Instance", ""))
        return None if worker is None else worker.entry

    async def _hold(self, entry: WorkerEntry, body: Any) -> web.Response:
        until = body.get("until_ms")
        poll = await self._calls.poll(
            entry,
            body["fence"],
            body["last_seen"],
            None if until is None else until / 1000,
            body.get("wait_ms", 0) / 1000,
        )
        if isinstance(poll, Refusal):
            return self._refuse(poll)
        assert isinstance(poll, PollAnswer), (
            "workers over HTTP have an id of each start"
        )
        running = [
            [row.task, row.run, row.checkpoint, row.percent, row.usage]
            for row in poll.running
        ]
        ended = [
            [row.number, row.task, row.run, row.kind, row.checkpoint]
            for row in poll.ended
        ]
        return answer(
            {"clock_ms": poll.clock * 1000, "running": running, "ended": ended}
        )

    async def _start(self, entry: WorkerEntry, body: Any) -> web.Response:
        order = StartOrder(
            body["task"],
            body["run"],
            body["spec"],
            body["until_ms"] / 1000,
            body.get("last_checkpoint", ""),
            body.get("ticket", ""),
        )
        return self._show(await self._calls.start(entry, body["fence"], order))

    async def _stop(self, entry: WorkerEntry, body: Any) -> web.Response:
        return self._show(
            await self._calls.stop(entry, body["fence"], body["task"], body["run"])
        )

    async def _pace(self, entry: WorkerEntry, body: Any) -> web.Response:
        return self._show(
            await self._calls.pace(
                entry, body["fence"], body["task"], body["run"], body["percent"]
            )
        )

    def _show(self, done: OrderAnswer) -> web.Response:
        if done.refusal is not None:
            return self._refuse(done.refusal)
        return answer({"clock_ms": done.clock * 1000})

    def _refuse(self, refusal: Refusal) -> web.Response:
        status = _STATUSES.get(refusal, 409)
        return answer({"clock_ms": 0, "reason": refusal.value}, status)

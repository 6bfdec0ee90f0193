"""A steward on loopback in its own thread, with the store in memory."""

import asyncio
import threading
from collections.abc import Coroutine
from typing import Any

import aiohttp
import msgspec
from aiohttp import web
from features.settings.doubles import make_loaded_store

from primrosestile.coordination.membership import Directory
from primrosestile.coordination.settings_follower import make_follower
from primrosestile.programs.steward_app import make_steward_app
from primrosestile.state.jobs import ProcessRecord
from primrosestile.transport.connections import Connections
from primrosestile_standin.store import MemoryStore

TIMEOUT_SECONDS = 60.0


class StewardWorld:
    """Runs a steward and sends it requests, until `close`."""

    def __init__(self, store: MemoryStore | None = None) -> None:
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.runners: list[web.AppRunner] = []
        self.store = store or self.run(make_loaded_store("domeworks"))
        self.token = ""
        self.status = 0
        self.answer: Any = None
        self.texts: list[str] = []
        self.run(self._start())

    def run(self, work: Coroutine[Any, Any, Any]) -> Any:
        return asyncio.run_coroutine_threadsafe(work, self.loop).result(TIMEOUT_SECONDS)

    async def _start(self) -> None:
        self.connections = Connections()
        self.follower = make_follower(self.store, "vm-1-steward")
        self.task = asyncio.create_task(self.follower.run())
        await self.follower.wait_for_first()
        self.directory = Directory(self.store)
        self.listing = asyncio.create_task(self.directory.run())
        app = make_steward_app(
            self.store, self.follower, self.directory.records, self.connections
        )
        self.address = await self.listen(app)

    async def listen(self, app: web.Application) -> str:
        runner = web.AppRunner(app)
        await runner.setup()
        self.runners.append(runner)
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        port = runner.addresses[0][1]
        return f"127.0.0.1:{port}"

    def call(self, method: str, path: str, body: bytes = b"", **headers: str) -> None:
        self.run(self._call(method, path, body, headers))

    async def _call(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> None:
        if self.token:
            headers = {"Authorization": f"Bearer {self.token}", **headers}
        url = f"http://{self.address}{path}"
        async with (
            aiohttp.ClientSession() as session,
            session.request(method, url, data=body, headers=headers) as response,
        ):
            text = await response.text()
        self.texts.append(text)
        self.status = response.status
        try:
            self.answer = msgspec.json.decode(text)
        except msgspec.DecodeError:
            self.answer = text

    def put(self, path: str, revision: int, value: Any) -> None:
        body = msgspec.json.encode({"revision": revision, "value": value})
        self.call("PUT", f"/v1/settings/{path}", body)

    def register(self, name: str, http: str, program: str = "entry") -> None:
        record = ProcessRecord(name, name[:4], program, "osborne", http, "")
        key = f"processes/{name}"
        self.run(self.store.put(key, msgspec.json.encode(record), 0))
        self.run(self._wait_for_record(name))

    async def _wait_for_record(self, name: str) -> None:
        listed = asyncio.Event()
        self.directory.on_change(listed.set)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while self.directory.find(name) is None:
                await listed.wait()
                listed.clear()

    def close(self) -> None:
        self.run(self._close())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()

    async def _close(self) -> None:
        self.task.cancel()
        self.listing.cancel()
        await asyncio.gather(self.task, self.listing, return_exceptions=True)
        await self.connections.close()
        for runner in self.runners:
            await runner.cleanup()

"""Stand-ins of the users' platform for the review's scripts, and its processes.

One process holds the metadata store, the workers, the clients and the record. The
system's own programs run beside it as separate processes, started with the command of
the deploy file. Everything listens on loopback addresses, on the real clock.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web

ROOT = Path(__file__).resolve().parent.parent
SERVICE = "engine"
HOST = "queue.example"
KEY = "key-of-tenant"
STORE_SECONDS = 0.004
HEARTBEAT_SECONDS = 1.5
MISSED_HEARTBEATS = 3
READY_SECONDS = 20.0
CALL_SECONDS = 3.0
FRONT_PORT, READY_PORT, CONTROL_PORT = 8521, 8523, 8526
QUEUES = {"urgent": 0, "usual": 1, "patient": 2}


class CannotRunError(Exception):
    """The case could not be brought about; its verdict is unknown."""


class Record:
    """What was sent, answered and run, in the order in which it was seen."""

    def __init__(self, path: Path) -> None:
        self._began = time.monotonic()
        self._file = path.open("w")

    def now(self) -> float:
        """Return the seconds since the script began."""
        return time.monotonic() - self._began

    def note(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


async def listen(app: web.Application, host: str = "127.0.0.1") -> tuple[Any, int]:
    """Serve an application on a free port; return its runner and the port."""
    runner = web.AppRunner(app, shutdown_timeout=0.1, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, host, 0)
    await site.start()
    return runner, int(runner.addresses[0][1])


@dataclass
class Item:
    """One item of the store."""

    key: str
    value: str
    revision: int
    created: int
    lease: int

    def show(self) -> dict[str, Any]:
        """Return it as the store's answers hold it."""
        return {
            "key": self.key,
            "value": self.value,
            "revision": self.revision,
            "created": self.created,
            "lease": self.lease,
        }


class Store:
    """The platform's metadata store: linearizable, and it loses nothing."""

    def __init__(self) -> None:
        self.revision = 10
        self.items: dict[str, Item] = {}
        self._history: list[dict[str, Any]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 100
        self._changed = asyncio.Event()

    def make_app(self) -> web.Application:
        """Return the application that serves the store's calls."""
        app = web.Application(client_max_size=4_000_000)
        app.router.add_get("/v1/kv-key", self._get)
        app.router.add_get("/v1/kv-range", self._range)
        app.router.add_get("/v1/kv-watch", self._watch)
        app.router.add_post("/v1/kv-txn", self._change)
        app.router.add_post("/v1/kv-lease", self._grant)
        app.router.add_post("/v1/kv-keep/{lease}", self._keep)
        app.router.add_delete("/v1/kv-lease-end/{lease}", self._end)
        return app

    def put(self, key: str, value: Any) -> None:
        """Write a JSON value, as operators and workers do."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self._apply([{"key": key, "value": text}], [])

    def remove(self, key: str) -> None:
        """Remove a key, as when a worker's entry lapses."""
        if key in self.items:
            self._apply([], [key])

    def read_owner(self) -> str:
        """Return the decoded value of the key that names the owner, for the script."""
        self._expire()
        item = self.items.get("owner")
        return "" if item is None else base64.b64decode(item.value).decode("latin-1")

    def _apply(self, writes: list[dict[str, Any]], removals: list[str]) -> int:
        self.revision += 1
        for each in writes:
            before = self.items.get(each["key"])
            created = before.created if before else self.revision
            item = Item(
                each["key"],
                each["value"],
                self.revision,
                created,
                each.get("lease") or 0,
            )
            self.items[item.key] = item
            self._history.append(item.show())
        for key in removals:
            if self.items.pop(key, None) is not None:
                row = {"key": key, "revision": self.revision, "deleted": True}
                self._history.append(row)
        self._changed.set()
        self._changed = asyncio.Event()
        return self.revision

    def _expire(self) -> None:
        now = time.monotonic()
        over = {n for n, (until, _) in self._leases.items() if until <= now}
        for number in over:
            del self._leases[number]
        keys = [item.key for item in self.items.values() if item.lease in over]
        if over and keys:
            self._apply([], keys)

    async def _enter(self) -> None:
        await asyncio.sleep(STORE_SECONDS)
        self._expire()

    async def _get(self, request: web.Request) -> web.Response:
        await self._enter()
        item = self.items.get(request.query["key"])
        if item is None:
            return web.json_response({"store_revision": self.revision}, status=404)
        return web.json_response({**item.show(), "store_revision": self.revision})

    async def _range(self, request: web.Request) -> web.Response:
        await self._enter()
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        rows = [self.items[key].show() for key in keys[:500]]
        body = {"items": rows, "has_more": len(keys) > 500}
        return web.json_response({**body, "store_revision": self.revision})

    async def _watch(self, request: web.Request) -> web.Response:
        prefix, after = request.query["prefix"], int(request.query["after"])
        until = time.monotonic() + int(request.query["wait_ms"]) / 1000
        await self._enter()
        while True:
            self._expire()
            rows = [
                row
                for row in self._history
                if row["revision"] > after and row["key"].startswith(prefix)
            ]
            left = until - time.monotonic()
            if rows or left <= 0:
                body = {"events": rows, "store_revision": self.revision}
                return web.json_response(body)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), min(left, 0.05))

    async def _change(self, request: web.Request) -> web.Response:
        body = json.loads(await request.read())
        await self._enter()
        conditions = body.get("precondition") or []
        found = [self.items.get(each["key"]) for each in conditions]
        holds = all(
            (item.revision if item else 0) == each["revision"]
            for item, each in zip(found, conditions, strict=True)
        )
        if not holds:
            rows = [item.show() for item in found if item]
            return web.json_response({"items": rows}, status=412)
        writes, removals = body.get("writes") or [], body.get("remove") or []
        if any(w.get("lease") and w["lease"] not in self._leases for w in writes):
            return web.json_response({}, status=404)
        if not writes and not removals:
            return web.json_response({"revision": self.revision})
        return web.json_response({"revision": self._apply(writes, removals)})

    async def _grant(self, request: web.Request) -> web.Response:
        seconds = json.loads(await request.read())["ttl_ms"] / 1000
        await self._enter()
        self._next_lease += 1
        self._leases[self._next_lease] = (time.monotonic() + seconds, seconds)
        body = {"lease": self._next_lease, "ttl_ms": int(seconds * 1000)}
        return web.json_response(body)

    async def _keep(self, request: web.Request) -> web.Response:
        await self._enter()
        number = int(request.match_info["lease"])
        if number not in self._leases:
            return web.json_response({}, status=404)
        seconds = self._leases[number][1]
        self._leases[number] = (time.monotonic() + seconds, seconds)
        return web.json_response({"ttl_ms": int(seconds * 1000)})

    async def _end(self, request: web.Request) -> web.Response:
        await self._enter()
        self._leases.pop(int(request.match_info["lease"]), None)
        self._expire()
        return web.json_response({})


@dataclass
class Run:
    """One run of a task on a worker."""

    task: str
    run: int
    began: float
    timer: asyncio.TimerHandle | None = None
    stopping: bool = False


@dataclass
class End:
    """One end that a worker lists until it is acknowledged.

    Attributes:
        noted: Whether `last_seen` has reached it while its lease had not lapsed.
    """

    number: int
    task: str
    run: int
    how: str
    at: float
    lapsed: bool = False
    noted: bool = False


class Worker:
    """One worker behind one address; it may crash and start again there.

    Attributes:
        ends: All ends of the present life, acknowledged or not.
        born: Unix milliseconds of the start of the present life.
    """

    def __init__(self, platform: "Platform", number: int, kind: str = "a") -> None:
        self._platform = platform
        self.machine = number
        self.kind = kind
        self.life = 0
        self.name = ""
        self.address = ""
        self.up = False
        self.cut = False
        self._runner: Any = None
        self._begin_life()

    def _begin_life(self) -> None:
        platform = self._platform
        if not (self.name and platform.same_ids):
            self.name = f"i-{random.getrandbits(32):08x}"
        self.life += 1
        self.born = int(time.time() * 1000)
        self._epoch = time.monotonic() - random.uniform(5, 50)
        self.fence = 0
        self._until = 0.0
        self._seq = 0
        self.runs: dict[str, Run] = {}
        self._barred: dict[str, int] = {}
        self.ends: list[End] = []
        self._acknowledged = 0
        self._ended = asyncio.Event()
        self._last_beat = -100.0
        self._leaves_at: float | None = None

    async def start(self) -> None:
        """Listen, and register with the next heartbeat."""
        app = web.Application()
        app.router.add_post("/v1/hold", self._guard(self._hold))
        app.router.add_post("/v1/run-start", self._guard(self._start))
        app.router.add_post("/v1/run-stop", self._guard(self._stop))
        app.router.add_post("/v1/pace", self._guard(self._pace))
        port = int(self.address.rpartition(":")[2]) if self.address else 0
        self._runner = web.AppRunner(app, shutdown_timeout=0.01, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", port, reuse_address=True).start()
        self.address = f"127.0.0.1:{self._runner.addresses[0][1]}"
        self.up = True
        self._platform.record.note(f"worker {self.name} life {self.life} is up")

    async def crash(self) -> None:
        """Lose everything that runs; nothing listens any more."""
        self.up = False
        tasks = list(self.runs)
        self._platform.record.note(f"worker {self.name} crashes with {tasks}")
        for run in self.runs.values():
            if run.timer:
                run.timer.cancel()
        self.runs.clear()
        self._ended.set()
        await self._runner.cleanup()

    async def leave(self, notice: float) -> None:
        """Announce that the worker leaves, and leave with all that runs there."""
        self._leaves_at = time.monotonic() + notice
        self._platform.store.put(f"servers/{self.name}", self._make_entry())
        self._platform.record.note(f"worker {self.name} leaves in {notice:g} s")
        await asyncio.sleep(notice)
        await self.crash()
        self._platform.store.remove(f"servers/{self.name}")

    async def restart(self) -> None:
        """Begin a new life at the same address."""
        self._begin_life()
        await self.start()

    async def beat(self) -> None:
        """Write the entry at each heartbeat while up and not cut off."""
        while True:
            if self.up and not self.cut:
                self._seq += 1
                self._last_beat = time.monotonic()
                self._platform.store.put(f"servers/{self.name}", self._make_entry())
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def drop_lapsed_entry(self) -> None:
        """Remove the entry after three heartbeats of silence."""
        silent = time.monotonic() - self._last_beat
        if silent > MISSED_HEARTBEATS * HEARTBEAT_SECONDS:
            self._platform.store.remove(f"servers/{self.name}")

    def _make_entry(self) -> dict[str, Any]:
        entry = {
            "service": SERVICE,
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "capacity": {"cpu": 64000, "mem_mb": 131072, "gpu": 8},
            "labels": [self.kind, "r1-1"],
            "clock_ms": self.read_clock(),
            "seq": self._seq,
        }
        if self._leaves_at is not None:
            left = max(0, int((self._leaves_at - time.monotonic()) * 1000))
            entry |= {"state": "draining", "remaining_ms": left}
        return entry | ({"born": self.born} if self._platform.same_ids else {})

    def read_clock(self) -> int:
        """Return the worker's own steady clock in whole milliseconds."""
        return int((time.monotonic() - self._epoch) * 1000)

    def _guard(
        self, handler: Callable[[dict[str, Any]], Awaitable[tuple[int, dict[str, Any]]]]
    ) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
        async def call(request: web.Request) -> web.StreamResponse:
            body = json.loads(await request.read())
            if self.cut:
                return await self._drop(request)
            if request.headers.get("Expect-Instance", self.name) != self.name:
                return web.json_response({"clock_ms": self.read_clock()}, status=421)
            if body.get("fence", 0) < self.fence:
                return self._answer(409, {"reason": "fence"})
            self.fence = body.get("fence", 0)
            self._sweep()
            status, answer = await handler(body)
            if self.cut or not self.up:
                return await self._drop(request)
            return self._answer(status, answer)

        return call

    def _answer(self, status: int, body: dict[str, Any]) -> web.Response:
        told = {"clock_ms": self.read_clock()}
        if self._platform.same_ids:
            told["born"] = self.born
        return web.json_response(told | body, status=status)

    async def _drop(self, request: web.Request) -> web.StreamResponse:
        """Answer nothing: the worker is behind a partition, or gone."""
        while self.cut and self.up:  # noqa: ASYNC110
            await asyncio.sleep(0.05)
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=500)

    def _extend(self, body: dict[str, Any]) -> None:
        if "until_ms" in body:
            most = self.read_clock() + self._platform.max_hold_ms
            self._until = max(self._until, min(body["until_ms"], most))

    def _sweep(self) -> None:
        if self.runs and self.read_clock() >= self._until:
            for end in self.ends:
                end.lapsed = end.lapsed or not end.noted
            for run in list(self.runs.values()):
                self._end(run, "lapsed")

    def sweep(self) -> None:
        """End everything once the lease has run out."""
        if self.up:
            self._sweep()

    async def _hold(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        self._extend(body)
        self._acknowledged = max(self._acknowledged, body.get("last_seen", 0))
        self._note_acknowledged()
        left = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
        while not self._list_ends() and time.monotonic() < left and self.up:
            self._ended.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._ended.wait(), max(0.0, left - time.monotonic())
                )
        running = [
            [run.task, run.run, "", self._find_percent(run), 1000]
            for run in self.runs.values()
        ]
        rows = [[e.number, e.task, e.run, e.how, ""] for e in self._list_ends()]
        return 200, {"running": running, "ended": rows[:500]}

    def _note_acknowledged(self) -> None:
        for end in self.ends:
            if end.number <= self._acknowledged and not end.noted:
                end.noted = True
                self._platform.record.note(
                    f"end {end.number} of {end.task} run {end.run} {end.how} on "
                    f"{self.name} is reached by last_seen={self._acknowledged}"
                )

    def _list_ends(self) -> list[End]:
        return [end for end in self.ends if end.number > self._acknowledged]

    def _find_percent(self, run: Run) -> int:
        seconds = self._platform.find_seconds(run.task)
        if seconds is None:
            return 100
        return min(99, int(100 * (time.monotonic() - run.began) / seconds))

    async def _start(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, number = body["task"], body["run"]
        present = self.runs.get(task)
        if present is not None and present.run == number:
            self._extend(body)
            return 200, {}
        if present is not None or number <= self._barred.get(task, 0):
            self._extend(body)
            return 409, {"reason": "old"}
        if body["until_ms"] <= self.read_clock():
            return 409, {"reason": "late"}
        self._extend(body)
        run = Run(task, number, time.monotonic())
        self.runs[task] = run
        seconds = self._platform.find_seconds(task)
        if seconds is not None:
            loop = asyncio.get_running_loop()
            run.timer = loop.call_later(seconds, self._finish, run)
        self._platform.on_start(self, run)
        return 200, {}

    def _finish(self, run: Run) -> None:
        self._sweep()
        if self.runs.get(run.task) is run and not run.stopping:
            self._end(run, "done")

    async def _stop(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, number = body["task"], body["run"]
        self._barred[task] = max(self._barred.get(task, 0), number)
        run = self.runs.get(task)
        note = f"stop of {task} run {number} reaches {self.name}"
        self._platform.record.note(note)
        if run is not None and run.run <= number and not run.stopping:
            run.stopping = True
            if run.timer:
                run.timer.cancel()
            loop = asyncio.get_running_loop()
            run.timer = loop.call_later(0.05, self._end, run, "stopped")
        return 200, {}

    async def _pace(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        return 200, {}

    def _end(self, run: Run, how: str) -> None:
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        if run.timer:
            run.timer.cancel()
        self._barred[run.task] = max(self._barred.get(run.task, 0), run.run)
        end = End(len(self.ends) + 1, run.task, run.run, how, time.monotonic())
        self.ends.append(end)
        text = f"run ends: {run.task} run {run.run} {how} on {self.name}"
        self._platform.record.note(text)
        self._platform.on_end(self, end)
        self._note_acknowledged()
        self._ended.set()


class Node:
    """One process of the system, started as the deploy file says."""

    def __init__(self, platform: "Platform", number: int) -> None:
        self._platform = platform
        self.name = f"front-{number}"
        self.ip = f"{platform.network}.{number}"
        self._settings = platform.folder / f"{self.name}.conf"
        self.log = platform.folder / f"{self.name}.log"
        self.process: asyncio.subprocess.Process | None = None

    def write_settings(self, store_port: int, bounds: dict[str, Any]) -> None:
        """Write the settings file of a small deployment."""
        seeds = ",".join(f"{each.ip}:{CONTROL_PORT}" for each in self._platform.nodes)
        lines = [
            f"node={self.name}",
            "role=node",
            "class=front",
            "serves=front,control",
            f"ip={self.ip}",
            "zone=zone-a",
            "region=region-a",
            "zones.zone-a=region-a",
            f"listen.front={self.ip}:{FRONT_PORT}",
            f"listen.ready={self.ip}:{READY_PORT}",
            f"listen.control={self.ip}:{CONTROL_PORT}",
            "port_range=7000,7015",
            f"seeds={seeds}",
            "bootstrap=true",
            "limits.cpu_share=0.537",
            "limits.cores=2",
            "limits.memory_mb=300",
            "limits.link_mbps=1000.0",
            "discovery=platform",
            "entry=vip",
            "heartbeat_ms=1500",
            "commands=rpc",
            f"platform.address=127.0.0.1:{store_port}",
            "platform.form=kv",
            "platform.writes_per_s=400",
            "platform.reads_per_s=2000",
            "platform.history_s=20",
            "platform.value_bytes=1048576",
            "platform.min_ttl_ms=1000",
            *(f"bounds.{name}={value}" for name, value in bounds.items()),
        ]
        self._settings.write_text("\n".join(lines) + "\n")

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["node"]["run"].split()
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "HOME": os.environ.get("HOME", ""),
                    "LANG": os.environ.get("LANG", "C.UTF-8"),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PRIMROSESTILE_CONFIG": str(self._settings),
                },
                stdout=log,
                stderr=log,
            )
        self._platform.record.note(f"process {self.name} is started")

    async def end(self, number: int = signal.SIGKILL) -> None:
        """Send a signal and wait for the end of the process."""
        if self.process is not None and self.process.returncode is None:
            self._platform.record.note(f"process {self.name} gets signal {int(number)}")
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)
            await self.process.wait()


@dataclass
class Answer:
    """The answer to a client's call; status 0 stands for none."""

    status: int
    body: Any = None


@dataclass
class Platform:
    """The whole of a small deployment.

    Attributes:
        same_ids: Workers start again under the id that they had, and tell `born`.
        find_seconds: How long a task works; None for one that lasts.
    """

    record: Record
    find_seconds: Callable[[str], float | None]
    same_ids: bool = False
    max_hold_ms: int = 10_000
    workers: list[Worker] = field(default_factory=list)
    nodes: list[Node] = field(default_factory=list)
    starts: list[tuple[float, str, int, str]] = field(default_factory=list)
    done: dict[str, list[End]] = field(default_factory=dict)
    doubled: list[str] = field(default_factory=list)
    running_twice: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.network = _find_network()
        self.store = Store()
        self._tasks: list[asyncio.Task[None]] = []
        self._runners: list[Any] = []

    async def set_up(
        self,
        workers: int,
        nodes: int,
        bounds: dict[str, Any],
        attempts: int = 3,
        kinds: Sequence[str] = (),
    ) -> None:
        """Start the store, the workers and the system's processes."""
        self.session = aiohttp.ClientSession()
        self.store.put("op/config", make_config(attempts))
        runner, port = await listen(self.store.make_app())
        self._runners.append(runner)
        for number in range(workers):
            worker = Worker(self, number, kinds[number] if kinds else "a")
            self.workers.append(worker)
            await worker.start()
            self._tasks.append(asyncio.create_task(worker.beat()))
        self._tasks.append(asyncio.create_task(self._tend()))
        self.nodes += [Node(self, number) for number in range(1, nodes + 1)]
        for node in self.nodes:
            node.write_settings(port, bounds)
            await node.start()
        until = time.monotonic() + READY_SECONDS
        for node in self.nodes:
            while not await self.is_ready(node):
                if time.monotonic() > until:
                    raise CannotRunError(f"{node.name} is not ready")
                await asyncio.sleep(0.1)
        while not self.find_owner():
            if time.monotonic() > until:
                raise CannotRunError("no process schedules")
            await asyncio.sleep(0.1)

    async def _tend(self) -> None:
        while True:
            for worker in self.workers:
                worker.drop_lapsed_entry()
                worker.sweep()
            await asyncio.sleep(0.05)

    async def is_ready(self, node: Node) -> bool:
        """Whether a process answers that it is ready."""
        url = f"http://{node.ip}:{READY_PORT}/v1/ready"
        try:
            async with self.session.get(url, timeout=_make_timeout(1.0)) as response:
                return response.status == 200
        except (OSError, TimeoutError, aiohttp.ClientError):
            return False

    def find_owner(self) -> Node | None:
        """Return the process that last wrote the owner's key."""
        value = self.store.read_owner()
        for node in self.nodes:
            if f"{node.ip}:{FRONT_PORT}" in value:
                return node
        return None

    async def call(
        self, method: str, path: str, body: Any = None, node: Node | None = None
    ) -> Answer:
        """Send one client's call to a process, by default to any that runs."""
        alive = [n for n in self.nodes if n.process and n.process.returncode is None]
        node = node or random.choice(alive)
        headers = {
            "Host": HOST,
            "Authorization": f"Token {KEY}",
            "Deadline-Ms": str(int(CALL_SECONDS * 1000)),
            "Content-Type": "application/json",
        }
        data = None if body is None else json.dumps(body)
        url = f"http://{node.ip}:{FRONT_PORT}{path}"
        try:
            async with self.session.request(
                method,
                url,
                data=data,
                headers=headers,
                timeout=_make_timeout(CALL_SECONDS),
            ) as response:
                text = await response.read()
                found = json.loads(text) if text else None
                answer = Answer(response.status, found)
        except (OSError, TimeoutError, aiohttp.ClientError):
            answer = Answer(0)
        told = f" {answer.body}" if answer.body else ""
        what = f"client {method} {path} at {node.name}"
        self.record.note(f"{what}: {answer.status}{told}")
        return answer

    def draw_id(self) -> str:
        """Return a new job's id."""
        return f"{random.getrandbits(64):016x}"

    def was_started(self, job: str) -> bool:
        """Whether any task of a job was ever started."""
        return any(task.startswith(job + ".") for _, task, _, _ in self.starts)

    async def submit(
        self, queue: str, steps: list[dict[str, Any]], job: str = ""
    ) -> str:
        """Submit a job until it is accepted, under one id; return the id."""
        job = job or self.draw_id()
        path = f"/{queue}/{job}"
        for _ in range(8):
            answer = await self.call("POST", path, {"spec": "work", "steps": steps})
            if answer.status == 200:
                return job
            await asyncio.sleep(0.5)
        raise CannotRunError(f"job {job} was not accepted")

    async def cancel(self, queue: str, job: str) -> float:
        """Cancel a job until that is acknowledged; return when it was."""
        for _ in range(8):
            answer = await self.call("DELETE", f"/{queue}/{job}")
            if answer.status == 200:
                return time.monotonic()
            await asyncio.sleep(0.3)
        raise CannotRunError(f"job {job} could not be cancelled")

    async def read_state(self, queue: str, job: str) -> str:
        """Return the state that a client is told; empty if there was no answer."""
        answer = await self.call("GET", f"/{queue}/{job}")
        if answer.status == 200:
            return str(answer.body["state"])
        return "410" if answer.status == 410 else ""

    def list_running(self, job: str) -> list[tuple[Worker, Run]]:
        """Return the runs of a job on workers that are up."""
        return [
            (worker, run)
            for worker in self.workers
            if worker.up
            for run in worker.runs.values()
            if run.task.startswith(job + ".")
        ]

    def on_start(self, worker: Worker, run: Run) -> None:
        """Record a start, and what it breaks of TWICE."""
        now = time.monotonic()
        self.starts.append((now, run.task, run.run, worker.name))
        text = f"run starts: {run.task} run {run.run} on {worker.name}"
        self.record.note(text)
        for each in self.workers:
            other = each.runs.get(run.task) if each.up else None
            if other is not None and other is not run:
                what = f"{run.task} run {run.run} starts while run {other.run} works"
                self.running_twice.append(what)
                self.record.note(f"BROKEN: {what}")
        for end in self.done.get(run.task, []):
            self.doubled.append(f"{run.task}/{end.run}/{run.run}")

    def on_end(self, worker: Worker, end: End) -> None:
        """Record an end."""
        if end.how == "done":
            self.done.setdefault(end.task, []).append(end)

    def list_started_after_done(self) -> list[str]:
        """Return the starts after an end `done` that was taken note of."""
        found = []
        for each in self.doubled:
            task, ended, started = each.split("/")
            found += [
                f"{task}: run {started} after run {ended} was done"
                for end in self.done[task]
                if end.run == int(ended) and end.noted and not end.lapsed
            ]
        return found

    async def close(self) -> None:
        """End every process and listener that was started."""
        await asyncio.gather(*(node.end() for node in self.nodes))
        for task in self._tasks:
            task.cancel()
        for worker in self.workers:
            if worker.up:
                worker.up = False
                await worker._runner.cleanup()
        for runner in self._runners:
            await runner.cleanup()
        await self.session.close()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def _make_timeout(seconds: float) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(total=seconds)


def _find_network() -> str:
    """Return the first three numbers of loopback addresses with free ports."""
    for _ in range(200):
        network = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        if all(_is_free(f"{network}.1", p) for p in (FRONT_PORT, READY_PORT, 9464)):
            return network
    raise CannotRunError("no free loopback addresses")


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as found:
        found.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            found.bind((host, port))
        except OSError:
            return False
    return True


def make_config(attempts: int) -> dict[str, Any]:
    """Return an operators' configuration with three queues and one tenant."""
    routes = [
        {
            "name": f"r-{name}",
            "host": HOST,
            "prefix": f"/{name}/",
            "kind": "non_idempotent",
            "timeout_ms": 3000,
            "slo_ms": 1000,
            "priority": priority,
            "service": SERVICE,
            "attempts": attempts,
            "stretch": 3.0,
            "public": False,
        }
        for name, priority in QUEUES.items()
    ]
    return {
        "version": 7,
        "routes": routes,
        "services": [{"name": SERVICE, "admission_check": True, "spare": False}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "t", "api_keys": [KEY], "guaranteed": {"gpu": 8}}],
    }


def run_case(case: Callable[[Record, bool], Awaitable[list[str]]], folder: Path) -> int:
    """Run a case; return 1 if the rule was broken, 0 if it held, 2 if it can't run.

    Args:
        case: Returns what broke the rule; its second argument is whether the
            disruption takes place.
        folder: Holds `record.txt`.
    """
    # Whatever goes wrong with the case itself must not look like a broken rule.
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.note(f"trouble={int(trouble)}")
    try:
        broken = asyncio.run(_limit(case(record, trouble)))
    except Exception as error:
        record.note(f"could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        return 2
    for each in broken:
        record.note(f"BROKEN: {each}")
        print(f"broken: {each}")
    record.note("the rule was broken" if broken else "the rule held")
    print("the rule was broken" if broken else "the rule held")
    return 1 if broken else 0


async def _limit(case: Awaitable[list[str]]) -> list[str]:
    async with asyncio.timeout(110):
        return await case

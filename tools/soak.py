"""A randomized soak test of real processes under injected faults.

    python -m tools.soak --seeds 1-50 --seconds 12 [--nodes 3] [--series 1]
        [--growth] [--logs FOLDER]

Each seed starts the platform's stand-in, some of our processes with a proxy between
each and the store, and callers. It injects random overlapping faults, ends them, and
then checks what callers and workers observed. With `--series`, each fault hits its
target several times in a row. With `--growth`, operators also add queues to the
policy until it has several hundred kB, and some processes read it over slow links,
which stay slow; the last change removes a key. A seed that once failed stays in
`features/soak/soak.feature` with its cause.
"""

import argparse
import asyncio
import contextlib
import json
import os
import random
import signal
import sys
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
from aiohttp import web
from features.doubles.fleet_world import HOST, PlatformEntry, make_policy

from primrosestile.platform.policy import POLICY_KEY
from primrosestile.state.work import Need
from primrosestile_standin.fleet_http import AdviceServer, StoreServer, WorkersServer
from primrosestile_standin.fleet_store import FleetStore
from primrosestile_standin.fleet_worker import Fleet, Script
from tools.soakpolicy import (
    NO_GROWTH,
    REMOVED_KEY,
    draw_growth,
    make_grown_policy,
    name_newest_queue,
)
from tools.soakproxy import Mode, Proxy

ROOT = Path(__file__).resolve().parent.parent
# Their hosts are numbered within a /24 network.
MAX_NODES = 250
# Processes that start at the same time.
START_GROUP = 6
WORKERS = 6
ACCELERATORS = 8
READY_SECONDS = 20.0
# After the faults end: a worker's lease, a change of owner, and the work itself.
SETTLE_SECONDS = 45.0
CALL_TIMEOUT_SECONDS = 3.0
POLL_SECONDS = 0.1
MAX_ATTEMPTS = 4
RETRY_SECONDS = 0.3
# From the end of the faults until a process must accept jobs by the newest policy.
APPLY_SECONDS = 20.0
# For so long a process must then serve more calls than it refuses.
SERVE_SECONDS = 6.0
# From the removal of a key until each process must reject it, in touch or not.
REVOKE_SECONDS = 5.0
UNKNOWN_JOB = "0" * 16
JOBS_PER_SECOND = 4.0
FAULT_GAP_SECONDS = (0.3, 1.2)
FAULT_SECONDS = (0.3, 4.0)
SERIES_GAP_SECONDS = 0.2
# Runs of several processes of the tool listen on separate addresses.
NETWORK = f"127.{1 + os.getpid() // 250 % 250}.{os.getpid() % 250}"
SETTINGS = """node=n{number}
ip={host}
zone=leith-hall
listen.front={host}:{front}
listen.ready={host}:{ready}
port_range=7000,7015
platform.address=127.0.0.1:{store}
advice=127.0.0.1:{advice}
"""
LINK_SETTING = "limits.link_mbps={megabits:g}\n"
FRONT_PORT = 18_521
READY_PORT = 18_523


@dataclass(frozen=True)
class Options:
    """What a run consists of besides its seed.

    Attributes:
        seconds: For how long jobs are sent and faults injected.
        nodes: Number of our processes.
        series: How many times in a row each fault hits its target.
        growth: Whether the policy grows while some processes have slow links.
    """

    seconds: float = 12.0
    nodes: int = 3
    series: int = 1
    growth: bool = False


@dataclass(slots=True)
class Job:
    """One job and the answers that its caller got.

    Attributes:
        answers: The status of each attempt; 0 for no answer.
    """

    job_id: str
    queue: str
    answers: list[int] = field(default_factory=list)

    @property
    def accepted(self) -> bool:
        """Whether an attempt was answered with 200."""
        return 200 in self.answers

    @property
    def refused(self) -> bool:
        """Whether each attempt was refused as not run."""
        return bool(self.answers) and set(self.answers) <= {429, 503}


async def wait_until(condition: Callable[[], Awaitable[bool]]) -> None:
    """Poll until a condition outside this process holds; nothing signals it."""
    while not await condition():  # noqa: ASYNC110
        await asyncio.sleep(POLL_SECONDS)


class Node:
    """One of our processes."""

    def __init__(self, number: int, folder: Path) -> None:
        self.number = number
        self.host = f"{NETWORK}.{number + 1}"
        self.log = folder / f"n{number}.log"
        self._settings = folder / f"n{number}.conf"
        self._process: asyncio.subprocess.Process | None = None
        self._restarting = asyncio.Lock()

    def write_settings(self, store: int, advice: int, link: float | None) -> None:
        text = SETTINGS.format(
            number=self.number,
            host=self.host,
            front=FRONT_PORT,
            ready=READY_PORT,
            store=store,
            advice=advice,
        )
        if link is not None:
            text += LINK_SETTING.format(megabits=link)
        self._settings.write_text(text)

    async def start(self) -> None:
        with self.log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / "deploy" / "node.py"),
                env={**os.environ, "PRIMROSESTILE_CONFIG": str(self._settings)},
                stdout=log,
                stderr=log,
            )

    @property
    def alive(self) -> bool:
        return self._process is not None and self._process.returncode is None

    def signal(self, number: int) -> None:
        if self.alive and self._process is not None:
            self._process.send_signal(number)

    async def end(self) -> None:
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()

    async def restart(self) -> None:
        """Replace the process; overlapping restarts never leave two running."""
        async with self._restarting:
            await self.end()
            await self.start()


class Soak:
    """The run of one seed."""

    def __init__(self, seed: int, options: Options, folder: Path) -> None:
        self.rng = random.Random(seed)
        self.options = options
        self.growth = NO_GROWTH
        if options.growth:
            self.growth = draw_growth(seed, options.nodes, options.seconds)
        self.version = 1
        self.store = FleetStore()
        self.fleet = Fleet()
        self.nodes = [Node(n, folder) for n in range(1, options.nodes + 1)]
        self.proxies: list[Proxy] = []
        self.jobs: list[Job] = []
        self.faults: Counter[str] = Counter()
        self.violations: list[str] = []
        self._runners: list[web.AppRunner] = []
        self._probes: list[asyncio.Task[None]] = []

    async def run(self) -> list[str]:
        """Run the seed; return each violation as a sentence."""
        async with aiohttp.ClientSession() as self._session:
            try:
                await self._set_up()
                async with asyncio.TaskGroup() as tasks:
                    tasks.create_task(self._send_jobs(tasks))
                    tasks.create_task(self._draw_faults(tasks))
                    tasks.create_task(self._grow_policy())
                await self._heal()
                await asyncio.gather(
                    self._check_ready(self.nodes, "the faults"), self._check_served()
                )
                await self._check_jobs()
            finally:
                for probe in self._probes:
                    probe.cancel()
                await asyncio.gather(*(node.end() for node in self.nodes))
                for proxy in self.proxies:
                    await proxy.close()
                for end in self._runners:
                    await end.cleanup()
        return self.violations

    async def _set_up(self) -> None:
        self.store.put(POLICY_KEY, make_policy(self.version))
        store = await self._listen(StoreServer(self.store).make_app())
        advice = await self._listen(AdviceServer(self.fleet).make_app())
        for number in range(WORKERS):
            port = await self._listen(WorkersServer(self.fleet).make_app())
            proxy = await self._add_proxy(port)
            entry = PlatformEntry(
                f"w{number}",
                f"127.0.0.1:{proxy.port}",
                f"r{number % 2}",
                ACCELERATORS,
                (),
            )
            self.store.put(f"servers/w{number}", entry.encode())
            self.fleet.add(entry.make())
        for node in self.nodes:
            proxy = await self._add_proxy(store)
            proxy.rate = self.growth.links.get(node.number)
            link = self.growth.find_megabits(node.number)
            node.write_settings(proxy.port, advice, link)
        for first in range(0, len(self.nodes), START_GROUP):
            group = self.nodes[first : first + START_GROUP]
            for node in group:
                await node.start()
            await self._check_ready(group, "its start")
        if not await self._is_key_accepted(self.nodes[0]):
            self.violations.append("n1 rejects a key before its removal")

    async def _listen(self, app: web.Application) -> int:
        end = web.AppRunner(app, shutdown_timeout=0.1, access_log=None)
        await end.setup()
        site = web.TCPSite(end, "127.0.0.1", 0)
        await site.start()
        self._runners.append(end)
        return int(end.addresses[0][1])

    async def _add_proxy(self, port: int) -> Proxy:
        proxy = Proxy(port)
        await proxy.start()
        self.proxies.append(proxy)
        return proxy

    async def _check_ready(self, nodes: list[Node], since: str) -> None:
        async def check(node: Node) -> None:
            try:
                async with asyncio.timeout(READY_SECONDS):
                    await wait_until(lambda: self._is_ready(node))
            except TimeoutError:
                self.violations.append(
                    f"n{node.number} is not ready {READY_SECONDS:g} s after {since}"
                )

        await asyncio.gather(*map(check, nodes))

    async def _is_ready(self, node: Node) -> bool:
        return await self._call(node, "GET", "/v1/ready", READY_PORT) == 200

    async def _call(
        self,
        node: Node,
        method: str,
        path: str,
        port: int,
        body: bytes = b"",
        key: str = "key-domes",
    ) -> int:
        """Return the status; 0 for no answer. The body goes to `self.answer`."""
        headers = {"Host": HOST, "Authorization": f"Token {key}"}
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                url = f"http://{node.host}:{port}{path}"
                async with self._session.request(
                    method, url, data=body, headers=headers
                ) as response:
                    self.answer = await response.read()
                    return response.status
        except (TimeoutError, aiohttp.ClientError, OSError):
            return 0

    async def _send_jobs(self, tasks: asyncio.TaskGroup) -> None:
        until = asyncio.get_running_loop().time() + self.options.seconds
        while asyncio.get_running_loop().time() < until:
            await asyncio.sleep(self.rng.expovariate(JOBS_PER_SECOND))
            tasks.create_task(self._submit(self._draw_job()))

    def _draw_job(self) -> tuple[Job, bytes]:
        job_id = f"{self.rng.getrandbits(64):016x}"
        queue = self.rng.choice(("urgent", "usual", "patient"))
        count = self.rng.randint(1, 4)
        gang = self.rng.random() < 0.5
        step = {
            "count": count,
            "cpu": 1000,
            "mem_mb": 1000,
            "gpu": self.rng.choice((1, 2, 4)),
            "estimate_ms": 800,
        }
        if gang:
            step["gang"] = True
        seconds = self.rng.uniform(0.2, 1.5)
        need = Need(1000, 1000, step["gpu"])
        script = Script(seconds, need, gang=count if gang else 1)
        self.fleet.scripts[job_id] = script
        job = Job(job_id, queue)
        self.jobs.append(job)
        return job, json.dumps({"spec": "", "steps": [step]}).encode()

    async def _submit(self, drawn: tuple[Job, bytes]) -> None:
        job, body = drawn
        for _ in range(MAX_ATTEMPTS):
            node = self.rng.choice(self.nodes)
            path = f"/{job.queue}/{job.job_id}"
            job.answers.append(await self._call(node, "POST", path, FRONT_PORT, body))
            if job.accepted:
                return
            await asyncio.sleep(RETRY_SECONDS)

    async def _grow_policy(self) -> None:
        if not self.growth.steps:
            return
        queues = 0
        for step in self.growth.steps:
            await asyncio.sleep(step.after)
            queues += step.queues
            self.version += 1
            last = step is self.growth.steps[-1]
            policy = make_grown_policy(self.version, queues, removed=last)
            self.store.put(POLICY_KEY, policy)
        self._probes = [
            asyncio.create_task(self._check_removed_key(node)) for node in self.nodes
        ]

    async def _check_removed_key(self, node: Node) -> None:
        """Check until cancelled that a process rejects the removed key."""
        await asyncio.sleep(REVOKE_SECONDS)
        while True:
            if await self._is_key_accepted(node):
                self.violations.append(
                    f"n{node.number} accepted a key over {REVOKE_SECONDS:g} s after "
                    "its removal"
                )
                return
            await asyncio.sleep(POLL_SECONDS)

    async def _is_key_accepted(self, node: Node) -> bool:
        path = f"/usual/{UNKNOWN_JOB}"
        status = await self._call(node, "GET", path, FRONT_PORT, key=REMOVED_KEY)
        return status in {200, 410}

    async def _draw_faults(self, tasks: asyncio.TaskGroup) -> None:
        until = asyncio.get_running_loop().time() + self.options.seconds
        while asyncio.get_running_loop().time() < until:
            await asyncio.sleep(self.rng.uniform(*FAULT_GAP_SECONDS))
            kind = self.rng.choice(list(FAULTS))
            self.faults[kind] += 1
            duration = self.rng.uniform(*FAULT_SECONDS)
            tasks.create_task(self._inject(kind, duration))

    async def _inject(self, kind: str, duration: float) -> None:
        inject = FAULTS[kind]
        if self.options.series == 1:
            await inject(self, self.rng, duration)
            return
        target = self.rng.getrandbits(32)
        for _ in range(self.options.series):
            # Equal draws, so that the whole series hits one process or link.
            await inject(self, random.Random(target), duration / self.options.series)
            await asyncio.sleep(SERIES_GAP_SECONDS)

    async def kill(self, rng: random.Random, duration: float) -> None:
        node = rng.choice(self.nodes)
        node.signal(signal.SIGCONT)
        node.signal(signal.SIGKILL)
        await asyncio.sleep(min(duration, 1.0))
        await node.restart()

    async def terminate(self, rng: random.Random, duration: float) -> None:
        node = rng.choice(self.nodes)
        node.signal(signal.SIGTERM)
        await asyncio.sleep(6.0)
        await node.restart()

    async def pause(self, rng: random.Random, duration: float) -> None:
        node = rng.choice(self.nodes)
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(duration)
        node.signal(signal.SIGCONT)

    async def break_link(self, rng: random.Random, duration: float) -> None:
        proxy = rng.choice(self.proxies)
        modes = [mode for mode in Mode if mode is not Mode.GOOD]
        proxy.set_mode(rng.choice(modes))
        await asyncio.sleep(duration)
        proxy.set_mode(Mode.GOOD)

    async def reset_links(self, rng: random.Random, duration: float) -> None:
        for proxy in self.proxies:
            proxy.reset()

    async def stop_store(self, rng: random.Random, duration: float) -> None:
        self.store.faults.down = True
        await asyncio.sleep(duration)
        self.store.faults.down = False

    async def lose_store_answers(self, rng: random.Random, duration: float) -> None:
        self.store.faults.lose_writes += 3
        self.store.faults.late_writes += [rng.uniform(0.5, 3.0)]

    async def lose_orders(self, rng: random.Random, duration: float) -> None:
        worker = rng.choice(list(self.fleet.workers.values()))
        worker.faults.lose_answers += 2
        worker.faults.late_orders += [rng.uniform(0.5, 6.0)]

    async def _heal(self) -> None:
        self.store.faults.lose_writes = 0
        self.store.faults.late_writes.clear()
        for worker in self.fleet.workers.values():
            worker.faults.lose_answers = 0
            worker.faults.late_orders.clear()
        for node in self.nodes:
            if not node.alive:
                await node.start()

    async def _check_served(self) -> None:
        """Check that each process applies a grown policy and serves callers by it."""
        if self.options.growth:
            await asyncio.gather(*map(self._check_node, self.nodes))

    async def _check_node(self, node: Node) -> None:
        job, body = self._draw_job()
        job.queue = name_newest_queue(self.version)
        path = f"/{job.queue}/{job.job_id}"
        rate = self.growth.links.get(node.number)
        name = f"n{node.number}"
        if rate is not None:
            name += f", with a link of {rate / 1000:.0f} kB/s,"
        until = asyncio.get_running_loop().time() + APPLY_SECONDS
        while not job.accepted and asyncio.get_running_loop().time() < until:
            job.answers.append(await self._call(node, "POST", path, FRONT_PORT, body))
            await asyncio.sleep(RETRY_SECONDS)
        if not job.accepted:
            statuses = dict(Counter(job.answers))
            self.violations.append(
                f"{name} accepted no job by version {self.version} in "
                f"{APPLY_SECONDS:g} s; answers by status: {statuses}"
            )
        until = asyncio.get_running_loop().time() + SERVE_SECONDS
        answers = []
        while asyncio.get_running_loop().time() < until:
            answers.append(await self._call(node, "GET", path, FRONT_PORT))
            await asyncio.sleep(POLL_SECONDS)
        served = sum(status in {200, 410} for status in answers)
        if served <= len(answers) / 2:
            self.violations.append(f"{name} served {served} of {len(answers)} queries")

    async def _check_jobs(self) -> None:
        """Check each job's final state and the violations that workers recorded."""
        accepted = [job for job in self.jobs if job.accepted]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SETTLE_SECONDS):
                for job in accepted:
                    await wait_until(lambda job=job: self._is_completed(job))
        for job in accepted:
            if not await self._is_completed(job):
                self.violations.append(
                    f"{job.job_id} was accepted and is not completed"
                )
        started = {task.partition(".")[0] for task, _, _ in self.fleet.starts}
        for job in self.jobs:
            if job.refused and job.job_id in started:
                self.violations.append(f"{job.job_id} was refused as not run, and ran")
        self.violations += self.fleet.violations
        if not accepted:
            self.violations.append("no job was accepted")

    async def _is_completed(self, job: Job) -> bool:
        path = f"/{job.queue}/{job.job_id}"
        status = await self._call(self.nodes[0], "GET", path, FRONT_PORT)
        return status == 200 and json.loads(self.answer)["state"] == "completed"


FAULTS: dict[str, Callable[[Soak, random.Random, float], Awaitable[None]]] = {
    "kill": Soak.kill,
    "tell to end": Soak.terminate,
    "pause": Soak.pause,
    "break a link": Soak.break_link,
    "reset links": Soak.reset_links,
    "store down": Soak.stop_store,
    "store answers lost": Soak.lose_store_answers,
    "orders lost": Soak.lose_orders,
}


def run_seed(seed: int, options: Options, folder: Path) -> tuple[Soak, list[str]]:
    """Run one seed; its processes write their logs into the folder."""
    folder.mkdir(parents=True, exist_ok=True)

    async def run() -> tuple[Soak, list[str]]:
        soak = Soak(seed, options, folder)
        return soak, await soak.run()

    return asyncio.run(run())


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m tools.soak")
    parser.add_argument("--seeds", default="1-5", help="a number or first-last")
    parser.add_argument("--seconds", type=float, default=Options.seconds)
    parser.add_argument("--nodes", type=int, default=Options.nodes)
    parser.add_argument("--series", type=int, default=Options.series)
    parser.add_argument("--growth", action="store_true")
    parser.add_argument("--logs", type=Path, default=None)
    arguments = parser.parse_args()
    if not 1 <= arguments.nodes <= MAX_NODES:
        parser.error(f"--nodes is 1 to {MAX_NODES}")
    if arguments.growth and arguments.nodes == 1:
        parser.error(
            "--growth needs a process with a fast link and one with a slow one"
        )
    options = Options(
        arguments.seconds, arguments.nodes, arguments.series, arguments.growth
    )
    first, _, last = arguments.seeds.partition("-")
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        folder = (arguments.logs or Path(tempfile.mkdtemp())) / f"seed-{seed}"
        soak, violations = run_seed(seed, options, folder)
        accepted = sum(job.accepted for job in soak.jobs)
        faults = sum(soak.faults.values())
        print(f"seed {seed}: {len(soak.jobs)} jobs, {accepted} accepted,", end=" ")
        print(f"{faults} faults, {len(violations)} violations", flush=True)
        for violation in violations:
            print(f"  {violation} (logs in {folder})")
        failed += bool(violations)
    print(f"{failed} seeds failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

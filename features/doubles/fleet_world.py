"""Several of our processes on a stand-in of the platform, on a simulated clock."""

import asyncio
import json
import zlib
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

import looptime
from features.doubles.load_views import LoadViews
from features.doubles.owner_views import OwnerViews

from primrosestile.clock import read_clock, read_wall_clock
from primrosestile.coordination.work.election import Election
from primrosestile.coordination.work.job_submissions import JobSubmissions
from primrosestile.coordination.work.keys import OWNER_KEY
from primrosestile.coordination.work.load_gate import LoadGate
from primrosestile.coordination.work.load_watch import LoadWatch
from primrosestile.coordination.work.policy_watch import PolicyWatch
from primrosestile.coordination.work.scheduler import Scheduler, run_scheduler
from primrosestile.coordination.work.term import Term
from primrosestile.decisions.work.election_delay import find_election_delay
from primrosestile.errors import Failure
from primrosestile.platform.callers import read_submission
from primrosestile.platform.policy import POLICY_KEY, PlatformPolicies
from primrosestile.platform.workers import PlatformWorkerList
from primrosestile.protocol.fleet import WorkerCalls
from primrosestile.protocol.transactions import TransactionalStore
from primrosestile.state.load import LoadSummary
from primrosestile.state.policy import Policy
from primrosestile.state.scheduling import DEFAULT_SETTINGS, SchedulingSettings
from primrosestile.state.work import JobState, Submission
from primrosestile.state.workers import WorkerEntry, find_worker_id
from primrosestile_standin.fleet_calls import FleetCalls
from primrosestile_standin.fleet_store import FleetStore
from primrosestile_standin.fleet_vms import FleetVms
from primrosestile_standin.fleet_worker import (
    MAX_LEASE_SECONDS,
    Fleet,
    FleetWorker,
)
from primrosestile_standin.link import Link

POOL = "engine"
HOST = "queue.example"
# Priorities of urgent, usual and low-priority work, by queue name.
QUEUES = {"urgent": 0, "usual": 1, "patient": 2}
POLICY_AGE_SECONDS = 1.6


def make_address(name: str) -> str:
    """Return an address derived from a name."""
    number = zlib.crc32(name.encode())
    return f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:80"


def make_policy(
    version: int,
    keys: dict[str, list[str]] | None = None,
    guarantees: dict[str, int] | None = None,
    queues: dict[str, int] | None = None,
    attempts: int = 2,
    advice: dict[str, float] | None = None,
) -> bytes:
    """Return an operators' configuration as the platform's store holds it."""
    keys = keys or {"domes": ["key-domes"], "post": ["key-post"]}
    guarantees = guarantees or {}
    routes = [
        {
            "name": name,
            "host": HOST,
            "prefix": f"/{name}/",
            "service": POOL,
            "priority": priority,
            "attempts": attempts,
            "stretch": 3.0,
            "slo_ms": 1000,
            **({"advice": advice} if advice else {}),
        }
        for name, priority in (queues or QUEUES).items()
    ]
    tenants = [
        {
            "name": name,
            "api_keys": listed,
            "guaranteed": {"gpu": guarantees.get(name, 0)},
        }
        for name, listed in keys.items()
    ]
    config = {
        "version": version,
        "routes": routes,
        "services": [{"name": POOL, "admission_check": True}],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 262_144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": tenants,
    }
    return json.dumps(config).encode()


@dataclass(slots=True)
class Process:
    """One of our processes.

    Attributes:
        frozen_for: Seconds for which it was suspended; added to the clock by which
            it checks its lease.
        link: The link and processor of its VM.
        refused: Submissions that it refused under load, by reason.
    """

    name: str
    policies: PolicyWatch
    submitting: JobSubmissions
    election: Election
    calls: WorkerCalls
    task: asyncio.Task[Any] | None = None
    scheduler: Scheduler | None = None
    frozen_for: float = 0.0
    link: Link = field(default_factory=Link)
    refused: Counter[str] = field(default_factory=Counter)

    def find_load(self) -> LoadSummary | None:
        """Return its summary of the fleet's load while it is the owner."""
        return None if self.scheduler is None else self.scheduler.load.find_summary()


@dataclass(slots=True)
class FleetWorld:
    """The platform's stand-in and the processes that use it.

    Attributes:
        settings: The scheduling settings of processes added from now on.
        load_views: How processes ask the owner for its load.
    """

    store: FleetStore = field(default_factory=FleetStore)
    fleet: Fleet = field(default_factory=Fleet)
    processes: dict[str, Process] = field(default_factory=dict)
    settings: SchedulingSettings = DEFAULT_SETTINGS
    vms: FleetVms = field(init=False)
    load_views: LoadViews = field(init=False)
    runner: asyncio.Runner = field(
        default_factory=lambda: asyncio.Runner(loop_factory=looptime.new_event_loop)
    )

    def __post_init__(self) -> None:
        self.vms = FleetVms(self.end_worker, self.begin_worker)
        self.load_views = LoadViews(self._serve_load)

    def _serve_load(self, name: str) -> LoadSummary | None:
        return self.processes[name].find_load()

    def end_worker(self, name: str) -> None:
        """End an incarnation of a worker for its VM's maintenance."""
        self.fleet.workers[name].crash()
        self.store.remove(f"servers/{find_worker_id(name)}")

    def begin_worker(self, vm: str, name: str) -> None:
        """Begin the next incarnation of a worker on a VM."""
        self.add_worker(name, address=make_address(vm))

    def run(self, work: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine on the simulated clock."""
        return self.runner.run(work)

    def close(self) -> None:
        """End all processes."""

        async def end() -> None:
            for process in self.processes.values():
                await self.kill(process.name)

        self.run(end())
        self.runner.close()

    def add_process(
        self, name: str, processor: float = 1.0, mbps: float = 1000.0
    ) -> Process:
        """Start a process on a VM with a processor in cores and a link in Mbit/s."""
        link = Link()
        store = self.connect(name, link)
        process: Process

        def read_monotonic() -> float:
            return read_clock() + process.frozen_for

        policies = PolicyWatch(
            PlatformPolicies(store), POLICY_AGE_SECONDS, read_monotonic
        )
        calls = self.make_calls(name, link)

        async def run_term(term: Term) -> None:
            process.scheduler = Scheduler(
                store,
                calls,
                PlatformWorkerList(store, policies.find_pools, cordons=True),
                policies,
                term,
                status_retention_seconds=120.0,
                max_lease_seconds=MAX_LEASE_SECONDS,
                advice=self.fleet.advice,
                maintenance=self.vms,
                owners=OwnerViews(self.find_extending),
                address=name,
                settings=self.settings,
            )
            await run_scheduler(process.scheduler)

        watch = LoadWatch(
            self.load_views.connect(name),
            lambda: (process.election.owner_address, process.election.owner_fence),
            lambda: process.find_load(),
            read_monotonic,
        )
        gate = LoadGate(
            watch,
            self.settings.load_admission,
            lambda reason: process.refused.update([reason]),
        )

        process = Process(
            name=name,
            policies=policies,
            submitting=JobSubmissions(store, policies, POLICY_KEY, gate),
            election=Election(
                store,
                name,
                run_term,
                read_monotonic,
                find_election_delay(processor, mbps),
                peer_address=name,
            ),
            calls=calls,
            link=link,
        )
        self.processes[name] = process
        process.task = self.start_process(process)
        return process

    def connect(self, name: str, link: Link) -> TransactionalStore:
        """Return a process's client of the store."""
        return self.store.connect(name, link)

    def make_calls(self, name: str, link: Link) -> WorkerCalls:
        """Return a process's client of the workers."""
        return FleetCalls(self.fleet, link)

    def start_process(self, process: Process) -> asyncio.Task[Any]:
        """Run a process as a task."""
        return asyncio.get_running_loop().create_task(run_process(process))

    async def kill(self, name: str) -> None:
        """Kill a process."""
        process = self.processes[name]
        if process.task is not None:
            process.task.cancel()
            await asyncio.wait({process.task})

    def add_worker(
        self,
        name: str,
        address: str = "",
        rack: str = "r1",
        accelerators: int = 8,
        labels: tuple[str, ...] = (),
        clock_rate: float = 1.0,
        born: int | None = None,
    ) -> FleetWorker:
        """Add a worker and write its entry, with its start if it tells that."""
        address = address or make_address(name)
        shape = PlatformEntry(name, address, rack, accelerators, labels, born=born)
        self.store.put(f"servers/{name}", shape.encode())
        return self.fleet.add(shape.make(), clock_rate)

    def list_worker(
        self,
        name: str,
        address: str = "",
        rack: str = "r1",
        accelerators: int = 8,
        labels: tuple[str, ...] = (),
        state: str = "ready",
        failure_domain: str = "leith",
    ) -> None:
        """Write a worker's entry."""
        address = address or make_address(name)
        shape = PlatformEntry(name, address, rack, accelerators, labels, failure_domain)
        self.store.put(f"servers/{name}", shape.encode(state))

    async def submit(
        self,
        process: str,
        job_id: str,
        queue: str = "usual",
        organisation: str = "domes",
        **job: Any,
    ) -> Submission:
        """Submit a job; `steps` are in the callers' format."""
        body = json.dumps({"spec": "", **job}).encode()

        def make(policy: Policy) -> Submission:
            found = policy.find_queue(HOST, f"/{queue}/{job_id}")
            assert found is not None, f"no queue {queue}"
            return read_submission(body, job_id, found, organisation, read_wall_clock())

        return await self.processes[process].submitting.submit(job_id, make)

    async def read_state(
        self, process: str, job_id: str, queue: str
    ) -> JobState | None:
        """Return the state that a caller is shown."""
        running = self.processes[process]
        found = running.policies.require().find_queue_by_name(queue)
        assert found is not None, f"no queue {queue}"
        return await running.submitting.read_state(job_id, found)

    async def wait_for(
        self, condition: Callable[[], Awaitable[bool] | bool], seconds: float
    ) -> None:
        """Wait until a condition holds, on the simulated clock."""
        until = read_clock() + seconds
        while True:
            holds = condition()
            if isinstance(holds, Awaitable):
                holds = await holds
            if holds:
                return
            assert read_clock() < until, f"condition did not hold within {seconds} s"
            await asyncio.sleep(0.02)

    async def wait_for_state(
        self, process: str, job_id: str, state: JobState, seconds: float, queue: str
    ) -> None:
        """Wait until a caller is shown a state."""

        async def holds() -> bool:
            try:
                return await self.read_state(process, job_id, queue) is state
            except Failure:
                return False

        await self.wait_for(holds, seconds)

    def answers(self, name: str) -> bool:
        """Return whether a process answers others."""
        process = self.processes.get(name)
        return bool(process and process.task and not process.task.done())

    def find_extending(self, name: str) -> bool | None:
        """Return whether a process may extend leases; None if it doesn't answer."""
        if not self.answers(name):
            return None
        return self.processes[name].election.extends_leases

    def find_owner(self) -> Process | None:
        """Return the process whose term may act."""
        if self.store.read(OWNER_KEY) is None:
            return None
        for process in self.processes.values():
            term = process.election.term
            if term is not None and term.may_act():
                return process
        return None


@dataclass(frozen=True, slots=True)
class PlatformEntry:
    """A worker's entry as the platform's workers write it."""

    name: str
    address: str
    rack: str
    accelerators: int
    labels: tuple[str, ...]
    failure_domain: str = "leith"
    born: int | None = None

    def encode(self, state: str = "ready") -> bytes:
        """Return the stored value."""
        value = {
            "service": POOL,
            "address": self.address,
            "zone": self.failure_domain,
            "version": "v1",
            "slots": 8,
            "state": state,
            "cold_left_ms": 0,
            "seq": 4,
            "capacity": {
                "cpu": 64_000,
                "mem_mb": 131_072,
                "gpu": self.accelerators,
            },
            "labels": ["a", self.rack, *self.labels],
            **({} if self.born is None else {"born": self.born}),
        }
        return json.dumps(value).encode()

    def make(self) -> WorkerEntry:
        """Return the entry as our processes decode it."""
        from primrosestile.platform.entries import read_worker
        from primrosestile.protocol.store import Entry

        return read_worker(Entry(f"servers/{self.name}", self.encode(), 1, 1))


async def run_process(process: Process) -> None:
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(process.policies.run())
        await process.policies.loaded.wait()
        tasks.create_task(process.election.run())

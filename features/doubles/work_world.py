"""Processes, store and fleet on one simulated clock, with faults and invariants."""

import asyncio
import json
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

from features.doubles.fleet_world import (
    FleetWorld,
    PlatformEntry,
    Process,
    make_address,
    make_policy,
    run_process,
)
from features.doubles.processes import PausedRunner, Running, SimulatedProcess
from features.doubles.work_links import LinkedCalls, LinkedStore, WorkLink

from primrosestile.clock import read_wall_clock
from primrosestile.coordination.work.keys import (
    make_ended_key,
    make_job_key,
    make_progress_key,
)
from primrosestile.errors import ErrorKind, Failure
from primrosestile.platform.callers import read_submission
from primrosestile.platform.policy import POLICY_KEY
from primrosestile.protocol.fleet import WorkerCalls
from primrosestile.protocol.transactions import TransactionalStore
from primrosestile.state.policy import Policy, Queue
from primrosestile.state.work import JobState, decode_ended, decode_progress
from primrosestile.state.workers import EndKind
from primrosestile_standin.fleet_calls import FleetCalls
from primrosestile_standin.fleet_script import Script
from primrosestile_standin.fleet_worker import FleetWorker
from primrosestile_standin.link import Link

PROCESSES = ("p0", "p1")
VMS = ("v0", "v1", "v2")
# A worker's clock may be 2% slow.
CLOCK_RATES = (1.0, 0.98, 0.98)
ACCELERATORS = 4
QUEUE = "usual"
ORGANISATION = "domes"
# The entry of an ended incarnation stays listed for three heartbeats.
STALE_ENTRY_SECONDS = 4.5
# Minimum retention of an ended job's status.
STATUS_RETENTION_SECONDS = 120.0
# After the end of all faults: a change of owner, the wait for unreachable workers
# (16.2 s), then four jobs in sequence, one of up to 40 s and the others of 12 s, and
# the same time again.
SETTLE_SECONDS = 180.0
# A job without an answer to its submission may run after all others have ended: two
# steps of up to 40 s, after the wait for unreachable workers (16.2 s).
IDLE_SECONDS = 120.0
SETTLE_STEP_SECONDS = 5.0


@dataclass(slots=True)
class Job:
    """A job that a caller submitted.

    Attributes:
        units: Its tasks; those of a gang are one unit.
        accepted: Its caller got the answer; false during the call, or if unknown.
        cancelled: A cancellation was sent, whatever its outcome.
        ended_at: When it was first seen to have ended.
    """

    job_id: str
    units: list[list[str]] = field(default_factory=list)
    accepted: bool = False
    cancelled: bool = False
    ended_at: float | None = None


@dataclass(slots=True)
class Seat:
    """A process's simulated machine, and its link to the workers."""

    machine: SimulatedProcess
    link: WorkLink


@dataclass(slots=True)
class WorkWorld(FleetWorld):
    """The platform's stand-in, with processes that can be suspended and killed."""

    runner: Any = field(default_factory=PausedRunner)
    seats: dict[str, Seat] = field(default_factory=dict)
    jobs: list[Job] = field(default_factory=list)
    incarnations: int = 0
    version: int = 1
    serving: dict[str, FleetWorker] = field(default_factory=dict)
    _calls: list["asyncio.Task[None]"] = field(default_factory=list)

    def begin(self) -> None:
        """Start workers and processes, and wait until one is the owner."""

        async def build() -> None:
            self.store.put(POLICY_KEY, make_policy(1))
            for vm, rate in zip(VMS, CLOCK_RATES, strict=True):
                self.start_life(vm, rate)
            for name in PROCESSES:
                self.start(name)

        self.run(build())
        self.advance(1.5)

    def advance(self, seconds: float) -> None:
        """Advance the simulated clock."""
        self.run(asyncio.sleep(seconds))

    def do(self, action: Any, *args: Any) -> Any:
        """Call a function while the loop runs."""

        async def call() -> Any:
            return action(*args)

        return self.run(call())

    def close(self) -> None:
        """End everything that still runs."""
        self.runner.close()

    # Processes.

    def connect(self, name: str, link: Link) -> TransactionalStore:
        """Return a process's client of the store."""
        return LinkedStore(self.store.connect(name, link))

    def make_calls(self, name: str, link: Link) -> WorkerCalls:
        """Return a process's client of the workers."""
        return LinkedCalls(FleetCalls(self.fleet, link), self.seats[name].link)

    def start_process(self, process: Process) -> "asyncio.Task[Any]":
        """Run a process as a simulated process."""
        return self.seats[process.name].machine.start(run_process(process))

    def start(self, name: str) -> None:
        """Start a process, or restart it."""
        self.seats[name] = Seat(SimulatedProcess(name), WorkLink())
        self.add_process(name)

    def kill_process(self, name: str) -> None:
        """Kill a process."""
        self.seats[name].machine.kill()

    def answers(self, name: str) -> bool:
        """Return whether a process answers others; a suspended one does not."""
        return name in self.find_running()

    def find_running(self) -> list[str]:
        """Return the processes that run."""
        return [
            name
            for name, seat in self.seats.items()
            if seat.machine.state is Running.YES
        ]

    def find_owner_name(self) -> str:
        """Return the process that schedules now, or the first one."""
        for name in self.find_running():
            if self.processes[name].election.term is not None:
                return name
        return PROCESSES[0]

    # Workers.

    def start_life(self, vm: str, clock_rate: float = 1.0, name: str = "") -> str:
        """Start the next incarnation of a worker on a VM; return its name."""
        self.incarnations += 1
        # The next incarnation's name may sort before or after the previous one.
        name = name or f"{(self.incarnations * 617) % 997:03d}-{vm}"
        worker = self.add_worker(
            name,
            make_address(vm),
            accelerators=ACCELERATORS,
            clock_rate=clock_rate,
            born=self.incarnations,
        )
        self.serving[vm] = worker
        return name

    def crash(self, vm: str, listed_for: float = STALE_ENTRY_SECONDS) -> None:
        """Crash a worker; its entry stays listed for some seconds."""
        worker = self.serving[vm]
        worker.crash()
        loop = asyncio.get_running_loop()
        loop.call_later(listed_for, self._remove_entry, vm, worker)

    def _remove_entry(self, vm: str, worker: FleetWorker) -> None:
        """Remove a former incarnation's entry, unless the next one has its id."""
        serving = self.serving[vm]
        worker_id = worker.entry.worker_id
        if not serving.alive or serving.entry.worker_id != worker_id:
            self.store.remove(f"servers/{worker_id}")

    def restart_life(
        self, vm: str, clock_rate: float = 1.0, same_id: bool = False
    ) -> None:
        """Start the next incarnation on a VM whose worker is down."""
        worker = self.serving[vm]
        if not worker.alive:
            name = worker.entry.worker_id if same_id else ""
            self.start_life(vm, clock_rate, name)

    def replace_leaving(self, vm: str) -> None:
        """End a worker that has announced that it leaves."""
        entry = self.store.read(f"servers/{self.serving[vm].entry.worker_id}")
        if entry is not None and b"draining" in entry.value:
            self.crash(vm, listed_for=0.0)

    def list_foreign(self, name: str, vm: str) -> None:
        """Write another writer's entry that names a VM's address."""
        self.list_worker(name, make_address(vm), accelerators=ACCELERATORS)

    def list_state(self, vm: str, state: str) -> None:
        """Rewrite a worker's own entry."""
        worker = self.serving[vm]
        if worker.alive:
            key = f"servers/{worker.entry.worker_id}"
            self.store.put(key, self.make_entry(vm).encode(state))

    def make_entry(self, vm: str) -> PlatformEntry:
        """Return the entry of the incarnation that served a VM last."""
        name, _, born = self.serving[vm].entry.worker.partition("/")
        address = make_address(vm)
        return PlatformEntry(name, address, "r1", ACCELERATORS, (), born=int(born))

    # Callers.

    def hand_in(
        self, process: str, seconds: float, steps: list[dict[str, Any]]
    ) -> None:
        """Submit a job to a process, without waiting for the answer."""
        job = Job(f"{len(self.jobs) + 1:016x}")
        self.jobs.append(job)
        for number, step in enumerate(steps):
            gang = step["count"] if step.get("gang") else 1
            for index in range(step["count"]):
                task = f"{job.job_id}.0.{number}.{index}"
                if gang == 1 or index == 0:
                    job.units.append([])
                job.units[-1].append(task)
                self.fleet.scripts[task] = Script(
                    seconds, gang=gang, checkpoints=step.get("checkpoint", False)
                )
        body = _encode_job(steps)

        def make(policy: Policy) -> Any:
            queue = _find_queue(policy)
            return read_submission(
                body, job.job_id, queue, ORGANISATION, read_wall_clock()
            )

        async def submit() -> None:
            await self.processes[process].submitting.submit(job.job_id, make)
            job.accepted = True

        self._call(process, submit())

    def cancel(self, process: str, index: int) -> None:
        """Send a job's cancellation to a process."""
        job = self.jobs[index]
        job.cancelled = True

        async def cancel() -> None:
            running = self.processes[process]
            queue = _find_queue(running.policies.require())
            await running.submitting.cancel(job.job_id, queue, ORGANISATION)

        self._call(process, cancel())

    def _call(self, process: str, work: Coroutine[Any, Any, None]) -> None:
        async def call() -> None:
            try:
                await work
            except Failure:
                return

        async def start() -> None:
            self._calls.append(self.seats[process].machine.start(call()))

        self.run(start())

    # Operators.

    def change_policy(self, attempts: int, queues: dict[str, int] | None) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        policy = make_policy(self.version, queues=queues, attempts=attempts)
        self.store.put(POLICY_KEY, policy)

    def overwrite_entry(self, vm: str, value: bytes) -> None:
        """Overwrite a live worker's own entry."""
        worker = self.serving[vm]
        if worker.alive:
            self.store.put(f"servers/{worker.entry.worker_id}", value)

    # The end of all faults.

    def heal(self) -> None:
        """End every fault, and restart what is down."""

        async def heal() -> None:
            self.store.faults = type(self.store.faults)()
            for vm in VMS:
                self.replace_leaving(vm)
                self.restart_life(vm)
                self.serving[vm].faults = type(self.serving[vm].faults)()
                # A foreign entry is overwritten by the next heartbeat.
                self.list_state(vm, "ready")
            self.change_policy(attempts=2, queues=None)
            for name, seat in list(self.seats.items()):
                if seat.machine.state is Running.KILLED:
                    self.start(name)
                seat.machine.resume()
                seat.link.heal()

        self.run(heal())

    def list_running(self) -> list[str]:
        """Return the tasks that run on live workers."""
        alive = [worker for worker in self.fleet.workers.values() if worker.alive]
        for worker in alive:
            worker.sweep()
        return [task for worker in alive for task in worker.runs]

    def settle(self) -> None:
        """Wait until every accepted job has ended, at most SETTLE_SECONDS."""
        waited = 0.0
        while waited < SETTLE_SECONDS and self.find_open():
            self.advance(SETTLE_STEP_SECONDS)
            check_ledger(self)
            waited += SETTLE_STEP_SECONDS

    def read_job(self, job: Job) -> JobState | None:
        """Return a job's state by the store; None if it has no record."""
        entry = self.store.read(make_progress_key(job.job_id))
        if entry is not None:
            return decode_progress(entry.value).state
        ended = self.store.read(make_ended_key(job.job_id))
        if ended is not None:
            return decode_ended(ended.value).state
        known = self.store.read(make_job_key(job.job_id))
        return JobState.QUEUED if known is not None else None

    def find_open(self) -> list[str]:
        """Return the open accepted jobs; a missing record is an error."""
        return [job.job_id for job in self.jobs if job.accepted and self._is_open(job)]

    def _is_open(self, job: Job) -> bool:
        state = self.do(self.read_job, job)
        if state is None:
            known_for = self.runner.now - (job.ended_at or self.runner.now)
            assert known_for >= STATUS_RETENTION_SECONDS, (
                f"{job.job_id} has no record any more"
            )
            return False
        if state.final and job.ended_at is None:
            job.ended_at = self.runner.now
        return not state.final


def _find_queue(policy: Policy) -> Queue:
    """Return the queue of all jobs; operators may have removed it."""
    queue = policy.find_queue_by_name(QUEUE)
    if queue is None:
        raise Failure(ErrorKind.NOT_FOUND, "no such queue")
    return queue


def _encode_job(steps: list[dict[str, Any]]) -> bytes:
    with_defaults = [
        {"cpu": 1000, "mem_mb": 1000, "gpu": 1, "estimate_ms": 2000, **step}
        for step in steps
    ]
    return json.dumps({"spec": "", "steps": with_defaults}).encode()


def check_ledger(world: WorkWorld) -> None:
    """Check for concurrent or repeated runs of a task, and for lost jobs."""
    world.find_open()
    assert not world.fleet.violations, world.fleet.violations


def check_ended(world: WorkWorld) -> None:
    """Check that every accepted job not cancelled succeeded, and that no task runs."""
    world.settle()
    open_jobs = world.find_open()
    assert not open_jobs, f"not ended {SETTLE_SECONDS:.0f} s after the last fault"
    for job in world.jobs:
        if job.accepted and not job.cancelled:
            state = world.do(world.read_job, job)
            assert state in (JobState.COMPLETED, None), f"{job.job_id} is {state}"
            check_units(world, job)
    waited = 0.0
    while (left := world.do(world.list_running)) and waited < IDLE_SECONDS:
        world.advance(SETTLE_STEP_SECONDS)
        waited += SETTLE_STEP_SECONDS
    assert not left, f"{left} still run after every job has ended"


def check_units(world: WorkWorld, job: Job) -> None:
    """Check that every task of a completed job, or its gang, succeeded."""
    succeeded = {task for task, _, kind in world.fleet.ends if kind is EndKind.DONE}
    for unit in job.units:
        assert succeeded.intersection(unit), f"{unit} never succeeded"

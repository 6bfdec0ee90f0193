"""Placers, a store and workers on one paused clock, with checks of the guarantees."""

import asyncio
import random
from collections import Counter
from collections.abc import Collection, Sequence
from dataclasses import dataclass, replace
from itertools import pairwise

import msgspec
from features.doubles.network import (
    CONTROL_TIMEOUT_SECONDS,
    FaultyStore,
    FaultyWorkers,
    Link,
)
from features.doubles.processes import PausedRunner, Running, SimulatedProcess

from primrosestile.coordination.caretaker import Caretaker
from primrosestile.coordination.claims import Claims
from primrosestile.coordination.job_table import decode_job, make_job_key
from primrosestile.coordination.membership import (
    Directory,
    ProcessLease,
    Registration,
)
from primrosestile.coordination.ownership import Ownership
from primrosestile.coordination.submission import Submission, Submissions
from primrosestile.coordination.vm_watch import VmWatch
from primrosestile.decisions.cell_selection import CellSummary
from primrosestile.errors import Failure
from primrosestile.protocol.workers import TaskReport
from primrosestile.state.fleet import Cell, FailureDomain, Fleet, Rack, Worker
from primrosestile.state.jobs import (
    JOBS_PREFIX,
    JobRecord,
    JobSpec,
    JobState,
    ProcessRecord,
)
from primrosestile.state.settings import Settings
from primrosestile.state.tenancy import Adjacency, Guarantees, Shape, Team, Urgency
from primrosestile_standin.fleet import MemoryVmList, MemoryWorkers
from primrosestile_standin.ledger import TaskRun
from primrosestile_standin.store import MemoryStore
from primrosestile_standin.worker import MemoryWorker

CELL = "osborne-1"
MOVED_JOB = "malaga-1.0000"
WORKERS = ("w0", "w1", "w2", "w3")
PLACERS = ("p0", "p1", "p2")
ACCELERATORS = 2
GANG = Shape(4, Adjacency.RACK)
OWNER_LEASE_SECONDS = 4
TASK_LEASE_SECONDS = 15.0
# A gang that lost a member has stopped everywhere within one lease. A command in flight
# takes at most its timeout, and a late one half a second more.
PARTIAL_BOUND_SECONDS = TASK_LEASE_SECONDS + CONTROL_TIMEOUT_SECONDS + 0.5
LEAVING_BOUND_SECONDS = 5.0
# After every fault has ended: two leases, a recovery, and the longest delay before a
# start is retried, for four jobs of a minute, two at a time.
SETTLE_SECONDS = 300.0


def make_settings() -> Settings:
    workers = tuple(
        Worker(name, "rack-1", f"{name}:1", accelerators=ACCELERATORS)
        for name in WORKERS
    )
    fleet = Fleet(
        (FailureDomain("osborne", "perth-metro"),),
        (Rack("rack-1", "osborne"),),
        (Cell(CELL, ("rack-1",)),),
        workers,
    )
    team = Team("shows", "domeworks", quota_accelerators=64)
    guarantees = Guarantees(organisations=("domeworks",))
    return Settings(fleet=fleet, guarantees=guarantees, teams=(team,))


class NoHolderEnds:
    """Treats every holder of a claim as alive."""

    def is_alive(self, holder: str) -> bool:
        return True


class NoOtherCell:
    """Reports no cell that a waiting job could be moved to."""

    def list_summaries(self, organisation: str, shape: Shape) -> list[CellSummary]:
        return []

    def note_handed(self, cell: str, accelerators: int) -> None:
        raise AssertionError(f"a job was moved to {cell}")

    def count_used(self, skipped: Collection[str]) -> Counter[str]:
        return Counter()


class Placer:
    """One placer process, assembled like in its program."""

    def __init__(self, deployment: "Deployment", name: str, incarnation: int) -> None:
        self.process = SimulatedProcess(name)
        self.store_link = Link()
        self.worker_link = Link()
        self._deployment = deployment
        store = FaultyStore(deployment.store, self.store_link)
        workers = FaultyWorkers(deployment.workers, self.worker_link)
        self.lease = ProcessLease(store, OWNER_LEASE_SECONDS)
        self.directory = Directory(store)
        record = ProcessRecord(
            name, name, "placer", "osborne", "", f"{name}:1", str(incarnation)
        )
        self.registration = Registration(store, self.lease, record)
        self.ownership = Ownership(
            store,
            workers,
            self.lease,
            self.directory,
            record,
            TASK_LEASE_SECONDS,
            NoOtherCell(),
        )
        self.vms = VmWatch(deployment.vm_list, self.ownership.note_listed)
        self.caretaker = Caretaker(
            name,
            workers,
            self.lease,
            self.directory,
            lambda: deployment.settings,
            lambda: self.ownership.keepers,
            TASK_LEASE_SECONDS,
        )

    def start(self) -> None:
        self.process.main = self.process.start(self._run())

    async def _own(self) -> None:
        await self.vms.first_read.wait()
        await self.ownership.run()

    async def _run(self) -> None:
        self.ownership.take_settings(self._deployment.settings)
        async with asyncio.TaskGroup() as group:
            for work in (
                self.lease.run(),
                self.directory.run(),
                self.registration.run(),
                self._own(),
                self.caretaker.run(),
                self.vms.run(),
            ):
                group.create_task(work)

    @property
    def crash(self) -> BaseException | None:
        main = self.process.main
        if main is None or not main.done() or main.cancelled():
            return None
        return main.exception()


@dataclass(slots=True)
class Submitted:
    """One job as seen by its caller.

    Attributes:
        told: `accepted`, or the kind of the refusal.
        not_run: Whether the caller was told that the job did not run.
    """

    spec: JobSpec
    told: str = ""
    not_run: bool = False


class Deployment:
    """The processes, store and workers of one fuzzed run."""

    def __init__(self, seed: int = 0) -> None:
        random.seed(seed)
        self.runner = PausedRunner()
        self.settings = make_settings()
        self.submitted: list[Submitted] = []
        self.left: dict[str, float] = {}
        self.paused_until = 0.0
        self.placers: dict[str, Placer] = {}
        self._incarnations = 0
        self.runner.run(self._build())

    async def _build(self) -> None:
        self.store = MemoryStore()
        self.workers_by_name = {
            name: MemoryWorker(name, accelerators=ACCELERATORS) for name in WORKERS
        }
        self.workers = MemoryWorkers(self.workers_by_name)
        self.vm_list = MemoryVmList()
        self.entry_link = Link()
        store = FaultyStore(self.store, self.entry_link)
        self.submissions = Submissions(store, Claims(store, "entry", NoHolderEnds()))
        for name in PLACERS:
            self._start_placer(name)

    def _start_placer(self, name: str) -> None:
        self._incarnations += 1
        placer = Placer(self, name, self._incarnations)
        self.placers[name] = placer
        placer.start()

    def advance(self, seconds: float) -> None:
        self.runner.advance(seconds)

    def submit(self, seconds: float, restartable: bool) -> None:
        """Submit a gang of two whole workers, and record the answer to its caller."""
        self.runner.run(self._submit(seconds, restartable))

    async def _submit(self, seconds: float, restartable: bool) -> None:
        number = len(self.submitted)
        spec = JobSpec(
            job_id=f"{CELL}.{number:04d}",
            organisation="domeworks",
            team="shows",
            job_class="render",
            shape=GANG,
            urgency=Urgency.PATIENT,
            restartable=restartable,
            checkpoints=False,
            declared_seconds=seconds,
        )
        submitted = Submitted(spec)
        self.submitted.append(submitted)
        submission = Submission(spec, f"request-{number}", "")
        try:
            await self.submissions.submit(submission)
            submitted.told = "accepted"
        except Failure as failure:
            submitted.told = failure.kind.value
            submitted.not_run = failure.not_run

    def cancel(self, number: int) -> bool:
        """Ask for a job's cancellation; return whether that was accepted."""
        return self.runner.run(self._cancel(self.submitted[number].spec.job_id))

    async def _cancel(self, job_id: str) -> bool:
        try:
            await self.submissions.cancel(job_id)
        except Failure:
            return False
        return True

    def put_half_moved(self, number: int) -> None:
        """Leave a waiting job as if its mover died before the last write."""
        self.runner.run(self._put_half_moved(self.submitted[number].spec.job_id))

    async def _put_half_moved(self, job_id: str) -> None:
        key = make_job_key(job_id)
        entry = self.store.read_all()[key]
        record = decode_job(entry.value)
        there = replace(record, spec=replace(record.spec, job_id=MOVED_JOB))
        moving = replace(record, state=JobState.MOVING, moved_to=MOVED_JOB)
        await self.store.put(key, msgspec.json.encode(moving), entry.mod_revision)
        await self.store.put(make_job_key(MOVED_JOB), msgspec.json.encode(there), 0)

    def read_moved(self) -> JobRecord:
        """Return the record of the job that was half moved."""
        return decode_job(self.store.read_all()[make_job_key(MOVED_JOB)].value)

    def pause(self, name: str) -> None:
        self.placers[name].process.pause()

    def resume(self, name: str) -> None:
        self.runner.run(self._resume(name))

    async def _resume(self, name: str) -> None:
        self.placers[name].process.resume()
        self.paused_until = asyncio.get_running_loop().time()

    def kill(self, name: str) -> None:
        self.placers[name].process.kill()

    def restart(self, name: str) -> None:
        """Replace a placer by a new one of the same name."""
        self.kill(name)
        self.runner.run(self._restart(name))

    async def _restart(self, name: str) -> None:
        self._start_placer(name)

    def leave(self, name: str, told: bool, listed: bool) -> None:
        """Make a worker leave, reported by the VM list, the worker itself or both."""
        self.left.setdefault(name, self.runner.now)
        if told:
            self.runner.run(self._tell_leaving(name))
        if listed:
            self.vm_list.show(name, leaving=True)

    async def _tell_leaving(self, name: str) -> None:
        self.workers_by_name[name].leave()

    def lose_tasks(self, name: str) -> None:
        """Make a worker stop all its tasks, as when its engine dies."""
        self.runner.run(self._lose_tasks(name))

    async def _lose_tasks(self, name: str) -> None:
        worker = self.workers_by_name[name]
        for task in worker.report(0).tasks:
            worker.stop(worker.epoch, task.task_id)

    def kill_worker(self, name: str) -> None:
        """Make a worker die; after a restart it holds no tasks."""
        self.lose_tasks(name)
        self.workers_by_name[name].faults.down = True

    def heal(self) -> None:
        """End every fault; a killed placer is replaced."""
        self.store.faults.down = False
        self.store.faults.slow_seconds = 0.0
        self.store.faults.silent_watches = False
        self.entry_link.fates.clear()
        self.entry_link.cut = False
        for worker in self.workers_by_name.values():
            worker.faults.down = False
            worker.faults.frozen = False
        for name, placer in list(self.placers.items()):
            for link in (placer.store_link, placer.worker_link):
                link.fates.clear()
                link.cut = False
                link.cut_workers.clear()
            self.resume(name)
            if placer.process.state is Running.KILLED:
                self.restart(name)

    def close(self) -> None:
        self.runner.close()

    def read_record(self, job_id: str) -> JobRecord | None:
        entry = self.store.read_all().get(f"{JOBS_PREFIX}{CELL}/{job_id}")
        return decode_job(entry.value) if entry else None

    def list_tasks(self) -> list[TaskReport]:
        """Return the tasks that the workers report."""
        return self.runner.run(self._list_tasks())

    async def _list_tasks(self) -> list[TaskReport]:
        workers = self.workers_by_name.values()
        return [task for worker in workers for task in worker.report(0).tasks]

    def list_runs(self) -> list[TaskRun]:
        return [
            run
            for worker in self.workers_by_name.values()
            for run in worker.ledger.tasks
        ]


# The oracle: one short check for each guarantee, over the workers' own ledgers.


def check_gangs(deployment: Deployment) -> None:
    """Check every guarantee about gangs that must hold at any moment."""
    runs = deployment.list_runs()
    now = deployment.runner.now
    for submitted in deployment.submitted:
        spec = submitted.spec
        own = [run for run in runs if run.job_id == spec.job_id]
        attempts = sorted({run.attempt for run in own})
        check_told(submitted, deployment.read_record(spec.job_id), own)
        if not spec.restartable:
            assert len(attempts) <= 1, f"{spec.job_id} ran as attempts {attempts}"
        spans = []
        for attempt in attempts:
            members = [run for run in own if run.attempt == attempt]
            check_whole(members, spec.shape.accelerators, now)
            spans.append((min(run.start for run in members), members))
        check_one_at_a_time(spans, now)
    check_leaving(deployment, runs)
    for placer in deployment.placers.values():
        assert placer.crash is None, f"{placer.process.name} ended: {placer.crash!r}"


def check_told(
    submitted: Submitted, record: JobRecord | None, runs: Sequence[TaskRun]
) -> None:
    """A job reported as 'not run' has not run, and an accepted job is kept."""
    job_id = submitted.spec.job_id
    if submitted.not_run:
        assert not runs, f"{job_id} was told '{submitted.told}', not run, and ran"
    if submitted.told == "accepted":
        assert record is not None, f"{job_id} was accepted and is gone"
    if record is not None and record.state is JobState.CANCELLED:
        assert record.attempt or not runs, f"{job_id} ran though cancelled before"


def check_whole(members: Sequence[TaskRun], accelerators: int, now: float) -> None:
    """No gang runs in part for longer than the bound.

    A member that has finished its work is not missing.
    """
    times = sorted({run.start for run in members} | {run.end or now for run in members})
    partial_since: float | None = None
    for begin, end in pairwise(times):
        running = [run for run in members if run.start <= begin < (run.end or now)]
        done = [
            run
            for run in members
            if run.outcome == "finished" and run.end is not None and run.end <= begin
        ]
        count = sum(len(run.accelerators) for run in (*running, *done))
        if not running or count >= accelerators:
            partial_since = None
            continue
        partial_since = begin if partial_since is None else partial_since
        seconds = end - partial_since
        assert seconds <= PARTIAL_BOUND_SECONDS, (
            f"{members[0].task_id} ran in part for {seconds:.1f} s"
        )


def check_one_at_a_time(
    spans: Sequence[tuple[float, Sequence[TaskRun]]], now: float
) -> None:
    """No attempt starts while a member of an earlier one still runs."""
    for index, (start, members) in enumerate(spans):
        for _, earlier in spans[:index]:
            for run in earlier:
                ended = now if run.end is None else run.end
                assert ended <= start, (
                    f"{members[0].task_id} started at {start:.1f} while "
                    f"{run.task_id} ran on {run.worker} until {ended:.1f}"
                )


def check_leaving(deployment: Deployment, runs: Sequence[TaskRun]) -> None:
    """A leaving worker gets no new task after the bound.

    A placer that is paused between its last check and its command is late by that
    pause, which no check of its own can prevent.
    """
    for name, since in deployment.left.items():
        latest = max(since, deployment.paused_until) + LEAVING_BOUND_SECONDS
        late = [run for run in runs if run.worker == name and run.start > latest]
        assert not late, f"{late[0].task_id} started on {name}, which is leaving"


def check_settled(deployment: Deployment) -> None:
    """After every fault has ended, no accepted job is stuck."""
    for submitted in deployment.submitted:
        record = deployment.read_record(submitted.spec.job_id)
        if submitted.told != "accepted":
            continue
        assert record is not None
        reasons = [reason.code.value for reason in record.history]
        assert record.state.is_final, f"{record.spec.job_id} is stuck: {reasons}"

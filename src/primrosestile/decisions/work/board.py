"""The owner's picture of the fleet: what waits, what runs where, what has room.

A unit is what starts as one: a task, or all tasks of a gang. Its members are the
tasks of its latest run, one each on a worker. A member is gone only when that is
certain: its end was listed, its start was definitely refused, its worker's life
is over, or its lease has run out on the worker's clock. A unit may be started
again only when all of its members are gone; otherwise a start that was carried
out late, or a worker that was cut off and ran on, would run a task twice.
"""

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum

from primrosestile.state.policy import Policy, Queue
from primrosestile.state.work import (
    JobState,
    Need,
    Phase,
    Progress,
    Step,
    Submission,
    UnitKey,
    UnitRecord,
)
from primrosestile.state.workers import EndKind, WorkerEntry

# What a job is judged by when no policy names its queue any more.
_FORGOTTEN_QUEUE = Queue("", "", "", "", 2, 1, 3.0, 3.0, 3.0)


class MemberState(Enum):
    """What is known of one member of the latest run.

    `SENT`: its start was recorded; it may run. `UP`: its worker has said that it
    runs. `GONE`: it certainly does not run, and never will.
    """

    SENT = 1
    UP = 2
    GONE = 3


@dataclass(slots=True, eq=False)
class Member:
    """One task of a unit's latest run, on one worker.

    Attributes:
        since: When its run was decided, on the loop's clock.
        restored: It was ordered by an earlier owner, under a lower fence.
        resumed: It began from a checkpoint, not from the beginning.
        up_at: When its worker first said that it runs.
        moved_at: When its progress was last seen to rise.
    """

    unit: "Unit"
    task: str
    run: int
    worker: str
    state: MemberState = MemberState.SENT
    since: float = 0.0
    restored: bool = False
    resumed: bool = False
    percent: float = 0.0
    usage: float = 0.0
    up_at: float = 0.0
    moved_at: float = 0.0


@dataclass(slots=True, eq=False)
class Unit:
    """What starts as one.

    Attributes:
        ready_at: When it became possible to start it; None before.
        abandoned: Its present run is to end; members are being stopped.
        failed_here: A failure of its present run was counted.
        failed_on: Workers on which a run of it failed.
        claim: Workers that are being freed for it, or waited for.
        claimed_until: When they are expected to be free.
    """

    job: "Job"
    key: UnitKey
    step: Step
    ready_at: float | None = None
    phase: Phase = Phase.WAITING
    run: int = 0
    failures: int = 0
    checkpoint: str = ""
    members: tuple[Member, ...] = ()
    abandoned: bool = False
    failed_here: bool = False
    failed_on: set[str] = field(default_factory=set)
    claim: tuple[str, ...] = ()
    claimed_until: float = 0.0

    @property
    def size(self) -> int:
        """Tasks that start together."""
        return self.step.count if self.step.gang else 1

    @property
    def step_key(self) -> tuple[str, int, int]:
        """Its step within its occurrence."""
        return self.job.job_id, self.key.occurrence, self.key.step

    @property
    def idle(self) -> bool:
        """Whether it waits and nothing of an earlier run can still be there."""
        return self.phase is Phase.WAITING and not self.members

    def name_task(self, position: int) -> str:
        """Return the name of a member's task."""
        number = position if self.step.gang else self.key.position
        return f"{self.job.job_id}.{self.key.occurrence}.{self.key.step}.{number}"

    def make_record(self) -> UnitRecord:
        """Return what the store keeps of it."""
        workers: tuple[str, ...] = ()
        if self.phase is Phase.ORDERED:
            workers = tuple(member.worker for member in self.members)
        return UnitRecord(
            *self.key,
            phase=self.phase,
            run=self.run,
            failures=self.failures,
            workers=workers,
            checkpoint=self.checkpoint,
        )


@dataclass(slots=True, eq=False)
class Job:
    """One accepted job and its units so far.

    Attributes:
        accepted: When we learnt of it, on the loop's clock, moved back by its age.
        occurrences: How many have been opened.
    """

    submission: Submission
    queue: Queue
    accepted: float
    state: JobState = JobState.QUEUED
    units: dict[UnitKey, Unit] = field(default_factory=dict)
    occurrences: int = 0
    ended_at: float = 0.0

    @property
    def job_id(self) -> str:
        """The id that its caller chose."""
        return self.submission.job_id

    @property
    def occurrence_count(self) -> int:
        """How often its steps run in all."""
        return max(1, self.submission.repeats.count)

    def list_step(self, occurrence: int, step: int) -> Iterator[Unit]:
        """Yield the units of one step of one occurrence."""
        shape = self.submission.steps[step]
        for index in range(1 if shape.gang else shape.count):
            yield self.units[UnitKey(occurrence, step, index)]

    def is_step_done(self, occurrence: int, step: int) -> bool:
        """Whether all tasks of a step have ended well."""
        return all(
            unit.phase is Phase.DONE for unit in self.list_step(occurrence, step)
        )

    def make_progress(self) -> Progress:
        """Return what the store keeps of it."""
        units = tuple(
            unit.make_record()
            for unit in self.units.values()
            if unit.run or unit.phase is not Phase.WAITING
        )
        return Progress(self.state, units, self.ended_at)


@dataclass(slots=True, eq=False)
class Worker:
    """One life of a worker, and what is on it or may be.

    Attributes:
        in_hand: It has accepted our fence, and its clock is known.
        listed: It stands in the store's list.
        distrusted_until: It gets no work before, as work on it went badly.
        leaves_at: When it may be gone, once it has said that it leaves.
        used: What its members take, gone ones left out.
    """

    entry: WorkerEntry
    in_hand: bool = False
    listed: bool = True
    distrusted_until: float = 0.0
    leaves_at: float = math.inf
    members: dict[tuple[str, int], Member] = field(default_factory=dict)
    processor: int = 0
    memory: int = 0
    accelerators: int = 0

    @property
    def name(self) -> str:
        """The name of this life."""
        return self.entry.worker

    def may_take(self, now: float) -> bool:
        """Whether new work may go there at all."""
        return (
            self.in_hand
            and self.listed
            and not self.entry.leaving
            and now >= self.distrusted_until
        )

    def attach(self, member: Member) -> None:
        """Count a member in."""
        self.members[member.task, member.run] = member
        self._count(member.unit.step, 1)

    def detach(self, member: Member) -> None:
        """Count a member out."""
        if self.members.pop((member.task, member.run), None) is not None:
            self._count(member.unit.step, -1)

    def _count(self, step: Step, sign: int) -> None:
        need = step.need
        if not step.filling:
            self.processor += sign * need.processor
        self.memory += sign * need.memory
        self.accelerators += sign * need.accelerators

    def find_room(self) -> Need:
        """Return what is free."""
        capacity = self.entry.capacity
        return Need(
            capacity.processor - self.processor,
            capacity.memory - self.memory,
            capacity.accelerators - self.accelerators,
        )


class Board:
    """The picture; events change it, decisions read it.

    Attributes:
        changed: Jobs whose records differ from what was last taken.
    """

    def __init__(self, policy: Policy) -> None:
        self.policy = policy
        self.jobs: dict[str, Job] = {}
        self.workers: dict[str, Worker] = {}
        self.changed: set[Job] = set()
        # Seconds since 1970, as of the present event.
        self.wall = 0.0
        # Members on workers that no entry names, of which only time can tell.
        self.astray: dict[str, list[Member]] = {}

    def take_policy(self, policy: Policy) -> None:
        """Judge by a newer version; jobs keep the last queue of their name."""
        self.policy = policy
        for job in self.jobs.values():
            job.queue = policy.find_named(job.submission.queue) or job.queue

    def admit(
        self, submission: Submission, progress: Progress | None, now: float, age: float
    ) -> Job:
        """Add a job, as it was accepted or as far as an earlier owner brought it."""
        queue = self.policy.find_named(submission.queue) or _FORGOTTEN_QUEUE
        job = Job(submission, queue, now - age)
        self.jobs[job.job_id] = job
        if progress is None:
            return job
        job.state = progress.state
        job.ended_at = progress.ended_at
        opened = max((each.occurrence + 1 for each in progress.units), default=0)
        for occurrence in range(opened):
            self.open_occurrence(job, occurrence)
        for record in progress.units:
            self._restore(job, record, now)
        return job

    def open_occurrence(self, job: Job, occurrence: int) -> None:
        """Make the units of one occurrence."""
        job.occurrences = max(job.occurrences, occurrence + 1)
        for number, step in enumerate(job.submission.steps):
            for index in range(1 if step.gang else step.count):
                key = UnitKey(occurrence, number, index)
                job.units[key] = Unit(job, key, step)

    def _restore(self, job: Job, record: UnitRecord, now: float) -> None:
        key = UnitKey(record.occurrence, record.step, record.index)
        unit = job.units[key]
        unit.phase = Phase(record.phase)
        unit.run = record.run
        unit.failures = record.failures
        unit.checkpoint = record.checkpoint
        if unit.phase is Phase.ORDERED:
            self.place_members(unit, record.workers, now)
            for member in unit.members:
                member.restored = True

    def order(self, unit: Unit, workers: Iterable[str], now: float) -> None:
        """Give a waiting unit its next run on workers."""
        unit.phase = Phase.ORDERED
        unit.run += 1
        unit.abandoned = False
        unit.failed_here = False
        unit.claim = ()
        self.place_members(unit, workers, now)
        self.changed.add(unit.job)

    def place_members(self, unit: Unit, workers: Iterable[str], now: float) -> None:
        """Make the members of a unit's run."""
        unit.members = tuple(
            Member(
                unit,
                unit.name_task(position),
                unit.run,
                name,
                since=now,
                resumed=bool(unit.checkpoint and unit.step.checkpoints),
                moved_at=now,
            )
            for position, name in enumerate(workers)
        )
        for member in unit.members:
            worker = self.workers.get(member.worker)
            if worker is None:
                self.astray.setdefault(member.worker, []).append(member)
            else:
                worker.attach(member)

    def add_worker(self, entry: WorkerEntry) -> Worker:
        """Add a life of a worker, with the members that records name on it."""
        worker = Worker(entry)
        self.workers[entry.worker] = worker
        for member in self.astray.pop(entry.worker, ()):
            if member.state is not MemberState.GONE:
                worker.attach(member)
        return worker

    def drop_worker(self, name: str) -> None:
        """Note that a worker's life is certainly over, or its lease has run out."""
        for member in self.astray.pop(name, []):
            self.note_gone(member)
        worker = self.workers.pop(name, None)
        if worker is None:
            return
        for member in list(worker.members.values()):
            self.note_gone(member)

    def clear_worker(self, worker: Worker) -> None:
        """Note that nothing can be running on a worker, which may come back."""
        for member in list(worker.members.values()):
            self.note_gone(member)

    def find_member(self, task: str, run: int) -> Member | None:
        """Return the member of a unit's latest run, if this is one."""
        unit = self._find_unit(task)
        if unit is None:
            return None
        for member in unit.members:
            if member.task == task and member.run == run:
                return member
        return None

    def _find_unit(self, task: str) -> Unit | None:
        parts = task.split(".")
        if len(parts) != 4:
            return None
        job = self.jobs.get(parts[0])
        if job is None:
            return None
        occurrence, step, index = int(parts[1]), int(parts[2]), int(parts[3])
        if step >= len(job.submission.steps):
            return None
        if job.submission.steps[step].gang:
            index = 0
        return job.units.get(UnitKey(occurrence, step, index))

    def note_end(self, task: str, run: int, kind: EndKind, checkpoint: str) -> None:
        """Take in the end of a run; that of an older run changes nothing."""
        member = self.find_member(task, run)
        if member is None or member.state is MemberState.GONE:
            return
        unit = member.unit
        if checkpoint:
            unit.checkpoint = checkpoint
        if kind is EndKind.DONE and not unit.step.lasting:
            self._note_done(unit)
        elif kind is EndKind.FAILED:
            self._note_failed(unit, member.worker)
        elif unit.phase is Phase.ORDERED:
            unit.abandoned = True
        self.changed.add(unit.job)
        self.note_gone(member)

    def _note_done(self, unit: Unit) -> None:
        if unit.phase is not Phase.ORDERED:
            return
        unit.phase = Phase.DONE
        job = unit.job
        if job.state.final:
            return
        if self._is_job_done(job):
            self.finish(job, JobState.COMPLETED)

    def _is_job_done(self, job: Job) -> bool:
        if job.occurrences < job.occurrence_count:
            return False
        return all(unit.phase is Phase.DONE for unit in job.units.values())

    def _note_failed(self, unit: Unit, worker: str) -> None:
        """Count one failure a run, however many members of a gang report it."""
        if unit.phase is not Phase.ORDERED:
            return
        unit.abandoned = True
        unit.failed_on.add(worker)
        if unit.failed_here:
            return
        unit.failed_here = True
        unit.failures += 1
        if unit.step.lasting or unit.failures < unit.job.queue.attempts:
            return
        self.finish(unit.job, JobState.FAILED)

    def finish(self, job: Job, state: JobState) -> None:
        """Bring a job to its final state; what runs of it is to be stopped."""
        if job.state.final:
            return
        job.state = state
        job.ended_at = self.wall
        self.changed.add(job)
        if state is JobState.COMPLETED:
            return
        for unit in job.units.values():
            if unit.phase is Phase.ORDERED:
                unit.abandoned = True

    def abandon(self, unit: Unit) -> None:
        """End a unit's present run, so that it can be started again."""
        if unit.phase is Phase.ORDERED:
            unit.abandoned = True

    def note_gone(self, member: Member) -> None:
        """Note that a member certainly does not run, and never will."""
        if member.state is MemberState.GONE:
            return
        member.state = MemberState.GONE
        worker = self.workers.get(member.worker)
        if worker is not None:
            worker.detach(member)
        unit = member.unit
        if unit.phase is Phase.ORDERED:
            unit.abandoned = True
            self.changed.add(unit.job)
        if any(each.state is not MemberState.GONE for each in unit.members):
            return
        unit.members = ()
        if unit.phase is Phase.ORDERED:
            unit.phase = Phase.WAITING
            unit.abandoned = False

    def note_up(self, member: Member, now: float) -> None:
        """Note that a worker has said that a member runs."""
        if member.state is not MemberState.SENT:
            return
        member.state = MemberState.UP
        member.up_at = member.moved_at = now
        job = member.unit.job
        if job.state is JobState.QUEUED:
            job.state = JobState.RUNNING
            self.changed.add(job)

    def list_stopping(self) -> Iterator[Member]:
        """Yield the members that are to be stopped."""
        for worker in self.workers.values():
            for member in worker.members.values():
                if member.unit.abandoned and member.state is not MemberState.GONE:
                    yield member

    def list_waiting(self, now: float) -> list[Unit]:
        """Return the units that could start, were there room."""
        waiting: list[Unit] = []
        for job in self.jobs.values():
            if job.state.final:
                continue
            waiting += self._list_startable(job, now)
        return waiting

    def _list_startable(self, job: Job, now: float) -> Iterator[Unit]:
        done: dict[tuple[int, int], bool] = {}
        for unit in job.units.values():
            if not unit.idle:
                continue
            occurrence = unit.key.occurrence
            if self._are_done(job, occurrence, unit.step.after, done):
                if unit.ready_at is None:
                    unit.ready_at = now
                yield unit

    def _are_done(
        self,
        job: Job,
        occurrence: int,
        steps: tuple[int, ...],
        known: dict[tuple[int, int], bool],
    ) -> bool:
        for step in steps:
            if (occurrence, step) not in known:
                known[occurrence, step] = job.is_step_done(occurrence, step)
            if not known[occurrence, step]:
                return False
        return True

    def count(self) -> dict[str, int]:
        """Return figures of the moment, for those who watch over the fleet."""
        open_jobs = [job for job in self.jobs.values() if not job.state.final]
        phases = [unit.phase for job in open_jobs for unit in job.units.values()]
        return {
            "open_jobs": len(open_jobs),
            "waiting_units": phases.count(Phase.WAITING),
            "running_units": phases.count(Phase.ORDERED),
            "workers_in_hand": sum(each.in_hand for each in self.workers.values()),
            "workers": len(self.workers),
        }

    def take_changed(self) -> set[Job]:
        """Return the jobs whose records must be written, and forget them."""
        changed = self.changed
        self.changed = set()
        return changed

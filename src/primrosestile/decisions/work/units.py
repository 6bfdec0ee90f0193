"""Jobs, units, members and workers of the fleet's state.

A unit is what starts as one: a task, or all tasks of a gang. Its members are the
tasks of its latest run, one each on a worker. A member is gone only when that is
certain: its end was listed, its start was definitely refused, its worker's
incarnation has ended, or its lease has run out on the worker's clock. A unit may be
started again only when all of its members are gone; otherwise a start that is carried
out late, or a worker that is partitioned and runs on, would run a task twice.
"""

import math
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from primrosestile.decisions.work.permits import Permits
from primrosestile.state.policy import Queue
from primrosestile.state.work import (
    CrashCount,
    JobState,
    Need,
    Phase,
    Progress,
    Step,
    Submission,
    UnitKey,
    UnitRecord,
)
from primrosestile.state.workers import WorkerEntry

# The pace that an earlier owner set is not known. Beside a service such a best-effort
# task is set to 0 and raised from there, since that owner may have reduced it from full
# speed.
UNKNOWN_PACE = -1


class MemberState(Enum):
    """What is known of one member of the latest run.

    `DECIDED`: its start is being recorded; nothing was sent. `SENT`: its start was
    sent, or may have been sent by an earlier owner; it may run. `UP`: its worker has
    reported that it runs. `GONE`: it certainly does not run, and never will.
    """

    DECIDED = 0
    SENT = 1
    UP = 2
    GONE = 3


@dataclass(slots=True, eq=False)
class Member:
    """One task of a unit's latest run, on one worker.

    Attributes:
        decided_at: When its run was decided, on the loop's clock.
        sent_at: When its start was first sent; None before that.
        reached: Its worker could be reached by its start: it has answered, or the
            connection has ended; a start that timed out may never have arrived.
        unanswered_at: When its start was last sent without an answer.
        restored: It was ordered by an earlier owner, under a lower fence.
        resumed: It began from a checkpoint, not from the beginning.
        up_at: When its worker first reported that it runs.
        measured_at: Since when its speed is measured.
        measured_percent: Its progress then.
        progressed_at: When its progress was last seen to rise.
        heard_at: When its progress was last reported.
        address: Where its worker has answered as this incarnation; empty if not known.
        pace: The share of its speed that its worker was told to give it, in percent;
            UNKNOWN_PACE while that is not known.
        paced_at: When the pace last changed.
        stopping_at: When a pass first saw that it is to be stopped.
        comparisons: How often its speed was compared with that of its gang.
    """

    unit: "Unit"
    task: str
    run: int
    worker: str
    state: MemberState = MemberState.DECIDED
    decided_at: float = 0.0
    sent_at: float | None = None
    reached: bool = False
    unanswered_at: float = -math.inf
    restored: bool = False
    resumed: bool = False
    percent: float = 0.0
    usage: float = 0.0
    up_at: float = 0.0
    measured_at: float = 0.0
    measured_percent: float = 0.0
    progressed_at: float = 0.0
    heard_at: float = 0.0
    address: str = ""
    pace: int = 100
    paced_at: float = 0.0
    stopping_at: float | None = None
    comparisons: int = 0

    @property
    def is_current(self) -> bool:
        """Whether its run is the one that its unit has now."""
        unit = self.unit
        return unit.phase is Phase.ORDERED and unit.run == self.run

    def record_sent(self, now: float) -> None:
        """Record that its start is sent, or was sent by an earlier owner."""
        if self.state is MemberState.DECIDED:
            self.state = MemberState.SENT
            self.sent_at = now

    def record_unsent(self) -> None:
        """Record that no connection was made for its start, so nothing was sent."""
        if self.state is MemberState.SENT:
            self.state = MemberState.DECIDED
            self.sent_at = None

    def find_age(self, now: float) -> float:
        """Return for how long it can have run, in seconds; 0 before it was sent."""
        return 0.0 if self.sent_at is None else now - self.sent_at

    def find_run_seconds(self, now: float) -> float:
        """Return for how long it has run, in seconds, as far as is known."""
        return now - self.up_at if self.up_at else self.find_age(now)

    def record_progress(self, percent: float, now: float) -> None:
        """Record the progress that its worker reports.

        When a run of an earlier owner began, and with how much of its work done, is not
        known; neither is the latter for a run from a checkpoint. The speed of such a
        run is measured from the first report.
        """
        if not self.heard_at and (self.restored or self.resumed):
            self.measured_at = now
            self.measured_percent = percent
        self.heard_at = now
        if percent > self.percent:
            self.percent = percent
            self.progressed_at = now


@dataclass(slots=True, eq=False)
class Unit:
    """What starts as one.

    Attributes:
        ready_at: When it became possible to start it; None before.
        abandoned: Its current run is to end; members are being stopped.
        failure_counted: A failure of its current run was counted.
        failed_on: Workers on which a run of it failed, and when the last one did.
        crashes: Workers that crashed under its tasks, by the task's position.
        isolating_since: Since when it waits for workers of its own.
        restarts: Runs of it that were stopped to restart it elsewhere, because a member
            stalled or its worker was leaving.
        reserved_workers: Workers on which room is reserved for it.
        reserved_until: When they are expected to be free.
        freed_workers: Workers on which others were stopped for it, one for each member.
        freed_until: Until when the room freed there is held for it.
        eviction_count: How often others were stopped for it since its last run.
        round_workers: Workers on which others were last stopped for it.
        round_at: When that was.
        stop_count: How often it was stopped for others; an earlier owner's stops are
            not known.
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
    failure_counted: bool = False
    failed_on: dict[str, float] = field(default_factory=dict)
    crashes: dict[int, CrashCount] = field(default_factory=dict)
    isolating_since: float | None = None
    restarts: int = 0
    reserved_workers: tuple[str, ...] = ()
    reserved_until: float = 0.0
    freed_workers: tuple[str, ...] = ()
    freed_until: float = 0.0
    eviction_count: int = 0
    round_workers: tuple[str, ...] = ()
    round_at: float = -math.inf
    stop_count: int = 0

    @property
    def size(self) -> int:
        """Tasks that start together."""
        return self.step.count if self.step.gang else 1

    @property
    def step_key(self) -> tuple[str, int, int]:
        """Its step within its occurrence."""
        return self.job.job_id, self.key.occurrence, self.key.step

    @property
    def pool(self) -> str:
        """The pool of workers that it may run on; its queue's pool may change."""
        return self.job.queue.pool or self.job.submission.pool

    @property
    def permits(self) -> Permits:
        """The advice service's answers about its step."""
        key = (self.key.occurrence, self.key.step)
        return self.job.permits.setdefault(key, Permits())

    @property
    def idle(self) -> bool:
        """Whether it waits and no member of an earlier run can still be running."""
        return self.phase is Phase.WAITING and not self.members

    def name_task(self, position: int) -> str:
        """Return the name of a member's task."""
        number = position if self.step.gang else self.key.position
        return f"{self.job.job_id}.{self.key.occurrence}.{self.key.step}.{number}"

    def make_record(self) -> UnitRecord:
        """Return its record for the store."""
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
            failure_counted=self.failure_counted,
            crashes=tuple(self.crashes.values()),
        )


@dataclass(slots=True, eq=False)
class Job:
    """One accepted job and its units so far.

    Attributes:
        accepted: When it was accepted, on the loop's clock: when it was read, less its
            age then.
        occurrences: How many have been opened.
        permits: The advice service's answers, by occurrence and step.
    """

    submission: Submission
    queue: Queue
    accepted: float
    state: JobState = JobState.QUEUED
    units: dict[UnitKey, Unit] = field(default_factory=dict)
    occurrences: int = 0
    ended_at: float = 0.0
    permits: dict[tuple[int, int], Permits] = field(default_factory=dict)

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
        """Whether all tasks of a step have succeeded."""
        return all(
            unit.phase is Phase.DONE for unit in self.list_step(occurrence, step)
        )

    def make_progress(self) -> Progress:
        """Return its record for the store."""
        units = tuple(
            unit.make_record()
            for unit in self.units.values()
            if unit.run or unit.phase is not Phase.WAITING
        )
        return Progress(self.state, units, self.ended_at, self._find_addresses())

    def _find_addresses(self) -> dict[str, str]:
        """Return where the workers of the current runs have answered."""
        return {
            member.worker: member.address
            for unit in self.units.values()
            if unit.phase is Phase.ORDERED
            for member in unit.members
            if member.address
        }


@dataclass(slots=True, eq=False)
class Worker:
    """One incarnation of a worker, with the members that run on it or may run.

    Attributes:
        acquired: It has accepted our fence, and its clock is known.
        listed: It is in the store's list.
        verified: The address of its entry has answered an owner as this incarnation.
        closed: It is being drained for its VM's maintenance.
        cordoned: Operators have cordoned its failure domain.
        quarantined_until: It gets no work before this time, as runs on it failed,
            stalled or were refused.
        leaves_at: When it may be gone; infinite unless it has announced that it leaves.
        stop_late_at: When a run there was last seen that should have ended.
        answered_at: When it last answered a call.
        unanswered_at: Time of the first call since then that it left unanswered.
        orphaned_runs: Runs there that belong to no record. How much room they take
            isn't known, so nothing is started beside them.
        processor, memory, accelerators: What its members take, without gone ones.
    """

    entry: WorkerEntry
    acquired: bool = False
    listed: bool = True
    verified: bool = False
    closed: bool = False
    cordoned: bool = False
    quarantined_until: float = 0.0
    leaves_at: float = math.inf
    stop_late_at: float = -math.inf
    answered_at: float = -math.inf
    unanswered_at: float | None = None
    orphaned_runs: int = 0
    members: dict[tuple[str, int], Member] = field(default_factory=dict)
    processor: int = 0
    memory: int = 0
    accelerators: int = 0

    @property
    def name(self) -> str:
        """The name of this incarnation."""
        return self.entry.worker

    def may_take(self, now: float) -> bool:
        """Whether new work may go there at all."""
        return (
            self.acquired
            and self.listed
            and not self.closed
            and not self.cordoned
            and not self.entry.leaving
            and not self.orphaned_runs
            and self.answers
            and now >= self.quarantined_until
        )

    @property
    def answers(self) -> bool:
        """Whether it answered the latest call.

        A worker that restarts in turn refuses calls for less than the time after which
        it counts as silent. A gang with one member there starts nowhere until it
        answers again, since that member's start may have been carried out.
        """
        return self.unanswered_at is None

    def record_answer(self, now: float) -> None:
        """Record that it has answered a call."""
        self.answered_at = now
        self.unanswered_at = None

    def record_no_answer(self, now: float) -> None:
        """Record that it has left a call unanswered."""
        if self.unanswered_at is None:
            self.unanswered_at = now

    def can_take_decided(self) -> bool:
        """Whether starts that were decided for it may still be sent to it.

        Their members are already counted, so its use must not exceed its capacity.
        """
        if not self.listed or self.closed or self.cordoned or self.entry.leaving:
            return False
        free = self.find_room()
        return free.processor >= 0 and free.memory >= 0 and free.accelerators >= 0

    def attach(self, member: Member) -> None:
        """Add a member to its use."""
        self.members[member.task, member.run] = member
        self._count(member.unit.step, 1)

    def detach(self, member: Member) -> None:
        """Remove a member from its use."""
        if self.members.pop((member.task, member.run), None) is not None:
            self._count(member.unit.step, -1)

    def _count(self, step: Step, sign: int) -> None:
        need = step.need
        if not step.best_effort:
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

"""The owner's state of the fleet: what waits, what runs where, what has room.

Events change it, and decisions read it. `units` defines its parts.
"""

from collections.abc import Collection, Iterable, Iterator

from primrosestile.decisions.work.crashes import Crashes
from primrosestile.decisions.work.headroom_state import HeadroomState
from primrosestile.decisions.work.organisation_shares import (
    make_organisation_shares,
)
from primrosestile.decisions.work.preemption import UNSAVED_SECONDS
from primrosestile.decisions.work.proofs import FINAL_PROOFS, Proof
from primrosestile.decisions.work.stop_timing import make_stop_timing
from primrosestile.decisions.work.units import (
    UNKNOWN_PACE,
    Job,
    Member,
    MemberState,
    Unit,
    Worker,
)
from primrosestile.state.policy import Policy, Queue
from primrosestile.state.scheduling import DEFAULT_SETTINGS, SchedulingSettings
from primrosestile.state.work import (
    JobState,
    Phase,
    Progress,
    Submission,
    UnitKey,
    UnitRecord,
)
from primrosestile.state.workers import (
    EndKind,
    WorkerEntry,
    find_worker_id,
    make_bare_entry,
)

# How long after it was sent a worker may still carry out an order that it left
# unanswered.
LATE_ORDER_SECONDS = 12.0


def _make_fallback_queue(submission: Submission) -> Queue:
    """Return the queue settings for a job whose queue is not in the policy.

    The job keeps what it was accepted with. With a single attempt, it would fail after
    its first failed run when an owner begins while operators have removed its queue for
    some seconds; without advice, its starts would have no ticket.
    """
    return Queue(
        name="",
        host="",
        prefix="",
        pool="",
        priority=submission.priority,
        attempts=submission.attempts,
        stretch=3.0,
        objective_seconds=3.0,
        timeout_seconds=3.0,
        advised=submission.advised,
    )


class FleetState:
    """The fleet's state; events change it, decisions read it.

    Attributes:
        changed: Jobs whose records changed since the last `pop_changed`.
        gone: Members marked as gone since the last `pop_gone`, and why.
        crashes: Which tasks crash their workers.
        stop_timing: Limits that depend on how long a worker takes to stop a run.
        shares: What each organisation used lately.
        headroom: Recent urgent arrivals, and what is withheld for the next ones.
        uses_advice: Whether an open job may be of a queue that is advised.
        last_tried: The last unit that a pass tried to start behind those that it
            examined; the next pass begins behind it.
    """

    def __init__(
        self,
        policy: Policy,
        wall: float,
        settings: SchedulingSettings = DEFAULT_SETTINGS,
    ) -> None:
        self.policy = policy
        self.settings = settings
        self.stop_timing = make_stop_timing(settings.stop_seconds)
        self.shares = make_organisation_shares(settings.organisation_shares)
        self.headroom = HeadroomState()
        self.uses_advice = False
        self.last_tried: Unit | None = None
        self.jobs: dict[str, Job] = {}
        self.workers: dict[str, Worker] = {}
        # Names of the incarnations in `workers`, by the worker's id.
        self._incarnations: dict[str, list[str]] = {}
        self.changed: set[Job] = set()
        self.gone: list[tuple[Member, Proof]] = []
        self.crashes = Crashes(self._give_up)
        # Seconds since 1970, as of the current event, for what is due at a time of day
        # and for the records; a new owner may receive ends before its first pass.
        self.wall = wall
        # Ended incarnations of workers, and their addresses. The store lists them for
        # some seconds more; without this, each read of the list would add them as new
        # and poll them again.
        self._ended: dict[str, str] = {}
        # Addresses at which workers have answered an earlier owner, by name, from the
        # records. An owner only starts runs on workers that have answered it.
        self.verified: dict[str, str] = {}
        # Members on workers without an entry, by worker; only time shows that they are
        # gone, unless the worker has a verified address to poll.
        self.unlisted_members: dict[str, list[Member]] = {}

    def apply_policy(self, policy: Policy) -> None:
        """Apply a newer version; a job whose queue was removed keeps its settings."""
        self.policy = policy
        for job in self.jobs.values():
            job.queue = policy.find_queue_by_name(job.submission.queue) or job.queue
        self.uses_advice = any(job.queue.advised for job in self.jobs.values())

    def admit(
        self, submission: Submission, progress: Progress | None, now: float, age: float
    ) -> Job:
        """Add a job, as it was accepted or with the progress recorded so far."""
        queue = self.policy.find_queue_by_name(submission.queue)
        queue = queue or _make_fallback_queue(submission)
        job = Job(submission, queue, now - age)
        self.jobs[job.job_id] = job
        self.uses_advice |= queue.advised is not None
        self.headroom.record(job, now)
        if progress is None:
            return job
        job.state = progress.state
        job.ended_at = progress.ended_at
        opened = max((each.occurrence + 1 for each in progress.units), default=0)
        for occurrence in range(opened):
            self.open_occurrence(job, occurrence)
        self.verified.update(progress.addresses)
        for record in progress.units:
            self._restore(job, record, now)
        return job

    def open_occurrence(self, job: Job, occurrence: int) -> None:
        """Create the units of one occurrence."""
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
        unit.failure_counted = record.failure_counted
        unit.crashes = {each.position: each for each in record.crashes}
        if unit.phase is Phase.ORDERED:
            # An earlier owner may have recorded why the run must end, and ended before
            # its stop arrived.
            unit.abandoned = record.failure_counted or job.state.final
            self.place_members(unit, record.workers, now)
            for member in unit.members:
                member.restored = True
                # When the run began isn't known; after a change of owner unsaved work
                # must not count as new, and so cheap to stop.
                member.record_sent(now - UNSAVED_SECONDS)
                member.pace = UNKNOWN_PACE

    def order(
        self, unit: Unit, workers: Iterable[str], now: float
    ) -> tuple[Member, ...]:
        """Give a waiting unit its next run on workers; return the run's members."""
        unit.phase = Phase.ORDERED
        unit.run += 1
        unit.abandoned = False
        unit.failure_counted = False
        unit.reserved_workers = ()
        unit.freed_workers = ()
        unit.eviction_count = 0
        unit.isolating_since = None
        self.place_members(unit, workers, now)
        self.changed.add(unit.job)
        return unit.members

    def place_members(self, unit: Unit, workers: Iterable[str], now: float) -> None:
        """Create the members of a unit's run."""
        unit.members = tuple(
            Member(
                unit,
                unit.name_task(position),
                unit.run,
                name,
                decided_at=now,
                resumed=bool(unit.checkpoint and unit.step.checkpoints),
                progressed_at=now,
                address=self.find_verified_address(name) or "",
            )
            for position, name in enumerate(workers)
        )
        for member in unit.members:
            worker = self.workers.get(member.worker)
            if worker is None:
                self.unlisted_members.setdefault(member.worker, []).append(member)
            else:
                worker.attach(member)

    def add_worker(self, entry: WorkerEntry) -> Worker:
        """Add an incarnation of a worker, with the members recorded on it."""
        worker = Worker(entry)
        worker.verified = self.verified.get(entry.worker) == entry.address
        self.workers[entry.worker] = worker
        self._incarnations.setdefault(entry.worker_id, []).append(entry.worker)
        for member in self.unlisted_members.pop(entry.worker, ()):
            if member.state is not MemberState.GONE:
                worker.attach(member)
        return worker

    def find_verified_address(self, name: str) -> str | None:
        """Return where an incarnation has answered this or an earlier owner."""
        worker = self.workers.get(name)
        if worker is not None and worker.verified:
            return worker.entry.address
        return self.verified.get(name)

    def list_unlisted_workers(self) -> list[WorkerEntry]:
        """Return bare entries for workers that are in records but not in the list.

        They take no new work, but can be polled where they have answered before.
        Otherwise the lease that the former owner extended would lapse for what runs
        there, and what ended with its worker would be waited for until that lease is
        over.
        """
        return [
            make_bare_entry(name, self.verified[name])
            for name in self.unlisted_members
            if name in self.verified
        ]

    def drop_worker(self, name: str, proof: Proof) -> None:
        """Remove a worker whose incarnation or lease has certainly ended."""
        for member in self.unlisted_members.pop(name, []):
            self.mark_gone(member, proof)
        worker = self._remove_worker(name)
        if worker is None:
            return
        if proof in FINAL_PROOFS:
            self._ended[name] = worker.entry.address
        if proof is Proof.INCARNATION_OVER:
            self.crashes.record_crash(worker)
        for member in list(worker.members.values()):
            self.mark_gone(member, proof)

    def _remove_worker(self, name: str) -> Worker | None:
        worker = self.workers.pop(name, None)
        if worker is not None:
            names = self._incarnations[worker.entry.worker_id]
            names.remove(name)
            if not names:
                del self._incarnations[worker.entry.worker_id]
        return worker

    def record_restart(self, name: str, successor: Worker) -> None:
        """Move the members of an incarnation to a later start of its worker.

        Nothing of the former start runs any more. But a start order that was sent to it
        may be carried out by the later one, which has the same id and has seen no
        fence. So the units may run again only once their runs are barred there, as
        after any other start whose outcome is unknown (RUN_BARRED_BEFORE_NEXT). What an
        earlier owner ordered is settled by the first poll under our fence. Nothing can
        be carried out late of a start that was never sent.

        Args:
            name: Of the former incarnation.
            successor: The one that has answered.
        """
        worker = self._remove_worker(name)
        if worker is None:
            return
        self._ended[name] = worker.entry.address
        self.crashes.record_crash(worker)
        for member in list(worker.members.values()):
            if member.unit.phase is not Phase.ORDERED:
                self.mark_gone(member, Proof.INCARNATION_OVER)
                continue
            if member.state is MemberState.DECIDED:
                self.mark_gone(member, Proof.NEVER_SENT)
                continue
            worker.detach(member)
            member.worker = successor.name
            member.address = successor.entry.address
            member.state = MemberState.SENT
            member.reached = False
            successor.attach(member)
            if not member.restored:
                self.abandon_run(member)
            self.changed.add(member.unit.job)

    def list_incarnations(self, worker_id: str) -> list[Worker]:
        """Return the known incarnations of a worker; at most one of them is up."""
        return [self.workers[name] for name in self._incarnations.get(worker_id, ())]

    def has_ended(self, entry: WorkerEntry) -> bool:
        """Whether an entry is that of an incarnation that is known to have ended."""
        return self._ended.get(entry.worker) == entry.address

    def remove_ended(self, present: Collection[str]) -> None:
        """Remove ended incarnations that are no longer in the list.

        Args:
            present: Names in the list, and ids of workers whose entries can't be read.
        """
        self._ended = {
            name: address
            for name, address in self._ended.items()
            if name in present or find_worker_id(name) in present
        }

    def clear_worker(
        self, worker: Worker, proof: Proof, now: float, refuses: bool = False
    ) -> None:
        """Mark all members on a worker as gone; the worker may answer again.

        A start that may still be carried out late stays, if the worker may start again
        under its id: its next start would carry it out.

        Args:
            worker: Whose lease is over.
            proof: Why nothing can be running there.
            now: On the loop's clock.
            refuses: Nothing listens at its address, so it has crashed.
        """
        if refuses:
            self.crashes.record_crash(worker)
        else:
            self.crashes.record_silence(worker, now)
        restartable = worker.name != worker.entry.worker_id
        for member in list(worker.members.values()):
            late = now - member.unanswered_at < LATE_ORDER_SECONDS
            if not (restartable and late):
                self.mark_gone(member, proof)

    def find_member(self, task: str, run: int) -> Member | None:
        """Return the member of a unit's latest run, if this is one."""
        unit = self._find_unit(task)
        if unit is None:
            return None
        for member in unit.members:
            if member.task == task and member.run == run:
                return member
        return None

    def find_job(self, task: str) -> Job | None:
        """Return the open job that a task belongs to."""
        return self.jobs.get(task.partition(".")[0])

    def _find_unit(self, task: str) -> Unit | None:
        parts = task.split(".")
        job = self.find_job(task)
        if len(parts) != 4 or job is None:
            return None
        occurrence, step, index = int(parts[1]), int(parts[2]), int(parts[3])
        if step >= len(job.submission.steps):
            return None
        if job.submission.steps[step].gang:
            index = 0
        return job.units.get(UnitKey(occurrence, step, index))

    def record_end(
        self, task: str, run: int, kind: EndKind, checkpoint: str, now: float
    ) -> None:
        """Apply the end of a run; that of an older run changes nothing."""
        member = self.find_member(task, run)
        if member is None or member.state is MemberState.GONE:
            return
        unit = member.unit
        if checkpoint:
            unit.checkpoint = checkpoint
        if kind is EndKind.DONE and not unit.step.daemon:
            self._record_success(unit)
        elif kind is EndKind.FAILED:
            self._record_failure(unit, member.worker, now)
        elif unit.phase is Phase.ORDERED:
            unit.abandoned = True
        self.changed.add(unit.job)
        self.mark_gone(member, Proof.ENDED)

    def _record_success(self, unit: Unit) -> None:
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

    def _record_failure(self, unit: Unit, worker: str, now: float) -> None:
        """Count one failure per run, however many members of a gang report it."""
        if unit.phase is not Phase.ORDERED:
            return
        unit.abandoned = True
        unit.failed_on[worker] = now
        if unit.failure_counted:
            return
        unit.failure_counted = True
        unit.failures += 1
        if unit.step.daemon or unit.failures < unit.job.queue.attempts:
            return
        self.finish(unit.job, JobState.FAILED)

    def finish(self, job: Job, state: JobState) -> None:
        """Set a job's final state; unless it completed, its runs are stopped."""
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

    def _give_up(self, job: Job) -> None:
        self.finish(job, JobState.FAILED)

    def abandon(self, unit: Unit) -> None:
        """End a unit's current run, so that it can be started again.

        Only for decisions on the present state; code that has awaited something since
        then uses `abandon_run`.
        """
        if unit.phase is Phase.ORDERED:
            unit.abandoned = True

    def abandon_run(self, member: Member) -> None:
        """End a member's run, unless it is over and its unit may have another one."""
        if member.is_current:
            self.abandon(member.unit)

    def mark_gone(self, member: Member, proof: Proof) -> None:
        """Mark a member that certainly does not run, and never will, as gone."""
        if member.state is MemberState.GONE:
            return
        member.state = MemberState.GONE
        self.gone.append((member, proof))
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

    def mark_up(self, member: Member, now: float) -> None:
        """Mark a member as running, as reported by its worker."""
        if member.state in (MemberState.UP, MemberState.GONE):
            return
        member.record_sent(now)
        member.state = MemberState.UP
        member.reached = True
        member.up_at = member.measured_at = member.progressed_at = now
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

    def pop_gone(self) -> list[tuple[Member, Proof]]:
        """Return the members marked as gone since the last call, and why."""
        gone = self.gone
        self.gone = []
        return gone

    def pop_changed(self) -> set[Job]:
        """Return the jobs whose records must be written, and clear the set."""
        changed = self.changed
        self.changed = set()
        return changed

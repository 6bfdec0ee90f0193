"""Polls one worker: extends its lease and tracks its running and ended runs.

All runs on a worker are bound to one lease, which every poll extends. The end of a run
is written to the store before it is acknowledged to the worker: otherwise the next
owner would start again a run that has ended well. While the store does not answer,
polls go on without the acknowledgement, so that the lease does not lapse.

Answers on different connections overtake one another. A run that a poll does not show
therefore counts as absent only if the poll was sent after the answer that showed the
run.
"""

import asyncio
from collections.abc import Callable, Collection, Iterable

import structlog

from primrosestile.clock import read_clock
from primrosestile.coordination.work.end_numbers import (
    UNCONFIRMED_PAUSE_SECONDS,
    EndNumbers,
)
from primrosestile.coordination.work.lease_bounds import LeaseBounds
from primrosestile.coordination.work.log_fields import list_names, name_member
from primrosestile.coordination.work.recorder import Recorder
from primrosestile.coordination.work.term import Term
from primrosestile.coordination.work.worker_clock import ClockReading, WorkerClock
from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.decisions.work.proofs import Proof
from primrosestile.decisions.work.units import Job, Member, MemberState, Worker
from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.fleet import (
    EndedTask,
    PollAnswer,
    Refusal,
    Restarted,
    RunningTask,
    WorkerCalls,
)
from primrosestile.state.work import Phase
from primrosestile.state.workers import EndKind, WorkerEntry, make_bare_entry

# A poll without a new end returns after this, well within the lease.
POLL_SECONDS = 1.0
RETRY_SECONDS = 0.15
# Between polls at an address that answers for another incarnation than expected and has
# never answered this owner as that one; the entry is corrected or gone within seconds.
OTHER_INCARNATION_PAUSE_SECONDS = 0.5
# The most ends in one poll; when it is reached, a missing end proves nothing.
ENDS_PER_POLL = 500
# How long a poll waits for its ends to be stored before the next poll extends the
# lease.
RECORD_WAIT_SECONDS = 1.5

_log = structlog.get_logger()


class WorkerLink:
    """Extends one worker's lease and processes its answers.

    Attributes:
        extended: Whether this owner may have extended the worker's lease.
    """

    def __init__(
        self,
        worker: Worker,
        calls: WorkerCalls,
        term: Term,
        fleet_state: FleetState,
        recorder: Recorder,
        wake: Callable[[], None],
        record_end: Callable[[Member, EndKind], None],
        max_lease_seconds: float,
        add_worker: Callable[[WorkerEntry], None],
        bounds: LeaseBounds,
    ) -> None:
        """Link to one incarnation of a worker.

        Args:
            worker: The incarnation.
            calls: Reaches its address, and so any incarnation that serves there.
            term: The owner's.
            fleet_state: What runs where.
            recorder: Stores ends before they are acknowledged.
            wake: Requests a pass.
            record_end: Called with each end.
            max_lease_seconds: The longest lease that the worker grants.
            add_worker: Called with the entry of a later start of the worker.
            bounds: Until when leases may last, as the next owner will know it.
        """
        self.worker = worker
        self.clock = WorkerClock(worker.name, max_lease_seconds)
        self.extended = False
        # Whether the worker has answered the latest poll as this incarnation.
        self._confirmed = False
        self._calls = calls
        self._term = term
        self._fleet_state = fleet_state
        self._recorder = recorder
        self._wake = wake
        self._record_end = record_end
        self._add_worker = add_worker
        self._bounds = bounds
        self._numbers = EndNumbers()
        self._pause = 0.0
        # Runs whose stop the worker has answered, and when.
        self._stopped: dict[tuple[str, int], float] = {}
        self._orphans: dict[tuple[str, int], float] = {}
        self._answered_at = read_clock()
        self._was_silent = False

    @property
    def entry(self) -> WorkerEntry:
        """The worker's own entry in the store."""
        return self.worker.entry

    def make_log_fields(self) -> dict[str, float]:
        """Return the log fields of the worker's clock and lease.

        Its clock and the end of its lease by that clock, in seconds, and how long ago
        it last answered; the first two only once its clock is known.
        """
        now = read_clock()
        heard = {"heard_ago": round(now - self._answered_at, 3)}
        if not self.clock.known:
            return heard
        return {
            "worker_clock": round(self.clock.estimate(now), 3),
            "lease_until": round(self.clock.until, 3),
            **heard,
        }

    @property
    def heard_at(self) -> float:
        """When the worker last answered a poll, or this link began."""
        return self._answered_at

    def find_lease_end(self) -> float:
        """Return the end of the lease to request, on the worker's clock."""
        return self.clock.extend(read_clock())

    def record_order_answer(self, clock: float, sent_at: float) -> None:
        """Record an answer to an order, and the worker's clock in it."""
        now = read_clock()
        self.worker.record_answer(now)
        if clock:
            self.clock.note(ClockReading(clock, sent_at, now))

    def record_stop_answer(self, member: Member) -> None:
        """Record that the worker has answered a stop.

        Only the time of the first answer is kept; from then on the worker refuses to
        start the run. With the time of the latest one, a stop that is repeated each
        second would always be newer than the poll that could confirm it, and the wait
        for the run would never end.
        """
        self._stopped.setdefault((member.task, member.run), read_clock())

    def record_silence(self, failure: Failure) -> None:
        """Give the worker no work until it answers a poll."""
        if not self.worker.acquired:
            return
        self.worker.acquired = False
        self._was_silent = True
        _log.warning(
            "worker_silent",
            worker=self.worker.name,
            reason=str(failure),
            members=len(self.worker.members),
        )

    def pop_orphans(self) -> list[tuple[str, int]]:
        """Return the orphaned runs on the worker, to be stopped."""
        orphans = list(self._orphans)
        self._orphans.clear()
        return orphans

    async def run(self) -> None:
        """Poll the worker until cancelled or its incarnation is over."""
        while self._is_needed() and not self._term.lost.is_set():
            if not self._term.may_extend_leases():
                await asyncio.sleep(RETRY_SECONDS)
                continue
            try:
                await self._poll()
                if self._pause:
                    # Unacknowledged ends make the worker answer at once: without a
                    # pause it would be polled a thousand times a second.
                    await asyncio.sleep(self._pause)
            except Failure as failure:
                self._note_silence(failure)
                await asyncio.sleep(RETRY_SECONDS)

    def _is_needed(self) -> bool:
        return self._fleet_state.workers.get(self.worker.name) is self.worker

    async def poll_now(self) -> None:
        """Poll once without waiting, concurrently with a poll that may be waiting."""
        try:
            await self._poll(waiting=False)
        except Failure as failure:
            _log.info("poll_failed", worker=self.worker.name, reason=str(failure))

    async def _poll(self, waiting: bool = True) -> None:
        """Poll once.

        The first polls at a silent worker don't extend its lease: if a poll that
        arrives late could extend it, the lease could never be considered expired.

        Nor do they acknowledge ends. After a poll without an answer the worker may have
        started again under its id, and its numbers of ends anew; it would drop its
        ends up to the acknowledged number before any owner has seen them, and tasks
        that ended well would run again.
        """
        sent_at = read_clock()
        entry = self.entry
        acknowledged = self._numbers.seen if self._confirmed else 0
        self._confirmed = False
        until = self.find_lease_end() if self.worker.acquired else None
        wait = POLL_SECONDS if waiting and until is not None else 0.0
        answer = await self._calls.poll(
            entry, self._term.fence, acknowledged, until, wait
        )
        if isinstance(answer, Restarted):
            await self._process_other_incarnation(entry.address, answer.worker)
            return
        if isinstance(answer, Refusal):
            await self._process_refusal(answer, entry.address)
            return
        self._confirmed = True
        self._answered_at = read_clock()
        self.worker.record_answer(self._answered_at)
        self._fleet_state.crashes.record_answer(
            entry.address, self.worker.name, self._answered_at
        )
        self.clock.note(ClockReading(answer.clock, sent_at, self._answered_at))
        if entry.address == self.entry.address and not self.worker.verified:
            self.worker.verified = True
            self._end_former_starts()
        await self._process_poll(answer, sent_at)

    async def _process_refusal(self, refusal: Refusal, address: str) -> None:
        if refusal is Refusal.FENCE:
            _log.warning("fence_refused", worker=self.worker.name, by="poll")
            self._term.lost.set()
        elif refusal is Refusal.OTHER_INCARNATION:
            await self._process_other_incarnation(address)
        else:
            await asyncio.sleep(RETRY_SECONDS)

    async def _process_other_incarnation(
        self, address: str, successor: str = ""
    ) -> None:
        """Consider the incarnation over, if it certainly had this address.

        An entry can be wrong: another writer may have overwritten it with the address
        of a second worker, which then truthfully answers that another incarnation
        serves there. If that ended the first worker's incarnation, its runs would start
        a second time elsewhere. So the answer counts only from an address that has
        answered an owner as this incarnation; otherwise this waits for a correct entry,
        and at the longest for the end of any lease that an owner can have extended.

        Args:
            address: Where another incarnation answered.
            successor: Its name, if it is a later start of the same worker.
        """
        worker = self.worker
        asked_there = worker.verified and address == worker.entry.address
        if worker.members and not asked_there:
            _log.info("worker_incarnation_doubted", worker=worker.name, address=address)
            await asyncio.sleep(OTHER_INCARNATION_PAUSE_SECONDS)
            return
        _log_over(worker, successor)
        if successor and worker.members:
            self._process_restart(successor, address)
        else:
            self._fleet_state.drop_worker(worker.name, Proof.INCARNATION_OVER)
        self._wake()

    def _end_former_starts(self) -> None:
        """End other starts of this worker, which has answered as this one."""
        worker_id = self.entry.worker_id
        for each in self._fleet_state.list_incarnations(worker_id):
            if each is not self.worker and each.name != worker_id:
                _log_over(each, self.worker.name)
                self._fleet_state.record_restart(each.name, self.worker)

    def _process_restart(self, successor: str, address: str) -> None:
        """Have the later start of the worker bar what was ordered from this one."""
        workers = self._fleet_state.workers
        if successor not in workers:
            self._add_worker(make_bare_entry(successor, address))
            # It gets new work once the list has its entry.
            workers[successor].listed = False
        self._fleet_state.record_restart(self.worker.name, workers[successor])

    async def _process_poll(self, poll: PollAnswer, sent_at: float) -> None:
        self._process_running(poll.running)
        fresh = [each for each in poll.ended if each.number > self._numbers.seen]
        last = self._numbers.take(poll.ended, read_clock())
        if poll.acknowledge_limit is not None:
            last = min(last, poll.acknowledge_limit)
        self._pause = self._choose_pause(poll)
        jobs = self._list_jobs(fresh)
        for ended in fresh:
            self._process_end(ended)
        if poll.complete and len(poll.ended) < ENDS_PER_POLL:
            self._process_absent(poll, sent_at)
        if not self.worker.acquired and self.clock.known:
            await self._acquire()
        self._wake()
        if fresh:
            await self._record_ends(jobs, last)

    async def _acquire(self) -> None:
        """Give the worker work, once the next owner can't count its lease as over."""
        if not await self._bounds.release(self.worker.name):
            self._pause = max(self._pause, RETRY_SECONDS)
            return
        self.worker.acquired = self.extended = True
        # An owner's first contacts with its workers are logged as one summary.
        if self._was_silent:
            _log.info("worker_answers_again", worker=self.worker.name)

    def _list_jobs(self, ended: Iterable[EndedTask]) -> set[Job]:
        """Return the open jobs to which ended runs belong.

        A run that counts as gone belongs to them as well: its end was processed in an
        earlier poll, and the record of that may be on its way.
        """
        jobs = (self._fleet_state.find_job(each.task) for each in ended)
        return {job for job in jobs if job is not None}

    def _choose_pause(self, poll: PollAnswer) -> float:
        """Return how long to wait before the next poll, in seconds.

        Ends that can't be acknowledged yet make the worker answer at once.
        """
        if poll.acknowledge_limit is not None:
            return POLL_SECONDS
        return UNCONFIRMED_PAUSE_SECONDS if self._numbers.doubtful else 0.0

    async def _record_ends(self, jobs: Collection[Job], last: int) -> None:
        """Acknowledge ends up to a number to the worker, once they are in the store.

        Args:
            jobs: Whose runs have ended.
            last: The number of the last end.

        END_STORED_BEFORE_FORGOTTEN. An end that could not be read is never
        acknowledged: its run may have ended well, and would be neither running nor
        ended, and run again.
        """
        try:
            async with asyncio.timeout(RECORD_WAIT_SECONDS):
                await self._recorder.save(jobs)
        except TimeoutError:
            return
        self._numbers.acknowledge(last)

    def _process_running(self, running: tuple[RunningTask, ...]) -> None:
        now = read_clock()
        orphaned = 0
        for row in running:
            member = self._fleet_state.find_member(row.task, row.run)
            if member is None or member.state is MemberState.GONE:
                self._orphans[row.task, row.run] = now
                orphaned += 1
                continue
            self._fleet_state.mark_up(member, now)
            member.record_progress(row.percent, now)
            if row.usage is not None:
                member.usage = row.usage
            if row.checkpoint and row.checkpoint != member.unit.checkpoint:
                member.unit.checkpoint = row.checkpoint
        self.worker.orphaned_runs = orphaned

    def _process_end(self, ended: EndedTask) -> None:
        member = self._fleet_state.find_member(ended.task, ended.run)
        if member is None or member.state is MemberState.GONE:
            return
        _log.info(
            "run_ended",
            **name_member(member),
            how=ended.kind.value,
            percent=member.percent,
            seconds=round(member.find_run_seconds(read_clock()), 2),
            estimate=member.unit.step.estimate_seconds,
        )
        if member.unit.phase is Phase.ORDERED:
            self._record_end(member, ended.kind)
        self._fleet_state.record_end(
            ended.task, ended.run, ended.kind, ended.checkpoint, read_clock()
        )
        self._stopped.pop((ended.task, ended.run), None)

    def _process_absent(self, poll: PollAnswer, sent_at: float) -> None:
        """Mark runs as gone that the worker neither runs nor will start any more."""
        present = {(row.task, row.run) for row in poll.running}
        present.update((each.task, each.run) for each in poll.ended)
        for key, answered_at in list(self._stopped.items()):
            if key in present or answered_at > sent_at:
                continue
            self._stopped.pop(key)
            member = self.worker.members.get(key)
            if member is not None:
                self._fleet_state.mark_gone(member, Proof.BARRED)
        for key, member in list(self.worker.members.items()):
            if key in present:
                continue
            if member.state is not MemberState.UP:
                # Its order had a lower fence than this poll: it would be refused now.
                if member.restored:
                    self._fleet_state.mark_gone(member, Proof.FENCED_OFF)
                continue
            if member.unit.phase is Phase.DONE:
                # Another member has reported that the gang ended well.
                self._fleet_state.mark_gone(member, Proof.GANG_ENDED)
            elif member.up_at < sent_at and key not in self._stopped:
                self._fleet_state.abandon_run(member)

    def _note_silence(self, failure: Failure) -> None:
        """Mark the worker's runs as gone once its lease has certainly expired.

        SILENCE_WAITED_OUT.
        """
        now = read_clock()
        worker = self.worker
        worker.record_no_answer(now)
        refuses = failure.kind is ErrorKind.NO_TARGET
        # A refused connection proves at once that nothing listens there now.
        if refuses or now - self._answered_at > POLL_SECONDS:
            self.record_silence(failure)
        if not worker.members:
            if not worker.listed:
                self._fleet_state.drop_worker(worker.name, Proof.LEASE_OVER)
            return
        if self.clock.is_lease_over(now):
            _log.warning(
                "worker_lease_over", worker=worker.name, members=len(worker.members)
            )
            self._fleet_state.clear_worker(worker, Proof.LEASE_OVER, now, refuses)
            self._wake()


def _log_over(worker: Worker, successor: str) -> None:
    """Log the end of an incarnation, and the start that answered in its place."""
    _log.info(
        "worker_incarnation_over",
        worker=worker.name,
        successor=successor,
        members=len(worker.members),
        tasks=list_names(each.task for each in worker.members.values()),
    )

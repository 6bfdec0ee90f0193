"""Records decisions, then sends the starts; repeats stops until they are confirmed.

An unanswered start may have been carried out, or may be seconds later. The same order
is therefore sent again: a worker that already runs it reports that. If that fails too,
the run is abandoned by a stop, after which the worker always refuses its start. The
task may run again only once the worker itself reports that the run is not there, or
its lease has ended.

Every step here waits for the store or for a worker, and the run that it is for may be
over by the time it goes on, and its unit may have another one. So a step keeps the
members of its run, and whatever it learns settles these alone.
"""

import asyncio
import itertools
from collections.abc import Callable, Collection, Sequence

import structlog

from primrosestile.clock import read_clock
from primrosestile.coordination.work.log_fields import name_member, name_unit
from primrosestile.coordination.work.order_window import OrderWindow, Urgency
from primrosestile.coordination.work.recorder import Recorder
from primrosestile.coordination.work.start_batches import split_by_workers
from primrosestile.coordination.work.term import Term
from primrosestile.coordination.work.worker_discovery import WorkerDiscovery
from primrosestile.coordination.work.worker_links import WorkerLink
from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.decisions.work.paces import Pace
from primrosestile.decisions.work.plan import Assignment
from primrosestile.decisions.work.proofs import Proof
from primrosestile.decisions.work.units import Member, MemberState, Unit, Worker
from primrosestile.decisions.work.worker_quarantine import UNHEALTHY_QUARANTINE_SECONDS
from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.fleet import OrderAnswer, Refusal, StartOrder, WorkerCalls

# At 0.45 s a try, the last member of a gang gets its start within the 3 s for which the
# others wait for it.
START_TRIES = 3
STOP_RETRY_SECONDS = 0.2
STOP_CHECKS = 20
# Pause after a worker refused a start for lack of room that the owner counted as free:
# the next poll shows what the worker still holds.
NO_ROOM_PAUSE_SECONDS = 0.4
# The worker list is read every 0.5 s, or 0.2 s after a failure; a slow store takes
# 0.3 s.
LIST_WAIT_SECONDS = 1.0
LIST_CHECKS = 20

_STARTABLE = frozenset({MemberState.DECIDED, MemberState.SENT})

_log = structlog.get_logger()


class Orders:
    """Starts and stops runs on workers."""

    def __init__(
        self,
        calls: WorkerCalls,
        term: Term,
        fleet_state: FleetState,
        recorder: Recorder,
        links: dict[str, WorkerLink],
        tasks: asyncio.TaskGroup,
        wake: Callable[[], None],
        discovery: WorkerDiscovery,
    ) -> None:
        self._calls = calls
        self._term = term
        self._fleet_state = fleet_state
        self._recorder = recorder
        self._links = links
        self._tasks = tasks
        self._wake = wake
        self._discovery = discovery
        self._window = OrderWindow()
        # After this a stop is sent again if the run's end was not listed.
        self._stop_repeat_seconds = fleet_state.stop_timing.late
        self._stopping: set[tuple[str, int]] = set()

    def start(self, assignments: Sequence[Assignment]) -> None:
        """Start the next runs of units; one round of the recorder records them all."""
        if not assignments:
            return
        now = read_clock()
        members: list[Member] = []
        for each in assignments:
            workers = [worker.name for worker in each.workers]
            members += self._fleet_state.order(each.unit, workers, now)
            _log.info(
                "run_decided",
                **name_unit(each.unit),
                workers=workers,
                entitled=each.rank.entitled,
                slack=round(each.rank.slack, 2),
                failures=each.unit.failures,
            )
        urgencies: dict[Unit, Urgency] = {
            each.unit: (not each.rank.entitled, each.rank.priority)
            for each in assignments
        }
        self._tasks.create_task(self._record_and_send(members, urgencies))

    async def _record_and_send(
        self, members: Sequence[Member], urgencies: dict[Unit, Urgency]
    ) -> None:
        """Record runs, and send the starts of each job as soon as it is recorded.

        Args:
            members: Of all the runs; those of one run are next to each other.
            urgencies: Which starts go first over a full link.
        """
        # RUN_RECORDED_BEFORE_ORDER.
        began = read_clock()
        saves = {
            self._tasks.create_task(self._recorder.save({job})): job
            for job in dict.fromkeys(member.unit.job for member in members)
        }
        while saves:
            done, _ = await asyncio.wait(saves, return_when=asyncio.FIRST_COMPLETED)
            jobs = {saves.pop(each) for each in done}
            recorded = [member for member in members if member.unit.job in jobs]
            self._tasks.create_task(
                self._send_recorded(recorded, urgencies, read_clock() - began)
            )

    async def _send_recorded(
        self,
        members: Sequence[Member],
        urgencies: dict[Unit, Urgency],
        record_seconds: float,
    ) -> None:
        """Send the starts of recorded runs that may still begin."""
        until = read_clock() + LIST_WAIT_SECONDS
        for batch in split_by_workers(members):
            seconds = max(map(self._find_seconds, batch))
            workers = {member.worker for member in batch}
            await self._wait_for_entries(workers, until, seconds)
            for unit, run in itertools.groupby(batch, lambda member: member.unit):
                self._begin(list(run), urgencies[unit], record_seconds)

    def _begin(
        self, run: Sequence[Member], urgency: Urgency, record_seconds: float
    ) -> None:
        """Send the starts of a run that is recorded, unless it may not begin."""
        if not run[0].is_current:
            _log.info("start_outdated", **name_member(run[0]))
        elif not all(map(self._may_begin, run)):
            self._withhold(run)
        else:
            for member in run:
                self._tasks.create_task(
                    self._send_start(member, urgency, record_seconds)
                )

    def _find_seconds(self, member: Member) -> float:
        """Return how long the transfer of a start takes."""
        return self._calls.find_transfer_seconds(member.unit.job.submission.payload)

    async def _wait_for_entries(
        self, workers: Collection[str], until: float, seconds: float
    ) -> None:
        """Wait for recent entries of workers, at the longest until a time.

        An outage may have delayed the record. Where the list of workers is long, the
        entries are read one by one.

        Args:
            workers: Their names.
            until: When to stop waiting.
            seconds: How long the transfer of a start takes.
        """
        while True:
            await self._discovery.confirm(workers, seconds)
            recent = (self._discovery.is_recent(each, seconds) for each in workers)
            if all(recent) or read_clock() >= until:
                return
            await asyncio.sleep(LIST_WAIT_SECONDS / LIST_CHECKS)

    def _may_begin(self, member: Member) -> bool:
        """Whether a start may be sent for the first time."""
        link = self._links.get(member.worker)
        return link is not None and link.worker.answers and self._may_send(member)

    def _may_send(self, member: Member) -> bool:
        """Whether a start may still be sent, by the worker's present state.

        A record may take seconds to write. By the state before that, a start may exceed
        a capacity that has shrunk, or reach a worker that is leaving.
        """
        link = self._links.get(member.worker)
        return (
            link is not None
            # The lease of a silent worker must not be extended.
            and link.worker.acquired
            and self._discovery.is_recent(member.worker, self._find_seconds(member))
            and link.worker.can_take_decided()
        )

    def _withhold(self, run: Sequence[Member]) -> None:
        """Abandon a run of which nothing was sent."""
        _log.info("start_withheld", **name_unit(run[0].unit))
        for member in run:
            self._fleet_state.mark_gone(member, Proof.NEVER_SENT)
        self._wake()

    async def _send_start(
        self, member: Member, urgency: Urgency, record_seconds: float
    ) -> None:
        """Start one member, or abandon its unit's run.

        Args:
            member: Of a run that is recorded.
            urgency: Which starts go first over a full link.
            record_seconds: How long its record took, for the log.
        """
        unanswered = False
        seconds = self._find_seconds(member)
        for _ in range(START_TRIES):
            async with self._window.reserve(seconds, urgency) as queued:
                if queued:
                    until = read_clock() + LIST_WAIT_SECONDS
                    await self._wait_for_entries({member.worker}, until, seconds)
                if member.state not in _STARTABLE or member.unit.abandoned:
                    return
                link = self._links.get(member.worker)
                if link is None or not self._term.may_act():
                    break
                if not self._may_send(member):
                    break
                sent_at = read_clock()
                member.record_sent(sent_at)
                order = self._make_order(member, link)
                try:
                    answer = await self._calls.start(
                        link.entry, self._term.fence, order
                    )
                except Failure as failure:
                    if failure.kind is ErrorKind.NO_TARGET:
                        link.record_silence(failure)
                        if not unanswered:
                            member.record_unsent()
                    else:
                        unanswered = True
                        member.unanswered_at = sent_at
                        member.reached |= not failure.silent
                    _log.info(
                        "start_unanswered",
                        **name_member(member),
                        reason=str(failure),
                    )
                    continue
            link.record_order_answer(answer.clock, sent_at)
            if answer.refusal is None:
                _log.info(
                    "run_started",
                    **name_member(member),
                    fence=self._term.fence,
                    worker_clock=round(answer.clock, 3),
                    record_seconds=round(record_seconds, 3),
                )
            if answer.refusal is Refusal.TICKET:
                member.unit.permits.expire(link.worker.name, order.ticket)
            self._process_answer(member, link, answer, unanswered)
            return
        if not unanswered:
            self._fleet_state.mark_gone(member, Proof.NEVER_SENT)
        self._fleet_state.abandon_run(member)
        self._wake()

    def _make_order(self, member: Member, link: WorkerLink) -> StartOrder:
        unit = member.unit
        return StartOrder(
            task=member.task,
            run=member.run,
            payload=unit.job.submission.payload,
            until=link.find_lease_end(),
            checkpoint=unit.checkpoint if unit.step.checkpoints else "",
            ticket=_find_ticket(member),
        )

    def _process_answer(
        self, member: Member, link: WorkerLink, answer: OrderAnswer, unanswered: bool
    ) -> None:
        if answer.refusal is None:
            # A later start of the worker, to which the member was moved, does not run
            # what the former one has accepted.
            if member.worker == link.worker.name:
                self._fleet_state.mark_up(member, read_clock())
            self._recorder.request_round()
            return
        self._note_refusal(member, link.worker, answer.refusal)
        # Another start of the worker runs it; the link moves the member there.
        if not unanswered and answer.refusal is not Refusal.RESTARTED:
            self._fleet_state.mark_gone(member, Proof.REFUSED)
        self._fleet_state.abandon_run(member)
        self._wake()

    def _note_refusal(self, member: Member, worker: Worker, refusal: Refusal) -> None:
        _log.info(
            "start_refused",
            **name_member(member),
            refusal=refusal.value,
        )
        now = read_clock()
        if refusal is Refusal.FENCE:
            self._term.lost.set()
        elif refusal is Refusal.UNHEALTHY:
            worker.quarantined_until = max(
                worker.quarantined_until, now + UNHEALTHY_QUARANTINE_SECONDS
            )
        elif refusal is Refusal.ROOM:
            worker.quarantined_until = max(
                worker.quarantined_until, now + NO_ROOM_PAUSE_SECONDS
            )

    def pace(self, paces: Sequence[Pace]) -> None:
        """Change the speed limit of best-effort tasks."""
        now = read_clock()
        for each in paces:
            was = each.member.pace
            each.member.pace = each.percent
            each.member.paced_at = now
            self._tasks.create_task(self._send_pace(each, was, now))

    async def _send_pace(self, pace: Pace, was: int, paced_at: float) -> None:
        """Send a pace; if it is not answered, the previous pace is restored.

        The order is idempotent, so the next pass may send it again.

        Args:
            pace: What to send.
            was: The previous pace.
            paced_at: When this one was decided; a later one is not undone.
        """
        member = pace.member
        link = self._links.get(member.worker)
        if link is None or not self._term.may_act():
            member.pace = was
            return
        sent_at = read_clock()
        try:
            answer = await self._calls.pace(
                link.entry, self._term.fence, member.task, member.run, pace.percent
            )
        except Failure as failure:
            _log.info("pace_unanswered", task=member.task, reason=str(failure))
            if member.paced_at == paced_at:
                member.pace = was
            return
        link.record_order_answer(answer.clock, sent_at)
        _log.info(
            "run_paced",
            **name_member(member),
            percent=pace.percent,
            refusal=answer.refusal.value if answer.refusal else "",
        )
        if answer.refusal is Refusal.FENCE:
            self._term.lost.set()

    def stop_abandoned(self) -> None:
        """Begin to stop every run that is abandoned or orphaned."""
        for member in list(self._fleet_state.list_stopping()):
            if member.state is MemberState.DECIDED:
                self._fleet_state.mark_gone(member, Proof.NEVER_SENT)
                self._wake()
                continue
            key = (member.task, member.run)
            if key not in self._stopping:
                self._stopping.add(key)
                self._tasks.create_task(self._stop_until_gone(member))
        for link in list(self._links.values()):
            for task, run in link.pop_orphans():
                if (task, run) not in self._stopping:
                    self._stopping.add((task, run))
                    self._tasks.create_task(self._stop_orphan(link, task, run))

    async def _stop_until_gone(self, member: Member) -> None:
        try:
            while member.state is not MemberState.GONE:
                link = self._links.get(member.worker)
                if link is None or not self._term.may_act():
                    await asyncio.sleep(STOP_RETRY_SECONDS)
                    continue
                # RUN_BARRED_BEFORE_NEXT, STOP_END_AWAITED.
                if await self._send_stop(link, member.task, member.run):
                    link.record_stop_answer(member)
                    await link.poll_now()
                    await self._wait_until_gone(member, link)
                else:
                    await asyncio.sleep(STOP_RETRY_SECONDS)
        finally:
            self._stopping.discard((member.task, member.run))

    async def _wait_until_gone(self, member: Member, link: WorkerLink) -> None:
        """Wait for the end of a run, unless its member moves to another worker."""
        for _ in range(STOP_CHECKS):
            if member.state is MemberState.GONE or member.worker != link.worker.name:
                return
            await asyncio.sleep(self._stop_repeat_seconds / STOP_CHECKS)

    async def _send_stop(self, link: WorkerLink, task: str, run: int) -> bool:
        """Return False if the stop must be sent again.

        That is without an answer, if the fence is stale or the worker unhealthy, or if
        another start of the worker has answered: the run is barred there only.
        """
        sent_at = read_clock()
        try:
            answer = await self._calls.stop(link.entry, self._term.fence, task, run)
        except Failure as failure:
            _log.info(
                "stop_unanswered",
                task=task,
                run=run,
                worker=link.worker.name,
                reason=str(failure),
            )
            return False
        link.record_order_answer(answer.clock, sent_at)
        if answer.refusal is Refusal.FENCE:
            self._term.lost.set()
            return False
        if answer.refusal is not None:
            _log.info("stop_refused", task=task, run=run, refusal=answer.refusal.value)
        if answer.refusal is Refusal.RESTARTED:
            await link.poll_now()
        return answer.refusal not in (Refusal.UNHEALTHY, Refusal.RESTARTED)

    async def _stop_orphan(self, link: WorkerLink, task: str, run: int) -> None:
        """Stop an orphaned run once; if a poll shows it again, it is stopped again."""
        _log.info("orphan_stopped", task=task, run=run, worker=link.worker.name)
        try:
            if self._term.may_act():
                await self._send_stop(link, task, run)
                await asyncio.sleep(self._stop_repeat_seconds)
        finally:
            self._stopping.discard((task, run))


def _find_ticket(member: Member) -> str:
    """Return the ticket for a start, empty if the queue needs none."""
    unit = member.unit
    if unit.job.queue.advised is None:
        return ""
    permit = unit.permits.granted.get(member.worker)
    return "" if permit is None else permit.ticket

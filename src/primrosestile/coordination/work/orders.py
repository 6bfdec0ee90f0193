"""Carries out decisions: the record first, then the starts; stops until sure.

A start that is not answered may have been carried out, or may be seconds later.
The same order is therefore sent again: a worker that runs it already says so. When
that fails too, the run is given up by a stop, after which the worker refuses its
start for good, and only the worker's own word that it runs nothing of it, or the
end of its lease, frees the task for another run.
"""

import asyncio
from collections.abc import Callable, Sequence

import structlog

from primrosestile.clock import read_clock
from primrosestile.coordination.work.links import WorkerLink
from primrosestile.coordination.work.logfields import name_member, name_unit
from primrosestile.coordination.work.recording import Recorder
from primrosestile.coordination.work.term import Term
from primrosestile.decisions.work.board import Board
from primrosestile.decisions.work.pacing import Pace
from primrosestile.decisions.work.planning import Assignment
from primrosestile.decisions.work.trust import UNHEALTHY_SECONDS
from primrosestile.decisions.work.units import (
    Member,
    MemberState,
    Proof,
    Unit,
    Worker,
)
from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.fleet import OrderAnswer, Refusal, StartOrder, WorkerCalls

# With 0.45 s a try, a gang's last member is told within the 3 s that the others
# wait for it.
START_TRIES = 3
STOP_RETRY_SECONDS = 0.2
# A stop takes 0.4 s; asked again after this if its end was not listed.
STOP_AGAIN_SECONDS = 1.0
STOP_LOOKS = 20
# A worker that has no room where we count some: what it still holds is listed by
# its next look.
ROOM_AGAIN_SECONDS = 0.4
# The list is read every 0.5 s, after a failure every 0.2 s; a slow store takes 0.3 s.
LIST_WAIT_SECONDS = 1.0
LIST_LOOKS = 20

_log = structlog.get_logger()


class Orders:
    """Starts and stops runs on workers."""

    def __init__(
        self,
        calls: WorkerCalls,
        term: Term,
        board: Board,
        recorder: Recorder,
        links: dict[str, WorkerLink],
        tasks: asyncio.TaskGroup,
        wake: Callable[[], None],
        is_list_recent: Callable[[], bool],
    ) -> None:
        self._calls = calls
        self._term = term
        self._board = board
        self._recorder = recorder
        self._links = links
        self._tasks = tasks
        self._wake = wake
        self._is_list_recent = is_list_recent
        self._stopping: set[tuple[str, int]] = set()

    def start(self, assignments: Sequence[Assignment]) -> None:
        """Give units their next runs, all recorded by one round."""
        if not assignments:
            return
        now = read_clock()
        for each in assignments:
            workers = [worker.name for worker in each.workers]
            self._board.order(each.unit, workers, now)
            _log.info(
                "run_decided",
                **name_unit(each.unit),
                workers=workers,
                entitled=each.rank.entitled,
                slack=round(each.rank.slack, 2),
                failures=each.unit.failures,
            )
        members = [member for each in assignments for member in each.unit.members]
        self._tasks.create_task(self._record_and_send(members))

    async def _record_and_send(self, members: Sequence[Member]) -> None:
        # RUN_RECORDED_BEFORE_ORDER.
        await self._recorder.save()
        await self._wait_for_list()
        withheld = {each.unit for each in members if not self._may_send(each)}
        for unit in withheld:
            self._withhold(unit)
        for member in members:
            if member.unit not in withheld:
                self._tasks.create_task(self._send_start(member))

    async def _wait_for_list(self) -> None:
        """Wait for a recent list of workers, if an outage delayed the record."""
        for _ in range(LIST_LOOKS):
            if self._is_list_recent():
                return
            await asyncio.sleep(LIST_WAIT_SECONDS / LIST_LOOKS)

    def _may_send(self, member: Member) -> bool:
        """Whether a start may still be sent by what is known of its worker now.

        A record may take seconds to write. Sent by what was known before, a start may
        bring a worker over a capacity that has shrunk, or meet one that leaves.
        """
        link = self._links.get(member.worker)
        return (
            link is not None
            and self._is_list_recent()
            and link.worker.can_take_decided()
        )

    def _withhold(self, unit: Unit) -> None:
        """Give a run up of which nothing was sent."""
        _log.info("start_withheld", **name_unit(unit))
        self._board.abandon(unit)
        for member in unit.members:
            self._board.note_gone(member, Proof.NEVER_SENT)
        self._wake()

    async def _send_start(self, member: Member) -> None:
        """Start one member, or see to it that its run is given up."""
        unanswered = False
        for _ in range(START_TRIES):
            if member.state is not MemberState.SENT or member.unit.abandoned:
                return
            link = self._links.get(member.worker)
            if link is None or not self._term.may_act() or not self._may_send(member):
                break
            sent_at = read_clock()
            try:
                answer = await self._calls.start(
                    link.entry, self._term.fence, self._make_order(member, link)
                )
            except Failure as failure:
                if failure.kind is ErrorKind.NO_TARGET:
                    link.record_silence(failure)
                else:
                    unanswered = True
                _log.info(
                    "start_unanswered",
                    **name_member(member),
                    reason=str(failure),
                )
                continue
            link.note_answer(answer.clock, sent_at)
            self._take_answer(member, link, answer, unanswered)
            return
        if not unanswered:
            self._board.note_gone(member, Proof.NEVER_SENT)
        self._board.abandon(member.unit)
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

    def _take_answer(
        self, member: Member, link: WorkerLink, answer: OrderAnswer, unanswered: bool
    ) -> None:
        if answer.refusal is None:
            _log.info(
                "run_started",
                **name_member(member),
                fence=self._term.fence,
                worker_clock=round(answer.clock, 3),
            )
            self._board.note_up(member, read_clock())
            self._recorder.ask()
            return
        self._note_refusal(member, link.worker, answer.refusal)
        if not unanswered:
            self._board.note_gone(member, Proof.REFUSED)
        self._board.abandon(member.unit)
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
        elif refusal is Refusal.TICKET:
            member.unit.permits.expire(worker.name)
        elif refusal is Refusal.UNHEALTHY:
            worker.distrusted_until = max(
                worker.distrusted_until, now + UNHEALTHY_SECONDS
            )
        elif refusal is Refusal.ROOM:
            worker.distrusted_until = max(
                worker.distrusted_until, now + ROOM_AGAIN_SECONDS
            )

    def pace(self, paces: Sequence[Pace]) -> None:
        """Let filling tasks work faster or slower."""
        now = read_clock()
        for each in paces:
            was = each.member.pace
            each.member.pace = each.percent
            each.member.paced_at = now
            self._tasks.create_task(self._send_pace(each, was))

    async def _send_pace(self, pace: Pace, was: int) -> None:
        """Tell a worker; after silence the pace is taken as it was before.

        The order is idempotent, so the next pass may give it again.
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
            member.pace = was
            return
        link.note_answer(answer.clock, sent_at)
        _log.info(
            "run_paced",
            **name_member(member),
            percent=pace.percent,
            refusal=answer.refusal.value if answer.refusal else "",
        )
        if answer.refusal is Refusal.FENCE:
            self._term.lost.set()

    def stop_abandoned(self) -> None:
        """Begin to stop every run that is to end."""
        for member in list(self._board.list_stopping()):
            key = (member.task, member.run)
            if key not in self._stopping:
                self._stopping.add(key)
                self._tasks.create_task(self._stop_until_gone(member))
        for link in list(self._links.values()):
            for task, run in link.take_strays():
                if (task, run) not in self._stopping:
                    self._stopping.add((task, run))
                    self._tasks.create_task(self._stop_stray(link, task, run))

    async def _stop_until_gone(self, member: Member) -> None:
        try:
            while member.state is not MemberState.GONE:
                link = self._links.get(member.worker)
                if link is None or not self._term.may_act():
                    await asyncio.sleep(STOP_RETRY_SECONDS)
                    continue
                # RUN_BARRED_BEFORE_NEXT, STOP_END_AWAITED.
                if await self._send_stop(link, member.task, member.run):
                    link.note_stopped(member)
                    await link.look_now()
                    await self._wait_until_gone(member)
                else:
                    await asyncio.sleep(STOP_RETRY_SECONDS)
        finally:
            self._stopping.discard((member.task, member.run))

    async def _wait_until_gone(self, member: Member) -> None:
        for _ in range(STOP_LOOKS):
            if member.state is MemberState.GONE:
                return
            await asyncio.sleep(STOP_AGAIN_SECONDS / STOP_LOOKS)

    async def _send_stop(self, link: WorkerLink, task: str, run: int) -> bool:
        """Return whether the worker has answered."""
        sent_at = read_clock()
        try:
            answer = await self._calls.stop(link.entry, self._term.fence, task, run)
        except Failure as failure:
            _log.info("stop_unanswered", task=task, run=run, reason=str(failure))
            return False
        link.note_answer(answer.clock, sent_at)
        if answer.refusal is Refusal.FENCE:
            self._term.lost.set()
            return False
        if answer.refusal is not None:
            _log.info("stop_refused", task=task, run=run, refusal=answer.refusal.value)
        return answer.refusal is not Refusal.UNHEALTHY

    async def _stop_stray(self, link: WorkerLink, task: str, run: int) -> None:
        """Stop a run that no record wants; shown again, it is stopped again."""
        _log.info("stray_stopped", task=task, run=run, worker=link.worker.name)
        try:
            if self._term.may_act():
                await self._send_stop(link, task, run)
                await asyncio.sleep(STOP_AGAIN_SECONDS)
        finally:
            self._stopping.discard((task, run))


def _find_ticket(member: Member) -> str:
    """Return the ticket for a start; empty where the queue needs none."""
    unit = member.unit
    if unit.job.queue.advised is None:
        return ""
    permit = unit.permits.granted.get(member.worker)
    return "" if permit is None else permit.ticket

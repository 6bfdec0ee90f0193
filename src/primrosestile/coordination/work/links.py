"""One task for each worker: its lease, what runs there, what has ended.

All that runs on a worker hangs on one lease, which every look extends. The end of
a run is written to the store before the worker is told that it may forget it:
otherwise the next owner would start again what has ended well. While the store
does not answer, looks go on without that word, so that nothing lapses.

Answers on different connections overtake one another. What a look does not show
is therefore only taken as absent when the look was sent after the answer that
said it was there.
"""

import asyncio
from collections.abc import Callable

import structlog

from primrosestile.clock import read_clock
from primrosestile.coordination.work.endnumbers import ASK_AGAIN_SECONDS, EndNumbers
from primrosestile.coordination.work.logfields import list_names, name_member
from primrosestile.coordination.work.recording import Recorder
from primrosestile.coordination.work.term import Term
from primrosestile.coordination.work.workerclock import Reading, WorkerClock
from primrosestile.decisions.work.board import Board
from primrosestile.decisions.work.units import Member, MemberState, Proof, Worker
from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.fleet import (
    EndedTask,
    Refusal,
    RunningTask,
    WorkerCalls,
    WorkerLook,
)
from primrosestile.state.work import Phase
from primrosestile.state.workers import EndKind, WorkerEntry

# A look that hears of no end returns after this, well within the lease.
LOOK_SECONDS = 1.0
RETRY_SECONDS = 0.15
# Between looks at an address that answers for another life than the one expected, of
# which this owner has heard nothing yet; its entry is right or gone within seconds.
DOUBT_SECONDS = 0.5
# How long after its lease has lapsed at the store an owner may go on extending
# the leases of workers, giving no other order: the store may be down for all
# (CARE_IS_BOUNDED).
CARE_SECONDS = 8.0
# At most this many ends come with one look; with so many, absence says nothing.
ENDS_PER_LOOK = 500
# How long the store may take over the ends of a look before the lease is looked
# after again without it.
RECORD_WAIT_SECONDS = 1.5

_log = structlog.get_logger()


class WorkerLink:
    """Keeps one worker's lease and takes in what it tells."""

    def __init__(
        self,
        worker: Worker,
        calls: WorkerCalls,
        term: Term,
        board: Board,
        recorder: Recorder,
        wake: Callable[[], None],
        note_end: Callable[[Member, EndKind], None],
        lease_longest: float,
    ) -> None:
        self.worker = worker
        self.clock = WorkerClock(worker.name, lease_longest)
        self._calls = calls
        self._term = term
        self._board = board
        self._recorder = recorder
        self._wake = wake
        self._note_end = note_end
        self._numbers = EndNumbers()
        self._pause = 0.0
        # Stops that the worker has answered, by when.
        self._stopped: dict[tuple[str, int], float] = {}
        self._strays: dict[tuple[str, int], float] = {}
        self._last_heard = read_clock()
        self._was_silent = False

    @property
    def entry(self) -> WorkerEntry:
        """What the worker says of itself in the store."""
        return self.worker.entry

    def describe(self) -> dict[str, float]:
        """Return what is relied on of the worker, for the log.

        Its own clock and the end of its lease by that clock, in seconds, and how long
        ago it was last heard; the first two only once it was.
        """
        now = read_clock()
        heard = {"heard_ago": round(now - self._last_heard, 3)}
        if not self.clock.known:
            return heard
        return {
            "worker_clock": round(self.clock.estimate(now), 3),
            "lease_until": round(self.clock.until, 3),
            **heard,
        }

    @property
    def heard_at(self) -> float:
        """When the worker last answered a look, or this link began."""
        return self._last_heard

    def find_lease_end(self) -> float:
        """Return the end of the lease to ask for, on the worker's clock."""
        return self.clock.extend(read_clock())

    def note_answer(self, clock: float, sent_at: float) -> None:
        """Take in the clock of an answer to an order."""
        now = read_clock()
        self.worker.record_answer(now)
        if clock:
            self.clock.note(Reading(clock, sent_at, now))

    def note_stopped(self, member: Member) -> None:
        """Note that the worker has answered a stop.

        The first answer counts: it bars the run for good. Were the latest one
        kept, a stop that is repeated each second would always be newer than the
        look that could confirm it, and the run would be waited for without end.
        """
        self._stopped.setdefault((member.task, member.run), read_clock())

    def record_silence(self, failure: Failure) -> None:
        """Give the worker no work until it answers a look."""
        if not self.worker.in_hand:
            return
        self.worker.in_hand = False
        self._was_silent = True
        _log.warning(
            "worker_silent",
            worker=self.worker.name,
            reason=str(failure),
            members=len(self.worker.members),
        )

    def take_strays(self) -> list[tuple[str, int]]:
        """Return runs on the worker that nobody wants, to be stopped."""
        strays = list(self._strays)
        self._strays.clear()
        return strays

    async def run(self) -> None:
        """Look after the worker until cancelled or its life is over."""
        while self._is_needed() and not self._term.lost.is_set():
            if not self._may_care():
                await asyncio.sleep(RETRY_SECONDS)
                continue
            try:
                await self._look()
                if self._pause:
                    # Ends that are not forgotten make the worker answer at once: it
                    # would be asked a thousand times a second.
                    await asyncio.sleep(self._pause)
            except Failure as failure:
                self._note_silence(failure)
                await asyncio.sleep(RETRY_SECONDS)

    def _is_needed(self) -> bool:
        return self._board.workers.get(self.worker.name) is self.worker

    def _may_care(self) -> bool:
        return self._term.may_care(CARE_SECONDS)

    async def look_now(self) -> None:
        """Look once without waiting, beside the look that may be waiting."""
        try:
            await self._look(waiting=False)
        except Failure as failure:
            _log.info("look_failed", worker=self.worker.name, reason=str(failure))

    async def _look(self, waiting: bool = True) -> None:
        """Look once.

        A worker that was silent is first only looked at: were its lease extended
        by a look that arrives late, the lease could never be taken as run out.
        """
        sent_at = read_clock()
        entry = self.entry
        until = self.find_lease_end() if self.worker.in_hand else None
        wait = LOOK_SECONDS if waiting and until is not None else 0.0
        answer = await self._calls.look(
            entry, self._term.fence, self._numbers.seen, until, wait
        )
        if isinstance(answer, Refusal):
            await self._take_refusal(answer, entry.address)
            return
        self._last_heard = read_clock()
        self.worker.record_answer(self._last_heard)
        self._board.crashes.record_answer(
            entry.address, self.worker.name, self._last_heard
        )
        self.clock.note(Reading(answer.clock, sent_at, self._last_heard))
        if entry.address == self.entry.address:
            self.worker.proven = True
        await self._take_look(answer, sent_at)

    async def _take_refusal(self, refusal: Refusal, address: str) -> None:
        if refusal is Refusal.FENCE:
            _log.warning("fence_refused", worker=self.worker.name, by="look")
            self._term.lost.set()
        elif refusal is Refusal.OTHER_LIFE:
            await self._take_other_life(address)
        else:
            await asyncio.sleep(RETRY_SECONDS)

    async def _take_other_life(self, address: str) -> None:
        """Take the life as over, if the address is surely the one that it had.

        An entry can be wrong: one that another writer has put over it may name the
        address of a second worker, which then truly answers that another life serves
        there. Taken as the end of the first, what runs on that would start elsewhere
        beside it. So the word counts of an address that has answered an owner as this
        life; else a right entry is waited for, and at last the end of what any owner
        can have extended.
        """
        worker = self.worker
        asked_there = worker.proven and address == worker.entry.address
        if worker.members and not asked_there:
            _log.info("worker_life_doubted", worker=worker.name, address=address)
            await asyncio.sleep(DOUBT_SECONDS)
            return
        _log.info(
            "worker_life_over",
            worker=worker.name,
            members=len(worker.members),
            tasks=list_names(each.task for each in worker.members.values()),
        )
        self._board.drop_worker(worker.name, Proof.LIFE_OVER)
        self._wake()

    async def _take_look(self, look: WorkerLook, sent_at: float) -> None:
        self._take_running(look.running)
        fresh = [each for each in look.ended if each.number > self._numbers.seen]
        last = self._numbers.take(look.ended, read_clock())
        if look.forget_limit is not None:
            last = min(last, look.forget_limit)
        self._pause = self._choose_pause(look)
        for ended in fresh:
            self._take_end(ended)
        if look.complete and len(look.ended) < ENDS_PER_LOOK:
            self._take_absent(look, sent_at)
        if not self.worker.in_hand and self.clock.known:
            self.worker.in_hand = True
            # An owner's first contact with its workers is told in sum.
            if self._was_silent:
                _log.info("worker_in_hand", worker=self.worker.name)
        self._wake()
        if fresh:
            await self._record_ends(last)

    def _choose_pause(self, look: WorkerLook) -> float:
        """Return how long to wait before the next look, in seconds.

        Ends that can't be forgotten yet make the worker answer at once.
        """
        if look.forget_limit is not None:
            return LOOK_SECONDS
        return ASK_AGAIN_SECONDS if self._numbers.doubtful else 0.0

    async def _record_ends(self, last: int) -> None:
        """Let the worker forget ends up to a number, once they are in the store.

        END_STORED_BEFORE_FORGOTTEN. Never one that could not be read: it may be that of
        a run that ended well, which would be run again as one that is neither there nor
        ended.
        """
        try:
            async with asyncio.timeout(RECORD_WAIT_SECONDS):
                await self._recorder.save()
        except TimeoutError:
            return
        self._numbers.forget(last)

    def _take_running(self, running: tuple[RunningTask, ...]) -> None:
        now = read_clock()
        orphaned = 0
        for row in running:
            member = self._board.find_member(row.task, row.run)
            if member is None or member.state is MemberState.GONE:
                self._strays[row.task, row.run] = now
                orphaned += 1
                continue
            self._board.note_up(member, now)
            member.heard_at = now
            if row.percent > member.percent:
                member.percent = row.percent
                member.moved_at = now
            if row.usage is not None:
                member.usage = row.usage
            if row.checkpoint and row.checkpoint != member.unit.checkpoint:
                member.unit.checkpoint = row.checkpoint
        self.worker.orphaned_runs = orphaned

    def _take_end(self, ended: EndedTask) -> None:
        member = self._board.find_member(ended.task, ended.run)
        if member is None or member.state is MemberState.GONE:
            return
        _log.info(
            "run_ended",
            **name_member(member),
            how=ended.kind.value,
            percent=member.percent,
            seconds=round(read_clock() - (member.up_at or member.since), 2),
            estimate=member.unit.step.estimate_seconds,
        )
        if member.unit.phase is Phase.ORDERED:
            self._note_end(member, ended.kind)
        self._board.note_end(ended.task, ended.run, ended.kind, ended.checkpoint)
        self._stopped.pop((ended.task, ended.run), None)

    def _take_absent(self, look: WorkerLook, sent_at: float) -> None:
        """Note as gone what the worker neither runs nor will start any more."""
        present = {(row.task, row.run) for row in look.running}
        present.update((each.task, each.run) for each in look.ended)
        for key, answered_at in list(self._stopped.items()):
            if key in present or answered_at > sent_at:
                continue
            self._stopped.pop(key)
            member = self.worker.members.get(key)
            if member is not None:
                self._board.note_gone(member, Proof.BARRED)
        for key, member in list(self.worker.members.items()):
            if key in present:
                continue
            if member.state is not MemberState.UP:
                # Its order carried a lower fence than this look: it can't come.
                if member.restored:
                    self._board.note_gone(member, Proof.FENCED_OFF)
                continue
            if member.unit.phase is Phase.DONE:
                # A gang that has ended well by another member's word.
                self._board.note_gone(member, Proof.GANG_ENDED)
            elif member.up_at < sent_at and key not in self._stopped:
                self._board.abandon(member.unit)

    def _note_silence(self, failure: Failure) -> None:
        """Give up what ran on a worker once its lease has surely run out.

        SILENCE_WAITED_OUT.
        """
        now = read_clock()
        worker = self.worker
        worker.record_no_answer(now)
        refuses = failure.kind is ErrorKind.NO_TARGET
        # A refused connection is an answer: nothing listens there now.
        if refuses or now - self._last_heard > LOOK_SECONDS:
            self.record_silence(failure)
        if not worker.members:
            if not worker.listed:
                self._board.drop_worker(worker.name, Proof.LEASE_OVER)
            return
        if self.clock.is_lease_over(now):
            _log.warning(
                "worker_lease_over", worker=worker.name, members=len(worker.members)
            )
            self._board.clear_worker(worker, Proof.LEASE_OVER, now, refuses)
            self._wake()

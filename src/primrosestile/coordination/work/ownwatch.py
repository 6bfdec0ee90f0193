"""Watches over the owner's own work, and gives the ownership up when it isn't done."""

import asyncio
from collections import deque
from collections.abc import Mapping

import msgspec
import structlog

from primrosestile.clock import read_clock
from primrosestile.coordination.work.intake import Intake
from primrosestile.coordination.work.keys import GIVEN_UP_KEY, OWNER_KEY
from primrosestile.coordination.work.links import WorkerLink
from primrosestile.coordination.work.metering import MeteredCalls
from primrosestile.coordination.work.recording import Recorder
from primrosestile.coordination.work.term import Term
from primrosestile.decisions.work.board import Board
from primrosestile.decisions.work.fitness import (
    MOST_SERVE_STEPS,
    WORKER_SECONDS,
    Fitness,
    Trouble,
    Work,
)
from primrosestile.errors import Failure
from primrosestile.protocol.transactions import Condition, TransactionalStore
from primrosestile.state.work import decode_given_up

# How often the work is measured: short beside the ages that count, in seconds.
CHECK_SECONDS = 0.25
# The delay of the loop is the mean of this many measures, 4 s: one suspension of the
# VM is behind it by then.
DELAYS_KEPT = 16
# How long reading what there is may take on the slowest link, in seconds: 4 MB of open
# jobs take 32 s over 1 Mbit/s.
READING_SECONDS = 45.0
# Past this age of the newest renewal that was answered, the store counts as away. Two
# in a row were given up after 1.5 s each by then; a renewal that takes 1 s on a full
# link is an answer all the same.
UNRENEWED_SECONDS = 3.0

_log = structlog.get_logger()


class OwnWatch:
    """Measures one term's work.

    Attributes:
        work: As measured last; None before the first measure.
        loaded: Whether the owner has read what there is; it writes nothing before.
    """

    def __init__(
        self,
        store: TransactionalStore,
        term: Term,
        board: Board,
        intake: Intake,
        recorder: Recorder,
        links: Mapping[str, WorkerLink],
        calls: MeteredCalls,
    ) -> None:
        self._store = store
        self._term = term
        self._board = board
        self._intake = intake
        self._recorder = recorder
        self._links = links
        self._calls = calls
        self._fitness = Fitness()
        self._began = read_clock()
        self._store_failed_at = self._began
        self._delays: deque[float] = deque(maxlen=DELAYS_KEPT)
        self._saving: asyncio.Task[None] | None = None
        self._saving_since = 0.0
        self.work: Work | None = None
        self.loaded = False

    async def run(self) -> None:
        """Measure and judge until cancelled or the term is lost."""
        try:
            while not self._term.lost.is_set():
                asked_at = read_clock()
                await asyncio.sleep(CHECK_SECONDS)
                now = read_clock()
                self._delays.append(now - asked_at - CHECK_SECONDS)
                self.work = work = self._measure(now)
                trouble = self._fitness.judge(work, now)
                if trouble is not None:
                    self._give_up(trouble, work)
        finally:
            if self._saving is not None:
                self._saving.cancel()

    async def follow_record(self) -> None:
        """Read how many gave up before; forget it once the work is proven sound."""
        while True:
            try:
                if self._fitness.given_up is None:
                    await self._read_record()
                elif self._fitness.given_up and self._fitness.is_proven(read_clock()):
                    await self._clear_record()
            except Failure as failure:
                _log.info("given_up_record_not_reached", reason=str(failure))
            await asyncio.sleep(CHECK_SECONDS)

    def _measure(self, now: float) -> Work:
        renewed_ago = self._term.find_renewal_age()
        if renewed_ago > UNRENEWED_SECONDS:
            self._store_failed_at = now
        listed = [each for each in self._board.workers.values() if each.listed]
        calls, unanswered = self._calls.count()
        return Work(
            wishes_age=self._find_wishes_age(now),
            records_age=self._find_records_age(now),
            workers=len(listed),
            heard=sum(self._is_heard(each.name, now) for each in listed),
            loop_delay=sum(self._delays) / len(self._delays),
            calls=calls,
            unanswered=unanswered,
            store_answers=now - self._store_failed_at,
            served=now - self._began,
        )

    def _find_wishes_age(self, now: float) -> float:
        """Return how old what is known of callers' wishes is.

        An owner that still reads what there is knows none. As long as that goes on, a
        change of owner would only begin it anew: alone on a link of 1 Mbit/s, a process
        gave up five times, and gave no order within 90 s. Workers' leases are looked
        after meanwhile.
        """
        age = min(self._intake.heard_age, now - self._began)
        if self.loaded or now - self._began > READING_SECONDS:
            return age
        return min(age, self._intake.reading_stall)

    def _is_heard(self, name: str, now: float) -> bool:
        link = self._links.get(name)
        # A worker that was found just now is asked for the first time.
        return link is None or now - link.heard_at < WORKER_SECONDS

    def _find_records_age(self, now: float) -> float:
        """Return how long a save takes by now; one is always on its way.

        A save with nothing to write ends at once and calls nothing.
        """
        if not self.loaded:
            return 0.0
        if self._saving is None or self._saving.done():
            self._saving = asyncio.create_task(self._recorder.save())
            self._saving_since = now
        return now - self._saving_since

    def _give_up(self, trouble: Trouble, work: Work) -> None:
        _log.warning(
            "ownership_given_up",
            fence=self._term.fence,
            trouble=trouble.value,
            given_up_before=self._fitness.given_up,
            wishes_age=round(work.wishes_age, 2),
            records_age=round(work.records_age, 2),
            workers=work.workers,
            heard=work.heard,
            loop_delay=round(work.loop_delay, 3),
            calls=work.calls,
            unanswered=round(work.unanswered, 2),
            store_answers=round(work.store_answers, 2),
            served=round(work.served, 2),
        )
        self._term.give_up()

    async def _read_record(self) -> None:
        entry = await self._store.get(GIVEN_UP_KEY)
        if entry is None:
            self._note_record(0)
            return
        try:
            self._note_record(decode_given_up(entry.value))
        except msgspec.MsgspecError as error:
            # One bad value must not end each term at its beginning. It counts as
            # many, and is removed like a good one once the work is sound.
            _log.warning("given_up_record_unreadable", error=str(error))
            self._note_record(MOST_SERVE_STEPS)

    async def _clear_record(self) -> None:
        condition = Condition(OWNER_KEY, self._term.fence)
        done = await self._store.commit([condition], removals=[GIVEN_UP_KEY])
        if done.done:
            self._note_record(0)

    def _note_record(self, given_up: int) -> None:
        self._fitness.given_up = given_up
        self._term.given_up_before = given_up

    def count(self) -> dict[str, float]:
        """Return figures of the moment, for those who watch over the fleet."""
        work = self.work
        if work is None:
            return {}
        return {
            "wishes_age_seconds": work.wishes_age,
            "records_age_seconds": work.records_age,
            "workers_heard": float(work.heard),
            "loop_delay_seconds": work.loop_delay,
            "worker_calls": float(work.calls),
            "worker_calls_unanswered_share": work.unanswered,
        }

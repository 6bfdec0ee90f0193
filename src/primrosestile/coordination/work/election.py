"""Which process schedules the fleet, under which fence, and until when.

Whoever writes the owner's key under its lease, where none stands or one that a former
life of the same process has left, is the owner; the revision of that write is the
fence. The lease is counted from the moment before a renewal was
sent, on a clock that counts suspension: an owner that was paused past its lease
must find that out before it gives one more order, since another may schedule by
then. Orders under an old fence do nothing on a worker that has seen the newer
one, but a worker may not have seen it yet.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec
import structlog

from primrosestile.coordination.work.keys import GIVEN_UP_KEY, OWNER_KEY
from primrosestile.decisions.work.fitness import SOUND_SECONDS, find_pause
from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.store import Entry
from primrosestile.protocol.transactions import (
    Condition,
    TransactionalStore,
    Write,
)
from primrosestile.state.work import (
    GivenUpRecord,
    OwnerRecord,
    decode_owner,
    encode_record,
)

# A dead owner is replaced this long after its last renewal, and urgent work that
# comes meanwhile is late by that. The platform grants no lease under a second.
LEASE_SECONDS = 1.2
# Renewals are sent this often whether or not the ones before were answered, so that
# neither a slow store nor a lost answer takes the lease.
RENEW_SECONDS = 0.25
# Of these so many may be on their way at once.
MOST_ON_THEIR_WAY = 4
# Clocks of two machines run at speeds that differ by up to 2%, and an order is on
# its way for some milliseconds after the check.
MARGIN_SECONDS = 0.25
# How long a process that does not own waits for the owner's key to change before
# it looks again; a watch may be silent for good.
WATCH_SECONDS = 2.0
RETRY_SECONDS = 0.25
# The age of the newest answered renewal past which the store may be out of reach.
OVERDUE_SECONDS = 0.75
# How long a vacancy lasts before a process stands that gave the ownership up just now.
# The weakest of the others stands after 0.5 s and takes two calls, of 0.3 s each at a
# slow store, and one whose watch is silent looks again after 2 s: whoever could take
# it has. Else a poor owner is better than none, since workers' leases last for 7 s.
LAST_SECONDS = 2.0

_log = structlog.get_logger()


def read_suspending_clock() -> float:
    """Return seconds on a clock that goes on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(slots=True)
class Term:
    """One process's ownership.

    Attributes:
        fence: Higher than that of every earlier term.
        lease: What the owner's key hangs on.
        valid_until: On the clock that counts suspension.
        lost: Set when another owner is known to stand, or the key is gone.
        given_up_before: How many owners in a row gave up; None while not known.
        given_up: Set when this one gave up as well.
        unrenewed: Whether the newest renewal failed.
    """

    fence: int
    lease: int
    valid_until: float
    lost: asyncio.Event
    read_clock: Callable[[], float] = read_suspending_clock
    given_up_before: int | None = None
    given_up: bool = False
    unrenewed: bool = False

    def may_act(self) -> bool:
        """Whether the store can't have given the fleet to another process yet.

        NO_ORDER_PAST_LEASE: every order asks this first.
        """
        return not self.lost.is_set() and self.read_clock() < self.valid_until

    def may_care(self, seconds: float) -> bool:
        """Whether leases of workers may be extended: some seconds past the term's end.

        The next owner counts on an end of that: what it can't ask it gives up once no
        earlier owner can have extended its lease any more.
        """
        return not self.lost.is_set() and self.read_clock() < self.valid_until + seconds

    @property
    def doubtful(self) -> bool:
        """Whether the store may not answer this process any more."""
        return self.unrenewed or self.find_renewal_age() > OVERDUE_SECONDS

    def find_renewal_age(self) -> float:
        """Return the seconds since the newest renewal that was answered was sent."""
        renewed_at = self.valid_until - LEASE_SECONDS + MARGIN_SECONDS
        return self.read_clock() - renewed_at

    def give_up(self) -> None:
        """End the term for one that another process may serve better."""
        self.given_up = True
        self.lost.set()

    def extend(self, asked_at: float) -> None:
        """Note the answer to a renewal that was sent at a time."""
        self.unrenewed = False
        until = asked_at + LEASE_SECONDS - MARGIN_SECONDS
        # Answers overtake one another.
        self.valid_until = max(self.valid_until, until)


class Election:
    """Gains the ownership, renews it, and runs a term's work meanwhile."""

    def __init__(
        self,
        store: TransactionalStore,
        process: str,
        run_term: Callable[[Term], Awaitable[None]],
        read_clock: Callable[[], float] = read_suspending_clock,
        stand_back: float = 0.0,
        address: str = "",
    ) -> None:
        self._stand_back = stand_back
        self._store = store
        self._record = OwnerRecord(process, address)
        self._run_term = run_term
        self._read_clock = read_clock
        self._leaving = False
        self._lease = 0
        self._lease_until = 0.0
        self._paused_until = 0.0
        self.term: Term | None = None
        # How many times this process gave the ownership up.
        self.given_up = 0
        self._given_up_in_row = 0

    async def run(self) -> None:
        """Stand for election until cancelled."""
        while not self._leaving:
            try:
                revision = await self._wait_for_vacancy()
                if self._leaving:
                    return
                term = await self._create(revision)
            except Failure as failure:
                _log.warning("election_failed", reason=str(failure))
                await asyncio.sleep(RETRY_SECONDS)
                continue
            if term is not None:
                await self._serve(term)

    async def leave(self) -> None:
        """Give the ownership up at once, so that another process takes over."""
        self._leaving = True
        term = self.term
        if term is None:
            return
        term.lost.set()
        condition = Condition(OWNER_KEY, term.fence)
        try:
            await self._store.commit([condition], removals=[OWNER_KEY])
            _log.info("ownership_handed_over", fence=term.fence)
        except Failure as failure:
            _log.warning("ownership_not_handed_over", reason=str(failure))

    async def _wait_for_vacancy(self) -> int:
        """Return once no owner stands, or what stands is left of this very process.

        Returns:
            The revision at which the owner's key must stand when it is taken.
        """
        while True:
            found, revision = await self._read_owner()
            wait = self._find_wait()
            if found is None and wait:
                await asyncio.sleep(wait)
                found, revision = await self._read_owner()
            if found is None:
                return 0
            if self._is_own(found):
                _log.info("ownership_left_over", fence=found.mod_revision)
                return found.mod_revision
            heard = await self._store.watch_once(OWNER_KEY, revision, WATCH_SECONDS)
            if not heard.complete:
                await asyncio.sleep(RETRY_SECONDS)

    async def _read_owner(self) -> tuple[Entry | None, int]:
        """Return the owner's key, and the store's revision to watch from.

        The revision of the key itself would not do: the store keeps its history for
        seconds, and an owner serves for longer.
        """
        page = await self._store.list(OWNER_KEY)
        if page.left_out:
            # Taken for a vacancy, it would be written over at each try.
            raise Failure(ErrorKind.STORE_ANSWER_LOST, "the owner's key is unreadable")
        found = [entry for entry in page.entries if entry.key == OWNER_KEY]
        return (found[0] if found else None), page.revision

    def _is_own(self, found: Entry) -> bool:
        """Whether an owner's key names this process, which owns nothing now.

        Its former life wrote it: one process of a name runs at an address, and no
        term of this life runs while it stands for election. Nobody acts by that key
        any more; left until its lease has run out, nothing would start for as long
        after all processes were killed together.
        """
        try:
            return decode_owner(found.value) == self._record
        except msgspec.MsgspecError:
            # Another writer's; it goes with its lease.
            return False

    def _find_wait(self) -> float:
        """Return how long to leave a vacancy to others, in seconds."""
        if self._read_clock() < self._paused_until:
            return LAST_SECONDS
        return self._stand_back

    def _note_end(self, term: Term, began: float) -> None:
        """Let this process stand last for a while once it has given up."""
        now = self._read_clock()
        if not term.given_up:
            if now - began > SOUND_SECONDS:
                self._given_up_in_row = 0
            return
        self.given_up += 1
        self._given_up_in_row += 1
        pause = find_pause(self._given_up_in_row)
        self._paused_until = now + pause
        _log.info("ownership_pause", seconds=pause, given_up=self.given_up)

    async def _create(self, revision: int) -> Term | None:
        lease = await self._hold_lease()
        asked_at = self._lease_until
        value = encode_record(self._record)
        write = Write(OWNER_KEY, value, lease)
        try:
            done = await self._store.commit([Condition(OWNER_KEY, revision)], [write])
        except Failure as failure:
            if failure.kind is ErrorKind.NOT_FOUND:
                self._lease = 0
                return None
            # The write may stand all the same, or may land later: it then hangs
            # on this lease, which is dropped and never renewed.
            self._lease = 0
            raise
        if not done.done:
            return None
        term = Term(done.revision, lease, asked_at, asyncio.Event(), self._read_clock)
        _log.info("ownership_gained", fence=term.fence)
        return term

    async def _hold_lease(self) -> int:
        """Return a lease that was granted or renewed just now."""
        asked_at = self._read_clock()
        if not self._lease or not await self._store.keep_lease(self._lease):
            asked_at = self._read_clock()
            self._lease = await self._store.grant_lease(LEASE_SECONDS)
        self._lease_until = asked_at + LEASE_SECONDS - MARGIN_SECONDS
        return self._lease

    async def _serve(self, term: Term) -> None:
        self.term = term
        began = self._read_clock()
        work = asyncio.create_task(self._guard_work(term), name="term")
        try:
            await self._renew(term)
        finally:
            term.lost.set()
            work.cancel()
            await asyncio.wait({work})
            self.term = None
            self._note_end(term, began)
            _log.info("ownership_ended", fence=term.fence)

    async def _guard_work(self, term: Term) -> None:
        """Run the term's work; a fault in it is logged and ends the term only."""
        try:
            await self._run_term(term)
        except asyncio.CancelledError:
            raise
        except BaseException:
            _log.exception("term_failed", fence=term.fence)
        finally:
            term.lost.set()

    async def _renew(self, term: Term) -> None:
        """Renew until the term is lost."""
        renewals = Renewals(self._store, term)
        await renewals.run()
        if renewals.lapsed:
            self._lease = 0
        elif not self._leaving:
            await self._resign(term)

    async def _resign(self, term: Term) -> None:
        """Remove the key after a fault, so that another process may try."""
        self._lease = 0
        writes = []
        if term.given_up:
            record = encode_record(GivenUpRecord((term.given_up_before or 0) + 1))
            writes.append(Write(GIVEN_UP_KEY, record))
        try:
            await self._store.commit(
                [Condition(OWNER_KEY, term.fence)], writes, [OWNER_KEY]
            )
        except Failure as failure:
            _log.warning("ownership_not_resigned", reason=str(failure))
            return
        # Let another process be first.
        await asyncio.sleep(RETRY_SECONDS)


class Renewals:
    """The renewals of one term, of which several may be on their way.

    Attributes:
        lapsed: The store has counted the lease out.
    """

    def __init__(self, store: TransactionalStore, term: Term) -> None:
        self._store = store
        self._term = term
        self._on_their_way = 0
        # Whether the newest that ended was given up without an answer.
        self._unanswered = False
        self.lapsed = False

    async def run(self) -> None:
        """Send one after another until the term is lost."""
        async with asyncio.TaskGroup() as tasks:
            sent = set()
            while not self._term.lost.is_set():
                if self._on_their_way < MOST_ON_THEIR_WAY:
                    sent.add(tasks.create_task(self._renew()))
                await _wait_or_lost(self._term, RENEW_SECONDS)
            for task in sent:
                task.cancel()

    async def _renew(self) -> None:
        self._on_their_way += 1
        try:
            alive, asked_at = await self._extend_lease()
        except Failure as failure:
            # The store may be back before it has counted the lease out; only its own
            # word ends the term.
            _log.warning("ownership_not_renewed", reason=str(failure))
            self._term.unrenewed = True
            self._unanswered |= failure.kind is ErrorKind.STORE_ANSWER_LOST
            return
        finally:
            self._on_their_way -= 1
        if not alive:
            _log.warning("ownership_lapsed", fence=self._term.fence)
            self.lapsed = True
            self._term.lost.set()
            return
        self._unanswered = False
        self._term.extend(asked_at)

    async def _extend_lease(self) -> tuple[bool, float]:
        """Renew once; return False when the lease has ended, and when it was asked.

        A renewal whose answer comes too late is carried out all the same. The store
        would go on counting this process as the owner by them, while it may give no
        order itself: nothing would start until its link or processor is well, and
        one would see renewals fail beside an `owner` that never changes. So a read
        comes first: while that fails, the lease runs out as it should, unless the
        store is away for all and counts none out.
        """
        if self._unanswered:
            await self._store.get(OWNER_KEY)
        asked_at = self._term.read_clock()
        return await self._store.keep_lease(self._term.lease), asked_at


async def _wait_or_lost(term: Term, seconds: float) -> None:
    try:
        async with asyncio.timeout(seconds):
            await term.lost.wait()
    except TimeoutError:
        return

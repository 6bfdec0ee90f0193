"""Which process schedules the fleet, under which fence, and until when.

Whoever creates the owner's key under its lease is the owner; the revision of the
creation is the fence. The lease is counted from the moment before a renewal was
sent, on a clock that counts suspension: an owner that was paused past its lease
must find that out before it gives one more order, since another may schedule by
then. Orders under an old fence do nothing on a worker that has seen the newer
one, but a worker may not have seen it yet.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import structlog

from primrosestile.coordination.work.keys import OWNER_KEY
from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.transactions import (
    Condition,
    TransactionalStore,
    Write,
)
from primrosestile.state.work import OwnerRecord, encode_record

# A dead owner is replaced this long after its last renewal, and urgent work that
# comes meanwhile is late by that. Shorter leases lapse whenever the store is slow:
# at 60 times its usual 4 ms, a renewal takes 0.25 s.
LEASE_SECONDS = 1.7
# Four renewals within a lease, so that two may fail without harm.
RENEW_SECONDS = 0.4
# Clocks of two machines run at speeds that differ by up to 2%, and an order is on
# its way for some milliseconds after the check.
MARGIN_SECONDS = 0.25
# How long a process that does not own waits for the owner's key to change before
# it looks again; a watch may be silent for good.
WATCH_SECONDS = 2.0
RETRY_SECONDS = 0.25

# A machine with less processor than this lets others stand first: at 176 workers the
# owner takes 0.37 cores on a calm day, and the smallest machines have 0.5.
AMPLE_PROCESSOR_CORES = 1.0
# Longer than machines that start together are apart (0.3 s) and than a vacancy takes to
# be heard of; shorter than what a takeover may take.
STAND_BACK_SECONDS = 0.5

_log = structlog.get_logger()


def find_stand_back(processor: float) -> float:
    """Return how long a machine waits before it stands for a vacancy, in seconds."""
    return 0.0 if processor >= AMPLE_PROCESSOR_CORES else STAND_BACK_SECONDS


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
    """

    fence: int
    lease: int
    valid_until: float
    lost: asyncio.Event
    read_clock: Callable[[], float] = read_suspending_clock

    def may_act(self) -> bool:
        """Whether the store can't have given the fleet to another process yet.

        NO_ORDER_PAST_LEASE: every order asks this first.
        """
        return not self.lost.is_set() and self.read_clock() < self.valid_until

    def extend(self, asked_at: float) -> None:
        """Note a renewal that was sent at a time."""
        self.valid_until = asked_at + LEASE_SECONDS - MARGIN_SECONDS


class Election:
    """Gains the ownership, renews it, and runs a term's work meanwhile."""

    def __init__(
        self,
        store: TransactionalStore,
        process: str,
        run_term: Callable[[Term], Awaitable[None]],
        read_clock: Callable[[], float] = read_suspending_clock,
        stand_back: float = 0.0,
    ) -> None:
        self._stand_back = stand_back
        self._store = store
        self._process = process
        self._run_term = run_term
        self._read_clock = read_clock
        self._leaving = False
        self._lease = 0
        self._lease_until = 0.0
        self.term: Term | None = None

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
        """Return once no owner stands."""
        while True:
            found = await self._store.get(OWNER_KEY)
            if found is None and self._stand_back:
                await asyncio.sleep(self._stand_back)
                found = await self._store.get(OWNER_KEY)
            if found is None:
                return 0
            heard = await self._store.watch_once(
                OWNER_KEY, found.mod_revision, WATCH_SECONDS
            )
            if not heard.complete:
                await asyncio.sleep(RETRY_SECONDS)

    async def _create(self, revision: int) -> Term | None:
        lease = await self._hold_lease()
        asked_at = self._lease_until
        value = encode_record(OwnerRecord(self._process))
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
        work = asyncio.create_task(self._guard_work(term), name="term")
        try:
            await self._renew(term)
        finally:
            term.lost.set()
            work.cancel()
            await asyncio.wait({work})
            self.term = None
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
        while not term.lost.is_set():
            asked_at = self._read_clock()
            try:
                alive = await self._store.keep_lease(term.lease)
            except Failure as failure:
                # The store may be back before it has counted the lease out; only
                # its own word ends the term.
                _log.warning("ownership_not_renewed", reason=str(failure))
                await _wait_or_lost(term, RETRY_SECONDS)
                continue
            if not alive:
                _log.warning("ownership_lapsed", fence=term.fence)
                self._lease = 0
                return
            term.extend(asked_at)
            await _wait_or_lost(term, RENEW_SECONDS)
        if not self._leaving:
            await self._resign(term)

    async def _resign(self, term: Term) -> None:
        """Remove the key after a fault, so that another process may try."""
        self._lease = 0
        try:
            await self._store.commit(
                [Condition(OWNER_KEY, term.fence)], removals=[OWNER_KEY]
            )
        except Failure as failure:
            _log.warning("ownership_not_resigned", reason=str(failure))
            return
        # Let another process be first.
        await asyncio.sleep(RETRY_SECONDS)


async def _wait_or_lost(term: Term, seconds: float) -> None:
    try:
        async with asyncio.timeout(seconds):
            await term.lost.wait()
    except TimeoutError:
        return

"""Elects the process that schedules the fleet.

A process becomes owner by writing the owner's key under its own lease, if there is no
such key or one that a former incarnation of the same process left. The revision of that
write is the fence. `term` says what an owner may do, and until when.
"""

import asyncio
from collections.abc import Awaitable, Callable

import structlog

from primrosestile.coordination.work.keys import OWNER_KEY, RESIGNATIONS_KEY
from primrosestile.coordination.work.renewals import Renewals
from primrosestile.coordination.work.term import (
    LEASE_SECONDS,
    Term,
    find_lease_end,
    read_suspending_clock,
)
from primrosestile.decisions.work.owner_health import (
    HEALTHY_TERM_SECONDS,
    find_candidacy_pause,
)
from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.store import Entry
from primrosestile.protocol.transactions import (
    Condition,
    TransactionalStore,
    Write,
)
from primrosestile.state.decoding import Undecodable
from primrosestile.state.work import (
    OwnerRecord,
    ResignationRecord,
    decode_owner,
    encode_record,
)

# A process that is not the owner reads the owner's key again after this time without
# a change, since a watch may stall permanently.
WATCH_SECONDS = 2.0
RETRY_SECONDS = 0.25
# Election delay of a process that resigned just now. The weakest other
# candidate waits 0.5 s and needs two calls of 0.3 s each at a slow store; one whose
# watch is silent reads again after 2 s. If none of them has taken it by then, a poor
# owner is better than none, since workers' leases last for 7 s.
RESIGNED_DELAY_SECONDS = 2.0

_log = structlog.get_logger()


class Election:
    """Acquires the ownership, renews it, and runs the term's work meanwhile."""

    def __init__(
        self,
        store: TransactionalStore,
        process: str,
        run_term: Callable[[Term], Awaitable[None]],
        read_clock: Callable[[], float] = read_suspending_clock,
        election_delay: float = 0.0,
        address: str = "",
        peer_address: str = "",
    ) -> None:
        self._election_delay = election_delay
        self._store = store
        self._record = OwnerRecord(process, address, peer_address)
        self._owner_address = ""
        self._owner_fence = 0
        self._run_term = run_term
        self._read_clock = read_clock
        self._leaving = False
        self._lease = 0
        self._lease_until = 0.0
        self._paused_until = 0.0
        self.term: Term | None = None
        # How many times this process resigned.
        self.resignations = 0
        self._resignations_in_row = 0

    async def run(self) -> None:
        """Run for election until cancelled."""
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

    @property
    def owner_address(self) -> str:
        """The peer address of the owner that was read last; empty if unknown."""
        return self._owner_address

    @property
    def owner_fence(self) -> int:
        """The fence of the owner that was read last, or ours; 0 if there was none."""
        return self._owner_fence if self.term is None else self.term.fence

    @property
    def extends_leases(self) -> bool:
        """Whether this process may extend workers' leases, by its present term."""
        return self.term is not None and self.term.may_extend_leases()

    async def leave(self) -> None:
        """Hand the ownership over at once, so that another process takes over."""
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
        """Wait until there is no owner's key, or only this process's own former one.

        Returns:
            The revision that the owner's key must still have when it is written.
        """
        while True:
            found, revision = await self._read_owner()
            wait = self._find_election_delay()
            if found is None and wait:
                await asyncio.sleep(wait)
                found, revision = await self._read_owner()
            if found is None:
                return 0
            if self._is_own(found):
                _log.info("ownership_left_over", fence=found.mod_revision)
                return found.mod_revision
            batch = await self._store.watch_once(OWNER_KEY, revision, WATCH_SECONDS)
            if not batch.complete:
                await asyncio.sleep(RETRY_SECONDS)

    async def _read_owner(self) -> tuple[Entry | None, int]:
        """Return the owner's key, and the store's revision to watch from.

        A watch can't begin at the revision of the key itself: the store keeps its
        history for seconds, and an owner serves for longer.
        """
        page = await self._store.list(OWNER_KEY)
        if page.left_out:
            # Treated as absent, the key would be overwritten at each try.
            raise Failure(ErrorKind.STORE_ANSWER_LOST, "the owner's key is unreadable")
        found = [entry for entry in page.entries if entry.key == OWNER_KEY]
        self._owner_fence = found[0].mod_revision if found else 0
        if found:
            self._note_owner(found[0])
        return (found[0] if found else None), page.revision

    def _note_owner(self, found: Entry) -> None:
        try:
            self._owner_address = decode_owner(found.value).peer_address
        except Undecodable:
            self._owner_address = ""

    def _is_own(self, found: Entry) -> bool:
        """Whether an owner's key names this process, which is not the owner now.

        Its former incarnation wrote the key: only one process of a name runs at an
        address, and no term of this incarnation runs during an election. So nobody acts
        under that key any more. Waiting for its lease to run out would delay all starts
        by that time after all processes were killed together.
        """
        try:
            owner = decode_owner(found.value)
        except Undecodable:
            # Another writer's key; it is removed when its lease expires.
            return False
        own = self._record
        return (owner.process, owner.address) == (own.process, own.address)

    def _find_election_delay(self) -> float:
        """Return how long other candidates go first, in seconds."""
        if self._read_clock() < self._paused_until:
            return RESIGNED_DELAY_SECONDS
        return self._election_delay

    def _record_end(self, term: Term, began: float) -> None:
        """Start a pause in which this process runs last, if it resigned."""
        now = self._read_clock()
        if not term.resigned:
            if now - began > HEALTHY_TERM_SECONDS:
                self._resignations_in_row = 0
            return
        self.resignations += 1
        self._resignations_in_row += 1
        pause = find_candidacy_pause(self._resignations_in_row)
        self._paused_until = now + pause
        _log.info("ownership_pause", seconds=pause, given_up=self.resignations)

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
            # The write may have been carried out, or may be later: it is then bound to
            # this lease, which is dropped and never renewed.
            self._lease = 0
            raise
        if not done.done:
            return None
        term = Term(done.revision, lease, asked_at, asyncio.Event(), self._read_clock)
        _log.info("ownership_gained", fence=term.fence)
        return term

    async def _hold_lease(self) -> int:
        """Renew the lease or obtain a new one, and return it."""
        asked_at = self._read_clock()
        if not self._lease or not await self._store.keep_lease(self._lease):
            asked_at = self._read_clock()
            self._lease = await self._store.grant_lease(LEASE_SECONDS)
        self._lease_until = find_lease_end(asked_at)
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
            self._record_end(term, began)
            _log.info("ownership_ended", fence=term.fence)

    async def _guard_work(self, term: Term) -> None:
        """Run the term's work; an exception is logged and ends only the term."""
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
        """Remove the owner's key, so that another process may take over."""
        self._lease = 0
        writes = []
        if term.resigned:
            record = encode_record(
                ResignationRecord((term.earlier_resignations or 0) + 1)
            )
            writes.append(Write(RESIGNATIONS_KEY, record))
        try:
            await self._store.commit(
                [Condition(OWNER_KEY, term.fence)], writes, [OWNER_KEY]
            )
        except Failure as failure:
            _log.warning("ownership_not_resigned", reason=str(failure))
            return
        # Give other candidates a head start.
        await asyncio.sleep(RETRY_SECONDS)

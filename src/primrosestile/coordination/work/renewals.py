"""Keeps the lease of one term of ownership.

Renewals are sent at a fixed pace whether or not the ones before were answered, so that
neither a slow store nor a lost answer takes the lease.
"""

import asyncio

import structlog

from primrosestile.coordination.work.keys import OWNER_KEY
from primrosestile.coordination.work.term import Term
from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.transactions import TransactionalStore

RENEW_SECONDS = 0.25
MAX_IN_FLIGHT = 4

_log = structlog.get_logger()


class Renewals:
    """The renewals of one term, of which several may be in flight.

    Attributes:
        lapsed: The store has counted the lease out.
    """

    def __init__(self, store: TransactionalStore, term: Term) -> None:
        self._store = store
        self._term = term
        # When the newest one that was answered had been sent.
        self._answered = term.read_clock()
        # Whether one that was sent later was given up without an answer.
        self._unanswered = False
        self.lapsed = False

    async def run(self) -> None:
        """Send one after another until the term is lost."""
        async with asyncio.TaskGroup() as tasks:
            in_flight: set[asyncio.Task[None]] = set()
            while not self._term.lost.is_set():
                if len(in_flight) < MAX_IN_FLIGHT:
                    task = tasks.create_task(self._renew())
                    in_flight.add(task)
                    task.add_done_callback(in_flight.discard)
                await self._wait()
            for task in list(in_flight):
                task.cancel()

    async def _wait(self) -> None:
        try:
            async with asyncio.timeout(RENEW_SECONDS):
                await self._term.lost.wait()
        except TimeoutError:
            return

    async def _renew(self) -> None:
        began = self._term.read_clock()
        try:
            alive, asked_at = await self._extend_lease()
        except Failure as failure:
            # The store may be back before it has counted the lease out; only its own
            # word ends the term.
            _log.warning("ownership_not_renewed", reason=str(failure))
            if began >= self._answered:
                self._term.unrenewed = True
                self._unanswered |= failure.kind is ErrorKind.STORE_ANSWER_LOST
            return
        if not alive:
            _log.warning("ownership_lapsed", fence=self._term.fence)
            self.lapsed = True
            self._term.lost.set()
            return
        self._unanswered = False
        self._answered = max(self._answered, asked_at)
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

"""Renews the lease of one term of ownership.

Renewals are sent at a fixed interval whether or not the earlier ones were answered, so
that neither a slow store nor a lost answer costs the lease.
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
        lapsed: Whether the store has answered that the lease has expired.
    """

    def __init__(self, store: TransactionalStore, term: Term) -> None:
        self._store = store
        self._term = term
        # When the newest answered renewal was sent.
        self._answered = term.read_clock()
        # Whether one that was sent later timed out without an answer.
        self._unanswered = False
        self.lapsed = False

    async def run(self) -> None:
        """Send renewals at the interval until the term is lost."""
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
            # The store may be back before the lease expires there; only its answer
            # ends the term.
            _log.warning("ownership_not_renewed", reason=str(failure))
            if began >= self._answered:
                self._term.renewal_failed = True
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
        """Renew once.

        A renewal whose answer comes too late is still carried out. Such renewals would
        keep this process the owner at the store while it may give no order itself:
        nothing would start until its link or processor recovers, and renewals would
        fail while `owner` never changes. So after an unanswered one a read comes first:
        while that fails, the lease runs out, unless the store is down for every process
        and expires no lease.

        Returns:
            Whether the lease is still alive, and when the renewal was sent.
        """
        if self._unanswered:
            await self._store.get(OWNER_KEY)
        asked_at = self._term.read_clock()
        return await self._store.keep_lease(self._term.lease), asked_at

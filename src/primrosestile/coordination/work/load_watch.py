"""Keeps the newest summary of the fleet's load that this process has fetched.

It is fetched in the background when a submission needs a newer one, one fetch at a
time; no caller waits for it. On a large deployment each VM gets a submission in some
seconds only, and every summary would be too old by the next. So while submissions come
and the summary shows waits, it is fetched again each second.

Without a recent summary of the present owner nothing is known, and nothing is refused:
then the owner is silent, cut off, replaced or overloaded.
"""

import asyncio
import math
from collections.abc import Callable

import structlog

from primrosestile.coordination.work.term import read_suspending_clock
from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.load_views import LoadViewCalls
from primrosestile.state.load import LoadSummary

# A copy that is older is fetched again.
REFRESH_SECONDS = 1.0
# For how long after a submission the summary is kept fresh while the fleet has waits.
# 42 VMs get a submission each 3 s at three times the capacity, with gaps of three times
# that.
FOLLOW_SECONDS = 10.0

_log = structlog.get_logger()


class LoadWatch:
    """The newest summary of the present owner, and how old it is."""

    def __init__(
        self,
        calls: LoadViewCalls,
        find_owner: Callable[[], tuple[str, int]],
        find_own: Callable[[], LoadSummary | None],
        read_steady: Callable[[], float] = read_suspending_clock,
    ) -> None:
        """Begin without a summary.

        Args:
            calls: Queries to the owner.
            find_owner: Returns the owner's peer address and its fence, as known from
                the store; no address or fence 0 where there is none.
            find_own: Returns this process's own summary while it is the owner.
            read_steady: A clock that includes suspension: after one, a summary that
                was recent before must count as old.
        """
        self._calls = calls
        self._find_owner = find_owner
        self._find_own = find_own
        self._read_steady = read_steady
        self._summary: LoadSummary | None = None
        # When the summary was made, at the latest.
        self._made_at = -math.inf
        self._asked_at = -math.inf
        self._needed_at = -math.inf
        self._fetching: asyncio.Task[None] | None = None
        self._unreadable = False

    def find_summary(self) -> tuple[LoadSummary, float] | None:
        """Return the present owner's summary and its age in seconds, without waiting.

        A newer one is fetched for the next submission. The decision tells whether the
        summary is recent enough.
        """
        own = self._find_own()
        if own is not None:
            return own, own.age
        now = self._needed_at = self._read_steady()
        if self._is_due(now) and (self._fetching is None or self._fetching.done()):
            self._fetching = asyncio.create_task(self._follow())
        summary = self._summary
        _, fence = self._find_owner()
        if summary is None or not fence or summary.fence < fence:
            return None
        return summary, now - self._made_at

    def _is_due(self, now: float) -> bool:
        age = min(now - self._made_at, now - self._asked_at)
        return age >= REFRESH_SECONDS

    async def _follow(self) -> None:
        """Fetch, and again each second while that is of use to submissions."""
        while await self._fetch():
            now = self._read_steady()
            needed = now - self._needed_at < FOLLOW_SECONDS
            if self._summary is None or not self._summary.has_waits or not needed:
                return
            await asyncio.sleep(REFRESH_SECONDS)

    async def _fetch(self) -> bool:
        """Fetch once; return whether there is a summary."""
        address, _ = self._find_owner()
        if not address:
            return False
        asked_at = self._asked_at = self._read_steady()
        try:
            summary = await self._calls.fetch(address)
        except Failure as failure:
            if failure.kind is ErrorKind.MALFORMED:
                self._note_unreadable(address, failure)
            return False
        self._unreadable = False
        if summary is None:
            return False
        self._keep(summary, asked_at)
        return True

    def _keep(self, summary: LoadSummary, asked_at: float) -> None:
        """Keep a summary unless it is of a former owner, or not newer."""
        _, fence = self._find_owner()
        if summary.fence < fence:
            return
        if self._summary is not None and summary.order <= self._summary.order:
            return
        self._summary = summary
        self._made_at = asked_at - summary.age

    def _note_unreadable(self, address: str, failure: Failure) -> None:
        """Log an unreadable summary, unless the one before was unreadable too."""
        if not self._unreadable:
            _log.warning("load_unreadable", owner=address, reason=failure.detail)
        self._unreadable = True

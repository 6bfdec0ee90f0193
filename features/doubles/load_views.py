"""Queries of processes to the owner for its summary of the load, and their faults."""

import asyncio
from collections import Counter
from collections.abc import Callable

from primrosestile.errors import ErrorKind, Failure
from primrosestile.state.decoding import Undecodable
from primrosestile.state.load import LoadSummary, decode_load, encode_load
from primrosestile.transport.load_views import LIMITS

ANSWER_SECONDS = 0.004


class LoadViews:
    """How processes reach one another.

    Attributes:
        silent: Processes that answer no query.
        cut: Processes whose queries are not answered.
        unreadable: Whether answers are of an unknown form.
        asked: Queries by the process that asked.
        in_progress: The most queries of one process at one time.
    """

    def __init__(self, serve: Callable[[str], LoadSummary | None]) -> None:
        self.serve = serve
        self.silent: set[str] = set()
        self.cut: set[str] = set()
        self.unreadable = False
        self.asked: Counter[str] = Counter()
        self.in_progress: Counter[str] = Counter()
        self.most_in_progress = 0

    def connect(self, process: str) -> "ProcessLoadViews":
        """Return one process's queries."""
        return ProcessLoadViews(self, process)


class ProcessLoadViews:
    """Implements `protocol.load_views.LoadViewCalls` for one process."""

    def __init__(self, views: LoadViews, process: str) -> None:
        self._views = views
        self._process = process

    async def fetch(self, address: str) -> LoadSummary | None:
        """Return the summary of a process, encoded and decoded on the way."""
        views = self._views
        views.asked[self._process] += 1
        views.in_progress[self._process] += 1
        views.most_in_progress = max(
            views.most_in_progress, views.in_progress[self._process]
        )
        try:
            return await self._fetch(address)
        finally:
            views.in_progress[self._process] -= 1

    async def _fetch(self, address: str) -> LoadSummary | None:
        views = self._views
        if address in views.silent or self._process in views.cut:
            await asyncio.sleep(LIMITS.answer_seconds)
            raise Failure(ErrorKind.NO_TARGET, "no answer", silent=True)
        await asyncio.sleep(ANSWER_SECONDS)
        summary = views.serve(address)
        if summary is None:
            return None
        value = b"\xc1" if views.unreadable else encode_load(summary)
        try:
            return decode_load(value)
        except Undecodable as error:
            raise Failure(ErrorKind.MALFORMED, str(error)) from error

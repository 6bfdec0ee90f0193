"""Limits the starts that share the link of the owner's VM at one moment.

Load: hundreds of starts with arguments of kilobytes, over a link of a few megabits a
second. Harm: sent all at once, each gets so small a part of the link that all of them
time out, and are sent again. A start that waits here has not been sent, so its time
does not run yet. Starts that fit the link together are never held up.
"""

import asyncio
import heapq
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

# Transfer time of the starts in flight, together. It adds to the time of each, and to
# that of polls beside them, so it is below half of the time that an order has.
MAX_TRANSFER_SECONDS = 0.2

# The lowest goes first: entitled units, then by the priority of the queue.
Urgency = tuple[bool, int]


class OrderWindow:
    """Admits starts by urgency, then in the order in which they came."""

    def __init__(self) -> None:
        self._in_flight = 0
        self._in_flight_seconds = 0.0
        self._waiting: list[tuple[Urgency, int, float, asyncio.Future[None]]] = []
        self._count = 0

    @asynccontextmanager
    async def reserve(self, seconds: float, urgency: Urgency) -> AsyncIterator[bool]:
        """Hold a share of the link while a start is sent.

        Args:
            seconds: How long its transfer takes.
            urgency: Which of the waiting starts goes first.

        Yields:
            Whether the start had to wait.
        """
        queued = bool(self._waiting) or not self._fits(seconds)
        if queued:
            await self._wait(seconds, urgency)
        else:
            self._admit(seconds)
        try:
            yield queued
        finally:
            self._release(seconds)

    async def _wait(self, seconds: float, urgency: Urgency) -> None:
        admitted = asyncio.get_running_loop().create_future()
        self._count += 1
        heapq.heappush(self._waiting, (urgency, self._count, seconds, admitted))
        try:
            await admitted
        except asyncio.CancelledError:
            # Cancelled after its admission, before it could run.
            if admitted.done() and not admitted.cancelled():
                self._release(seconds)
            raise

    def _fits(self, seconds: float) -> bool:
        # One start alone may take longer than the limit.
        total = self._in_flight_seconds + seconds
        return not self._in_flight or total <= MAX_TRANSFER_SECONDS

    def _admit(self, seconds: float) -> None:
        self._in_flight += 1
        self._in_flight_seconds += seconds

    def _release(self, seconds: float) -> None:
        self._in_flight -= 1
        # Rounding errors don't add up over many starts.
        left = self._in_flight_seconds - seconds
        self._in_flight_seconds = left if self._in_flight else 0.0
        while self._waiting:
            _, _, seconds, admitted = self._waiting[0]
            if not admitted.cancelled():
                if not self._fits(seconds):
                    return
                self._admit(seconds)
                admitted.set_result(None)
            heapq.heappop(self._waiting)

"""What one process's VM can carry: a link with a rate, and a processor.

All calls of a process share both. Bytes of several calls take turns in small parts, so
that a small answer gets through beside a large one, only later, as on a real link.
"""

import asyncio
import math

from primrosestile.clock import read_clock

# Small enough that a renewal isn't held up for long by one large answer.
PART_BYTES = 512
# An answer without a body, and what a row of one adds to the value it carries.
ANSWER_BYTES = 120
ROW_BYTES = 100
# Values travel in base 64.
VALUE_FACTOR = 4 / 3


class Link:
    """A VM's link and processor.

    Attributes:
        rate: Bytes a second that the link carries.
        call_seconds: How long the processor takes over one answer.
    """

    def __init__(self) -> None:
        self.rate = math.inf
        self.call_seconds = 0.0
        self._link = _Line()
        self._processor = _Line()

    async def carry(self, size: float, seconds: float) -> None:
        """Return once an answer of a size has come through.

        Raises:
            TimeoutError: When it has not within a time.
        """
        if math.isinf(self.rate) and not self.call_seconds:
            return
        async with asyncio.timeout(seconds):
            while size > 0:
                part = min(size, PART_BYTES)
                size -= part
                await self._link.take(part / self.rate)
            await self._processor.take(self.call_seconds)


class _Line:
    """Serves one after another."""

    def __init__(self) -> None:
        self._free_at = 0.0

    async def take(self, seconds: float) -> None:
        """Return once what came before and this have been served."""
        now = read_clock()
        self._free_at = max(now, self._free_at) + seconds
        await asyncio.sleep(self._free_at - now)

"""The link and the processor of one process's VM.

All calls of a process share both. The link interleaves calls in small parts, so that
a small answer passes a large one, with a delay, as on a real link.
"""

import asyncio
import math

from primrosestile.clock import read_clock

# Small enough that a large answer delays a renewal only briefly.
PART_BYTES = 512
# Sizes of an answer without a body, and of a row besides its value.
ANSWER_BYTES = 120
ROW_BYTES = 100
# Values are sent in base 64.
VALUE_FACTOR = 4 / 3


class Link:
    """A VM's link and processor.

    Attributes:
        rate: Throughput of the link in bytes a second.
        call_seconds: Processor time per answer.
        carried: Bytes transferred so far.
    """

    def __init__(self) -> None:
        self.rate = math.inf
        self.call_seconds = 0.0
        self.carried = 0.0
        self._link = _SerialServer()
        self._processor = _SerialServer()

    async def carry(self, size: float, seconds: float) -> None:
        """Return once an answer of `size` bytes has been transferred.

        Raises:
            TimeoutError: When it takes longer than `seconds`.
        """
        if math.isinf(self.rate) and not self.call_seconds:
            return
        async with asyncio.timeout(seconds):
            while size > 0:
                part = min(size, PART_BYTES)
                size -= part
                await self._link.serve(part / self.rate)
                self.carried += part
            await self._processor.serve(self.call_seconds)


class _SerialServer:
    """Serves jobs one at a time, in order of arrival."""

    def __init__(self) -> None:
        self._free_at = 0.0

    async def serve(self, seconds: float) -> None:
        """Return once this job, and all earlier ones, have been served."""
        now = read_clock()
        self._free_at = max(now, self._free_at) + seconds
        await asyncio.sleep(self._free_at - now)

"""The link and the processor of one process's VM.

All calls of a process share both. The link interleaves calls in small parts, so that
a small answer passes a large one, with a delay, as on a real link.
"""

import asyncio
import math
from collections.abc import Callable, Sequence

from primrosestile.clock import read_clock
from primrosestile.protocol.store import Entry
from primrosestile.protocol.transactions import Write
from primrosestile.transport.call_progress import do_nothing

# Small enough that a large answer delays a renewal only briefly.
PART_BYTES = 512
# Sizes of an answer without a body, and of a row besides its value.
ANSWER_BYTES = 120
ROW_BYTES = 100
# Values are sent in base 64.
VALUE_FACTOR = 4 / 3


def measure_answer(entries: Sequence[Entry | None]) -> float:
    """Return the size of an answer with entries of the store, in bytes."""
    values = [entry.value for entry in entries if entry is not None]
    rows = len(entries) * ROW_BYTES
    return ANSWER_BYTES + rows + VALUE_FACTOR * sum(map(len, values))


def measure_write(write: Write) -> float:
    """Return the size of a write in a request to the store, in bytes."""
    return ROW_BYTES + VALUE_FACTOR * len(write.value)


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

    async def carry(
        self, size: float, seconds: float, on_part: Callable[[], None] = do_nothing
    ) -> None:
        """Return once an answer of `size` bytes has been transferred.

        Args:
            size: In bytes.
            seconds: The time for it.
            on_part: Called when the answer begins, and with each part of it.

        Raises:
            TimeoutError: When it takes longer than `seconds`.
        """
        on_part()
        if math.isinf(self.rate) and not self.call_seconds:
            return
        async with asyncio.timeout(seconds):
            while size > 0:
                part = min(size, PART_BYTES)
                size -= part
                await self._link.serve(part / self.rate)
                self.carried += part
                on_part()
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

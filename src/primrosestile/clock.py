"""Monotonic time and time of day, both based on the running event loop's clock.

Every wait and every deadline uses the loop's clock, so a test that replaces it can
pause and advance all of them. The time of day is that clock plus an offset, so a step
of the VM's clock cannot put two records of one process out of order.

A time of day from another process is only for display. Ages and expiry times are
measured with the process's own monotonic clock, because the time of day of another VM
may be minutes off.
"""

import asyncio
import time
from collections.abc import Callable

# Interval between two readings of the VM's time of day.
CHECK_INTERVAL_SECONDS = 5.0
# A step of the VM's clock that is reverted within this time is ignored.
STABLE_SECONDS = 60.0
# Two readings of an unchanged offset differ by less than this.
TOLERANCE_SECONDS = 0.05


def read_offset() -> float:
    """Return the VM's time of day minus its monotonic clock, in seconds."""
    return time.time() - time.monotonic()


class TimeOfDay:
    """The offset from the loop's clock to the time of day.

    A VM's clock may not be set yet when a process starts on it. An offset that is read
    only once would start scheduled jobs minutes off for the lifetime of the process,
    even if the VM's clock is set a moment later. An offset that follows every reading
    would start them early when the clock jumps for some seconds. A new offset is
    therefore adopted once it has been stable for `STABLE_SECONDS`.

    Attributes:
        offset: Seconds to add to the loop's time.
    """

    def __init__(self, read_offset: Callable[[], float] = read_offset) -> None:
        self._read_offset = read_offset
        self.offset = read_offset()
        self._candidate = self.offset
        self._candidate_since = 0.0

    def check(self, now: float) -> float:
        """Read the VM's time of day; return the correction in seconds, 0 for none.

        Args:
            now: The loop's time.
        """
        reading = self._read_offset()
        if abs(reading - self._candidate) > TOLERANCE_SECONDS:
            self._candidate = reading
            self._candidate_since = now
        changed = abs(reading - self.offset) > TOLERANCE_SECONDS
        if not changed or now - self._candidate_since < STABLE_SECONDS:
            return 0.0
        correction = reading - self.offset
        self.offset = reading
        return correction


_time_of_day = TimeOfDay()


def read_clock() -> float:
    """Return the running loop's time in seconds."""
    return asyncio.get_running_loop().time()


def read_wall_clock() -> float:
    """Return the time of day in seconds since 1970, based on the loop's clock."""
    return _time_of_day.offset + read_clock()


async def follow_time_of_day(report_correction: Callable[[float], None]) -> None:
    """Adopt stable changes of the VM's time of day, until cancelled.

    Args:
        report_correction: Called with each correction, in seconds.
    """
    while True:
        await asyncio.sleep(CHECK_INTERVAL_SECONDS)
        correction = _time_of_day.check(read_clock())
        if correction:
            report_correction(correction)

"""Time as the running event loop gives it.

Every wait and every deadline uses the loop's clock, so a test that replaces the
loop's time can pause and advance all of them. What is due at a time of day needs one
too; it is worked out from the same clock plus an offset, so a step of the VM's clock
cannot make two records of one process run backwards.

A time of day that another process has told is for people. How old a thing is, or how
long it may still be used, is counted by one process's own steady clock: the time of
day of another VM may be minutes off.
"""

import asyncio
import time
from collections.abc import Callable

# Between two readings of the VM's time of day.
CHECK_SECONDS = 5.0
# A time of day that jumps and is put back within this is not followed.
SETTLED_SECONDS = 60.0
# Two readings of one offset differ by less, in seconds.
SAME_SECONDS = 0.05


def read_offset() -> float:
    """Return the VM's time of day less its steady clock, in seconds."""
    return time.time() - time.monotonic()


class TimeOfDay:
    """The offset from the loop's clock to the time of day.

    A VM may not know the time yet when a process begins on it. Were the offset never
    read again, scheduled jobs would start minutes off for as long as the process
    lives, though the VM's clock was set a moment later. Were each reading believed, a
    clock that jumps for some seconds would start them early. So another offset is
    taken over once it has stood for a while.

    Attributes:
        offset: Seconds to add to the loop's time.
    """

    def __init__(self, read_offset: Callable[[], float] = read_offset) -> None:
        self._read_offset = read_offset
        self.offset = read_offset()
        self._other = self.offset
        self._other_since = 0.0

    def check(self, now: float) -> float:
        """Read the VM's time of day; return by how many seconds that corrects ours.

        Args:
            now: The loop's time.
        """
        found = self._read_offset()
        if abs(found - self._other) > SAME_SECONDS:
            self._other = found
            self._other_since = now
        changed = abs(found - self.offset) > SAME_SECONDS
        if not changed or now - self._other_since < SETTLED_SECONDS:
            return 0.0
        correction = found - self.offset
        self.offset = found
        return correction


_time_of_day = TimeOfDay()


def read_clock() -> float:
    """Return the running loop's time in seconds."""
    return asyncio.get_running_loop().time()


def read_wall_clock() -> float:
    """Return the time of day in seconds since 1970, following the loop's clock."""
    return _time_of_day.offset + read_clock()


async def follow_time_of_day(note_correction: Callable[[float], None]) -> None:
    """Correct the time of day when the VM's has settled elsewhere, until cancelled.

    Args:
        note_correction: Told by how many seconds.
    """
    while True:
        await asyncio.sleep(CHECK_SECONDS)
        correction = _time_of_day.check(read_clock())
        if correction:
            note_correction(correction)

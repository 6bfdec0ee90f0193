"""Time as the running event loop gives it.

Every wait and every deadline uses the loop's clock, so a test that replaces the
loop's time can pause and advance all of them. Records that outlive a process
need a time of day; it is worked out from the same clock plus an offset taken
once at import, so a step of the machine's clock cannot make two records of one
process run backwards.
"""

import asyncio
import time

_WALL_OFFSET = time.time() - time.monotonic()


def read_clock() -> float:
    """Return the running loop's time in seconds."""
    return asyncio.get_running_loop().time()


def read_wall_clock() -> float:
    """Return the time of day in seconds since 1970, following the loop's clock."""
    return _WALL_OFFSET + read_clock()

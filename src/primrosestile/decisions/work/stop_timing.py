"""How long stopping a run takes, and what follows from it.

Load: gangs for which dozens of runs are stopped, on workers that need up to a second
for a stop. Harm: with limits made for stops of 0.4 s, a stop that takes 0.9 s counts as
unanswered before its end is listed. The gang's room no longer counts as freed, and more
work is stopped for it elsewhere.
"""

from dataclasses import dataclass

# From the end of a run until it is listed, recorded and its room can be used; includes
# a stop that is lost once and sent again after 0.45 s.
AFTER_STOP_SECONDS = 0.6
# Lower bounds of the limits below. Faster stops don't shorten them, since answers that
# are lost or late take most of that time.
MIN_LATE_SECONDS = 1.0
MIN_RESTART_SECONDS = 0.4
# Callers of urgent work wait for about this long beyond the stop itself.
HELD_AFTER_STOP_SECONDS = 2.6
MIN_HELD_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class StopTiming:
    """Limits that depend on the time that a stop takes, in seconds.

    Attributes:
        late: After this a stop counts as unanswered.
        held: Longest time that room is held for the unit for which it was freed.
        evacuate: How long before a worker may be gone its work is stopped.
        restart: Time of a stop, its end and the next start.
    """

    late: float
    held: float
    evacuate: float
    restart: float


def make_stop_timing(stop_seconds: float) -> StopTiming:
    """Return the limits for the longest time that a worker takes to stop a run."""
    late = max(MIN_LATE_SECONDS, stop_seconds + AFTER_STOP_SECONDS)
    return StopTiming(
        late=late,
        held=max(MIN_HELD_SECONDS, stop_seconds + HELD_AFTER_STOP_SECONDS),
        evacuate=late,
        restart=max(MIN_RESTART_SECONDS, stop_seconds),
    )

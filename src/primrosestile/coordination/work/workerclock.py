"""What is known of a worker's steady clock, and of its lease by that clock.

A worker's lease is judged by the times that it tells. One wrong time would do harm: far
ahead, it makes the lease seem over as soon as the worker falls silent, and its tasks
start elsewhere while they run; `worker_lease_over` comes within a second of the last
answer. So a time is believed only as far as our own steady clock bears it out: both run
at one speed, or nearly, so all that a worker ever told leaves little room for what it
tells next. Where a time may be wrong by less than that room, the lease is judged by the
second of two.
"""

import math
from dataclasses import dataclass

import structlog

# Long enough that a change of owner (2.5 s of its lease and a second to read and
# ask) lets nothing lapse, and a cut of five seconds heals in time; short enough
# that the work of a worker that is gone is started again while it is still wanted.
LEASE_SECONDS = 7.0
# A worker's clock may be 2% slow; a little more, and the way of one message
# (SLOW_CLOCK_ALLOWED_FOR).
SLOW_CLOCK_FACTOR = 0.97
CLOCK_MARGIN_SECONDS = 0.3
# As much where the slow clock is ours.
FAST_CLOCK_FACTOR = 1.03
# Times are told in whole milliseconds.
TOLD_MARGIN_SECONDS = 0.01
# Times that contradict all before them and agree with one another for as long as this
# are taken for a clock that was set. A lease that was asked for outlasts it.
ANEW_SECONDS = 3.0

_log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class Reading:
    """A time that a worker told, in seconds, and ours around that.

    Attributes:
        told: Its time at some moment between the other two.
        sent_at: When we sent the call.
        came_at: When its answer came.
    """

    told: float
    sent_at: float
    came_at: float


class _Room:
    """Between which times a worker's clock must be, by what it has told.

    An honest reading lies within the room that honest ones leave, in whichever order
    their answers come.
    """

    def __init__(self, reading: Reading) -> None:
        self.first = self.latest = reading
        # Offsets from our own time, run at the one factor or the other. Of the lowest
        # that the clock can be at, the second counts: another reading bears it out.
        self._most = reading.told - reading.sent_at * FAST_CLOCK_FACTOR
        self._highest = reading.told - reading.came_at * SLOW_CLOCK_FACTOR
        self._second = -math.inf

    def holds(self, reading: Reading) -> bool:
        """Whether a reading may come from the clock that these came from."""
        least = self.find_least(reading.sent_at) - TOLD_MARGIN_SECONDS
        most = self._most + reading.came_at * FAST_CLOCK_FACTOR + TOLD_MARGIN_SECONDS
        return least <= reading.told <= most

    def take(self, reading: Reading) -> None:
        """Take a reading in that the room holds."""
        if reading.told > self.latest.told:
            self.latest = reading
        self._most = min(self._most, reading.told - reading.sent_at * FAST_CLOCK_FACTOR)
        least = reading.told - reading.came_at * SLOW_CLOCK_FACTOR
        self._second = max(self._second, min(least, self._highest))
        self._highest = max(self._highest, least)

    def find_least(self, now: float) -> float:
        """Return what the clock has surely reached, however slow it runs."""
        alone = self._second == -math.inf
        return (self._highest if alone else self._second) + now * SLOW_CLOCK_FACTOR


class WorkerClock:
    """One worker's clock as its answers tell it.

    Attributes:
        until: What its lease surely ends by; infinite while that is not known.
    """

    def __init__(self, worker: str, lease_longest: float) -> None:
        """Know nothing yet.

        Args:
            worker: For the log.
            lease_longest: Seconds from its arrival that any extension lasts at most.
        """
        self.until = math.inf
        self._worker = worker
        self._longest = max(lease_longest, LEASE_SECONDS)
        self._room: _Room | None = None
        # What may be another clock, or the first reading of all.
        self._doubted: _Room | None = None
        self._set = False

    @property
    def known(self) -> bool:
        """Whether two readings ever agreed."""
        return self._room is not None

    def note(self, reading: Reading) -> None:
        """Take in a time that came with the answer to a call of ours."""
        if self._room is not None and self._room.holds(reading):
            self._room.take(reading)
            self._doubted = None
            return
        if self._doubted is None or not self._doubted.holds(reading):
            self._doubted = _Room(reading)
            self._log_doubt(reading)
            return
        self._doubted.take(reading)
        agreed_for = reading.came_at - self._doubted.first.came_at
        if self._room is None or agreed_for >= ANEW_SECONDS:
            self._begin_anew(self._doubted)

    def _log_doubt(self, reading: Reading) -> None:
        if self._room is not None:
            _log.warning(
                "worker_time_doubted",
                worker=self._worker,
                told=round(reading.told, 3),
                expected=round(self.estimate(reading.came_at), 3),
            )

    def _begin_anew(self, room: _Room) -> None:
        """Go by readings that agree with one another.

        Until it answered our fence, a worker obeyed earlier owners, whose extensions
        we never saw: its lease may last the longest that there is from then on. Were
        the lease taken as what we ourselves have asked for, which is nothing yet, the
        next silence would count it as over, and its tasks would start elsewhere while
        they run; `worker_lease_over` would come within a second of `ownership_gained`.
        """
        if self._room is not None:
            self._set = True
            _log.warning(
                "worker_time_taken_anew",
                worker=self._worker,
                told=round(room.latest.told, 3),
            )
        self._room = room
        self._doubted = None
        # No owner asks for more than our own length; one call of this very term may
        # still be on its way, and on some platforms the longest is shorter.
        self.until = room.latest.told + self._longest

    def estimate(self, now: float) -> float:
        """Return its time now, as if both ran at one speed."""
        assert self._room is not None, "it was never read"
        latest = self._room.latest
        return latest.told + (now - latest.came_at)

    def extend(self, now: float) -> float:
        """Return the end of the lease to ask for.

        Where the worker told two clocks, or one for a moment only, it may judge by
        another, and what is asked for by the wrong one lasts the longest that there is.
        """
        assert self._room is not None, "it was never read"
        time = self.estimate(now)
        told_for = self._room.latest.came_at - self._room.first.came_at
        sure = told_for > ANEW_SECONDS and self._doubted is None and not self._set
        lasts = LEASE_SECONDS if sure else self._longest
        self.until = max(self.until, time + lasts)
        return time + LEASE_SECONDS

    def is_lease_over(self, now: float) -> bool:
        """Whether its lease has surely run out."""
        if self._room is None:
            return False
        return self._room.find_least(now) > self.until + CLOCK_MARGIN_SECONDS

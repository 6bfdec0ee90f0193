"""Estimates a worker's monotonic clock, and the end of its lease by that clock.

A worker's lease is judged by the times that it reports. A single wrong one would do
harm: if it is far ahead, the lease seems over as soon as the worker is silent, and its
tasks start elsewhere while they run; `worker_lease_over` comes within a second of the
last answer. So a time is accepted only if it agrees with our own monotonic clock: both
run at nearly the same speed, so all earlier times of a worker leave narrow bounds for
the next one. A time may still be wrong by less than these bounds, so the lease is
judged by the second highest estimate.
"""

import math
from dataclasses import dataclass

import structlog

# Long enough that no lease lapses during a change of owner (2.5 s of its lease and a
# second to load and poll) or a network partition of five seconds; short enough that the
# work of a lost worker starts again while it is still wanted.
LEASE_SECONDS = 7.0
# A worker's clock may be 2% slow; this allows a little more, and the margin covers the
# delay of one message (SLOW_CLOCK_ALLOWED_FOR).
SLOW_CLOCK_FACTOR = 0.97
CLOCK_MARGIN_SECONDS = 0.3
# The same allowance if the slow clock is ours.
FAST_CLOCK_FACTOR = 1.03
# Times are reported in whole milliseconds.
ROUNDING_MARGIN_SECONDS = 0.01
# If times contradict all earlier ones and agree with one another for this long, the
# worker's clock was set. It is shorter than a lease.
CLOCK_SET_SECONDS = 3.0
# Two wrong times may agree with each other.
SURE_READINGS = 3

_log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class ClockReading:
    """A time that a worker reported, and our times around it, in seconds.

    Attributes:
        worker_time: The worker's time at some moment between the other two.
        sent_at: When we sent the call.
        received_at: When its answer arrived.
    """

    worker_time: float
    sent_at: float
    received_at: float


class _ClockBounds:
    """The bounds of a worker's clock by its accepted readings.

    A correct reading lies within the bounds of other correct ones, in whichever order
    their answers arrive.
    """

    def __init__(self, reading: ClockReading) -> None:
        self.first = self.latest = reading
        self.count = 1
        # Offsets from our own time, scaled by one factor or the other. Of the lower
        # bounds, the second highest counts: it is confirmed by another reading.
        self._upper = reading.worker_time - reading.sent_at * FAST_CLOCK_FACTOR
        self._lower = reading.worker_time - reading.received_at * SLOW_CLOCK_FACTOR
        self._second_lower = -math.inf

    def contains(self, reading: ClockReading) -> bool:
        """Whether a reading may come from the same clock as the earlier ones."""
        lower = self.find_lower_bound(reading.sent_at) - ROUNDING_MARGIN_SECONDS
        upper = (
            self._upper
            + reading.received_at * FAST_CLOCK_FACTOR
            + ROUNDING_MARGIN_SECONDS
        )
        return lower <= reading.worker_time <= upper

    def narrow(self, reading: ClockReading) -> None:
        """Narrow the bounds by a reading that they hold."""
        self.count += 1
        if reading.worker_time > self.latest.worker_time:
            self.latest = reading
        self._upper = min(
            self._upper, reading.worker_time - reading.sent_at * FAST_CLOCK_FACTOR
        )
        lower = reading.worker_time - reading.received_at * SLOW_CLOCK_FACTOR
        self._second_lower = max(self._second_lower, min(lower, self._lower))
        self._lower = max(self._lower, lower)

    def find_lower_bound(self, now: float) -> float:
        """Return the time that the clock has certainly reached, however slow it is."""
        alone = self._second_lower == -math.inf
        return (self._lower if alone else self._second_lower) + now * SLOW_CLOCK_FACTOR


class WorkerClock:
    """One worker's clock, estimated from its answers.

    Attributes:
        until: The latest possible end of its lease; infinite while unknown.
    """

    def __init__(self, worker: str, max_lease_seconds: float) -> None:
        """Begin without a reading.

        Args:
            worker: For the log.
            max_lease_seconds: The most that any extension lasts from its arrival.
        """
        self.until = math.inf
        self._worker = worker
        self._max_lease_seconds = max(max_lease_seconds, LEASE_SECONDS)
        self._bounds: _ClockBounds | None = None
        # Readings of a clock that may have been set, or the very first reading.
        self._candidate: _ClockBounds | None = None
        self._was_set = False

    @property
    def known(self) -> bool:
        """Whether two readings have agreed."""
        return self._bounds is not None

    def note(self, reading: ClockReading) -> None:
        """Process the time in the answer to a call of ours."""
        if self._bounds is not None and self._bounds.contains(reading):
            self._bounds.narrow(reading)
            self._candidate = None
            return
        if self._candidate is None or not self._candidate.contains(reading):
            self._candidate = _ClockBounds(reading)
            self._log_doubt(reading)
            return
        self._candidate.narrow(reading)
        agreed_for = reading.received_at - self._candidate.first.received_at
        if self._bounds is None or agreed_for >= CLOCK_SET_SECONDS:
            self._replace_bounds(self._candidate)

    def _log_doubt(self, reading: ClockReading) -> None:
        if self._bounds is not None:
            _log.warning(
                "worker_time_doubted",
                worker=self._worker,
                told=round(reading.worker_time, 3),
                expected=round(self.estimate(reading.received_at), 3),
            )

    def _replace_bounds(self, bounds: _ClockBounds) -> None:
        """Replace the bounds by those of readings that agree with one another.

        Until it answered our fence, a worker obeyed earlier owners, whose extensions
        we don't know: its lease may last the longest duration from then on. If only our
        own requests counted, of which there are none yet, the lease would count as over
        at the next silence, and its tasks would start elsewhere while they run;
        `worker_lease_over` would come within a second of `ownership_gained`.
        """
        if self._bounds is not None:
            self._was_set = True
            _log.warning(
                "worker_time_taken_anew",
                worker=self._worker,
                told=round(bounds.latest.worker_time, 3),
            )
        self._bounds = bounds
        self._candidate = None
        # The longest is at least the length that owners request, even if the platform's
        # is shorter: one call of this term may still be in flight.
        self.until = bounds.latest.worker_time + self._max_lease_seconds

    def estimate(self, now: float) -> float:
        """Return its time now, assuming that both clocks run at the same speed."""
        assert self._bounds is not None, "the clock has no reading yet"
        latest = self._bounds.latest
        return latest.worker_time + (now - latest.received_at)

    def extend(self, now: float) -> float:
        """Return the end of the lease to request.

        If the worker has reported two clocks, or one only briefly, its true clock may
        be another, and a lease requested by the wrong one may last the longest
        duration.
        """
        assert self._bounds is not None, "the clock has no reading yet"
        time = self.estimate(now)
        covered = self._bounds.latest.received_at - self._bounds.first.received_at
        sure = (
            covered > CLOCK_SET_SECONDS
            and self._bounds.count >= SURE_READINGS
            and self._candidate is None
            and not self._was_set
        )
        lasts = LEASE_SECONDS if sure else self._max_lease_seconds
        self.until = max(self.until, time + lasts)
        return time + LEASE_SECONDS

    def is_lease_over(self, now: float) -> bool:
        """Whether its lease has certainly run out."""
        return self.find_lease_bound(now) < 0

    def find_lease_bound(self, now: float) -> float:
        """Return the seconds after which its lease has certainly run out."""
        if self._bounds is None:
            return math.inf
        end = self.until + CLOCK_MARGIN_SECONDS
        return (end - self._bounds.find_lower_bound(now)) / SLOW_CLOCK_FACTOR

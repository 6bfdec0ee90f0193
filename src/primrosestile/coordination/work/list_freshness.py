"""Judges whether the owner's list of workers is recent enough to decide by.

A short list is read every half second and is never older than 1.5 s. One that takes
seconds to arrive is out of date on its arrival, so a rule for short lists alone would
let its owner decide nothing. A long list may be used for longer, by what its reads
take; then each start needs a read of its worker's own entry, since the list may not
show yet that the worker is leaving.
"""

from primrosestile.clock import read_clock

# Workers write about every 1.5 s, and one that leaves must get no new work after
# 2 s; a read takes 0.3 s of that at a slow store.
POLL_SECONDS = 0.5
# An older entry may not show yet that its worker is leaving.
STALE_SECONDS = 1.5
# A list whose read takes longer is recent for less than a third of the time.
LONG_READ_SECONDS = 1.0
# The pause after a long read is as long as the read, so that reads take at most half of
# the link. A list is replaced at three times that age; a read may take twice as long.
AGE_FACTOR = 4.0
# An owner that can't read the list more often finds new workers too late: another VM
# may have a faster link.
MAX_AGE_SECONDS = 15.0
MAX_PAUSE_SECONDS = 4.0
# An owner that loads its state reads the jobs again after each failed read of the list,
# for seconds over a slow link. One failure alone must not count for all that time.
MIN_FAILED_READS = 5


class ListFreshness:
    """Records the reads of the list."""

    def __init__(self) -> None:
        # When the list was first asked for, and when the latest one that arrived was.
        self._first_asked_at: float | None = None
        self._read_at: float | None = None
        self._read_seconds = 0.0
        self._failed_reads = 0

    def record_request(self) -> float:
        """Record that a read begins; return the time."""
        now = read_clock()
        if self._first_asked_at is None:
            self._first_asked_at = now
        return now

    def record_read(self, asked_at: float) -> bool:
        """Record a list that was asked for at a time; return if `long` has changed."""
        was_long = self.long
        self._read_at = asked_at
        self._read_seconds = read_clock() - asked_at
        return self.long is not was_long

    def record_failure(self) -> None:
        """Record that a read failed."""
        self._failed_reads += 1

    @property
    def long(self) -> bool:
        """Whether the list takes too long to arrive to be kept recent."""
        return self._read_seconds > LONG_READ_SECONDS

    @property
    def read_seconds(self) -> float:
        """How long the latest list took to arrive."""
        return self._read_seconds

    @property
    def pause(self) -> float:
        """Seconds to wait before the next read."""
        if not self.long:
            return POLL_SECONDS
        return min(MAX_PAUSE_SECONDS, self._read_seconds)

    def is_recent(self, seconds: float) -> bool:
        """Whether starts that take `seconds` to transfer may be sent by the list."""
        return self._read_at is not None and is_recent(self._read_at, seconds)

    @property
    def usable(self) -> bool:
        """Whether starts may be decided by the list."""
        return self._read_at is not None and self.silence == 0.0

    @property
    def silence(self) -> float:
        """For how long the list has been too old to decide by, in seconds.

        Before the first list has arrived, only failed reads count: a long list that is
        still arriving would only have to be read again by the next owner.
        """
        if self._read_at is None:
            failing = self._failed_reads >= MIN_FAILED_READS
            if not failing or self._first_asked_at is None:
                return 0.0
            return read_clock() - self._first_asked_at
        age_limit = STALE_SECONDS
        if self.long:
            age_limit = min(MAX_AGE_SECONDS, AGE_FACTOR * self._read_seconds)
        return max(0.0, read_clock() - self._read_at - age_limit)


def is_recent(asked_at: float, seconds: float) -> bool:
    """Whether a start may be sent by what was read at a time.

    Args:
        asked_at: When it was asked for.
        seconds: How long the transfer of the start takes. Its worker may begin it as
            much later, and must not once its notice has ended.
    """
    return read_clock() - asked_at < STALE_SECONDS - seconds

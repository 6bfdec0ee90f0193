"""Limits how often something may be done.

Load: any number of callers whose requests each cost a call of a shared service. Harm:
they use up what the service grants to all processes together.
"""


class RateBudget:
    """A token bucket; it begins full."""

    def __init__(self, per_second: float, burst: float) -> None:
        """Begin with a full bucket.

        Args:
            per_second: How many tokens are added each second.
            burst: How many it holds.
        """
        self._per_second = per_second
        self._burst = burst
        self._left = burst
        self._filled_at = 0.0

    def take(self, now: float) -> bool:
        """Take a token; return False when there is none.

        Args:
            now: On any one steady clock, in seconds.
        """
        gained = (now - self._filled_at) * self._per_second
        self._left = min(self._burst, self._left + gained)
        self._filled_at = now
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True

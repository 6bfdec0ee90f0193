"""The budget of retries and hedges of an entry.

Retries multiply load just when it is too high: if every request is tried three
times while a third of the workers fail, the others get twice the work and fail
as well. A budget that is earned by first attempts limits the extra load to a fixed
share whatever fails.
"""

# Lets an entry with little traffic retry its first failures; negligible under load.
INITIAL_TOKENS = 3.0
# Tokens saved in quiet hours must not be spent as one burst: this many retries at
# once are fewer than the slots of two workers.
MAX_TOKENS = 10.0


class RetryBudget:
    """Token bucket: a first attempt earns `ratio` tokens, an extra one costs 1."""

    def __init__(self, ratio: float) -> None:
        self.ratio = ratio
        self._tokens = INITIAL_TOKENS if ratio > 0 else 0.0

    def earn(self) -> None:
        """Add the tokens of one first attempt."""
        self._tokens = min(MAX_TOKENS, self._tokens + self.ratio)

    def can_spend(self) -> bool:
        """Whether an extra attempt is allowed; spends nothing."""
        return self._tokens >= 1.0

    def spend(self) -> bool:
        """Spend one token for an extra attempt; False when there is none."""
        if not self.can_spend():
            return False
        self._tokens -= 1.0
        return True


def make_retry_budget(ratio: float) -> RetryBudget:
    """Return a budget of `ratio` extra attempts for each first one."""
    return RetryBudget(ratio)

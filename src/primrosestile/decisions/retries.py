"""How many retries and hedges an entry may add to the load.

Retries multiply load just when it is too high: if every request is tried three
times while a third of the workers fail, the others get twice the work and fail
as well. A budget that is earned by first attempts holds the extra load to a
fixed share whatever goes wrong.
"""

# Lets a quiet entry retry its first failures; small against any real traffic.
FIRST_TOKENS = 3.0
# Tokens saved up in quiet hours must not be spent as one burst: this many
# retries at once are less than the slots of two workers.
MOST_TOKENS = 10.0


class RetryBudget:
    """Tokens: each first attempt earns a share of one, each extra attempt costs one."""

    def __init__(self, ratio: float) -> None:
        self.ratio = ratio
        self._tokens = FIRST_TOKENS if ratio > 0 else 0.0

    def earn(self) -> None:
        """Note a first attempt."""
        self._tokens = min(MOST_TOKENS, self._tokens + self.ratio)

    def can_spend(self) -> bool:
        """Whether an extra attempt is allowed, without taking it."""
        return self._tokens >= 1.0

    def spend(self) -> bool:
        """Take one extra attempt; False when the budget is used up."""
        if not self.can_spend():
            return False
        self._tokens -= 1.0
        return True


def make_retry_budget(ratio: float) -> RetryBudget:
    """Return a budget that allows `ratio` extra attempts for each first one."""
    return RetryBudget(ratio)

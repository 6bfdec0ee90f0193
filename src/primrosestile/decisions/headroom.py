"""How many slots long patient work may hold, so that urgent work finds some.

A slot that patient work holds for many seconds does not come free when urgent
work arrives; to wait for it is what a clerk with a customer notices. Short
patient work needs no such care: its slots come free within the time that urgent
work may wait.
"""

import math

from primrosestile.decisions.admission import Waiting
from primrosestile.state.tenancy import Urgency

# Patient work that runs longer than this counts as long. Urgent work has 5.8
# seconds to start, and a third of it may pass while a slot comes free.
LONG_SECONDS = 2.0
# The average of urgent work in progress rises fast, since each second too late
# gives a slot away for many, and falls slowly, so that a lull gives none away. So
# it lies above the mean, and covers what chance adds without a further margin.
RISE_SECONDS = 1.0
FALL_SECONDS = 30.0
# Left free even when no urgent work has come lately: the first one starts at once.
LEAST_FREE = 1


class Headroom:
    """Counts what is in progress, and says whether long patient work may start."""

    def __init__(self, patient_share: float) -> None:
        self.patient_share = patient_share
        self._urgent = 0
        self._urgent_average = 0.0
        self._long: set[tuple[str, str]] = set()
        self._time = 0.0

    def allows(self, waiting: Waiting, run: float, slots: int) -> bool:
        """Whether a request leaves the slots to urgent work that it needs.

        Made for a bulk of long patient work beside a steady flow of urgent work.
        The limit is what urgent work has been using, but patient work always gets
        its kept share of the slots, so that neither starves.

        Args:
            waiting: The request.
            run: Seconds that it is expected to run.
            slots: All slots that this entry may use.
        """
        if waiting.urgency is Urgency.URGENT or run <= LONG_SECONDS:
            return True
        if slots <= LEAST_FREE:
            return True
        needed = max(LEAST_FREE, self._urgent_average)
        most = max(slots - needed, slots * self.patient_share)
        return len(self._long) < most

    def start(self, target: str, waiting: Waiting, run: float) -> None:
        """Note a request that starts."""
        if waiting.urgency is Urgency.URGENT:
            self._urgent += 1
        elif run > LONG_SECONDS:
            self._long.add((target, waiting.request_id))

    def finish(self, target: str, waiting: Waiting) -> None:
        """Note its end."""
        if waiting.urgency is Urgency.URGENT:
            self._urgent -= 1
        else:
            self._long.discard((target, waiting.request_id))

    def advance(self, now: float) -> None:
        """Follow the clock."""
        passed = now - self._time
        if passed <= 0:
            return
        self._time = now
        excess = self._urgent - self._urgent_average
        memory = RISE_SECONDS if excess > 0 else FALL_SECONDS
        self._urgent_average += excess * (1 - math.exp(-passed / memory))

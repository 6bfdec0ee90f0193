"""Limit on the slots that long patient requests hold, so that urgent ones find some.

A slot that a patient request holds for many seconds is not free when an urgent request
arrives, and that delay is visible to a clerk with a customer. Short patient requests
are not limited: their slots become free within the time that an urgent request may
wait.
"""

import math

from primrosestile.decisions.admission import QueuedRequest
from primrosestile.state.tenancy import Urgency

# Patient requests that run longer than this count as long. An urgent request has 5.8
# seconds to start, and a third of it may pass until a slot is free.
LONG_RUN_SECONDS = 2.0
# Time constants of the average of urgent requests in progress. It rises fast, since
# each second of delay gives a slot away for many, and falls slowly, so that a lull
# gives none away. It therefore lies above the mean and covers random variation without
# a further margin.
RISE_SECONDS = 1.0
FALL_SECONDS = 30.0
# Slots left free even without recent urgent requests, so that the first one starts at
# once.
MIN_FREE_SLOTS = 1


class Headroom:
    """Counts requests in progress, and decides whether a long patient one may start."""

    def __init__(self, patient_share: float) -> None:
        self.patient_share = patient_share
        self._urgent = 0
        self._urgent_average = 0.0
        self._long: set[tuple[str, str]] = set()
        self._time = 0.0

    def allows(self, waiting: QueuedRequest, run: float, slots: int) -> bool:
        """Whether a request may start without taking slots that urgent ones need.

        For a bulk of long patient requests beside a steady flow of urgent ones. The
        limit follows the slots that urgent requests have been using, but patient
        requests keep their configured share of the slots, so that neither starves.

        Args:
            waiting: The request.
            run: Expected run time in seconds.
            slots: All slots that this entry may use.
        """
        if waiting.urgency is Urgency.URGENT or run <= LONG_RUN_SECONDS:
            return True
        if slots <= MIN_FREE_SLOTS:
            return True
        needed = max(MIN_FREE_SLOTS, self._urgent_average)
        limit = max(slots - needed, slots * self.patient_share)
        return len(self._long) < limit

    def start(self, target: str, waiting: QueuedRequest, run: float) -> None:
        """Record the start of a request."""
        if waiting.urgency is Urgency.URGENT:
            self._urgent += 1
        elif run > LONG_RUN_SECONDS:
            self._long.add((target, waiting.request_id))

    def finish(self, target: str, waiting: QueuedRequest) -> None:
        """Record the end of a request."""
        if waiting.urgency is Urgency.URGENT:
            self._urgent -= 1
        else:
            self._long.discard((target, waiting.request_id))

    def advance(self, now: float) -> None:
        """Update the average to the time `now`."""
        passed = now - self._time
        if passed <= 0:
            return
        self._time = now
        excess = self._urgent - self._urgent_average
        time_constant = RISE_SECONDS if excess > 0 else FALL_SECONDS
        self._urgent_average += excess * (1 - math.exp(-passed / time_constant))

"""What the decisions on headroom remember between passes.

This is soft state of the owner: a new one begins without it, apart from the jobs that
it loads, which count by their age.
"""

from collections import deque
from dataclasses import dataclass

from primrosestile.decisions.work.units import Job

# Arrivals are counted over this time, which also bounds how long room stays withheld
# after the last of them.
WINDOW_SECONDS = 3.0
# Bounds the memory; no fleet that we serve gets as many urgent jobs in that time.
MAX_ARRIVALS = 500


@dataclass(frozen=True, slots=True)
class PoolHeadroom:
    """The headroom of one pool.

    Attributes:
        wanted: The most accelerators to withhold.
        demand: Accelerators of the urgent work expected while a stop lasts.
        urgent_use: Accelerators of the urgent jobs that have not ended.
        arrivals: Urgent jobs from whose arrival the demand was computed.
        workers: Workers whose free room is withheld.
        amount: Free accelerators there.
    """

    wanted: int
    demand: float
    urgent_use: int
    arrivals: int
    workers: tuple[str, ...] = ()
    amount: int = 0


class HeadroomState:
    """Recent urgent arrivals, and what the last pass withheld.

    Attributes:
        pools: The latter, by pool.
    """

    def __init__(self) -> None:
        self.pools: dict[str, PoolHeadroom] = {}
        self._arrivals: deque[Job] = deque(maxlen=MAX_ARRIVALS)

    def record(self, job: Job, now: float) -> None:
        """Record a job when the owner first sees it, if it is urgent and recent.

        An ended job leaves the fleet state as soon as its record is written, often
        while its arrival still counts; here it stays.
        """
        while self._arrivals and now - self._arrivals[0].accepted > WINDOW_SECONDS:
            self._arrivals.popleft()
        if job.queue.priority == 0 and now - job.accepted <= WINDOW_SECONDS:
            self._arrivals.append(job)

    def list_arrivals(self, now: float) -> list[Job]:
        """Return the urgent jobs accepted within the window."""
        # Not sorted: a new owner loads jobs in any order of age.
        since = now - WINDOW_SECONDS
        return [job for job in self._arrivals if job.accepted > since]

    def count(self) -> int:
        """Return the accelerators that are withheld now."""
        return sum(each.amount for each in self.pools.values())

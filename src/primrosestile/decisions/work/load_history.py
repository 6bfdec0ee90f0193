"""What the owner has seen of starts and capacities, for summaries of the load.

A state shows what waits, but neither how fast it is started nor what a worker that is
being replaced can hold. Both are counted here, from the beginning of a term.
"""

from collections import Counter, deque
from collections.abc import Iterable

from primrosestile.decisions.work.units import Unit, Worker
from primrosestile.state.work import Need

# Starts within this time make the rates. Gangs start in bursts of seconds.
WINDOW_SECONDS = 5.0
# Pairs of pool and label whose capacity is kept. Workers of other programs may carry
# any label; a pair without capacity never leads to a refusal.
MAX_CAPACITIES = 2_000


class LoadHistory:
    """Starts of the last seconds, and the largest workers of this term.

    Attributes:
        capacities: The largest capacity of one worker by pool and label; the label ""
            stands for all workers of the pool.
    """

    def __init__(self, now: float) -> None:
        self._began = now
        self._starts: deque[tuple[float, Counter[tuple[str, str]]]] = deque()
        self.capacities: dict[tuple[str, str], Need] = {}

    def record_starts(self, units: Iterable[Unit], now: float) -> None:
        """Count the units that one pass starts."""
        started: Counter[tuple[str, str]] = Counter()
        for unit in units:
            accelerators = unit.size * unit.step.need.accelerators
            started[unit.pool, unit.job.submission.queue] += accelerators
        if started:
            self._starts.append((now, started))
        self._drop_old(now)

    def _drop_old(self, now: float) -> None:
        while self._starts and self._starts[0][0] <= now - WINDOW_SECONDS:
            self._starts.popleft()

    def find_rates(self, now: float) -> dict[tuple[str, str], float]:
        """Return the accelerators started per second, by pool and queue.

        Empty until the owner has watched for the whole window: it may have started
        nothing yet for reasons of its own.
        """
        self._drop_old(now)
        if now - self._began < WINDOW_SECONDS:
            return {}
        total: Counter[tuple[str, str]] = Counter()
        for _, started in self._starts:
            total.update(started)
        return {key: count / WINDOW_SECONDS for key, count in total.items()}

    def record_workers(self, workers: Iterable[Worker]) -> None:
        """Note the capacities of the present workers.

        Those of a worker that is gone stay: its VM may be replaced at any time.
        """
        for worker in workers:
            entry = worker.entry
            for label in ("", *entry.labels):
                self._note(entry.pool, label, entry.capacity)

    def _note(self, pool: str, label: str, capacity: Need) -> None:
        known = self.capacities.get((pool, label))
        if known is None:
            if len(self.capacities) >= MAX_CAPACITIES:
                return
            known = Need()
        self.capacities[pool, label] = Need(
            max(known.processor, capacity.processor),
            max(known.memory, capacity.memory),
            max(known.accelerators, capacity.accelerators),
        )

"""Bounds what callers could get by pricing each resource and interval.

For any prices, no schedule brings more than the value of all room plus what each job
brings beyond the price of its cheapest option (weak duality). So the bound is valid
with prices that are not optimal and needs no solver; subgradient steps improve them.
"""

import numpy as np

from tools.bench.site_options import ServiceOptions
from tools.bench.site_room import Room

MAX_STEPS = 200
# The initial aim is this share below the best value; it is halved when not met.
INITIAL_AIM = 0.1
MAX_FAILED_STEPS = 12
# Share of the previous direction in the next one.
MOMENTUM = 0.5
# The search stops when the aim is a smaller improvement than this share.
MIN_AIM = 0.002


class Dual:
    """The dual function of a set of jobs."""

    def __init__(self, room: Room, options: ServiceOptions) -> None:
        self._room = room
        self._lengths = room.intervals
        self._weights = np.array(options.weights).reshape(
            len(options.weights), len(room.capacity)
        )
        self._jobs = np.array(options.jobs, dtype=int)
        self._credits = np.array(options.credits).reshape(-1, 2)
        contiguous = np.array(options.contiguous).reshape(-1, 4)
        resumable = np.array(options.resumable).reshape(-1, 5)
        self._contiguous = contiguous[:, :2]
        self._contiguous_run = contiguous[:, 2].astype(int)
        self._spans_gap = np.array(options.spans_gap, dtype=bool)
        self._begins = self._locate(contiguous[:, 0])
        self._ends = self._locate(contiguous[:, 1])
        self._resumable_run = resumable[:, 3].astype(int)
        self._needed = resumable[:, 2]
        self._slots = self._overlap(resumable[:, 0], resumable[:, 1])
        # All options, and for each unit one more: not to run it.
        units = [contiguous[:, 3], resumable[:, 4], np.arange(len(self._jobs))]
        unit = np.concatenate(units).astype(int)
        self._order = np.argsort(unit, kind="stable")
        self._unit = unit[self._order]
        self._first = np.searchsorted(self._unit, np.arange(len(self._jobs)))
        self._in_time = np.array(
            [*options.in_time, *options.resumable_in_time], dtype=bool
        )

    def _locate(self, moments: np.ndarray) -> tuple[np.ndarray, np.ndarray]:
        """Return the interval of each time, and its position in it as a share."""
        edges = self._room.edges
        index = np.searchsorted(edges, moments, side="right") - 1
        index = np.clip(index, 0, len(edges) - 2)
        return index, (moments - edges[index]) / self._lengths[index]

    def _overlap(self, begins: np.ndarray, ends: np.ndarray) -> np.ndarray:
        """Return the seconds of each interval that lie between two times."""
        edges = self._room.edges
        until = np.minimum(ends[:, None], edges[None, 1:])
        return np.clip(until - np.maximum(begins[:, None], edges[None, :-1]), 0, None)

    def find_bound(self) -> float:
        """Return the lowest dual value that is found."""
        if not len(self._jobs):
            return 0.0
        prices = np.zeros_like(self._room.capacity)
        best, slope = self.value(prices)
        if (slope >= 0).all():
            # There is room for all jobs at once, so zero prices are optimal.
            return best
        value = best
        best_at = (prices, slope)
        direction = slope
        aim = INITIAL_AIM * best
        failed = 0
        for _ in range(MAX_STEPS):
            # Slopes alternate with how ties are broken; their average leads down.
            direction = MOMENTUM * direction + (1 - MOMENTUM) * slope
            # Prices that are 0 and would fall stay at 0.
            moving = np.where((prices > 0) | (direction < 0), direction, 0.0)
            size = float((moving**2).sum())
            if aim <= MIN_AIM * best or size <= 0:
                break
            step = (value - (best - aim)) / size
            prices = np.maximum(0.0, prices - step * moving)
            value, slope = self.value(prices)
            failed += 1
            if value < best:
                failed = 0 if value < best - 0.1 * aim else failed
                best, best_at = value, (prices, slope)
            if failed > MAX_FAILED_STEPS:
                aim /= 2
                failed = 0
                value = best
                prices, slope = best_at
                direction = slope
        return best

    def value(self, prices: np.ndarray) -> tuple[float, np.ndarray]:
        """Return the dual value of prices and its subgradient."""
        density = self._weights @ prices
        resumable, taken = self._cost_resumable(density)
        costs = np.concatenate([self._cost_contiguous(density), resumable])
        in_time = np.where(self._in_time, costs, np.inf)
        picks = []
        gains = []
        for credits, each in zip(self._credits.T, (in_time, costs), strict=True):
            least, pick = self._find_least(each)
            by_job = np.bincount(self._jobs, least, minlength=len(credits))
            gains.append(credits - by_job)
            picks.append(pick)
        gain = np.maximum(*gains)
        value = float((prices * self._room.capacity).sum() + gain[gain > 0].sum())
        late = gains[1] > gains[0]
        chosen = np.where(late[self._jobs], picks[1], picks[0])
        used = self._count_use(chosen[(gain > 0)[self._jobs]], taken)
        return value, self._room.capacity - used

    def _cost_contiguous(self, density: np.ndarray) -> np.ndarray:
        """Return the price of each contiguous option."""
        paid = density * self._lengths
        sums = [np.cumsum(each, axis=1) for each in (paid, paid * self._room.outside)]
        begins, ends = (
            np.where(
                self._spans_gap,
                self._sum_until(sums[1], paid * self._room.outside, place),
                self._sum_until(sums[0], paid, place),
            )
            for place in (self._begins, self._ends)
        )
        return ends - begins

    def _sum_until(
        self, sums: np.ndarray, paid: np.ndarray, place: tuple[np.ndarray, np.ndarray]
    ) -> np.ndarray:
        index, share = place
        run = self._contiguous_run
        return sums[run, index] - (1 - share) * paid[run, index]

    def _cost_resumable(self, density: np.ndarray) -> tuple[np.ndarray, np.ndarray]:
        """Return the price of each resumable option and its seconds by interval."""
        paid = density[self._resumable_run]
        order = np.argsort(paid, axis=1)
        slots = np.take_along_axis(self._slots, order, axis=1)
        before = np.cumsum(slots, axis=1) - slots
        pieces = np.clip(self._needed[:, None] - before, 0, slots)
        taken = np.zeros_like(pieces)
        np.put_along_axis(taken, order, pieces, axis=1)
        return (taken * paid).sum(axis=1), taken

    def _find_least(self, costs: np.ndarray) -> tuple[np.ndarray, np.ndarray]:
        """Return the price of each unit's cheapest option, and its index."""
        left = np.full(len(self._jobs), np.inf)
        in_order = np.concatenate([costs, left])[self._order]
        least = np.minimum.reduceat(in_order, self._first)
        found = np.flatnonzero(in_order == least[self._unit])
        _, first = np.unique(self._unit[found], return_index=True)
        return least, self._order[found[first]]

    def _count_use(self, chosen: np.ndarray, taken: np.ndarray) -> np.ndarray:
        """Return what the chosen options take of each resource and interval."""
        count = len(self._contiguous)
        contiguous = chosen[chosen < count]
        seconds = self._overlap(
            self._contiguous[contiguous, 0], self._contiguous[contiguous, 1]
        )
        seconds[self._spans_gap[contiguous]] *= self._room.outside
        resumable = chosen[chosen >= count] - count
        runs = np.concatenate(
            [self._contiguous_run[contiguous], self._resumable_run[resumable]]
        )
        return self._weights[runs].T @ np.concatenate([seconds, taken[resumable]])

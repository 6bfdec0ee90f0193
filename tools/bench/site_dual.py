"""The most that callers could get, by prices for each resource and interval.

Whatever the prices are: no schedule brings more than the value of all room plus what
each job brings beyond the price of its own cheapest way (weak duality). So a bound is
valid without being the best one, and needs no solver; prices are only made better.
"""

import numpy as np

from tools.bench.site_options import Ways
from tools.bench.site_room import Room

STEPS = 200
# The first aim is below the best value by this share, and halved when it isn't met.
FIRST_AIM = 0.1
PATIENCE_STEPS = 12
# Of the course so far, in the next one.
KEPT_SHARE = 0.5
# Prices that are better by less than this share aren't looked for.
LEAST_AIM = 0.002


class Dual:
    """Values prices for a set of jobs."""

    def __init__(self, room: Room, ways: Ways) -> None:
        self._room = room
        self._lengths = room.intervals
        self._weights = np.array(ways.weights).reshape(
            len(ways.weights), len(room.capacity)
        )
        self._jobs = np.array(ways.jobs, dtype=int)
        self._credits = np.array(ways.credits).reshape(-1, 2)
        whole = np.array(ways.whole).reshape(-1, 4)
        broken = np.array(ways.broken).reshape(-1, 5)
        self._whole = whole[:, :2]
        self._whole_run = whole[:, 2].astype(int)
        self._gapped = np.array(ways.gapped, dtype=bool)
        self._begins = self._locate(whole[:, 0])
        self._ends = self._locate(whole[:, 1])
        self._broken_run = broken[:, 3].astype(int)
        self._needed = broken[:, 2]
        self._slots = self._overlap(broken[:, 0], broken[:, 1])
        # Of all ways, and of one beside them for each unit: to leave it.
        units = [whole[:, 3], broken[:, 4], np.arange(len(self._jobs))]
        unit = np.concatenate(units).astype(int)
        self._order = np.argsort(unit, kind="stable")
        self._unit = unit[self._order]
        self._first = np.searchsorted(self._unit, np.arange(len(self._jobs)))
        self._in_time = np.array([*ways.in_time, *ways.broken_in_time], dtype=bool)

    def _locate(self, moments: np.ndarray) -> tuple[np.ndarray, np.ndarray]:
        """Return the interval of each moment, and how far into it that is."""
        edges = self._room.edges
        index = np.searchsorted(edges, moments, side="right") - 1
        index = np.clip(index, 0, len(edges) - 2)
        return index, (moments - edges[index]) / self._lengths[index]

    def _overlap(self, begins: np.ndarray, ends: np.ndarray) -> np.ndarray:
        """Return the seconds of each interval that lie between two moments."""
        edges = self._room.edges
        until = np.minimum(ends[:, None], edges[None, 1:])
        return np.clip(until - np.maximum(begins[:, None], edges[None, :-1]), 0, None)

    def find_bound(self) -> float:
        """Return the least value that is found."""
        if not len(self._jobs):
            return 0.0
        prices = np.zeros_like(self._room.capacity)
        best, slope = self.value(prices)
        if (slope >= 0).all():
            # There is room for all at once: no prices are better.
            return best
        value = best
        best_at = (prices, slope)
        course = slope
        aim = FIRST_AIM * best
        failed = 0
        for _ in range(STEPS):
            # What ties are broken by alternates; what is common to it leads down.
            course = KEPT_SHARE * course + (1 - KEPT_SHARE) * slope
            # What can't become cheaper than nothing doesn't move.
            moving = np.where((prices > 0) | (course < 0), course, 0.0)
            size = float((moving**2).sum())
            if aim <= LEAST_AIM * best or size <= 0:
                break
            step = (value - (best - aim)) / size
            prices = np.maximum(0.0, prices - step * moving)
            value, slope = self.value(prices)
            failed += 1
            if value < best:
                failed = 0 if value < best - 0.1 * aim else failed
                best, best_at = value, (prices, slope)
            if failed > PATIENCE_STEPS:
                aim /= 2
                failed = 0
                value = best
                prices, slope = best_at
                course = slope
        return best

    def value(self, prices: np.ndarray) -> tuple[float, np.ndarray]:
        """Return the value of prices, and how it changes with each of them."""
        density = self._weights @ prices
        broken, taken = self._cost_broken(density)
        costs = np.concatenate([self._cost_whole(density), broken])
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

    def _cost_whole(self, density: np.ndarray) -> np.ndarray:
        """Return the price of each way that isn't broken."""
        paid = density * self._lengths
        sums = [np.cumsum(each, axis=1) for each in (paid, paid * self._room.outside)]
        begins, ends = (
            np.where(
                self._gapped,
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
        run = self._whole_run
        return sums[run, index] - (1 - share) * paid[run, index]

    def _cost_broken(self, density: np.ndarray) -> tuple[np.ndarray, np.ndarray]:
        """Return the price of each way in pieces, and what it takes when."""
        paid = density[self._broken_run]
        order = np.argsort(paid, axis=1)
        slots = np.take_along_axis(self._slots, order, axis=1)
        before = np.cumsum(slots, axis=1) - slots
        pieces = np.clip(self._needed[:, None] - before, 0, slots)
        taken = np.zeros_like(pieces)
        np.put_along_axis(taken, order, pieces, axis=1)
        return (taken * paid).sum(axis=1), taken

    def _find_least(self, costs: np.ndarray) -> tuple[np.ndarray, np.ndarray]:
        """Return the price of each unit's cheapest way, and which one that is."""
        left = np.full(len(self._jobs), np.inf)
        in_order = np.concatenate([costs, left])[self._order]
        least = np.minimum.reduceat(in_order, self._first)
        found = np.flatnonzero(in_order == least[self._unit])
        _, first = np.unique(self._unit[found], return_index=True)
        return least, self._order[found[first]]

    def _count_use(self, chosen: np.ndarray, taken: np.ndarray) -> np.ndarray:
        """Return what the chosen ways take of each resource and interval."""
        count = len(self._whole)
        whole = chosen[chosen < count]
        seconds = self._overlap(self._whole[whole, 0], self._whole[whole, 1])
        seconds[self._gapped[whole]] *= self._room.outside
        broken = chosen[chosen >= count] - count
        runs = np.concatenate([self._whole_run[whole], self._broken_run[broken]])
        return self._weights[runs].T @ np.concatenate([seconds, taken[broken]])

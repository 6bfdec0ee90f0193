"""What no scheduler could pass on a drawn day, foresee it what it will.

`docs/decisions-work.md` says how the bound is derived, and by what it is loose. Each
figure has a bound of its own, as if the callers that it leaves out were not there.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from statistics import mean

from tools.bench.site_dual import Dual
from tools.bench.site_measures import (
    FEWEST_IN_GROUP,
    WINDOW_SECONDS,
    WORST_WINDOWS,
    group,
    weigh,
    weigh_nines,
)
from tools.bench.site_options import list_ways
from tools.bench.site_room import EARLY_SECONDS, Room, make_room
from tools.bench.site_workloads import Arrival, Workload, find_heard_at, is_servable


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds on what a day's callers get, whoever schedules."""

    workload: Workload
    room: Room
    _known: dict[tuple[str, ...], float] = field(default_factory=dict)

    def find_share(self, arrivals: list[Arrival]) -> float:
        """Return the most that some callers get, of what is owed to them.

        Whether a caller who may cancel counts depends on the schedule: it is taken
        as served in full, which lowers no share.
        """
        key = tuple(each.submission.job_id for each in arrivals)
        if key not in self._known:
            self._known[key] = self._find_share(arrivals)
        return self._known[key]

    def _find_share(self, arrivals: list[Arrival]) -> float:
        surely = [each for each in arrivals if not self.may_cancel(each)]
        given = sum(each.worth for each in arrivals if self.may_cancel(each))
        owed = given + sum(each.worth for each in surely)
        credits = [(each.worth, each.late_worth) for each in surely]
        return (given + self._find_most(surely, credits)) / owed if owed else 1.0

    def count_unserved(self, arrivals: list[Arrival]) -> int:
        """Return how many callers get nothing at the least."""
        surely = [each for each in arrivals if not self.may_cancel(each)]
        credits = [
            (float(each.worth > 0), float(each.late_worth > 0)) for each in surely
        ]
        served = self._find_most(surely, credits)
        return max(0, len(surely) - math.floor(served + 1e-6))

    def may_cancel(self, arrival: Arrival) -> bool:
        """Whether its caller's word ends the job, if nothing else did before.

        What is cancelled before anybody has heard of it isn't cancelled.
        """
        if arrival.cancelled_at is None:
            return False
        heard_at = find_heard_at(self.workload, arrival.at)
        return arrival.cancelled_at >= heard_at - EARLY_SECONDS

    def _find_most(
        self, arrivals: list[Arrival], credits: list[tuple[float, float]]
    ) -> float:
        ways = list_ways(self.workload, self.room, arrivals, credits)
        return Dual(self.room, ways).find_bound()


def bound_day(
    workload: Workload, arrivals: list[Arrival], seed: int
) -> dict[str, float]:
    """Return bounds on a day's figures; those that are no bounds are left out."""
    needs = {each.submission.steps[0].need for each in arrivals}
    bounds = Bounds(workload, make_room(workload, seed, needs))
    share = bounds.find_share
    figures = {"all": share(arrivals)}
    kinds = group(arrivals, lambda each: each.kind.queue)
    for queue, found in sorted(kinds.items()):
        figures[queue] = share(found)
    unserved = bounds.count_unserved(arrivals)
    figures["served in nines"] = weigh_nines(unserved, len(arrivals))
    figures["worst organisation"] = _find_worst(
        bounds, arrivals, lambda each: each.submission.organisation, FEWEST_IN_GROUP
    )
    figures["worst kind"] = _find_worst(
        bounds, arrivals, lambda each: each.kind.queue, 1
    )
    figures["worst windows"] = _bound_windows(bounds, arrivals)
    figures["unserved"] = unserved
    figures["thrown away, core-seconds"] = 0.0
    servable = [each for each in arrivals if is_servable(workload, each)]
    figures["servable"] = share(servable)
    figures["servable, unserved"] = bounds.count_unserved(servable)
    figures["worth"] = weigh(figures, 1.0, workload.weights)
    return figures


def _find_worst(
    bounds: Bounds,
    arrivals: list[Arrival],
    key: Callable[[Arrival], str],
    fewest: int,
) -> float:
    """Return a bound on the worst group, of those that surely count."""
    shares = [
        bounds.find_share(found)
        for found in group(arrivals, key).values()
        if sum(not bounds.may_cancel(each) for each in found) >= fewest
    ]
    return min(shares, default=1.0)


def _bound_windows(bounds: Bounds, arrivals: list[Arrival]) -> float:
    windows = group(arrivals, lambda each: str(each.at // WINDOW_SECONDS))
    shares = sorted(
        bounds.find_share(found)
        for found in windows.values()
        if not all(map(bounds.may_cancel, found))
    )
    # With fewer, others may count that hold only callers who cancel.
    shares += [1.0] * max(0, WORST_WINDOWS - len(shares))
    return mean(shares[:WORST_WINDOWS])

"""Upper bounds on a day's figures for any scheduler, even with perfect foresight.

`docs/design/decisions-work.md` describes how the bound is derived and what makes it
loose.
Each figure is bounded separately, as if the callers that it leaves out were absent.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from statistics import mean

from tools.bench.site_dual import Dual
from tools.bench.site_measures import (
    MIN_GROUP_SIZE,
    WINDOW_SECONDS,
    WORST_WINDOWS,
    group,
    weigh,
    weigh_nines,
)
from tools.bench.site_options import list_options
from tools.bench.site_room import EARLY_SECONDS, Room, make_room
from tools.bench.site_workloads import Arrival, Workload, find_notice_time, is_servable


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds on what a day's callers get under any scheduler."""

    workload: Workload
    room: Room
    _shares: dict[tuple[str, ...], float] = field(default_factory=dict)

    def find_share(self, arrivals: list[Arrival]) -> float:
        """Return a bound on the share of the owed worth that some callers get.

        Whether a caller who may cancel counts depends on the schedule. It is assumed
        to be served in full, which can't lower the share.
        """
        key = tuple(each.submission.job_id for each in arrivals)
        if key not in self._shares:
            self._shares[key] = self._find_share(arrivals)
        return self._shares[key]

    def _find_share(self, arrivals: list[Arrival]) -> float:
        certain = [each for each in arrivals if not self.may_cancel(each)]
        credited = sum(each.worth for each in arrivals if self.may_cancel(each))
        owed = credited + sum(each.worth for each in certain)
        credits = [(each.worth, each.late_worth) for each in certain]
        return (credited + self._bound_credit(certain, credits)) / owed if owed else 1.0

    def count_unserved(self, arrivals: list[Arrival]) -> int:
        """Return a lower bound on the number of callers who get nothing."""
        certain = [each for each in arrivals if not self.may_cancel(each)]
        credits = [
            (float(each.worth > 0), float(each.late_worth > 0)) for each in certain
        ]
        served = self._bound_credit(certain, credits)
        return max(0, len(certain) - math.floor(served + 1e-6))

    def may_cancel(self, arrival: Arrival) -> bool:
        """Whether the caller's cancellation can end the job.

        A cancellation that comes before the owner knows of the job has no effect.
        """
        if arrival.cancelled_at is None:
            return False
        noticed_at = find_notice_time(self.workload, arrival.at)
        return arrival.cancelled_at >= noticed_at - EARLY_SECONDS

    def _bound_credit(
        self, arrivals: list[Arrival], credits: list[tuple[float, float]]
    ) -> float:
        options = list_options(self.workload, self.room, arrivals, credits)
        return Dual(self.room, options).find_bound()


def bound_day(
    workload: Workload, arrivals: list[Arrival], seed: int
) -> dict[str, float]:
    """Return bounds on a day's figures; figures without a bound are left out."""
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
        bounds, arrivals, lambda each: each.submission.organisation, MIN_GROUP_SIZE
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
    min_size: int,
) -> float:
    """Return a bound on the worst group, of the groups that count in any schedule."""
    shares = [
        bounds.find_share(found)
        for found in group(arrivals, key).values()
        if sum(not bounds.may_cancel(each) for each in found) >= min_size
    ]
    return min(shares, default=1.0)


def _bound_windows(bounds: Bounds, arrivals: list[Arrival]) -> float:
    windows = group(arrivals, lambda each: str(each.at // WINDOW_SECONDS))
    shares = sorted(
        bounds.find_share(found)
        for found in windows.values()
        if not all(map(bounds.may_cancel, found))
    )
    # With fewer windows, those that hold only callers who cancel may count.
    shares += [1.0] * max(0, WORST_WINDOWS - len(shares))
    return mean(shares[:WORST_WINDOWS])

"""Calculates the worth of a played day from the parts that operators weigh."""

import math
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from statistics import mean
from typing import TypeVar

from tools.bench.site_driver import Day, Outcome
from tools.bench.site_workloads import Weights

Item = TypeVar("Item")

WINDOW_SECONDS = 2.0
# A day of 34 s is judged by its two worst windows.
WORST_WINDOWS = 2
# One unserved caller in a thousand scores as none in the figure "served in nines".
MIN_UNSERVED_SHARE = 0.001
# Figures of smaller groups of callers depend more on chance than on decisions.
MIN_GROUP_SIZE = 3


def measure(day: Day, weights: Weights) -> dict[str, float]:
    """Return a day's figures; credits are shares of the owed worth.

    Jobs that callers cancelled are not owed.
    """
    outcomes = [each for each in day.outcomes if not each.cancelled]
    figures = {"all": share(outcomes)}
    kinds = group(outcomes, lambda each: each.arrival.kind.queue)
    for queue, found in sorted(kinds.items()):
        figures[queue] = share(found)
    unserved = count_unserved(outcomes)
    figures["served in nines"] = weigh_nines(unserved, len(outcomes))
    figures["worst organisation"] = find_worst(
        outcomes, lambda each: each.arrival.submission.organisation
    )
    figures["worst kind"] = min(map(share, kinds.values()), default=1.0)
    windows = group(outcomes, lambda each: str(each.arrival.at // WINDOW_SECONDS))
    worst = sorted(map(share, windows.values()))
    figures["worst windows"] = mean(worst[:WORST_WINDOWS]) if worst else 1.0
    largest = sorted(outcomes, key=lambda each: -each.arrival.worth)
    figures["largest tenth"] = share(largest[: max(1, len(largest) // 10)])
    figures["unserved"] = unserved
    figures["thrown away, core-seconds"] = day.thrown_away
    figures["far runs"] = day.far
    figures["stops"] = day.stops
    figures["rescues"] = day.restarts_elsewhere
    figures["restarts"] = day.restarts
    figures["most starts of a unit"] = day.max_starts
    servable = [each for each in outcomes if each.servable]
    figures["servable"] = share(servable)
    figures["servable, unserved"] = count_unserved(servable)
    owed = sum(each.arrival.worth for each in outcomes)
    figures["worth"] = weigh(figures, owed, weights)
    return figures


def weigh(figures: Mapping[str, float], owed: float, weights: Weights) -> float:
    """Return a day's worth: the weighted parts, less the work thrown away."""
    thrown_away = weights.thrown_away * figures["thrown away, core-seconds"]
    return (
        weights.whole * figures["all"]
        + weights.served * figures["served in nines"]
        + weights.organisation * figures["worst organisation"]
        + weights.windows * figures["worst windows"]
        + weights.kind * figures["worst kind"]
        - (thrown_away / owed if owed else 0.0)
    )


def count_unserved(outcomes: Iterable[Outcome]) -> int:
    """Return how many callers got nothing."""
    return sum(not each.credit for each in outcomes)


def share(outcomes: Sequence[Outcome]) -> float:
    """Return the share of the owed worth that callers got."""
    owed = sum(each.arrival.worth for each in outcomes)
    return sum(each.credit for each in outcomes) / owed if owed else 1.0


def group(items: Iterable[Item], key: Callable[[Item], str]) -> dict[str, list[Item]]:
    """Return the items grouped by a key."""
    groups: dict[str, list[Item]] = defaultdict(list)
    for each in items:
        groups[key(each)].append(each)
    return groups


def find_worst(outcomes: Sequence[Outcome], key: Callable[[Outcome], str]) -> float:
    """Return the share of the worst group."""
    groups = group(outcomes, key).values()
    shares = [share(each) for each in groups if len(each) >= MIN_GROUP_SIZE]
    return min(shares, default=1.0)


def weigh_nines(unserved: float, callers: int) -> float:
    """Return how few callers got nothing, on a log scale from 0 to 1."""
    if not callers:
        return 1.0
    share = max(unserved / callers, MIN_UNSERVED_SHARE)
    return min(1.0, math.log(share) / math.log(MIN_UNSERVED_SHARE))

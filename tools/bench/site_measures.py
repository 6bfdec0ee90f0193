"""What a played day was worth, by the parts that operators weigh."""

import math
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from statistics import mean
from typing import TypeVar

from tools.bench.site_driver import Day, Outcome
from tools.bench.site_workloads import Weights

Item = TypeVar("Item")

WINDOW_SECONDS = 2.0
# The worst two windows of a day of 34 s are what its callers remember.
WORST_WINDOWS = 2
# Served in nines: one caller in a thousand unserved counts as nobody.
BEST_UNSERVED = 0.001
# Smaller groups of callers say more about luck than about decisions.
FEWEST_IN_GROUP = 3


def measure(day: Day, weights: Weights) -> dict[str, float]:
    """Return a day's figures; credits are shares of what was owed.

    What callers cancelled is not owed.
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
    figures["rescues"] = day.stall_restarts
    figures["restarts"] = day.restarts
    figures["most starts of a unit"] = day.most_starts
    servable = [each for each in outcomes if each.servable]
    figures["servable"] = share(servable)
    figures["servable, unserved"] = count_unserved(servable)
    owed = sum(each.arrival.worth for each in outcomes)
    figures["worth"] = weigh(figures, owed, weights)
    return figures


def weigh(figures: Mapping[str, float], owed: float, weights: Weights) -> float:
    """Return a day's worth: the parts by their weights, less what was thrown away."""
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
    """Return what callers got, of what was owed to them."""
    owed = sum(each.arrival.worth for each in outcomes)
    return sum(each.credit for each in outcomes) / owed if owed else 1.0


def group(items: Iterable[Item], key: Callable[[Item], str]) -> dict[str, list[Item]]:
    """Return the items by a key."""
    groups: dict[str, list[Item]] = defaultdict(list)
    for each in items:
        groups[key(each)].append(each)
    return groups


def find_worst(outcomes: Sequence[Outcome], key: Callable[[Outcome], str]) -> float:
    """Return the share of the worst group."""
    groups = group(outcomes, key).values()
    shares = [share(each) for each in groups if len(each) >= FEWEST_IN_GROUP]
    return min(shares, default=1.0)


def weigh_nines(unserved: float, callers: int) -> float:
    """Return how few callers got nothing, on a log scale from 0 to 1."""
    if not callers:
        return 1.0
    share = max(unserved / callers, BEST_UNSERVED)
    return min(1.0, math.log(share) / math.log(BEST_UNSERVED))

"""What a played day was worth, by the parts that operators weigh."""

import math
from collections import defaultdict
from collections.abc import Callable, Hashable, Sequence
from statistics import mean

from tools.bench.site_driver import Day, Outcome
from tools.bench.site_workloads import Weights

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
    figures["served in nines"] = count_nines(outcomes)
    figures["worst organisation"] = find_worst(
        outcomes, lambda each: each.arrival.submission.organisation
    )
    figures["worst kind"] = min(map(share, kinds.values()), default=1.0)
    windows = group(outcomes, lambda each: int(each.arrival.at // WINDOW_SECONDS))
    worst = sorted(map(share, windows.values()))
    figures["worst windows"] = mean(worst[:WORST_WINDOWS]) if worst else 1.0
    largest = sorted(outcomes, key=lambda each: -each.arrival.worth)
    figures["largest tenth"] = share(largest[: max(1, len(largest) // 10)])
    figures["unserved"] = sum(not each.credit for each in outcomes)
    figures["thrown away, core-seconds"] = day.thrown_away
    figures["far runs"] = day.far
    figures["stops"] = day.stops
    figures["rescues"] = day.rescues
    figures["restarts"] = day.restarts
    figures["most starts of a unit"] = day.most_starts
    figures["worth"] = weigh(figures, outcomes, weights)
    return figures


def weigh(
    figures: dict[str, float], outcomes: Sequence[Outcome], weights: Weights
) -> float:
    """Return a day's worth: the parts by their weights, less what was thrown away."""
    owed = sum(each.arrival.worth for each in outcomes)
    thrown_away = weights.thrown_away * figures["thrown away, core-seconds"]
    return (
        weights.whole * figures["all"]
        + weights.served * figures["served in nines"]
        + weights.organisation * figures["worst organisation"]
        + weights.windows * figures["worst windows"]
        + weights.kind * figures["worst kind"]
        - (thrown_away / owed if owed else 0.0)
    )


def share(outcomes: Sequence[Outcome]) -> float:
    """Return what callers got, of what was owed to them."""
    owed = sum(each.arrival.worth for each in outcomes)
    return sum(each.credit for each in outcomes) / owed if owed else 1.0


def group(
    outcomes: Sequence[Outcome], key: Callable[[Outcome], Hashable]
) -> dict[Hashable, list[Outcome]]:
    """Return the outcomes by a key."""
    groups: dict[Hashable, list[Outcome]] = defaultdict(list)
    for each in outcomes:
        groups[key(each)].append(each)
    return groups


def find_worst(
    outcomes: Sequence[Outcome], key: Callable[[Outcome], Hashable]
) -> float:
    """Return the share of the worst group."""
    groups = group(outcomes, key).values()
    shares = [share(each) for each in groups if len(each) >= FEWEST_IN_GROUP]
    return min(shares, default=1.0)


def count_nines(outcomes: Sequence[Outcome]) -> float:
    """Return how few callers got nothing, on a log scale from 0 to 1."""
    if not outcomes:
        return 1.0
    unserved = sum(not each.credit for each in outcomes) / len(outcomes)
    return min(1.0, math.log(max(unserved, BEST_UNSERVED)) / math.log(BEST_UNSERVED))

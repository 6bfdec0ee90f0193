"""What callers get on heavy days: ours beside first fit, over drawn days.

`scripts/bench site [--workload FILE]` plays each workload file on equal arrivals
under each planner and prints what callers got by kind of job, in the worst seconds,
and what was thrown away; `site.json` has the same and `site.png` a plot.
"""

import json
import os
from collections import defaultdict
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from statistics import mean
from typing import Any

import matplotlib

from tools.bench.site_driver import PLANNERS, Day, SiteRun
from tools.bench.site_workloads import draw_day, read_workload

matplotlib.use("Agg")

from matplotlib import pyplot

WORKLOADS = Path("examples/workloads")
SEEDS = int(os.environ.get("PRIMROSESTILE_BENCH_SEEDS", "16"))
PROCESSES = 4
WINDOW_SECONDS = 2.0
# The worst two windows of a day of 34 s are what its callers remember.
WORST_WINDOWS = 2


def measure(day: Day) -> dict[str, float]:
    """Return a day's figures; credits are shares of what was owed."""
    figures: dict[str, float] = {}
    by_queue: dict[str, list[Any]] = defaultdict(list)
    windows: dict[int, list[Any]] = defaultdict(list)
    for outcome in day.outcomes:
        by_queue[outcome.arrival.kind.queue].append(outcome)
        windows[int(outcome.arrival.at // WINDOW_SECONDS)].append(outcome)
    figures["all"] = share(day.outcomes)
    for queue, outcomes in sorted(by_queue.items()):
        figures[queue] = share(outcomes)
    worst = sorted(share(outcomes) for outcomes in windows.values())
    figures["worst windows"] = mean(worst[:WORST_WINDOWS])
    largest = sorted(day.outcomes, key=lambda each: -each.arrival.worth)
    figures["largest tenth"] = share(largest[: max(1, len(largest) // 10)])
    figures["thrown away, core-seconds"] = day.thrown_away
    figures["far runs"] = day.far
    figures["stops"] = day.stops
    return figures


def share(outcomes: list[Any]) -> float:
    owed = sum(each.arrival.worth for each in outcomes)
    return sum(each.credit for each in outcomes) / owed if owed else 1.0


def play(path: Path, planner: str, seed: int) -> dict[str, float]:
    """Play one day."""
    workload = read_workload(path)
    return measure(SiteRun(workload, draw_day(workload, seed), PLANNERS[planner]).run())


def compare(path: Path, planners: list[str]) -> dict[str, dict[str, float]]:
    """Return each planner's mean figures over the seeds."""
    table = {}
    with ProcessPoolExecutor(PROCESSES) as pool:
        for planner in planners:
            jobs = [pool.submit(play, path, planner, seed) for seed in range(SEEDS)]
            days = [job.result() for job in jobs]
            keys = sorted({key for day in days for key in day})
            table[planner] = {
                key: round(mean(day.get(key, 1.0) for day in days), 4) for key in keys
            }
    return table


def run(output: Path) -> None:
    results = {}
    for path in sorted(WORKLOADS.glob("*.json")):
        results[path.stem] = compare(path, list(PLANNERS))
        print_table(path.stem, results[path.stem])
    (output / "site.json").write_text(json.dumps(results, indent=2) + "\n")
    plot(results, output / "site.png")


def print_table(name: str, table: dict[str, dict[str, float]]) -> None:
    print(f"{name}, means of {SEEDS} days")
    print(f"{'':28}" + "".join(f"{planner:>16}" for planner in table))
    for key in next(iter(table.values())):
        row = "".join(f"{figures[key]:16.3f}" for figures in table.values())
        print(f"{key:28}{row}")


def plot(results: dict[str, dict[str, dict[str, float]]], path: Path) -> None:
    figure, axes = pyplot.subplots(1, len(results), figsize=(6 * len(results), 4))
    pairs = zip([*pyplot.np.atleast_1d(axes)], results.items(), strict=True)
    for axis, (name, table) in pairs:
        keys = [key for key, value in table["primrosestile"].items() if value <= 1]
        for number, (planner, figures) in enumerate(table.items()):
            positions = [index + 0.4 * number for index in range(len(keys))]
            axis.bar(positions, [figures[key] for key in keys], 0.4, label=planner)
        axis.set_xticks(range(len(keys)), keys, rotation=45, ha="right")
        axis.set_ylabel("share of the worth that was owed")
        axis.set_title(name)
        axis.legend()
    figure.tight_layout()
    figure.savefig(path)

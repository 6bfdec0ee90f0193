"""Compares our planner with first fit and an upper bound on random heavy days.

`scripts/bench site` plays each workload file on equal arrivals under each planner and
prints what callers got by kind of job and in the worst seconds, what was thrown away,
and a bound that no scheduler can exceed. `site.json` has the same figures, `site.png` a
plot. The *servable* rows leave out callers whom no scheduler could have served.
"""

import json
import os
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from statistics import mean

import matplotlib

from tools.bench.site_bound import bound_day
from tools.bench.site_days import WORKLOADS, play_day
from tools.bench.site_driver import PLANNERS
from tools.bench.site_workloads import draw_day, read_workload

matplotlib.use("Agg")

from matplotlib import pyplot

SEEDS = int(os.environ.get("PRIMROSESTILE_BENCH_SEEDS", "16"))
PROCESSES = 4
BOUND = "upper bound"


def play_or_bound(path: Path, planner: str, seed: int) -> dict[str, float]:
    """Play one day, or return its upper bound."""
    if planner != BOUND:
        return play(path, planner, seed)
    workload = read_workload(path)
    return bound_day(workload, draw_day(workload, seed), seed)


def play(path: Path, planner: str, seed: int) -> dict[str, float]:
    """Play one day."""
    return play_day(path, PLANNERS[planner], seed)


def compare(path: Path, planners: list[str]) -> dict[str, dict[str, float]]:
    """Return each planner's mean figures over the seeds."""
    table = {}
    with ProcessPoolExecutor(PROCESSES) as pool:
        for planner in planners:
            jobs = [
                pool.submit(play_or_bound, path, planner, seed) for seed in range(SEEDS)
            ]
            days = [job.result() for job in jobs]
            keys = sorted({key for day in days for key in day})
            table[planner] = {
                key: round(mean(day.get(key, 1.0) for day in days), 4) for key in keys
            }
    return table


def run(output: Path) -> None:
    results = {}
    for path in sorted(WORKLOADS.glob("*.json")):
        results[path.stem] = compare(path, [*PLANNERS, BOUND])
        print_table(path.stem, results[path.stem])
    (output / "site.json").write_text(json.dumps(results, indent=2) + "\n")
    plot(results, output / "site.png")


def print_table(name: str, table: dict[str, dict[str, float]]) -> None:
    print(f"{name}, means of {SEEDS} days")
    print(f"{'':28}" + "".join(f"{planner:>16}" for planner in table))
    for key in next(iter(table.values())):
        row = "".join(
            f"{figures[key]:16.3f}" if key in figures else f"{'-':>16}"
            for figures in table.values()
        )
        print(f"{key:28}{row}")


def plot(results: dict[str, dict[str, dict[str, float]]], path: Path) -> None:
    figure, axes = pyplot.subplots(1, len(results), figsize=(6 * len(results), 4))
    pairs = zip([*pyplot.np.atleast_1d(axes)], results.items(), strict=True)
    for axis, (name, table) in pairs:
        keys = [key for key, value in table["primrosestile"].items() if value <= 1]
        for number, (planner, figures) in enumerate(table.items()):
            positions = [index + 0.3 * number for index in range(len(keys))]
            heights = [figures.get(key, 0.0) for key in keys]
            axis.bar(positions, heights, 0.3, label=planner)
        axis.set_xticks(range(len(keys)), keys, rotation=45, ha="right")
        axis.set_ylabel("share of the worth that was owed")
        axis.set_title(name)
        axis.legend()
    figure.tight_layout()
    figure.savefig(path)

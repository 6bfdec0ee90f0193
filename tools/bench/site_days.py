"""Plays one random day and measures it."""

from pathlib import Path

from tools.bench.site_driver import Planner, RunStatistics, SiteRun
from tools.bench.site_measures import measure
from tools.bench.site_workloads import draw_day, read_workload

WORKLOADS = Path("examples/workloads")


def play_day(
    path: Path, planner: Planner, seed: int, statistics: RunStatistics | None = None
) -> dict[str, float]:
    """Return the figures of a workload file's day.

    Args:
        path: Of the workload file.
        planner: The planner under test.
        seed: Of the day's jobs and of its faults.
        statistics: The initial run statistics; empty by default.
    """
    workload = read_workload(path)
    arrivals = draw_day(workload, seed)
    day = SiteRun(workload, arrivals, planner, seed, statistics).run()
    return measure(day, workload.weights)

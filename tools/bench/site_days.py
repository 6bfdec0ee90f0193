"""Plays one drawn day and measures it."""

from pathlib import Path

from tools.bench.site_driver import Learning, Planner, SiteRun
from tools.bench.site_measures import measure
from tools.bench.site_workloads import draw_day, read_workload

WORKLOADS = Path("examples/workloads")


def play_day(
    path: Path, planner: Planner, seed: int, learning: Learning | None = None
) -> dict[str, float]:
    """Return the figures of a workload file's day.

    Args:
        path: Of the workload file.
        planner: Decides.
        seed: Of the day's jobs and of its faults.
        learning: What the day begins to learn with; with nothing by default.
    """
    workload = read_workload(path)
    arrivals = draw_day(workload, seed)
    day = SiteRun(workload, arrivals, planner, seed, learning).run()
    return measure(day, workload.weights)

"""Runs on an in-memory worker: their progress, load and use."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass

from primrosestile.clock import read_clock
from primrosestile.state.work import Need
from primrosestile_standin.fleet_script import Script

# Latency of a service alone on its worker, and what each percent of another task adds.
BASE_LATENCY_MS = 40.0
LATENCY_MS_PER_PERCENT = 1.5
NOTHING = Need()


@dataclass(slots=True)
class Run:
    """One run of a task on a worker.

    Attributes:
        working: Its work has begun; a gang's waits for all members.
        pace: The share of its full speed that it was given, in percent.
        done_before: Seconds of its work that its checkpoint saved.
    """

    task: str
    run: int
    began: float
    script: Script
    working: bool = False
    stopping: bool = False
    timer: asyncio.TimerHandle | None = None
    pace: int = 100
    done_before: float = 0.0

    def find_percent(self) -> float:
        """Return the progress that its worker reports."""
        if not self.working:
            return 0.0
        if self.script.serves:
            return 100.0
        return min(99.0, 100 * (read_clock() - self.began) / self.script.seconds)

    def cancel_timer(self) -> None:
        """Cancel what is scheduled for it."""
        if self.timer is not None:
            self.timer.cancel()


def compute_latency_ms(run: Run, runs: Iterable[Run]) -> float:
    """Return the latency of a service beside other runs; 0 for other tasks."""
    if not run.script.serves:
        return 0.0
    others = sum(each.pace for each in runs if not each.script.serves)
    return BASE_LATENCY_MS + others * LATENCY_MS_PER_PERCENT


def fits(runs: Iterable[Run], capacity: Need, more: Need = NOTHING) -> bool:
    """Return whether runs, and one more task, fit a capacity."""
    used = [more, *(run.script.need for run in runs)]
    return (
        sum(each.processor for each in used) <= capacity.processor
        and sum(each.accelerators for each in used) <= capacity.accelerators
    )

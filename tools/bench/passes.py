"""Measures the cost of a scheduling pass on fleets of three sizes under heavy load.

The load for each worker is the same at every size. `scripts/bench passes` prints the
processor time of a pass and a digest of all decisions: a pure optimisation leaves every
digest unchanged.
"""

import hashlib
import json
import time
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from primrosestile.decisions.work.durations import Durations
from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.decisions.work.plan import Plan, make_plan
from primrosestile.decisions.work.speeds import Speeds
from tools.bench.site_days import WORKLOADS
from tools.bench.site_driver import SiteRun
from tools.bench.site_workloads import Workload, draw_day, read_workload

# Workers, and seconds for which jobs arrive: more workers cause more passes.
FLEETS = ((24, 50.0), (176, 20.0), (1024, 3.0))
SEED = 0


@dataclass
class TimedPlanner:
    """Runs our planner, and times and hashes its plans.

    Attributes:
        seconds: Processor time of each pass.
    """

    seconds: list[float] = field(default_factory=list)
    digest: "hashlib._Hash" = field(default_factory=hashlib.sha256)

    def __call__(
        self, fleet_state: FleetState, durations: Durations, speeds: Speeds, now: float
    ) -> Plan:
        began = time.process_time()
        plan = make_plan(fleet_state, durations, speeds, now)
        self.seconds.append(time.process_time() - began)
        self.digest.update(repr((now, *list_decisions(plan))).encode())
        return plan


def list_decisions(plan: Plan) -> list[tuple[object, ...]]:
    """Return all decisions of a plan, with units and workers by name."""
    starts = [
        (each.unit.job.job_id, each.unit.key, [worker.name for worker in each.workers])
        for each in plan.starts
    ]
    stops = [
        (each.unit.job.job_id, each.unit.key, each.gainer.job.job_id, each.cost)
        for each in plan.stops
    ]
    stall_restarts = [
        (each.unit.job.job_id, each.unit.key, each.worker.name, each.lost)
        for each in plan.restarts
    ]
    return [*starts, *stops, *stall_restarts]


def enlarge(workload: Workload, workers: int, seconds: float) -> Workload:
    """Return the workload at another fleet size with the same load for each worker."""
    scale = workers / workload.workers
    kinds = [
        msgspec.structs.replace(kind, per_second=scale * kind.per_second)
        for kind in workload.kinds
    ]
    return msgspec.structs.replace(
        workload, workers=workers, kinds=kinds, seconds=seconds
    )


def time_passes(workload: Workload) -> dict[str, float | str]:
    """Return the processor time of a day's passes in milliseconds."""
    planner = TimedPlanner()
    SiteRun(workload, draw_day(workload, SEED), planner, SEED).run()
    in_order = sorted(planner.seconds)
    count = len(in_order)
    return {
        "passes": count,
        "mean": round(1000 * sum(in_order) / count, 2),
        "p50": round(1000 * in_order[count // 2], 2),
        "p99": round(1000 * in_order[int(0.99 * count)], 2),
        "most": round(1000 * in_order[-1], 2),
        "digest": planner.digest.hexdigest()[:16],
    }


def run(output: Path) -> None:
    """Time all fleets and write the figures."""
    results = {}
    for workers, seconds in FLEETS:
        for path in sorted(WORKLOADS.glob("*.json")):
            workload = enlarge(read_workload(path), workers, seconds)
            figures = time_passes(workload)
            results[f"{path.stem}, {workers} workers"] = figures
            print(f"{path.stem:20} {workers:5} workers", figures, flush=True)
    (output / "passes.json").write_text(json.dumps(results, indent=2) + "\n")

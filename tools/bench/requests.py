"""The bench of short requests: what callers notice under load and faults.

`run(output)` drives each workload with the product's decisions and with the
baselines, writes the figures as `requests.json`, and one plot a workload.
"""

import json
import time
from collections import Counter
from collections.abc import Sequence
from pathlib import Path

import numpy as np

from primrosestile.state.tenancy import Urgency
from tools.bench.requests_driver import Outcome, Plan, Result, drive
from tools.bench.requests_policies import make_fifo, make_product
from tools.bench.requests_workloads import make_plans

POLICIES = {
    "fifo-random": (make_fifo, True),
    "product": (make_product, False),
}


def take_quantile(values: Sequence[float], share: float) -> float | None:
    return round(float(np.quantile(values, share)), 3) if len(values) else None


def describe_waits(results: list[Result], urgency: Urgency) -> dict[str, object]:
    waits = [
        each.started - each.arrival.waiting.arrived_at
        for each in results
        if each.started is not None and each.arrival.waiting.urgency is urgency
    ]
    return {
        "p50": take_quantile(waits, 0.5),
        "p99": take_quantile(waits, 0.99),
        "longest": round(max(waits), 3) if waits else None,
    }


def describe(plan: Plan, outcome: Outcome) -> dict[str, object]:
    results = outcome.results
    good = [each for each in results if each.good]
    served = [each for each in results if each.outcome == "ok"]
    times = [
        each.ended - each.arrival.waiting.arrived_at for each in served if each.ended
    ]
    first = sum(each.started is not None for each in results)
    offered = Counter(each.arrival.waiting.organisation for each in results)
    good_by = Counter(each.arrival.waiting.organisation for each in good)
    good_work = sum(each.arrival.run for each in good)
    return {
        "offered": len(results),
        "good": len(good),
        "good_slot_seconds": round(good_work, 1),
        "outcomes": dict(sorted(Counter(each.outcome for each in results).items())),
        "late_answers": sum(not each.good for each in served),
        "refused_late": sum(each.outcome == "refused_late" for each in results),
        "attempts": outcome.attempts,
        "extra_attempts_share": round(outcome.attempts / max(1, first) - 1, 4),
        "refused_by_workers": outcome.refused_by_workers,
        "wait_seconds": {each.value: describe_waits(results, each) for each in Urgency},
        "latency_seconds": {
            "p50": take_quantile(times, 0.5),
            "p99": take_quantile(times, 0.99),
        },
        "good_share_by_organisation": {
            name: round(good_by[name] / count, 3)
            for name, count in sorted(offered.items())
        },
    }


def run(output: Path) -> None:
    figures: dict[str, object] = {}
    for name, plan in make_plans().items():
        figures[name] = {}
        for policy, (factory, queue_inside) in POLICIES.items():
            begin = time.perf_counter()
            outcome = drive(plan, factory, queue_inside)
            figures[name][policy] = describe(plan, outcome)
            print(name, policy, round(time.perf_counter() - begin, 1), "s")
            print("  ", json.dumps(figures[name][policy]))
    (output / "requests.json").write_text(json.dumps(figures, indent=2) + "\n")

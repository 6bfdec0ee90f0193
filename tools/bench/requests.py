"""Measures what callers of short requests get under load and faults.

`run(output)` simulates each workload with the product's decisions, the baseline and
other queues or routers, and writes `requests.json` and a plot for each workload.
"""

import json
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import matplotlib as mpl
import numpy as np

from primrosestile.state.tenancy import Urgency
from tools.bench.requests_driver import Factory, Outcome, Plan, Result, drive
from tools.bench.requests_policies import make_fifo, make_product
from tools.bench.requests_slopes import measure_slopes
from tools.bench.requests_ways import QUEUES, ROUTERS
from tools.bench.requests_workloads import PLANS, find_plan

mpl.use("Agg")
from matplotlib import pyplot as plt

QUEUE_PLANS = ("capacity", "saturation-3x", "bursts", "skew", "long-short")
ROUTER_PLANS = (
    "even-fleet",
    "one-slow-target",
    "even-runs",
    "even-runs-slow-target",
    "failing-workers",
)
REFUSALS = ("refused", "given_up", "refused_late")


def take_quantile(values: Sequence[float], share: float) -> float | None:
    return round(float(np.quantile(values, share)), 3) if len(values) else None


def describe_times(times: Sequence[float]) -> dict[str, float | None]:
    return {
        "p50": take_quantile(times, 0.5),
        "p99": take_quantile(times, 0.99),
        "longest": take_quantile(times, 1.0),
    }


def list_waits(results: list[Result], urgency: Urgency) -> list[float]:
    return [
        each.started - each.arrival.waiting.arrived_at
        for each in results
        if each.started is not None and each.arrival.waiting.urgency is urgency
    ]


def list_durations(results: list[Result], outcomes: Sequence[str]) -> list[float]:
    return [
        each.ended - each.arrival.waiting.arrived_at
        for each in results
        if each.outcome in outcomes and each.ended is not None
    ]


def describe(outcome: Outcome) -> dict[str, Any]:
    """Return the figures of one run."""
    results = outcome.results
    good = [each for each in results if each.good]
    offered = Counter(each.arrival.waiting.organisation for each in results)
    good_by = Counter(each.arrival.waiting.organisation for each in good)
    first = sum(each.started is not None for each in results)
    return {
        "offered": len(results),
        "good": len(good),
        "good_slot_seconds": round(sum(each.arrival.run for each in good), 1),
        "outcomes": dict(sorted(Counter(each.outcome for each in results).items())),
        "answered_late": sum(e.outcome == "ok" and not e.good for e in results),
        "refused_late": sum(e.outcome == "refused_late" for e in results),
        "extra_attempts_share": round(outcome.attempts / max(1, first) - 1, 4),
        "refused_by_workers": outcome.refused_by_workers,
        "wait_seconds": {
            each.value: describe_times(list_waits(results, each)) for each in Urgency
        },
        "answer_seconds": describe_times(list_durations(results, ("ok",))),
        "refusal_seconds": describe_times(list_durations(results, REFUSALS)),
        "good_share_by_organisation": {
            name: round(good_by[name] / count, 3)
            for name, count in sorted(offered.items())
        },
    }


def plot_plan(plan: Plan, outcomes: dict[str, Outcome], path: Path) -> None:
    """Plot what was answered in time, and how long requests waited to start."""
    figure, (above, below) = plt.subplots(2, 1, figsize=(8, 7))
    for name, outcome in outcomes.items():
        ends = [each.ended for each in outcome.results if each.good]
        counts, edges = np.histogram(ends, bins=np.arange(0.0, 75.0, 1.0))
        above.plot(edges[:-1], counts, label=name)
        for urgency, style in ((Urgency.URGENT, "-"), (Urgency.PATIENT, ":")):
            waits = np.sort(list_waits(outcome.results, urgency))
            share = np.linspace(0, 1, len(waits)) if len(waits) else waits
            below.plot(waits, share, style, label=f"{name}, {urgency.value}")
    above.set(title=plan.name, xlabel="seconds", ylabel="answered in time, a second")
    below.set(xlabel="seconds of waiting for a slot", ylabel="share of requests")
    above.legend()
    below.legend()
    figure.tight_layout()
    figure.savefig(path)
    plt.close(figure)


def compare(variants: dict[str, Factory], names: Sequence[str]) -> dict[str, Any]:
    """Run variants and the product on some workloads."""
    figures: dict[str, Any] = {}
    for name in names:
        plan = find_plan(name)
        figures[name] = {
            variant: describe(drive(plan, factory, queue_inside=False))
            for variant, factory in (*variants.items(), ("product", make_product))
        }
    return figures


def compare_with_aims(workloads: dict[str, Any]) -> dict[str, Any]:
    """Return each aim with the measured figure."""
    product = {name: each["product"] for name, each in workloads.items()}

    def compare_p99(slow: str, even: str) -> float:
        p99 = [product[name]["answer_seconds"]["p99"] for name in (slow, even)]
        return round(p99[0] / p99[1], 3)

    goodput = product["saturation-3x"]["good"] / product["capacity"]["good"]
    urgent = product["saturation-3x"]["wait_seconds"]["urgent"]["p99"]
    return {
        "goodput_at_3x_over_capacity": {"aim": 0.95, "measured": round(goodput, 3)},
        "extra_attempts_share": {
            "aim": 0.1,
            "measured": max(each["extra_attempts_share"] for each in product.values()),
        },
        "slow_target_p99_ratio": {
            "aim": 1.3,
            "measured": compare_p99("one-slow-target", "even-fleet"),
        },
        "slow_target_p99_ratio_even_runs": {
            "aim": 1.3,
            "measured": compare_p99("even-runs-slow-target", "even-runs"),
        },
        "urgent_p99_wait_seconds_at_3x": {"aim": 5.8, "measured": urgent},
        "refused_late": {
            "aim": 0,
            "measured": sum(each["refused_late"] for each in product.values()),
        },
    }


def run(output: Path) -> None:
    """Write all figures and plots."""
    workloads: dict[str, Any] = {}
    for name in PLANS:
        plan = find_plan(name)
        outcomes = {
            "fifo-random": drive(plan, make_fifo, queue_inside=True),
            "product": drive(plan, make_product, queue_inside=False),
        }
        workloads[name] = {
            variant: describe(each) for variant, each in outcomes.items()
        }
        plot_plan(plan, outcomes, output / f"{name}.png")
        print(f"{name}: done")
    figures = {
        "aims": compare_with_aims(workloads),
        "workloads": workloads,
        "ways_to_queue": compare(QUEUES, QUEUE_PLANS),
        "ways_to_choose": compare(ROUTERS, ROUTER_PLANS),
        "slopes": measure_slopes(),
    }
    (output / "requests.json").write_text(json.dumps(figures, indent=2) + "\n")
    print(json.dumps(figures["aims"], indent=2))

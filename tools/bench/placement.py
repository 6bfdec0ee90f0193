"""Compares placement with first-fit on equal arrivals, and measures its cost."""

import json
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from statistics import mean
from typing import Any

import matplotlib

from primrosestile.decisions.guarantees import assign_guarantees
from primrosestile.state.tenancy import Policy
from tools.bench.placement_driver import CellRun, Outcome, Scheduler
from tools.bench.placement_schedulers import FirstFit, Primrosestile
from tools.bench.placement_slopes import measure_slopes
from tools.bench.placement_workloads import (
    WINDOW_SECONDS,
    WORKLOADS,
    Deployment,
    Workload,
    draw_arrivals,
    make_deployments,
)

matplotlib.use("Agg")

from matplotlib import pyplot

SEED = 1
PROCESSES = 4
OURS = "primrosestile"
BASELINE = "fifo_first_fit"
SKIPPING = "fifo_first_fit_skipping"
COMPLETION_ONLY = Policy(completion_weight=1.0, fragmentation_weight=0.0)
FRAGMENTATION_ONLY = Policy(completion_weight=0.0, fragmentation_weight=1.0)

URGENT_SECONDS = 5.8
COMPLETION_RATIO = 0.7
FRAGMENTATION_RATIO = 0.5


def make_scheduler(name: str, policy: Policy) -> Scheduler:
    if name == BASELINE:
        return FirstFit(is_blocking=True)
    if name == SKIPPING:
        return FirstFit(is_blocking=False)
    if name == "declared_times":
        return Primrosestile(policy, learns=False)
    if name == "without_moves":
        return Primrosestile(policy, moves=False)
    if name == "completion_only":
        return Primrosestile(COMPLETION_ONLY)
    if name == "fragmentation_only":
        return Primrosestile(FRAGMENTATION_ONLY)
    return Primrosestile(policy)


POLICIES = (
    OURS,
    BASELINE,
    SKIPPING,
    "declared_times",
    "without_moves",
    "completion_only",
    "fragmentation_only",
)


def play(deployment: Deployment, workload: Workload, policy: str) -> Outcome:
    arrivals = draw_arrivals(deployment, workload, SEED)
    assigned = assign_guarantees(deployment.fleet, deployment.guarantees)
    outcome = Outcome()
    for cell in deployment.fleet.cells:
        run = CellRun(
            make_scheduler(policy, deployment.policy),
            deployment.fleet.workers_of(cell),
            assigned[cell.name],
            [arrival for arrival in arrivals if arrival.cell == cell.name],
            workload.bad_workers,
            WINDOW_SECONDS,
        )
        outcome.add(run.run())
    return outcome


def play_by_index(key: tuple[int, int, str]) -> Outcome:
    deployment = make_deployments()[key[0]]
    return play(deployment, WORKLOADS[key[1]], key[2])


def find_quantile(values: list[float], quantile: float) -> float | None:
    if not values:
        return None
    ordered = sorted(values)
    return round(ordered[int(quantile * (len(ordered) - 1))], 2)


def average(values: list[float]) -> float | None:
    return round(mean(values), 4) if values else None


def summarise(outcome: Outcome) -> dict[str, Any]:
    completions = list(outcome.completions.values())
    return {
        "finished": len(completions),
        "not_finished": outcome.not_restarted,
        "mean_completion_seconds": average(completions),
        "p99_completion_seconds": find_quantile(completions, 0.99),
        "longest_wait_seconds": round(outcome.max_wait, 1),
        "urgent_start_p99_seconds": find_quantile(outcome.urgent_delays, 0.99),
        "urgent_start_max_seconds": find_quantile(outcome.urgent_delays, 1.0),
        "guarantee_trials": len(outcome.owed_delays),
        "guarantee_trials_late": sum(
            delay > URGENT_SECONDS for delay in outcome.owed_delays
        ),
        "guarantee_start_max_seconds": find_quantile(outcome.owed_delays, 1.0),
        "fragmentation": average(outcome.fragmentation),
        "fragmentation_floor": average(outcome.floor),
        "fragmentation_when_largest_could_fit": average(outcome.scattered),
        "fragmentation_of_eight_adjacent": average(outcome.scattered_eight),
        "free_accelerators": average([float(each) for each in outcome.free]),
        "useless_accelerators": average(outcome.useless),
        "gangs_in_part": outcome.gangs_in_part,
        "infeasible_steps": outcome.infeasible_steps,
        "samples": len(outcome.free),
        "samples_when_largest_could_fit": len(outcome.scattered),
        "samples_with_infeasible_promises": outcome.infeasible_samples,
        "steps": outcome.steps,
        "stopped": outcome.stopped,
        "moved": outcome.moved,
        "lost_accelerator_seconds": round(outcome.lost_seconds),
    }


def compare(ours: dict[str, Any], other: dict[str, Any]) -> dict[str, float | None]:
    names = (
        "mean_completion_seconds",
        "fragmentation",
        "fragmentation_when_largest_could_fit",
        "useless_accelerators",
    )
    return {
        name: round(ours[name] / other[name], 3) if ours[name] and other[name] else None
        for name in names
    }


def compare_with_aims(rows: list[dict[str, Any]]) -> dict[str, Any]:
    """Compare the worst figure of all workloads with each aim."""
    ours = [row["policies"][OURS] for row in rows]
    saturated = [
        row["policies"][OURS] for row in rows if row["workload"] == "saturation"
    ]

    def worst(ratio: str, name: str) -> float:
        return max(row[ratio][name] or 0.0 for row in rows)

    aims = {
        "guarantee_trials_late": (
            sum(each["guarantee_trials_late"] for each in ours),
            0,
        ),
        "urgent_start_p99_seconds_at_saturation": (
            max(each["urgent_start_p99_seconds"] for each in saturated),
            URGENT_SECONDS,
        ),
        "completion_to_fifo_first_fit": (
            worst("to_fifo_first_fit", "mean_completion_seconds"),
            COMPLETION_RATIO,
        ),
        "completion_to_fifo_first_fit_skipping": (
            worst("to_fifo_first_fit_skipping", "mean_completion_seconds"),
            COMPLETION_RATIO,
        ),
        "fragmentation_to_fifo_first_fit": (
            worst("to_fifo_first_fit", "fragmentation"),
            FRAGMENTATION_RATIO,
        ),
        "gangs_in_part": (sum(each["gangs_in_part"] for each in ours), 0),
        "infeasible_steps": (sum(each["infeasible_steps"] for each in ours), 0),
    }
    return {
        name: {"worst": value, "aim": aim, "met": value <= aim}
        for name, (value, aim) in aims.items()
    }


def plot(workload: str, outcomes: dict[tuple[str, str], Outcome], path: Path) -> None:
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(11, 4))
    for (deployment, policy), outcome in outcomes.items():
        ordered = sorted(outcome.completions.values())
        shares = [(index + 1) / len(ordered) for index in range(len(ordered))]
        left.plot(ordered, shares, label=f"{deployment}, {policy}")
    left.set_xscale("log")
    left.set_xlabel("completion time in seconds")
    left.set_ylabel("share of jobs")
    left.legend(fontsize=7)
    names = [f"{deployment}\n{policy}" for deployment, policy in outcomes]
    useless = [mean(outcome.useless) for outcome in outcomes.values()]
    right.barh(names, useless)
    right.tick_params(axis="y", labelsize=7)
    right.set_xlabel("free accelerators of no use to the largest shape, per cell")
    figure.suptitle(workload)
    figure.tight_layout()
    figure.savefig(path, dpi=100)
    pyplot.close(figure)


def run(output: Path) -> None:
    deployments = make_deployments()
    keys = [
        (deployment, workload, policy)
        for deployment in range(len(deployments))
        for workload in range(len(WORKLOADS))
        for policy in POLICIES
    ]
    with ProcessPoolExecutor(max_workers=PROCESSES) as pool:
        outcomes = dict(zip(keys, pool.map(play_by_index, keys), strict=True))
    rows = []
    for deployment in range(len(deployments)):
        for workload in range(len(WORKLOADS)):
            policies = {
                policy: summarise(outcomes[deployment, workload, policy])
                for policy in POLICIES
            }
            row = {
                "deployment": deployments[deployment].name,
                "workload": WORKLOADS[workload].name,
                "load": WORKLOADS[workload].load,
                "policies": policies,
                "to_fifo_first_fit": compare(policies[OURS], policies[BASELINE]),
                "to_fifo_first_fit_skipping": compare(
                    policies[OURS], policies[SKIPPING]
                ),
            }
            rows.append(row)
    for index, workload_spec in enumerate(WORKLOADS):
        shown = {
            (deployments[deployment].name, policy): outcomes[deployment, index, policy]
            for deployment in range(len(deployments))
            for policy in (OURS, BASELINE, SKIPPING)
        }
        plot(workload_spec.name, shown, output / f"placement_{workload_spec.name}.png")
    report = {
        "seed": SEED,
        "window_seconds": WINDOW_SECONDS,
        "aims": compare_with_aims(rows),
        "workloads": rows,
        "slopes": measure_slopes(),
    }
    (output / "placement.json").write_text(json.dumps(report, indent=1) + "\n")
    print_aims(report["aims"])


def print_aims(aims: dict[str, Any]) -> None:
    for name, aim in aims.items():
        verdict = "met" if aim["met"] else "missed"
        print(f"{name:42} {aim['worst']:>10} aim {aim['aim']:>5} {verdict}")

"""Measures the worth of each mechanism of a scheduling pass by leaving it out.

`scripts/bench ablation` plays every workload with all mechanisms and then without each
one, on the same days. It prints the difference in worth, in callers who got nothing and
in work thrown away, with the standard error of each over the days. A difference within
two standard errors is not significant. `ablation.json` has the same figures.
"""

import json
import os
from collections.abc import Callable, Collection
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from functools import partial
from pathlib import Path
from statistics import mean, stdev

from primrosestile.decisions.work.durations import Durations
from primrosestile.decisions.work.mechanisms import Mechanisms, make_mechanisms
from primrosestile.decisions.work.plan import make_plan
from primrosestile.decisions.work.preemption import is_aged, may_stop
from primrosestile.decisions.work.queue_order import Rank, RankKey
from primrosestile.decisions.work.rooms import Rooms
from primrosestile.decisions.work.speeds import Speeds
from primrosestile.decisions.work.units import Member, Unit
from primrosestile.decisions.work.worker_quarantine import WorkerQuarantine
from tools.bench.site_days import WORKLOADS, play_day
from tools.bench.site_driver import RunStatistics

SEEDS = int(os.environ.get("PRIMROSESTILE_BENCH_SEEDS", "16"))
PROCESSES = 4
FIGURES = ("worth", "unserved", "thrown away, core-seconds")


class NoDurations(Durations):
    """Uses only the callers' estimates."""

    def learn(self, queue: str, estimate: float, seconds: float) -> None:
        """Learn nothing."""


class NoSpeeds(Speeds):
    """Assumes that all workers are equally fast."""

    def record_success(self, member: Member, now: float) -> None:
        """Learn nothing."""


class NoQuarantine(WorkerQuarantine):
    """Never quarantines a worker."""

    def record_failure(
        self, worker: str, job: str, seconds: float, now: float, workers: int
    ) -> float:
        """Return a quarantine that is already over."""
        return 0.0


def order_without_guarantees(rank: Rank) -> RankKey:
    return rank.make_key()[1:]


def order_without_lateness(rank: Rank) -> RankKey:
    key = rank.make_key()
    return (*key[:4], *key[5:])


def order_without_slack(rank: Rank) -> RankKey:
    return rank.make_key()[:-1]


def skip_locality_wait(unit: Unit, seconds: float, idle: bool) -> float:
    return 0.0


def reserve_nothing(unit: Unit, rooms: Rooms, durations: Durations, now: float) -> bool:
    return False


def stop_for_guaranteed(
    victim: Unit, gainer: Unit, entitled: Collection[str], now: float
) -> bool:
    allowed = may_stop(victim, gainer, entitled, now)
    return allowed and gainer.job.job_id in entitled


def stop_for_urgent(
    victim: Unit, gainer: Unit, entitled: Collection[str], now: float
) -> bool:
    allowed = may_stop(victim, gainer, entitled, now)
    return allowed and gainer.job.queue.priority == 0


def stop_checkpointed(
    victim: Unit, gainer: Unit, entitled: Collection[str], now: float
) -> bool:
    allowed = may_stop(victim, gainer, entitled, now)
    return allowed and (victim.step.checkpoints or gainer.job.job_id in entitled)


def spare_aged(
    victim: Unit, gainer: Unit, entitled: Collection[str], now: float
) -> bool:
    allowed = may_stop(victim, gainer, entitled, now)
    return allowed and (gainer.job.job_id in entitled or not is_aged(victim, now))


def stop_at_once(unit: Unit, rank: Rank, now: float) -> float:
    return now


@dataclass(frozen=True, slots=True)
class Variant:
    """The mechanisms with one left out."""

    mechanisms: Mechanisms
    make_statistics: Callable[[], RunStatistics] = RunStatistics


def make_variants() -> dict[str, Variant]:
    """Return the complete variant and one without each mechanism, by its name."""
    whole = make_mechanisms()

    def drop(**replaced: object) -> Variant:
        return Variant(replace(whole, **replaced))  # type: ignore[arg-type]

    return {
        "nothing": Variant(whole),
        "order by guarantee": drop(order=order_without_guarantees),
        "order by lateness": drop(order=order_without_lateness),
        "order by slack": drop(order=order_without_slack),
        "patience for racks": drop(locality_wait=skip_locality_wait),
        "kept room": drop(reservation=reserve_nothing),
        "stops beyond guarantees": drop(permission=stop_for_guaranteed),
        "stops for usual work": drop(permission=stop_for_urgent),
        "stops of unsaved work": drop(permission=stop_checkpointed),
        "stops of aged unsaved work": drop(permission=spare_aged),
        "waits for expected ends": drop(eviction_wait=stop_at_once),
        "rescues": drop(stall_finding=lambda fleet_state, durations, now: []),
        "restarts at departures": drop(
            departure_finding=lambda fleet_state, durations, now: []
        ),
        "headroom": drop(headroom_finding=lambda fleet_state, rooms, now: {}),
        "slow workers": drop(slow_finding=lambda *_: set()),
        "learned run times": Variant(whole, partial(RunStatistics, NoDurations())),
        "learned speeds": Variant(whole, lambda: RunStatistics(speeds=NoSpeeds())),
        "distrust": Variant(whole, lambda: RunStatistics(quarantine=NoQuarantine())),
    }


def play(path: Path, missing: str, seed: int) -> dict[str, float]:
    """Play one day without a mechanism."""
    variant = make_variants()[missing]
    planner = partial(make_plan, mechanisms=variant.mechanisms)
    return play_day(path, planner, seed, variant.make_statistics())


def compare(path: Path) -> dict[str, dict[str, tuple[float, float]]]:
    """Return each figure's mean and standard error by the missing mechanism.

    The row "nothing" has the figures; the other rows have differences to it.
    """
    days = {}
    with ProcessPoolExecutor(PROCESSES) as pool:
        for missing in make_variants():
            jobs = [pool.submit(play, path, missing, seed) for seed in range(SEEDS)]
            days[missing] = [job.result() for job in jobs]
    whole = days["nothing"]
    table = {}
    for missing, played in days.items():
        table[missing] = {
            figure: summarise(
                [
                    day[figure] - (0.0 if played is whole else complete[figure])
                    for day, complete in zip(played, whole, strict=True)
                ]
            )
            for figure in FIGURES
        }
    return table


def summarise(values: list[float]) -> tuple[float, float]:
    """Return the mean and its standard error."""
    error = stdev(values) / len(values) ** 0.5 if len(values) > 1 else 0.0
    return round(mean(values), 4), round(error, 4)


def run(output: Path) -> None:
    """Play every workload and write the table."""
    results = {}
    for path in sorted(WORKLOADS.glob("*.json")):
        results[path.stem] = compare(path)
        print_table(path.stem, results[path.stem])
    (output / "ablation.json").write_text(json.dumps(results, indent=2) + "\n")


def print_table(name: str, table: dict[str, dict[str, tuple[float, float]]]) -> None:
    """Print one workload's table."""
    print(f"{name}, {SEEDS} days")
    print(f"{'without':28}" + "".join(f"{figure:>30}" for figure in FIGURES))
    for missing, figures in table.items():
        cells = (f"{value:+.3f} +- {error:.3f}" for value, error in figures.values())
        print(f"{missing:28}" + "".join(f"{cell:>30}" for cell in cells))

"""Measures the cost of one placement decision by the size of the cell."""

import gc
import random
import time
import tracemalloc
from typing import Any

from primrosestile.decisions.cell import CellView, Demand, Holding
from primrosestile.decisions.placement import (
    Placed,
    Reclaim,
    decide_placement,
    order_demands,
)
from primrosestile.decisions.run_times import RunTimes
from primrosestile.state.fleet import Worker
from primrosestile.state.tenancy import Adjacency, Policy, Shape, Urgency

SIZES = (24, 128, 1024)
SHARES = (0.5, 0.98)
WORKERS_PER_RACK = 8
SAMPLES = 400
SEED = 5

POLICY = Policy()
GANG = Shape(64, Adjacency.RACK)
MIX = (Shape(1), Shape(2), Shape(4), Shape(8), Shape(16, Adjacency.RACK))


def make_workers(count: int) -> list[Worker]:
    return [
        Worker(f"w{index}", f"r{index // WORKERS_PER_RACK}", "")
        for index in range(count)
    ]


def make_guaranteed_shapes(workers: int) -> list[tuple[str, Shape]]:
    """Return guarantees of about half of the cell to up to 16 organisations."""
    racks = workers // WORKERS_PER_RACK
    promised: list[tuple[str, Shape]] = []
    for rack in range(racks):
        organisation = f"o{rack % 16}"
        if rack % 4 == 0:
            promised.append((organisation, GANG))
        else:
            promised.append((organisation, Shape(16, Adjacency.RACK)))
            promised.append((organisation, Shape(8)))
    return promised


def make_demand(
    rng: random.Random, number: int, shape: Shape, organisation: str = ""
) -> Demand:
    return Demand(
        job_id=f"j{number}",
        organisation=organisation or f"o{rng.randrange(16)}",
        team="t",
        job_class=f"c{number % 12}",
        shape=shape,
        urgency=rng.choice(tuple(Urgency)),
        evictable=rng.random() < 0.85,
        checkpoints=rng.random() < 0.5,
        accepted_at=float(number),
        declared_seconds=600.0,
    )


def make_holding(demand: Demand, decision: Placed | Reclaim, now: float) -> Holding:
    return Holding(
        demand.job_id,
        demand.organisation,
        demand.team,
        decision.members,
        demand.shape,
        demand.urgency,
        demand.evictable,
        demand.checkpoints,
        now,
        now,
        demand.job_class,
        now + 600.0,
    )


def fill(view: CellView, share: float, rng: random.Random) -> None:
    """Fill a share of the cell through the decisions themselves."""
    wanted = (1.0 - share) * sum(view.capacity)
    number = 0
    while sum(view.free_counts) > wanted and number < 40 * len(view.workers):
        number += 1
        # The organisations with guaranteed 64-gangs hold nothing, so that their share
        # must be reclaimed.
        owner = f"o{rng.choice((1, 2, 3, 5, 6, 7, 9, 10, 11, 13, 14, 15))}"
        demand = make_demand(rng, number, rng.choice(MIX), owner)
        decision = decide_placement(view, demand, POLICY, float(number))
        if isinstance(decision, Placed):
            view.hold(make_holding(demand, decision, float(number)))


def measure_decisions(workers: int, share: float) -> dict[str, Any]:
    rng = random.Random(SEED)
    view = CellView(make_workers(workers), make_guaranteed_shapes(workers))
    fill(view, share, rng)
    shapes = {"gang_64_in_guarantee": GANG, "gang_64_borrowing": GANG, "one": Shape(1)}
    figures: dict[str, Any] = {
        "workers": workers,
        "filled": share,
        "jobs": len(view.holdings),
    }
    for name, shape in shapes.items():
        seconds = []
        kinds: dict[str, int] = {}
        for number in range(SAMPLES):
            owner = f"o{4 * (number % 4)}" if name == "gang_64_in_guarantee" else ""
            demand = make_demand(rng, 10**6 + number, shape, owner)
            began = time.perf_counter()
            decision = decide_placement(view, demand, POLICY, 10.0**6)
            seconds.append(time.perf_counter() - began)
            kind = type(decision).__name__
            kinds[kind] = kinds.get(kind, 0) + 1
        figures[name] = {**summarise(seconds), "decisions": kinds}
    figures["rebuild_ms"] = measure_rebuild(view, workers)
    figures["bytes_per_job"] = measure_memory(view, workers)
    figures["order_1000_waiting_ms"] = measure_order(view, rng)
    return figures


def summarise(seconds: list[float]) -> dict[str, float]:
    ordered = sorted(seconds)
    return {
        "p50_ms": round(1000 * ordered[len(ordered) // 2], 4),
        "p99_ms": round(1000 * ordered[int(0.99 * (len(ordered) - 1))], 4),
        "max_ms": round(1000 * ordered[-1], 4),
    }


def measure_rebuild(view: CellView, workers: int) -> float:
    """Return the time to rebuild the cell from its holdings, as after a takeover."""
    holdings = list(view.holdings.values())
    random.Random(SEED).shuffle(holdings)
    began = time.perf_counter()
    rebuilt = CellView(make_workers(workers), make_guaranteed_shapes(workers))
    rebuilt.hold_all(holdings)
    rebuilt.allocations.read()
    return round(1000 * (time.perf_counter() - began), 3)


def measure_memory(view: CellView, workers: int) -> float:
    """Return the view's memory for each job, without the caller's own records."""
    gc.collect()
    tracemalloc.start()
    rebuilt = CellView(make_workers(workers), make_guaranteed_shapes(workers))
    empty = tracemalloc.get_traced_memory()[0]
    for holding in view.holdings.values():
        rebuilt.hold(holding)
    full = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return round((full - empty) / max(1, len(rebuilt.holdings)), 1)


def measure_order(view: CellView, rng: random.Random) -> float:
    demands = [make_demand(rng, number, rng.choice(MIX)) for number in range(1000)]
    run_times = RunTimes()
    began = time.perf_counter()
    order_demands(demands, view, POLICY, run_times, 2000.0)
    return round(1000 * (time.perf_counter() - began), 3)


def measure_record() -> dict[str, float]:
    """Return the memory of one job's holding and of one task (a member) in it."""
    rng = random.Random(SEED)
    view = CellView(make_workers(8), ())
    sizes = []
    for count in (8, 64):
        tracemalloc.start()
        holdings = []
        for number in range(500):
            shape = Shape(count, Adjacency.RACK)
            demand = make_demand(rng, number, shape)
            decision = decide_placement(view, demand, POLICY, 0.0)
            assert isinstance(decision, Placed)
            holdings.append(make_holding(demand, decision, 0.0))
        sizes.append(tracemalloc.get_traced_memory()[0] / len(holdings))
        tracemalloc.stop()
    task = (sizes[1] - sizes[0]) / 7
    return {
        "bytes_per_job_record": round(sizes[0] - task),
        "bytes_per_task": round(task),
    }


def measure_slopes() -> dict[str, Any]:
    return {
        "cells": [
            measure_decisions(workers, share) for workers in SIZES for share in SHARES
        ],
        **measure_record(),
    }

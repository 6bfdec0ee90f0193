"""Steps for the upper bounds of what any scheduler can reach."""

import random
from pathlib import Path
from typing import Any

import msgspec
from behave import given, then, when
from tools.bench.site_bound import Bounds, bound_day
from tools.bench.site_driver import PLANNERS, SiteRun
from tools.bench.site_measures import measure
from tools.bench.site_room import make_room
from tools.bench.site_workloads import (
    Arrival,
    Fault,
    Trouble,
    Workload,
    draw_day,
    is_servable,
    read_workload,
)

from primrosestile.state.work import Need, Step, Submission

WORKLOADS = sorted(Path("examples/workloads").glob("*.json"))
# Figures for which less is better.
COUNTED = ("unserved", "servable, unserved", "thrown away, core-seconds")
ROUNDING = 1e-9


def draw_small(seed: int) -> Workload:
    """Return a small fleet with two faults and far too much work."""
    chance = random.Random(seed)
    workload = read_workload(WORKLOADS[seed % len(WORKLOADS)])
    rack_size = chance.choice((2, 3))
    workers = rack_size * chance.choice((2, 3))
    seconds = chance.uniform(3.0, 6.0)
    scale = chance.uniform(2.0, 8.0) * workers / workload.workers
    kinds = [
        msgspec.structs.replace(kind, per_second=scale * kind.per_second)
        for kind in workload.kinds
    ]
    troubles = [
        Trouble(
            chance.choice(list(Fault)),
            at=chance.uniform(0.0, seconds),
            seconds=chance.uniform(1.0, 4.0),
            share=chance.uniform(0.1, 0.4),
            factor=4.0,
        )
        for _ in range(2)
    ]
    return msgspec.structs.replace(
        workload,
        workers=workers,
        rack_size=rack_size,
        seconds=seconds,
        kinds=kinds,
        bursts=[],
        troubles=troubles,
        gang_workers=min(workload.gang_workers, rack_size),
    )


@when("{days:d} days of small fleets are drawn and played by our plan and by first fit")
def step_simulate(context: Any, days: int) -> None:
    context.days = []
    for seed in range(days):
        workload = draw_small(seed)
        arrivals = draw_day(workload, seed)
        bound = bound_day(workload, arrivals, seed)
        for name, planner in PLANNERS.items():
            day = SiteRun(workload, arrivals, planner, seed).run()
            figures = measure(day, workload.weights)
            context.days.append((seed, name, figures, bound))


@then("no figure of any of them exceeds its bound")
def step_not_exceeded(context: Any) -> None:
    exceeded = [
        (seed, name, key, figures[key], limit)
        for seed, name, figures, bound in context.days
        for key, limit in bound.items()
        # A kind whose jobs were all cancelled has no figure.
        if key in figures and exceeds(key, figures[key], limit)
    ]
    assert not exceeded, exceeded


def exceeds(key: str, value: float, limit: float) -> bool:
    if key in COUNTED:
        return value < limit - ROUNDING
    return value > limit + ROUNDING


@then("the bound is below the total worth on some of them, and reached on some")
def step_binds(context: Any) -> None:
    assert any(bound["all"] < 0.95 for _, _, _, bound in context.days)
    assert any(
        figures["all"] > 0.99 * bound["all"] for _, _, figures, bound in context.days
    )


@given("a drawn fleet of {workers:d} workers")
def step_fleet(context: Any, workers: int) -> None:
    make_fleet(context, workers, 1)


@given("a drawn fleet of {racks:d} racks of {size:d} workers")
def step_racks(context: Any, racks: int, size: int) -> None:
    make_fleet(context, racks * size, size)


def make_fleet(context: Any, workers: int, rack_size: int) -> None:
    drawn = read_workload(WORKLOADS[0])
    context.workload = msgspec.structs.replace(
        drawn,
        seconds=30.0,
        workers=workers,
        rack_size=rack_size,
        capacity=Need(8000, 8000, 8),
        speeds=[1.0],
        bursts=[],
        troubles=[],
    )


@given("no owner decides anything from {begins:g} to {ends:g} s")
def step_away(context: Any, begins: float, ends: float) -> None:
    trouble = Trouble(Fault.NO_OWNER, begins, ends - begins)
    context.workload = msgspec.structs.replace(context.workload, troubles=[trouble])


@given(
    "{count:d} jobs at once of a whole worker each, {seconds:g} s long"
    " and in time after {objective:g} s"
)
def step_single(context: Any, count: int, seconds: float, objective: float) -> None:
    make_jobs(context, count, 1, seconds, objective)


@given(
    "{count:d} jobs at once of {width:d} whole workers of a rack each,"
    " {seconds:g} s long and in time after {objective:g} s"
)
def step_gangs(
    context: Any, count: int, width: int, seconds: float, objective: float
) -> None:
    make_jobs(context, count, width, seconds, objective)


def make_jobs(
    context: Any, count: int, width: int, seconds: float, objective: float
) -> None:
    kind = msgspec.structs.replace(
        context.workload.kinds[0], stretch=0.0, objective_seconds=objective
    )
    step = Step(width, Need(1000, 1000, 8), seconds, gang=True, one_rack=width > 1)
    context.arrivals = [
        Arrival(
            at=1.0,
            kind=kind,
            submission=Submission(f"{number:016x}", "q", "o0", "p", "", (step,)),
            seconds=(seconds,) * width,
            fails_at=0.0,
            # Each job counts as one if it is in time, and as nothing if it is late.
            worth=1.0,
            late_worth=0.0,
        )
        for number in range(count)
    ]


@then(
    "no more than {most:g} of them can be in time by the bound,"
    " and no fewer than {least:g}"
)
def step_in_time(context: Any, most: float, least: float) -> None:
    room = make_room(context.workload, 0, {Need(1000, 1000, 8)})
    share = Bounds(context.workload, room).find_share(context.arrivals)
    assert least <= share * len(context.arrivals) <= most + ROUNDING, share


@then("the caller is not servable")
def step_not_servable(context: Any) -> None:
    assert not is_servable(context.workload, context.arrivals[0])

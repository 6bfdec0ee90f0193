"""Generates gang-job arrivals for the placement benchmark from fixed seeds.

Every policy gets the same arrivals. Sizes and run times follow the two deployments:
short previews and quotes that a person waits for, captions and surcharge runs that must
not run twice, and long renders and rebuilds that need adjacent accelerators. A declared
run time is wrong by a factor of up to ten either way.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from primrosestile.decisions.guarantees import assign_guarantees
from primrosestile.state.fleet import Cell, FailureDomain, Fleet, Rack, Worker
from primrosestile.state.tenancy import (
    Adjacency,
    Guarantee,
    Guarantees,
    Policy,
    Shape,
    Urgency,
)

WINDOW_SECONDS = 2 * 3600.0
PROBE_SECONDS = 300.0
WARM_UP_SECONDS = 600.0


@dataclass(frozen=True)
class Arrival:
    """One job: its request, and what the scheduler does not know in advance."""

    job_id: str
    organisation: str
    job_class: str
    shape: Shape
    urgency: Urgency
    evictable: bool
    checkpoints: bool
    accepted_at: float
    declared_seconds: float
    true_seconds: float
    cell: str
    cancelled_at: float | None = None
    is_probe: bool = False


@dataclass(frozen=True)
class Deployment:
    """A fleet with its guarantees and policy."""

    name: str
    fleet: Fleet
    guarantees: Guarantees
    policy: Policy


@dataclass(frozen=True)
class JobKind:
    """One kind of job: shapes, run time and relative frequency."""

    name: str
    shapes: tuple[Shape, ...]
    seconds: tuple[float, float]
    weight: float
    urgent: bool = False
    evictable: bool = True
    checkpoints: bool = False


WORKER, RACK = Adjacency.WORKER, Adjacency.RACK
KINDS = (
    JobKind("preview", (Shape(1), Shape(2)), (5, 40), 30, urgent=True),
    JobKind("caption", (Shape(1), Shape(2)), (30, 300), 15, evictable=False),
    JobKind("batch", (Shape(1), Shape(2), Shape(4)), (60, 900), 30),
    JobKind("render", (Shape(8),), (300, 1800), 10, checkpoints=True),
    JobKind(
        "large", (Shape(16, RACK), Shape(32, RACK)), (300, 1800), 3, False, True, True
    ),
)
ORGANISATIONS = ("first", "second", "third", "fourth")
SHARES = (45, 30, 15, 10)


def make_deployments() -> tuple[Deployment, ...]:
    completion = Policy(completion_weight=0.7, fragmentation_weight=0.3)
    fragmentation = Policy(completion_weight=0.3, fragmentation_weight=0.7)
    return (
        _make_deployment(
            "domeworks", ("osborne", "malaga", "welshpool"), fragmentation
        ),
        _make_deployment("thistlegate", ("leith", "perth", "stirling"), completion),
    )


def _make_deployment(name: str, domains: tuple[str, ...], policy: Policy) -> Deployment:
    fleet = Fleet(
        tuple(FailureDomain(domain, "region") for domain in domains),
        tuple(Rack(f"{domain}-rack", domain) for domain in domains),
        tuple(Cell(domain, (f"{domain}-rack",)) for domain in domains),
        tuple(
            Worker(f"{domain}-{index}", f"{domain}-rack", "")
            for domain in domains
            for index in range(8)
        ),
    )
    first, second, third, fourth = ORGANISATIONS
    guarantees = Guarantees(
        ORGANISATIONS,
        (
            Guarantee(first, Shape(32, RACK)),
            Guarantee(first, Shape(8)),
            Guarantee(second, Shape(16, RACK)),
            Guarantee(second, Shape(8)),
            Guarantee(third, Shape(8), 2),
            Guarantee(fourth, Shape(8)),
        ),
    )
    return Deployment(name, fleet, guarantees, policy)


@dataclass(frozen=True)
class Workload:
    """The distributions from which kinds, organisations and times are drawn.

    Attributes:
        load: Requested accelerator-seconds, as a share of the capacity over the window.
        bad_workers: Workers of each cell that fail every task.
    """

    name: str
    load: float
    kinds: tuple[JobKind, ...] = KINDS
    shares: tuple[int, ...] = SHARES
    draw_time: Callable[[random.Random], float] = lambda rng: rng.uniform(
        0, WINDOW_SECONDS
    )
    cancelled_share: float = 0.0
    bad_workers: int = 0
    declared_factor: float = 10.0


def _scale(weights: dict[str, float]) -> tuple[JobKind, ...]:
    return tuple(
        replace(kind, weight=kind.weight * weights.get(kind.name, 1.0))
        for kind in KINDS
    )


def _draw_burst(rng: random.Random) -> float:
    burst = rng.choice((0.1, 0.4, 0.7)) * WINDOW_SECONDS
    if rng.random() < 0.2:
        return rng.uniform(0, WINDOW_SECONDS)
    return burst + rng.uniform(0, 120)


WORKLOADS = (
    Workload(
        "small_bursts", 0.9, _scale({"batch": 4, "caption": 3}), draw_time=_draw_burst
    ),
    Workload(
        "large_bursts", 0.9, _scale({"render": 3, "large": 4}), draw_time=_draw_burst
    ),
    Workload("skewed_demand", 1.0, shares=(85, 5, 5, 5)),
    Workload("long_and_short", 1.0, _scale({"preview": 3, "render": 2, "large": 2})),
    Workload("wrong_times", 1.2),
    Workload("cancellation_waves", 1.5, cancelled_share=0.5),
    Workload("failing_workers", 0.8, bad_workers=1),
    Workload("saturation", 3.0),
)


def draw_arrivals(
    deployment: Deployment, workload: Workload, seed: int
) -> list[Arrival]:
    """Draw the arrivals of a workload; equal arguments give equal arrivals."""
    rng = random.Random(f"{deployment.name} {workload.name} {seed}")
    home_cells = _find_home_cells(deployment)
    capacity = sum(worker.accelerators for worker in deployment.fleet.workers)
    left = workload.load * capacity * WINDOW_SECONDS
    arrivals = []
    while left > 0:
        arrival = _draw_arrival(deployment, workload, rng, home_cells, len(arrivals))
        left -= arrival.true_seconds * arrival.shape.accelerators
        arrivals.append(arrival)
    arrivals += _make_probes(deployment, rng)
    return sorted(arrivals, key=lambda each: (each.accepted_at, each.job_id))


def _find_home_cells(deployment: Deployment) -> dict[str, list[str]]:
    """Return the cells in which each organisation has guaranteed shapes."""
    assigned = assign_guarantees(deployment.fleet, deployment.guarantees)
    return {
        organisation: [
            cell
            for cell, units in assigned.items()
            if any(name == organisation for name, _ in units)
        ]
        for organisation in ORGANISATIONS
    }


def _draw_arrival(
    deployment: Deployment,
    workload: Workload,
    rng: random.Random,
    home_cells: dict[str, list[str]],
    index: int,
) -> Arrival:
    (organisation,) = rng.choices(ORGANISATIONS, workload.shares)
    (kind,) = rng.choices(workload.kinds, [each.weight for each in workload.kinds])
    seconds = rng.uniform(*kind.seconds)
    factor = workload.declared_factor ** rng.uniform(-1, 1)
    # Urgent work goes to its organisation's own cells; patient work anywhere.
    cells = (
        home_cells[organisation]
        if kind.urgent
        else [cell.name for cell in deployment.fleet.cells]
    )
    accepted_at = workload.draw_time(rng)
    cancelled_at = None
    if rng.random() < workload.cancelled_share and not kind.urgent:
        cancelled_at = (accepted_at // 1200 + 1) * 1200.0
    return Arrival(
        f"j{index:05}",
        organisation,
        f"{organisation}/{kind.name}",
        rng.choice(kind.shapes),
        Urgency.URGENT if kind.urgent else Urgency.PATIENT,
        kind.evictable,
        kind.checkpoints,
        accepted_at,
        seconds * factor,
        seconds,
        rng.choice(cells),
        cancelled_at,
    )


def _make_probes(deployment: Deployment, rng: random.Random) -> list[Arrival]:
    """Return requests of every organisation for its guaranteed shapes at intervals."""
    assigned = assign_guarantees(deployment.fleet, deployment.guarantees)
    probes = []
    for cell, units in assigned.items():
        for number, (organisation, shape) in enumerate(units):
            start = WARM_UP_SECONDS + rng.uniform(0, PROBE_SECONDS)
            while start < WINDOW_SECONDS:
                probes.append(
                    Arrival(
                        f"probe-{cell}-{number}-{int(start):05}",
                        organisation,
                        f"{organisation}/probe",
                        shape,
                        Urgency.URGENT,
                        True,
                        False,
                        start,
                        30.0,
                        30.0,
                        cell,
                        is_probe=True,
                    )
                )
                start += PROBE_SECONDS
    return probes

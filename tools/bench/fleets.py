"""Makes settings of any size for the benchmarks, structured like the examples."""

import hashlib

from primrosestile.state.fleet import Cell, FailureDomain, Fleet, Rack, Worker
from primrosestile.state.settings import Settings
from primrosestile.state.tenancy import (
    Guarantee,
    Guarantees,
    JobClass,
    Key,
    Kind,
    Policy,
    Shape,
    Team,
    Urgency,
)

WORKERS_PER_RACK = 8
TOKEN = "bench-token"
OPERATOR_TOKEN = "bench-operator"
TEAM = "team-0"
ORGANISATION = "organisation-0"


def hash_text(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()


def find_token(team: int) -> str:
    return str(team) if team else TOKEN


def make_classes() -> tuple[JobClass, ...]:
    return (
        JobClass("quote", Kind.REQUEST, Urgency.URGENT, expected_seconds=0.0),
        JobClass(
            "surcharge",
            Kind.REQUEST,
            Urgency.PATIENT,
            idempotent=False,
            expected_seconds=0.0,
        ),
        JobClass(
            "render",
            Kind.GANG,
            Urgency.PATIENT,
            checkpoints=True,
            expected_seconds=3600.0,
            shape=Shape(1),
        ),
    )


def make_fleet(workers: int, domains: int = 3, racks_per_cell: int = 1) -> Fleet:
    """Return a fleet of whole racks, spread evenly over the failure domains."""
    racks = max(domains, workers // WORKERS_PER_RACK)
    rack_list = tuple(
        Rack(f"rack-{number}", f"domain-{number % domains}") for number in range(racks)
    )
    cells = []
    for domain in range(domains):
        own = [rack.name for rack in rack_list[domain::domains]]
        cells += [
            Cell(f"cell-{domain}-{start}", tuple(own[start : start + racks_per_cell]))
            for start in range(0, len(own), racks_per_cell)
        ]
    return Fleet(
        failure_domains=tuple(
            FailureDomain(f"domain-{number}", f"region-{number % 8}")
            for number in range(domains)
        ),
        racks=rack_list,
        cells=tuple(cells),
        workers=tuple(
            Worker(
                f"worker-{number}",
                f"rack-{number // WORKERS_PER_RACK}",
                f"127.0.0.1:1/workers/worker-{number}",
            )
            for number in range(workers)
        ),
    )


def make_settings(
    workers: int, teams: int = 4, domains: int = 3, racks_per_cell: int = 1
) -> Settings:
    """Return settings of a size; the first team has the key `TOKEN`."""
    names = tuple(f"organisation-{number % 4}" for number in range(min(4, teams)))
    return Settings(
        fleet=make_fleet(workers, domains, racks_per_cell),
        guarantees=Guarantees(
            names, tuple(Guarantee(name, Shape(8)) for name in names)
        ),
        policy=Policy(
            operator_keys=(Key("operator", hash_text(OPERATOR_TOKEN), "operator"),)
        ),
        teams=tuple(
            Team(
                f"team-{number}",
                names[number % len(names)],
                1_000_000,
                make_classes(),
                (Key(f"key-{number}", hash_text(find_token(number))),),
            )
            for number in range(teams)
        ),
    )

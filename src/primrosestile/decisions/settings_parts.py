"""Splitting of settings into stored values, and assembly of the fleet from them.

A fleet of 15,000 workers is 2.5 MB of JSON, and the store allows one megabyte per
value. So the workers of each failure domain are a value of their own. Two values
cannot be changed atomically: a process may see the workers of a new rack before the
rack, and if two operators change both at once the values may stay inconsistent. A
gang placed on a worker that two cells count, or that none owns, would be lost or run
twice. So only workers that fit the fleet in force are used, and others are reported.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from typing import Any

from primrosestile.state.fleet import Fleet, Worker
from primrosestile.state.settings import (
    FLEET_PATH,
    GUARANTEES_PATH,
    POLICY_PATH,
    TEAMS_PREFIX,
    WORKERS_PREFIX,
)

WORKERS = "workers"


@dataclass(frozen=True, slots=True)
class ExcludedWorker:
    """A stored worker that is not used, since it does not fit the fleet.

    Attributes:
        path: Where it is stored, such as `workers/leith`.
        index: Its index in the list there.
        reason: Why it is not used.
    """

    path: str
    index: int
    reason: str


def assemble_fleet(
    fleet: Fleet, workers: Mapping[str, tuple[Worker, ...]]
) -> tuple[Fleet, tuple[ExcludedWorker, ...]]:
    """Return the fleet with the workers that fit it, and those that don't.

    Workers are in the order of their racks, whichever value was stored first.

    Args:
        fleet: As stored. Workers in it are of the older format with one value for
            all; they are used where their failure domain has no value of its own.
        workers: The stored workers of each failure domain.
    """
    domains = {rack.name: rack.failure_domain for rack in fleet.racks}
    in_racks: dict[str, list[Worker]] = {rack.name: [] for rack in fleet.racks}
    names: set[str] = set()
    excluded = []
    by_domain = {**_group_by_domain(fleet), **workers}
    for domain in sorted(by_domain):
        for index, worker in enumerate(by_domain[domain]):
            reason = ""
            if domains.get(worker.rack) != domain:
                reason = f"there is no rack {worker.rack!r} in this failure domain"
            elif worker.name in names:
                reason = f"worker {worker.name!r} is already listed"
            if reason:
                path = f"{WORKERS_PREFIX}{domain}"
                excluded.append(ExcludedWorker(path, index, reason))
                continue
            names.add(worker.name)
            in_racks[worker.rack].append(worker)
    fitting = tuple(worker for rack in in_racks.values() for worker in rack)
    return replace(fleet, workers=fitting), tuple(excluded)


def _group_by_domain(fleet: Fleet) -> dict[str, tuple[Worker, ...]]:
    domains = {rack.name: rack.failure_domain for rack in fleet.racks}
    grouped: dict[str, list[Worker]] = {}
    for worker in fleet.workers:
        if worker.rack in domains:
            grouped.setdefault(domains[worker.rack], []).append(worker)
    return {domain: tuple(found) for domain, found in grouped.items()}


def split_document(document: Mapping[str, Any]) -> Iterator[tuple[str, Any]]:
    """Yield each path of a checked document with its value.

    Values refer only to earlier ones, so they can be written one by one to an empty
    store in this order.
    """
    if FLEET_PATH in document:
        yield from _split_fleet(document[FLEET_PATH])
    for path in (GUARANTEES_PATH, POLICY_PATH):
        if path in document:
            yield path, document[path]
    for team in document.get("teams", ()):
        yield f"{TEAMS_PREFIX}{team['name']}", team


def _split_fleet(fleet: Mapping[str, Any]) -> Iterator[tuple[str, Any]]:
    yield FLEET_PATH, {key: fleet[key] for key in fleet if key != WORKERS}
    domains = map_racks(fleet)
    grouped: dict[str, list[Any]] = {
        domain["name"]: [] for domain in fleet.get("failure_domains", ())
    }
    for worker in fleet.get(WORKERS, ()):
        grouped[domains[worker["rack"]]].append(worker)
    for domain, workers in grouped.items():
        yield f"{WORKERS_PREFIX}{domain}", workers


def map_racks(fleet: Mapping[str, Any]) -> dict[str, str]:
    """Return the failure domain of each rack of a well-formed fleet section."""
    return {rack["name"]: rack["failure_domain"] for rack in fleet.get("racks", ())}


def list_load_steps(
    document: Mapping[str, Any], stored: Mapping[str, Any]
) -> list[tuple[str, Any]]:
    """Return the changes that turn stored settings into a document, in order.

    Each step must be valid by itself. A rack must be empty before it is removed from
    the fleet, and a new one must exist before its workers. So the workers of racks
    that keep their failure domain come first, then the fleet, then all workers.

    Args:
        document: A checked settings document.
        stored: The stored value of each path; None for a removed one.

    Returns:
        Paths with values; None removes one. A path may occur twice, and a value may
        equal the stored one.
    """
    wanted = dict(split_document(document))
    steps: list[tuple[str, Any]] = []
    if FLEET_PATH in wanted:
        racks = map_racks(stored.get(FLEET_PATH) or {})
        for path in (each for each in wanted if each.startswith(WORKERS_PREFIX)):
            domain = path.removeprefix(WORKERS_PREFIX)
            staying = [w for w in wanted[path] if racks.get(w["rack"]) == domain]
            if staying or stored.get(path):
                steps.append((path, staying))
        for path, value in stored.items():
            if path.startswith(WORKERS_PREFIX) and value and path not in wanted:
                steps.append((path, None))
    return steps + list(wanted.items())

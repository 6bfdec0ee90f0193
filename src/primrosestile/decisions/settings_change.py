"""Validation of a change to one stored path.

The change is checked within the whole settings document: a removed rack may hold
workers stored at another path, and a guarantee may need a removed worker. Checks of
each path alone would accept changes that make the whole invalid.
"""

import json
import re
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

import msgspec

from primrosestile.decisions.settings_check import (
    Fault,
    affects_guarantee_capacity,
    check_raw,
    read_json,
)
from primrosestile.decisions.settings_parts import WORKERS, ExcludedWorker, map_racks
from primrosestile.state.settings import (
    FLEET_PATH,
    GUARANTEES_PATH,
    POLICY_PATH,
    TEAMS_PREFIX,
    WORKERS_PREFIX,
    Settings,
)

SECTIONS = (FLEET_PATH, GUARANTEES_PATH, POLICY_PATH)
WORKER_IN_FLEET = re.compile(r"fleet\.workers\[(\d+)\]")


@dataclass(frozen=True, slots=True)
class _Change:
    """A change of one path within the whole document.

    Attributes:
        place: Path prefix of the changed part, as in reported faults.
        faults: Faults of the change itself, which checks of the document miss.
        index_offset: Number of workers listed before those of the changed path.
    """

    before: dict[str, Any]
    after: dict[str, Any]
    place: str
    faults: tuple[Fault, ...] = ()
    index_offset: int = 0


class _Refused(Exception):
    """The change cannot be applied to the document."""

    def __init__(self, path: str, reason: str, remedy: str) -> None:
        super().__init__(reason)
        self.fault = Fault(path, reason, remedy)


def check_change(settings: Settings, path: str, value: str) -> tuple[Fault, ...]:
    """Return the faults that a change of one path would cause.

    Existing faults of other paths are left out: they must not keep an operator from
    repairing settings one path at a time.

    Args:
        settings: The settings in force.
        path: `fleet`, `workers/<failure domain>`, `guarantees`, `policy` or
            `teams/<team>`.
        value: The new value as JSON text; `null` removes a team, or all workers
            of a failure domain.
    """
    section, faults = read_json(value.encode())
    if faults:
        return faults
    try:
        change = _make_change(settings, path, section)
    except _Refused as refused:
        return (refused.fault,)
    with_capacity = affects_guarantee_capacity(path)
    found = tuple(
        _translate_to_sent_path(each, path, change.index_offset)
        for each in check_raw(change.after, with_capacity)
    )
    own = [each for each in found if each.path.startswith(change.place)]
    if len(own) < len(found):
        known = frozenset(check_raw(change.before, with_capacity))
        own = [each for each in found if each in own or each not in known]
    return change.faults + tuple(own)


def describe_excluded_worker(excluded: ExcludedWorker) -> Fault:
    """Return the fault that reports an excluded worker."""
    return Fault(
        f"{excluded.path}[{excluded.index}]",
        f"the worker is ignored: {excluded.reason}",
        "Remove it there, or add its rack to the fleet.",
    )


def _make_change(settings: Settings, path: str, section: Any) -> _Change:
    before = json.loads(msgspec.json.encode(settings))
    if path == FLEET_PATH:
        return _change_fleet(before, section)
    if path in SECTIONS:
        return _Change(before, {**before, path: section}, path)
    if path.startswith(WORKERS_PREFIX):
        return _change_workers(before, path, section)
    if path.startswith(TEAMS_PREFIX) and path != TEAMS_PREFIX:
        return _change_team(before, path, section)
    known = ", ".join(SECTIONS)
    remedy = f"Use {known}, workers/<failure domain> or teams/<team>."
    raise _Refused(path, "there is no such path", remedy)


def _change_fleet(before: dict[str, Any], section: Any) -> _Change:
    if not isinstance(section, dict):
        return _Change(before, {**before, FLEET_PATH: section}, FLEET_PATH)
    if WORKERS in section:
        remedy = "Put the workers of each failure domain at workers/<failure domain>."
        raise _Refused("fleet.workers", "workers aren't stored at this path", remedy)
    fleet = before[FLEET_PATH]
    after = {**before, FLEET_PATH: {**section, WORKERS: fleet[WORKERS]}}
    return _Change(before, after, FLEET_PATH, _find_moved_racks(fleet, section))


def _find_moved_racks(
    fleet: Mapping[str, Any], section: Mapping[str, Any]
) -> tuple[Fault, ...]:
    """Return a fault for each rack whose move separates it from its workers.

    The workers would still be stored under the rack's old failure domain, and so be
    excluded everywhere without an error.
    """
    racks = map_racks(fleet)
    used = {worker["rack"] for worker in fleet[WORKERS]}
    moved = []
    listed = section.get("racks")
    for i, rack in enumerate(listed if isinstance(listed, list) else ()):
        name = rack.get("name") if isinstance(rack, dict) else None
        if not isinstance(name, str) or name not in used:
            continue
        domain = racks[name]
        if rack.get("failure_domain") != domain:
            reason = f"the rack moves but its workers are at workers/{domain}"
            remedy = "Remove them there, move the rack, then put them at the new path."
            moved.append(Fault(f"fleet.racks[{i}].failure_domain", reason, remedy))
    return tuple(moved)


def _change_workers(before: dict[str, Any], path: str, section: Any) -> _Change:
    fleet = before[FLEET_PATH]
    domain = path.removeprefix(WORKERS_PREFIX)
    if domain not in {each["name"] for each in fleet["failure_domains"]}:
        reason = f"there is no failure domain {domain!r}"
        raise _Refused(path, reason, "Add it to the fleet first, or check the name.")
    if not isinstance(section, list | None):
        raise _Refused(path, "it is not a list of workers", "Write a list of workers.")
    section = section or []
    racks = map_racks(fleet)
    others = [each for each in fleet[WORKERS] if racks.get(each["rack"]) != domain]
    own = [each for each in fleet[WORKERS] if racks.get(each["rack"]) == domain]
    return _Change(
        _replace_workers(before, others + own),
        _replace_workers(before, others + section),
        f"{path}[",
        _find_misplaced(path, domain, racks, section),
        len(others),
    )


def _replace_workers(document: dict[str, Any], workers: list[Any]) -> dict[str, Any]:
    return {**document, FLEET_PATH: {**document[FLEET_PATH], WORKERS: workers}}


def _find_misplaced(
    path: str, domain: str, racks: Mapping[str, str], workers: list[Any]
) -> tuple[Fault, ...]:
    faults = []
    for i, worker in enumerate(workers):
        rack = worker.get("rack") if isinstance(worker, dict) else None
        found = racks.get(rack, domain) if isinstance(rack, str) else domain
        if found != domain:
            reason = f"rack {rack!r} is in failure domain {found!r}"
            remedy = f"Put this worker at workers/{found}."
            faults.append(Fault(f"{path}[{i}].rack", reason, remedy))
    return tuple(faults)


def _translate_to_sent_path(fault: Fault, path: str, index_offset: int) -> Fault:
    """Return a fault with the paths of workers as in the operator's request."""
    if not path.startswith(WORKERS_PREFIX):
        return fault

    def rename(found: re.Match[str]) -> str:
        index = int(found[1]) - index_offset
        return f"{path}[{index}]" if index >= 0 else found[0]

    return replace(
        fault,
        path=WORKER_IN_FLEET.sub(rename, fault.path),
        reason=WORKER_IN_FLEET.sub(rename, fault.reason),
    )


def _change_team(before: dict[str, Any], path: str, section: Any) -> _Change:
    name = path.removeprefix(TEAMS_PREFIX)
    teams = list(before["teams"])
    names = [team["name"] for team in teams]
    if section is None:
        if name not in names:
            reason = "there is no such team to remove"
            raise _Refused(path, reason, "Check the name.")
        # Nothing refers to a team, so its removal causes no other fault.
        return _Change(before, before, path)
    if isinstance(section, dict) and section.get("name") != name:
        reason = "the team's name differs from its path"
        raise _Refused(path, reason, f"Set name to {name!r}, or change the path.")
    index = names.index(name) if name in names else len(names)
    teams[index : index + 1] = [section]
    return _Change(before, {**before, "teams": teams}, f"teams[{index}]")

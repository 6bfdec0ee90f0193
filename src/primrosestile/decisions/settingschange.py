"""Find the faults that a change of one stored path would bring.

A path is checked within the whole picture: a rack that leaves may hold workers
that stand at another path, and a worker that leaves may be what a guarantee needs.
Were each path checked alone, each change would look sound and the whole would not.
"""

import json
import re
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

import msgspec

from primrosestile.decisions.settingscheck import (
    Fault,
    check_raw,
    needs_rooms,
    read_json,
)
from primrosestile.decisions.settingsparts import WORKERS, LeftOut, map_racks
from primrosestile.state.settings import (
    FLEET_PATH,
    GUARANTEES_PATH,
    POLICY_PATH,
    TEAMS_PREFIX,
    WORKERS_PREFIX,
    Settings,
)

SECTIONS = (FLEET_PATH, GUARANTEES_PATH, POLICY_PATH)
PLACE_IN_FLEET = re.compile(r"fleet\.workers\[(\d+)\]")


@dataclass(frozen=True, slots=True)
class _Change:
    """A change of one path within the whole document.

    Attributes:
        place: Where the changed part stands in a document.
        faults: Of the change itself, that the document can't show.
        shift: How many workers stand before those of the changed path.
    """

    before: dict[str, Any]
    after: dict[str, Any]
    place: str
    faults: tuple[Fault, ...] = ()
    shift: int = 0


class _Refused(Exception):
    """The change can't even be put into the document."""

    def __init__(self, path: str, reason: str, remedy: str) -> None:
        super().__init__(reason)
        self.fault = Fault(path, reason, remedy)


def check_change(settings: Settings, path: str, value: str) -> tuple[Fault, ...]:
    """Return the faults that a change of one path would bring.

    Faults of other paths that stood before the change are left out: they may
    not stop an operator from mending settings one path at a time.

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
    rooms = needs_rooms(path)
    found = tuple(
        _name_as_sent(each, path, change.shift)
        for each in check_raw(change.after, rooms)
    )
    own = [each for each in found if each.path.startswith(change.place)]
    if len(own) < len(found):
        known = frozenset(check_raw(change.before, rooms))
        own = [each for each in found if each in own or each not in known]
    return change.faults + tuple(own)


def describe_left_out(left_out: LeftOut) -> Fault:
    """Return a stored worker that does not count as a fault."""
    return Fault(
        f"{left_out.path}[{left_out.index}]",
        f"the worker is left out: {left_out.reason}",
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
        raise _Refused("fleet.workers", "workers don't stand at this path", remedy)
    fleet = before[FLEET_PATH]
    after = {**before, FLEET_PATH: {**section, WORKERS: fleet[WORKERS]}}
    return _Change(before, after, FLEET_PATH, _find_moved_racks(fleet, section))


def _find_moved_racks(
    fleet: Mapping[str, Any], section: Mapping[str, Any]
) -> tuple[Fault, ...]:
    """Return a fault for each rack that leaves its workers in another domain.

    They would no longer stand where the workers of their failure domain are
    looked for, and would be left out everywhere without a word.
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
            reason = f"the rack moves while its workers stand at workers/{domain}"
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
        raise _Refused(path, "it is no list of workers", "Write a list of workers.")
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


def _name_as_sent(fault: Fault, path: str, shift: int) -> Fault:
    """Return a fault with the places of workers as the operator sent them."""
    if not path.startswith(WORKERS_PREFIX):
        return fault

    def rename(found: re.Match[str]) -> str:
        index = int(found[1]) - shift
        return f"{path}[{index}]" if index >= 0 else found[0]

    return replace(
        fault,
        path=PLACE_IN_FLEET.sub(rename, fault.path),
        reason=PLACE_IN_FLEET.sub(rename, fault.reason),
    )


def _change_team(before: dict[str, Any], path: str, section: Any) -> _Change:
    name = path.removeprefix(TEAMS_PREFIX)
    teams = list(before["teams"])
    names = [team["name"] for team in teams]
    if section is None:
        if name not in names:
            reason = "there is no such team to remove"
            raise _Refused(path, reason, "Check the name.")
        # Nothing refers to a team, so no other fault can come from its removal.
        return _Change(before, before, path)
    if isinstance(section, dict) and section.get("name") != name:
        reason = "the team's name differs from its path"
        raise _Refused(path, reason, f"Set name to {name!r}, or change the path.")
    index = names.index(name) if name in names else len(names)
    teams[index : index + 1] = [section]
    return _Change(before, {**before, "teams": teams}, f"teams[{index}]")

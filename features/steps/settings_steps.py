"""Steps for checks of settings documents."""

import json
import re
from dataclasses import replace
from typing import Any

import msgspec
from behave import given, then, when
from features.settings.doubles import (
    encode_text,
    read_example,
    read_example_settings,
)
from hypothesis import given as for_all, settings as fuzz_settings, strategies as st

from primrosestile.coordination.setting_store import encode_stored
from primrosestile.coordination.settings_follower import make_follower
from primrosestile.decisions.settings_change import check_change
from primrosestile.decisions.settings_check import check_document
from primrosestile.decisions.settings_parts import list_load_steps, split_document
from primrosestile.state.settings import Settings, StoredSetting
from primrosestile_standin.store import MemoryStore


def split_place(place: str) -> list[str | int]:
    parts = re.findall(r"[^.\[\]]+", place)
    return [int(part) if part.isdigit() else part for part in parts]


def change_place(document: Any, place: list[str | int], value: Any) -> None:
    for part in place[:-1]:
        document = document[part]
    document[place[-1]] = value


@given("the settings file of the {name} example")
def give_example(context: Any, name: str) -> None:
    context.document = read_example(name)


@given("in it {place} is {value}")
def give_value(context: Any, place: str, value: str) -> None:
    change_place(context.document, split_place(place), json.loads(value))


@given("the settings text {text}")
def give_text(context: Any, text: str) -> None:
    context.settings_text = text


@when("the settings file is checked")
def check_file(context: Any) -> None:
    text = getattr(context, "settings_text", None) or json.dumps(context.document)
    context.faults = check_document(text.encode())


@then("no settings fault is found")
def find_none(context: Any) -> None:
    assert context.faults == (), context.faults


@then("some settings fault is found")
def find_some(context: Any) -> None:
    assert context.faults


@then("the settings faults are exactly at")
def find_exactly(context: Any) -> None:
    found = {fault.path for fault in context.faults}
    assert found == {row["path"] for row in context.table}, context.faults


@then("each settings fault has a remedy")
def find_remedies(context: Any) -> None:
    for fault in context.faults:
        assert fault.reason and fault.remedy.endswith("."), fault


@then("a settings fault is at {path}")
def find_at(context: Any, path: str) -> None:
    assert path in {fault.path for fault in context.faults}, context.faults


@then('no settings fault shows "{text}"')
def find_no_text(context: Any, text: str) -> None:
    assert text not in repr(context.faults)


ANY_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=4),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(["name", "racks", "shape", "x"]), inner)
    ),
    max_leaves=6,
)


def list_places(value: Any, place: tuple[str | int, ...] = ()) -> list[Any]:
    inner: Any = ()
    if isinstance(value, dict):
        inner = value.items()
    if isinstance(value, list):
        inner = enumerate(value)
    places = [place] if place else []
    return places + [each for k, v in inner for each in list_places(v, (*place, k))]


@then("checking a settings file with any JSON at any place gives faults or none")
def fuzz_check(context: Any) -> None:
    places = list_places(read_example("thistlegate"))

    @fuzz_settings(derandomize=True, max_examples=150, deadline=None, database=None)
    @for_all(st.lists(st.tuples(st.sampled_from(places), ANY_JSON), max_size=3))
    def check(changes: list[tuple[list[str | int], Any]]) -> None:
        document = read_example("thistlegate")
        for place, value in sorted(changes, key=lambda each: -len(each[0])):
            change_place(document, place, value)
        faults = check_document(json.dumps(document).encode())
        assert len(set(faults)) == len(faults)
        assert all(fault.remedy for fault in faults)

    check()


@given("the settings file of the {name} example in force")
def give_settings(context: Any, name: str) -> None:
    context.settings = read_example_settings(name)


@given("team {name} in force has an unknown organisation")
def give_faulty_team(context: Any, name: str) -> None:
    teams = context.settings.teams
    changed = [
        replace(team, organisation="unknown") if team.name == name else team
        for team in teams
    ]
    context.settings = replace(context.settings, teams=tuple(changed))


def check_quota(context: Any, path: str, quota: str) -> Any:
    team = context.settings.find_team(path.split("/")[1])
    changed = replace(team, quota_accelerators=int(quota))
    value = encode_text(changed)
    return check_change(context.settings, path, value)


@then("changing {path} to quota {quota} is accepted")
def accept_change(context: Any, path: str, quota: str) -> None:
    assert check_quota(context, path, quota) == ()


@then("changing {path} to quota {quota} is refused")
def refuse_change(context: Any, path: str, quota: str) -> None:
    assert check_quota(context, path, quota)


@then("removing the organisation {name} is refused at {path}")
def refuse_removal(context: Any, name: str, path: str) -> None:
    guarantees = context.settings.guarantees
    left = tuple(each for each in guarantees.organisations if each != name)
    changed = replace(guarantees, organisations=left)
    value = encode_text(changed)
    faults = check_change(context.settings, "guarantees", value)
    assert path in {fault.path for fault in faults}, faults


@when("the workers of osborne are to be changed so that {change}")
def change_workers(context: Any, change: str) -> None:
    fleet = context.settings.fleet
    workers = msgspec.to_builtins(fleet.workers_of(fleet.cells[0]))
    numbers = {"first": 0, "second": 1, "third": 2, "fourth": 3}
    words = change.split()
    if change == "all are gone":
        workers = None
    elif change == "it is not a list":
        workers = {}
    elif "rack" in words:
        workers[numbers[words[1]]]["rack"] = words[-1]
    elif "named" in words:
        workers[numbers[words[1]]]["name"] = words[-1]
    else:
        workers[numbers[words[1]]]["address"] = workers[numbers[words[-1]]]["address"]
    value = encode_text(workers)
    context.faults = check_change(context.settings, "workers/osborne", value)


@then("the change of workers has a fault at {path}")
def find_workers_fault(context: Any, path: str) -> None:
    assert path in {fault.path for fault in context.faults}, context.faults
    assert not any("fleet.workers" in fault.path for fault in context.faults)


def read_fleet_value(context: Any) -> dict[str, Any]:
    return dict(split_document(msgspec.to_builtins(context.settings)))["fleet"]


def refuse_fleet(context: Any, fleet: Any, path: str) -> None:
    faults = check_change(context.settings, "fleet", encode_text(fleet))
    assert path in {fault.path for fault in faults}, faults


@then("a fleet with its workers in it is refused at {path}")
def refuse_whole(context: Any, path: str) -> None:
    assert (
        check_change(context.settings, "fleet", encode_text(read_fleet_value(context)))
        == ()
    )
    refuse_fleet(context, context.settings.fleet, path)


@then("a fleet whose osborne rack is gone is refused at {path}")
def refuse_gone(context: Any, path: str) -> None:
    fleet = read_fleet_value(context)
    fleet["racks"], fleet["cells"] = fleet["racks"][1:], fleet["cells"][1:]
    refuse_fleet(context, fleet, path)


@then("a fleet whose osborne rack moves is refused at {path}")
def refuse_moved(context: Any, path: str) -> None:
    fleet = read_fleet_value(context)
    fleet["racks"][0]["failure_domain"] = "malaga"
    refuse_fleet(context, fleet, path)


def add_spare(document: Any, domain: str) -> Any:
    """Return a document with a spare rack and worker, in a cell of their own."""
    fleet = document["fleet"]
    rack = {"name": "spare-rack", "failure_domain": domain}
    worker = {"name": "spare-1", "rack": "spare-rack", "address": "10.9.9.9:8000"}
    cell = {"name": "spare-cell", "racks": ["spare-rack"]}
    more = {"racks": rack, "workers": worker, "cells": cell}
    grown = {key: [*fleet[key], more[key]] for key in more}
    return {**document, "fleet": {**fleet, **grown}}


@then("loading a file in which a spare rack of osborne was added and moved is accepted")
def load_moved(context: Any) -> None:
    example = read_example("domeworks")
    stored = dict(split_document(example))
    follower = make_follower(MemoryStore(), "follower")
    revision = 0
    put_values(follower, stored.items(), revision)
    documents = (add_spare(example, "osborne"), add_spare(example, "malaga"), example)
    for document in documents:
        for path, value in list_load_steps(document, stored):
            if stored.get(path) == value:
                continue
            revision += 1
            text = encode_text(value)
            faults = check_change(follower.settings, path, text)
            assert faults == (), (path, faults)
            stored[path] = value
            put_values(follower, [(path, value)], revision)
            assert follower.excluded_workers == ()
        wanted = msgspec.convert(document, Settings).fleet
        assert set(follower.settings.fleet.workers) == set(wanted.workers)
        assert follower.settings.fleet.racks == wanted.racks


def put_values(follower: Any, values: Any, revision: int) -> None:
    stored = {
        path: encode_stored(StoredSetting(revision + 1, encode_text(value)))
        for path, value in values
    }
    assert follower.apply(stored)

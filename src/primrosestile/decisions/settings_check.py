"""Validation of a settings document that reports all faults at once.

With one reported fault at a time an operator needs as many attempts as there are
faults, perhaps during an incident. So pydantic checks the structure and reports
every mismatch, and the rules on names and bounds check the raw document, so that one
malformed worker does not hide a malformed guarantee. Only the rules that need whole
records require a valid structure.
"""

import json
import re
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import msgspec
from pydantic import BaseModel, ConfigDict, ValidationError

from primrosestile.decisions.settings_field_rules import (
    NUMBERS,
    REFERENCES,
    TEXTS,
    UNIQUES,
    UniqueRule,
)
from primrosestile.decisions.settings_record_rules import find_record_faults
from primrosestile.state.settings import (
    FLEET_PATH,
    GUARANTEES_PATH,
    WORKERS_PREFIX,
    Settings,
)

Place = tuple[str | int, ...]

CAPACITY_SECTIONS = (FLEET_PATH, GUARANTEES_PATH)
PAGE = "docs/settings.md"
# Remedies for pydantic's error types, whose own messages do not name one.
REMEDIES = {
    "unexpected_keyword_argument": f"Remove the key, or correct its name by {PAGE}.",
    "missing": "Add the key.",
    "enum": "Use one of the values named.",
    "int_type": "Write a whole number without quotes.",
    "int_from_float": "Write a whole number.",
    "float_type": "Write a number without quotes.",
    "finite_number": "Write a finite number.",
    "bool_type": "Write true or false without quotes.",
    "string_type": "Write a text in quotes.",
    "tuple_type": "Write a list in square brackets.",
    "dataclass_type": "Write an object in curly brackets.",
}


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a settings document.

    Attributes:
        path: Its place in the document, such as `fleet.workers[3].rack`.
        reason: What is wrong there.
        remedy: What to do next, as a sentence.
    """

    path: str
    reason: str
    remedy: str


class _Document(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True, allow_inf_nan=False)

    document: Settings


def check_document(data: bytes) -> tuple[Fault, ...]:
    """Return each fault of a whole settings document; none means it is valid."""
    raw, faults = read_json(data)
    if faults:
        return faults
    return check_raw(raw)


def check_settings(settings: Settings, path: str) -> tuple[Fault, ...]:
    """Return each fault of settings in force that a change of `path` can cause."""
    document = json.loads(msgspec.json.encode(settings))
    return check_raw(document, affects_guarantee_capacity(path))


def read_json(data: bytes) -> tuple[Any, tuple[Fault, ...]]:
    """Return the parsed JSON, and its faults."""
    repeated: list[str] = []

    def build_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        names = [name for name, _ in pairs]
        repeated.extend(name for name in set(names) if names.count(name) > 1)
        return dict(pairs)

    try:
        raw = json.loads(data, object_pairs_hook=build_object)
    except (ValueError, RecursionError) as error:
        remedy = "Correct the JSON there; no comments and no trailing commas."
        return None, (Fault("", f"it is not JSON: {error}", remedy),)
    # Most parsers silently keep one of two equal keys, so the operator's other value
    # would be lost.
    return raw, tuple(
        Fault(name, "the key occurs twice in one object", "Keep one of them.")
        for name in sorted(repeated)
    )


def affects_guarantee_capacity(path: str) -> bool:
    """Whether a change of a path can affect whether the guarantees fit the fleet.

    Checking that every guarantee fits takes long in a large fleet, so it is skipped
    for all other paths.
    """
    return path in CAPACITY_SECTIONS or path.startswith(WORKERS_PREFIX)


def check_raw(raw: Any, with_capacity: bool = True) -> tuple[Fault, ...]:
    """Return each fault of a document, which may be any JSON value.

    Whether the fleet can hold all guarantees is checked `with_capacity` only.
    """
    whole, faults = _check_structure(raw)
    faults += _check_numbers(raw)
    faults += _check_texts(raw)
    faults += _check_uniques(raw)
    faults += _check_references(raw)
    if whole is not None:
        # This check needs a fleet and guarantees without other faults.
        capacity_checkable = with_capacity and not any(
            fault.path.startswith(CAPACITY_SECTIONS) for fault in faults
        )
        faults += [
            Fault(*each) for each in find_record_faults(whole, capacity_checkable)
        ]
    return tuple(faults)


def _check_structure(raw: Any) -> tuple[Settings | None, list[Fault]]:
    try:
        text = json.dumps({"document": raw})
        return _Document.model_validate_json(text).document, []
    except ValidationError as error:
        return None, [_describe(each) for each in error.errors(include_url=False)]


def _describe(error: Any) -> Fault:
    remedy = REMEDIES.get(error["type"], f"Correct it by {PAGE}.")
    return Fault(format_place(error["loc"][1:]), error["msg"], remedy)


def _check_numbers(raw: Any) -> list[Fault]:
    faults = []
    for rule in NUMBERS:
        for place, value in _select(raw, rule.pattern):
            if isinstance(value, bool) or not isinstance(value, int | float):
                continue
            if rule.low <= value <= rule.high:
                continue
            reason = f"{value:g} {rule.unit} is out of range ({rule.meaning})"
            remedy = f"Use {rule.low:g} to {rule.high:g} {rule.unit}."
            faults.append(Fault(format_place(place), reason, remedy))
    return faults


def _check_texts(raw: Any) -> list[Fault]:
    faults = []
    for rule in TEXTS:
        for place, value in _select(raw, rule.pattern):
            if not isinstance(value, str) or re.fullmatch(rule.expression, value):
                continue
            # The text is not repeated: it may be a token that was entered in
            # place of its hash.
            reason = f"the text is not a valid {rule.meaning}"
            faults.append(Fault(format_place(place), reason, f"Use {rule.form}."))
    return faults


def _check_uniques(raw: Any) -> list[Fault]:
    return [fault for rule in UNIQUES for fault in _check_unique(raw, rule)]


def _check_unique(raw: Any, rule: UniqueRule) -> Iterator[Fault]:
    seen: dict[tuple[Place, str], list[Place]] = {}
    for pattern in rule.patterns:
        for place, value in _select(raw, pattern):
            if isinstance(value, str):
                seen.setdefault((place[: rule.scope], value), []).append(place)
    for (_, value), places in seen.items():
        for place in places[rule.most :]:
            first = format_place(places[0])
            # A secret is not repeated: it may be a token in place of its hash.
            name = rule.meaning if rule.secret else f"{rule.meaning} {value!r}"
            reason = f"{name} is already used at {first}"
            yield Fault(format_place(place), reason, "Remove or rename one of them.")


def _check_references(raw: Any) -> list[Fault]:
    faults = []
    for rule in REFERENCES:
        known = {value for _, value in _select(raw, rule.target) if _is_text(value)}
        for place, value in _select(raw, rule.pattern):
            if not _is_text(value) or value in known:
                continue
            reason = f"there is no {rule.noun} {value!r}"
            remedy = f"Use a name that stands under {rule.target}, or add it there."
            faults.append(Fault(format_place(place), reason, remedy))
    return faults


def _is_text(value: Any) -> bool:
    return isinstance(value, str)


def _select(raw: Any, pattern: str) -> Iterator[tuple[Place, Any]]:
    """Yield the place and value of each field that matches a pattern.

    Missing fields and those of another type are skipped; the structure check has
    reported them already.
    """
    found: list[tuple[Place, Any]] = [((), raw)]
    for part in pattern.split("."):
        found = [inner for place, value in found for inner in _step(place, value, part)]
    yield from found


def _step(place: Place, value: Any, part: str) -> Iterator[tuple[Place, Any]]:
    if part == "*":
        if isinstance(value, list):
            yield from (((*place, i), item) for i, item in enumerate(value))
    elif isinstance(value, dict) and part in value:
        yield (*place, part), value[part]


def format_place(place: Place) -> str:
    """Return a place in a document as text, such as `fleet.workers[3].rack`."""
    text = ""
    for part in place:
        text += f"[{part}]" if isinstance(part, int) else f".{part}"
    return text.removeprefix(".")

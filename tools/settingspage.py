"""Generates docs/settings.md from the settings' data classes and the check tables.

    python -m tools.settingspage

A setting that is missing on the page can't be found by operators, and a wrong bound
leads to a refused change; a feature checks that the page agrees with the code.
"""

import dataclasses
import inspect
import re
import types
import typing
from collections.abc import Iterator
from enum import Enum
from pathlib import Path
from typing import Any

from primrosestile.decisions.settings_field_rules import (
    NUMBERS,
    REFERENCES,
    TEXTS,
    TextRule,
)
from primrosestile.platform.settings import SCHEDULING_PREFIX
from primrosestile.state.process import ProcessSettings
from primrosestile.state.scheduling import SchedulingSettings, Switch
from primrosestile.state.settings import Settings

PAGE = Path(__file__).resolve().parent.parent / "docs" / "settings.md"

INTRODUCTION = """\
# Settings

Generated from the code by `python -m tools.settingspage`.

Operators' settings are stored in the platform's store under the paths `fleet`,
`workers/<failure domain>`, `guarantees`, `policy` and `teams/<team>`, one value for
each. A settings file holds all of them in one JSON document; `examples/` has one for
each deployment, and `primrosestile settings check FILE` shows every fault of such a
file.

In a file all workers are in `fleet.workers`. In the store, `fleet` has no workers, and
`workers/<failure domain>` is the list of those whose racks are in that failure domain.
Workers are stored by failure domain for these reasons:

- The store holds a megabyte a value, and 15,000 workers are 2.5 MB of JSON. Those of
  one of 19 failure domains are about 0.12 MB, and a value also holds the audit entry
  of its latest change, with the list before and after.
- A failure domain is built, moved and emptied as a whole, so most changes are of one
  value and don't conflict with others. By rack or by worker there would be thousands
  of paths, each with a revision that all processes compare every two seconds.
- A path for each region would be too large: one region may hold most of the fleet.

The drawback is that a rack and its workers are not changed together. A worker is used
only once its rack is in `fleet` with that failure domain, and only at one path; until
then it is left out and named in a warning, and all other workers are used.

In the tables, `[]` means each item of a list. A setting without a default must be
given. A key that is not listed here is a fault, and so is a key that occurs twice.

Besides the bounds in the tables, these rules hold:

- Names are unique within their kind, and each rack is in exactly one cell.
- A rack's failure domain, a cell's and a worker's racks, and the organisation of a
  team or guarantee must exist.
- The racks of a cell are in one failure domain.
- All guarantees can still be assembled when any one failure domain, or any one rack,
  is lost.
- A gang class has a shape that one worker, rack or cell can hold; a request class has
  neither a shape nor checkpoints, and a deadline that is not below its expected run
  time.
- A holder has at most two keys with the same name, so that one can replace the other
  without a gap. A key is kept as the SHA-256 of its token only.
- Not both weights of the policy are 0.
"""

PROCESS = """\

## Settings of one process

Each program reads one small JSON file, named by `--settings`. Nothing in it changes
while the process runs.
"""

SCHEDULING = """\

## Scheduling features of a node

`primrosestile-node` reads the settings file that the platform gives it. These lines of
it are the operators' own, in the form `scheduling.NAME=VALUE`. An unknown name or value
is an error, and nothing changes while the process runs. Write the same lines for all
VMs: the owner decides by its own file, and any VM may own the fleet.

With `auto` a feature decides by the deployment's configuration, as the table says.
"""

SCHEDULING_HEAD = [
    "| line | values | default | meaning | with `auto` |",
    "|---|---|---|---|---|",
]

# In the docstring of a switch, what follows is its rule.
AUTO_MARK = "`auto`:"

HEAD = ["| setting | type | default | bounds | meaning |", "|---|---|---|---|---|"]


def render_page() -> str:
    parts = [INTRODUCTION]
    for field in dataclasses.fields(Settings):
        lines = list(HEAD)
        lines += list_rows(get_types(Settings)[field.name], field.name)
        parts.append(f"\n## `{field.name}`\n\n" + "\n".join(lines) + "\n")
    rows = [*HEAD, *list_rows(ProcessSettings, "")]
    parts += PROCESS, "\n", "\n".join(rows), "\n"
    rows = [*SCHEDULING_HEAD, *list_switches()]
    parts += SCHEDULING, "\n", "\n".join(rows), "\n"
    return "".join(parts)


def list_switches() -> Iterator[str]:
    """Yield a row for each scheduling feature that can be switched."""
    meanings = read_meanings(SchedulingSettings)
    for name, kind in get_types(SchedulingSettings).items():
        if kind is not Switch:
            continue
        meaning, _, rule = meanings[name].partition(AUTO_MARK)
        default = SchedulingSettings.__dataclass_fields__[name].default
        cells = (
            f"`{SCHEDULING_PREFIX}{name}`",
            describe_type(kind),
            default.value,
            meaning.strip(),
            rule.strip(),
        )
        yield "| " + " | ".join(cells) + " |"


def get_types(kind: type) -> dict[str, Any]:
    return typing.get_type_hints(kind)


def list_rows(kind: Any, place: str) -> Iterator[str]:
    """Yield a row for each scalar setting within a type."""
    inner, is_list = unwrap(kind)
    if is_list:
        place += "[]"
    if not dataclasses.is_dataclass(inner):
        return
    meanings = read_meanings(inner)
    for field in dataclasses.fields(inner):
        field_kind, field_list = unwrap(get_types(inner)[field.name])
        path = f"{place}.{field.name}".removeprefix(".")
        if dataclasses.is_dataclass(field_kind):
            yield from list_rows(get_types(inner)[field.name], path)
            continue
        path += "[]" if field_list else ""
        yield render_row(path, field, field_kind, meanings.get(field.name, ""))


def unwrap(kind: Any) -> tuple[Any, bool]:
    """Return the item type of a tuple or the type within `| None`; True for a tuple."""
    arguments = typing.get_args(kind)
    if typing.get_origin(kind) is tuple:
        return arguments[0], True
    if isinstance(kind, types.UnionType):
        return arguments[0], False
    return kind, False


def render_row(path: str, field: Any, kind: Any, meaning: str) -> str:
    pattern = path.replace("[]", ".*")
    bounds, rule_meaning = find_rule(pattern)
    default = describe_default(field)
    if any(rule.pattern == pattern and not allows(rule, default) for rule in TEXTS):
        default = ""
    cells = (
        f"`{path}`",
        describe_type(kind),
        default,
        bounds,
        meaning or rule_meaning,
    )
    return "| " + " | ".join(cell.replace("|", "\\|") for cell in cells) + " |"


def find_rule(pattern: str) -> tuple[str, str]:
    for number in NUMBERS:
        if number.pattern == pattern:
            unit = "" if number.unit == "share" else f" {number.unit}"
            bounds = f"{number.low:g} to {number.high:g}{unit}"
            return bounds, number.meaning
    for text in TEXTS:
        if text.pattern == pattern:
            return text.form, text.meaning
    for reference in REFERENCES:
        if reference.pattern == pattern:
            target = reference.target.replace(".*", "[]")
            return f"one of `{target}`", f"{reference.noun}, by its name"
    if pattern.endswith("adjacency"):
        return "", "on one worker, on workers of one rack, or anywhere in one cell"
    return "", ""


def allows(rule: TextRule, text: str) -> bool:
    return re.fullmatch(rule.expression, text) is not None


def describe_type(kind: Any) -> str:
    if isinstance(kind, type) and issubclass(kind, Enum):
        return " or ".join(f"`{each.value}`" for each in kind)
    names = {str: "text", int: "whole number", float: "number", bool: "true or false"}
    return names.get(kind, str(kind))


def describe_default(field: Any) -> str:
    if field.default is dataclasses.MISSING:
        return "" if field.default_factory is dataclasses.MISSING else "empty"
    if isinstance(field.default, bool):
        return str(field.default).lower()
    if field.default == ():
        return "empty"
    if isinstance(field.default, Enum):
        return field.default.value
    return "null" if field.default is None else str(field.default)


def read_meanings(kind: type) -> dict[str, str]:
    """Return the meaning of each attribute, from the class's docstring."""
    text = inspect.getdoc(kind) or ""
    _, _, attributes = text.partition("Attributes:\n")
    found = re.findall(r"^    (\w+): (.*(?:\n        .*)*)", attributes, re.MULTILINE)
    return {name: " ".join(words.split()) for name, words in found}


def main() -> None:
    PAGE.write_text(render_page())


if __name__ == "__main__":
    main()

"""Parsing, comparing and editing of settings values for the command line."""

import difflib
import json
import re
from typing import Any

from primrosestile.errors import ErrorKind, Failure

_PART = re.compile(r"([A-Za-z_][A-Za-z0-9_]*)|\[(\d+)\]")


def read_json(text: bytes | str, name: str) -> Any:
    """Return the JSON in a text.

    Raises:
        Failure: MALFORMED, with the name of the source.
    """
    try:
        return json.loads(text)
    except ValueError as error:
        raise Failure(ErrorKind.MALFORMED, f"{name} is not JSON: {error}") from error


def compare_values(path: str, before: Any, after: Any) -> list[str]:
    """Return a unified diff of two values."""
    lines = difflib.unified_diff(
        _list_lines(before),
        _list_lines(after),
        f"{path} in force",
        f"{path} new",
        lineterm="",
        n=2,
    )
    return list(lines)


def _list_lines(value: Any) -> list[str]:
    if value is None:
        return []
    return json.dumps(value, indent=1, sort_keys=True).splitlines()


def set_part(value: Any, assignment: str) -> None:
    """Apply one assignment `name[0].inner=JSON` to a value, which is mutated.

    Raises:
        Failure: MALFORMED for an invalid assignment, NOT_FOUND when the value has
            no such part.
    """
    path, sign, text = assignment.partition("=")
    parts = _split_path(path)
    if not sign or not parts:
        detail = f"{assignment!r} must be NAME=JSON, such as quota_accelerators=32"
        raise Failure(ErrorKind.MALFORMED, detail)
    new = read_json(text, f"the value of {path}")
    try:
        for part in parts[:-1]:
            value = value[part]
        last = parts[-1]
        if isinstance(last, str) and not isinstance(value, dict):
            raise TypeError
        value[last] = new
    except (KeyError, IndexError, TypeError):
        raise Failure(ErrorKind.NOT_FOUND, f"the value has no part {path}") from None


def _split_path(path: str) -> list[str | int]:
    if _PART.sub("", path).strip("."):
        return []
    return [name or int(index) for name, index in _PART.findall(path)]

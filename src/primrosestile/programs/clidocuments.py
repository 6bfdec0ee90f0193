"""Settings documents and values, as commands take them apart and compare them."""

import difflib
import json
import re
from typing import Any

from primrosestile.errors import ErrorKind, Failure

_PART = re.compile(r"([A-Za-z_][A-Za-z0-9_]*)|\[(\d+)\]")


def read_json(text: bytes | str, name: str) -> Any:
    """Return the JSON in a text.

    Raises:
        Failure: MALFORMED, naming where it came from.
    """
    try:
        return json.loads(text)
    except ValueError as error:
        raise Failure(ErrorKind.MALFORMED, f"{name} is not JSON: {error}") from error


def compare_values(path: str, before: Any, after: Any) -> list[str]:
    """Return the changed lines of a value, as a unified diff."""
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
    """Carry out one `name[0].inner=JSON` on a value, in place.

    Raises:
        Failure: MALFORMED when the assignment is none, NOT_FOUND when the value
            has no such part.
    """
    place, sign, text = assignment.partition("=")
    parts = _split_place(place)
    if not sign or not parts:
        detail = f"{assignment!r}: write it as NAME=JSON, such as quota_accelerators=32"
        raise Failure(ErrorKind.MALFORMED, detail)
    new = read_json(text, f"the value of {place}")
    try:
        for part in parts[:-1]:
            value = value[part]
        last = parts[-1]
        if isinstance(last, str) and not isinstance(value, dict):
            raise TypeError
        value[last] = new
    except (KeyError, IndexError, TypeError):
        raise Failure(ErrorKind.NOT_FOUND, f"the value has no part {place}") from None


def _split_place(place: str) -> list[str | int]:
    if _PART.sub("", place).strip("."):
        return []
    return [name or int(index) for name, index in _PART.findall(place)]

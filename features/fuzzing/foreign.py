"""Hypothesis strategies that mutate JSON values byte by byte and field by field."""

import json
from typing import Any

from hypothesis import strategies as st

# Replacements for a field. They are inserted as raw text, since not all are valid JSON.
ODD_TEXTS = (
    "null",
    "true",
    "-1",
    "0",
    "1e308",
    "1e999",
    "Infinity",
    "NaN",
    "-8",
    "9" * 40,
    '""',
    '"nowhere"',
    '"\\ud800"',
    '"\\u0000\\r\\n"',
    "[]",
    "{}",
    "[" * 3000 + "]" * 3000,
    "7.5",
    "100",
)
_MARK = "@odd@"

Path = tuple[str | int, ...]


def list_paths(value: Any, path: Path = ()) -> list[Path]:
    """Return the path to each part of a value, itself included."""
    paths = [path]
    parts: Any = ()
    if isinstance(value, dict):
        parts = value.items()
    elif isinstance(value, list):
        parts = enumerate(value)
    for name, part in parts:
        paths += list_paths(part, (*path, name))
    return paths


def replace_part(value: Any, path: Path, text: str) -> str:
    """Return the JSON of a value with one part replaced by a text."""
    if not path:
        return text
    copy = json.loads(json.dumps(value))
    _find(copy, path[:-1])[path[-1]] = _MARK
    return json.dumps(copy).replace(json.dumps(_MARK), text, 1)


def drop_part(value: Any, path: Path) -> str:
    """Return the JSON of a value without one part."""
    if not path:
        return ""
    copy = json.loads(json.dumps(value))
    del _find(copy, path[:-1])[path[-1]]
    return json.dumps(copy)


def _find(value: Any, path: Path) -> Any:
    for name in path:
        value = value[name]
    return value


@st.composite
def change_fields(draw: st.DrawFn, value: Any) -> bytes:
    """Draw the JSON of a value with one part dropped or replaced."""
    path = draw(st.sampled_from(list_paths(value)))
    text = draw(st.none() | st.sampled_from(ODD_TEXTS))
    changed = (
        drop_part(value, path) if text is None else replace_part(value, path, text)
    )
    return changed.encode()


@st.composite
def change_bytes(draw: st.DrawFn, data: bytes) -> bytes:
    """Draw a value with a few bytes replaced, dropped or added."""
    start = draw(st.integers(0, len(data)))
    length = draw(st.integers(0, 4) | st.just(len(data)))
    return data[:start] + draw(st.binary(max_size=4)) + data[start + length :]


def change(value: Any) -> st.SearchStrategy[bytes]:
    """Return the strategy of mutations of a value."""
    return change_fields(value) | change_bytes(json.dumps(value).encode())

"""JSON between HTTP ends and frozen data classes, through one codec.

Both ends of each HTTP exchange, ours and the stand-in's, use these two functions,
so a field cannot be spelled in two ways. Unknown fields are ignored when reading,
because a newer peer may send more.
"""

from typing import Any, TypeVar

import msgspec

T = TypeVar("T")


def encode_json(value: Any) -> bytes:
    """Return the JSON form of a data class."""
    return msgspec.json.encode(value)


def decode_json(data: bytes, kind: type[T]) -> T:
    """Return the data class in `data`.

    Raises:
        msgspec.MsgspecError: When it is not JSON, or not of that kind.
    """
    return msgspec.json.decode(data, type=kind)

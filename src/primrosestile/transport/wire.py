"""The JSON codec between HTTP bodies and frozen data classes.

Clients, servers and the stand-in share these two functions, so field names cannot
differ between them. Unknown fields are ignored when decoding, because a newer peer may
send more.
"""

from typing import Any, TypeVar

import msgspec

T = TypeVar("T")


def encode_json(value: Any) -> bytes:
    """Return the JSON encoding of a data class."""
    return msgspec.json.encode(value)

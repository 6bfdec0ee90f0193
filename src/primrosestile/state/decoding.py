"""Decodes what others wrote or sent; the only place that calls the decoders.

A value that is nested too deeply raises an error that is none of the codec's own. A
handler of the codec's errors lets it pass, and one odd value then ends the task that
reads it. Here all of them are one error.
"""

from functools import cache
from typing import Any

import msgspec


class Undecodable(ValueError):
    """A value is not of the codec, or not of the expected form.

    Attributes:
        well_formed: It is of the codec, but not of the expected form.
    """

    def __init__(self, reason: str, well_formed: bool = False) -> None:
        super().__init__(reason)
        self.well_formed = well_formed


def decode_json(value: bytes | str | msgspec.Raw, kind: Any = Any) -> Any:
    """Return the value of a type that JSON encodes; unknown fields are ignored.

    Raises:
        Undecodable: When it is not JSON, or not of that type.
    """
    return _decode(_make_json_decoder(kind), value)


def decode_msgpack(value: bytes, kind: Any = Any) -> Any:
    """Return the value of a type that MessagePack encodes.

    Raises:
        Undecodable: When it is not MessagePack, or not of that type.
    """
    return _decode(_make_msgpack_decoder(kind), value)


@cache
def _make_json_decoder(kind: Any) -> msgspec.json.Decoder[Any]:
    return msgspec.json.Decoder(kind)


@cache
def _make_msgpack_decoder(kind: Any) -> msgspec.msgpack.Decoder[Any]:
    return msgspec.msgpack.Decoder(kind)


def _decode(decoder: Any, value: Any) -> Any:
    try:
        return decoder.decode(value)
    except msgspec.ValidationError as error:
        raise Undecodable(str(error), well_formed=True) from error
    except msgspec.MsgspecError as error:
        raise Undecodable(str(error)) from error
    except RecursionError as error:
        raise Undecodable("nested too deeply") from error

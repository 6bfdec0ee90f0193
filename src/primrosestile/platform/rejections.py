"""Rejection of values that can't be read, logged and counted once a change.

Another program may write under a key that we read, or a worker may answer in an unknown
format. Such a value is rejected on its own, with a reason of a closed list. It is read
again in each cycle; a log line for each would hide everything else, so a rejection is
logged only when it begins or its reason changes.
"""

from collections.abc import Callable, Mapping
from enum import StrEnum
from typing import Any

import msgspec
import structlog

from primrosestile.state import decoding

# Scopes (lists or workers) with current rejections. More than this are only made on
# purpose; the oldest are dropped, and logged again if they persist.
SCOPE_LIMIT = 4096
# Part of a rejected value that a log line shows.
DETAIL_LIMIT_CHARACTERS = 200

_log = structlog.get_logger()


class Source(StrEnum):
    """What was read; with the suffix `_unreadable`, the name of the log event."""

    WORKER_ENTRY = "worker_entry"
    WORKER_ANSWER = "worker_answer"
    POLICY = "policy"
    WAVE = "wave"
    VM = "vm"
    ADVICE = "advice"
    STORE_ITEM = "store_item"


class Fault(StrEnum):
    """Why a value is rejected."""

    NOT_JSON = "not json"
    FORM = "form"
    RANGE = "range"
    KEY = "key"
    SIZE = "size"
    ADDRESS = "address"
    STATE = "state"
    POOL = "pool"
    ENCODING = "encoding"


class Unreadable(Exception):
    """Raised for a value that is rejected.

    Attributes:
        fault: Reason, of the closed list.
    """

    def __init__(self, fault: Fault, what: str = "", found: Any = None) -> None:
        """Store the reason and the value, which is formatted only when it is shown."""
        super().__init__(fault)
        self.fault = fault
        self._what = what
        self._found = found

    @property
    def detail(self) -> str:
        """Description of the value, for logs; truncated."""
        if self._found is None:
            return self._what[:DETAIL_LIMIT_CHARACTERS]
        try:
            shown = repr(self._found)
        except RecursionError:
            shown = "nested too deeply"
        return f"{self._what} {shown:.{DETAIL_LIMIT_CHARACTERS}}"

    def __str__(self) -> str:
        return f"{self.fault.value}: {self.detail}"


def decode_json(value: bytes | msgspec.Raw, kind: Any) -> Any:
    """Decode JSON into a type.

    Raises:
        Unreadable: When it is not JSON, or does not match the type.
    """
    try:
        return decoding.decode_json(value, kind)
    except decoding.Undecodable as error:
        fault = Fault.FORM if error.well_formed else Fault.NOT_JSON
        raise Unreadable(fault, str(error)) from error


RejectionCounter = Callable[[Source, Fault], None]


def _count_nothing(source: Source, fault: Fault) -> None:
    return None


class RejectionLog:
    """Current rejections of one process; logs and counts them when they change."""

    def __init__(self, count: RejectionCounter = _count_nothing) -> None:
        self._count = count
        self._current: dict[tuple[Source, str], dict[str, Fault]] = {}

    def replace(
        self, source: Source, scope: str, found: Mapping[str, Unreadable]
    ) -> None:
        """Replace the rejections of the previous reading by those of the latest one.

        Args:
            source: What was read.
            scope: The list or worker that was read.
            found: The rejected values, by their key or row.
        """
        scope_key = (source, scope)
        before = self._current.pop(scope_key, None)
        if not found:
            return
        for name, rejection in found.items():
            if before is None or before.get(name) is not rejection.fault:
                self._report(source, scope, name, rejection)
        self._current[scope_key] = {name: each.fault for name, each in found.items()}
        while len(self._current) > SCOPE_LIMIT:
            del self._current[next(iter(self._current))]

    def _report(
        self, source: Source, scope: str, name: str, rejection: Unreadable
    ) -> None:
        _log.warning(
            f"{source.value}_unreadable",
            key=name,
            scope=scope,
            fault=rejection.fault.value,
            detail=rejection.detail,
        )
        self._count(source, rejection.fault)

"""What of others' values can't be read: why, logged and counted once a change.

Another program may write under a key that we read, or a worker may answer in a form
that is not known here. Such a value is refused by itself, with a reason of a closed
list. It is read again at each poll; a line for each would bury everything else, so a
refusal is told when it begins or its reason changes.
"""

from collections.abc import Callable, Mapping
from enum import StrEnum
from typing import Any

import msgspec
import structlog

# Refusals that stand, over all scopes. More than this are broken on purpose; the
# oldest are forgotten, and told again should they still stand.
STANDING_LIMIT = 4096
# Characters of a refused value that a log line shows.
DETAIL_LIMIT = 200

_log = structlog.get_logger()


class Source(StrEnum):
    """What was read; with `_unreadable` the name of the log's event."""

    WORKER_ENTRY = "worker_entry"
    WORKER_ANSWER = "worker_answer"
    POLICY = "policy"
    WAVE = "wave"
    VM = "vm"
    ADVICE = "advice"
    STORE_ITEM = "store_item"


class Fault(StrEnum):
    """Why a value is refused."""

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
    """A value that is refused.

    Attributes:
        fault: Of the closed list.
    """

    def __init__(self, fault: Fault, what: str = "", found: Any = None) -> None:
        """Note why a value is refused, and where; shown as text only when told."""
        super().__init__(fault)
        self.fault = fault
        self._what = what
        self._found = found

    @property
    def detail(self) -> str:
        """What was found, for people; cut short."""
        if self._found is None:
            return self._what[:DETAIL_LIMIT]
        try:
            shown = repr(self._found)
        except RecursionError:
            shown = "nested too deeply"
        return f"{self._what} {shown:.{DETAIL_LIMIT}}"

    def __str__(self) -> str:
        return f"{self.fault.value}: {self.detail}"


def decode_json(value: bytes | msgspec.Raw, kind: Any) -> Any:
    """Return a value of JSON as a type.

    Raises:
        Unreadable: When it is not JSON, or of another form.
    """
    try:
        return msgspec.json.decode(value, type=kind)
    except msgspec.ValidationError as error:
        raise Unreadable(Fault.FORM, str(error)) from error
    except msgspec.MsgspecError as error:
        raise Unreadable(Fault.NOT_JSON, str(error)) from error
    except RecursionError as error:
        # Lists nested by the thousand, in a field that is not even known: no error
        # of the decoder's own, so it would end the task that reads.
        raise Unreadable(Fault.NOT_JSON, "nested too deeply") from error


Counting = Callable[[Source, Fault], None]


def _count_nothing(source: Source, fault: Fault) -> None:
    return None


class Refusals:
    """The refusals that stand in one process."""

    def __init__(self, count: Counting = _count_nothing) -> None:
        self._count = count
        self._standing: dict[tuple[Source, str], dict[str, Fault]] = {}

    def settle(
        self, source: Source, scope: str, found: Mapping[str, Unreadable]
    ) -> None:
        """Take in what one reading has refused, in place of the reading before.

        Args:
            source: What was read.
            scope: The list or worker that was read.
            found: The refusal of each value, by its key or row.
        """
        place = (source, scope)
        before = self._standing.pop(place, None)
        if not found:
            return
        for name, refusal in found.items():
            if before is None or before.get(name) is not refusal.fault:
                self._tell(source, scope, name, refusal)
        self._standing[place] = {name: each.fault for name, each in found.items()}
        while len(self._standing) > STANDING_LIMIT:
            del self._standing[next(iter(self._standing))]

    def _tell(self, source: Source, scope: str, name: str, refusal: Unreadable) -> None:
        _log.warning(
            f"{source.value}_unreadable",
            key=name,
            scope=scope,
            fault=refusal.fault.value,
            detail=refusal.detail,
        )
        self._count(source, refusal.fault)

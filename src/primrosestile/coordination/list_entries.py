"""Decodes the entries of a list that other writers may have written to.

An entry that can't be read is left out and logged; the reader goes on with the others,
and keeps what it knew of that one. If it raised an error, one odd entry would end the
task that follows the list.
"""

from collections.abc import Callable
from typing import Generic, TypeVar

import structlog

from primrosestile.protocol.store import Entry
from primrosestile.state.decoding import Undecodable

# Entries whose last warning is remembered; more are odd only on purpose.
LOGGED_ENTRIES = 1000

T = TypeVar("T")

_log = structlog.get_logger()


class ListEntries(Generic[T]):
    """Decodes the entries of one list."""

    def __init__(self, decode: Callable[[Entry], T]) -> None:
        """Decode entries by a function.

        Args:
            decode: Raises Undecodable for an odd entry.
        """
        self._decode = decode
        self._logged: dict[str, int] = {}

    def read(self, entry: Entry) -> T | None:
        """Return what an entry says; None if it can't be read."""
        try:
            return self._decode(entry)
        except Undecodable as error:
            self._log_unreadable(entry, error)
            return None

    def _log_unreadable(self, entry: Entry, error: Undecodable) -> None:
        if self._logged.get(entry.key) == entry.mod_revision:
            return
        if len(self._logged) >= LOGGED_ENTRIES:
            del self._logged[next(iter(self._logged))]
        self._logged[entry.key] = entry.mod_revision
        _log.warning("record_unreadable", key=entry.key, reason=str(error))

"""Decodes the entries of a list that other writers may have written to.

An entry that can't be read is left out and logged; the reader goes on with the others,
and keeps what it knew of that one. If it raised an error, one odd entry would end the
task that follows the list.
"""

from collections.abc import Callable
from typing import Generic, TypeVar

from primrosestile.coordination.unreadable_entries import UnreadableEntries
from primrosestile.protocol.store import Entry
from primrosestile.state.decoding import Undecodable

T = TypeVar("T")


class ListEntries(Generic[T]):
    """Decodes the entries of one list."""

    def __init__(self, decode: Callable[[Entry], T]) -> None:
        """Decode entries by a function.

        Args:
            decode: Raises Undecodable for an odd entry.
        """
        self._decode = decode
        self._unreadable = UnreadableEntries()

    def read(self, entry: Entry) -> T | None:
        """Return what an entry says; None if it can't be read."""
        try:
            return self._decode(entry)
        except Undecodable as error:
            self._unreadable.log(entry, str(error))
            return None

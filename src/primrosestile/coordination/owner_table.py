"""The owner of each cell, as the store shows it."""

import asyncio
import random
from dataclasses import dataclass, replace

import structlog

from primrosestile.coordination.list_entries import ListEntries
from primrosestile.coordination.settled_writes import list_all
from primrosestile.errors import Failure
from primrosestile.protocol.store import Change, Entry, Store
from primrosestile.state.decoding import decode_json
from primrosestile.state.jobs import CellOwner

CELLS_PREFIX = "cells/"
WATCH_RETRY_SECONDS = 0.5

_log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class CellOwnership:
    """A cell that the store shows as owned.

    Attributes:
        create_revision: The epoch of its owner.
    """

    owner: CellOwner
    create_revision: int
    mod_revision: int


class OwnerTable:
    """The owner of each cell, by list and watch of `cells/`."""

    def __init__(self, store: Store) -> None:
        self._store = store
        self._owned: dict[str, CellOwnership] = {}
        self._entries = ListEntries(decode_owned)
        self.changed = asyncio.Event()
        self.listed = asyncio.Event()

    def find(self, cell: str) -> CellOwnership | None:
        """Return the owner of a cell as last seen."""
        return self._owned.get(cell)

    def read(self, entry: Entry) -> CellOwnership | None:
        """Return the owner in an entry; None if it can't be read."""
        return self._entries.read(entry)

    def note(self, entry: Entry) -> None:
        """Record a key that this process has just written or read."""
        known = self._owned.get(_cell_of(entry.key))
        if known is None or known.mod_revision < entry.mod_revision:
            self._take(entry, known)

    def _take(self, entry: Entry, known: CellOwnership | None) -> None:
        """Take over an entry; if it is odd, the owner that holds the key stays.

        The cell would otherwise count as free, and its owner as lost.
        """
        cell = _cell_of(entry.key)
        owned = self.read(entry)
        if owned is None and known is not None:
            same_key = known.create_revision == entry.create_revision
            owned = (
                replace(known, mod_revision=entry.mod_revision) if same_key else None
            )
        if owned is None:
            self._owned.pop(cell, None)
        else:
            self._owned[cell] = owned

    def remove(self, cell: str, revision: int) -> None:
        """Record the removal of a key by this process."""
        known = self._owned.get(cell)
        if known is not None and known.mod_revision <= revision:
            del self._owned[cell]

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            try:
                entries, revision = await list_all(self._store, CELLS_PREFIX)
                self._replace(entries, revision)
                self.listed.set()
                self._notify()
                async for changes in self._store.watch(CELLS_PREFIX, revision + 1):
                    self._apply(changes)
            except Failure as failure:
                _log.info("owners_watch_broke", kind=failure.kind.value)
            await asyncio.sleep(WATCH_RETRY_SECONDS * random.uniform(0.6, 1.4))

    def _replace(self, entries: list[Entry], revision: int) -> None:
        """Replace the table by a listing, but keep entries newer than it."""
        before, self._owned = self._owned, {}
        for each in entries:
            self._take(each, before.get(_cell_of(each.key)))
        self._owned |= {
            cell: owned
            for cell, owned in before.items()
            if owned.mod_revision > revision
        }

    def _apply(self, changes: tuple[Change, ...]) -> None:
        for change in changes:
            cell = _cell_of(change.key)
            known = self._owned.get(cell)
            if known is not None and known.mod_revision >= change.revision:
                continue
            if change.entry is None:
                self._owned.pop(cell, None)
            else:
                self._take(change.entry, known)
        self._notify()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


def _cell_of(key: str) -> str:
    return key.removeprefix(CELLS_PREFIX)


def decode_owned(entry: Entry) -> CellOwnership:
    """Return the owner in a stored value.

    Raises:
        Undecodable: When it is no owner's.
    """
    owner = decode_json(entry.value, CellOwner)
    return CellOwnership(owner, entry.create_revision, entry.mod_revision)

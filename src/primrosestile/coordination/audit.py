"""Reads the audit trail of a path from the value and the rolled entries.

The latest entries are stored with the value and older ones under their own keys. An
entry whose writer died while moving it is stored in both places and is returned once.
"""

from dataclasses import dataclass

from primrosestile.coordination.setting_store import (
    decode_entry,
    make_audit_key,
    make_audit_prefix,
    read_setting,
)
from primrosestile.protocol.store import Store
from primrosestile.state.settings import AuditEntry

# One page fits a terminal and costs at most one read besides that of the value.
PAGE_LIMIT = 50


@dataclass(frozen=True, slots=True)
class HistoryPage:
    """Some audit entries of one path, newest first.

    Attributes:
        next_before: Ask for entries before this revision for the next page;
            None at the end.
    """

    entries: tuple[AuditEntry, ...]
    next_before: int | None


async def read_history(
    store: Store, path: str, before: int | None = None, limit: int = PAGE_LIMIT
) -> HistoryPage:
    """Return the entries of a path that are older than revision `before`.

    Raises:
        Failure: STORE_UNAVAILABLE when the store doesn't answer.
    """
    current, _ = await read_setting(store, path)
    if current is None:
        return HistoryPage((), None)
    newest = current.revision if before is None else min(before - 1, current.revision)
    oldest = max(1, newest - min(limit, PAGE_LIMIT) + 1)
    found = {entry.revision: entry for entry in current.audit}
    if any(revision not in found for revision in range(oldest, newest + 1)):
        found |= await _read_rolled(store, path, oldest, newest)
    wanted = range(newest, oldest - 1, -1)
    entries = tuple(found[revision] for revision in wanted if revision in found)
    return HistoryPage(entries, oldest if oldest > 1 else None)


async def _read_rolled(
    store: Store, path: str, oldest: int, newest: int
) -> dict[int, AuditEntry]:
    after = make_audit_key(path, oldest - 1)
    page = await store.list(make_audit_prefix(path), after, newest - oldest + 1)
    entries = (decode_entry(entry.value) for entry in page.entries)
    return {entry.revision: entry for entry in entries}


async def find_entry(store: Store, path: str, revision: int) -> AuditEntry | None:
    """Return the audit entry of one revision, or None."""
    page = await read_history(store, path, before=revision + 1, limit=1)
    return page.entries[0] if page.entries else None

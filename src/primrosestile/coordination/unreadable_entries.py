"""Logs entries that can't be decoded, once for each change of theirs."""

import structlog

from primrosestile.protocol.store import Entry

# Entries whose last warning is remembered; more are odd only on purpose.
LOGGED_ENTRIES = 1000

_log = structlog.get_logger()


class UnreadableEntries:
    """The entries that were logged lately, by key and revision."""

    def __init__(self) -> None:
        self._logged: dict[str, int] = {}

    def log(self, entry: Entry, reason: str) -> None:
        """Log an entry unless it is unchanged since it was logged."""
        if self._logged.get(entry.key) == entry.mod_revision:
            return
        if len(self._logged) >= LOGGED_ENTRIES:
            del self._logged[next(iter(self._logged))]
        self._logged[entry.key] = entry.mod_revision
        _log.warning("record_unreadable", key=entry.key, reason=reason)

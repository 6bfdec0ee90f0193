"""Grants of slots, by the owner of a cell to the entries that report to it.

Each entry reports its need once a second and reads its grants from the answer. An
entry that has gone silent is granted nothing more; what it was granted lapses.
"""

from collections.abc import Iterable, Mapping

from primrosestile.clock import read_clock
from primrosestile.coordination.celldata import Contact
from primrosestile.decisions.slots import GRANT_SECONDS, make_grant_ledger
from primrosestile.protocol.messages import DemandReport

# Sharing more often than entries report would only grant the same slots again.
SHARE_SECONDS = 0.8


class SlotSharing:
    """What entries need, and what they were granted, of one cell."""

    def __init__(self) -> None:
        self._ledger = make_grant_ledger(read_clock())
        self._reports: dict[str, DemandReport] = {}
        self._reported_at: dict[str, float] = {}
        self._granted: Mapping[str, Mapping[str, int]] = {}
        self._granted_at = -GRANT_SECONDS

    def note(self, report: DemandReport) -> None:
        """Take in what an entry reports."""
        self._reports[report.entry] = report
        self._reported_at[report.entry] = read_clock()

    def grant(self, contacts: Iterable[Contact]) -> dict[str, dict[str, int]]:
        """Return the grants of this second by entry; they are made once for all."""
        now = read_clock()
        if now - self._granted_at >= SHARE_SECONDS:
            self._drop_silent(now)
            slots = {
                contact.worker.name: contact.worker.slots
                for contact in contacts
                if contact.usable
            }
            demand = {name: each.queued for name, each in self._reports.items()}
            in_flight = {name: each.in_flight for name, each in self._reports.items()}
            self._granted = self._ledger.grant(slots, demand, in_flight, now)
            if self._granted:
                self._granted_at = now
        return {name: dict(slots) for name, slots in self._granted.items()}

    def seconds_left(self, entry: str) -> float:
        """Return for how long an entry's latest grant still holds; 0.0 for none.

        An entry that reports between two sharings for the first time has none. A
        grant of no slots would make it refuse all that comes.
        """
        if entry not in self._granted:
            return 0.0
        return max(0.0, self._granted_at + GRANT_SECONDS - read_clock())

    def _drop_silent(self, now: float) -> None:
        for entry, at in list(self._reported_at.items()):
            if now - at > GRANT_SECONDS:
                del self._reported_at[entry]
                del self._reports[entry]

"""Grants the slots of a cell to the entries that report to its owner.

Each entry reports its demand once a second and reads its grants from the answer. A
silent entry gets no further grants, and its last ones lapse.
"""

from collections.abc import Iterable, Mapping

from primrosestile.clock import read_clock
from primrosestile.coordination.cell_data import Contact
from primrosestile.decisions.slots import GRANT_SECONDS, make_grant_ledger
from primrosestile.protocol.messages import DemandReport

# Granting more often than entries report would only repeat the same grants.
SHARE_SECONDS = 0.8


class SlotGrants:
    """Demand of the entries for slots of one cell, and their grants."""

    def __init__(self) -> None:
        self._ledger = make_grant_ledger(read_clock())
        self._reports: dict[str, DemandReport] = {}
        self._reported_at: dict[str, float] = {}
        self._granted: Mapping[str, Mapping[str, int]] = {}
        self._granted_at = -GRANT_SECONDS

    def note(self, report: DemandReport) -> None:
        """Record an entry's report."""
        self._reports[report.entry] = report
        self._reported_at[report.entry] = read_clock()

    def grant(self, contacts: Iterable[Contact]) -> dict[str, dict[str, int]]:
        """Return the grants by entry, made at most once every SHARE_SECONDS."""
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

        An entry that reports for the first time between two grants has none. An empty
        grant would make it refuse all requests.
        """
        if entry not in self._granted:
            return 0.0
        return max(0.0, self._granted_at + GRANT_SECONDS - read_clock())

    def _drop_silent(self, now: float) -> None:
        for entry, at in list(self._reported_at.items()):
            if now - at > GRANT_SECONDS:
                del self._reported_at[entry]
                del self._reports[entry]

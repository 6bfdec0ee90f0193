"""Keeps the owner's summary of the fleet's load, made when it is asked for.

Nothing is counted or computed while the feature is off. A summary is made at most once
a second, however many processes ask, so that it takes little of a small owner's time.

Its age counts from the latest pass that made decisions. An owner that makes none, since
its list of workers or the callers' requests are too old, knows the fleet only as it was
then, however late its summary is computed.
"""

import math
from collections.abc import Iterable

import msgspec

from primrosestile.clock import read_clock
from primrosestile.coordination.work.term import Term
from primrosestile.decisions.work.durations import Durations
from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.decisions.work.guarantee_weights import WeightSwitch
from primrosestile.decisions.work.load_history import LoadHistory
from primrosestile.decisions.work.load_summary import summarise_load
from primrosestile.decisions.work.units import Unit
from primrosestile.state.load import LoadSummary

SUMMARY_SECONDS = 1.0


class LoadPublisher:
    """Counts starts, and returns the newest summary with its age."""

    def __init__(
        self, fleet_state: FleetState, durations: Durations, term: Term
    ) -> None:
        self._fleet_state = fleet_state
        self._durations = durations
        self._term = term
        self._switch = WeightSwitch(fleet_state.settings.load_admission)
        self._history: LoadHistory | None = None
        self._summary: LoadSummary | None = None
        self._made_at = -math.inf
        # The latest pass with decisions, and the one before the summary.
        self._decided_at = -math.inf
        self._state_at = -math.inf
        self._revision = 0

    def record_pass(self, started: Iterable[Unit]) -> None:
        """Count what a pass that makes decisions starts."""
        if not self._switch.is_on(self._fleet_state.policy):
            self._history = self._summary = None
            return
        now = read_clock()
        if self._history is None:
            self._history = LoadHistory(now)
        self._history.record_starts(started, now)
        self._decided_at = now

    def find_summary(self) -> LoadSummary | None:
        """Return the summary; None while it is off, or another owner may exist."""
        if self._history is None or not self._term.may_act():
            return None
        now = read_clock()
        if self._summary is None or now - self._made_at >= SUMMARY_SECONDS:
            self._revision += 1
            self._made_at = now
            self._state_at = self._decided_at
            self._summary = summarise_load(
                self._fleet_state,
                self._durations,
                self._history,
                now,
                self._term.fence,
                self._revision,
            )
        return msgspec.structs.replace(self._summary, age=now - self._state_at)

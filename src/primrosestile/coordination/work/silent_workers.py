"""Finds out when the leases of silent workers have run out, and gives up their runs.

A worker that has answered this owner is judged by its link, by its own clock. Of one
that never has, only what earlier owners can have done is known (`lease_bounds`).
"""

from collections.abc import Mapping

import structlog

from primrosestile.clock import read_clock
from primrosestile.coordination.work.lease_bounds import LeaseBounds
from primrosestile.coordination.work.lease_extender import LeaseExtender
from primrosestile.coordination.work.worker_links import WorkerLink
from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.decisions.work.proofs import Proof

# A worker that has not answered for this long counts as silent for the next owner.
SILENT_SECONDS = 0.5

_log = structlog.get_logger()


class SilentWorkers:
    """The workers with runs that don't answer during one term."""

    def __init__(
        self,
        fleet_state: FleetState,
        links: Mapping[str, WorkerLink],
        bounds: LeaseBounds,
        lease_extender: LeaseExtender,
    ) -> None:
        self._fleet_state = fleet_state
        self._links = links
        self._bounds = bounds
        self._lease_extender = lease_extender
        self._began = read_clock()

    def find_bounds(self) -> dict[str, float]:
        """Return how long the lease of each silent worker with members may last."""
        now = read_clock()
        bounds = {
            name: self._find_unanswered_bound(name, now)
            for name in self._fleet_state.unlisted_members
        }
        for name, link in self._links.items():
            if link.worker.acquired or not link.worker.members:
                continue
            if link.extended:
                bounds[name] = link.clock.find_lease_bound(now)
            elif now - link.heard_at > SILENT_SECONDS or self._bounds.is_inherited(
                name
            ):
                bounds[name] = self._find_unanswered_bound(name, now)
        return bounds

    def drop_never_answered(self) -> None:
        """Mark runs as gone on workers that have never answered this owner."""
        now = read_clock()
        for name in list(self._fleet_state.unlisted_members):
            if self._find_unanswered_bound(name, now) < 0:
                self._log_given_up(name, now)
                self._fleet_state.drop_worker(name, Proof.NEVER_ANSWERED)
        for name, link in self._links.items():
            # Its link judges a lease that this owner has extended.
            if link.extended or not link.worker.members:
                continue
            if self._find_unanswered_bound(name, now) < 0:
                self._log_given_up(name, now)
                self._fleet_state.clear_worker(link.worker, Proof.NEVER_ANSWERED, now)

    def _find_unanswered_bound(self, name: str, now: float) -> float:
        """Return how long the lease of a worker that never answered may last.

        Earlier owners may have extended it, and this one while it loaded its state.
        """
        return max(
            self._bounds.find_bound(name),
            self._lease_extender.find_lease_bound(name, now),
        )

    def _log_given_up(self, name: str, now: float) -> None:
        _log.warning(
            "runs_given_up",
            worker=name,
            inherited=self._bounds.is_inherited(name),
            waited=round(now - self._began, 2),
        )

"""Applies ends and stalls of runs to the run statistics and the quarantine."""

import structlog

from primrosestile.clock import read_clock
from primrosestile.decisions.work.durations import Durations
from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.decisions.work.speeds import Speeds
from primrosestile.decisions.work.units import Member, Worker
from primrosestile.decisions.work.worker_quarantine import (
    EARLY_FAILURE_SECONDS,
    WorkerQuarantine,
)
from primrosestile.state.workers import EndKind

_log = structlog.get_logger()


class RunOutcomes:
    """Records the ends and stalls of runs."""

    def __init__(
        self, fleet_state: FleetState, durations: Durations, speeds: Speeds
    ) -> None:
        self._fleet_state = fleet_state
        self._durations = durations
        self._speeds = speeds
        self._quarantine = WorkerQuarantine()

    def record_end(self, member: Member, kind: EndKind) -> None:
        """Update the worker's quarantine and the statistics with the end of a run."""
        if kind is EndKind.DONE:
            self._quarantine.record_success(member.worker)
            self._record_duration(member)
        if kind is not EndKind.FAILED:
            return
        worker = self._fleet_state.workers.get(member.worker)
        seconds = member.find_run_seconds(read_clock())
        # A daemon task may fail at any time; only an early failure counts against its
        # worker.
        expected = member.unit.step.daemon and seconds > EARLY_FAILURE_SECONDS
        if worker is None or expected:
            return
        until = self._quarantine.record_failure(
            member.worker,
            member.unit.job.job_id,
            seconds,
            read_clock(),
            len(self._fleet_state.workers),
        )
        if until > worker.quarantined_until:
            worker.quarantined_until = until
            _log.warning("worker_quarantined", worker=worker.name)

    def record_stall(self, worker: Worker, now: float) -> None:
        """Quarantine a worker on which a task is stalled."""
        until = self._quarantine.record_stall(
            worker.name, now, len(self._fleet_state.workers)
        )
        worker.quarantined_until = max(worker.quarantined_until, until)

    def _record_duration(self, member: Member) -> None:
        unit = member.unit
        self._speeds.record_success(member, read_clock())
        if not member.up_at or member.restored or member.resumed:
            return
        self._durations.learn(
            unit.job.submission.queue,
            unit.step.estimate_seconds,
            self._speeds.normalise(unit, read_clock() - member.up_at),
        )

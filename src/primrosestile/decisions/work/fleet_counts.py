"""Figures of the fleet's state for the metrics."""

from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.state.work import Phase


def count_fleet(fleet_state: FleetState) -> dict[str, int]:
    """Return the current figures by the name of their metric."""
    jobs = [job for job in fleet_state.jobs.values() if not job.state.final]
    units = [unit for job in jobs for unit in job.units.values()]
    phases = [unit.phase for unit in units]
    workers = fleet_state.workers.values()
    return {
        "open_jobs": len(jobs),
        "waiting_units": phases.count(Phase.WAITING),
        "running_units": phases.count(Phase.ORDERED),
        "workers_in_hand": sum(each.acquired for each in workers),
        "workers": len(workers),
        "headroom_accelerators": fleet_state.headroom.count(),
        "suspected_units": sum(bool(unit.crashes) for unit in units),
    }

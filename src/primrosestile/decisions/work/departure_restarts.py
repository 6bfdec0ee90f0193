"""Which urgent units are restarted elsewhere because their worker leaves.

Load: workers that announce two seconds ahead that they leave, under urgent gangs that
need longer. Harm: the gang ends with the worker, and nobody can tell that the lost
member does not run on until its lease is over. A gang of 3.4 s that lost one member
waited seven seconds for that, and was of no use to its caller.

Work with checkpoints is moved by `evacuation`. Other work stays, since a worker may run
for many seconds longer than it announced. Where headroom is used, stops and restarts
take so long that gangs which are not urgent are restarted too, but only if a restart is
in time and a restart after the loss would not be.
"""

from primrosestile.decisions.work.durations import Durations
from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.decisions.work.headroom import is_used
from primrosestile.decisions.work.queue_order import find_deadline
from primrosestile.decisions.work.restarts import Restart, may_restart
from primrosestile.decisions.work.units import MemberState, Unit, Worker

# From the loss of a member with its worker until its gang can start again: the lease of
# the worker has to be over.
LOSS_SECONDS = 7.0


def find_departure_restarts(
    fleet_state: FleetState, durations: Durations, now: float
) -> list[Restart]:
    """Return the units to restart before they are lost with a leaving worker."""
    found: dict[int, Restart] = {}
    restart_seconds = fleet_state.stop_timing.restart
    others_too = is_used(fleet_state)
    for worker in fleet_state.workers.values():
        if not worker.entry.leaving:
            continue
        for member in worker.members.values():
            unit = member.unit
            if id(unit) in found or not (may_restart(unit) and loses_work(unit)):
                continue
            if unit.job.queue.priority and not (
                others_too and would_be_late(unit, worker, durations, now)
            ):
                continue
            if is_worth_restarting(unit, worker, durations, now, restart_seconds):
                lost = member.find_run_seconds(now)
                found[id(unit)] = Restart(unit, worker, lost)
    return list(found.values())


def loses_work(unit: Unit) -> bool:
    """Whether a unit runs, is urgent or a gang, and loses its work with its worker."""
    if unit.step.checkpoints or (unit.job.queue.priority and not unit.step.gang):
        return False
    return any(member.state is MemberState.UP for member in unit.members)


def would_be_late(unit: Unit, worker: Worker, durations: Durations, now: float) -> bool:
    """Whether a restart is in time now, but not after the loss of the worker."""
    begins = max(now, worker.leaves_at) + LOSS_SECONDS
    deadline = find_deadline(unit.job, durations)
    seconds = durations.guess_unit(unit)
    return now + seconds <= deadline < begins + seconds


def is_worth_restarting(
    unit: Unit,
    worker: Worker,
    durations: Durations,
    now: float,
    restart_seconds: float,
) -> bool:
    """Whether a restart serves the caller better than staying on a leaving worker."""
    left = max(durations.guess_left(member, now) for member in unit.members)
    if left <= worker.leaves_at - now:
        return False
    spare = find_deadline(unit.job, durations) - now
    restarted = restart_seconds + durations.guess_unit(unit)
    # If only staying can be in time, it is worth the risk.
    return restarted <= spare or left > spare

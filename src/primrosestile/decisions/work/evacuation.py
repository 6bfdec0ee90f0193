"""Which work is moved off a worker that leaves, and when.

Load: a worker that announces two seconds ahead that it leaves, with runs on it that
need longer. Harm: its runs end with it, and a render of seven seconds starts over
elsewhere. Work with checkpoints saves one when it is stopped, so it is stopped as late
as is safe and resumes elsewhere. Work without them stays: a worker may run for many
seconds longer than announced, and stopping the run would lose it.
"""

from collections.abc import Iterator

from primrosestile.decisions.work.durations import Durations
from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.decisions.work.units import Member, MemberState, Unit, Worker


def find_evacuations(
    fleet_state: FleetState, durations: Durations, now: float
) -> list[Unit]:
    """Return the units to stop now, so that they resume from a checkpoint."""
    found: dict[int, Unit] = {}
    ahead = fleet_state.stop_timing.evacuate
    for worker in fleet_state.workers.values():
        if worker.entry.leaving and worker.leaves_at - now < ahead:
            for member in _list_worth_saving(worker, durations, now):
                found[id(member.unit)] = member.unit
    return list(found.values())


def _list_worth_saving(
    worker: Worker, durations: Durations, now: float
) -> Iterator[Member]:
    stays = max(0.0, worker.leaves_at - now)
    for member in worker.members.values():
        unit = member.unit
        if member.state is not MemberState.UP or unit.abandoned:
            continue
        if not unit.step.checkpoints or unit.step.daemon:
            continue
        if durations.guess_left(member, now) > stays:
            yield member

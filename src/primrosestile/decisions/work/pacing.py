"""At which share of their speed filling tasks work beside tasks that serve.

Load: batch work that fills what lasting services leave unused, on workers whose own
users' load changes within seconds. Harm: the fillers disturb the services by amounts
that nobody declares, and the services' users wait too long; four seconds of that on
end break what operators promise them. A worker's word on a service is at most a second
old. So the fillers stand still at once when a service is over its target, are halved
when it comes near, and go back up in small steps only after it has been well for a
while: to be wrong upwards costs users, to be wrong downwards some batch work.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from primrosestile.decisions.work.board import Board
from primrosestile.decisions.work.units import (
    UNKNOWN_PACE,
    Member,
    MemberState,
    Worker,
)

FULL_PERCENT = 100
# Shares of the target from which fillers are halved, and below which they go up.
NEAR_SHARE = 0.8
WELL_SHARE = 0.6
STEP_PERCENT = 20
# Between steps up: two looks at the worker, so that the last step has shown.
UP_SECONDS = 2.0
# Between halvings: one look.
DOWN_SECONDS = 0.9


@dataclass(frozen=True, slots=True)
class Pace:
    """A filling task is to work at a share of its speed."""

    member: Member
    percent: int


def find_paces(board: Board, now: float) -> list[Pace]:
    """Return the paces that are to change."""
    paces = []
    for worker in board.workers.values():
        fillers = list(_list_fillers(worker))
        if fillers:
            strain = find_strain(worker)
            paces += [
                Pace(member, percent)
                for member in fillers
                if (percent := choose_percent(member, strain, now)) != member.pace
            ]
    return paces


def _list_fillers(worker: Worker) -> Iterator[Member]:
    for member in worker.members.values():
        step = member.unit.step
        if member.state is MemberState.UP and step.filling and not step.target_seconds:
            yield member


def find_strain(worker: Worker) -> float | None:
    """Return the slowest service's time as a share of its target.

    None where no service runs: nobody is disturbed there.
    """
    shares = [
        member.usage / 1000 / member.unit.step.target_seconds
        for member in worker.members.values()
        if member.state is MemberState.UP and member.unit.step.target_seconds
    ]
    return max(shares, default=None)


def choose_percent(member: Member, strain: float | None, now: float) -> int:
    """Return the share at which a filling task is to work from now on."""
    if strain is None:
        return FULL_PERCENT
    pace = member.pace
    since = now - member.paced_at
    if strain >= 1.0 or pace == UNKNOWN_PACE:
        return 0
    if strain >= NEAR_SHARE:
        return pace // 2 if since >= DOWN_SECONDS else pace
    if strain < WELL_SHARE and since >= UP_SECONDS:
        return min(FULL_PERCENT, pace + STEP_PERCENT)
    return pace

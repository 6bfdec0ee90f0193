"""Limits best-effort tasks to a share of their speed beside services.

Load: batch work that uses what daemon services leave unused, on workers whose service
load changes within seconds. Harm: best-effort tasks slow the services by undeclared
amounts, and the services' users wait too long; four seconds of that in a row break what
operators guarantee them. A worker's report on a service is at most a second old. So
best-effort tasks are paused at once when a service is over its target, halved when it
comes near, and raised in small steps only after it has been well below for some time:
too high a pace costs users, too low a pace only some batch work.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.decisions.work.units import (
    UNKNOWN_PACE,
    Member,
    MemberState,
    Worker,
)

FULL_PERCENT = 100
# Shares of the target from which best-effort tasks are halved, and below which they are
# raised.
NEAR_SHARE = 0.8
WELL_SHARE = 0.6
STEP_PERCENT = 20
# Between steps up: two polls of the worker, so that the last step's effect is seen.
UP_SECONDS = 2.0
# Between halvings: one poll.
DOWN_SECONDS = 0.9


@dataclass(frozen=True, slots=True)
class Pace:
    """The share of its speed, in percent, at which a best-effort task is to work."""

    member: Member
    percent: int


def find_paces(fleet_state: FleetState, now: float) -> list[Pace]:
    """Return the paces that are to change."""
    paces = []
    for worker in fleet_state.workers.values():
        fillers = list(_list_fillers(worker))
        if fillers:
            target_share = find_target_share(worker)
            paces += [
                Pace(member, percent)
                for member in fillers
                if (percent := choose_percent(member, target_share, now)) != member.pace
            ]
    return paces


def _list_fillers(worker: Worker) -> Iterator[Member]:
    for member in worker.members.values():
        step = member.unit.step
        if (
            member.state is MemberState.UP
            and step.best_effort
            and not step.latency_target_seconds
        ):
            yield member


def find_target_share(worker: Worker) -> float | None:
    """Return the slowest service's time as a share of its target.

    None where no service with a target runs, as there is nothing to slow down.
    """
    shares = [
        member.usage / 1000 / member.unit.step.latency_target_seconds
        for member in worker.members.values()
        if member.state is MemberState.UP and member.unit.step.latency_target_seconds
    ]
    return max(shares, default=None)


def choose_percent(member: Member, target_share: float | None, now: float) -> int:
    """Return the percentage at which a best-effort task is to work from now on."""
    if target_share is None:
        return FULL_PERCENT
    pace = member.pace
    since = now - member.paced_at
    if target_share >= 1.0 or pace == UNKNOWN_PACE:
        return 0
    if target_share >= NEAR_SHARE:
        return pace // 2 if since >= DOWN_SECONDS else pace
    if target_share < WELL_SHARE and since >= UP_SECONDS:
        return min(FULL_PERCENT, pace + STEP_PERCENT)
    return pace

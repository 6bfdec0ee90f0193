"""Which units with a stalled member are restarted elsewhere.

Load: stragglers: workers on which some tasks make little or no progress for seconds,
while the worker is otherwise healthy. Harm: a gang is as slow as its slowest member. A
booking of 0.9 s whose second task stalled at 7% for 4.5 s, while the first was done,
was too late for its caller; workers for it were free all the time.

How long a stall will last isn't known; it is expected to last for as long again as it
has so far. So a restart elsewhere pays as soon as the time lost exceeds the time worked
so far, which is then repeated, plus the time of the stop. This uses observed
progress; learned run times decide only whether the unit would be late at all, and how
long a run that an earlier owner started had worked before.
"""

from collections.abc import Iterator

from primrosestile.decisions.work.durations import Durations
from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.decisions.work.queue_order import find_deadline
from primrosestile.decisions.work.restarts import Restart, may_restart
from primrosestile.decisions.work.units import Member, MemberState, Unit

# Workers are polled once a second; a running task progresses between two polls by at
# least one percent.
STALL_SECONDS = 0.9
# Progress is reported in whole percent; over less than this, one percent more or less
# would make a speed.
MEASURED_SECONDS = 0.5
# A permanently slow worker takes 1.3 times as long, and tasks of one step differ by as
# much; a task that is slower than the fastest by more than this factor has stalled.
BEHIND_FACTOR = 2.5


def find_stall_restarts(
    fleet_state: FleetState, durations: Durations, now: float
) -> list[Restart]:
    """Return the stalled units that would be late, each once."""
    found: dict[int, Restart] = {}
    best: dict[int, float] = {}
    restart_seconds = fleet_state.stop_timing.restart
    for worker in fleet_state.workers.values():
        if not worker.acquired:
            continue
        for member in worker.members.values():
            if member.heard_at - member.measured_at < STALL_SECONDS:
                # Too short for a stall.
                continue
            unit = member.unit
            if id(unit) in found or not may_restart(unit):
                continue
            if not has_meaningful_progress(member):
                continue
            if id(unit) not in best:
                best[id(unit)] = find_best_speed(unit)
            lost, worked = find_lost_seconds(
                member, best[id(unit)], durations.guess_unit(unit)
            )
            if unit.step.checkpoints:
                worked = 0.0
            if lost < max(STALL_SECONDS, restart_seconds + worked):
                continue
            if find_slack(unit, worked, durations, now) < lost:
                found[id(unit)] = Restart(unit, worker, lost)
    return list(found.values())


def find_slack(unit: Unit, worked: float, durations: Durations, now: float) -> float:
    """Return for how many more seconds a unit may stall and still be in time.

    Low-priority work has seconds of slack; a restart would waste its work for nothing,
    eight tasks for each stalled worker.
    """
    left = max(0.0, durations.guess_unit(unit) - worked)
    return find_deadline(unit.job, durations) - left - now


def has_meaningful_progress(member: Member) -> bool:
    """Whether a member runs and is not done."""
    return member.state is MemberState.UP and member.percent < 100


def find_lost_seconds(
    member: Member, best: float, expected: float
) -> tuple[float, float]:
    """Return for how many seconds a member has stalled, and for how many it worked.

    A gang's members are alike, so one that is far slower than the fastest has lost the
    difference, even if it progresses. Speeds are compared, not progress, since workers
    report at different moments.

    Args:
        member: Of a running unit.
        best: The speed of the fastest member of its gang; 0 if it has no gang.
        expected: The run time of the whole unit, in seconds, for the time worked before
            the speed was measured.
    """
    before = expected * member.measured_percent / 100
    lost = max(0.0, member.heard_at - member.progressed_at)
    worked = before + max(0.0, member.progressed_at - member.measured_at)
    elapsed = max(0.0, member.heard_at - member.measured_at)
    speed = find_speed(member)
    if best <= BEHIND_FACTOR * speed:
        return lost, worked
    share = speed / best
    return max((lost, worked), (elapsed * (1 - share), before + elapsed * share))


def find_best_speed(unit: Unit) -> float:
    """Return the speed of a gang's fastest member, in percent per second."""
    return max(map(find_speed, list_up_members(unit)), default=0.0)


def find_speed(member: Member) -> float:
    """Return a member's mean speed, in percent per second; 0 until it is measured."""
    elapsed = member.heard_at - member.measured_at
    if elapsed < MEASURED_SECONDS:
        return 0.0
    return (member.percent - member.measured_percent) / elapsed


def list_up_members(unit: Unit) -> Iterator[Member]:
    """Yield the running members of a gang; none of other units."""
    if unit.step.gang:
        for member in unit.members:
            if member.state is MemberState.UP:
                yield member

"""Which units are started again elsewhere, since a member of theirs stands still.

Load: workers on which some tasks make no progress for seconds, or next to none, while
everything else about the worker looks well. Harm: a gang is as slow as its slowest
member. A booking of 0.9 s whose second task stood at 7% for 4.5 s, beside a first
one that was done, came too late for its caller; workers for it were free all the while.

Nobody knows how long a task will go on standing still. The longer it has, the longer
it probably will: it is taken to be half way through. So to begin anew elsewhere pays
as soon as the time lost is more than the time that its work took so far, which is then
done again, and the stop. That rests on what was seen only; whether the unit would be
late at all goes by run times as learned.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from primrosestile.decisions.work.board import Board
from primrosestile.decisions.work.durations import Durations
from primrosestile.decisions.work.ordering import find_objective_seconds
from primrosestile.decisions.work.units import Member, MemberState, Unit, Worker

# Workers are looked at once a second; a task that runs has moved on between two looks,
# be it by one percent.
STILL_SECONDS = 0.9
# The stop, its end and the next start.
MOVE_SECONDS = 0.4
# A worker that is slow for good takes 1.3 times as long, and tasks of one step differ
# by as much; what is further behind than this has met trouble.
BEHIND_FACTOR = 2.5
# A job whose own task makes no progress anywhere must not be moved without end.
MOST_RESCUES = 2


@dataclass(frozen=True, slots=True)
class Rescue:
    """A unit to stop, and the worker on which it stands still.

    Attributes:
        lost: Seconds in which its slowest member made no progress.
    """

    unit: Unit
    worker: Worker
    lost: float


def find_rescues(board: Board, durations: Durations, now: float) -> list[Rescue]:
    """Return the units that stand still and would be late by it, each once."""
    found: dict[int, Rescue] = {}
    best: dict[int, float] = {}
    for worker in board.workers.values():
        if not worker.in_hand:
            continue
        for member in worker.members.values():
            if member.heard_at - member.up_at < STILL_SECONDS:
                # Nothing can have stood still for long enough.
                continue
            unit = member.unit
            if id(unit) in found or not may_rescue(member):
                continue
            if id(unit) not in best:
                best[id(unit)] = find_best_speed(unit)
            lost, worked = find_lost(member, best[id(unit)])
            if unit.step.checkpoints:
                worked = 0.0
            if lost < max(STILL_SECONDS, MOVE_SECONDS + worked):
                continue
            if find_slack(unit, worked, durations, now) < lost:
                found[id(unit)] = Rescue(unit, worker, lost)
    return list(found.values())


def find_slack(unit: Unit, worked: float, durations: Durations, now: float) -> float:
    """Return how much longer a unit may stand still and be in time.

    Patient work has seconds to spare; begun anew it would throw its work away for
    nothing, eight tasks for each worker that stands still.
    """
    job = unit.job
    left = max(0.0, durations.guess_unit(unit) - worked)
    return job.accepted + find_objective_seconds(job, durations) - left - now


def may_rescue(member: Member) -> bool:
    """Whether a member's progress tells anything, and its unit may be stopped."""
    unit = member.unit
    step = unit.step
    if step.lasting or step.filling or unit.abandoned:
        return False
    if unit.rescues >= MOST_RESCUES:
        return False
    return member.state is MemberState.UP and member.percent < 100


def find_lost(member: Member, best: float) -> tuple[float, float]:
    """Return for how long a member has stood still, and how long it has worked.

    A gang's members are alike, so one that is far slower than the fastest of them has
    lost the difference, though it moves. Speeds are compared, not progress, since
    workers are heard of at different moments.

    Args:
        member: Of a unit that runs.
        best: The speed of the fastest member of its gang; 0 if it has no gang.
    """
    lost = max(0.0, member.heard_at - member.moved_at)
    worked = max(0.0, member.moved_at - member.up_at)
    elapsed = max(0.0, member.heard_at - member.up_at)
    speed = find_speed(member)
    if best <= BEHIND_FACTOR * speed:
        return lost, worked
    share = speed / best
    return max((lost, worked), (elapsed * (1 - share), elapsed * share))


def find_best_speed(unit: Unit) -> float:
    """Return the progress of a gang's fastest member, in percent a second."""
    return max(map(find_speed, list_moving(unit)), default=0.0)


def find_speed(member: Member) -> float:
    """Return a member's progress, in percent a second."""
    elapsed = member.heard_at - member.up_at
    return member.percent / elapsed if elapsed > 0 else 0.0


def list_moving(unit: Unit) -> Iterator[Member]:
    """Yield the members of a gang whose progress is known."""
    if unit.step.gang:
        for member in unit.members:
            if member.state is MemberState.UP:
                yield member

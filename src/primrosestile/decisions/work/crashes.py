"""Which tasks crash the workers that start them.

Load: a task that takes down each worker on which it starts, among tasks that were only
there, on a fleet whose workers also crash by themselves. Harm: started again without
end, such a task takes one worker after another, with all that runs there; given up too
soon, a job that could be done is shown as failed.

A crash is counted for each task that was on the worker. What tells them apart: a task
that was alone there and had only just started is the cause, or met a worker that
crashed by itself in that very moment, which doesn't happen twice. So a task under
which two workers have crashed is tried on a worker of its own.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from primrosestile.decisions.work.units import Job, Member, MemberState, Unit, Worker
from primrosestile.state.work import CrashCount, Phase

# From the start of a run to the first call that its worker left unanswered. Until a
# worker crashes, one call to it always waits, and fails when the worker is gone.
AT_ONCE_SECONDS = 0.5
# So often alone on its worker and at once: nothing else explains it.
ALONE_LIMIT = 2
# After this many crashes, one more that came at once to the task alone is enough.
TRIAL_LIMIT = 3
# Whatever else was there. Operators allow two starts after the third crash; one of them
# is left for a crash that no owner could see.
CRASH_LIMIT = 4
# From this many crashes on a task is tried on a worker of its own.
ISOLATION_COUNT = 2
# How long it waits for one. Operators promise that nothing waits for 3 s beside room
# for it, and on a busy fleet no worker may ever be empty.
ISOLATION_SECONDS = 2.0
# How long nothing else is started beside it.
TRIAL_SECONDS = 3.0
# A run that was seen to last this long was not ended by its own start. Without that, a
# task that runs for weeks would be given up after the fourth worker that fails.
LASTED_SECONDS = 60.0
# How long a silent worker may be back as another one and count as crashed.
PENDING_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class Crash:
    """One task whose worker has crashed.

    Attributes:
        count: That of the task, with this crash.
        given_up: Whether its job fails by it.
    """

    member: Member
    count: CrashCount
    given_up: bool


@dataclass(frozen=True, slots=True)
class _Loss:
    """A task that was on a worker of which nothing is heard any more.

    Attributes:
        alone: Nothing of other units was there, and it had only just started.
        lasted: It was seen to run for long.
    """

    member: Member
    position: int
    alone: bool
    lasted: bool


class Crashes:
    """Counts, for each task, the workers that crashed under it.

    Attributes:
        found: Crashes that were counted since the last call of `pop_found`.
    """

    def __init__(self, give_up: Callable[[Job], None]) -> None:
        """Count nothing yet.

        Args:
            give_up: Called with the job of a task that crashes its workers.
        """
        self.found: list[Crash] = []
        self._give_up = give_up
        # Tasks on workers that fell silent, by the worker's address, and since when.
        self._pending: dict[str, tuple[float, tuple[_Loss, ...]]] = {}

    def record_crash(self, worker: Worker) -> None:
        """Count a worker that is gone, unless it was to go."""
        _, before = self._pending.pop(worker.entry.address, (0.0, ()))
        self._count((*before, *_list_losses(worker)))

    def record_silence(self, worker: Worker, now: float) -> None:
        """Remember what was on a worker that fell silent until its lease was over.

        It may be cut off and run on, or have crashed; the next answer from its
        address tells.
        """
        self._pending = {
            address: (since, losses)
            for address, (since, losses) in self._pending.items()
            if now - since < PENDING_SECONDS
        }
        losses = tuple(_list_losses(worker))
        if losses:
            self._pending[worker.entry.address] = (now, losses)

    def record_answer(self, address: str, worker: str, now: float) -> None:
        """Learn from an answer what became of the worker that was silent there.

        The same incarnation was only cut off; if it is another one, it has crashed.
        """
        self.record_entry(address, worker, now)
        self._pending.pop(address, None)

    def record_entry(self, address: str, worker: str, now: float) -> None:
        """Count what was on a silent worker at whose address another one is listed.

        The entry of the same incarnation stands for seconds after its end.
        """
        since, losses = self._pending.get(address, (now, ()))
        if not losses or losses[0].member.worker == worker:
            return
        del self._pending[address]
        if now - since < PENDING_SECONDS:
            self._count(losses)

    def pop_found(self) -> list[Crash]:
        """Return the crashes counted since the last call."""
        found = self.found
        self.found = []
        return found

    def _count(self, losses: Iterable[_Loss]) -> None:
        for loss in losses:
            unit = loss.member.unit
            before = unit.crashes.get(loss.position, CrashCount(loss.position))
            # An owner finds again what an earlier one had counted.
            if loss.lasted or unit.job.state.final or before.run == loss.member.run:
                continue
            count = CrashCount(
                loss.position,
                before.count + 1,
                max(before.run, loss.member.run),
                before.alone + loss.alone,
            )
            unit.crashes[loss.position] = count
            given_up = _is_given_up(count, loss.alone)
            self.found.append(Crash(loss.member, count, given_up))
            if given_up:
                self._give_up(unit.job)


def _list_losses(worker: Worker) -> list[_Loss]:
    """Return the tasks on a worker, none if it was known to leave."""
    if worker.entry.leaving or worker.closed:
        return []
    members = [
        member
        for member in worker.members.values()
        if member.state is not MemberState.GONE
    ]
    alone = len({id(member.unit) for member in members}) == 1
    return [
        _Loss(
            member,
            member.unit.members.index(member),
            alone and _has_just_started(member, worker),
            lasted=worker.answered_at - (member.up_at or member.since) > LASTED_SECONDS,
        )
        for member in members
        if member.unit.phase is Phase.ORDERED
    ]


def _has_just_started(member: Member, worker: Worker) -> bool:
    """Whether a worker was gone shortly after a task's start.

    Of a run that an earlier owner ordered the start isn't known.
    """
    if worker.unanswered_at is None or (member.restored and not member.up_at):
        return False
    return 0 <= worker.unanswered_at - member.since < AT_ONCE_SECONDS


def _is_given_up(count: CrashCount, alone: bool) -> bool:
    if count.alone >= ALONE_LIMIT or count.count >= CRASH_LIMIT:
        return True
    return alone and count.count >= TRIAL_LIMIT


def is_isolated(unit: Unit) -> bool:
    """Whether a unit is to run on workers of its own."""
    return any(each.count >= ISOLATION_COUNT for each in unit.crashes.values())


def awaits_isolation(unit: Unit, now: float) -> bool:
    """Whether a unit still waits for workers of its own."""
    if not is_isolated(unit):
        return False
    since = unit.isolating_since
    return since is None or now - since < ISOLATION_SECONDS


def is_on_trial(member: Member, now: float) -> bool:
    """Whether nothing else is to be started beside a task."""
    return is_isolated(member.unit) and now - member.since < TRIAL_SECONDS

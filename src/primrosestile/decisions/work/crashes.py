"""Detects poison tasks: tasks that crash the workers that start them.

Load: a task that crashes each worker on which it starts, beside healthy tasks, on a
fleet whose workers also crash by themselves. Harm: restarted without bound, such a task
crashes one worker after another, with all that runs there; if it is given up too soon,
a job that could succeed fails.

A crash is counted for each task that was on the worker. To tell the tasks apart: one
that was alone there and had only just started is the cause, unless the worker crashed
by itself at that moment, which doesn't happen twice. So a task under which two workers
have crashed is tried on a worker of its own.

What a worker can't have received counts neither as its task nor as another task's
neighbour: while its record is being written, a start has not been sent. A start that
timed out, or that only an earlier owner's record shows, may never have arrived. Such a
crash is counted, but not as one of a task that was alone, and one that is known only
from a record gives no task up: otherwise a job could fail of which nothing has run.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from primrosestile.decisions.work.units import Job, Member, MemberState, Unit, Worker
from primrosestile.state.work import CrashCount, Phase

# From the start of a run to the first call that its worker left unanswered. One call to
# each worker is always pending, and fails as soon as the worker crashes.
CRASH_AT_START_SECONDS = 0.5
# Crashes right after a start of the task alone on its worker: two are proof enough.
ALONE_LIMIT = 2
# With this many crashes in all, the last one right after a start of the task alone, the
# task is given up.
TRIAL_LIMIT = 3
# With this many crashes the task is given up whatever else ran there. Operators allow
# two starts after the third crash; one is left for a crash that no owner detected.
CRASH_LIMIT = 4
# From this many crashes on, a task is tried on a worker of its own.
ISOLATION_COUNT = 2
# How long it waits for one. Operators guarantee that nothing waits for 3 s while there
# is room for it, and on a busy fleet no worker may ever be empty.
ISOLATION_SECONDS = 2.0
# How long nothing else is started on the worker of an isolated task.
TRIAL_SECONDS = 3.0
# A run that was seen to last longer than this did not crash its worker by starting.
# Otherwise a task that runs for weeks would be given up after four worker failures.
LASTED_SECONDS = 60.0
# If another incarnation answers at a silent worker's address within this time, the
# worker counts as crashed.
PENDING_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class Crash:
    """One task whose worker has crashed.

    Attributes:
        count: The task's crashes, including this one.
        given_up: Whether its job fails because of it.
    """

    member: Member
    count: CrashCount
    given_up: bool


@dataclass(frozen=True, slots=True)
class _Loss:
    """A task that was on a worker that crashed or fell silent.

    Attributes:
        alone: No other unit was there, and it had only just started.
        lasted: It was seen to run for longer than `LASTED_SECONDS`.
        sent: This owner has sent its start, or its worker has reported it.
    """

    member: Member
    position: int
    alone: bool
    lasted: bool
    sent: bool


class Crashes:
    """Counts, for each task, the workers that crashed under it.

    Attributes:
        found: Crashes counted since the last call of `pop_found`.
    """

    def __init__(self, give_up: Callable[[Job], None]) -> None:
        """Start with no crashes.

        Args:
            give_up: Called with the job of a task that crashes its workers.
        """
        self.found: list[Crash] = []
        self._give_up = give_up
        # By address of a silent worker: when its lease ended, and the tasks on it.
        self._pending: dict[str, tuple[float, tuple[_Loss, ...]]] = {}

    def record_crash(self, worker: Worker) -> None:
        """Count the crash of a worker, unless it was leaving or drained."""
        _, before = self._pending.pop(worker.entry.address, (0.0, ()))
        self._count((*before, *_list_losses(worker)))

    def record_silence(self, worker: Worker, now: float) -> None:
        """Keep the tasks of a worker that was silent until its lease was over.

        It may be partitioned and still run, or have crashed; the next answer from its
        address shows which.
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
        """Decide by an answer whether the silent worker at that address crashed.

        The same incarnation was only partitioned; if another one answers, the silent
        one has crashed.
        """
        self.record_entry(address, worker, now)
        self._pending.pop(address, None)

    def record_entry(self, address: str, worker: str, now: float) -> None:
        """Count a silent worker as crashed if another one is listed at its address.

        An entry of the same incarnation shows nothing: it stays for seconds after its
        end.
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
            # A new owner may detect a crash again that an earlier one had counted.
            if loss.lasted or unit.job.state.final or before.run == loss.member.run:
                continue
            count = CrashCount(
                loss.position,
                before.count + 1,
                max(before.run, loss.member.run),
                before.alone + loss.alone,
            )
            unit.crashes[loss.position] = count
            # A task that lasts is restarted however it ends.
            given_up = (
                loss.sent and not unit.step.daemon and _is_given_up(count, loss.alone)
            )
            self.found.append(Crash(loss.member, count, given_up))
            if given_up:
                self._give_up(unit.job)


def _list_losses(worker: Worker) -> list[_Loss]:
    """Return the tasks that a worker may have; none if it was leaving or drained."""
    if worker.entry.leaving or worker.closed:
        return []
    members = [
        member
        for member in worker.members.values()
        if member.state in (MemberState.SENT, MemberState.UP)
    ]
    alone = len({id(member.unit) for member in members}) == 1
    return [
        _Loss(
            member,
            member.unit.members.index(member),
            alone and _has_just_started(member, worker),
            lasted=member.find_run_seconds(worker.answered_at) > LASTED_SECONDS,
            sent=member.reached or not member.restored,
        )
        for member in members
        if member.unit.phase is Phase.ORDERED
    ]


def _has_just_started(member: Member, worker: Worker) -> bool:
    """Whether a worker stopped answering shortly after a task's start.

    Only for a start that reached it: one that timed out looks the same on a worker that
    was partitioned before, and crashes before the partition ends.
    """
    if worker.unanswered_at is None or not member.reached:
        return False
    return 0 <= member.find_age(worker.unanswered_at) < CRASH_AT_START_SECONDS


def _is_given_up(count: CrashCount, alone: bool) -> bool:
    if count.alone >= ALONE_LIMIT or count.count >= CRASH_LIMIT:
        return True
    return alone and count.count >= TRIAL_LIMIT


def is_isolated(unit: Unit) -> bool:
    """Whether a unit is to be tried on workers of its own."""
    return any(each.count >= ISOLATION_COUNT for each in unit.crashes.values())


def awaits_isolation(unit: Unit, now: float) -> bool:
    """Whether a unit still waits for workers of its own."""
    if not is_isolated(unit):
        return False
    since = unit.isolating_since
    return since is None or now - since < ISOLATION_SECONDS


def is_on_trial(member: Member, now: float) -> bool:
    """Whether nothing else is to be started beside a task."""
    return is_isolated(member.unit) and member.find_age(now) < TRIAL_SECONDS

"""Which question the advice service is asked next.

Load: queues whose steps may run on some workers only, which nobody but a slow
service knows: it answers one question at a time, and longer for each worker named.
Harm: asked about the whole fleet for each step, urgent steps wait behind the
questions of others; asked about too few workers, a gang never finds enough of them.
So the most pressing step is asked about first, about a few workers for each task that
waits, those with the most room first, and what was said is remembered: the workers of
a step do not change, only its tickets run out.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from primrosestile.decisions.work.board import Board
from primrosestile.decisions.work.durations import Durations
from primrosestile.decisions.work.ordering import find_entitled, rank_unit
from primrosestile.decisions.work.placing import Rooms, count_allowed, make_rooms
from primrosestile.decisions.work.units import Permit, Permits, Unit
from primrosestile.state.policy import Advised

# What a job's objective allows for: one question about this many workers a step.
WORKERS_PER_QUESTION = 30
# Named for each task that waits, as some of them may not be allowed.
WORKERS_PER_TASK = 4
# Before a ticket runs out: the start is on its way, and clocks differ by 2%.
MARGIN_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class Question:
    """Workers to ask about for one step.

    Attributes:
        seconds: What the answer is expected to take.
    """

    unit: Unit
    step: str
    workers: tuple[str, ...]
    seconds: float


@dataclass(slots=True)
class _Wanted:
    """What the waiting units of one step lack.

    Attributes:
        tasks: That wait and have no allowed worker with room.
    """

    unit: Unit
    tasks: int = 0
    units: list[Unit] = field(default_factory=list)


def choose_question(board: Board, durations: Durations, now: float) -> Question | None:
    """Return the question that helps the most pressing step, or None."""
    waiting = [
        unit for unit in board.list_waiting(now) if unit.job.queue.advised is not None
    ]
    if not waiting:
        return None
    entitled = find_entitled(board)
    waiting.sort(
        key=lambda unit: rank_unit(
            unit, now, unit.job.job_id in entitled, durations
        ).make_key()
    )
    rooms = make_rooms(board, now)
    for wanted in _group(waiting):
        question = _ask_about(wanted, rooms, now)
        if question is not None:
            return question
    return None


def _group(waiting: Iterable[Unit]) -> list[_Wanted]:
    """Return the steps that wait, each with how many of its tasks do."""
    steps: dict[tuple[str, int, int], _Wanted] = {}
    for unit in waiting:
        wanted = steps.setdefault(unit.step_key, _Wanted(unit))
        wanted.tasks += unit.size
    return list(steps.values())


def _ask_about(wanted: _Wanted, rooms: Rooms, now: float) -> Question | None:
    unit = wanted.unit
    permits = unit.job.find_permits(unit.step_key)
    pool = unit.job.queue.pool or unit.job.submission.pool
    lacking = wanted.tasks
    unknown: list[tuple[int, str]] = []
    for name, room in rooms.items():
        entry = room.worker.entry
        step = unit.step
        if entry.pool != pool or (step.label and step.label not in entry.labels):
            continue
        fitting = count_allowed(unit, room)
        if permits.is_valid(name, now):
            lacking -= fitting
        elif name not in permits.refused:
            # A worker that was allowed before needs but a new ticket.
            known = name in permits.granted
            unknown.append((-fitting - 1_000 * known, name))
    if lacking <= 0 or not unknown:
        return None
    unknown.sort()
    count = min(WORKERS_PER_QUESTION, WORKERS_PER_TASK * max(1, lacking))
    workers = tuple(name for _, name in unknown[:count])
    advised = unit.job.queue.advised
    assert advised is not None, "only steps of advised queues are asked about"
    return Question(unit, _name_step(unit), workers, _expect(advised, len(workers)))


def _name_step(unit: Unit) -> str:
    return f"{unit.job.job_id}.{unit.key.occurrence}.{unit.key.step}"


def _expect(advised: Advised, count: int) -> float:
    return advised.decide_seconds + count * advised.per_worker_seconds


def note_answer(
    question: Question, allowed: dict[str, str], asked_at: float
) -> Permits:
    """Take an answer in; return what is known of the step's workers now.

    Args:
        question: That was asked.
        allowed: The ticket of each worker that the step may run on.
        asked_at: When the question was sent; tickets are taken to count from then.
    """
    unit = question.unit
    permits = unit.job.find_permits(unit.step_key)
    advised = unit.job.queue.advised
    valid = advised.valid_seconds if advised is not None else 0.0
    for worker in question.workers:
        if worker in allowed:
            until = asked_at + valid - MARGIN_SECONDS
            permits.granted[worker] = Permit(allowed[worker], until)
        else:
            permits.refused.add(worker)
    return permits

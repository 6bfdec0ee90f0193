"""Which question the advice service is asked next.

Load: queues whose steps may run on some workers only, which nobody but a slow
service knows: it answers one question at a time, and longer for each worker named.
Harm: asked about the whole fleet for each step, urgent steps wait behind the
questions of others; asked about too few workers, a gang never finds enough of them.
So the most pressing step is asked about first, about a few workers for each task that
waits, those with the most room first, and what was said is remembered: the workers of
a step do not change, only its tickets run out.
"""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from primrosestile.decisions.work.board import Board
from primrosestile.decisions.work.durations import Durations
from primrosestile.decisions.work.ordering import find_entitled, rank_unit
from primrosestile.decisions.work.placing import (
    Room,
    Rooms,
    count_allowed,
    make_rooms,
)
from primrosestile.decisions.work.units import Permit, Unit
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
    tasks: Counter[tuple[str, int, int]] = Counter()
    steps: dict[tuple[str, int, int], Unit] = {}
    for unit in waiting:
        tasks[unit.step_key] += unit.size
        steps.setdefault(unit.step_key, unit)
    for key, unit in steps.items():
        question = _ask_about(unit, tasks[key], rooms, now)
        if question is not None:
            return question
    return None


def _ask_about(unit: Unit, tasks: int, rooms: Rooms, now: float) -> Question | None:
    """Return a question about a step unless enough of its workers are known.

    Args:
        unit: One of the step's waiting units.
        tasks: How many tasks of the step wait.
        rooms: What is free.
        now: On the loop's clock.
    """
    permits = unit.job.find_permits(unit.step_key)
    lacking = tasks
    unknown: list[tuple[bool, int, str]] = []
    for name, room in _list_candidates(unit, rooms):
        fitting = count_allowed(unit, room)
        if permits.is_valid(name, now):
            lacking -= fitting
        elif name not in permits.refused:
            # A worker that was allowed before needs but a new ticket.
            unknown.append((name not in permits.granted, -fitting, name))
    if lacking <= 0 or not unknown:
        return None
    unknown.sort()
    count = min(WORKERS_PER_QUESTION, WORKERS_PER_TASK * lacking)
    workers = tuple(name for _, _, name in unknown[:count])
    advised = unit.job.queue.advised
    assert advised is not None, "only steps of advised queues are asked about"
    return Question(unit, _name_step(unit), workers, _expect(advised, len(workers)))


def _list_candidates(unit: Unit, rooms: Rooms) -> Iterator[tuple[str, Room]]:
    """Yield the workers of a step's pool that carry its label."""
    pool = unit.job.queue.pool or unit.job.submission.pool
    label = unit.step.label
    for name, room in rooms.items():
        entry = room.worker.entry
        if entry.pool == pool and (not label or label in entry.labels):
            yield name, room


def _name_step(unit: Unit) -> str:
    return f"{unit.job.job_id}.{unit.key.occurrence}.{unit.key.step}"


def _expect(advised: Advised, count: int) -> float:
    return advised.decide_seconds + count * advised.per_worker_seconds


def note_answer(question: Question, allowed: dict[str, str], asked_at: float) -> None:
    """Take an answer in.

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

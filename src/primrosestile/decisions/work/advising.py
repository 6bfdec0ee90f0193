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
from dataclasses import dataclass

from primrosestile.decisions.work.board import Board
from primrosestile.decisions.work.durations import Durations
from primrosestile.decisions.work.ordering import find_entitled, rank_units
from primrosestile.decisions.work.placing import (
    Rooms,
    count_allowed,
    list_suitable,
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
    ranked = rank_units(waiting, now, find_entitled(board), durations)
    rooms = make_rooms(board, now)
    tasks: Counter[tuple[str, int, int]] = Counter()
    steps: dict[tuple[str, int, int], Unit] = {}
    for _, unit in ranked:
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
    permits = unit.permits
    lacking = tasks
    unknown: list[tuple[bool, int, str]] = []
    for room in list_suitable(unit, rooms):
        name = room.worker.name
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
    permits = unit.permits
    advised = unit.job.queue.advised
    valid = advised.valid_seconds if advised is not None else 0.0
    for worker in question.workers:
        if worker in allowed:
            until = asked_at + valid - MARGIN_SECONDS
            permits.granted[worker] = Permit(allowed[worker], until)
        else:
            permits.refused.add(worker)

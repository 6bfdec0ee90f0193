"""Chooses the next question for the advice service.

Load: queues whose steps may run only on some workers. Which ones, only a slow service
knows; it answers one question at a time, and takes longer for each worker named.
Harm: with questions about the whole fleet for each step, urgent steps wait behind the
questions of others; with too few workers named, a gang never gets enough of them.
So the most urgent step is asked about first, with a few workers for each waiting task,
those with the most room first. Answers are kept: the allowed workers of a step do not
change, only its tickets expire.
"""

from collections import Counter
from dataclasses import dataclass

from primrosestile.decisions.work.durations import Durations
from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.decisions.work.permits import Permit
from primrosestile.decisions.work.placement import count_allowed, list_suitable
from primrosestile.decisions.work.queue_order import find_entitled, rank_units
from primrosestile.decisions.work.rooms import Rooms, make_rooms
from primrosestile.decisions.work.units import Unit
from primrosestile.decisions.work.waiting_units import list_waiting
from primrosestile.state.policy import AdviceRules

# A job's objective allows for one question about this many workers per step.
WORKERS_PER_QUESTION = 30
# Workers named per waiting task, as some of them may not be allowed.
WORKERS_PER_TASK = 4
# A ticket is not used this shortly before it expires: the start takes time to arrive,
# and clocks differ by 2%.
TICKET_MARGIN_SECONDS = 0.5


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


def choose_question(
    fleet_state: FleetState, durations: Durations, now: float
) -> Question | None:
    """Return a question about the most urgent step that needs one, or None."""
    waiting = [
        unit
        for unit in list_waiting(fleet_state.jobs.values(), now)
        if unit.job.queue.advised is not None
    ]
    if not waiting:
        return None
    ranked = rank_units(waiting, now, find_entitled(fleet_state), durations)
    rooms = make_rooms(fleet_state, now)
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
    """Return a question about a step, or None if enough allowed workers are known.

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
            # Workers that were allowed before go first: they only need a new ticket.
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


def _expect(advised: AdviceRules, count: int) -> float:
    return advised.decide_seconds + count * advised.per_worker_seconds


def record_answer(question: Question, allowed: dict[str, str], asked_at: float) -> None:
    """Store an answer in its step's permits.

    Args:
        question: The one that was asked.
        allowed: The ticket of each worker that the step may run on.
        asked_at: When the question was sent; the tickets' validity counts from then.
    """
    unit = question.unit
    permits = unit.permits
    advised = unit.job.queue.advised
    valid = advised.valid_seconds if advised is not None else 0.0
    for worker in question.workers:
        if worker in allowed:
            until = asked_at + valid - TICKET_MARGIN_SECONDS
            permits.granted[worker] = Permit(allowed[worker], until)
        else:
            permits.refused.add(worker)

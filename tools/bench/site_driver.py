"""Plays a day's jobs against the owner's decisions, on a virtual clock.

Only what decides is real: the picture, one pass after another, and what is learned
from ends. Workers here start at once, stop in a fixed time and take as long as they
take. There is no network, no store and no process.
"""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from primrosestile.decisions.work.board import Board
from primrosestile.decisions.work.durations import Durations
from primrosestile.decisions.work.ordering import Rank
from primrosestile.decisions.work.placing import (
    fill,
    find_eligible,
    make_rooms,
    take_rooms,
)
from primrosestile.decisions.work.planning import Assignment, Plan, make_plan
from primrosestile.decisions.work.preempting import CORES_PER_ACCELERATOR
from primrosestile.decisions.work.speeds import Speeds
from primrosestile.decisions.work.units import Proof, Unit
from primrosestile.state.policy import Policy, Pool, Queue
from primrosestile.state.work import JobState
from primrosestile.state.workers import EndKind, WorkerEntry
from tools.bench.site_workloads import Arrival, Workload

TICK_SECONDS = 0.25
# From an order to the worker's word, and from a stop to its end.
START_SECONDS = 0.01
STOP_SECONDS = 0.2
FAR_FACTOR = 3.0
# Jobs may end this much after the last has come.
CLOSING_SECONDS = 40.0


class Planner(Protocol):
    """Decides what starts and what is stopped."""

    def __call__(
        self, board: Board, durations: Durations, speeds: Speeds, now: float
    ) -> Plan:
        """Return what to do now."""
        ...


def plan_first_fit(
    board: Board, durations: Durations, speeds: Speeds, now: float
) -> Plan:
    """Start what fits in the order of arrival; keep, stop and learn nothing."""
    rooms = make_rooms(board, now)
    starts = []
    waiting = sorted(board.list_waiting(now), key=lambda unit: unit.job.accepted)
    for unit in waiting:
        workers = fill(unit, find_eligible(unit, rooms, now))
        if workers is not None:
            rank = Rank(False, False, unit.job.queue.priority, 0.0)
            starts.append(Assignment(unit, tuple(workers), rank))
            take_rooms(unit, workers, rooms)
    return Plan(tuple(starts), ())


PLANNERS: dict[str, Planner] = {
    "primrosestile": make_plan,
    "first_fit": plan_first_fit,
}


@dataclass(slots=True)
class Outcome:
    """What became of one job.

    Attributes:
        ended_at: None when it did not end in the day.
    """

    arrival: Arrival
    ended_at: float | None = None
    failed: bool = False

    @property
    def credit(self) -> float:
        """What its caller got, of `arrival.worth`."""
        if self.ended_at is None or self.failed:
            return 0.0
        taken = self.ended_at - self.arrival.at
        if taken <= self.arrival.objective:
            return self.arrival.worth
        if taken <= 3 * self.arrival.objective:
            return self.arrival.late_worth
        return 0.0


@dataclass(slots=True)
class Day:
    """Everything that is counted of a day.

    Attributes:
        thrown_away: Core-seconds of runs that were stopped and not saved.
        far: Runs away from their data or over several racks.
        passes: Passes made.
    """

    outcomes: list[Outcome] = field(default_factory=list)
    thrown_away: float = 0.0
    far: int = 0
    stops: int = 0
    passes: int = 0


@dataclass(slots=True, eq=False)
class _Run:
    """One run of a unit, and the share of its work that was done before it."""

    unit: Unit
    number: int
    began: float
    done_before: float
    rates: dict[str, float]


class SiteRun:
    """One day under one planner."""

    def __init__(
        self, workload: Workload, arrivals: list[Arrival], planner: Planner
    ) -> None:
        self._workload = workload
        self._planner = planner
        self._arrivals = {each.submission.job_id: each for each in arrivals}
        self._durations = Durations()
        self._speeds = Speeds()
        self._board = Board(_make_policy(workload), wall=0.0)
        self._speed_of = {}
        for number in range(workload.workers):
            entry = _make_worker(workload, number)
            self._board.add_worker(entry).in_hand = True
            turn = number % len(workload.speeds)
            self._speed_of[entry.worker] = workload.speeds[turn]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count()
        self._now = 0.0
        self._runs: dict[int, _Run] = {}
        self._saved: dict[int, float] = {}
        self._failed_once: set[str] = set()
        self._stopping: set[int] = set()
        self._outcomes: dict[str, Outcome] = {}
        self.day = Day()
        for arrival in arrivals:
            self._call_at(arrival.at, lambda each=arrival: self._admit(each))

    def run(self) -> Day:
        """Play the day to its end."""
        ends_at = self._workload.seconds + CLOSING_SECONDS
        tick = 0.0
        while tick < ends_at:
            tick = min(self._now + TICK_SECONDS, ends_at)
            if self._events and self._events[0][0] <= tick:
                self._now, _, act = heapq.heappop(self._events)
                act()
                while self._events and self._events[0][0] <= self._now + 0.004:
                    heapq.heappop(self._events)[2]()
            else:
                self._now = tick
            self._pass()
        self.day.outcomes = list(self._outcomes.values())
        return self.day

    def _call_at(self, at: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._count), act))

    def _admit(self, arrival: Arrival) -> None:
        job = self._board.admit(arrival.submission, None, self._now, 0.0)
        self._board.open_occurrence(job, 0)
        self._outcomes[job.job_id] = Outcome(arrival)

    def _pass(self) -> None:
        self.day.passes += 1
        self._note_progress()
        plan = self._planner(self._board, self._durations, self._speeds, self._now)
        for start in plan.starts:
            names = [worker.name for worker in start.workers]
            self._board.order(start.unit, names, self._now)
            self._call_at(
                self._now + START_SECONDS, lambda unit=start.unit: self._begin(unit)
            )
        for member in list(self._board.list_stopping()):
            unit = member.unit
            if id(unit) not in self._stopping:
                self._stopping.add(id(unit))
                self._call_at(
                    self._now + STOP_SECONDS, lambda each=unit: self._stop(each)
                )

    def _note_progress(self) -> None:
        for run in self._runs.values():
            for member in run.unit.members:
                rate = run.rates[member.worker]
                share = run.done_before + (self._now - run.began) / rate
                member.percent = min(100.0, 100 * share)

    def _begin(self, unit: Unit) -> None:
        if unit.abandoned or not unit.members:
            return
        arrival = self._arrivals[unit.job.job_id]
        far = self._is_far(unit)
        self.day.far += far
        rates = {}
        for index, member in enumerate(unit.members):
            position = index if unit.step.gang else unit.key.position
            seconds = arrival.seconds[position] * self._speed_of[member.worker]
            rates[member.worker] = seconds * (FAR_FACTOR if far else 1.0)
            self._board.note_up(member, self._now)
        done = self._saved.get(id(unit), 0.0)
        run = _Run(unit, unit.run, self._now, done, rates)
        self._runs[id(unit)] = run
        left = (1 - done) * max(rates.values())
        if arrival.fails_at and unit.job.job_id not in self._failed_once:
            self._failed_once.add(unit.job.job_id)
            self._call_at(
                self._now + left * arrival.fails_at,
                lambda: self._end(run, EndKind.FAILED),
            )
            return
        self._call_at(self._now + left, lambda: self._end(run, EndKind.DONE))

    def _is_far(self, unit: Unit) -> bool:
        racks = {
            self._board.workers[member.worker].entry.rack for member in unit.members
        }
        step = unit.step
        if step.data_rack:
            return racks != {step.data_rack}
        return step.one_rack and len(racks) > 1

    def _end(self, run: _Run, kind: EndKind) -> None:
        if self._runs.get(id(run.unit)) is not run or run.unit.run != run.number:
            return
        del self._runs[id(run.unit)]
        unit = run.unit
        job = unit.job
        if kind is EndKind.DONE:
            self._learn(unit, run)
        else:
            self._throw_away(run)
        members = list(unit.members)
        for member in members:
            self._board.note_end(member.task, member.run, kind, "")
        for member in members:
            self._board.note_gone(member, Proof.ENDED)
        if job.state.final:
            outcome = self._outcomes[job.job_id]
            outcome.ended_at = self._now
            outcome.failed = job.state is not JobState.COMPLETED

    def _learn(self, unit: Unit, run: _Run) -> None:
        first = unit.members[0]
        for member in unit.members:
            member.moved_at = self._now
        self._speeds.note_done(first, self._now)
        if not run.done_before:
            seconds = self._now - run.began
            estimate = unit.step.estimate_seconds
            self._durations.learn(unit.job.submission.queue, estimate, seconds)

    def _stop(self, unit: Unit) -> None:
        self._stopping.discard(id(unit))
        run = self._runs.pop(id(unit), None)
        if run is not None:
            self.day.stops += 1
            if unit.step.checkpoints:
                slowest = max(run.rates.values())
                done = run.done_before + (self._now - run.began) / slowest
                self._saved[id(unit)] = min(1.0, done)
                unit.checkpoint = "saved"
            else:
                self._throw_away(run)
        for member in list(unit.members):
            self._board.note_gone(member, Proof.ENDED)

    def _throw_away(self, run: _Run) -> None:
        need = run.unit.step.need
        cores = need.processor / 1000 + need.accelerators * CORES_PER_ACCELERATOR
        self.day.thrown_away += cores * run.unit.size * (self._now - run.began)


def _make_policy(workload: Workload) -> Policy:
    queues = tuple(
        Queue(
            name=kind.queue,
            host="host",
            prefix=f"/{kind.queue}/",
            pool=workload.name,
            priority=kind.priority,
            attempts=kind.attempts,
            stretch=kind.stretch,
            objective_seconds=kind.objective_seconds,
            timeout_seconds=3.0,
        )
        for kind in workload.kinds
    )
    organisations = [f"o{number}" for number in range(workload.organisations)]
    return Policy(
        version=1,
        revision=1,
        queues=queues,
        pools={workload.name: Pool(workload.name, True)},
        guarantees=dict.fromkeys(organisations, workload.guarantee),
    )


def _make_worker(workload: Workload, number: int) -> WorkerEntry:
    rack = f"r{number // workload.rack_size}"
    return WorkerEntry(
        worker=f"w{number}",
        address=f"a{number}",
        pool=workload.name,
        failure_domain=rack,
        capacity=workload.capacity,
        labels=("a", rack),
        rack=rack,
        leaving=False,
    )

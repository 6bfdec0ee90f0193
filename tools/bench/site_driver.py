"""Plays a day's jobs against the owner's decisions, on a virtual clock.

Only what decides is real: the picture, one pass after another, and what is learned
from ends. Workers here start at once, stop in a fixed time and take as long as they
take; some stand still, turn slow, fail what they start or leave, as the workload
says. There is no network, no store and no process.
"""

import heapq
import itertools
import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Protocol

from primrosestile.decisions.work.durations import Durations
from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.decisions.work.placement import (
    fill,
    find_eligible,
    make_rooms,
    take_rooms,
)
from primrosestile.decisions.work.plan import Assignment, Plan, make_plan
from primrosestile.decisions.work.preemption import count_cores
from primrosestile.decisions.work.queue_order import Rank
from primrosestile.decisions.work.speeds import Speeds
from primrosestile.decisions.work.units import Proof, Unit
from primrosestile.decisions.work.worker_quarantine import WorkerQuarantine
from primrosestile.state.policy import Policy, Pool, Queue
from primrosestile.state.work import JobState
from primrosestile.state.workers import EndKind, WorkerEntry
from tools.bench.site_workloads import (
    LATE_OBJECTIVES,
    Arrival,
    Fault,
    Trouble,
    Workload,
    draw_struck,
    is_servable,
    name_rack,
)

TICK_SECONDS = 0.25
# How often a worker's progress is heard of while nothing ends on it.
LOOK_SECONDS = 1.0
# A worker that fails everything does so this soon after a start.
FAIL_SECONDS = 0.04
# From an order to the worker's word, and from a stop to its end.
START_SECONDS = 0.01
STOP_SECONDS = 0.2
# A start is sent three times, and given up when nothing of it was answered.
START_GIVEN_UP_SECONDS = 1.35
FAR_FACTOR = 3.0
# Jobs may end this much after the last has come.
CLOSING_SECONDS = 40.0


class Planner(Protocol):
    """Decides what starts and what is stopped."""

    def __call__(
        self, fleet_state: FleetState, durations: Durations, speeds: Speeds, now: float
    ) -> Plan:
        """Return what to do now."""
        ...


def plan_first_fit(
    fleet_state: FleetState, durations: Durations, speeds: Speeds, now: float
) -> Plan:
    """Start what fits in the order of arrival; keep, stop and learn nothing."""
    rooms = make_rooms(fleet_state, now)
    starts = []
    waiting = sorted(fleet_state.list_waiting(now), key=lambda unit: unit.job.accepted)
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
        servable: Whether somebody could have served its caller at all.
    """

    arrival: Arrival
    servable: bool = True
    ended_at: float | None = None
    failed: bool = False
    cancelled: bool = False

    @property
    def credit(self) -> float:
        """What its caller got, of `arrival.worth`."""
        if self.ended_at is None or self.failed:
            return 0.0
        taken = self.ended_at - self.arrival.at
        if taken <= self.arrival.objective:
            return self.arrival.worth
        if taken <= LATE_OBJECTIVES * self.arrival.objective:
            return self.arrival.late_worth
        return 0.0


@dataclass(slots=True)
class Day:
    """Everything that is counted of a day.

    Attributes:
        thrown_away: Core-seconds of runs that were stopped or failed, not saved.
        far: Runs away from their data or over several racks.
        stops: Runs that were stopped, for others or since they were cancelled.
        restarts: Starts of units after their first.
        most_starts: Of one unit.
        passes: Passes made.
        rescues: Runs that were stopped since a member stood still.
    """

    outcomes: list[Outcome] = field(default_factory=list)
    thrown_away: float = 0.0
    far: int = 0
    stops: int = 0
    restarts: int = 0
    most_starts: int = 0
    passes: int = 0
    stall_restarts: int = 0


@dataclass(slots=True, eq=False)
class _Run:
    """One run of a unit.

    Attributes:
        seconds: By member, on a usual worker, from nothing to all of its work.
        shares: How much of it each member has done, as of `at`.
        plans: Counts changes of its end; what was planned before them is void.
    """

    unit: Unit
    number: int
    began: float
    at: float
    seconds: list[float]
    shares: list[float]
    resumed: bool
    fails: bool = False
    plans: int = 0

    def advance(self, now: float, paces: dict[str, float]) -> None:
        """Count the work done since the last call, at each worker's present pace."""
        for index, member in enumerate(self.unit.members):
            taken = self.seconds[index] * paces[member.worker]
            self.shares[index] += (now - self.at) / taken
        self.at = now

    def find_left(self, paces: dict[str, float]) -> float:
        """Return when the slowest member has done all of its work, at this pace."""
        return max(
            max(0.0, 1 - share) * seconds * paces[member.worker]
            for share, seconds, member in zip(
                self.shares, self.seconds, self.unit.members, strict=True
            )
        )


@dataclass(frozen=True, slots=True)
class Learning:
    """What a day begins to learn with."""

    durations: Durations = field(default_factory=Durations)
    speeds: Speeds = field(default_factory=Speeds)
    trust: WorkerQuarantine = field(default_factory=WorkerQuarantine)


class SiteRun:
    """One day under one planner."""

    def __init__(
        self,
        workload: Workload,
        arrivals: list[Arrival],
        planner: Planner,
        seed: int = 0,
        learning: Learning | None = None,
    ) -> None:
        self._workload = workload
        self._planner = planner
        self._arrivals = {each.submission.job_id: each for each in arrivals}
        learning = learning or Learning()
        self._durations = learning.durations
        self._speeds = learning.speeds
        self._trust = learning.trust
        self._board = FleetState(_make_policy(workload), wall=0.0)
        # How many times as long as usual each worker takes at present.
        self._paces: dict[str, float] = {}
        self._looked_at: dict[str, float] = {}
        self._failing: Counter[str] = Counter()
        self._silent: Counter[str] = Counter()
        self._away = 0
        for number in range(workload.workers):
            entry = _make_worker(workload, number)
            self._board.add_worker(entry).acquired = True
            turn = number % len(workload.speeds)
            self._paces[entry.worker] = workload.speeds[turn]
            self._looked_at[entry.worker] = LOOK_SECONDS * number / workload.workers
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count()
        self._now = 0.0
        self._runs: dict[int, _Run] = {}
        self._saved: dict[int, float] = {}
        self._starts: Counter[int] = Counter()
        self._failed_once: set[str] = set()
        self._stopping: set[int] = set()
        self._outcomes: dict[str, Outcome] = {}
        self._unheard: list[Arrival] = []
        self.day = Day()
        for arrival in arrivals:
            self._call_at(arrival.at, lambda each=arrival: self._admit(each))
            if arrival.cancelled_at is not None:
                self._call_at(
                    arrival.cancelled_at, lambda each=arrival: self._cancel(each)
                )
        struck = draw_struck(workload, seed)
        for trouble, numbers in zip(workload.troubles, struck, strict=True):
            self._plan_trouble(trouble, [f"w{number}" for number in numbers])

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
            if not self._away:
                self._pass()
        self.day.outcomes = list(self._outcomes.values())
        self.day.restarts = sum(count - 1 for count in self._starts.values())
        self.day.most_starts = max(self._starts.values(), default=0)
        return self.day

    def _call_at(self, at: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._count), act))

    def _plan_trouble(self, trouble: Trouble, struck: list[str]) -> None:
        ends_at = trouble.at + trouble.seconds
        self._call_at(trouble.at, lambda: self._strike(trouble, struck, 1))
        self._call_at(ends_at, lambda: self._strike(trouble, struck, -1))

    def _strike(self, trouble: Trouble, struck: list[str], sign: int) -> None:
        """Begin a fault, or end it."""
        if trouble.fault is Fault.AWAY:
            self._away += sign
            for arrival in self._unheard if not self._away else ():
                self._hear(arrival)
            self._unheard = self._unheard if self._away else []
        elif trouble.fault is Fault.FAIL:
            for name in struck:
                self._failing[name] += sign
        elif trouble.fault is Fault.SILENT:
            for name in struck:
                self._silent[name] += sign
        elif trouble.fault is Fault.LEAVE:
            for name in struck:
                self._leave(name, sign)
        else:
            factor = math.inf if trouble.fault is Fault.STILL else trouble.factor
            self._change_paces(struck, factor, sign)

    def _change_paces(self, struck: list[str], factor: float, sign: int) -> None:
        for run in self._runs.values():
            run.advance(self._now, self._paces)
        for name in struck:
            turn = int(name[1:]) % len(self._workload.speeds)
            usual = self._workload.speeds[turn]
            self._paces[name] = usual * factor if sign > 0 else usual
        for run in self._runs.values():
            if any(member.worker in struck for member in run.unit.members):
                self._plan_end(run)

    def _leave(self, name: str, sign: int) -> None:
        worker = self._board.workers.get(name)
        if worker is None:
            return
        if sign > 0:
            worker.entry = replace(worker.entry, leaving=True)
            return
        for member in list(worker.members.values()):
            run = self._runs.pop(id(member.unit), None)
            if run is not None:
                self._throw_away(run)
        self._board.drop_worker(name, Proof.INCARNATION_OVER)

    def _admit(self, arrival: Arrival) -> None:
        servable = is_servable(self._workload, arrival)
        self._outcomes[arrival.submission.job_id] = Outcome(arrival, servable)
        if self._away:
            self._unheard.append(arrival)
        else:
            self._hear(arrival)

    def _hear(self, arrival: Arrival) -> None:
        age = self._now - arrival.at
        job = self._board.admit(arrival.submission, None, self._now, age)
        self._board.open_occurrence(job, 0)

    def _cancel(self, arrival: Arrival) -> None:
        job = self._board.jobs.get(arrival.submission.job_id)
        if job is not None and not job.state.final:
            self._outcomes[job.job_id].cancelled = True
            self._board.finish(job, JobState.CANCELLED)

    def _pass(self) -> None:
        self.day.passes += 1
        self._note_progress()
        plan = self._planner(self._board, self._durations, self._speeds, self._now)
        for rescue in plan.stall_restarts:
            until = self._trust.record_stall(
                rescue.worker.name, self._now, len(self._board.workers)
            )
            rescue.worker.quarantined_until = max(
                rescue.worker.quarantined_until, until
            )
            self.day.stall_restarts += 1
        for start in plan.starts:
            names = [worker.name for worker in start.workers]
            self._board.order(start.unit, names, self._now)
            self._starts[id(start.unit)] += 1
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
        due = {
            name
            for name, at in self._looked_at.items()
            if self._now - at >= LOOK_SECONDS
        }
        for name in due:
            self._looked_at[name] = self._now
        for run in self._runs.values():
            if not any(member.worker in due for member in run.unit.members):
                continue
            run.advance(self._now, self._paces)
            for member, share in zip(run.unit.members, run.shares, strict=True):
                if member.worker not in due:
                    continue
                member.heard_at = self._now
                percent = math.floor(min(100.0, 100 * share))
                if percent > member.percent:
                    member.percent = percent
                    member.progressed_at = self._now

    def _begin(self, unit: Unit) -> None:
        if unit.abandoned or not unit.members:
            return
        if any(self._silent[member.worker] for member in unit.members):
            run = unit.run
            self._call_at(
                self._now + START_GIVEN_UP_SECONDS, lambda: self._give_up(unit, run)
            )
            return
        arrival = self._arrivals[unit.job.job_id]
        far = self._is_far(unit)
        self.day.far += far
        seconds = []
        for index, member in enumerate(unit.members):
            position = index if unit.step.gang else unit.key.position
            seconds.append(arrival.seconds[position] * (FAR_FACTOR if far else 1.0))
            self._board.mark_up(member, self._now)
        done = self._saved.get(id(unit), 0.0)
        shares = [done] * unit.size
        run = _Run(unit, unit.run, self._now, self._now, seconds, shares, done > 0)
        self._runs[id(unit)] = run
        job = unit.job.job_id
        if any(self._failing[member.worker] > 0 for member in unit.members):
            at = self._now + FAIL_SECONDS
            self._call_at(at, lambda: self._end(run, EndKind.FAILED))
        elif arrival.fails_at and job not in self._failed_once:
            self._failed_once.add(job)
            run.fails = True
        self._plan_end(run)

    def _give_up(self, unit: Unit, run: int) -> None:
        """End a start that was not answered; something may run all the same."""
        if unit.run == run:
            self._board.abandon(unit)

    def _plan_end(self, run: _Run) -> None:
        run.plans += 1
        plan = run.plans
        left = run.find_left(self._paces)
        kind = EndKind.DONE
        if run.fails:
            kind = EndKind.FAILED
            left *= self._arrivals[run.unit.job.job_id].fails_at
        if left < math.inf:
            self._call_at(
                self._now + left,
                lambda: self._end(run, kind) if run.plans == plan else None,
            )

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
            self._note_failed(unit, run)
        members = list(unit.members)
        for member in members:
            self._board.record_end(member.task, member.run, kind, "")
        for member in members:
            self._board.mark_gone(member, Proof.ENDED)
        if job.state.final and job.state is not JobState.CANCELLED:
            outcome = self._outcomes[job.job_id]
            outcome.ended_at = self._now
            outcome.failed = job.state is not JobState.COMPLETED

    def _learn(self, unit: Unit, run: _Run) -> None:
        first = unit.members[0]
        for member in unit.members:
            member.progressed_at = self._now
            self._trust.record_success(member.worker)
        self._speeds.record_success(first, self._now)
        if not run.resumed:
            seconds = self._now - run.began
            estimate = unit.step.estimate_seconds
            self._durations.learn(unit.job.submission.queue, estimate, seconds)

    def _note_failed(self, unit: Unit, run: _Run) -> None:
        seconds = self._now - run.began
        for member in unit.members:
            worker = self._board.workers[member.worker]
            if run.fails or self._failing[member.worker] > 0:
                worker.quarantined_until = self._trust.record_failure(
                    worker.name,
                    unit.job.job_id,
                    seconds,
                    self._now,
                    len(self._board.workers),
                )

    def _stop(self, unit: Unit) -> None:
        """End a run where the workers answer; the others are told again."""
        silent = [each for each in unit.members if self._silent[each.worker]]
        if not silent:
            self._stopping.discard(id(unit))
        else:
            number = unit.run
            again = self._now + STOP_SECONDS
            self._call_at(again, lambda: self._stop_again(unit, number))
            if len(silent) == unit.size:
                return
        run = self._runs.pop(id(unit), None)
        if run is not None:
            self.day.stops += 1
            run.advance(self._now, self._paces)
            if unit.step.checkpoints and not unit.job.state.final:
                self._saved[id(unit)] = min(1.0, *run.shares, 1.0)
                unit.checkpoint = "saved"
            else:
                self._throw_away(run)
        for member in list(unit.members):
            if not self._silent[member.worker]:
                self._board.mark_gone(member, Proof.ENDED)

    def _stop_again(self, unit: Unit, run: int) -> None:
        if unit.members and unit.run == run:
            self._stop(unit)
        else:
            self._stopping.discard(id(unit))

    def _throw_away(self, run: _Run) -> None:
        cores = count_cores(run.unit) * run.unit.size
        self.day.thrown_away += cores * (self._now - run.began)


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
    rack = name_rack(workload, number)
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

"""Simulates a day's jobs under the owner's decisions on a virtual clock.

Only the decisions are real: the fleet state, the scheduling passes and the run
statistics. Simulated workers start at once, stop in a fixed time and run for the drawn
times; some stall, slow down, fail what they start or leave, as the workload says. There
is no network, store or process.
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
from primrosestile.decisions.work.placement import fill, find_eligible
from primrosestile.decisions.work.plan import Assignment, Plan, make_plan
from primrosestile.decisions.work.preemption import count_cores
from primrosestile.decisions.work.proofs import Proof
from primrosestile.decisions.work.queue_order import Rank
from primrosestile.decisions.work.rooms import make_rooms, take_rooms
from primrosestile.decisions.work.speeds import Speeds
from primrosestile.decisions.work.units import Unit
from primrosestile.decisions.work.waiting_units import list_waiting
from primrosestile.decisions.work.worker_quarantine import WorkerQuarantine
from primrosestile.state.policy import Policy, Pool, Queue
from primrosestile.state.scheduling import DEFAULT_SETTINGS, SchedulingSettings
from primrosestile.state.work import JobState
from primrosestile.state.workers import EndKind, WorkerEntry
from tools.bench.site_workloads import (
    LATE_OBJECTIVES,
    Arrival,
    Fault,
    Trouble,
    Workload,
    draw_affected,
    is_servable,
    name_rack,
)

TICK_SECONDS = 0.25
# Interval at which each worker's progress is polled.
POLL_SECONDS = 1.0
# Time from a start to its failure on a worker that fails everything.
FAIL_SECONDS = 0.04
# Time from an order to the start of its task.
START_SECONDS = 0.01
# A start is sent three times, and abandoned when no attempt is answered.
START_TIMEOUT_SECONDS = 1.35
FAR_FACTOR = 3.0
# Jobs may end until this long after the last arrival.
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
    """Start what fits in order of arrival, without reservations or preemption."""
    rooms = make_rooms(fleet_state, now)
    starts = []
    waiting = sorted(
        list_waiting(fleet_state.jobs.values(), now), key=lambda unit: unit.job.accepted
    )
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
    """The outcome of one job.

    Attributes:
        ended_at: None when it did not end in the day.
        servable: Whether any scheduler could have served its caller.
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
    """The counts of a day.

    Attributes:
        thrown_away: Core-seconds of runs that were stopped or failed, not saved.
        far: Runs away from their data or over several racks.
        stops: Runs that were stopped, for other units or on cancellation.
        restarts: Starts of units after their first.
        max_starts: The most starts of one unit.
        passes: Scheduling passes.
        restarts_elsewhere: Runs that were stopped to restart on other workers.
    """

    outcomes: list[Outcome] = field(default_factory=list)
    thrown_away: float = 0.0
    far: int = 0
    stops: int = 0
    restarts: int = 0
    max_starts: int = 0
    passes: int = 0
    restarts_elsewhere: int = 0


@dataclass(slots=True, eq=False)
class _Run:
    """One run of a unit.

    Attributes:
        seconds: Time of all of each member's work on a usual worker.
        shares: Share of the work that each member has done, as of `at`.
        end_version: Counts changes of its end; ends scheduled before are void.
    """

    unit: Unit
    number: int
    began: float
    at: float
    seconds: list[float]
    shares: list[float]
    resumed: bool
    fails: bool = False
    end_version: int = 0

    def advance(self, now: float, slowdowns: dict[str, float]) -> None:
        """Add the work done since the last call at each worker's current speed."""
        for index, member in enumerate(self.unit.members):
            taken = self.seconds[index] * slowdowns[member.worker]
            self.shares[index] += (now - self.at) / taken
        self.at = now

    def find_remaining_seconds(self, slowdowns: dict[str, float]) -> float:
        """Return the seconds until the slowest member is done at the current speed."""
        return max(
            max(0.0, 1 - share) * seconds * slowdowns[member.worker]
            for share, seconds, member in zip(
                self.shares, self.seconds, self.unit.members, strict=True
            )
        )


@dataclass(frozen=True, slots=True)
class RunStatistics:
    """The run statistics and quarantine that a day starts with."""

    durations: Durations = field(default_factory=Durations)
    speeds: Speeds = field(default_factory=Speeds)
    quarantine: WorkerQuarantine = field(default_factory=WorkerQuarantine)


class SiteRun:
    """One day under one planner."""

    def __init__(
        self,
        workload: Workload,
        arrivals: list[Arrival],
        planner: Planner,
        seed: int = 0,
        statistics: RunStatistics | None = None,
    ) -> None:
        self._workload = workload
        self._planner = planner
        self._arrivals = {each.submission.job_id: each for each in arrivals}
        statistics = statistics or RunStatistics()
        self._durations = statistics.durations
        self._speeds = statistics.speeds
        self._quarantine = statistics.quarantine
        self._fleet_state = FleetState(
            _make_policy(workload), 0.0, _make_settings(workload)
        )
        # How many times as long as a usual worker each worker takes at present.
        self._slowdowns: dict[str, float] = {}
        self._polled_at: dict[str, float] = {}
        self._failing: Counter[str] = Counter()
        self._silent: Counter[str] = Counter()
        self._owner_outages = 0
        for number in range(workload.workers):
            entry = _make_worker(workload, number)
            self._fleet_state.add_worker(entry).acquired = True
            turn = number % len(workload.speeds)
            self._slowdowns[entry.worker] = workload.speeds[turn]
            self._polled_at[entry.worker] = POLL_SECONDS * number / workload.workers
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count()
        self._now = 0.0
        self._runs: dict[int, _Run] = {}
        self._saved: dict[int, float] = {}
        self._starts: Counter[int] = Counter()
        self._failed_once: set[str] = set()
        self._stopping: set[int] = set()
        self._outcomes: dict[str, Outcome] = {}
        self._unnoticed: list[Arrival] = []
        self.day = Day()
        for arrival in arrivals:
            self._call_at(arrival.at, lambda each=arrival: self._admit(each))
            if arrival.cancelled_at is not None:
                self._call_at(
                    arrival.cancelled_at, lambda each=arrival: self._cancel(each)
                )
        affected = draw_affected(workload, seed)
        for trouble, numbers in zip(workload.troubles, affected, strict=True):
            self._schedule_fault(trouble, [f"w{number}" for number in numbers])

    def run(self) -> Day:
        """Simulate the day to its end."""
        ends_at = self._workload.seconds + CLOSING_SECONDS
        tick = 0.0
        while tick < ends_at:
            tick = min(self._now + TICK_SECONDS, ends_at)
            if self._events and self._events[0][0] <= tick:
                self._now, _, action = heapq.heappop(self._events)
                action()
                while self._events and self._events[0][0] <= self._now + 0.004:
                    heapq.heappop(self._events)[2]()
            else:
                self._now = tick
            if not self._owner_outages:
                self._pass()
        self.day.outcomes = list(self._outcomes.values())
        self.day.restarts = sum(count - 1 for count in self._starts.values())
        self.day.max_starts = max(self._starts.values(), default=0)
        return self.day

    def _call_at(self, at: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._count), action))

    def _schedule_fault(self, trouble: Trouble, affected: list[str]) -> None:
        ends_at = trouble.at + trouble.seconds
        self._call_at(trouble.at, lambda: self._apply_fault(trouble, affected, 1))
        self._call_at(ends_at, lambda: self._apply_fault(trouble, affected, -1))

    def _apply_fault(self, trouble: Trouble, affected: list[str], sign: int) -> None:
        """Begin a fault (sign 1) or end it (sign -1)."""
        if trouble.fault is Fault.NO_OWNER:
            self._owner_outages += sign
            for arrival in self._unnoticed if not self._owner_outages else ():
                self._accept(arrival)
            self._unnoticed = self._unnoticed if self._owner_outages else []
        elif trouble.fault is Fault.FAIL:
            for name in affected:
                self._failing[name] += sign
        elif trouble.fault is Fault.SILENT:
            for name in affected:
                self._silent[name] += sign
        elif trouble.fault is Fault.LEAVE:
            for name in affected:
                self._leave(name, sign)
        else:
            factor = math.inf if trouble.fault is Fault.STALLED else trouble.factor
            self._change_slowdowns(affected, factor, sign)

    def _change_slowdowns(self, affected: list[str], factor: float, sign: int) -> None:
        for run in self._runs.values():
            run.advance(self._now, self._slowdowns)
        for name in affected:
            turn = int(name[1:]) % len(self._workload.speeds)
            typical = self._workload.speeds[turn]
            self._slowdowns[name] = typical * factor if sign > 0 else typical
        for run in self._runs.values():
            if any(member.worker in affected for member in run.unit.members):
                self._plan_end(run)

    def _leave(self, name: str, sign: int) -> None:
        worker = self._fleet_state.workers.get(name)
        if worker is None:
            return
        if sign > 0:
            worker.entry = replace(worker.entry, leaving=True)
            return
        for member in list(worker.members.values()):
            run = self._runs.pop(id(member.unit), None)
            if run is not None:
                self._throw_away(run)
        self._fleet_state.drop_worker(name, Proof.INCARNATION_OVER)

    def _admit(self, arrival: Arrival) -> None:
        servable = is_servable(self._workload, arrival)
        self._outcomes[arrival.submission.job_id] = Outcome(arrival, servable)
        if self._owner_outages:
            self._unnoticed.append(arrival)
        else:
            self._accept(arrival)

    def _accept(self, arrival: Arrival) -> None:
        age = self._now - arrival.at
        job = self._fleet_state.admit(arrival.submission, None, self._now, age)
        self._fleet_state.open_occurrence(job, 0)

    def _cancel(self, arrival: Arrival) -> None:
        job = self._fleet_state.jobs.get(arrival.submission.job_id)
        if job is not None and not job.state.final:
            self._outcomes[job.job_id].cancelled = True
            self._fleet_state.finish(job, JobState.CANCELLED)

    def _pass(self) -> None:
        self.day.passes += 1
        self._poll_workers()
        plan = self._planner(
            self._fleet_state, self._durations, self._speeds, self._now
        )
        for restart in plan.restarts:
            until = self._quarantine.record_stall(
                restart.worker.name, self._now, len(self._fleet_state.workers)
            )
            restart.worker.quarantined_until = max(
                restart.worker.quarantined_until, until
            )
            self.day.restarts_elsewhere += 1
        for start in plan.starts:
            names = [worker.name for worker in start.workers]
            self._fleet_state.order(start.unit, names, self._now)
            self._starts[id(start.unit)] += 1
            self._call_at(
                self._now + START_SECONDS, lambda unit=start.unit: self._begin(unit)
            )
        for member in list(self._fleet_state.list_stopping()):
            unit = member.unit
            if id(unit) not in self._stopping:
                self._stopping.add(id(unit))
                self._call_at(
                    self._now + self._workload.stop_seconds,
                    lambda each=unit: self._stop(each),
                )

    def _poll_workers(self) -> None:
        due = {
            name
            for name, at in self._polled_at.items()
            if self._now - at >= POLL_SECONDS
        }
        for name in due:
            self._polled_at[name] = self._now
        for run in self._runs.values():
            if not any(member.worker in due for member in run.unit.members):
                continue
            run.advance(self._now, self._slowdowns)
            for member, share in zip(run.unit.members, run.shares, strict=True):
                if member.worker not in due:
                    continue
                percent = math.floor(min(100.0, 100 * share))
                member.record_progress(percent, self._now)

    def _begin(self, unit: Unit) -> None:
        if unit.abandoned or not unit.members:
            return
        if any(self._silent[member.worker] for member in unit.members):
            run = unit.run
            self._call_at(
                self._now + START_TIMEOUT_SECONDS,
                lambda: self._abandon_start(unit, run),
            )
            return
        arrival = self._arrivals[unit.job.job_id]
        far = self._is_far(unit)
        self.day.far += far
        seconds = []
        for index, member in enumerate(unit.members):
            position = index if unit.step.gang else unit.key.position
            seconds.append(arrival.seconds[position] * (FAR_FACTOR if far else 1.0))
            self._fleet_state.mark_up(member, self._now)
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

    def _abandon_start(self, unit: Unit, run: int) -> None:
        """Abandon a start that was not answered; its tasks may run nevertheless."""
        if unit.run == run:
            self._fleet_state.abandon(unit)

    def _plan_end(self, run: _Run) -> None:
        run.end_version += 1
        plan = run.end_version
        left = run.find_remaining_seconds(self._slowdowns)
        kind = EndKind.DONE
        if run.fails:
            kind = EndKind.FAILED
            left *= self._arrivals[run.unit.job.job_id].fails_at
        if left < math.inf:
            self._call_at(
                self._now + left,
                lambda: self._end(run, kind) if run.end_version == plan else None,
            )

    def _is_far(self, unit: Unit) -> bool:
        racks = {
            self._fleet_state.workers[member.worker].entry.rack
            for member in unit.members
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
            self._record_run(unit, run)
        else:
            self._throw_away(run)
            self._record_failure(unit, run)
        members = list(unit.members)
        for member in members:
            self._fleet_state.record_end(member.task, member.run, kind, "", self._now)
        for member in members:
            self._fleet_state.mark_gone(member, Proof.ENDED)
        if job.state.final and job.state is not JobState.CANCELLED:
            outcome = self._outcomes[job.job_id]
            outcome.ended_at = self._now
            outcome.failed = job.state is not JobState.COMPLETED

    def _record_run(self, unit: Unit, run: _Run) -> None:
        first = unit.members[0]
        for member in unit.members:
            member.progressed_at = self._now
            self._quarantine.record_success(member.worker)
        self._speeds.record_success(first, self._now)
        if not run.resumed:
            seconds = self._speeds.normalise(unit, self._now - run.began)
            estimate = unit.step.estimate_seconds
            self._durations.learn(unit.job.submission.queue, estimate, seconds)

    def _record_failure(self, unit: Unit, run: _Run) -> None:
        seconds = self._now - run.began
        for member in unit.members:
            worker = self._fleet_state.workers[member.worker]
            if run.fails or self._failing[member.worker] > 0:
                worker.quarantined_until = self._quarantine.record_failure(
                    worker.name,
                    unit.job.job_id,
                    seconds,
                    self._now,
                    len(self._fleet_state.workers),
                )

    def _stop(self, unit: Unit) -> None:
        """End a run on the workers that answer; stop it again later on the others."""
        silent = [each for each in unit.members if self._silent[each.worker]]
        if not silent:
            self._stopping.discard(id(unit))
        else:
            number = unit.run
            again = self._now + self._workload.stop_seconds
            self._call_at(again, lambda: self._stop_again(unit, number))
            if len(silent) == unit.size:
                return
        run = self._runs.pop(id(unit), None)
        if run is not None:
            self.day.stops += 1
            run.advance(self._now, self._slowdowns)
            if unit.step.checkpoints and not unit.job.state.final:
                self._saved[id(unit)] = min(1.0, *run.shares, 1.0)
                unit.checkpoint = "saved"
            else:
                self._throw_away(run)
        for member in list(unit.members):
            if not self._silent[member.worker]:
                self._fleet_state.mark_gone(member, Proof.ENDED)

    def _stop_again(self, unit: Unit, run: int) -> None:
        if unit.members and unit.run == run:
            self._stop(unit)
        else:
            self._stopping.discard(id(unit))

    def _throw_away(self, run: _Run) -> None:
        cores = count_cores(run.unit) * run.unit.size
        self.day.thrown_away += cores * (self._now - run.began)


def _make_settings(workload: Workload) -> SchedulingSettings:
    return replace(DEFAULT_SETTINGS, stop_seconds=workload.stop_seconds)


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

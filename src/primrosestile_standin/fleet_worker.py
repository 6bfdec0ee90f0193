"""In-memory workers of the platform: fences, one lease each, gangs, checkpoints.

They also record violations for tests: tasks that ran twice at one time, that started
after a successful end, or that exceeded their worker's capacity.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import replace

from primrosestile.clock import read_clock
from primrosestile.protocol.fleet import PollAnswer, Refusal, RunningTask, StartOrder
from primrosestile.state.work import Need
from primrosestile.state.workers import EndKind, WorkerEntry
from primrosestile_standin.fleet_advice import FleetAdvice
from primrosestile_standin.fleet_checkpoints import FleetCheckpoints
from primrosestile_standin.fleet_ends import EndList
from primrosestile_standin.fleet_faults import FleetWorkerFaults
from primrosestile_standin.fleet_record import FleetRecord
from primrosestile_standin.fleet_runs import Run, compute_latency_ms, fits
from primrosestile_standin.fleet_script import Script

ANSWER_SECONDS = 0.002
TIMEOUT_SECONDS = 0.45
MAX_LEASE_SECONDS = 10.0
# A worker's clock at its start.
FIRST_CLOCK_SECONDS = 400.0
GANG_WAIT_SECONDS = 3.0
# A capacity before a reduction stays allowed while the new one becomes known: contact
# with its VM and a heartbeat.
OLD_CAPACITY_SECONDS = 4.5


class FleetWorker:
    """One incarnation of one worker.

    Attributes:
        lapses: How many polls and orders found its lease expired.
    """

    def __init__(
        self, fleet: "Fleet", entry: WorkerEntry, clock_rate: float = 1.0
    ) -> None:
        self.entry = entry
        self.faults = FleetWorkerFaults()
        self.alive = True
        self.fence = 0
        self.until = 0.0
        self.lapses = 0
        self.runs: dict[str, Run] = {}
        self._fleet = fleet
        self._rate = clock_rate
        self._began = read_clock()
        self._ends = EndList()
        self._barred: dict[str, int] = {}
        # The capacity before the last change, and until when it stays allowed.
        self._old_capacity: tuple[Need, float] | None = None

    def read_clock(self) -> float:
        """Return the worker's own monotonic clock, which begins with its start."""
        return FIRST_CLOCK_SECONDS + (read_clock() - self._began) * self._rate

    def report_clock(self) -> float:
        """Return the clock for an answer, wrong by a clock jump if one is set."""
        jumps = self.faults.clock_jumps
        return self.read_clock() + (jumps.pop(0) if jumps else 0.0)

    def change_capacity(self, capacity: Need) -> None:
        """Change the capacity; running tasks continue."""
        self._old_capacity = (self.entry.capacity, read_clock() + OLD_CAPACITY_SECONDS)
        self.entry = replace(self.entry, capacity=capacity)

    def is_overcommitted(self) -> bool:
        """Return whether the runs fit neither the present nor the old capacity."""
        capacities = [self.entry.capacity]
        if self._old_capacity is not None and read_clock() < self._old_capacity[1]:
            capacities.append(self._old_capacity[0])
        return not any(fits(self.runs.values(), capacity) for capacity in capacities)

    def sweep(self) -> None:
        """End all runs once the lease has expired."""
        if self.runs and self.read_clock() >= self.until:
            for run in list(self.runs.values()):
                self.end(run, EndKind.LEASE_LAPSED)

    def take_poll(self, fence: int, seen: int, until: float | None) -> Refusal | None:
        """Apply a poll's fence, lease and acknowledged ends."""
        if fence < self.fence:
            return Refusal.FENCE
        self.fence = fence
        self._extend(until)
        self._acknowledge(seen)
        return None

    def _acknowledge(self, seen: int) -> None:
        for each in self._ends.acknowledge(seen):
            self._fleet.record.record_acknowledged(self, each)

    def _extend(self, until: float | None) -> None:
        if self.read_clock() >= self.until:
            self.lapses += 1
        if until is not None:
            max_until = self.read_clock() + MAX_LEASE_SECONDS
            self.until = max(self.until, min(until, max_until))

    def make_poll(self) -> PollAnswer:
        """Return the answer to a poll: running tasks and ends."""
        running = tuple(
            RunningTask(
                run.task,
                run.run,
                self._save(run),
                0.0 if self.faults.stalled_tasks else run.find_percent(),
                self.find_usage(run),
            )
            for run in self.runs.values()
        )
        ended = self._ends.show(self.faults.number_jumps)
        return PollAnswer(self.report_clock(), running, ended)

    def _save(self, run: Run, stopped: bool = False) -> str:
        """Return a run's latest checkpoint."""
        if not run.script.checkpoints:
            return ""
        worked = read_clock() - run.began if run.working else 0.0
        unit = self._fleet.name_unit(run.task)
        return self._fleet.checkpoints.make(unit, run.done_before + worked, stopped)

    def find_usage(self, run: Run) -> float:
        """Return a service's latency in milliseconds; 0 for other tasks."""
        return compute_latency_ms(run, self.runs.values())

    def take_pace(self, fence: int, task: str, percent: int) -> Refusal | None:
        """Limit a run's speed to a share of its full speed."""
        if fence < self.fence:
            return Refusal.FENCE
        self.fence = fence
        run = self.runs.get(task)
        if run is None:
            return Refusal.STALE_RUN
        run.pace = percent
        return None

    async def wait_for_end(self, seconds: float) -> None:
        """Return once an end is listed, or after a timeout."""
        if not await self._ends.wait(seconds):
            self.sweep()

    def take_start(self, fence: int, order: StartOrder) -> Refusal | None:
        """Start a run, or return why it is refused."""
        if fence < self.fence:
            return Refusal.FENCE
        self.fence = fence
        if self.faults.unhealthy:
            return Refusal.UNHEALTHY
        present = self.runs.get(order.task)
        if present is not None and present.run == order.run:
            return None
        if order.run <= self._barred.get(order.task, 0) or present is not None:
            self._extend(order.until)
            return Refusal.STALE_RUN
        if order.until <= self.read_clock():
            return Refusal.EXPIRED
        script = self._fleet.find_script(order.task)
        if script.ticketed and not self._fleet.advice.is_good(
            order.task, self.entry.worker, order.ticket
        ):
            self._fleet.tickets_refused += 1
            return Refusal.TICKET
        if not self._has_room(script):
            self._extend(order.until)
            return Refusal.ROOM
        self._extend(order.until)
        self._begin(order, script)
        return None

    def _has_room(self, script: Script) -> bool:
        return self.faults.overcommits or fits(
            self.runs.values(), self.entry.capacity, script.need
        )

    def _begin(self, order: StartOrder, script: Script) -> None:
        self._fleet.record_start(self, order)
        run = Run(order.task, order.run, read_clock(), script)
        run.done_before = self._fleet.checkpoints.find_saved_seconds(order.checkpoint)
        self.runs[order.task] = run
        if self.is_overcommitted():
            self._fleet.violations.append(
                f"{order.task} starts on {self.entry.worker} beyond its capacity"
            )
        if script.crashes_after is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(script.crashes_after, self._crash_by, run)
        if script.gang == 1:
            self.work(run)
        else:
            self._fleet.join_gang(self, run)

    def work(self, run: Run) -> None:
        """Start a run's work, and schedule its end."""
        run.working = True
        run.began = read_clock()
        fails = run.script.fails or self.faults.fails_all
        kind = EndKind.FAILED if fails else EndKind.DONE
        self._set_timer(run, max(0.0, run.script.seconds - run.done_before), kind)

    def wait_for_gang(self, run: Run) -> None:
        """Wait for the other members of a gang, up to a timeout."""
        self._set_timer(run, GANG_WAIT_SECONDS, EndKind.GANG_INCOMPLETE)

    def _set_timer(self, run: Run, seconds: float, kind: EndKind) -> None:
        run.cancel_timer()
        loop = asyncio.get_running_loop()
        run.timer = loop.call_later(seconds, self._end_if_there, run, kind)

    def _end_if_there(self, run: Run, kind: EndKind) -> None:
        self.sweep()
        if self.runs.get(run.task) is not run:
            return
        if self.faults.stalled_tasks and kind is EndKind.DONE:
            self._set_timer(run, 1.0, kind)
            return
        self.end(run, kind)

    def take_stop(self, fence: int, task: str, run: int) -> Refusal | None:
        """Stop a run, and block its start if that arrives later."""
        if fence < self.fence:
            return Refusal.FENCE
        self.fence = fence
        self._barred[task] = max(self._barred.get(task, 0), run)
        present = self.runs.get(task)
        if present is not None and present.run <= run and not present.stopping:
            present.stopping = True
            self._set_timer(present, self.faults.stop_seconds, EndKind.STOPPED)
        return None

    def end(self, run: Run, kind: EndKind) -> None:
        """End a run and list its end."""
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        run.cancel_timer()
        self._barred[run.task] = max(self._barred.get(run.task, 0), run.run)
        saved = self._save(run, stopped=kind is EndKind.STOPPED)
        self._ends.add(run.task, run.run, kind, saved)
        self._fleet.record_end(self, run.task, run.run, kind)
        self._acknowledge(0)
        self._ends.announce()

    def _crash_by(self, run: Run) -> None:
        """Crash the worker if the run that crashes it is still there."""
        if self.alive and self.runs.get(run.task) is run:
            self._fleet.crashes[run.task] += 1
            self.crash()
            self._fleet.on_crash(self)

    def reset_connections(self) -> None:
        """Reset the connections of all calls, those under way too, from now on."""
        self.faults.resets = True
        self._ends.end_waits()

    def crash(self) -> None:
        """End this incarnation; its runs are lost without a report."""
        self.alive = False
        self._ends.end_waits()
        gone = list(self.runs.values())
        self.runs.clear()
        for run in gone:
            self._fleet.crashed_under[run.task] += 1
            run.cancel_timer()
            self._fleet.break_gang(run.task, run.run)


def _ignore_crash(worker: FleetWorker) -> None:
    """Leave a crashed worker as it is."""


class Fleet:
    """All workers, and the record of what they do.

    Attributes:
        record: Starts, ends and violations.
        advice: Decides where steps may run, and which tickets are valid.
        crashes: How many workers each task has crashed.
        crashed_under: How many workers have crashed while each task was on them.
        on_crash: Called with each worker that a task has crashed.
    """

    def __init__(self) -> None:
        self.workers: dict[str, FleetWorker] = {}
        self.scripts: dict[str, Script] = {}
        self.default = Script()
        self.advice = FleetAdvice()
        self.checkpoints = FleetCheckpoints()
        self.tickets_refused = 0
        self.record = FleetRecord(self.name_unit)
        self.crashes: Counter[str] = Counter()
        self.crashed_under: Counter[str] = Counter()
        self.on_crash: Callable[[FleetWorker], None] = _ignore_crash
        self._gathered: dict[tuple[str, int], list[tuple[FleetWorker, Run]]] = {}

    @property
    def starts(self) -> list[tuple[str, int, str]]:
        """Task, run and worker of each start."""
        return self.record.starts

    @property
    def ends(self) -> list[tuple[str, int, EndKind]]:
        """Task, run and kind of each end."""
        return self.record.ends

    @property
    def violations(self) -> list[str]:
        """Violated invariants, as texts; must be empty at the end of a test."""
        return self.record.violations

    def add(self, entry: WorkerEntry, clock_rate: float = 1.0) -> FleetWorker:
        """Add an incarnation of a worker."""
        worker = FleetWorker(self, entry, clock_rate)
        self.workers[entry.worker] = worker
        return worker

    def find_at(self, address: str) -> FleetWorker | None:
        """Return the incarnation that serves an address now."""
        for worker in self.workers.values():
            if worker.alive and worker.entry.address == address:
                return worker
        return None

    def is_unresponsive(self, address: str) -> bool:
        """Return whether an address answers nothing since its last worker crashed."""
        found = [
            each for each in self.workers.values() if each.entry.address == address
        ]
        return bool(found) and not found[-1].alive and found[-1].faults.unresponsive

    def find_script(self, task: str) -> Script:
        """Return a task's script: its own, its job's, or the default."""
        job = task.partition(".")[0]
        return self.scripts.get(task) or self.scripts.get(job) or self.default

    def record_start(self, worker: FleetWorker, order: StartOrder) -> None:
        """Record a start, and the invariants that it violates."""
        self.starts.append((order.task, order.run, worker.entry.worker))
        if self.find_script(order.task).checkpoints:
            unit = self.name_unit(order.task)
            wrong = self.checkpoints.check(unit, order.run, order.checkpoint)
            if wrong:
                self.violations.append(wrong)
        for other in self.workers.values():
            other.sweep()
            if other.alive and order.task in other.runs:
                self.violations.append(
                    f"{order.task} run {order.run} starts while it runs elsewhere"
                )
        self.record.check_start(order.task, self.crashes[order.task])

    def record_end(
        self, worker: FleetWorker, task: str, run: int, kind: EndKind
    ) -> None:
        """Record an end; the other members of a gang end with it."""
        self.record.record_end(worker, task, run, kind)
        done = kind is EndKind.DONE
        self._end_gang(task, run, EndKind.DONE if done else EndKind.GANG_BROKEN)

    def break_gang(self, task: str, run: int) -> None:
        """End the other members of a gang that lost one in a crash."""
        self._end_gang(task, run, EndKind.GANG_BROKEN)

    def _end_gang(self, task: str, run: int, kind: EndKind) -> None:
        step = task.rpartition(".")[0]
        for other, member in self._gathered.pop((step, run), []):
            if member.task != task:
                other.end(member, kind)

    def name_unit(self, task: str) -> str:
        """Return the unit of a task: itself, or its step for a gang."""
        if self.find_script(task).gang > 1:
            return task.rpartition(".")[0]
        return task

    def join_gang(self, worker: FleetWorker, run: Run) -> None:
        """Add a member to its gang; start the gang's work once it is complete."""
        key = (run.task.rpartition(".")[0], run.run)
        members = self._gathered.setdefault(key, [])
        members.append((worker, run))
        if len(members) < run.script.gang:
            worker.wait_for_gang(run)
            return
        for each, member in members:
            each.work(member)

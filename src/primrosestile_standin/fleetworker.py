"""The platform's workers in memory: fences, one lease each, gangs, checkpoints.

They also keep a ledger: what ran twice at one time, what was started after it had
ended well, what was given more than there is room for. Tests read it at the end.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace

from primrosestile.clock import read_clock
from primrosestile.protocol.fleet import (
    EndedTask,
    PollAnswer,
    Refusal,
    RunningTask,
    StartOrder,
)
from primrosestile.state.work import Need
from primrosestile.state.workers import EndKind, WorkerEntry
from primrosestile_standin.fleetadvice import FleetAdvice
from primrosestile_standin.fleetcheckpoints import FleetCheckpoints
from primrosestile_standin.fleetfaults import FleetWorkerFaults
from primrosestile_standin.fleetscript import Script

ANSWER_SECONDS = 0.002
TIMEOUT_SECONDS = 0.45
LEASE_LONGEST_SECONDS = 10.0
GANG_WAIT_SECONDS = 3.0
# A service alone on a worker, and what each percent of a filling task adds.
SERVES_ALONE_MS = 40.0
DISTURBED_MS_PER_PERCENT = 1.5
NOTHING = Need()
# A room that has shrunk still counts for so long: contact with its VM and a heartbeat.
SHRUNK_SECONDS = 4.5
# A task that has crashed so many workers must not be started so many times more.
CRASH_LIMIT = 3
STARTS_AFTER_LIMIT = 3


@dataclass(frozen=True, slots=True)
class _WellEnd:
    """A run that ended as done: where, and what had happened there and elsewhere."""

    worker: "FleetWorker"
    run: int
    lapses: int
    starts: int


@dataclass(slots=True)
class _Run:
    task: str
    run: int
    began: float
    script: Script
    working: bool = False
    stopping: bool = False
    timer: asyncio.TimerHandle | None = None
    pace: int = 100
    done_before: float = 0.0


class FleetWorker:
    """One life of one worker.

    Attributes:
        lapses: Grows whenever its lease is found to have run out.
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
        self.runs: dict[str, _Run] = {}
        self._fleet = fleet
        self._rate = clock_rate
        self._ended: list[EndedTask] = []
        self._number = 0
        self._barred: dict[str, int] = {}
        # What it had before it shrank, and until when that still counts.
        self._before: tuple[Need, float] | None = None
        self._ends_changed = asyncio.Event()

    def read_clock(self) -> float:
        """Return its own steady clock."""
        return 400.0 + read_clock() * self._rate

    def tell_clock(self) -> float:
        """Return the time that an answer tells; not always its own."""
        jumps = self.faults.clock_jumps
        return self.read_clock() + (jumps.pop(0) if jumps else 0.0)

    def change_capacity(self, capacity: Need) -> None:
        """Have more room or less from now on; what runs goes on."""
        self._before = (self.entry.capacity, read_clock() + SHRUNK_SECONDS)
        self.entry = replace(self.entry, capacity=capacity)

    def is_overfull(self) -> bool:
        """Whether more runs than there is room for, by its present or last room."""
        rooms = [self.entry.capacity]
        if self._before is not None and read_clock() < self._before[1]:
            rooms.append(self._before[0])
        return not any(self._fits(room) for room in rooms)

    def _fits(self, room: Need, more: Need = NOTHING) -> bool:
        """Whether what runs, and one task more, has room."""
        used = [more, *(run.script.need for run in self.runs.values())]
        return (
            sum(each.processor for each in used) <= room.processor
            and sum(each.accelerators for each in used) <= room.accelerators
        )

    def sweep(self) -> None:
        """Kill everything once its lease has run out."""
        if self.runs and self.read_clock() >= self.until:
            for run in list(self.runs.values()):
                self.end(run, EndKind.LEASE_LAPSED)

    def take_poll(self, fence: int, seen: int, until: float | None) -> Refusal | None:
        """Take in a look's fence, lease and forgotten ends."""
        if fence < self.fence:
            return Refusal.FENCE
        self.fence = fence
        self._extend(until)
        for each in self._ended:
            if each.number <= seen:
                self._fleet.note_taken(self, each)
        self._ended = [each for each in self._ended if each.number > seen]
        return None

    def _extend(self, until: float | None) -> None:
        if self.read_clock() >= self.until:
            self.lapses += 1
        if until is not None:
            longest = self.read_clock() + LEASE_LONGEST_SECONDS
            self.until = max(self.until, min(until, longest))

    def make_poll(self) -> PollAnswer:
        """Return what runs and what has ended."""
        running = tuple(
            RunningTask(
                run.task,
                run.run,
                self._save(run),
                self._find_percent(run),
                self.find_usage(run),
            )
            for run in self.runs.values()
        )
        return PollAnswer(self.tell_clock(), running, self._tell_ends())

    def _tell_ends(self) -> tuple[EndedTask, ...]:
        ended = list(self._ended)
        if ended and self.faults.number_jumps:
            number = ended[-1].number + self.faults.number_jumps.pop(0)
            ended[-1] = replace(ended[-1], number=number)
        return tuple(ended)

    def _save(self, run: _Run, stopped: bool = False) -> str:
        """Return a run's latest checkpoint."""
        if not run.script.checkpoints:
            return ""
        worked = read_clock() - run.began if run.working else 0.0
        unit = self._fleet.name_unit(run.task)
        return self._fleet.checkpoints.make(unit, run.done_before + worked, stopped)

    def find_usage(self, run: _Run) -> float:
        """Return a service's slow answers in milliseconds; 0 for other tasks."""
        if not run.script.serves:
            return 0.0
        others = sum(each.pace for each in self.runs.values() if not each.script.serves)
        return SERVES_ALONE_MS + others * DISTURBED_MS_PER_PERCENT

    def take_pace(self, fence: int, task: str, percent: int) -> Refusal | None:
        """Let a run work at a share of its speed."""
        if fence < self.fence:
            return Refusal.FENCE
        self.fence = fence
        run = self.runs.get(task)
        if run is None:
            return Refusal.STALE_RUN
        run.pace = percent
        return None

    def _find_percent(self, run: _Run) -> float:
        if not run.working or self.faults.frozen_tasks:
            return 0.0
        if run.script.serves:
            return 100.0
        return min(99.0, 100 * (read_clock() - run.began) / run.script.seconds)

    async def wait_for_end(self, seconds: float) -> None:
        """Return once an end is listed, or after a time."""
        if self._ended:
            return
        try:
            async with asyncio.timeout(seconds):
                await self._ends_changed.wait()
        except TimeoutError:
            self.sweep()

    def take_start(self, fence: int, order: StartOrder) -> Refusal | None:
        """Start a run, or say why not."""
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
        return self.faults.unguarded or self._fits(self.entry.capacity, script.need)

    def _begin(self, order: StartOrder, script: Script) -> None:
        self._fleet.note_start(self, order)
        run = _Run(order.task, order.run, read_clock(), script)
        run.done_before = self._fleet.checkpoints.find_done(order.checkpoint)
        self.runs[order.task] = run
        if self.is_overfull():
            self._fleet.faults_found.append(
                f"{order.task} is started on {self.entry.worker} beyond its room"
            )
        if script.crashes_after is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(script.crashes_after, self._crash_by, run)
        if script.gang == 1:
            self.work(run)
        else:
            self._fleet.gather(self, run)

    def work(self, run: _Run) -> None:
        """Let a run work until its end."""
        run.working = True
        run.began = read_clock()
        fails = run.script.fails or self.faults.fails_all
        kind = EndKind.FAILED if fails else EndKind.DONE
        self._set_timer(run, max(0.0, run.script.seconds - run.done_before), kind)

    def wait_alone(self, run: _Run) -> None:
        """Let a member wait for the others of its gang."""
        self._set_timer(run, GANG_WAIT_SECONDS, EndKind.GANG_INCOMPLETE)

    def _set_timer(self, run: _Run, seconds: float, kind: EndKind) -> None:
        if run.timer is not None:
            run.timer.cancel()
        loop = asyncio.get_running_loop()
        run.timer = loop.call_later(seconds, self._end_if_there, run, kind)

    def _end_if_there(self, run: _Run, kind: EndKind) -> None:
        self.sweep()
        if self.runs.get(run.task) is not run:
            return
        if self.faults.frozen_tasks and kind is EndKind.DONE:
            self._set_timer(run, 1.0, kind)
            return
        self.end(run, kind)

    def take_stop(self, fence: int, task: str, run: int) -> Refusal | None:
        """Stop a run, and bar it should its start come later."""
        if fence < self.fence:
            return Refusal.FENCE
        self.fence = fence
        self._barred[task] = max(self._barred.get(task, 0), run)
        present = self.runs.get(task)
        if present is not None and present.run <= run and not present.stopping:
            present.stopping = True
            self._set_timer(present, self.faults.stop_seconds, EndKind.STOPPED)
        return None

    def end(self, run: _Run, kind: EndKind) -> None:
        """End a run and list its end."""
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        if run.timer is not None:
            run.timer.cancel()
        self._number += 1
        self._barred[run.task] = max(self._barred.get(run.task, 0), run.run)
        saved = self._save(run, stopped=kind is EndKind.STOPPED)
        self._ended.append(EndedTask(self._number, run.task, run.run, kind, saved))
        self._fleet.note_end(self, run.task, run.run, kind)
        self._ends_changed.set()
        self._ends_changed = asyncio.Event()

    def _crash_by(self, run: _Run) -> None:
        """Crash, if a task that crashes its worker is still there."""
        if self.alive and self.runs.get(run.task) is run:
            self._fleet.crashes[run.task] += 1
            self.crash()
            self._fleet.on_crash(self)

    def crash(self) -> None:
        """End this life: everything on it is gone without a word."""
        self.alive = False
        self._ends_changed.set()
        gone = list(self.runs.values())
        self.runs.clear()
        for run in gone:
            self._fleet.crashed_under[run.task] += 1
            if run.timer is not None:
                run.timer.cancel()
            self._fleet.break_gang(run.task, run.run)


def _ignore_crash(worker: FleetWorker) -> None:
    """Leave a crashed worker as it is."""


class Fleet:
    """All workers, and the ledger of what ran.

    Attributes:
        faults_found: Broken promises, as sentences; empty at the end of a test.
        advice: Knows where steps may run, and which tickets are good.
        crashes: How many workers each task has crashed.
        crashed_under: How many workers have crashed while each task was there.
        on_crash: Called with each worker that a task has crashed.
    """

    def __init__(self) -> None:
        self.workers: dict[str, FleetWorker] = {}
        self.scripts: dict[str, Script] = {}
        self.default = Script()
        self.advice = FleetAdvice()
        self.checkpoints = FleetCheckpoints()
        self.tickets_refused = 0
        self.faults_found: list[str] = []
        self.starts: list[tuple[str, int, str]] = []
        self.ends: list[tuple[str, int, EndKind]] = []
        self.crashes: Counter[str] = Counter()
        self.crashed_under: Counter[str] = Counter()
        self.on_crash: Callable[[FleetWorker], None] = _ignore_crash
        self._starts_after_limit: Counter[str] = Counter()
        self._well_ends: dict[str, list[_WellEnd]] = {}
        self._taken_done: set[str] = set()
        self._gathered: dict[tuple[str, int], list[tuple[FleetWorker, _Run]]] = {}

    def add(self, entry: WorkerEntry, clock_rate: float = 1.0) -> FleetWorker:
        """Add a life of a worker."""
        worker = FleetWorker(self, entry, clock_rate)
        self.workers[entry.worker] = worker
        return worker

    def find_at(self, address: str) -> FleetWorker | None:
        """Return the life that serves at an address now."""
        for worker in self.workers.values():
            if worker.alive and worker.entry.address == address:
                return worker
        return None

    def is_dark(self, address: str) -> bool:
        """Whether the last worker at an address has left it dark."""
        found = [
            each for each in self.workers.values() if each.entry.address == address
        ]
        return bool(found) and not found[-1].alive and found[-1].faults.dark

    def find_script(self, task: str) -> Script:
        """Return what becomes of a task: by its name, its job, or as usual."""
        job = task.partition(".")[0]
        return self.scripts.get(task) or self.scripts.get(job) or self.default

    def note_start(self, worker: FleetWorker, order: StartOrder) -> None:
        """Enter a start, and what it breaks."""
        self.starts.append((order.task, order.run, worker.entry.worker))
        unit = self.name_unit(order.task)
        if self.find_script(order.task).checkpoints:
            wrong = self.checkpoints.check(unit, order.run, order.checkpoint)
            self.faults_found += [wrong] if wrong else []
        for other in self.workers.values():
            other.sweep()
            if other.alive and order.task in other.runs:
                self.faults_found.append(
                    f"{order.task} run {order.run} starts while it runs elsewhere"
                )
        if self.name_unit(order.task) in self._taken_done:
            self.faults_found.append(f"{order.task} starts after it has ended well")
        self._check_crashes(order.task)

    def _check_crashes(self, task: str) -> None:
        """Enter a start of a task that has crashed as many workers as it may."""
        if self.crashes[task] < CRASH_LIMIT:
            return
        self._starts_after_limit[task] += 1
        if self._starts_after_limit[task] == STARTS_AFTER_LIMIT:
            self.faults_found.append(
                f"{task} is started {STARTS_AFTER_LIMIT} times more after it has"
                f" crashed {CRASH_LIMIT} workers"
            )

    def note_end(self, worker: FleetWorker, task: str, run: int, kind: EndKind) -> None:
        """Enter an end; the other members of a gang end with it."""
        self.ends.append((task, run, kind))
        same = kind is EndKind.DONE
        if same:
            end = _WellEnd(worker, run, worker.lapses, len(self.starts))
            self._well_ends.setdefault(task, []).append(end)
        self._end_gang(task, run, EndKind.DONE if same else EndKind.GANG_BROKEN)

    def break_gang(self, task: str, run: int) -> None:
        """End the other members of a gang of which one is gone without a word."""
        self._end_gang(task, run, EndKind.GANG_BROKEN)

    def _end_gang(self, task: str, run: int, kind: EndKind) -> None:
        step = task.rpartition(".")[0]
        for other, member in self._gathered.pop((step, run), []):
            if member.task != task:
                other.end(member, kind)

    def note_taken(self, worker: FleetWorker, ended: EndedTask) -> None:
        """Enter that an end was taken note of, and what was started after it.

        It does not count as taken note of where the worker's lease has run out since.
        """
        unit = self.name_unit(ended.task)
        for end in self._well_ends.get(ended.task, ()):
            if (end.worker, end.run, end.lapses) != (worker, ended.run, worker.lapses):
                continue
            self._taken_done.add(unit)
            for task, run, _ in self.starts[end.starts :]:
                if self.name_unit(task) == unit:
                    self.faults_found.append(
                        f"{task} run {run} was started after an end that counts"
                    )

    def name_unit(self, task: str) -> str:
        """Return what ends as one: a task, or a gang by its step."""
        if self.find_script(task).gang > 1:
            return task.rpartition(".")[0]
        return task

    def gather(self, worker: FleetWorker, run: _Run) -> None:
        """Let a gang work once all of its members are there."""
        key = (run.task.rpartition(".")[0], run.run)
        members = self._gathered.setdefault(key, [])
        members.append((worker, run))
        if len(members) < run.script.gang:
            worker.wait_alone(run)
            return
        for each, member in members:
            each.work(member)

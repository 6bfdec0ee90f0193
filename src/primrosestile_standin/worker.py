"""One in-memory worker: accelerators under leases, tasks, and slots.

It implements what `protocol.workers` requires of a worker: a lower epoch is refused,
a task whose lease expires is stopped, and a repeated command has the outcome of the
first. A command for an ended task has no effect, so a late command cannot restart a
stopped task.
"""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

from primrosestile.clock import read_clock
from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.workers import (
    RequestAnswer,
    RequestOrder,
    TaskOrder,
    TaskPhase,
    TaskReport,
    WorkerReport,
)
from primrosestile_standin.faults import WorkerFaults
from primrosestile_standin.ledger import Ledger, RequestRun, TaskRun

FAILURE_SECONDS = 0.05
USAGE_LAG_SECONDS = 2.0
ENDED_RETENTION_SECONDS = 600.0
FAILING_PAYLOAD = "fail"
_LIVE = (TaskPhase.HELD, TaskPhase.RUNNING)


@dataclass(slots=True)
class _Task:
    """One task and its timers.

    Attributes:
        done: Seconds of work done up to `since`.
        since: Loop time at which the present share took effect.
        saved: Seconds of work saved by the last checkpoint.
    """

    order: TaskOrder
    epoch: int
    phase: TaskPhase
    lease_end: float
    lease_timer: asyncio.TimerHandle | None = None
    end_timer: asyncio.TimerHandle | None = None
    prepared: bool = False
    share: float = 1.0
    done: float = 0.0
    since: float = 0.0
    saved: float = 0.0
    started: float = 0.0
    ended: float = 0.0
    run: int | None = None

    def measure_work(self) -> float:
        """Return the seconds of work done so far."""
        if self.phase is not TaskPhase.RUNNING:
            return self.done
        return self.done + (read_clock() - self.since) * self.share


class MemoryWorker:
    """A worker's state and rules, without a network.

    Attributes:
        faults: Set its fields to make the worker misbehave.
        ledger: The runs on this worker.
        leaving: Set by `leave`; new tasks are refused from then on.
    """

    def __init__(
        self,
        name: str,
        accelerators: int = 8,
        slots: int = 8,
        faults: WorkerFaults | None = None,
    ) -> None:
        self.name = name
        self.accelerators = accelerators
        self.slots = slots
        self.faults = faults or WorkerFaults()
        self.ledger = Ledger()
        self.epoch = 0
        self.leaving = False
        self.in_flight = 0
        self._left_at = 0.0
        self._tasks: dict[str, _Task] = {}
        self._stopped_early: set[str] = set()
        self._runs: set[asyncio.Task[RequestAnswer]] = set()

    def leave(self) -> None:
        """Report from now on that this worker is leaving."""
        if not self.leaving:
            self.leaving = True
            self._left_at = read_clock()

    def report(self, epoch: int) -> WorkerReport:
        """Return all tasks; epoch 0 reads without a check of the epoch."""
        if epoch:
            self._check_epoch(epoch)
        self._drop_old_ended()
        tasks = tuple(self._describe(task) for task in self._tasks.values())
        return WorkerReport(
            self.name, self.epoch, self.accelerators, self.leaving, tasks
        )

    def reserve(self, epoch: int, order: TaskOrder) -> None:
        """Take a lease on the order's accelerators."""
        self._check_epoch(epoch)
        known = self._tasks.get(order.task_id)
        if known is not None:
            self._check_repeat(known, order)
            return
        self._check_room(order)
        task = _Task(order, epoch, TaskPhase.HELD, lease_end=0.0)
        task.done = task.saved = order.checkpoint
        self._tasks[order.task_id] = task
        self._extend_lease(task, order.lease_seconds)

    def prepare(self, epoch: int, order: TaskOrder) -> None:
        """Load a reserved task and hold it."""
        self._check_epoch(epoch)
        task = self._find_live(order.task_id)
        self._check_repeat(task, order)
        if task.prepared:
            return
        task.prepared = True
        self._extend_lease(task, order.lease_seconds)

    def go(self, epoch: int, task_id: str) -> None:
        """Start a prepared task."""
        self._check_epoch(epoch)
        task = self._tasks.get(task_id)
        if task is not None and task.run is not None:
            if task.phase is TaskPhase.STOPPED:
                raise Failure(ErrorKind.TARGET_REFUSED, f"{task_id} was stopped")
            return
        task = self._find_live(task_id)
        if not task.prepared:
            raise Failure(ErrorKind.TARGET_REFUSED, f"{task_id} is not prepared")
        self._start(task, epoch)

    def renew(
        self, epoch: int, task_ids: Sequence[str], lease_seconds: float
    ) -> WorkerReport:
        """Renew the leases of the live tasks; return the report."""
        self._check_epoch(epoch)
        for task_id in task_ids:
            task = self._tasks.get(task_id)
            if task is not None and task.phase in _LIVE:
                self._extend_lease(task, lease_seconds)
        return self.report(epoch)

    def checkpoint(self, epoch: int, task_id: str) -> float:
        """Save a task's progress; return the seconds of work saved."""
        self._check_epoch(epoch)
        task = self._find_known(task_id)
        if task.phase in _LIVE:
            task.saved = task.measure_work()
        return task.saved

    def throttle(self, epoch: int, task_id: str, share: float) -> None:
        """Run a task at a share of its speed."""
        self._check_epoch(epoch)
        task = self._find_live(task_id)
        task.done = task.measure_work()
        task.since = read_clock()
        task.share = share
        if task.phase is TaskPhase.RUNNING:
            self._plan_end(task)

    def stop(self, epoch: int, task_id: str) -> None:
        """Stop a task in any phase; an unknown one is blocked from a later start."""
        self._check_epoch(epoch)
        task = self._tasks.get(task_id)
        if task is None:
            self._stopped_early.add(task_id)
        else:
            self._end(task, TaskPhase.STOPPED)

    async def run_request(self, order: RequestOrder) -> RequestAnswer:
        """Run a short request in a slot, or refuse it as not run.

        A run continues when its caller disconnects, as on a real worker.
        """
        if self.faults.refuse_requests or self.in_flight >= self.slots:
            return RequestAnswer(order.request_id, False, False, b"", self.leaving)
        run = asyncio.get_running_loop().create_task(self._run(order))
        self._runs.add(run)
        run.add_done_callback(self._runs.discard)
        return await asyncio.shield(run)

    async def _run(self, order: RequestOrder) -> RequestAnswer:
        self.in_flight += 1
        number = self.ledger.start_request(self._open_run(order))
        ok = False
        try:
            await asyncio.sleep(order.expected_seconds * self.faults.slow_factor)
            ok = not self.faults.fail_requests
        finally:
            self.in_flight -= 1
            self.ledger.end_request(number, read_clock(), ok)
        body = make_answer_body(order)
        return RequestAnswer(order.request_id, True, ok, body, self.leaving)

    def _open_run(self, order: RequestOrder) -> RequestRun:
        now = read_clock()
        return RequestRun(
            self.name,
            order.request_id,
            order.organisation,
            order.idempotent,
            start=now,
            after_leaving=now - self._left_at if self.leaving else None,
        )

    def _check_epoch(self, epoch: int) -> None:
        if epoch < self.epoch:
            raise Failure(
                ErrorKind.STALE_EPOCH, f"{self.name} has seen epoch {self.epoch}"
            )
        self.epoch = epoch

    def _check_repeat(self, task: _Task, order: TaskOrder) -> None:
        if task.order.member != order.member:
            raise Failure(
                ErrorKind.TARGET_REFUSED, f"{order.task_id} holds other accelerators"
            )
        if task.phase not in _LIVE:
            raise Failure(ErrorKind.TARGET_REFUSED, f"{order.task_id} has ended")

    def _check_room(self, order: TaskOrder) -> None:
        wanted = set(order.member.accelerators)
        if order.task_id in self._stopped_early:
            raise Failure(ErrorKind.TARGET_REFUSED, f"{order.task_id} was stopped")
        if self.leaving:
            raise Failure(ErrorKind.TARGET_REFUSED, f"{self.name} is leaving")
        if not wanted <= set(range(self.accelerators)):
            raise Failure(ErrorKind.TARGET_REFUSED, f"{self.name} lacks {wanted}")
        for task in self._tasks.values():
            taken = wanted & set(task.order.member.accelerators)
            if task.phase in _LIVE and taken:
                raise Failure(
                    ErrorKind.TARGET_REFUSED, f"{task.order.task_id} holds {taken}"
                )

    def _find_known(self, task_id: str) -> _Task:
        task = self._tasks.get(task_id)
        if task is None:
            raise Failure(ErrorKind.TARGET_REFUSED, f"{task_id} is unknown")
        return task

    def _find_live(self, task_id: str) -> _Task:
        task = self._find_known(task_id)
        if task.phase not in _LIVE:
            raise Failure(ErrorKind.TARGET_REFUSED, f"{task_id} has ended")
        return task

    def _extend_lease(self, task: _Task, seconds: float) -> None:
        if task.lease_timer is not None:
            task.lease_timer.cancel()
        task.lease_end = read_clock() + seconds
        task.lease_timer = asyncio.get_running_loop().call_at(
            task.lease_end, self._end, task, TaskPhase.STOPPED
        )

    def _start(self, task: _Task, epoch: int) -> None:
        now = read_clock()
        task.phase = TaskPhase.RUNNING
        task.epoch = epoch
        task.started = task.since = now
        order = task.order
        task.run = self.ledger.start_task(
            TaskRun(
                self.name,
                order.task_id,
                order.job_id,
                order.organisation,
                order.attempt,
                epoch,
                order.member.accelerators,
                order.payload,
                start=now,
            )
        )
        self._plan_end(task)

    def _plan_end(self, task: _Task) -> None:
        if task.end_timer is not None:
            task.end_timer.cancel()
            task.end_timer = None
        loop = asyncio.get_running_loop()
        if self.faults.fail_tasks or task.order.payload == FAILING_PAYLOAD:
            task.end_timer = loop.call_later(
                FAILURE_SECONDS, self._end, task, TaskPhase.FAILED
            )
        elif task.share > 0:
            left = max(0.0, task.order.seconds - task.done) / task.share
            task.end_timer = loop.call_later(left, self._end, task, TaskPhase.FINISHED)

    def _end(self, task: _Task, phase: TaskPhase) -> None:
        if task.phase not in _LIVE:
            return
        task.done = task.measure_work()
        task.phase = phase
        task.ended = read_clock()
        for timer in (task.lease_timer, task.end_timer):
            if timer is not None:
                timer.cancel()
        if task.run is not None:
            self.ledger.end_task(task.run, task.ended, phase.value)

    def _describe(self, task: _Task) -> TaskReport:
        now = read_clock()
        live = task.phase in _LIVE
        settled = now - task.started >= USAGE_LAG_SECONDS
        running = task.phase is TaskPhase.RUNNING
        return TaskReport(
            task.order.task_id,
            task.order.job_id,
            task.order.organisation,
            task.order.attempt,
            task.epoch,
            task.phase,
            task.order.member.accelerators,
            checkpoint=task.saved,
            usage=task.share if running and settled else 0.0,
            lease_seconds=task.lease_end - now if live else 0.0,
            gang_size=task.order.gang_size,
        )

    def _drop_old_ended(self) -> None:
        # An owner must be able to read how a task ended after an absence of some
        # minutes; immediate removal would make a finished job look lost.
        oldest = read_clock() - ENDED_RETENTION_SECONDS
        self._tasks = {
            task_id: task
            for task_id, task in self._tasks.items()
            if task.phase in _LIVE or task.ended >= oldest
        }


def make_answer_body(order: RequestOrder) -> bytes:
    """Return an answer body that is unique to this request."""
    return f"answer to {order.request_id}: ".encode() + order.body

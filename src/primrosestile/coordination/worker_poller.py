"""Polls each worker of an owned cell: renews its leases and reads its report.

One task for each worker renews all its leases in one call, checks each job against its
report and sleeps. A failed renewal stops the renewals of every gang with a member
there, so that the gang's other members lapse too and none runs in part for longer than
one lease.
"""

import asyncio
import random
from dataclasses import dataclass

import structlog

from primrosestile.clock import read_clock
from primrosestile.coordination.actions import JobActions
from primrosestile.coordination.cell_data import CellData, Contact
from primrosestile.coordination.gangs import Stage, go_gang, make_task_id
from primrosestile.decisions.poll_intervals import choose_poll_seconds
from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.workers import TaskPhase, WorkerReport
from primrosestile.state.jobs import JobRecord, JobState, ReasonCode

# A finished member waits for the others, which may go on.
_HEALTHY_PHASES = (TaskPhase.HELD, TaskPhase.RUNNING, TaskPhase.FINISHED)

_log = structlog.get_logger()


@dataclass(slots=True)
class _Renewal:
    """What one call renews, and for how long."""

    task_ids: list[str]
    seconds: float


class WorkerPoller:
    """Polls the workers of one cell."""

    def __init__(self, data: CellData, actions: JobActions) -> None:
        self._data = data
        self._actions = actions
        self.superseded = asyncio.Event()

    async def follow(self, group: asyncio.TaskGroup, name: str) -> None:
        """Poll one worker until cancelled or superseded."""
        contact = self._data.contacts[name]
        if self._data.job_table.list_on(name):
            # The previous owner may have renewed its leases long ago.
            await self._poll(group, contact)
        while not self.superseded.is_set():
            await asyncio.sleep(self._choose_pause())
            await self._poll(group, contact)

    def _choose_pause(self) -> float:
        jobs_wait = self._data.job_table.count_in(JobState.ACCEPTED) > 0
        seconds = choose_poll_seconds(
            self._data.command.lease_seconds,
            jobs_wait,
            self._data.count_polled(),
        )
        return seconds * random.uniform(0.8, 1.0)

    async def _poll(self, group: asyncio.TaskGroup, contact: Contact) -> None:
        command = self._data.command
        was_reachable = contact.reachable
        try:
            asked_at, report = await self._renew_with_retry(contact)
        except Failure as failure:
            self._note_failure(contact, failure)
            if failure.kind is ErrorKind.STALE_EPOCH:
                return
        else:
            contact.report_at = asked_at
            self._note_report(contact, report)
            if not was_reachable:
                # The tasks there were left out of this renewal, since it was unknown
                # whether they still ran.
                await self._poll(group, contact)
                return
        if command.may_act():
            self._consider(group, contact)

    async def _renew_with_retry(self, contact: Contact) -> tuple[float, WorkerReport]:
        """Renew, with one immediate retry if the worker does not answer.

        The connection may be dead while a new one works; the failed call has closed it,
        so the retry opens a new one. Retrying only at the next poll would cost the
        worker's tasks their lease when leases are short.
        """
        try:
            return await self._renew(contact)
        except Failure as failure:
            unanswered = failure.kind is ErrorKind.WORKER_UNREACHABLE
            if not unanswered or not contact.reachable:
                raise
        return await self._renew(contact)

    async def _renew(self, contact: Contact) -> tuple[float, WorkerReport]:
        """Renew what may be renewed; return when the call began, and the report."""
        command = self._data.command
        renewal = self._plan_renewal(contact)
        asked_at = read_clock()
        if renewal.task_ids:
            contact.renewed_at = asked_at
        report = await command.workers.renew(
            contact.worker.name,
            command.cell,
            command.epoch,
            renewal.task_ids,
            renewal.seconds,
        )
        return asked_at, report

    def _note_failure(self, contact: Contact, failure: Failure) -> None:
        if failure.kind is ErrorKind.STALE_EPOCH:
            _log.warning("cell_superseded", worker=contact.worker.name)
            self.superseded.set()
            return
        if contact.reachable:
            _log.warning(
                "worker_unreachable",
                worker=contact.worker.name,
                kind=failure.kind.value,
            )
        contact.reachable = False
        self._data.refresh_usable()

    def _note_report(self, contact: Contact, report: WorkerReport) -> None:
        changed = not contact.reachable or contact.report is None
        contact.reachable = True
        contact.report = report
        if changed or contact.leaving:
            self._data.refresh_usable()
            self._data.wake()

    def _plan_renewal(self, contact: Contact) -> _Renewal:
        """Return the worker's tasks whose gang is complete, and for how long to renew.

        RENEWED_ONLY_WHOLE and CARETAKER_RENEWS_WHOLE. The lease is shortened by the age
        of the latest observation of the gang's other members, so that a gang whose
        member died just after its poll still stops everywhere within one lease.

        While this process's own lease is not valid it renews only during an outage of
        the store, when no other process can have become the owner; a process that was
        paused renews nothing before it has called the store.
        """
        command = self._data.command
        now = read_clock()
        renewal = _Renewal([], command.lease_seconds)
        if not contact.reachable:
            return renewal
        if not command.may_act() and not command.may_extend_leases():
            return renewal
        for record in self._data.job_table.list_on(contact.worker.name):
            if record.spec.job_id in self._data.stopping:
                continue
            oldest = self._find_oldest_observation(record, contact)
            if oldest is None:
                continue
            task_id = make_task_id(record.spec.job_id, record.attempt)
            renewal.task_ids.append(task_id)
            left = command.lease_seconds - (now - oldest)
            renewal.seconds = min(renewal.seconds, left)
        renewal.seconds = max(renewal.seconds, 0.0)
        return renewal

    def _find_oldest_observation(
        self, record: JobRecord, asking: Contact
    ) -> float | None:
        """Return the oldest time at which a gang's other members were seen healthy.

        None when one of them is unreachable, or not held, running or finished. A start
        counts as an observation of each member.
        """
        started = self._data.started_at.get(record.spec.job_id, 0.0)
        oldest = read_clock()
        for member in record.members:
            if member.worker == asking.worker.name:
                continue
            contact = self._data.contacts.get(member.worker)
            if contact is None or not contact.reachable:
                return None
            if self._find_phase(member.worker, record) not in _HEALTHY_PHASES:
                return None
            oldest = min(oldest, max(contact.report_at, started))
        return oldest

    def _consider(self, group: asyncio.TaskGroup, contact: Contact) -> None:
        for record in self._data.job_table.list_on(contact.worker.name):
            if record.spec.job_id in self._data.busy:
                continue
            if record.cancel_requested:
                self._actions.spawn(group, record, self._actions.cancel(record))
            else:
                self._consider_job(group, record)

    def _consider_job(self, group: asyncio.TaskGroup, record: JobRecord) -> None:
        """Check all members of a job; start the first action that is needed."""
        phases = {
            member.worker: self._find_phase(member.worker, record)
            for member in record.members
        }
        failed = _workers_in(phases, TaskPhase.FAILED)
        gone = tuple(name for name, phase in phases.items() if phase is None)
        held = _workers_in(phases, TaskPhase.HELD)
        if failed:
            self._actions.spawn(group, record, self._actions.fail(record, failed))
        elif gone:
            self._actions.spawn(group, record, self._actions.lose(record, gone))
        elif held:
            self._actions.spawn(group, record, self._repeat_go(record, held))
        elif all(phase is TaskPhase.FINISHED for phase in phases.values()):
            self._actions.spawn(group, record, self._actions.finish(record))

    def _find_phase(self, worker: str, record: JobRecord) -> TaskPhase | None:
        """Return a member's phase; None once it can't be running any more."""
        contact = self._data.contacts.get(worker)
        if contact is None:
            return None
        if not contact.reachable or contact.report is None:
            lapsed = read_clock() >= self._data.find_lapse_time([worker])
            return None if lapsed else TaskPhase.RUNNING
        task_id = make_task_id(record.spec.job_id, record.attempt)
        for task in contact.report.tasks:
            if task.task_id == task_id:
                return None if task.phase is TaskPhase.STOPPED else task.phase
        # A report that was requested before the start can't show the task yet.
        started = self._data.started_at.get(record.spec.job_id, 0.0)
        return TaskPhase.RUNNING if contact.report_at <= started else None

    async def _repeat_go(self, record: JobRecord, held: tuple[str, ...]) -> None:
        """Send `go` to members left held when their owner died or lost contact."""
        members = [each for each in record.members if each.worker in held]
        failures = await go_gang(self._data.command, record, members)
        if failures:
            _log.warning(
                "go_again_failed",
                job_id=record.spec.job_id,
                stage=Stage.GO.value,
                reason=ReasonCode.GO_FAILED.value,
            )


def _workers_in(
    phases: dict[str, TaskPhase | None], wanted: TaskPhase
) -> tuple[str, ...]:
    return tuple(name for name, phase in phases.items() if phase is wanted)

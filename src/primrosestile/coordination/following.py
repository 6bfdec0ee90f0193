"""Follows each worker of an owned cell: renews its leases and reads its report.

One task for each worker, straight down: renew all its leases in one call, look at
what its report says of each job, sleep. A renewal that does not come through stops
the renewals of every gang with a member there, so that the gang's other members
lapse too and none runs in part for longer than one lease.
"""

import asyncio
import random
from dataclasses import dataclass

import structlog

from primrosestile.clock import read_clock
from primrosestile.coordination.actions import JobActions
from primrosestile.coordination.celldata import CellData, Contact
from primrosestile.coordination.gangs import Stage, go_gang, make_task_id
from primrosestile.decisions.poll_intervals import choose_poll_seconds
from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.workers import TaskPhase, WorkerReport
from primrosestile.state.jobs import JobRecord, JobState, ReasonCode

# A member that has finished waits for the others, which may go on.
_WELL = (TaskPhase.HELD, TaskPhase.RUNNING, TaskPhase.FINISHED)

_log = structlog.get_logger()


@dataclass(slots=True)
class _Renewal:
    """What one call renews, and for how long."""

    task_ids: list[str]
    seconds: float


class Following:
    """Keeps in touch with the workers of one cell."""

    def __init__(self, data: CellData, actions: JobActions) -> None:
        self._data = data
        self._actions = actions
        self.superseded = asyncio.Event()

    async def follow(self, group: asyncio.TaskGroup, name: str) -> None:
        """Follow one worker until cancelled or superseded."""
        contact = self._data.contacts[name]
        if self._data.book.list_on(name):
            # The owner before may have renewed its leases long ago.
            await self._run_round(group, contact)
        while not self.superseded.is_set():
            await asyncio.sleep(self._choose_pause())
            await self._run_round(group, contact)

    def _choose_pause(self) -> float:
        jobs_wait = self._data.book.count_in(JobState.ACCEPTED) > 0
        seconds = choose_poll_seconds(
            self._data.command.lease_seconds,
            jobs_wait,
            self._data.count_followed(),
        )
        return seconds * random.uniform(0.8, 1.0)

    async def _run_round(self, group: asyncio.TaskGroup, contact: Contact) -> None:
        command = self._data.command
        was_reachable = contact.reachable
        try:
            asked_at, report = await self._renew_patiently(contact)
        except Failure as failure:
            self._note_failure(contact, failure)
            if failure.kind is ErrorKind.STALE_EPOCH:
                return
        else:
            contact.report_at = asked_at
            self._note_report(contact, report)
            if not was_reachable:
                # What runs there was left out of the renewal while nobody knew
                # whether it still ran.
                await self._run_round(group, contact)
                return
        if command.may_act():
            self._consider(group, contact)

    async def _renew_patiently(self, contact: Contact) -> tuple[float, WorkerReport]:
        """Renew, and once more at once if no answer comes.

        The connection may have gone silent for good while a new one works. To
        wait a round for the second try would cost the worker's tasks their lease
        when leases are short; the first try has closed the connection, so the
        second takes a new one.
        """
        try:
            return await self._renew(contact)
        except Failure as failure:
            unheard = failure.kind is ErrorKind.WORKER_UNREACHABLE
            if not unheard or not contact.reachable:
                raise
        return await self._renew(contact)

    async def _renew(self, contact: Contact) -> tuple[float, WorkerReport]:
        """Renew what may be renewed; return when it was asked, and the report."""
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
        """Return the tasks there whose gang is whole, and for how long to renew.

        RENEWED_ONLY_WHOLE and CARETAKER_RENEWS_WHOLE. The lease is shortened by
        the age of what is known of the gang's other members: so that a gang whose
        member died just after its round still stops everywhere within one lease.

        While this process's own lease is in doubt it renews only in an outage of
        the store, in which nobody can have become the owner; a process that was
        paused renews nothing before it has asked the store.
        """
        command = self._data.command
        now = read_clock()
        renewal = _Renewal([], command.lease_seconds)
        if not contact.reachable:
            return renewal
        if not command.may_act() and not command.may_care():
            return renewal
        for record in self._data.book.list_on(contact.worker.name):
            if record.spec.job_id in self._data.stopping:
                continue
            oldest = self._find_oldest_sight(record, contact)
            if oldest is None:
                continue
            task_id = make_task_id(record.spec.job_id, record.attempt)
            renewal.task_ids.append(task_id)
            left = command.lease_seconds - (now - oldest)
            renewal.seconds = min(renewal.seconds, left)
        renewal.seconds = max(renewal.seconds, 0.0)
        return renewal

    def _find_oldest_sight(self, record: JobRecord, asking: Contact) -> float | None:
        """Return since when a gang's other members are known to be well.

        None when one of them is not: unreachable, or seen in another phase than
        the gang's. A start counts as a sight of each member.
        """
        started = self._data.started_at.get(record.spec.job_id, 0.0)
        oldest = read_clock()
        for member in record.members:
            if member.worker == asking.worker.name:
                continue
            contact = self._data.contacts.get(member.worker)
            if contact is None or not contact.reachable:
                return None
            if self._find_phase(member.worker, record) not in _WELL:
                return None
            oldest = min(oldest, max(contact.report_at, started))
        return oldest

    def _consider(self, group: asyncio.TaskGroup, contact: Contact) -> None:
        for record in self._data.book.list_on(contact.worker.name):
            if record.spec.job_id in self._data.busy:
                continue
            if record.cancel_requested:
                self._actions.spawn(group, record, self._actions.cancel(record))
            else:
                self._consider_job(group, record)

    def _consider_job(self, group: asyncio.TaskGroup, record: JobRecord) -> None:
        """Look at all members of a job; act on the first thing that is amiss."""
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
            self._actions.spawn(group, record, self._go_again(record, held))
        elif all(phase is TaskPhase.FINISHED for phase in phases.values()):
            self._actions.spawn(group, record, self._actions.finish(record))

    def _find_phase(self, worker: str, record: JobRecord) -> TaskPhase | None:
        """Return a member's phase; None once it can't be running any more."""
        contact = self._data.contacts.get(worker)
        if contact is None:
            return None
        if not contact.reachable or contact.report is None:
            lapsed = read_clock() >= self._data.lapse_of([worker])
            return None if lapsed else TaskPhase.RUNNING
        task_id = make_task_id(record.spec.job_id, record.attempt)
        for task in contact.report.tasks:
            if task.task_id == task_id:
                return None if task.phase is TaskPhase.STOPPED else task.phase
        # A report that was asked for before the start can't show the task yet.
        started = self._data.started_at.get(record.spec.job_id, 0.0)
        return TaskPhase.RUNNING if contact.report_at <= started else None

    async def _go_again(self, record: JobRecord, held: tuple[str, ...]) -> None:
        """Let members go that were held when their owner died or lost touch."""
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

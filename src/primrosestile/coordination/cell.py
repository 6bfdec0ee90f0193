"""Runs one owned cell from its recovery to its hand-over."""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from primrosestile.clock import read_clock, read_wall_clock
from primrosestile.coordination.actions import JobActions
from primrosestile.coordination.cell_data import CellData, Contact
from primrosestile.coordination.cell_page import CellPage, describe_cell
from primrosestile.coordination.cell_placement import CellPlacement, OtherCells
from primrosestile.coordination.gangs import Command, go_gang
from primrosestile.coordination.job_table import JobTable
from primrosestile.coordination.recovery import Recovery, decide_recovery
from primrosestile.coordination.slot_grants import SlotGrants
from primrosestile.coordination.worker_poller import WorkerPoller
from primrosestile.decisions.cell import CellView
from primrosestile.decisions.quarantine import make_ledger
from primrosestile.decisions.run_times import RunTimes
from primrosestile.decisions.settings_view import view_settings
from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.messages import CellDigest, DemandReport
from primrosestile.protocol.store import Store
from primrosestile.protocol.workers import WorkerReport
from primrosestile.state.fleet import Cell, Worker
from primrosestile.state.jobs import JobState, ReasonCode
from primrosestile.state.settings import Settings
from primrosestile.state.tenancy import Shape

# Concurrent report calls during a recovery. Each costs about a millisecond of processor
# time; without a limit a cell of 128 workers would block the event loop.
RECOVERY_CONCURRENCY = 32
HOUSEKEEPING_SECONDS = 1.0
RECOVERY_RETRY_SECONDS = 0.5

_log = structlog.get_logger()


class CellKeeper:
    """Runs one cell under one epoch."""

    def __init__(
        self,
        cell: Cell,
        store: Store,
        command: Command,
        read_settings: Callable[[], Settings],
        other_cells: OtherCells,
        count_polled: Callable[[], int],
        count_used_elsewhere: Callable[[], Counter[str]],
    ) -> None:
        self.cell = cell
        self._read_settings = read_settings
        self.recovered = asyncio.Event()
        self._inputs = _collect_inputs(read_settings(), cell.name)
        self._data = _make_data(
            cell,
            store,
            command,
            read_settings,
            self._wake,
            count_polled,
            count_used_elsewhere,
        )
        self._actions = JobActions(self._data)
        self._placement = CellPlacement(self._data, self._actions, store, other_cells)
        self._poller = WorkerPoller(self._data, self._actions)
        self._slot_grants = SlotGrants()

    @property
    def epoch(self) -> int:
        """The epoch under which this cell is run."""
        return self._data.command.epoch

    @property
    def superseded(self) -> asyncio.Event:
        """Set once a worker has seen a higher epoch."""
        return self._poller.superseded

    @property
    def worker_count(self) -> int:
        """How many workers the cell has."""
        return len(self._data.contacts)

    def needs_restart(self, settings: Settings) -> bool:
        """Whether the cell's workers or guaranteed shapes have changed."""
        return _collect_inputs(settings, self.cell.name) != self._inputs

    def _wake(self) -> None:
        self._placement.wake()

    async def run(self) -> None:
        """Recover the cell, then run it until cancelled."""
        await self._recover()
        async with asyncio.TaskGroup() as group:
            for name in self._data.contacts:
                group.create_task(self._poller.follow(group, name))
            group.create_task(self._data.job_table.follow(lambda record: self._wake()))
            group.create_task(self._placement.run())
            group.create_task(self._run_housekeeping())

    async def _recover(self) -> None:
        """Fence the workers, read the records and reconcile the two."""
        while True:
            try:
                reports = await self._collect_reports()
                await self._data.job_table.load()
                break
            except Failure as failure:
                _log.warning("recovery_failed", cell=self.cell.name, kind=failure.kind)
            await asyncio.sleep(RECOVERY_RETRY_SECONDS)
        recovery = decide_recovery(self._data.job_table, reports)
        await self._carry_out(recovery)
        self._data.refresh_usable()
        self.recovered.set()
        _log.info(
            "cell_recovered",
            cell=self.cell.name,
            epoch=self.epoch,
            adopted=len(recovery.adopted),
            lost=len(recovery.lost),
            orphans=len(recovery.orphans),
            unreachable=len(self._data.contacts) - len(reports),
        )

    async def _collect_reports(self) -> dict[str, WorkerReport]:
        limit = asyncio.Semaphore(RECOVERY_CONCURRENCY)
        async with asyncio.TaskGroup() as group:
            for contact in self._data.contacts.values():
                group.create_task(self._collect_report(contact, limit))
        return {
            name: contact.report
            for name, contact in self._data.contacts.items()
            if contact.reachable and contact.report is not None
        }

    async def _collect_report(self, contact: Contact, limit: asyncio.Semaphore) -> None:
        command = self._data.command
        async with limit:
            # The previous owner may have renewed an unreachable worker until just now.
            contact.renewed_at = contact.report_at = read_clock()
            try:
                contact.report = await command.workers.report(
                    contact.worker.name, command.cell, command.epoch
                )
                contact.reachable = True
            except Failure as failure:
                if failure.kind is ErrorKind.STALE_EPOCH:
                    self.superseded.set()
                contact.reachable = False

    async def _carry_out(self, recovery: Recovery) -> None:
        command = self._data.command
        for orphan in recovery.orphans:
            try:
                await command.workers.stop(
                    orphan.worker, command.cell, command.epoch, orphan.task_id
                )
            except Failure as failure:
                # Its lease lapses, since no process renews it; until then the worker
                # refuses whatever is placed on the same accelerators.
                _log.warning(
                    "orphan_not_stopped",
                    worker=orphan.worker,
                    task_id=orphan.task_id,
                    kind=failure.kind.value,
                )
        adopted_records = [each.record for each in recovery.adopted]
        lost_records = [each.record for each in recovery.lost]
        self._actions.adopt_all(adopted_records + lost_records)
        for adopted in recovery.adopted:
            if adopted.held:
                await go_gang(command, adopted.record, adopted.held)
        for lost in recovery.lost:
            try:
                await self._actions.lose(lost.record, lost.missing)
            except Failure as failure:
                _log.warning(
                    "lost_gang_unsettled",
                    job_id=lost.record.spec.job_id,
                    kind=failure.kind.value,
                )

    async def _run_housekeeping(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_SECONDS)
            self._decide_quarantine()
            if self._data.command.may_act():
                try:
                    await self._data.job_table.remove_expired(read_wall_clock())
                except Failure as failure:
                    _log.info("old_jobs_kept", kind=failure.kind.value)

    def _decide_quarantine(self) -> None:
        names = list(self._data.contacts)
        quarantined = {
            each.worker for each in self._data.failures.decide(names, read_wall_clock())
        }
        for name, contact in self._data.contacts.items():
            if contact.quarantined != (name in quarantined):
                contact.quarantined = name in quarantined
                code = ReasonCode.QUARANTINED
                if not contact.quarantined:
                    code = ReasonCode.RELEASED_FROM_QUARANTINE
                _log.warning("quarantine", worker=name, reason=code.value)
                self._data.refresh_usable()

    async def drain(self) -> None:
        """Stop deciding, and wait until all actions have ended.

        HAND_OVER_BEFORE_EXIT: a start interrupted between its record and its last `go`
        would leave an incomplete gang until the next owner has recovered the cell.
        """
        self._placement.close()
        await self._placement.wait_until_idle()

    def note_lost(self, domains: frozenset[str]) -> None:
        """Take over guarantees of lost failure domains."""
        settings = self._read_settings()
        promised = view_settings(settings).find_guaranteed_shapes(domains)
        self._data.view.set_guaranteed(promised.get(self.cell.name, ()))

    def note_listed(self, leaving: frozenset[str]) -> None:
        """Record which workers the VM list shows as leaving."""
        for name, contact in self._data.contacts.items():
            contact.listed_leaving = name in leaving
        self._data.refresh_usable()

    def note_demand(self, report: DemandReport) -> None:
        """Record an entry's demand for slots and the outcomes of its requests."""
        self._slot_grants.note(report)
        now = read_wall_clock()
        subject = f"requests of {report.entry}"
        for outcomes, failed in ((report.failures, True), (report.successes, False)):
            for worker in outcomes:
                if worker in self._data.contacts:
                    self._data.failures.record(worker, subject, failed, now)

    def count_used(self) -> dict[str, int]:
        """Return the accelerators that each team holds in this cell."""
        return self._data.count_used_here()

    def make_digest(self, entry: str) -> CellDigest:
        """Return the digest of this cell for one entry."""
        contacts = self._data.contacts
        granted = self._slot_grants.grant(contacts.values())
        return CellDigest(
            cell=self.cell.name,
            epoch=self.epoch,
            free=self._data.view.free,
            used=self._data.count_used_here(),
            slots=granted.get(entry, {}),
            seconds=self._slot_grants.seconds_left(entry),
            leaving=tuple(n for n, each in contacts.items() if each.leaving),
            quarantined=tuple(n for n, each in contacts.items() if each.quarantined),
            waiting=self._data.job_table.count_in(JobState.ACCEPTED),
        )

    def describe(self) -> CellPage:
        """Return the cell as operators see it."""
        return describe_cell(self._data, self.epoch, self.recovered.is_set())


@dataclass(frozen=True, slots=True)
class _Inputs:
    """Settings that a cell is built from; the policy is read at each decision."""

    workers: tuple[Worker, ...]
    promised: tuple[tuple[str, Shape], ...]


def _collect_inputs(settings: Settings, name: str) -> _Inputs:
    view = view_settings(settings)
    return _Inputs(
        view.workers_in.get(name, ()), view.find_guaranteed_shapes().get(name, ())
    )


def _make_data(
    cell: Cell,
    store: Store,
    command: Command,
    read_settings: Callable[[], Settings],
    wake: Callable[[], None],
    count_polled: Callable[[], int],
    count_used_elsewhere: Callable[[], Counter[str]],
) -> CellData:
    inputs = _collect_inputs(read_settings(), cell.name)
    return CellData(
        name=cell.name,
        command=command,
        job_table=JobTable(store, cell.name),
        view=CellView(inputs.workers, inputs.promised),
        contacts={worker.name: Contact(worker) for worker in inputs.workers},
        read_policy=lambda: read_settings().policy,
        read_quota=lambda team: _read_quota(read_settings(), team),
        run_times=RunTimes(),
        failures=make_ledger(read_settings().policy),
        wake=wake,
        count_polled=count_polled,
        count_used_elsewhere=count_used_elsewhere,
    )


def _read_quota(settings: Settings, name: str) -> int:
    """Return a team's quota; 0 for a removed team, which starts nothing more."""
    team = view_settings(settings).teams.get(name)
    return team.quota_accelerators if team else 0

"""Keeps running gangs alive when the store is down and their owner has died.

With the store down no process can become a cell's owner. If the owner dies as well, its
workers' leases would lapse and every render in the cell would be lost, although the
workers are healthy. So during an outage each placer is the caretaker of a few cells: it
renews the tasks that the workers report under the epoch that they report, and starts
and stops nothing (CARETAKER_ONLY_RENEWS). Several caretakers of one cell do no harm,
since renewals are idempotent.
"""

import asyncio
import random
from collections.abc import Callable, Mapping

import structlog

from primrosestile.coordination.cell import CellKeeper
from primrosestile.coordination.membership import Directory, ProcessLease
from primrosestile.decisions.locality import rank_placers
from primrosestile.decisions.settings_view import view_settings
from primrosestile.errors import Failure
from primrosestile.protocol.workers import TaskPhase, WorkerReport, Workers
from primrosestile.state.fleet import Cell
from primrosestile.state.settings import Settings

# A caretaker must poll before the lease that the dead owner renewed last has lapsed,
# and once more in case that poll fails.
POLLS_PER_LEASE = 3
# Two caretakers may be lost together with the owner, as when a rack fails; more than
# three would cost the workers too many messages.
CARETAKERS_PER_CELL = 3
IDLE_SECONDS = 1.0

_log = structlog.get_logger()


class Caretaker:
    """Renews, and does nothing else, in cells that this process does not run."""

    def __init__(
        self,
        name: str,
        workers: Workers,
        lease: ProcessLease,
        directory: Directory,
        read_settings: Callable[[], Settings],
        read_keepers: Callable[[], Mapping[str, CellKeeper]],
        lease_seconds: float,
    ) -> None:
        self._name = name
        self._workers = workers
        self._lease = lease
        self._directory = directory
        self._read_settings = read_settings
        self._read_keepers = read_keepers
        self._lease_seconds = lease_seconds

    async def run(self) -> None:
        """Poll the chosen cells while the store is down, until cancelled."""
        while True:
            if not self._lease.store_down:
                await asyncio.sleep(IDLE_SECONDS)
                continue
            await self._poll_cells()
            pause = self._lease_seconds / POLLS_PER_LEASE
            await asyncio.sleep(pause * random.uniform(0.6, 1.0))

    def _choose_cells(self) -> list[Cell]:
        placers = self._directory.records("placer")
        mine = self._read_keepers()
        view = view_settings(self._read_settings())
        return [
            cell
            for name, cell in view.cells.items()
            if name not in mine
            and self._name in rank_placers(name, placers, view)[:CARETAKERS_PER_CELL]
        ]

    async def _poll_cells(self) -> None:
        async with asyncio.TaskGroup() as group:
            for cell in self._choose_cells():
                group.create_task(self._poll_cell(cell))

    async def _poll_cell(self, cell: Cell) -> None:
        reports = await self._collect(cell)
        running = count_running(reports)
        async with asyncio.TaskGroup() as group:
            for report in reports:
                task_ids = choose_renewable(report, running)
                if task_ids:
                    group.create_task(self._renew(cell, report, task_ids))

    async def _collect(self, cell: Cell) -> list[WorkerReport]:
        reports: list[WorkerReport] = []

        async def read(worker: str) -> None:
            try:
                reports.append(await self._workers.report(worker, cell.name, 0))
            except Failure:
                return

        workers = view_settings(self._read_settings()).workers_in.get(cell.name, ())
        async with asyncio.TaskGroup() as group:
            for worker in workers:
                group.create_task(read(worker.name))
        return reports

    async def _renew(
        self, cell: Cell, report: WorkerReport, task_ids: list[str]
    ) -> None:
        if not self._lease.store_down:
            return
        try:
            await self._workers.renew(
                report.worker, cell.name, report.epoch, task_ids, self._lease_seconds
            )
        except Failure as failure:
            _log.info(
                "caretaker_renewal_failed",
                worker=report.worker,
                kind=failure.kind.value,
            )


def count_running(reports: list[WorkerReport]) -> dict[str, int]:
    """Return the number of workers on which each task runs."""
    running: dict[str, int] = {}
    for report in reports:
        for task in report.tasks:
            if task.phase is TaskPhase.RUNNING:
                running[task.task_id] = running.get(task.task_id, 0) + 1
    return running


def choose_renewable(report: WorkerReport, running: dict[str, int]) -> list[str]:
    """Return the tasks of one worker whose gang is complete.

    CARETAKER_RENEWS_WHOLE: a gang that has lost a member must lapse, since there is no
    owner to stop its other members.
    """
    return [
        task.task_id
        for task in report.tasks
        if task.phase is TaskPhase.RUNNING
        and running.get(task.task_id, 0) >= task.gang_size
    ]

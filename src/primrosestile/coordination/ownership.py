"""Acquires, keeps and hands over the cells of one placer.

The owner of a cell is the process that holds the key `cells/<cell>` under a live lease.
The key is created only if it is absent, so there is one owner at a time; its create
revision is the epoch, which rises with each owner because the store's revisions only
increase. When a placer dies, its keys lapse and other placers create them again.

Placers are ranked for each cell by a hash of both names. The first one tries at once
and each next one a little later, so that cells spread evenly and a lapse does not make
every placer write at the same moment.
"""

import asyncio
from collections import Counter
from collections.abc import Mapping

import msgspec
import structlog

from primrosestile.clock import read_clock
from primrosestile.coordination.cell import CellKeeper
from primrosestile.coordination.cell_placement import OtherCells
from primrosestile.coordination.gangs import Command
from primrosestile.coordination.membership import Directory, ProcessLease
from primrosestile.coordination.owner_table import (
    CELLS_PREFIX,
    CellOwnership,
    OwnerTable,
)
from primrosestile.coordination.settled_writes import delete_settled, put_settled
from primrosestile.decisions.locality import rank_placers
from primrosestile.decisions.settings_view import view_settings
from primrosestile.errors import Failure
from primrosestile.protocol.store import Store
from primrosestile.protocol.workers import Workers
from primrosestile.state.fleet import Cell
from primrosestile.state.jobs import CellOwner, ProcessRecord
from primrosestile.state.settings import Settings

# Delay in acquiring a cell for each place in its ranking of placers.
RANK_DELAY_SECONDS = 0.3
# A cell without an owner is checked again after this, in case a watch missed a lapse.
RECHECK_SECONDS = 1.0
# An owner that is not first in a cell's ranking hands the cell to the first placer once
# that one has been first this long: restarts come in pairs, and each hand-over costs a
# recovery.
BALANCE_AFTER_SECONDS = 20.0

_log = structlog.get_logger()


class Ownership:
    """Acquires, keeps and hands over cells for one placer process."""

    def __init__(
        self,
        store: Store,
        workers: Workers,
        lease: ProcessLease,
        directory: Directory,
        record: ProcessRecord,
        task_lease_seconds: float,
        other_cells: OtherCells,
    ) -> None:
        self._store = store
        self._workers = workers
        self._lease = lease
        self._directory = directory
        self._record = record
        self._task_lease_seconds = task_lease_seconds
        self._other_cells = other_cells
        self._settings = Settings()
        self._settings_changed = asyncio.Event()
        self._table = OwnerTable(store)
        self._keepers: dict[str, CellKeeper] = {}
        self._polled_count = 0
        self._listed_leaving: frozenset[str] = frozenset()
        self._leaving = False
        self._first_since: dict[str, float] = {}

    @property
    def keepers(self) -> Mapping[str, CellKeeper]:
        """The cells that this process runs, by name."""
        return self._keepers

    @property
    def settings(self) -> Settings:
        """The settings that its cells use."""
        return self._settings

    def take_settings(self, settings: Settings) -> None:
        """Apply new settings; a cell whose workers or guarantees changed restarts."""
        self._settings = settings
        self._settings_changed.set()
        self._settings_changed = asyncio.Event()

    async def run(self) -> None:
        """Run one task for each cell of the fleet until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._table.run())
            await self._table.listed.wait()
            tasks: dict[str, asyncio.Task[None]] = {}
            while True:
                changed = self._settings_changed
                self._match_tasks(group, tasks)
                await changed.wait()

    def _match_tasks(
        self, group: asyncio.TaskGroup, tasks: dict[str, "asyncio.Task[None]"]
    ) -> None:
        wanted = {cell.name for cell in self._settings.fleet.cells}
        for name in [name for name in tasks if name not in wanted]:
            tasks.pop(name).cancel()
        for name in sorted(wanted - tasks.keys()):
            tasks[name] = group.create_task(self._hold(name), name=f"cell {name}")

    async def _hold(self, name: str) -> None:
        """Acquire and run one cell whenever this process may own it."""
        while True:
            await self._lease.gained.wait()
            epoch = await self._acquire(name)
            if epoch is None:
                await self._wait_for_change(RECHECK_SECONDS)
                continue
            await self._run_keepers(name, epoch)

    async def _wait_for_change(self, seconds: float) -> None:
        changed = self._table.changed
        try:
            async with asyncio.timeout(seconds):
                await changed.wait()
        except TimeoutError:
            return

    async def _acquire(self, name: str) -> int | None:
        """Try to acquire a cell; return its epoch, or None."""
        owned = self._table.find(name)
        if owned is not None and not self._is_own(owned):
            return None
        if self._leaving:
            return None
        if owned is None:
            await asyncio.sleep(self._rank_of(name) * RANK_DELAY_SECONDS)
        try:
            return await self._create_key(name)
        except Failure as failure:
            _log.info("cell_not_acquired", cell=name, kind=failure.kind.value)
            return None

    def _is_own(self, owned: CellOwnership) -> bool:
        return owned.owner.process == self._holder

    @property
    def _holder(self) -> str:
        return f"{self._record.name}/{self._record.incarnation}"

    def _rank_of(self, name: str) -> int:
        placers = [
            record
            for record in self._directory.records("placer")
            if not record.leaving and record.name != self._record.name
        ]
        ranked = rank_placers(
            name, [*placers, self._record], view_settings(self._settings)
        )
        return ranked.index(self._record.name)

    async def _create_key(self, name: str) -> int | None:
        key = CELLS_PREFIX + name
        if not self._lease.is_valid():
            return None
        lease = self._lease.lease
        value = msgspec.json.encode(
            CellOwner(process=self._holder, peer=self._record.peer)
        )
        swap = await put_settled(self._store, key, value, 0, lease)
        current = swap.current
        if swap.done:
            current = await self._store.get(key)
        if current is None or current.lease != lease:
            return None
        owned = self._table.read(current)
        if owned is None or not self._is_own(owned):
            return None
        self._table.note(current)
        return current.create_revision

    async def _run_keepers(self, name: str, epoch: int) -> None:
        """Run the cell until it is lost, and restart it when its settings change."""
        _log.info("cell_acquired", cell=name, epoch=epoch)
        lease = self._lease.lease
        while True:
            cell = view_settings(self._settings).cells.get(name)
            if cell is None:
                return
            keeper = self._make_keeper(cell, epoch, lease)
            keeper.note_listed(self._listed_leaving)
            self._set_keeper(name, keeper)
            run = asyncio.create_task(keeper.run(), name=f"keeper {name} {epoch}")
            try:
                kept = await self._watch_keeper(keeper, run, name, lease)
            finally:
                self._set_keeper(name, None)
                await _end_task(run)
            if not kept:
                _log.info("cell_given_up", cell=name, epoch=epoch)
                return

    def _make_keeper(self, cell: Cell, epoch: int, lease: int) -> CellKeeper:
        command = Command(
            workers=self._workers,
            cell=cell.name,
            epoch=epoch,
            lease_seconds=self._task_lease_seconds,
            may_act=lambda: self._lease.is_valid() and self._lease.lease == lease,
            may_extend_leases=lambda: self._lease.store_down,
        )
        return CellKeeper(
            cell,
            self._store,
            command,
            lambda: self._settings,
            self._other_cells,
            lambda: self._polled_count,
            lambda: self._count_used_elsewhere(cell.name),
        )

    def _set_keeper(self, name: str, keeper: CellKeeper | None) -> None:
        if keeper is None:
            self._keepers.pop(name, None)
        else:
            self._keepers[name] = keeper
        # Read at each poll of each worker, so it is computed here.
        self._polled_count = sum(each.worker_count for each in self._keepers.values())

    def _count_used_elsewhere(self, cell: str) -> Counter[str]:
        """Return what teams hold outside a cell; exact for this process's cells."""
        used = self._other_cells.count_used(self._keepers.keys())
        for name, keeper in self._keepers.items():
            if name != cell:
                used.update(keeper.count_used())
        return used

    def note_listed(self, leaving: frozenset[str]) -> None:
        """Record which workers the VM list shows as leaving.

        Kept for cells that are acquired later: a new owner that knew only the workers'
        own reports would place work on one that the list shows as leaving, until the
        list is read the next time.
        """
        self._listed_leaving = leaving
        for keeper in self._keepers.values():
            keeper.note_listed(leaving)

    async def _watch_keeper(
        self, keeper: CellKeeper, run: "asyncio.Task[None]", name: str, lease: int
    ) -> bool:
        """Return False when the cell is lost, True when its settings changed.

        A failed renewal of the process lease does not end the keeper: while the store
        is down it keeps renewing what runs, and does nothing else. It ends when the
        store shows that this process no longer holds the key, or a worker has seen a
        higher epoch.
        """
        while True:
            if run.done() or keeper.superseded.is_set():
                return False
            if self._is_lost(name, keeper.epoch, lease):
                return False
            if keeper.needs_restart(self._settings):
                return True
            if await self._hand_over_to_first(name, keeper):
                return False
            await self._wait_for_change(RECHECK_SECONDS / 2)

    def _is_lost(self, name: str, epoch: int, lease: int) -> bool:
        owned = self._table.find(name)
        if owned is None or owned.create_revision > epoch:
            return True
        # Keys under this process's former lease are not kept by its new one.
        return self._lease.is_valid() and self._lease.lease != lease

    async def _hand_over_to_first(self, name: str, keeper: CellKeeper) -> bool:
        """Hand a cell to the first placer of its ranking, once it has stayed first."""
        if self._leaving or self._rank_of(name) == 0:
            self._first_since.pop(name, None)
            return False
        since = self._first_since.setdefault(name, read_clock())
        if read_clock() - since < BALANCE_AFTER_SECONDS:
            return False
        self._first_since.pop(name, None)
        await keeper.drain()
        return await self._release_key(name)

    async def _release_key(self, name: str) -> bool:
        owned = self._table.find(name)
        if owned is None or not self._is_own(owned):
            return True
        try:
            given = await delete_settled(
                self._store, CELLS_PREFIX + name, owned.mod_revision
            )
            # The watch has not shown the removal yet. If the cell still counted as
            # owned here, this process would create the key again at once, before the
            # placer that it was released for.
            self._table.remove(name, owned.mod_revision)
            return given
        except Failure as failure:
            _log.warning("cell_not_handed_over", cell=name, kind=failure.kind.value)
            return False

    async def leave(self) -> None:
        """Hand over every cell: finish the running actions, then delete the keys."""
        self._leaving = True
        async with asyncio.TaskGroup() as group:
            for name, keeper in list(self._keepers.items()):
                group.create_task(self._drain_and_release(name, keeper))

    async def _drain_and_release(self, name: str, keeper: CellKeeper) -> None:
        await keeper.drain()
        await self._release_key(name)


async def _end_task(task: "asyncio.Task[None]") -> None:
    """End a keeper's task; a fault in it is logged and must not end the process.

    Otherwise one record that crashes a keeper would end this placer, then the next
    placer that acquires the cell, and so on through all of them.
    """
    task.cancel()
    await asyncio.wait({task})
    if not task.cancelled() and task.exception() is not None:
        _log.error("keeper_failed", task=task.get_name(), exc_info=task.exception())
        await asyncio.sleep(RECHECK_SECONDS)

"""An entry's view of all cells, built from the digests of their owners.

One task for each placer reports the demand for slots, merges the digests of its cells
and sleeps. A placer that does not answer affects only the grants of its own cells.
"""

import asyncio
import random
from collections.abc import Callable

import structlog

from primrosestile.clock import read_clock
from primrosestile.coordination.digest_exchange import DigestTable
from primrosestile.coordination.dispatcher import Dispatcher
from primrosestile.coordination.membership import Directory
from primrosestile.coordination.vm_watch import VmWatch
from primrosestile.decisions.cell_selection import CellSummary
from primrosestile.decisions.locality import select_local, select_local_targets
from primrosestile.decisions.settings_view import SettingsView, view_settings
from primrosestile.errors import Failure
from primrosestile.protocol.messages import CellDigests, DemandReport
from primrosestile.protocol.peers import Peers
from primrosestile.protocol.workers import VmList
from primrosestile.state.jobs import ProcessRecord
from primrosestile.state.settings import Settings
from primrosestile.state.tenancy import Shape

REPORT_SECONDS = 1.0
REPORT_TIMEOUT_SECONDS = 1.0
# A digest older than this says nothing about free accelerators.
FRESH_SECONDS = 4.0

_log = structlog.get_logger()


class CellWatch:
    """Reports demand to placers and keeps their answers."""

    def __init__(
        self,
        name: str,
        failure_domain: str,
        peers: Peers,
        directory: Directory,
        dispatcher: Dispatcher,
        vm_list: VmList,
        read_settings: Callable[[], Settings],
    ) -> None:
        self._name = name
        self._failure_domain = failure_domain
        self._peers = peers
        self._directory = directory
        self._dispatcher = dispatcher
        self._vms = VmWatch(vm_list, self.note_listed)
        self._read_settings = read_settings
        self._table = DigestTable()
        self._listed_leaving: frozenset[str] = frozenset()
        self._routed: tuple[SettingsView | None, set[str]] = (None, set())
        self._changed = asyncio.Event()
        self._asked: set[str] = set()
        self._placers: set[str] = set()
        self.informed = asyncio.Event()
        directory.on_change(self._changed.set)

    async def run(self) -> None:
        """Keep one task for each placer in the directory, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._vms.run())
            tasks: dict[str, asyncio.Task[None]] = {}
            while True:
                self._changed.clear()
                self._match_tasks(group, tasks)
                self.refresh_targets()
                await self._changed.wait()

    def _match_tasks(
        self, group: asyncio.TaskGroup, tasks: dict[str, "asyncio.Task[None]"]
    ) -> None:
        view = view_settings(self._read_settings())
        found = self._directory.records("placer")
        local_placers = select_local(self._failure_domain, found, view)
        placers = {record.name: record for record in local_placers}
        for name in [name for name in tasks if name not in placers]:
            tasks.pop(name).cancel()
        for name, record in placers.items():
            if name not in tasks:
                tasks[name] = group.create_task(self._follow(record))
        self._placers = set(placers)
        if self._directory.listed.is_set() and self._placers <= self._asked:
            self.informed.set()
        entries = self._directory.records("entry")
        sharing = select_local(self._failure_domain, entries, view)
        self._dispatcher.router.set_entries([each.name for each in sharing])

    async def _follow(self, record: ProcessRecord) -> None:
        while True:
            found = self._directory.find(record.name)
            peer = found.peer if found else record.peer
            try:
                answer = await self._peers.ask(
                    peer, self._make_report(), REPORT_TIMEOUT_SECONDS
                )
            except Failure as failure:
                _log.info("placer_silent", placer=record.name, kind=failure.kind.value)
            else:
                if isinstance(answer, CellDigests):
                    self._merge(answer)
            self._note_asked(record.name)
            await asyncio.sleep(REPORT_SECONDS * random.uniform(0.8, 1.0))

    def _note_asked(self, placer: str) -> None:
        """Set `informed` once each placer has been asked, whether it answered or not.

        An entry that knows only one cell of three would send it every job of a burst.
        """
        self._asked.add(placer)
        if self._placers <= self._asked:
            self.informed.set()

    def _make_report(self) -> DemandReport:
        in_flight, failures, successes = self._dispatcher.counts.take()
        return DemandReport(
            entry=self._name,
            queued=len(self._dispatcher.queue),
            in_flight=in_flight,
            failures=failures,
            successes=successes,
        )

    def _merge(self, answer: CellDigests) -> None:
        now = read_clock()
        for digest in self._table.merge(answer.cells):
            if digest.seconds > 0.0:
                workers = self._workers_of(digest.cell)
                self._dispatcher.router.set_grants(
                    workers, digest.slots, now + digest.seconds
                )
        self.refresh_targets()
        self._dispatcher.wake()

    def _workers_of(self, cell_name: str) -> list[str]:
        view = view_settings(self._read_settings())
        return [worker.name for worker in view.workers_in.get(cell_name, ())]

    def note_listed(self, leaving: frozenset[str]) -> None:
        """Record which workers the VM list shows as leaving."""
        self._listed_leaving = leaving
        self.refresh_targets()

    def refresh_targets(self) -> None:
        """Tell the router which targets there are, and which are leaving."""
        view = view_settings(self._read_settings())
        leaving = set(self._listed_leaving)
        for digest in self._table:
            leaving.update(digest.leaving)
            leaving.update(digest.quarantined)
        now = read_clock()
        if self._routed != (view, leaving):
            # Sorting in 15,000 targets takes tens of milliseconds; digests come
            # many times a second and seldom change the set.
            if self._routed[0] is not view:
                # Other settings may make other placers local.
                self._changed.set()
            self._routed = (view, leaving)
            slots = select_local_targets(self._failure_domain, view)
            self._dispatcher.router.set_targets(slots, frozenset(leaving), now)
        self._dispatcher.queue.set_slots(self._dispatcher.router.count_slots(now))
        self._dispatcher.wake()

    def note_handed(self, cell: str, accelerators: int) -> None:
        """Note a job that was handed to a cell."""
        self._table.note_handed(cell, accelerators)

    def list_summaries(self, organisation: str, shape: Shape) -> list[CellSummary]:
        """Return what is known of each cell that could ever hold the shape."""
        return self._table.list_summaries(
            self._read_settings(), organisation, shape, FRESH_SECONDS
        )

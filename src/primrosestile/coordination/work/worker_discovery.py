"""Keeps the owner's list of workers current.

The list says at which addresses workers may be polled, and what they offer. It never
proves that an incarnation of a worker is over: the entry of an ended incarnation stays
for seconds beside that of the next one at its address, and either may come first. Runs
on a worker count as running until the worker's own answers, or the end of its lease,
show otherwise; `worker_links` handles those (LIFE_ENDS_BY_OWN_WORD).

A list that takes seconds to arrive can't show in time that a worker is leaving or that
its failure domain is cordoned. Before a start, the entries of its workers are then read
by key (`confirm`). A watch would not do: it may be silent without telling, and workers
rewrite their entries so often that it would carry as much as the list.
"""

import asyncio
import math
from collections.abc import Callable, Collection

import structlog

from primrosestile.clock import read_clock
from primrosestile.coordination.work.list_freshness import ListFreshness, is_recent
from primrosestile.coordination.work.log_fields import list_names
from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.decisions.work.units import Worker
from primrosestile.errors import Failure
from primrosestile.protocol.fleet import WorkerList, WorkerListing
from primrosestile.state.workers import WorkerEntry

RETRY_SECONDS = 0.2
# Pause after a worker's entry could not be read for a start; such a read takes 1 s.
UNREAD_PAUSE_SECONDS = 2.0
# Entries that expired while the store was down are back within 2 s of its recovery.
ABSENCE_SECONDS = 2.5

_log = structlog.get_logger()


class WorkerDiscovery:
    """Polls the workers' entries in the store."""

    def __init__(
        self,
        workers: WorkerList,
        fleet_state: FleetState,
        add_new: Callable[[WorkerEntry], None],
        wake: Callable[[], None],
    ) -> None:
        self._workers = workers
        self._fleet_state = fleet_state
        self._add_new = add_new
        self._wake = wake
        self.freshness = ListFreshness()
        # When the entry of a worker was last asked for by its key, since the list was.
        self._confirmed_at: dict[str, float] = {}
        self._cordons_asked_at = -math.inf
        self._failed_at = -ABSENCE_SECONDS
        self._missing_since: dict[str, float] = {}
        self._cordoned: frozenset[str] = frozenset()
        # Wrong addresses in workers' entries, written by another writer, by worker.
        self._foreign: dict[str, str] = {}

    def is_recent(self, worker: str, seconds: float = 0.0) -> bool:
        """Whether a worker's entry is recent enough to send starts to it.

        Args:
            worker: Its name.
            seconds: How long the transfer of a start takes.
        """
        if self.freshness.is_recent(seconds):
            return True
        confirmed_at = self._confirmed_at.get(worker)
        return confirmed_at is not None and is_recent(confirmed_at, seconds)

    async def run(self) -> None:
        """Poll the list until cancelled."""
        while True:
            try:
                await self.refresh()
                wait = self.freshness.pause
            except Failure as failure:
                self._failed_at = read_clock()
                _log.warning("workers_not_listed", reason=str(failure))
                wait = RETRY_SECONDS
            await asyncio.sleep(wait)

    async def refresh(self) -> None:
        """Read the list once."""
        asked_at = self.freshness.record_request()
        try:
            found = await self._workers.list_workers()
        except Failure:
            self.freshness.record_failure()
            raise
        entries = found.entries
        self._record_read(asked_at, len(entries) + len(found.rejected))
        own = [entry for entry in entries if self._is_own(entry)]
        changed = False
        for entry in own:
            # What was read by key after the list was asked for is newer.
            if entry.worker not in self._confirmed_at:
                changed |= self._apply_entry(entry)
        self._fleet_state.remove_ended(
            {entry.worker for entry in entries} | found.rejected
        )
        self._unlist_rejected(found.rejected)
        self._note_missing({entry.worker for entry in own})
        newer = self._cordons_asked_at > asked_at
        changed |= self._apply_cordons(self._cordoned if newer else found.cordoned)
        if changed:
            self._wake()

    def _record_read(self, asked_at: float, entries: int) -> None:
        self._confirmed_at = {
            name: at for name, at in self._confirmed_at.items() if at > asked_at
        }
        if self.freshness.record_read(asked_at):
            _log.info(
                "worker_list_long" if self.freshness.long else "worker_list_short",
                seconds=round(self.freshness.read_seconds, 2),
                entries=entries,
            )

    async def confirm(self, names: Collection[str], seconds: float = 0.0) -> None:
        """Read the entries of workers by key, and the cordons, if the list is long.

        Workers whose entries can't be read now stay as they are, so that `is_recent`
        is false for them once their former entries are old.

        Args:
            names: Of the workers.
            seconds: How long the transfer of a start takes.
        """
        wanted = [name for name in names if not self.is_recent(name, seconds)]
        if not wanted or not self.freshness.long:
            return
        asked_at = read_clock()
        try:
            found = await self._workers.read_workers(wanted)
        except Failure as failure:
            _log.warning("workers_not_confirmed", reason=str(failure))
            return
        if found.unread:
            _log.warning("workers_not_confirmed", workers=list_names(found.unread))
        changed = self._apply_confirmed(wanted, found, asked_at)
        if asked_at > self._cordons_asked_at:
            self._cordons_asked_at = asked_at
            changed |= self._apply_cordons(found.cordoned)
        if changed:
            self._wake()

    def _apply_confirmed(
        self, names: Collection[str], found: WorkerListing, asked_at: float
    ) -> bool:
        entries = {entry.worker: entry for entry in found.entries}
        changed = False
        for name in names:
            worker = self._fleet_state.workers.get(name)
            if worker is None or asked_at <= self._confirmed_at.get(name, -math.inf):
                continue
            if name in found.unread:
                # A start on it would be decided and withheld in every pass.
                until = read_clock() + UNREAD_PAUSE_SECONDS
                worker.quarantined_until = max(worker.quarantined_until, until)
                continue
            self._confirmed_at[name] = asked_at
            entry = entries.get(name)
            if entry is not None and self._is_own(entry):
                changed |= self._apply_entry(entry)
            else:
                # The list may show for seconds that nothing has changed.
                changed |= worker.listed
                _unlist(worker)
        return changed

    def _apply_cordons(self, cordoned: frozenset[str]) -> bool:
        """Give no new work to the failure domains that operators have cordoned.

        What runs there goes on. New work would be on workers that operators are about
        to remove or change.
        """
        for worker in self._fleet_state.workers.values():
            worker.cordoned = worker.entry.failure_domain in cordoned
        if cordoned == self._cordoned:
            return False
        _log.info("failure_domains_cordoned", domains=sorted(cordoned))
        known = {
            worker.entry.failure_domain for worker in self._fleet_state.workers.values()
        }
        if cordoned - known:
            # A cordon under a misspelt name protects nothing.
            _log.warning("cordons_without_workers", domains=sorted(cordoned - known))
        self._cordoned = cordoned
        return True

    def _is_own(self, entry: WorkerEntry) -> bool:
        """Whether an entry can have been written by its worker.

        An incarnation keeps its address. Once it has answered an owner there, an entry
        with another address comes from another writer: by that, our calls would reach
        some other worker, and this one would lose its lease and all its runs. Such an
        entry is ignored, so the worker counts as unlisted until its entry is correct.
        """
        known = self._fleet_state.find_verified_address(entry.worker)
        if known is None:
            return True
        if entry.address == known:
            self._foreign.pop(entry.worker, None)
            return True
        if self._foreign.get(entry.worker) != entry.address:
            self._foreign[entry.worker] = entry.address
            _log.warning(
                "worker_entry_foreign",
                worker=entry.worker,
                address=entry.address,
                known=known,
            )
        return False

    def _apply_entry(self, entry: WorkerEntry) -> bool:
        if self._fleet_state.has_ended(entry):
            return False
        worker = self._fleet_state.workers.get(entry.worker)
        if worker is None:
            # An earlier start of the worker gets no new work: the orders would reach
            # this one. Only its own answer shows that it is over.
            for earlier in self._fleet_state.list_incarnations(entry.worker_id):
                _unlist(earlier)
            self._add_new(entry)
            return True
        if entry.leaving and not worker.entry.leaving:
            # Counted from the first entry that says so; a later one may be seconds old.
            worker.leaves_at = read_clock() + entry.leaving_seconds
            _log.info(
                "worker_leaving",
                worker=entry.worker,
                seconds=entry.leaving_seconds,
                members=len(worker.members),
            )
        changed = not worker.listed or worker.entry != entry
        worker.entry = entry
        worker.listed = True
        return changed

    def _unlist_rejected(self, rejected: frozenset[str]) -> None:
        """Give no new work to workers whose entries can't be read.

        The overwritten entry may have said that the worker is leaving. What runs there
        goes on: the worker's link still polls it, as when the entry is missing.
        """
        for name in rejected:
            for worker in self._fleet_state.list_incarnations(name):
                _unlist(worker)

    def _note_missing(self, present: set[str]) -> None:
        now = read_clock()
        for name in list(self._missing_since):
            if name in present:
                del self._missing_since[name]
        for worker in self._fleet_state.workers.values():
            if worker.name in present:
                continue
            since = self._missing_since.setdefault(worker.name, now)
            settled = now - max(since, self._failed_at) > ABSENCE_SECONDS
            if settled or now - self._failed_at > ABSENCE_SECONDS:
                _unlist(worker)


def _unlist(worker: Worker) -> None:
    """Give a worker no new work; what runs there goes on."""
    if worker.listed:
        worker.listed = False
        _log.info("worker_unlisted", worker=worker.name)

"""Keeps the owner's list of workers current.

The list says at which addresses workers may be polled, and what they offer. It never
proves that an incarnation of a worker is over: the entry of an ended incarnation stays
for seconds beside that of the next one at its address, and either may come first. Runs
on a worker count as running until the worker's own answers, or the end of its lease,
show otherwise; `worker_links` handles those (LIFE_ENDS_BY_OWN_WORD).
"""

import asyncio
from collections.abc import Callable

import structlog

from primrosestile.clock import read_clock
from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.errors import Failure
from primrosestile.protocol.fleet import WorkerList
from primrosestile.state.workers import WorkerEntry

# Workers write about every 1.5 s, and one that leaves must get no new work after
# 2 s; a read takes 0.3 s of that at a slow store.
POLL_SECONDS = 0.5
RETRY_SECONDS = 0.2
# Entries that expired while the store was down are back within 2 s of its recovery.
ABSENCE_SECONDS = 2.5
# An older list may not show yet that a worker is leaving.
STALE_SECONDS = 1.5

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
        self._read_at = -STALE_SECONDS
        self._failed_at = -ABSENCE_SECONDS
        self._missing_since: dict[str, float] = {}
        self._cordoned: frozenset[str] = frozenset()
        # Wrong addresses in workers' entries, written by another writer, by worker.
        self._foreign: dict[str, str] = {}

    @property
    def recent(self) -> bool:
        """Whether the list is recent enough to give workers new work."""
        return read_clock() - self._read_at < STALE_SECONDS

    async def run(self) -> None:
        """Poll the list until cancelled."""
        while True:
            wait = POLL_SECONDS
            try:
                await self.refresh()
            except Failure as failure:
                self._failed_at = read_clock()
                _log.warning("workers_not_listed", reason=str(failure))
                wait = RETRY_SECONDS
            await asyncio.sleep(wait)

    async def refresh(self) -> None:
        """Read the list once."""
        asked_at = read_clock()
        found = await self._workers.list_workers()
        entries = found.entries
        self._read_at = asked_at
        own = [entry for entry in entries if self._is_own(entry)]
        changed = False
        for entry in own:
            changed |= self._apply_entry(entry)
        self._fleet_state.remove_ended(
            {entry.worker for entry in entries} | found.rejected
        )
        self._unlist_rejected(found.rejected)
        self._note_missing({entry.worker for entry in own})
        changed |= self._apply_cordons(found.cordoned)
        if changed:
            self._wake()

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
            worker = self._fleet_state.workers.get(name)
            if worker is not None and worker.listed:
                worker.listed = False
                _log.info("worker_unlisted", worker=name)

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
            if worker.listed and (settled or now - self._failed_at > ABSENCE_SECONDS):
                worker.listed = False
                _log.info("worker_unlisted", worker=worker.name)

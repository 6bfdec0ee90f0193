"""What the owner of a cell does beside placing: cancel, move, empty, tidy up.

Each of these looks at the records afresh in every pass, so whatever an earlier
owner or a failed store left half done is found and done again.
"""

import asyncio

from primrosestile.clock import read_clock, read_wall_clock
from primrosestile.coordination.actions import JobActions
from primrosestile.coordination.celldata import CellData
from primrosestile.coordination.shifting import finish_move
from primrosestile.decisions.defragmentation import INTERVAL_SECONDS, find_move
from primrosestile.protocol.store import Store
from primrosestile.state.jobs import JobRecord, JobState, ReasonCode


class Upkeep:
    """The actions of one cell that no waiting job asks for."""

    def __init__(self, data: CellData, actions: JobActions, store: Store) -> None:
        self._data = data
        self._actions = actions
        self._store = store
        self._moved_at = read_clock()

    def run_pass(self, group: asyncio.TaskGroup) -> None:
        """Begin whatever there is to do."""
        self._cancel_asked(group)
        self._finish_moves(group)
        self._empty_leaving(group)
        self._defragment(group)

    def _is_free(self, record: JobRecord) -> bool:
        return record.spec.job_id not in self._data.busy

    def _cancel_asked(self, group: asyncio.TaskGroup) -> None:
        """Carry out cancellations; a wave of them is one pass over the book."""
        book = self._data.book
        for record in book.list_in(JobState.ACCEPTED) + book.list_in(JobState.STARTED):
            if record.cancel_requested and self._is_free(record):
                self._actions.spawn(group, record, self._actions.cancel(record))

    def _finish_moves(self, group: asyncio.TaskGroup) -> None:
        """Finish what an earlier owner, or a store that failed, left half done."""
        for record in self._data.book.list_in(JobState.MOVING):
            if self._is_free(record):
                finish = finish_move(self._store, self._data, record)
                self._actions.spawn(group, record, finish)

    def _empty_leaving(self, group: asyncio.TaskGroup) -> None:
        """Move what can be moved off workers that are leaving.

        A worker that leaves takes its tasks with it. A job that can be stopped
        with its progress saved loses nothing by going early; one that can't is
        left to finish, which the worker may still allow.
        """
        leaving = {
            name for name, contact in self._data.contacts.items() if contact.leaving
        }
        if not leaving:
            return
        for record in self._data.book.list_in(JobState.STARTED):
            if not record.spec.checkpoints or not self._is_free(record):
                continue
            there = [each.worker for each in record.members if each.worker in leaving]
            if there:
                evict = self._actions.evict(
                    record, ReasonCode.WORKER_LEAVING, ", ".join(there)
                )
                self._actions.spawn(group, record, evict)

    def _defragment(self, group: asyncio.TaskGroup) -> None:
        """Move a few jobs when the largest promised shape has no place."""
        if read_clock() - self._moved_at < INTERVAL_SECONDS:
            return
        self._moved_at = read_clock()
        data = self._data
        move = find_move(data.view, data.read_policy(), read_wall_clock())
        if move is None:
            return
        detail = f"to open {move.shape.accelerators} ({move.shape.adjacency.value})"
        for job_id in move.victims:
            record = data.book.find(job_id)
            if record is None or not self._is_free(record):
                continue
            evict = self._actions.evict(record, ReasonCode.MOVED_TO_DEFRAGMENT, detail)
            self._actions.spawn(group, record, evict)

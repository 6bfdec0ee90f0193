"""Housekeeping of an owned cell: cancel, move, evacuate, defragment.

Each pass reads the records again, so steps that an earlier owner or a failed store left
incomplete are found and repeated.
"""

import asyncio

from primrosestile.clock import read_clock, read_wall_clock
from primrosestile.coordination.actions import JobActions
from primrosestile.coordination.cell_data import CellData
from primrosestile.coordination.job_moves import finish_move
from primrosestile.decisions.defragmentation import INTERVAL_SECONDS, find_move
from primrosestile.protocol.store import Store
from primrosestile.state.jobs import JobRecord, JobState, ReasonCode


class Housekeeping:
    """The actions in one cell other than placing waiting jobs."""

    def __init__(self, data: CellData, actions: JobActions, store: Store) -> None:
        self._data = data
        self._actions = actions
        self._store = store
        self._defragmented_at = read_clock()

    def run_pass(self, group: asyncio.TaskGroup) -> None:
        """Start the actions that are due."""
        self._cancel_requested(group)
        self._finish_moves(group)
        self._evacuate_leaving(group)
        self._defragment(group)

    def _is_free(self, record: JobRecord) -> bool:
        return record.spec.job_id not in self._data.busy

    def _cancel_requested(self, group: asyncio.TaskGroup) -> None:
        """Carry out all requested cancellations in one pass over the records."""
        job_table = self._data.job_table
        for record in job_table.list_in(JobState.ACCEPTED) + job_table.list_in(
            JobState.STARTED
        ):
            if record.cancel_requested and self._is_free(record):
                self._actions.spawn(group, record, self._actions.cancel(record))

    def _finish_moves(self, group: asyncio.TaskGroup) -> None:
        """Complete moves that an earlier owner or a failed store left incomplete."""
        for record in self._data.job_table.list_in(JobState.MOVING):
            if self._is_free(record):
                finish = finish_move(self._store, self._data, record)
                self._actions.spawn(group, record, finish)

    def _evacuate_leaving(self, group: asyncio.TaskGroup) -> None:
        """Evict jobs that keep checkpoints from workers that are leaving.

        The tasks of a leaving worker end with it. A job that can be stopped with its
        progress saved loses nothing by an early eviction; one that can't is left to
        finish, which the worker may still allow.
        """
        leaving = {
            name for name, contact in self._data.contacts.items() if contact.leaving
        }
        if not leaving:
            return
        for record in self._data.job_table.list_in(JobState.STARTED):
            if not record.spec.checkpoints or not self._is_free(record):
                continue
            there = [each.worker for each in record.members if each.worker in leaving]
            if there:
                evict = self._actions.evict(
                    record, ReasonCode.WORKER_LEAVING, ", ".join(there)
                )
                self._actions.spawn(group, record, evict)

    def _defragment(self, group: asyncio.TaskGroup) -> None:
        """Move a few jobs when the largest guaranteed shape does not fit."""
        if read_clock() - self._defragmented_at < INTERVAL_SECONDS:
            return
        self._defragmented_at = read_clock()
        data = self._data
        move = find_move(data.view, data.read_policy(), read_wall_clock())
        if move is None:
            return
        detail = f"to open {move.shape.accelerators} ({move.shape.adjacency.value})"
        for job_id in move.victims:
            record = data.job_table.find(job_id)
            if record is None or not self._is_free(record):
                continue
            evict = self._actions.evict(record, ReasonCode.MOVED_TO_DEFRAGMENT, detail)
            self._actions.spawn(group, record, evict)

"""The owner's records, written in groups under its fence.

Every change of a job's record carries two conditions: that the owner's key is
still ours, so a former owner's write does nothing, and that the record stands at
the revision that we know, so a write that the store carries out seconds after we
have given it up meets a newer record and does nothing. Without the second, an
older record could come back over a newer one, and the next owner would start a
task again that runs.

Whoever needs a record to be safe waits for the end of the round that wrote it.
"""

import asyncio
from collections.abc import Collection, Sequence

import structlog

from primrosestile.coordination.work.election import Term
from primrosestile.coordination.work.keys import OWNER_KEY, make_progress_key
from primrosestile.decisions.work.board import Board
from primrosestile.decisions.work.units import Job
from primrosestile.errors import Failure
from primrosestile.protocol.transactions import (
    CHANGE_LIMIT,
    Committed,
    Condition,
    TransactionalStore,
    Write,
)
from primrosestile.state.work import encode_record

# A condition and a write for each record, besides the condition on the owner.
RECORDS_PER_CHANGE = (CHANGE_LIMIT - 1) // 2
# Bytes of values in one change; the store takes about a megabyte a call.
BYTES_PER_CHANGE = 400_000
RETRY_SECONDS = (0.05, 0.1, 0.2, 0.4)

_log = structlog.get_logger()


class Recorder:
    """Writes the records of changed jobs, one round after another."""

    def __init__(self, store: TransactionalStore, term: Term, board: Board) -> None:
        self._store = store
        self._term = term
        self._board = board
        self._revisions: dict[str, int] = {}
        self._wanted = asyncio.Event()
        self._round: asyncio.Future[None] | None = None

    def note_revision(self, job_id: str, revision: int) -> None:
        """Take in at which revision a record stands."""
        self._revisions[job_id] = revision

    def forget(self, job_id: str) -> None:
        """Drop what is known of a record that was removed."""
        self._revisions.pop(job_id, None)

    def ask(self) -> None:
        """Have what has changed written soon."""
        if self._board.changed:
            self._wanted.set()

    async def save(self) -> None:
        """Return once everything that has changed by now is in the store."""
        if self._round is None:
            self._round = asyncio.get_running_loop().create_future()
        waiting = self._round
        self._wanted.set()
        await asyncio.shield(waiting)

    async def run(self) -> None:
        """Write rounds until the term is lost."""
        while not self._term.lost.is_set():
            await self._wanted.wait()
            self._wanted.clear()
            done, self._round = self._round, None
            jobs = sorted(self._board.take_changed(), key=lambda job: job.job_id)
            await self._write_round(jobs)
            if done is not None and not done.done():
                done.set_result(None)

    async def _write_round(self, jobs: Sequence[Job]) -> None:
        groups = _split(jobs)
        if len(groups) == 1:
            await self._write_group(groups[0])
            return
        async with asyncio.TaskGroup() as tasks:
            for group in groups:
                tasks.create_task(self._write_group(group))

    async def _write_group(self, group: Sequence[tuple[Job, bytes]]) -> None:
        """Write until it stands, whatever the store answers meanwhile."""
        tries = 0
        while True:
            conditions = [Condition(OWNER_KEY, self._term.fence)]
            writes = []
            for job, value in group:
                key = make_progress_key(job.job_id)
                # RECORD_COMPARED.
                conditions.append(Condition(key, self._revisions.get(job.job_id, 0)))
                writes.append(Write(key, value))
            try:
                outcome = await self._store.commit(conditions, writes)
            except Failure as failure:
                _log.warning("records_not_written", reason=str(failure), tries=tries)
                await asyncio.sleep(RETRY_SECONDS[min(tries, len(RETRY_SECONDS) - 1)])
                tries += 1
                continue
            if outcome.done:
                for job, _ in group:
                    self._revisions[job.job_id] = outcome.revision
                return
            self._take_found(outcome, group)

    def _take_found(
        self, outcome: Committed, group: Collection[tuple[Job, bytes]]
    ) -> None:
        """Learn the revisions that stand; an earlier try of ours was carried out."""
        found = {entry.key: entry for entry in outcome.found}
        owner = found.get(OWNER_KEY)
        if owner is None or owner.mod_revision != self._term.fence:
            _log.warning("ownership_found_lost", fence=self._term.fence)
            self._term.lost.set()
            raise OwnershipLost
        for job, _ in group:
            entry = found.get(make_progress_key(job.job_id))
            self._revisions[job.job_id] = 0 if entry is None else entry.mod_revision


class OwnershipLost(Exception):
    """Another process owns the fleet; this term's work must end."""


def _split(jobs: Sequence[Job]) -> list[list[tuple[Job, bytes]]]:
    groups: list[list[tuple[Job, bytes]]] = [[]]
    size = 0
    for job in jobs:
        value = encode_record(job.make_progress())
        full = len(groups[-1]) >= RECORDS_PER_CHANGE or size > BYTES_PER_CHANGE
        if full:
            groups.append([])
            size = 0
        groups[-1].append((job, value))
        size += len(value)
    return [group for group in groups if group]

"""Reconciles the keys of waiting jobs with the jobs, once at the start of a term.

A job that was accepted by an earlier version of this program has no such key, and an
owner of an earlier version does not remove the key of a job that it starts. The count
of waiting jobs would be too low or too high for as long as those jobs are open.
"""

import structlog

from primrosestile.coordination.work.keys import (
    OWNER_KEY,
    WAITING_PREFIX,
    make_job_key,
    make_progress_key,
    make_waiting,
    make_waiting_key,
)
from primrosestile.coordination.work.term import Term
from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.decisions.work.units import Job
from primrosestile.errors import Failure
from primrosestile.protocol.transactions import (
    Condition,
    TransactionalStore,
    list_entries,
)
from primrosestile.state.work import JobState

_log = structlog.get_logger()


async def reconcile_waiting_keys(
    store: TransactionalStore, term: Term, fleet_state: FleetState
) -> None:
    """Write missing keys and remove obsolete ones."""
    try:
        entries, _ = await list_entries(store, WAITING_PREFIX)
        present = {entry.key.removeprefix(WAITING_PREFIX) for entry in entries}
        for job in list(fleet_state.jobs.values()):
            if job.state is JobState.QUEUED and job.job_id not in present:
                await _add(store, term, job)
        for job_id in present:
            await _remove_left_over(store, term, fleet_state, job_id)
    except Failure as failure:
        # Only a count stays wrong, and the next owner tries again.
        _log.warning("waiting_keys_not_settled", reason=str(failure))


async def _add(store: TransactionalStore, term: Term, job: Job) -> None:
    """Add a job's key unless it has started or ended meanwhile."""
    job_key = make_job_key(job.job_id)
    entry = await store.get(job_key)
    if entry is None:
        return
    conditions = [
        Condition(OWNER_KEY, term.fence),
        Condition(job_key, entry.mod_revision),
        Condition(make_progress_key(job.job_id), 0),
    ]
    write = make_waiting(job.job_id, job.submission.queue)
    await store.commit(conditions, [write])


async def _remove_left_over(
    store: TransactionalStore, term: Term, fleet_state: FleetState, job_id: str
) -> None:
    """Remove the key of a job that has started or doesn't exist any more."""
    conditions = [Condition(OWNER_KEY, term.fence)]
    job = fleet_state.jobs.get(job_id)
    if job is None:
        # A job that was accepted just now may not be in the fleet state yet.
        conditions.append(Condition(make_job_key(job_id), 0))
    elif job.state is JobState.QUEUED:
        return
    await store.commit(conditions, removals=[make_waiting_key(job_id)])

"""What stands in the store under which key.

Callers' wishes have one prefix of their own, so that the owner's watch does not
hear the owner's own writes.
"""

from primrosestile.protocol.transactions import Write

# Written by the process that accepts a job, or a cancellation; never changed.
WISHES_PREFIX = "work/"
JOBS_PREFIX = "work/jobs/"
CANCELS_PREFIX = "work/cancels/"
# The id of the newest job or cancellation, written in the same change: its revision
# tells the owner at the price of one small read what a silent watch keeps from it.
LATEST_WISH_KEY = "latest-wish"
# The queue of each job of which nothing has started: written with the job, removed by
# the owner with the first record of a start. Every VM counts what waits by these.
WAITING_PREFIX = "waiting/"
# Written by the owner only, under its fence.
PROGRESS_PREFIX = "progress/"
# What is left of an ended job, in place of its other keys; by the owner. Nobody
# watches it, and what an owner reads at its start is only what is open.
ENDED_PREFIX = "ended/"
# What the owner has learned about run times and workers.
LEARNED_KEY = "learned"
# How far waves of upkeep got, by the owner.
UPKEEP_PREFIX = "upkeep/"
# Created by whoever becomes owner, under its lease; the revision of the creation
# is the fence that workers are shown.
OWNER_KEY = "owner"
# How many owners gave the ownership up, one after another; the watch over the owner's
# key has that as its prefix and must not hear this.
GIVEN_UP_KEY = "given-up"


def make_latest_wish(job_id: str) -> Write:
    """Return the write that goes with each job and each cancellation."""
    return Write(LATEST_WISH_KEY, job_id.encode())


def make_waiting_key(job_id: str) -> str:
    """Return the key that stands while nothing of a job has started."""
    return WAITING_PREFIX + job_id


def make_waiting(job_id: str, queue: str) -> Write:
    """Return the write by which a job counts as waiting in its queue."""
    return Write(make_waiting_key(job_id), queue.encode())


def make_job_key(job_id: str) -> str:
    """Return the key of a job as accepted."""
    return JOBS_PREFIX + job_id


def make_cancel_key(job_id: str) -> str:
    """Return the key of a job's cancellation."""
    return CANCELS_PREFIX + job_id


def make_progress_key(job_id: str) -> str:
    """Return the key of how far a job got."""
    return PROGRESS_PREFIX + job_id


def make_wave_key(number: int) -> str:
    """Return the key of how far a wave of upkeep got."""
    return f"{UPKEEP_PREFIX}{number}"


def make_ended_key(job_id: str) -> str:
    """Return the key of what is left of an ended job."""
    return ENDED_PREFIX + job_id

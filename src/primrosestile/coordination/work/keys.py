"""The layout of the keys in the store.

Caller requests (jobs and cancellations) have a prefix of their own, so that the owner's
watch does not report the owner's own writes.
"""

import hashlib
import json

from primrosestile.protocol.transactions import Write

# Written by the process that accepts a job, or a cancellation; never changed.
CALLER_REQUESTS_PREFIX = "work/"
JOBS_PREFIX = "work/jobs/"
CANCELS_PREFIX = "work/cancels/"
# The id of the newest job or cancellation, written in the same change. By its revision
# the owner detects with one small read that a watch has missed changes.
LATEST_REQUEST_KEY = "latest-wish"
# The queue of each job of which nothing has started: written with the job, removed by
# the owner with the first record of a start. Every VM counts waiting jobs by these.
WAITING_PREFIX = "waiting/"
# Written by the owner only, under its fence.
PROGRESS_PREFIX = "progress/"
# The record of an ended job, in place of its other keys; written by the owner. Nobody
# watches it, and a new owner reads only open jobs at its start.
ENDED_PREFIX = "ended/"
# Ids that were cancelled while no job had them; they expire. Written by the process
# that answers such a cancel.
TOMBSTONES_PREFIX = "tombstones/"
# The owner's statistics of run times and worker speeds.
STATISTICS_KEY = "learned"
# Until when the leases of silent workers may last, written by the owner.
LEASE_BOUNDS_KEY = "lease-bounds"
# The progress of maintenance waves, written by the owner.
MAINTENANCE_PREFIX = "upkeep/"
# Written by a process that becomes owner, under its lease; the revision of that write
# is the fence that workers are shown.
OWNER_KEY = "owner"
# How many owners in a row resigned. It does not begin with the owner's key,
# since the watch on that key covers it as a prefix and must not report this.
RESIGNATIONS_KEY = "given-up"


def make_latest_request(job_id: str) -> Write:
    """Return the write that accompanies each job and each cancellation."""
    return Write(LATEST_REQUEST_KEY, job_id.encode())


def make_waiting_key(job_id: str) -> str:
    """Return the key that exists while nothing of a job has started."""
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
    """Return the key of a job's progress."""
    return PROGRESS_PREFIX + job_id


def make_wave_key(number: int) -> str:
    """Return the key of the progress of a maintenance wave."""
    return f"{MAINTENANCE_PREFIX}{number}"


def make_ended_key(job_id: str) -> str:
    """Return the key of an ended job's record."""
    return ENDED_PREFIX + job_id


def make_tombstone_key(job_id: str, queue: str, organisation: str) -> str:
    """Return the key that bars an id in one queue for one organisation.

    Their names may be longer than a key, so it contains a digest of them.
    """
    scope = json.dumps([queue, organisation]).encode()
    digest = hashlib.blake2b(scope, digest_size=8).hexdigest()
    return f"{TOMBSTONES_PREFIX}{job_id}/{digest}"

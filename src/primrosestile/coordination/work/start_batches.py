"""Splits decided starts into batches whose workers' entries are read together."""

import itertools
from collections.abc import Iterator, Sequence

from primrosestile.decisions.work.units import Member

# Over a link of 5 Mbit/s the entries of so many workers arrive in 0.05 s; all at once,
# those of a whole fleet would be old before the last one is there.
BATCH_WORKERS = 32


def split_by_workers(members: Sequence[Member]) -> Iterator[list[Member]]:
    """Split the members of units into batches with few workers; no unit is divided."""
    batch: list[Member] = []
    workers: set[str] = set()
    for _, found in itertools.groupby(members, lambda member: member.unit):
        unit_members = list(found)
        names = {member.worker for member in unit_members}
        if batch and len(workers | names) > BATCH_WORKERS:
            yield batch
            batch, workers = [], set()
        batch += unit_members
        workers |= names
    if batch:
        yield batch

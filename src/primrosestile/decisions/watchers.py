"""Which processes watch the settings in the store, on behalf of the others.

The store counts each call, and a waiting watch as one. If every process watched,
its load would grow with the fleet. So two processes of each failure domain watch
and pass on what they see. Two, because one may be paused or cut off just when a
change comes; in each domain, because domains fail as a whole.

Every process works the choice out for itself from the list of live processes, by
rendezvous hashing: nothing has to be agreed, and when a process comes or goes only
its own place in the choice changes. Lists that differ for a moment make for one
watcher more or less, which does no harm.
"""

from collections.abc import Iterable

import xxhash

from primrosestile.state.jobs import ProcessRecord

WATCHERS_PER_DOMAIN = 2


def choose_watchers(
    records: Iterable[ProcessRecord], failure_domain: str
) -> tuple[str, ...]:
    """Return the names of a failure domain's watchers.

    At most one process of a VM is chosen, since all of them end with the VM.
    """
    best: dict[str, tuple[int, str]] = {}
    for record in records:
        if record.failure_domain != failure_domain or record.leaving:
            continue
        rank = (_hash(failure_domain, record.name), record.name)
        best[record.vm] = max(best.get(record.vm, rank), rank)
    ranked = sorted(best.values(), reverse=True)
    return tuple(name for _, name in ranked[:WATCHERS_PER_DOMAIN])


def _hash(failure_domain: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{failure_domain}/{name}".encode())

"""Which processes watch the settings in the store for all the others.

The store counts each call, and an open watch as one. If every process watched, the
load of the store would grow with the fleet. So two processes of each failure domain
watch and forward changes. Two, because one may be paused or partitioned when a
change happens; in each domain, because domains fail as a whole.

Every process computes the choice from the list of live processes by rendezvous
hashing: it needs no agreement, and when a process joins or leaves only its own rank
changes. Processes whose lists differ for a moment choose one watcher more or less,
which is harmless.
"""

from collections.abc import Iterable

import xxhash

from primrosestile.state.jobs import ProcessRecord

WATCHERS_PER_DOMAIN = 2


def choose_watchers(
    records: Iterable[ProcessRecord], failure_domain: str
) -> tuple[str, ...]:
    """Return the names of a failure domain's watchers.

    At most one process per VM is chosen, since all of them fail with the VM.
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

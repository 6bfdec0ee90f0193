"""Until when a unit waits for room before work is stopped for it.

Load: urgent gangs on a full fleet, part of whose runs will end within a second. Harm:
stopping them wastes nearly all of their work; waiting for an end that comes late makes
the gang late.
"""

from primrosestile.decisions.work.queue_order import Rank
from primrosestile.decisions.work.units import Unit

# Guaranteed work must start within 2.9 s of its acceptance. A stop and the start after
# it take half a second, and an expected end may be wrong by as much again.
RECLAIM_WAIT_SECONDS = 1.5


def find_eviction_wait(unit: Unit, rank: Rank, now: float) -> float:
    """Return that time; room that is expected later is not waited for."""
    latest = unit.job.accepted + RECLAIM_WAIT_SECONDS
    return latest if rank.late else min(latest, now + rank.slack)

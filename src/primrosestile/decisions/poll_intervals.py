"""How often a worker's leases are renewed and its report is polled.

For a placer that follows from eight to two thousand workers. Frequent polls find
ended tasks sooner, and an accelerator whose task has ended unnoticed is a licence
paid for nothing. Each poll costs about half a millisecond of processor time, and
control may use 2.5% of a core in all. So the interval is short only while jobs wait
for the capacity that a poll may find, and long enough that all the polls of one
process stay below a fixed rate.
"""

# Three renewals within a lease tolerate one lost renewal and a slow second one.
POLLS_PER_LEASE = 3
# While jobs wait. A preview or a reclaim has 5.8 s, of which this takes up to 1 s.
BUSY_POLL_SECONDS = 1.0
# Polls by one process. At 0.5 ms a poll this is 2% of a core.
MAX_POLLS_PER_SECOND = 40.0


# Interval of digest requests between two placers while there are few of them.
EXCHANGE_SECONDS = 2.0
# Digest requests by one placer. At 0.4 ms for sending one and answering one, this is
# 0.4% of a core.
MAX_EXCHANGES_PER_SECOND = 10.0


def choose_exchange_seconds(peers: int) -> float:
    """Return the seconds between two digest requests of a placer to the same peer.

    For 9 to some hundred placers. The digests decide which other cell might suit a
    waiting job better, and this may be slower where there are more cells.
    """
    return max(EXCHANGE_SECONDS, peers / MAX_EXCHANGES_PER_SECOND)


def choose_poll_seconds(
    lease_seconds: float, jobs_wait: bool, workers_polled: int
) -> float:
    """Return the seconds between two polls of one worker.

    Args:
        lease_seconds: Time to live of leases on workers.
        jobs_wait: Whether jobs wait for capacity in the worker's cell.
        workers_polled: By this process, over all its cells.
    """
    idle_seconds = lease_seconds / POLLS_PER_LEASE
    if not jobs_wait:
        return idle_seconds
    return min(
        idle_seconds, max(BUSY_POLL_SECONDS, workers_polled / MAX_POLLS_PER_SECOND)
    )

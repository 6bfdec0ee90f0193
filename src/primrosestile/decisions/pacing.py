"""How often a worker's leases are renewed and its report is read.

Made for a placer that follows from eight to two thousand workers. Reading reports
often finds ended tasks sooner, and each accelerator that has ended its task and
waits to be noticed is a licence paid for nothing. Each reading costs about half a
millisecond of processor, and control may use 2.5% of a core in all. So a round is
short only while jobs wait for the room that it may find, and never so short that
all the rounds of one process exceed a fixed rate.
"""

# Three renewals within a lease: one lost renewal and a slow second do no harm.
ROUNDS_PER_LEASE = 3
# While jobs wait. A preview or a reclaim has 5.8 s; a second of them is lost here.
BUSY_ROUND_SECONDS = 1.0
# Rounds of one process each second. At 0.5 ms a round this is 2% of a core.
MOST_ROUNDS_PER_SECOND = 40.0


# Placers speak to one another this often while they are few.
EXCHANGE_SECONDS = 2.0
# Questions of one placer each second. At 0.4 ms for asking and being asked, this
# is 0.4% of a core.
MOST_EXCHANGES_PER_SECOND = 10.0


def choose_exchange_seconds(peers: int) -> float:
    """Return the seconds between two questions of a placer to the same other one.

    Made for 9 to some hundred placers. What they tell one another decides where a
    waiting job might do better, which may be slower where there are more cells.
    """
    return max(EXCHANGE_SECONDS, peers / MOST_EXCHANGES_PER_SECOND)


def choose_round_seconds(
    lease_seconds: float, jobs_wait: bool, workers_followed: int
) -> float:
    """Return the seconds between two rounds of one worker.

    Args:
        lease_seconds: Time to live of leases on workers.
        jobs_wait: Whether jobs wait for room in the worker's cell.
        workers_followed: By this process, over all its cells.
    """
    calm = lease_seconds / ROUNDS_PER_LEASE
    if not jobs_wait:
        return calm
    return min(calm, max(BUSY_ROUND_SECONDS, workers_followed / MOST_ROUNDS_PER_SECOND))

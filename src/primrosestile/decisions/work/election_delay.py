"""Delays elections on small VMs, so that VMs that can serve the fleet run first.

If the first process to detect a vacancy became the owner, a VM of the smallest kind
would be it most of the time on a site with many of them. It would fall behind with
polls and orders, and soon resign or let workers' leases lapse. So each VM waits in
proportion to what it lacks of an ample VM, within a bound; ample VMs don't wait.
"""

import math

# Just after a takeover, an owner of a hundred workers or more needs several times what
# it needs on a calm day.
AMPLE_PROCESSOR_CORES = 1.0
# Well between links that can't serve a large fleet and those that can: a limit near
# either would separate VMs that hardly differ.
AMPLE_LINK_MBPS = 50.0
# A link with this share of an ample one, or less, gets the longest delay.
MIN_LINK_SHARE = 0.1
# Shortest delay of a VM that lacks something: longer than VMs that start together are
# apart, and than a vacancy takes to be detected.
MIN_DELAY_SECONDS = 0.3
# The bound: a takeover may take 2.5 s, of which the lease takes up to 1.2 s.
MAX_DELAY_SECONDS = 0.5


def find_election_delay(processor: float, link: float) -> float:
    """Return how many seconds a VM waits before it runs for a vacant ownership.

    Args:
        processor: In cores of the usual speed.
        link: In megabits per second.
    """
    lack = max(_find_processor_lack(processor), _find_link_lack(link))
    if lack <= 0.0:
        return 0.0
    return MIN_DELAY_SECONDS + lack * (MAX_DELAY_SECONDS - MIN_DELAY_SECONDS)


def _find_processor_lack(processor: float) -> float:
    return min(1.0, max(0.0, 1.0 - processor / AMPLE_PROCESSOR_CORES))


def _find_link_lack(link: float) -> float:
    share = max(link / AMPLE_LINK_MBPS, MIN_LINK_SHARE)
    return max(0.0, math.log(share) / math.log(MIN_LINK_SHARE))

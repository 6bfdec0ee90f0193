"""Which VMs stand first for a vacant ownership: those that can carry the fleet.

Were the first to hear of a vacancy the owner, a VM of the smallest kind would be it
most of the time on a site that has many of them. It would fall behind with looks and
orders; one would notice by an owner that soon gives the ownership up, or by leases of
workers that lapse. Each VM therefore waits by what it lacks of an ample one, within a
bound, and VMs that are ample don't wait.
"""

import math

# An owner of a hundred workers and more needs several times what it takes on a calm day
# just after a takeover.
AMPLE_PROCESSOR_CORES = 1.0
# Well between links that can't carry a large fleet and those that can: a limit at
# either would part VMs that are hardly different.
AMPLE_LINK_MBPS = 50.0
# A link of this share of an ample one lacks all that counts.
LEAST_LINK_SHARE = 0.1
# Any that lacks something waits for longer than VMs that start together are apart, and
# than a vacancy takes to be heard of.
LEAST_WAIT_SECONDS = 0.3
# The bound: a takeover may take 2.5 s, of which the lease takes up to 1.2 s.
LONGEST_WAIT_SECONDS = 0.5


def find_stand_back(processor: float, link: float) -> float:
    """Return how long a VM waits before it stands for a vacancy, in seconds.

    Args:
        processor: In cores of the usual speed.
        link: In megabits a second.
    """
    lack = max(_find_processor_lack(processor), _find_link_lack(link))
    if lack <= 0.0:
        return 0.0
    return LEAST_WAIT_SECONDS + lack * (LONGEST_WAIT_SECONDS - LEAST_WAIT_SECONDS)


def _find_processor_lack(processor: float) -> float:
    return min(1.0, max(0.0, 1.0 - processor / AMPLE_PROCESSOR_CORES))


def _find_link_lack(link: float) -> float:
    share = max(link / AMPLE_LINK_MBPS, LEAST_LINK_SHARE)
    return max(0.0, math.log(share) / math.log(LEAST_LINK_SHARE))

"""Weights of organisations, by what operators guarantee them.

Operators who guarantee some organisations several times what they guarantee others
expect that weight to hold beyond guarantees too. Where guarantees are even, there is no
weight to go by, and features that use one are off.
"""

import statistics

from primrosestile.state.policy import Policy
from primrosestile.state.scheduling import Switch

# The largest guarantee is at least this many times the median where they are uneven.
UNEVEN_FACTOR = 2.0
# An organisation without a guarantee still has this share of the pool as its weight.
MIN_WEIGHT_SHARE = 0.01


class WeightSwitch:
    """A feature's switch whose `AUTO` follows the guarantees.

    It is resolved once for each policy, since passes and submissions ask often.
    """

    def __init__(self, switch: Switch) -> None:
        self._switch = switch
        self._resolved: tuple[Policy, bool] | None = None

    def is_on(self, policy: Policy) -> bool:
        """Whether the feature is used under a policy."""
        if self._resolved is None or self._resolved[0] is not policy:
            on = self._switch.resolve(has_uneven_guarantees(policy))
            self._resolved = policy, on
        return self._resolved[1]


def has_uneven_guarantees(policy: Policy) -> bool:
    """Whether the largest guarantee is at least twice the median one.

    All organisations that have a key or a guarantee count, those without a guarantee
    as 0. Where nobody has a guarantee, none is uneven.
    """
    organisations = {*policy.keys.values(), *policy.guarantees}
    guarantees = [policy.guarantees.get(each, 0) for each in organisations]
    largest = max(guarantees, default=0)
    return largest > 0 and largest >= UNEVEN_FACTOR * statistics.median(guarantees)


def find_weight(policy: Policy, organisation: str, accelerators: int) -> float:
    """Return an organisation's weight in a pool of so many accelerators."""
    guarantee = policy.guarantees.get(organisation, 0)
    return max(float(guarantee), MIN_WEIGHT_SHARE * accelerators)

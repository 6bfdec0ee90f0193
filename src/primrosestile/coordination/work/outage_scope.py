"""Finds out whether the store is away for all VMs or for this one only.

Load: a VM that the store turns away, or whose network path is cut, while others are
served. Harm: its callers are told to return in a second, and urgent work is late by
that time, although another VM would have accepted it at once. While the store is away
for all VMs, that second is right: callers who return at once use up their attempts
before it is back.

The VM asks the owner and a few others whether the store answers them now; the owner
alone may be among those that are turned away. If neither the store nor any of them
answers anything, this VM's network path is cut.

Once a VM has failed the readiness check for some seconds, the balancer sends new
connections there only while under half of the VMs near it are ready. From then on,
other VMs are expected to serve only if most of those that answer do.
"""

import asyncio
import math
from collections import Counter
from collections.abc import Callable, Collection

import structlog

from primrosestile.clock import read_clock
from primrosestile.protocol.store_views import StoreView, StoreViewCalls

# How long an answer holds, so that a burst of refused callers costs one query. An
# outage of all VMs may begin meanwhile.
ANSWER_SECONDS = 0.25
# After this long without a proof of the policy, the balancer has taken the VM out of
# rotation: the check fails after 1.6 s, and counts when it has failed twice, once a
# second.
OUT_OF_ROTATION_SECONDS = 5.0

_log = structlog.get_logger()


class OutageScope:
    """Judges an outage of the store that this VM sees."""

    def __init__(
        self,
        calls: StoreViewCalls,
        list_peers: Callable[[], Collection[str]],
        is_silent: Callable[[], bool],
    ) -> None:
        """Begin without an answer.

        Args:
            calls: Queries to other VMs.
            list_peers: Returns the addresses to ask.
            is_silent: Returns whether the store, when it last failed, gave no answer at
                all.
        """
        self._calls = calls
        self._list_peers = list_peers
        self._is_silent = is_silent
        self._asking: asyncio.Task[None] | None = None
        self._asked_at = -math.inf
        self._is_own = False

    async def is_own(self, until: float, policy_age: float) -> bool:
        """Whether other VMs can be expected to reach the store.

        Args:
            until: Clock time of the answer; False if it is not known by then.
            policy_age: Seconds since this VM's policy was last known to be the newest.
        """
        if self._is_known():
            return self._is_own
        if self._asking is None or self._asking.done():
            self._asking = asyncio.create_task(self._ask(policy_age))
        try:
            async with asyncio.timeout_at(until):
                # Later callers use the answer when this one can't wait for it.
                await asyncio.shield(self._asking)
        except TimeoutError:
            return False
        return self._is_own

    def _is_known(self) -> bool:
        return read_clock() - self._asked_at < ANSWER_SECONDS

    async def _ask(self, policy_age: float) -> None:
        peers = sorted(self._list_peers())
        answers = await asyncio.gather(*(self._calls.ask(each) for each in peers))
        lasting = policy_age >= OUT_OF_ROTATION_SECONDS
        self._is_own = self._judge(Counter(answers), lasting)
        self._asked_at = read_clock()
        _log.info(
            "store_views_asked",
            answers=[answer.name.lower() for answer in answers],
            policy_age=round(policy_age, 3),
            own=self._is_own,
        )

    def _judge(self, answers: Counter[StoreView], lasting: bool) -> bool:
        if served := answers[StoreView.ANSWERS]:
            return not lasting or served >= answers[StoreView.AWAY]
        if lasting:
            return False
        # A store that refuses calls shows that the path is sound; then VMs that are
        # silent are down, and say nothing of the store.
        return set(answers) == {StoreView.SILENT} and self._is_silent()

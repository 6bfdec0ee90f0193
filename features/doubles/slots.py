"""One slot, and the callers that compete for it, on a paused clock."""

import asyncio

from features.doubles.processes import PausedRunner

from primrosestile.clock import read_clock
from primrosestile.coordination.slot_assigner import SlotAssigner
from primrosestile.decisions.request_queue import QueuedRequest, make_queue
from primrosestile.decisions.routing import Outcome, make_router
from primrosestile.state.tenancy import Policy, Urgency

SLOT = "w0"
BOUND_SECONDS = 5.0


class OneSlot:
    """A request holds the slot while another one waits for it."""

    def __init__(self) -> None:
        self._runner = PausedRunner()
        self._runner.run(self._fill())

    async def _fill(self) -> None:
        policy = Policy()
        router = make_router("e0", policy)
        router.set_entries(("e0",))
        router.set_targets({SLOT: 1}, frozenset(), read_clock())
        router.set_grants((SLOT,), {SLOT: 1}, read_clock() + 60.0)
        self._assigner = SlotAssigner(make_queue(policy), router)
        self._held = self._make_request("first")
        assert await self._assigner.wait(self._held, frozenset()) == SLOT
        second = self._assigner.wait(self._make_request("second"), frozenset())
        self._second = asyncio.create_task(second)
        await asyncio.sleep(0)

    def _make_request(self, request_id: str) -> QueuedRequest:
        now = read_clock()
        return QueuedRequest(
            request_id=request_id,
            organisation="thistlegate",
            team="counters",
            job_class="quote",
            urgency=Urgency.URGENT,
            idempotent=False,
            arrived_at=now,
            deadline=now + 30.0,
            expected_seconds=0.1,
        )

    def hang_up_and_end(self) -> None:
        self._runner.run(self._hang_up_and_end())

    async def _hang_up_and_end(self) -> None:
        self._second.cancel()
        self._assigner.finish(SLOT, self._held, Outcome.OK, read_clock())

    def take_slot(self) -> str:
        return self._runner.run(self._take_slot())

    async def _take_slot(self) -> str:
        async with asyncio.timeout(BOUND_SECONDS):
            return await self._assigner.wait(self._make_request("third"), frozenset())

    def close(self) -> None:
        self._runner.close()

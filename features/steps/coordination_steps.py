"""Hedged requests on a paused clock, over small doubles."""

import asyncio
import itertools
from collections.abc import Callable
from typing import Any

import looptime
from behave import then, when

from primrosestile.clock import read_clock
from primrosestile.coordination.request_sender import RequestSender
from primrosestile.coordination.slot_assigner import SlotAssigner
from primrosestile.decisions.request_queue import QueuedRequest, make_queue
from primrosestile.decisions.routing import make_router
from primrosestile.protocol.workers import RequestAnswer, RequestOrder
from primrosestile.state.tenancy import Policy, Urgency

USUAL_SECONDS = 0.05
LATE_SECONDS = 0.5
EVERY_LATE = 4
DEADLINE_SECONDS = 10.0
TARGETS = 24
SLOTS = 8


class CountingTargets:
    """Answers each request after a chosen time, and counts the requests."""

    def __init__(self, choose_seconds: Callable[[int], float]) -> None:
        self.sent = 0
        self._choose_seconds = choose_seconds

    async def send(
        self, target: str, order: RequestOrder, timeout: float
    ) -> RequestAnswer:
        self.sent += 1
        await asyncio.sleep(self._choose_seconds(self.sent))
        return RequestAnswer(order.request_id, ran=True, ok=True, body=b"")


async def send_one(assigner: SlotAssigner, sending: RequestSender, number: int) -> None:
    now = read_clock()
    waiting = QueuedRequest(
        request_id=f"organisation/{number}",
        organisation="organisation",
        team="team",
        job_class="quote",
        urgency=Urgency.URGENT,
        idempotent=True,
        arrived_at=now,
        deadline=now + DEADLINE_SECONDS,
        expected_seconds=USUAL_SECONDS,
    )
    order = RequestOrder(str(number), "organisation", "quote", True, 0.0, b"")
    assigner.router.note_first_attempt()
    target = await assigner.wait(waiting, frozenset())
    await sending.send_hedged(target, order, waiting)


async def send_all(targets: CountingTargets, count: int) -> None:
    policy = Policy(retry_ratio=0.1)
    assigner = SlotAssigner(make_queue(policy), make_router("entry", policy))
    assigner.router.set_entries(["entry"])
    slots = {f"worker-{number}": SLOTS for number in range(TARGETS)}
    assigner.router.set_targets(slots, frozenset(), read_clock())
    assigner.queue.set_slots(TARGETS * SLOTS)
    sending = RequestSender(assigner, targets)
    running = asyncio.create_task(assigner.run())
    for number in range(count):
        await send_one(assigner, sending, number)
    running.cancel()


def run_paused(work: Any) -> None:
    """Run to the end on a loop whose time passes only when every task waits."""
    loop = looptime.new_event_loop()
    try:
        loop.run_until_complete(work)
    finally:
        loop.close()


def send_requests(context: Any, count: int, choose: Callable[[int], float]) -> None:
    context.targets = CountingTargets(choose)
    run_paused(send_all(context.targets, count))


@when("{count:d} urgent requests are sent and every fourth answer is late")
def send_late(context: Any, count: int) -> None:
    turn = itertools.count(1)

    def choose(sent: int) -> float:
        return USUAL_SECONDS if next(turn) % EVERY_LATE else LATE_SECONDS

    send_requests(context, count, choose)


@when("{count:d} urgent requests are answered within a millisecond")
def send_quick(context: Any, count: int) -> None:
    send_requests(context, count, lambda sent: 0.001 if sent % 3 else 0.0002)


@then("the targets were sent at most {limit:d} requests in all")
def check_most(context: Any, limit: int) -> None:
    assert context.targets.sent <= limit, context.targets.sent


@then("the targets were sent exactly {count:d} requests")
def check_exactly(context: Any, count: int) -> None:
    assert context.targets.sent == count, context.targets.sent

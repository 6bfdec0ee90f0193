"""Measures the cost of request decisions by queue length and fleet size."""

import time
from collections.abc import Callable

from primrosestile.decisions.request_queue import (
    QueuedRequest,
    RequestQueue,
    make_queue,
)
from primrosestile.decisions.routing import Outcome, Router, make_router
from primrosestile.decisions.slots import make_grant_ledger, share_safely, share_slots
from primrosestile.state.tenancy import Policy, Urgency

LENGTHS = (100, 1_000, 10_000)
FLEETS = (24, 128, 1_024, 15_000)
CELL = 64
ENTRIES = [f"entry-{number}" for number in range(9)]
REPEATS = 5


def measure(call: Callable[[], int]) -> float:
    """Return the microseconds of one decision, the best of a few repeats."""
    best = float("inf")
    for _ in range(REPEATS):
        begin = time.perf_counter()
        count = call()
        best = min(best, (time.perf_counter() - begin) / max(1, count))
    return round(best * 1e6, 2)


def make_one(number: int) -> QueuedRequest:
    return QueuedRequest(
        request_id=f"request-{number}",
        organisation=f"organisation-{number % 4}",
        team=f"team-{number % 40}",
        job_class=f"class-{number % 3}",
        urgency=Urgency.URGENT if number % 2 else Urgency.PATIENT,
        idempotent=True,
        arrived_at=0.0,
        deadline=1e6,
        expected_seconds=0.001,
    )


def fill_queue(length: int) -> RequestQueue:
    queue = make_queue(Policy(queue_limit=10 * length))
    queue.set_slots(32)
    for number in range(length):
        assert queue.offer(make_one(number), 0.0) is None
    return queue


def measure_queue(length: int) -> dict[str, float]:
    queue = fill_queue(length)
    fresh = [make_one(length + number) for number in range(200)]

    def offer_and_remove() -> int:
        for waiting in fresh:
            queue.offer(waiting, 0.0)
        queue.remove([waiting.request_id for waiting in fresh])
        return len(fresh)

    def take_and_offer() -> int:
        for _ in range(200):
            waiting = queue.take(0.0)
            assert waiting is not None
            queue.offer(waiting, 0.0)
        return 200

    figures = {
        "offer_and_remove_us": measure(offer_and_remove),
        "take_and_offer_us": measure(take_and_offer),
    }
    steps = iter(range(1, 1000))
    figures["give_up_look_us"] = measure(
        lambda: len(queue.remove_late(next(steps) * 0.25)) or 1
    )
    waves = [fill_queue(length) for _ in range(REPEATS)]
    ids = [f"request-{number}" for number in range(length)]
    figures["cancel_each_us"] = measure(lambda: len(waves.pop().remove(ids)))
    return figures


def fill_router(workers: int) -> tuple[Router, dict[str, int]]:
    router = make_router("entry-0", Policy())
    router.set_entries(ENTRIES)
    slots = {f"worker-{number}": 8 for number in range(workers)}
    router.set_targets(slots, frozenset(), 0.0)
    return router, slots


def measure_router(workers: int) -> dict[str, float]:
    router, slots = fill_router(workers)
    waiting = make_one(1)

    def serve() -> int:
        for _ in range(500):
            target = router.choose(waiting, 0.0)
            assert target is not None
            router.start(target, waiting, 0.0)
            router.finish(target, waiting, Outcome.OK, 0.001, 0.0)
        return 500

    names = list(slots)
    cells = [names[first : first + CELL] for first in range(0, workers, CELL)]
    granted = dict.fromkeys(names, 1)

    def apply_grants() -> int:
        for cell in cells:
            router.set_grants(cell, granted, 3.0, 0.0)
        return 1

    def apply_fleet() -> int:
        router.set_targets(slots, frozenset(), 0.0)
        return 1

    return {
        "choose_start_finish_us": measure(serve),
        "take_in_all_grants_us": measure(apply_grants),
        "take_in_fleet_us": measure(apply_fleet),
        "share_safely_us": measure(
            lambda: len(share_safely(slots, ENTRIES, "entry-0")) // workers
        ),
    }


def measure_owner(workers: int) -> dict[str, float]:
    """Return the cost of granting slots for the owner of that many workers."""
    slots = {f"worker-{number}": 8 for number in range(workers)}
    demand = {entry: 10 * number for number, entry in enumerate(ENTRIES)}
    ledger = make_grant_ledger(0.0, took_over=False)
    times = iter(range(1000))
    for _ in range(10):
        ledger.grant(slots, demand, {}, float(next(times)))

    def renew() -> int:
        ledger.grant(slots, demand, {}, float(next(times)))
        return 1

    return {
        "share_slots_us": measure(lambda: len(share_slots(slots, demand, {})) // 9),
        "renew_us": measure(renew),
    }


def measure_slopes() -> dict[str, object]:
    """Return all costs in microseconds."""
    return {
        "queue_length": {str(each): measure_queue(each) for each in LENGTHS},
        "targets": {str(each): measure_router(each) for each in FLEETS},
        "workers_of_one_owner": {
            str(each): measure_owner(each) for each in (CELL, 1_024)
        },
    }

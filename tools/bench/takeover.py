"""Measures how long a new owner with a slow link takes until its first order.

It runs on the stand-in with a simulated clock: the times are those of the store and of
the link that transfers lists, without processor time or calls to workers.
"""

import asyncio
import contextlib
import json
import logging
from pathlib import Path
from typing import Any

import structlog
from features.doubles.fleet_world import FleetWorld, make_policy
from features.doubles.stored_jobs import end_jobs, set_link, store_jobs

from primrosestile.clock import read_clock
from primrosestile.platform.policy import POLICY_KEY

WORKER_COUNTS = (24, 176, 270)
LINK_MEGABITS = 10.0
OPEN_JOBS = 200
ENDED_JOBS = 2000
TASKS_PER_JOB = 10
RACKS = 8
# After this the measurement stops waiting.
TIMEOUT_SECONDS = 60.0
# Time after the first order over which the bytes read are counted.
READ_AFTER_SECONDS = 30.0


def run(output: Path) -> None:
    """Measure, print and write the figures."""
    quiet = structlog.make_filtering_bound_logger(logging.CRITICAL)
    structlog.configure(wrapper_class=quiet)
    figures = {str(count): measure(count) for count in WORKER_COUNTS}
    text = json.dumps(figures, indent=1)
    (output / "takeover.json").write_text(text + "\n")
    print(text)


def measure(workers: int) -> dict[str, Any]:
    """Return the figures at a number of workers."""
    world = FleetWorld()
    try:
        return world.run(play(world, workers))
    finally:
        world.close()


async def play(world: FleetWorld, workers: int) -> dict[str, Any]:
    """Let a VM with a slow link take over after a long day."""
    world.store.put(POLICY_KEY, make_policy(1))
    for number in range(workers):
        world.add_worker(f"w{number}", rack=f"r{number % RACKS}")
    await end_jobs(world, ENDED_JOBS, TASKS_PER_JOB)
    store_jobs(world, range(OPEN_JOBS), TASKS_PER_JOB)
    set_link(world, "p1", LINK_MEGABITS)
    world.add_process("p1")
    await world.wait_for(lambda: world.find_owner() is not None, TIMEOUT_SECONDS)
    gained_at = read_clock()
    with contextlib.suppress(AssertionError):
        await world.wait_for(lambda: bool(world.fleet.starts), TIMEOUT_SECONDS)
    took = read_clock() - gained_at
    read = world.store.bytes_listed["p1"]
    await asyncio.sleep(READ_AFTER_SECONDS)
    read_after = world.store.bytes_listed["p1"] - read
    return {
        "first_order_seconds": round(took, 2) if world.fleet.starts else None,
        "bytes_read_by_then": read,
        "bytes_listed_a_second_after": round(read_after / READ_AFTER_SECONDS),
    }

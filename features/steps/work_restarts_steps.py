"""Steps for workers that start again under the ids that they had."""

import asyncio
from typing import Any

from behave import given, when
from features.doubles.fleet_world import PlatformEntry, make_address, make_policy

from primrosestile.platform.policy import POLICY_KEY
from primrosestile_standin.fleet_worker import FleetWorker

ACCELERATORS = 8
FIRST_START = 1_000
LATER_START = 2_000


@given("a fleet of {count:d} workers that start again under their ids")
def step_fleet(context: Any, count: int) -> None:
    context.execute_steps("Given a fleet of 0 workers with 8 accelerators in 1 racks")

    async def build() -> None:
        context.world.store.put(POLICY_KEY, make_policy(1))
        for number in range(1, count + 1):
            worker = context.world.add_worker(f"w{number}", born=FIRST_START)
            # Steps of other files name a worker by its id.
            context.world.fleet.workers[f"w{number}"] = worker

    context.world.run(build())


@when("worker {name} starts again under its id after {seconds:g} s")
def step_restart(context: Any, name: str, seconds: float) -> None:
    restart(context, name, seconds, ACCELERATORS)


@when(
    "worker {name} starts again under its id after {seconds:g} s, with {count:d}"
    " accelerators"
)
def step_restart_smaller(context: Any, name: str, seconds: float, count: int) -> None:
    restart(context, name, seconds, count)


def restart(context: Any, name: str, seconds: float, accelerators: int) -> None:
    async def begin() -> None:
        fleet = context.world.fleet
        former: FleetWorker = fleet.workers[name]
        former.crash()
        await asyncio.sleep(seconds)
        worker = context.world.add_worker(
            name, accelerators=accelerators, born=LATER_START
        )
        # Orders that the former start was to carry out late go to this one.
        worker.faults.late_orders = former.faults.late_orders

    context.world.run(begin())


@when("the entry of {name} names no start")
def step_no_start(context: Any, name: str) -> None:
    entry = PlatformEntry(name, make_address(name), "r1", ACCELERATORS, ())

    async def put() -> None:
        context.world.store.put(f"servers/{name}", entry.encode())

    context.world.run(put())

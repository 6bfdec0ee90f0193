"""Faults that several random tests inject."""

import asyncio
import random

from features.doubles.fleet_world import FleetWorld, Process


async def restart_process(
    world: FleetWorld, process: Process, draw: random.Random
) -> None:
    """Kill a process and start it again within a second."""
    await world.kill(process.name)
    await asyncio.sleep(draw.uniform(0.0, 1.0))
    world.add_process(process.name)


async def take_store_down(world: FleetWorld, seconds: float) -> None:
    """Make every call to the store fail for some seconds."""
    world.store.faults.down = True
    await asyncio.sleep(seconds)
    world.store.faults.down = False

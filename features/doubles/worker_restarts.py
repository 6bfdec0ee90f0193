"""Restarts of crashed workers some seconds later, each as a new incarnation."""

import asyncio
from dataclasses import dataclass

from features.doubles.fleet_world import FleetWorld

from primrosestile_standin.fleet_worker import FleetWorker

# The store removes an entry after three missed heartbeats.
ENTRY_SECONDS = 4.5


@dataclass(slots=True)
class Restarts:
    """Restarts crashed workers at their address.

    Attributes:
        after: Seconds from the crash to the restart.
        unresponsive: Until then the address answers nothing, instead of refusing
            connections.
        count: Crashes so far.
    """

    world: FleetWorld
    after: float = 3.5
    unresponsive: bool = False
    count: int = 0

    def crash(self, name: str) -> None:
        """Crash a worker for a reason other than its tasks."""
        worker = self.world.fleet.workers[name]
        worker.crash()
        self.follow(worker)

    def follow(self, worker: FleetWorker) -> None:
        """Schedule the next incarnation of a crashed worker."""
        self.count += 1
        worker.faults.unresponsive = self.unresponsive
        loop = asyncio.get_running_loop()
        loop.call_later(ENTRY_SECONDS, self._remove_entry, worker)
        loop.call_later(self.after, self._begin, worker, f"{self.count}")

    def _remove_entry(self, worker: FleetWorker) -> None:
        self.world.store.remove(f"servers/{worker.entry.worker}")

    def _begin(self, worker: FleetWorker, number: str) -> None:
        entry = worker.entry
        name = f"{entry.worker.partition('-')[0]}-{number}"
        self.world.add_worker(
            name, entry.address, entry.rack, entry.capacity.accelerators
        )


def make_restarts(world: FleetWorld) -> Restarts:
    """Restart the workers that tasks crash in a world."""
    restarts = Restarts(world)
    world.fleet.on_crash = restarts.follow
    return restarts

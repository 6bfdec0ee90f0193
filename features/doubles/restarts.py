"""Workers that are back some seconds after they crashed, each as another one."""

import asyncio
from dataclasses import dataclass

from features.doubles.fleetworld import FleetWorld

from primrosestile_standin.fleetworker import FleetWorker

# The store removes an entry after three heartbeats of silence.
ENTRY_SECONDS = 4.5


@dataclass(slots=True)
class Restarts:
    """Starts crashed workers again at their address.

    Attributes:
        after: Seconds from the crash.
        dark: Until then the address answers nothing; else it refuses connections.
        count: Crashes so far.
    """

    world: FleetWorld
    after: float = 3.5
    dark: bool = False
    count: int = 0

    def crash(self, name: str) -> None:
        """Crash a worker, by no fault of its tasks."""
        worker = self.world.fleet.workers[name]
        worker.crash()
        self.follow(worker)

    def follow(self, worker: FleetWorker) -> None:
        """Have the next life of a crashed worker begin in time."""
        self.count += 1
        worker.faults.dark = self.dark
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
    """Have the workers that tasks crash in a world start again."""
    restarts = Restarts(world)
    world.fleet.on_crash = restarts.follow
    return restarts

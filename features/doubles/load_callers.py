"""Callers who submit more than the fleet can do, and return when they are told to."""

import asyncio
import math
import random
from dataclasses import dataclass, field

from features.doubles.fleet_world import FleetWorld

from primrosestile.clock import read_clock
from primrosestile.coordination.work.keys import make_ended_key
from primrosestile.errors import ErrorKind, Failure
from primrosestile.state.work import Need
from primrosestile_standin.fleet_script import Script

# Attempts of one caller in all; one per refusal or failure.
MAX_ATTEMPTS = 30
REFUSALS = {ErrorKind.NO_WORKER_FITS, ErrorKind.OVERLOADED, ErrorKind.OVER_QUOTA}


@dataclass(slots=True)
class Call:
    """One caller's attempts to submit one job.

    Attributes:
        refused: When it was refused under load.
        accepted_at: When it was accepted; None if it never was.
        slowest: The longest time that a refusal took.
        open_jobs: The fewest accepted jobs that had not ended when it was refused.
    """

    job_id: str
    queue: str
    refused: list[float] = field(default_factory=list)
    accepted_at: float | None = None
    slowest: float = 0.0
    open_jobs: float = math.inf

    @property
    def admitted(self) -> bool:
        """Whether it was accepted in the end."""
        return self.accepted_at is not None


class Callers:
    """Callers of one world, drawn by seed."""

    def __init__(self, world: FleetWorld, seed: int) -> None:
        self.world = world
        self.calls: list[Call] = []
        self._draw = random.Random(seed)

    async def submit_all(
        self, queue: str, organisation: str, per_second: float, seconds: float
    ) -> None:
        """Submit jobs of one task on a whole worker at a rate, and wait for all."""
        async with asyncio.TaskGroup() as tasks:
            until = read_clock() + seconds
            while read_clock() < until:
                tasks.create_task(self.call(queue, organisation))
                await asyncio.sleep(self._draw.expovariate(per_second))

    async def call(self, queue: str, organisation: str) -> Call:
        """Submit one job until it is accepted."""
        call = Call(f"{len(self.calls):016x}", queue)
        self.calls.append(call)
        need = Need(1000, 1000, 8)
        self.world.fleet.scripts[f"{call.job_id}.0.0.0"] = Script(need=need)
        step = {"count": 1, "cpu": 1000, "mem_mb": 1000, "gpu": 8, "estimate_ms": 2000}
        for _ in range(MAX_ATTEMPTS):
            began = read_clock()
            try:
                await self.world.submit(
                    self._pick(), call.job_id, queue, organisation, steps=[step]
                )
            except Failure as failure:
                if failure.kind in REFUSALS:
                    call.refused.append(began)
                    call.slowest = max(call.slowest, read_clock() - began)
                    call.open_jobs = min(call.open_jobs, self._count_open())
                await asyncio.sleep(failure.retry_delay or 1.0)
                continue
            call.accepted_at = read_clock()
            break
        return call

    def _count_open(self) -> int:
        read = self.world.store.read
        return sum(
            call.admitted and read(make_ended_key(call.job_id)) is None
            for call in self.calls
        )

    def _pick(self) -> str:
        living = [
            process.name
            for process in self.world.processes.values()
            if process.task is not None
            and not process.task.done()
            and process.policies.recent
        ]
        return self._draw.choice(living)

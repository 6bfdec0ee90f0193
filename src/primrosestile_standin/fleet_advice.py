"""In-memory advice service of the platform: which workers a step may run on."""

import asyncio

from primrosestile.clock import read_clock
from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.advice import Advice, AllowedWorker


class FleetAdvice:
    """Implements `protocol.advice.AdviceCalls`; workers verify tickets with it.

    Attributes:
        allowed: Workers on which every step may run; None for all.
        decide_seconds, per_worker_seconds, valid_seconds: As in the policy.
        down: Every call fails after its delay.
        queried_steps: The steps of all calls, in order.
    """

    def __init__(self) -> None:
        self.allowed: set[str] | None = None
        self.decide_seconds = 0.1
        self.per_worker_seconds = 0.02
        self.valid_seconds = 5.0
        self.down = False
        self.queried_steps: list[str] = []
        self._busy = asyncio.Lock()
        self._issued: dict[tuple[str, str], float] = {}

    async def ask(self, step: str, workers: tuple[str, ...], seconds: float) -> Advice:
        """Return those of `workers` on which a step may run."""
        async with self._busy:
            await asyncio.sleep(
                self.decide_seconds + len(workers) * self.per_worker_seconds
            )
        self.queried_steps.append(step)
        if self.down:
            raise Failure(ErrorKind.ADVICE_UNAVAILABLE, "down")
        good = [
            worker
            for worker in workers
            if self.allowed is None or worker in self.allowed
        ]
        for worker in good:
            self._issued[step, worker] = read_clock()
        return Advice(
            tuple(AllowedWorker(worker, f"{step}@{worker}") for worker in good)
        )

    def is_good(self, task: str, worker: str, ticket: str) -> bool:
        """Return whether a ticket is valid for a start on a worker."""
        step = task.rpartition(".")[0]
        issued = self._issued.get((step, worker))
        if issued is None or ticket != f"{step}@{worker}":
            return False
        return read_clock() < issued + self.valid_seconds

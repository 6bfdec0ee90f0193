"""One process's calls to the platform's in-memory workers, and their faults.

Calls are routed by address, as on a network: a call for a dead incarnation reaches
the next one at its address, or nothing. A start of the same worker under the same id
carries out what was sent to the former one. A process's calls share its link.
"""

import asyncio
from collections.abc import Callable

from primrosestile.clock import read_clock
from primrosestile.errors import ErrorKind, Failure
from primrosestile.platform.store import BYTES_PER_MEGABIT, find_transfer_seconds
from primrosestile.protocol.fleet import (
    OrderAnswer,
    PollAnswer,
    Refusal,
    Restarted,
    StartOrder,
)
from primrosestile.state.workers import WorkerEntry
from primrosestile_standin.fleet_worker import (
    ANSWER_SECONDS,
    TIMEOUT_SECONDS,
    Fleet,
    FleetWorker,
)
from primrosestile_standin.link import ANSWER_BYTES, ROW_BYTES, Link


class FleetCalls:
    """Implements `protocol.fleet.WorkerCalls` for one process.

    Attributes:
        cut_off: This process reaches no worker.
        lost_of_ten: How many of ten calls take effect but are not answered in time.
    """

    def __init__(self, fleet: Fleet, link: Link | None = None) -> None:
        self._fleet = fleet
        self._link = link or Link()
        self.cut_off = False
        self.lost_of_ten = 0
        self._carried = 0

    async def poll(
        self,
        entry: WorkerEntry,
        fence: int,
        seen: int,
        until: float | None,
        wait: float,
    ) -> PollAnswer | Refusal | Restarted:
        """Extend the lease, acknowledge ends up to `seen`, wait for another end."""
        worker = await self._reach(entry)
        if worker is None:
            return Refusal.OTHER_INCARNATION
        if worker.faults.ignores_polls:
            await asyncio.sleep(TIMEOUT_SECONDS)
            raise Failure(
                ErrorKind.WORKER_UNREACHABLE, "no answer to a poll", silent=True
            )
        worker.sweep()
        refusal = worker.take_poll(fence, seen, until)
        if refusal is not None:
            return refusal
        if wait:
            await worker.wait_for_end(wait)
        if not worker.alive:
            if worker.faults.unresponsive:
                await asyncio.sleep(TIMEOUT_SECONDS)
            raise Failure(ErrorKind.WORKER_UNREACHABLE, "the connection was closed")
        worker.sweep()
        self._check_resets(worker)
        if self._is_cut(worker):
            raise Failure(ErrorKind.WORKER_UNREACHABLE, "cut", silent=True)
        poll = worker.make_poll()
        await self._carry(len(poll.running) + len(poll.ended))
        name = worker.entry.worker
        return poll if name == entry.worker else Restarted(name)

    async def start(
        self, entry: WorkerEntry, fence: int, order: StartOrder
    ) -> OrderAnswer:
        """Start one run."""
        return await self._order(
            entry,
            lambda worker: worker.take_start(fence, order),
            order.payload,
        )

    def find_transfer_seconds(self, payload: str) -> float:
        """Return how long the link of this VM needs for a start with a payload."""
        megabits = self._link.rate / BYTES_PER_MEGABIT
        return find_transfer_seconds(len(payload.encode()), megabits)

    async def stop(
        self, entry: WorkerEntry, fence: int, task: str, run: int
    ) -> OrderAnswer:
        """Stop a run, and block its start if that arrives later."""
        return await self._order(
            entry, lambda worker: worker.take_stop(fence, task, run)
        )

    async def pace(
        self, entry: WorkerEntry, fence: int, task: str, run: int, percent: int
    ) -> OrderAnswer:
        """Limit a run's speed to a share of its full speed."""
        return await self._order(
            entry, lambda worker: worker.take_pace(fence, task, percent)
        )

    async def _order(
        self,
        entry: WorkerEntry,
        execute: Callable[[FleetWorker], Refusal | None],
        payload: str = "",
    ) -> OrderAnswer:
        # A start has that much more time than other orders.
        began = read_clock() + self.find_transfer_seconds(payload)
        if payload:
            await self._carry_bytes(len(payload.encode()), began)
        worker = await self._reach(entry)
        if worker is None:
            return OrderAnswer(refusal=Refusal.OTHER_INCARNATION)
        if worker.faults.late_orders:
            delay = worker.faults.late_orders.pop(0)
            asyncio.get_running_loop().call_later(
                delay, self._execute_late, entry, execute
            )
            await asyncio.sleep(TIMEOUT_SECONDS)
            raise Failure(ErrorKind.WORKER_UNREACHABLE, "late", silent=True)
        worker.sweep()
        refusal = execute(worker)
        if worker.faults.lose_answers:
            worker.faults.lose_answers -= 1
            raise Failure(ErrorKind.WORKER_UNREACHABLE, "lost")
        await self._carry(1, began)
        if refusal is None and worker.entry.worker != entry.worker:
            refusal = Refusal.RESTARTED
        return OrderAnswer(worker.report_clock(), refusal)

    async def _reach(self, entry: WorkerEntry) -> FleetWorker | None:
        """Return the start that a call reaches; None if another worker answers."""
        await asyncio.sleep(ANSWER_SECONDS)
        worker = self._fleet.find_at(entry.address)
        if worker is None:
            if self._fleet.is_unresponsive(entry.address):
                await asyncio.sleep(TIMEOUT_SECONDS)
                raise Failure(ErrorKind.WORKER_UNREACHABLE, "no answer", silent=True)
            raise Failure(ErrorKind.NO_TARGET, f"nothing listens at {entry.address}")
        if self._is_cut(worker):
            await asyncio.sleep(TIMEOUT_SECONDS)
            raise Failure(ErrorKind.WORKER_UNREACHABLE, "cut", silent=True)
        self._check_resets(worker)
        return worker if worker.entry.worker_id == entry.worker_id else None

    def _execute_late(
        self, entry: WorkerEntry, execute: Callable[[FleetWorker], Refusal | None]
    ) -> None:
        """Carry an order out at whichever start of the worker serves by now."""
        worker = self._fleet.find_at(entry.address)
        if worker is not None and worker.entry.worker_id == entry.worker_id:
            execute(worker)

    def _check_resets(self, worker: FleetWorker) -> None:
        if worker.faults.resets:
            raise Failure(ErrorKind.WORKER_UNREACHABLE, "the connection was reset")

    async def _carry(self, rows: int, began: float | None = None) -> None:
        self._carried += 1
        if self._carried % 10 < self.lost_of_ten:
            await asyncio.sleep(TIMEOUT_SECONDS)
            raise Failure(
                ErrorKind.WORKER_UNREACHABLE, "no answer in time", silent=True
            )
        size = ANSWER_BYTES + rows * ROW_BYTES
        await self._carry_bytes(size, read_clock() if began is None else began)

    async def _carry_bytes(self, size: int, began: float) -> None:
        """Carry a part of a call that began at `began`, or fail by its timeout."""
        left = max(0.0, began + TIMEOUT_SECONDS - read_clock())
        try:
            await self._link.carry(size, left)
        except TimeoutError as error:
            raise Failure(
                ErrorKind.WORKER_UNREACHABLE, "no answer in time", silent=True
            ) from error

    def _is_cut(self, worker: FleetWorker) -> bool:
        return self.cut_off or worker.faults.cut

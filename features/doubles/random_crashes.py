"""A random test of tasks that crash their workers, and of workers that crash otherwise.

Meanwhile owners are killed and the store is unavailable. The seed fixes the draws.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from features.doubles.fleet_world import FleetWorld
from features.doubles.shared_faults import restart_process, take_store_down
from features.doubles.worker_restarts import Restarts

from primrosestile.errors import Failure
from primrosestile.state.work import JobState, Need
from primrosestile_standin.fleet_script import Script

QUEUES = ("urgent", "usual", "patient")
JOBS = 16
CRASHING_SHARE = 0.3
TASK_SECONDS = 4.0
CRASH_DELAYS_SECONDS = (0.0, 0.01, 0.4, 2.0)
RESTART_DELAYS_SECONDS = (1.0, 3.5, 8.0)
SETTLE_SECONDS = 100.0
UNRELATED_CRASH_LIMIT = 4


@dataclass(slots=True)
class RandomCrashes:
    """One run of the test.

    Attributes:
        queues: The queue of each accepted job.
        crashing: Jobs with a task that crashes its workers.
        wrong: The violations found, as texts.
        faults_ended: No more faults are injected; tasks may still crash workers.
    """

    world: FleetWorld
    restarts: Restarts
    draw: random.Random
    queues: dict[str, str] = field(default_factory=dict)
    crashing: set[str] = field(default_factory=set)
    wrong: list[str] = field(default_factory=list)
    faults_ended: bool = False

    async def play(self) -> None:
        """Run the test and check its results."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._inject_faults())
            for _ in range(JOBS):
                tasks.create_task(self._submit())
                await asyncio.sleep(self.draw.uniform(0.2, 2.5))
            self.faults_ended = True
        await asyncio.sleep(SETTLE_SECONDS)
        await self._check_results()

    async def _submit(self) -> None:
        draw = self.draw
        job_id = f"{draw.getrandbits(64):016x}"
        count = draw.randint(1, 4)
        step = {
            "count": count,
            "cpu": 1000,
            "mem_mb": 1000,
            "gpu": draw.choice((1, 1, 4, 8)),
            "gang": draw.random() < 0.3,
        }
        crashing = draw.random() < CRASHING_SHARE
        crashing_index = draw.randrange(count) if crashing else None
        for index in range(count):
            self.world.fleet.scripts[f"{job_id}.0.0.{index}"] = Script(
                seconds=TASK_SECONDS,
                need=Need(1000, 1000, step["gpu"]),
                gang=count if step["gang"] else 1,
                crashes_after=draw.choice(CRASH_DELAYS_SECONDS)
                if index == crashing_index
                else None,
            )
        queue = draw.choice(QUEUES)
        for _ in range(20):
            name = draw.choice(list(self.world.processes))
            try:
                await self.world.submit(name, job_id, queue, steps=[step])
            except (Failure, AssertionError):
                await asyncio.sleep(0.3)
                continue
            self.queues[job_id] = queue
            if crashing:
                self.crashing.add(job_id)
            return

    async def _inject_faults(self) -> None:
        faults: list[Callable[[], Awaitable[None]]] = [
            self._crash_worker,
            self._change_restarts,
            self._kill_owner,
            self._lose_orders,
            self._take_store_down,
        ]
        while not self.faults_ended:
            await asyncio.sleep(self.draw.uniform(0.3, 2.5))
            await self.draw.choice(faults)()

    async def _crash_worker(self) -> None:
        workers = self.world.fleet.workers.values()
        alive = sorted(each.entry.worker for each in workers if each.alive)
        if len(alive) > len({each.entry.address for each in workers}) // 2:
            self.restarts.crash(self.draw.choice(alive))

    async def _change_restarts(self) -> None:
        self.restarts.after = self.draw.choice(RESTART_DELAYS_SECONDS)
        self.restarts.unresponsive = self.draw.random() < 0.4

    async def _kill_owner(self) -> None:
        owner = self.world.find_owner()
        if owner is not None:
            await restart_process(self.world, owner, self.draw)

    async def _lose_orders(self) -> None:
        for worker in self.world.fleet.workers.values():
            worker.faults.lose_answers = self.draw.randint(0, 2)

    async def _take_store_down(self) -> None:
        await take_store_down(self.world, self.draw.uniform(0.2, 2.0))

    async def _check_results(self) -> None:
        """Record jobs with a wrong final state, and violations by the fleet."""
        self.wrong += map(str, self.world.fleet.violations)
        process = next(iter(self.world.processes))
        for job_id, queue in self.queues.items():
            state = await self.world.read_state(process, job_id, queue)
            if state not in self._list_allowed(job_id):
                self.wrong.append(f"{job_id} is {state}")

    def _list_allowed(self, job_id: str) -> list[JobState]:
        """Return the states in which a job may end.

        Operators allow a task to fail permanently after two workers have crashed under
        it; a task that crashes none may fail only after twice as many crashes.
        """
        if job_id in self.crashing:
            return [JobState.FAILED]
        crash_counts = [
            count
            for task, count in self.world.fleet.crashed_under.items()
            if task.startswith(job_id)
        ]
        if max(crash_counts, default=0) >= UNRELATED_CRASH_LIMIT:
            return [JobState.COMPLETED, JobState.FAILED]
        return [JobState.COMPLETED]

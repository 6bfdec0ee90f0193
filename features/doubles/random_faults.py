"""A random test of faults of the store and of owners, by the states callers see.

Jobs are submitted twice, cancelled and queried throughout. The seed fixes the draws;
the order of events at one instant may differ between runs.
"""

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from features.doubles.fleet_world import FleetWorld, Process
from features.doubles.shared_faults import restart_process, take_store_down

from primrosestile.errors import Failure
from primrosestile.state.work import JobState, Need
from primrosestile_standin.fleet_script import Script

QUEUE = "usual"
JOBS = 25
FAULTS = 40
STEPS = [
    {"count": 2, "cpu": 1000, "mem_mb": 1000, "gpu": 1},
    {"count": 1, "cpu": 1000, "mem_mb": 1000, "gpu": 1, "after": [0]},
]
TASK_SECONDS = (0.3, 1.0, 2.0)
# A second call under the same id may arrive long after the job has ended.
RESUBMIT_DELAYS_SECONDS = (0.1, 1.0, 3.0, 6.0, 9.0)
LINK_MBPS = (0.02, 1.0, 1000.0)
QUERY_SECONDS = 0.2
SETTLE_SECONDS = 45.0


@dataclass(slots=True)
class RandomFaults:
    """One run of the test.

    Attributes:
        shown: The final state that a caller was shown, by job.
        wrong: The violations found, as texts.
    """

    world: FleetWorld
    draw: random.Random
    accepted: set[str] = field(default_factory=set)
    cancelled: set[str] = field(default_factory=set)
    shown: dict[str, JobState] = field(default_factory=dict)
    wrong: list[str] = field(default_factory=list)

    async def play(self) -> None:
        """Run the test and check its results."""
        async with asyncio.TaskGroup() as tasks:
            querying = tasks.create_task(self._query_states())
            await self._play_calls()
            self._end_faults()
            await asyncio.sleep(SETTLE_SECONDS)
            querying.cancel()
        self._check_results()

    async def _play_calls(self) -> None:
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._inject_faults())
            for _ in range(JOBS):
                tasks.create_task(self._submit_twice(self._draw_job()))
                await asyncio.sleep(self.draw.uniform(0.1, 1.2))

    def _draw_job(self) -> str:
        job_id = f"{self.draw.getrandbits(64):016x}"
        for number, step in enumerate(STEPS):
            for index in range(int(str(step["count"]))):
                self.world.fleet.scripts[f"{job_id}.0.{number}.{index}"] = Script(
                    seconds=self.draw.choice(TASK_SECONDS), need=Need(1000, 1000, 1)
                )
        return job_id

    def _draw_process(self) -> Process | None:
        process = self.draw.choice(list(self.world.processes.values()))
        alive = process.task is not None and not process.task.done()
        return process if alive and process.policies.policy else None

    async def _submit_twice(self, job_id: str) -> None:
        await self._submit(job_id)
        await asyncio.sleep(self.draw.choice(RESUBMIT_DELAYS_SECONDS))
        await self._submit(job_id)

    async def _submit(self, job_id: str) -> None:
        for _ in range(6):
            process = self._draw_process()
            try:
                if process is not None:
                    await self.world.submit(process.name, job_id, QUEUE, steps=STEPS)
                    self.accepted.add(job_id)
                    return
            except Failure:
                pass
            await asyncio.sleep(0.3)

    async def _query_states(self) -> None:
        while True:
            await asyncio.sleep(QUERY_SECONDS)
            for job_id in sorted(self.accepted):
                process = self._draw_process()
                try:
                    if process is not None:
                        await self._query_state(process, job_id)
                except Failure:
                    continue

    async def _query_state(self, process: Process, job_id: str) -> None:
        state = await self.world.read_state(process.name, job_id, QUEUE)
        before = self.shown.get(job_id, state)
        if state is None or state is not before:
            self.wrong.append(f"{job_id} is shown as {state} after {before}")
        elif state.final:
            self.shown[job_id] = state

    async def _inject_faults(self) -> None:
        faults: list[Callable[[], Awaitable[None]]] = [
            self._lose_answers,
            self._delay_writes,
            self._drop_history,
            self._kill_owner,
            self._cancel,
            self._take_store_down,
            self._toggle_stale_reads,
            self._silence_owner,
            self._change_link,
        ]
        for _ in range(FAULTS):
            await asyncio.sleep(self.draw.uniform(0.1, 1.0))
            with contextlib.suppress(Failure):
                await self.draw.choice(faults)()

    async def _lose_answers(self) -> None:
        self.world.store.faults.lose_writes += self.draw.randint(1, 3)

    async def _delay_writes(self) -> None:
        delays = [self.draw.uniform(0.1, 6.0) for _ in range(self.draw.randint(1, 3))]
        self.world.store.faults.late_writes += delays

    async def _drop_history(self) -> None:
        self.world.store.compact()

    async def _kill_owner(self) -> None:
        owner = self.world.find_owner()
        if owner is not None and self.draw.random() < 0.5:
            await restart_process(self.world, owner, self.draw)

    async def _cancel(self) -> None:
        process = self._draw_process()
        if process is None or not self.accepted:
            return
        job_id = self.draw.choice(sorted(self.accepted))
        queue = process.policies.require().find_queue_by_name(QUEUE)
        assert queue is not None
        self.cancelled.add(job_id)
        await process.submitting.cancel(job_id, queue, "domes")

    async def _take_store_down(self) -> None:
        await take_store_down(self.world, self.draw.uniform(0.2, 2.5))

    async def _toggle_stale_reads(self) -> None:
        faults = self.world.store.faults
        faults.stale_reads = not faults.stale_reads

    async def _silence_owner(self) -> None:
        owner = self.world.find_owner()
        if owner is not None:
            self.world.store.faults.silent.add(owner.name)
            await asyncio.sleep(self.draw.uniform(0.5, 3.0))
            self.world.store.faults.silent.discard(owner.name)

    async def _change_link(self) -> None:
        name = self.draw.choice(list(self.world.processes))
        self.world.store.faults.megabits[name] = self.draw.choice(LINK_MBPS)

    def _end_faults(self) -> None:
        faults = self.world.store.faults
        faults.stale_reads = False
        faults.lose_writes = 0
        faults.late_writes.clear()
        faults.megabits.clear()

    def _check_results(self) -> None:
        for job_id in sorted(self.accepted):
            state = self.shown.get(job_id)
            as_requested = state is JobState.CANCELLED and job_id in self.cancelled
            if state is not JobState.COMPLETED and not as_requested:
                self.wrong.append(f"{job_id} is shown as {state} at the end")
            keys = [
                entry.key
                for entry in self.world.store.read_page("", "").entries
                if job_id in entry.key
            ]
            if len(keys) != 1:
                self.wrong.append(f"{job_id} has {keys} in the store")
        self.wrong += map(str, self.world.fleet.violations)

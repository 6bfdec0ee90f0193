"""A job is shown as failed although no task of it has ever started.

A start is decided, and the store does not answer the write that records it. While the
record is pending, nothing has been sent. The worker crashes meanwhile and is back. That
is counted as a crash of the worker by the task. After the second time, the job is given
up.
"""

import asyncio
from typing import Any

from platform2.world import Job, Step, Worker, World, make_job_id, make_route, run_case

DOWN_SECONDS = 0.2
# Of the writes of the job's record: those whose answers are lost.
LOST_WRITES = (1, 5)
WORK_SECONDS = 2.0


async def play(world: World, trouble: bool) -> str:
    """Return how the rule was broken, or an empty text."""
    world.write_config(1, [make_route("renders", "/renders/", attempts=2)])
    workers = [Worker(world, f"w{n}", f"r1-{n % 2}", []) for n in range(7)]
    special = Worker(world, "w7", "r1-1", ["gpu-b"])
    await world.start(3, [*workers, special])
    job = Job(
        make_job_id(),
        "renders",
        [Step(gpu=4, work_seconds=WORK_SECONDS, label="gpu-b")],
    )
    tasks: set[asyncio.Task[None]] = set()
    seen = 0

    async def crash() -> None:
        await asyncio.sleep(0.05)
        await special.crash()
        await asyncio.sleep(DOWN_SECONDS)
        await special.start()

    def delay_write(body: dict[str, Any]) -> float | None:
        nonlocal seen
        keys = [each["key"] for each in body.get("writes", [])]
        if f"progress/{job.job_id}" not in keys:
            return None
        seen += 1
        if seen not in LOST_WRITES:
            world.record.note(f"the store does and answers write {seen} of {keys}")
            return None
        world.record.note(f"the store does write {seen} of {keys}, without an answer")
        tasks.add(asyncio.create_task(crash()))
        return 0.0

    if trouble:
        world.store.delay_write = delay_write
    assert await world.submit(job, 0) == 200
    state: Any = None
    for _ in range(30):
        await asyncio.sleep(1.0)
        _, state = await world.nodes[1].call("GET", f"/renders/{job.job_id}")
        if state in ({"state": "failed"}, {"state": "completed"}):
            break
    failed = [each for each in world.ends if each[1].startswith(job.job_id)]
    failed = [each for each in failed if each[4] == "failed"]
    if state != {"state": "failed"} or len(failed) >= 2:
        return ""
    return (
        f"LOST: the job is shown as failed; {len(world.list_starts(job.job_id))} runs"
        f" of it have started, and {len(failed)} have ended as failed"
    )


run_case(play, ".")

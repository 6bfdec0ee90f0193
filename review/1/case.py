"""A worker crashes and starts again under the id that it had."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin import Platform, Record, run_case  # noqa: E402

BOUNDS = {"stop_timeout_ms": 200, "contact_ms": 4000, "max_hold_ms": 10000}
WORKERS = 8
TASK_SECONDS = 1.0
# Enough to fill all workers each time: 64 accelerators, two tasks of one each a job.
FIRST_JOBS = 64
DOWN_SECONDS = 3.0
LATER_JOBS = 64
STEP = {"count": 2, "cpu": 4000, "mem_mb": 4000, "gpu": 1, "estimate_ms": 1000}


async def submit_all(platform: Platform, count: int) -> list[str]:
    """Submit jobs, eight at a time."""
    slots = asyncio.Semaphore(8)

    async def submit() -> str:
        async with slots:
            return await platform.submit("usual", [STEP])

    return list(await asyncio.gather(*(submit() for _ in range(count))))


async def wait_for_jobs(platform: Platform, jobs: list[str], seconds: float) -> None:
    """Wait until clients are told that jobs are completed, or for a time."""
    until = platform.record.now() + seconds
    left = list(jobs)
    while left and platform.record.now() < until:
        states = [await platform.read_state("usual", job) for job in left]
        left = [j for j, s in zip(left, states, strict=True) if s != "completed"]
        await asyncio.sleep(0.5)
    for job in left:
        platform.record.note(f"job {job} is not completed in time")


async def case(record: Record, trouble: bool) -> list[str]:
    """Return the starts of tasks after their ends `done` were taken note of."""
    platform = Platform(record, lambda task: TASK_SECONDS, same_ids=True)
    try:
        await platform.set_up(workers=WORKERS, nodes=3, bounds=BOUNDS)
        jobs = await submit_all(platform, FIRST_JOBS)
        await wait_for_jobs(platform, jobs, 20)
        worker = platform.workers[0]
        record.note(f"{worker.name} has listed {len(worker.ends)} ends")
        if trouble:
            await worker.crash()
            await asyncio.sleep(DOWN_SECONDS)
            await worker.restart()
        # Longer than `contact_ms`: whatever follows is calm.
        await asyncio.sleep(8)
        jobs = await submit_all(platform, LATER_JOBS)
        await wait_for_jobs(platform, jobs, 30)
        return platform.list_started_after_done() + platform.running_twice
    finally:
        await platform.close()


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER))

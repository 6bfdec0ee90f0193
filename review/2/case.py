"""The scheduling process is killed while many jobs are being cancelled."""

import asyncio
import os
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin import CannotRunError, Platform, Record, run_case  # noqa: E402

CONTACT_SECONDS = 3.0
CANCEL_SECONDS = 3.0
STOP_SECONDS = 0.4
BOUNDS = {"stop_timeout_ms": 400, "contact_ms": 3000, "cancel_ms": 3000}
WORKERS = 24
# Tasks work far longer than the script.
TASK_SECONDS = 600.0
JOBS = 400
# Fewer than a quarter of all, as when some of the clients give up.
CANCELLED = 60
CANCELLED_WITHIN_SECONDS = 1.0
STEP = {"count": 2, "cpu": 4000, "mem_mb": 4000, "gpu": 1, "estimate_ms": 600000}
KILLS = int(os.environ.get("KILLS", "5"))


async def case(record: Record, trouble: bool) -> list[str]:
    """Return the tasks that work on though their job's cancelling is long past."""
    platform = Platform(record, lambda task: TASK_SECONDS)
    try:
        await platform.set_up(workers=WORKERS, nodes=3, bounds=BOUNDS)
        jobs = set(await submit_all(platform))
        await asyncio.sleep(2)
        broken: list[str] = []
        for _ in range(KILLS):
            cancelled, found = await play_round(platform, jobs, trouble)
            jobs -= cancelled
            broken += found
        return broken
    finally:
        await platform.close()


async def submit_all(platform: Platform) -> list[str]:
    """Submit more jobs than there is room for."""
    slots = asyncio.Semaphore(8)

    async def submit() -> str:
        async with slots:
            return await platform.submit("patient", [STEP])

    return list(await asyncio.gather(*(submit() for _ in range(JOBS))))


async def play_round(
    platform: Platform, open_jobs: set[str], trouble: bool
) -> tuple[set[str], list[str]]:
    """Cancel a part of the running jobs, with a kill in the middle.

    Returns:
        The cancelled jobs, and what works on of them when all has long been calm.
    """
    running = [job for job in open_jobs if platform.list_running(job)]
    owner = platform.find_owner()
    if owner is None or len(running) < CANCELLED:
        raise CannotRunError(f"{len(running)} jobs run")
    others = [node for node in platform.nodes if node is not owner]
    jobs = random.sample(running, CANCELLED)
    acknowledged: dict[str, float] = {}

    async def cancel(job: str) -> None:
        await asyncio.sleep(random.uniform(0, CANCELLED_WITHIN_SECONDS))
        for _ in range(10):
            path = f"/patient/{job}"
            answer = await platform.call("DELETE", path, node=random.choice(others))
            if answer.status in (200, 410):
                acknowledged[job] = time.monotonic()
                return
            await asyncio.sleep(0.3)

    cancelling = [asyncio.create_task(cancel(job)) for job in jobs]
    if trouble:
        await asyncio.sleep(CANCELLED_WITHIN_SECONDS / 2)
        await owner.end()
        await asyncio.sleep(1.0)
        await owner.start()
    await asyncio.gather(*cancelling)
    # All is calm from here on: `contact_ms`, then `cancel_ms` and `stop_timeout_ms`.
    await asyncio.sleep(CONTACT_SECONDS + CANCEL_SECONDS + STOP_SECONDS + 3.0)
    broken = [
        f"{run.task} run {run.run} works on, on {worker.name}, "
        f"{time.monotonic() - acknowledged[job]:.1f} s after the cancelling of its job "
        f"was acknowledged"
        for job in jobs
        if job in acknowledged
        for worker, run in platform.list_running(job)
    ]
    for job in sorted({each.split(".")[0] for each in broken}):
        await platform.read_state("patient", job)
    return set(jobs), broken


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER))

"""The workers of one kind are lost while many jobs wait for that kind."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent.parent))

from standin import CannotRunError, Platform, Record, run_case  # noqa: E402

BOUNDS = {"stop_timeout_ms": 200, "contact_ms": 4000, "max_hold_ms": 10000}
WORKERS = 8
RARE_KIND = "b"
# Of the queue with priority 1. All of them together fit on the worker of that kind.
RARE_JOBS = 240
RARE_JOBS_PER_SECOND = 6.0
RARE_STEP = {
    "count": 1,
    "cpu": 100,
    "mem_mb": 100,
    "estimate_ms": 600000,
    "constraints": RARE_KIND,
}
# Of the queue with priority 2; any worker will do.
PLAIN_JOBS = 10
PLAIN_STEP = {"count": 2, "cpu": 4000, "mem_mb": 4000, "gpu": 1, "estimate_ms": 1000}
RARE_SECONDS = 600.0
PLAIN_SECONDS = 1.0
# `finish_s` after the end of the traffic, then 3 s.
FINISH_SECONDS = 14.0
IDLE_SECONDS = 3.0


async def case(record: Record, trouble: bool) -> list[str]:
    """Return the jobs of which nothing runs though nearly all workers are idle."""
    plain: list[str] = []

    def find_seconds(task: str) -> float:
        return PLAIN_SECONDS if task.split(".")[0] in plain else RARE_SECONDS

    platform = Platform(record, find_seconds)
    try:
        await platform.set_up(
            workers=WORKERS, nodes=3, bounds=BOUNDS, kinds=["a"] * 7 + [RARE_KIND]
        )
        if trouble:
            await platform.workers[-1].crash()
        for _ in range(RARE_JOBS):
            await platform.submit("usual", [RARE_STEP])
            await asyncio.sleep(1 / RARE_JOBS_PER_SECOND)
        for _ in range(PLAIN_JOBS):
            plain.append(platform.draw_id())
            await platform.submit("patient", [PLAIN_STEP], plain[-1])
        await asyncio.sleep(FINISH_SECONDS)
        idle = set(plain)
        until = record.now() + IDLE_SECONDS
        while record.now() < until:
            idle = {job for job in idle if not platform.was_started(job)}
            await asyncio.sleep(0.1)
        states = {job: await platform.read_state("patient", job) for job in plain}
        if not trouble and len(platform.starts) < RARE_JOBS:
            raise CannotRunError("the worker of the rare kind did not get its jobs")
        used = sum(len(worker.runs) for worker in platform.workers if worker.up)
        return [
            f"of job {job}, shown as {states[job]}, nothing has been started for "
            f"{FINISH_SECONDS + IDLE_SECONDS:g} s; {used} tasks run on the 7 workers"
            for job in sorted(idle)
        ]
    finally:
        await platform.close()


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER))

"""A worker is taken away with its tasks, and the scheduling process is killed."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin import CannotRunError, Platform, Record, run_case  # noqa: E402

BOUNDS = {"stop_timeout_ms": 200, "contact_ms": 3000, "max_hold_ms": 10000}
WORKERS = 8
# Tasks are as long as the longest on the sheet.
TASK_SECONDS = 11.0
STEP = {"count": 8, "cpu": 4000, "mem_mb": 4000, "gpu": 1, "estimate_ms": 11000}
JOBS = 8
NOTICE_SECONDS = 2.0
KILLS = 4
KILL_GAP_SECONDS = 10.0
DOWN_SECONDS = 2.0
# `finish_s` after the end of the traffic, then 3 s.
FINISH_SECONDS = 14.0
IDLE_SECONDS = 3.0


async def case(record: Record, trouble: bool) -> list[str]:
    """Return the jobs of which nothing runs though most workers are idle."""
    platform = Platform(record, lambda task: TASK_SECONDS)
    try:
        await platform.set_up(workers=WORKERS, nodes=3, bounds=BOUNDS)
        jobs = [await platform.submit("patient", [STEP]) for _ in range(JOBS)]
        await asyncio.sleep(2)
        worker = platform.workers[0]
        lost = {task.split(".")[0] for task in worker.runs}
        if not lost:
            raise CannotRunError("nothing runs on the worker")
        if trouble:
            await worker.leave(NOTICE_SECONDS)
        left_at = time.monotonic()
        for kill in range(KILLS):
            await asyncio.sleep(KILL_GAP_SECONDS if kill else 1.0)
            # Any traffic goes on until the last kill.
            await platform.submit("usual", [{**STEP, "count": 1}])
            owner = platform.find_owner()
            ended_at = time.monotonic()
            if trouble and owner is not None:
                await owner.end()
                await asyncio.sleep(DOWN_SECONDS)
                await owner.start()
        await asyncio.sleep(ended_at + FINISH_SECONDS - time.monotonic())
        idle = set(lost)
        until = time.monotonic() + IDLE_SECONDS
        while time.monotonic() < until:
            idle = {job for job in idle if not platform.list_running(job)}
            await asyncio.sleep(0.05)
        states = {job: await platform.read_state("patient", job) for job in jobs}
        used = sum(len(each.runs) for each in platform.workers if each.up)
        return [
            f"nothing runs of job {job}, shown as {states[job]}; its worker left "
            f"{time.monotonic() - left_at:.0f} s ago; {used} tasks run on the 7 workers"
            for job in sorted(idle)
            if states[job] not in ("completed", "")
        ]
    finally:
        await platform.close()


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER))

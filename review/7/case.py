"""A job is cancelled with a 410, and runs later: its submission landed late."""

import asyncio
from typing import Any

from platform2.world import Job, Step, Worker, World, make_job_id, make_route, run_case

CANCEL_SECONDS = 3.0
CONTACT_SECONDS = 3.0
LATE_SECONDS = 5.5


async def play(world: World, trouble: bool) -> str:
    """Return how the rule was broken, or an empty text."""
    world.write_config(1, [make_route("renders", "/renders/")])
    workers = [Worker(world, f"w{n}", f"r1-{n}", []) for n in range(4)]
    await world.start(3, workers)
    steps = [
        Step(count=2, work_seconds=3.0),
        Step(count=2, work_seconds=3.0, after=[0]),
        Step(count=2, work_seconds=3.0, after=[1]),
    ]
    job = Job(make_job_id(), "renders", steps)
    late = asyncio.Event()
    late_at = 0.0

    def delay_write(body: dict[str, Any]) -> float | None:
        nonlocal late_at
        keys = [each["key"] for each in body.get("writes", [])]
        if late.is_set() or not any(job.job_id in key for key in keys):
            return None
        late.set()
        late_at = world.record.now
        world.record.note(f"the store does this {LATE_SECONDS} s later: {keys}")
        return LATE_SECONDS

    if trouble:
        world.store.delay_write = delay_write
    status = await world.submit(job, 0)
    path = f"/{job.queue}/{job.job_id}"
    cancelled, _ = await world.nodes[1].call("DELETE", path)
    cancelled_at = world.record.now
    if not 200 <= cancelled < 300 and cancelled != 410:
        raise RuntimeError(f"the cancel was answered {cancelled}")
    await asyncio.sleep(16.0)
    await world.nodes[2].call("GET", path)
    # The store counts as disturbed until it has done the late write.
    landed_at = late_at + LATE_SECONDS if late.is_set() else 0.0
    calm = max(cancelled_at + CANCEL_SECONDS, landed_at + CONTACT_SECONDS)
    begun = [each for each in world.list_starts(job.job_id) if each[0] > calm]
    if not begun:
        return ""
    return (
        f"UNASKED: the submission was answered {status} and the cancel {cancelled} at"
        f" {cancelled_at:.2f}; tasks started at"
        f" {', '.join(f'{each[0]:.2f}' for each in begun)}"
    )


run_case(play, ".")

"""A burst of urgent jobs that wait for room takes all of the advice service's time."""

import asyncio

from platform2.world import (
    Advice,
    Job,
    Step,
    Worker,
    World,
    make_job_id,
    make_route,
    run_case,
)

FINISH_SECONDS = 14.0
IDLE_SECONDS = 3.0
BURST_JOBS = 15
BURST_SECONDS = 6.0
LONG_SECONDS = 75.0


async def play(world: World, trouble: bool) -> str:
    """Return how the rule was broken, or an empty text."""
    world.advice = Advice(world.record, 300, 50, 5000)
    advice = world.advice.show()
    world.write_config(
        1,
        [
            make_route("urgent", "/urgent/", priority=0, advice=advice),
            make_route("patient", "/patient/", priority=2, advice=advice),
        ],
    )
    # Two of the twelve workers have the label that the urgent jobs need.
    workers = [
        Worker(world, f"w{n}", f"r1-{n // 4}", ["big"] if n < 2 else [])
        for n in range(12)
    ]
    await world.start(3, workers)

    async def submit_urgent() -> None:
        step = Step(gpu=8, work_seconds=LONG_SECONDS, label="big")
        job = Job(make_job_id(), "urgent", [step], ticketed=True)
        assert await world.submit(job, 0) == 200

    for _ in range(2):
        await submit_urgent()
    await asyncio.sleep(4.0)
    if trouble:
        for _ in range(BURST_JOBS):
            await submit_urgent()
            await asyncio.sleep(BURST_SECONDS / BURST_JOBS)
    else:
        await asyncio.sleep(BURST_SECONDS)
    await asyncio.sleep(2.0)
    patient = Job(make_job_id(), "patient", [Step()], ticketed=True)
    assert await world.submit(patient, 1) == 200
    traffic_ended = world.record.now
    until = traffic_ended + FINISH_SECONDS + IDLE_SECONDS + 1
    await asyncio.sleep(until - world.record.now)
    used = sum(run.step.gpu for worker in workers for run in worker.runs.values())
    total = sum(worker.gpu for worker in workers)
    room = total - used >= 2 * patient.steps[0].gpu
    if world.list_starts(patient.job_id) or 2 * used >= total or not room:
        return ""
    return (
        f"LOST: no task of an accepted job has started {FINISH_SECONDS:g} s and"
        f" {IDLE_SECONDS:g} s after the end of the traffic; {used} of {total} GPUs"
        f" are in use; the advice service was asked about it"
        f" {world.advice.asked.get(patient.job_id + '.0.0', 0)} times, and"
        f" {sum(world.advice.asked.values())} times in all"
    )


run_case(play, ".")

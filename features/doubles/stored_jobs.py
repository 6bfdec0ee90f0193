"""Store contents after long use: many open jobs and many more ended ones."""

import asyncio
import math
from collections.abc import Iterable

from features.doubles.fleet_world import POOL, FleetWorld, make_policy

from primrosestile.clock import read_clock, read_wall_clock
from primrosestile.coordination.work.ended_jobs import EndedJobs
from primrosestile.coordination.work.keys import (
    JOBS_PREFIX,
    OWNER_KEY,
    make_job_key,
    make_waiting,
)
from primrosestile.coordination.work.recorder import Recorder
from primrosestile.coordination.work.term import Term
from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.platform.policy import read_policy
from primrosestile.protocol.store import Entry
from primrosestile.state.work import (
    JobState,
    Need,
    Phase,
    Step,
    Submission,
    encode_record,
)
from primrosestile_standin.fleet_script import Script

# Callers may pass 4,000 bytes to their tasks.
PAYLOAD = "x" * 3000
NEED = Need(100, 100, 0)
TASK_SECONDS = 60.0
STATUS_RETENTION_SECONDS = 120.0
FIRST_ENDED_NUMBER = 1_000_000


def spread_id(number: int) -> str:
    """Return a job id; successive numbers are spread over the id space."""
    return f"{number * 0x9E3779B97F4A7C15 % 2**64:016x}"


def make_submission(job_id: str, tasks: int) -> Submission:
    """Return a job of one step."""
    step = Step(tasks, NEED, estimate_seconds=TASK_SECONDS)
    return Submission(
        job_id, "usual", "domes", POOL, PAYLOAD, (step,), accepted_at=read_wall_clock()
    )


def store_jobs(world: FleetWorld, numbers: Iterable[int], tasks: int) -> list[Entry]:
    """Write jobs to the store as if they had been accepted."""
    entries = []
    for number in numbers:
        job_id = spread_id(number)
        key = make_job_key(job_id)
        submission = make_submission(job_id, tasks)
        world.store.put(key, encode_record(submission))
        waiting = make_waiting(job_id, submission.queue)
        world.store.put(waiting.key, waiting.value)
        entry = world.store.read(key)
        assert entry is not None
        entries.append(entry)
        for index in range(tasks):
            script = Script(seconds=TASK_SECONDS, need=NEED)
            world.fleet.scripts[f"{job_id}.0.0.{index}"] = script
    return entries


async def end_jobs(world: FleetWorld, count: int, tasks: int) -> None:
    """Write the records of ended jobs with an owner's own recorder."""
    entries = store_jobs(
        world, range(FIRST_ENDED_NUMBER, FIRST_ENDED_NUMBER + count), tasks
    )
    store = world.store.connect("earlier")
    fence = world.store.put(OWNER_KEY, b"")
    term = Term(fence, 0, math.inf, asyncio.Event(), read_clock)
    fleet_state = FleetState(read_policy(Entry("", make_policy(1), 1, 1)), wall=0.0)
    fleet_state.wall = read_wall_clock()
    ended = EndedJobs(store, term, STATUS_RETENTION_SECONDS)
    recorder = Recorder(store, term, fleet_state, ended)
    writing = asyncio.create_task(recorder.run())
    for entry in entries:
        job_id = entry.key.removeprefix(JOBS_PREFIX)
        job = fleet_state.admit(make_submission(job_id, tasks), None, read_clock(), 0.0)
        fleet_state.open_occurrence(job, 0)
        recorder.set_job_revision(job, entry.mod_revision)
        for unit in job.units.values():
            unit.run = 1
            unit.phase = Phase.DONE
        fleet_state.finish(job, JobState.COMPLETED)
    await recorder.save(list(fleet_state.jobs.values()))
    writing.cancel()
    world.store.remove(OWNER_KEY)


def set_link(world: FleetWorld, process: str, megabits: float) -> None:
    """Set the rate of a process's link, in Mbit/s."""
    world.store.faults.megabits[process] = megabits

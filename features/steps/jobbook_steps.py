"""The owner's copy of job records, over a store whose answers are slow."""

import asyncio
from dataclasses import replace
from typing import Any

import msgspec
from behave import given, then, when
from features.settings.doubles import run_paused

from primrosestile.coordination.cell_page import find_completion
from primrosestile.coordination.job_table import JobTable, make_job_key
from primrosestile.protocol.store import Entry, SwapResult
from primrosestile.state.jobs import JobRecord, JobSpec, JobState, Member
from primrosestile.state.tenancy import Shape, Urgency
from primrosestile_standin.store import MemoryStore

CELL = "malaga-cell-1"
JOB = f"{CELL}.0011223344556677"
ANSWER_SECONDS = 0.2
WATCH_SECONDS = 0.1


class SlowAnswers(MemoryStore):
    """Carries out calls at once, and answers later."""

    slow = False

    async def put(
        self, key: str, value: bytes, expected: int, lease: int = 0
    ) -> SwapResult:
        swap = await super().put(key, value, expected, lease)
        if self.slow:
            await asyncio.sleep(ANSWER_SECONDS)
        return swap

    async def get(self, key: str) -> Entry | None:
        entry = await super().get(key)
        if self.slow:
            await asyncio.sleep(ANSWER_SECONDS)
        return entry


def make_record() -> JobRecord:
    spec = JobSpec(
        JOB,
        "domeworks",
        "show",
        "starfield-render",
        Shape(1),
        Urgency.PATIENT,
        restartable=True,
        checkpoints=False,
        declared_seconds=30.0,
    )
    return JobRecord(spec, JobState.ACCEPTED, accepted_at=1.0)


async def cancel(store: MemoryStore) -> None:
    """Write a cancellation over the current record, as an entry does."""
    entry = await MemoryStore.get(store, make_job_key(JOB))
    assert entry is not None
    record = msgspec.json.decode(entry.value, type=JobRecord)
    value = msgspec.json.encode(replace(record, cancel_requested=True))
    await MemoryStore.put(store, entry.key, value, entry.mod_revision)


@given("a record of a job that is just being started")
def make_book(context: Any) -> None:
    context.record = make_record()
    context.started = replace(
        context.record,
        state=JobState.STARTED,
        attempt=1,
        members=(Member("malaga-8", (0,)),),
    )


async def run_race(context: Any, act: Any) -> None:
    store = SlowAnswers()
    await store.put(make_job_key(JOB), msgspec.json.encode(context.record), 0)
    job_table = context.job_table = JobTable(store, "malaga-cell-1")
    await job_table.load()
    following = asyncio.create_task(job_table.follow(lambda record: None))
    await asyncio.sleep(WATCH_SECONDS)
    store.slow = True
    acting = asyncio.create_task(act(job_table))
    await asyncio.sleep(WATCH_SECONDS)
    await cancel(store)
    context.outcome = await acting
    following.cancel()


@when("the watch delivers its cancellation before the answer to the write of the start")
def race_write(context: Any) -> None:
    async def write(job_table: JobTable) -> bool:
        base = job_table.find(JOB)
        assert base is not None
        return await job_table.write(context.started, base)

    run_paused(run_race(context, write))


@when("the watch delivers its cancellation before the answer to a read of it")
def race_read(context: Any) -> None:
    run_paused(run_race(context, lambda job_table: job_table.refresh(JOB)))


@then("the owner's copy shows the cancellation")
def check_copy(context: Any) -> None:
    record = context.job_table.find(JOB)
    assert record is not None
    assert record.cancel_requested, record


@then("the write of the start counts as made")
def check_made(context: Any) -> None:
    assert context.outcome is True
    assert context.job_table.find(JOB).state is JobState.STARTED


@given("finished jobs of a cell that took 4, 6 and 11 s")
def give_finished(context: Any) -> None:
    async def fill() -> None:
        for number, seconds in enumerate((4.0, 6.0, 11.0)):
            job_id = f"{CELL}.{number:016x}"
            record = replace(
                make_record(),
                spec=replace(make_record().spec, job_id=job_id),
                state=JobState.FINISHED,
                finished_at=1.0 + seconds,
            )
            await context.store.put(
                make_job_key(job_id), msgspec.json.encode(record), 0
            )

    context.store = MemoryStore()
    run_paused(fill())


@when("another process becomes the owner of the cell")
def become_owner(context: Any) -> None:
    context.job_table = JobTable(context.store, CELL)
    run_paused(context.job_table.load())


@then("operators are shown a completion time of {seconds:g} s")
def check_completion(context: Any, seconds: float) -> None:
    assert find_completion(context.job_table) == seconds

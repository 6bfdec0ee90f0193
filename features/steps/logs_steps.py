"""Steps for logs, and for the command that reads them."""

import asyncio
import contextlib
import io
import json
import tempfile
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import structlog
from behave import given, then, when
from features.doubles.fleetworld import FleetWorld, make_policy
from typer.testing import CliRunner

from primrosestile.platform.policy import POLICY_KEY
from primrosestile.programs import cli
from primrosestile.programs.logs import LINES_PER_SECOND, _Bound, set_up_logs
from primrosestile.state.work import Need
from primrosestile_standin.fleetscript import Script

PATIENT = "00000000000000b1"
TWICE = f"{PATIENT}.0.0.1"
URGENT = "00000000000000c1"
TASK = {"cpu": 1000, "mem_mb": 1000, "estimate_ms": 60_000}


async def play(world: FleetWorld) -> None:
    """Let a guaranteed job come while a patient one holds the whole fleet."""
    world.store.put(POLICY_KEY, make_policy(1, guarantees={"domes": 8}))
    for number in range(2):
        world.add_worker(f"w{number}")
    for number in range(3):
        world.add_process(f"p{number}")
    await asyncio.sleep(2.0)
    world.fleet.default = Script(60.0, Need(1000, 1000, 8))
    steps = [{"count": 2, "gpu": 8, **TASK}]
    await world.submit("p0", PATIENT, "patient", "post", steps=steps)
    log = structlog.get_logger()
    log.info("job_accepted", job_id=PATIENT)
    await asyncio.sleep(3.0)
    steps = [{"count": 1, "gpu": 8, **TASK}]
    await world.submit("p1", URGENT, "urgent", "domes", steps=steps)
    await asyncio.sleep(3.0)


async def play_crash(world: FleetWorld) -> None:
    """Let a worker crash under a task, and serve again beside its former entry."""
    world.store.put(POLICY_KEY, make_policy(1))
    for number in range(3):
        world.add_worker(f"w{number}")
        world.add_process(f"p{number}")
    await asyncio.sleep(2.0)
    world.fleet.default = Script(4.0, Need(1000, 1000, 8))
    steps = [{"count": 2, "gpu": 8, **TASK}]
    await world.submit("p0", PATIENT, "usual", "post", steps=steps)
    await asyncio.sleep(1.0)
    worker = next(each for each in world.fleet.workers.values() if TWICE in each.runs)
    worker.crash()
    world.add_worker("w9", worker.entry.address)
    await asyncio.sleep(6.0)


@given(
    "the logs of {count:d} processes on which a guaranteed job stopped a patient one"
)
def step_logs(context: Any, count: int) -> None:
    write_logs(context, count, play)


@given("the logs of {count:d} processes on which a worker crashed under a task")
def step_crash_logs(context: Any, count: int) -> None:
    write_logs(context, count, play_crash)


def write_logs(
    context: Any, count: int, played: Callable[[FleetWorld], Coroutine[Any, Any, None]]
) -> None:
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        try:
            set_up_logs("p")
            world = FleetWorld()
            world.run(played(world))
            world.close()
        finally:
            structlog.contextvars.clear_contextvars()
            structlog.reset_defaults()
    folder = tempfile.TemporaryDirectory()
    context.cleanups.append(folder.cleanup)
    # One process's lines stand in each file, mixed with another program's.
    lines = output.getvalue().splitlines()
    context.files = []
    for number in range(count):
        path = Path(folder.name) / f"p{number}.log"
        path.write_text("not ours\n" + "\n".join(lines[number::count]) + "\n{broken\n")
        context.files.append(str(path))


@when("the engineer asks for the patient job's id")
def step_ask(context: Any) -> None:
    step_ask_id(context, PATIENT)


@when("the engineer asks for the id {job}")
def step_ask_id(context: Any, job: str) -> None:
    command = ["explain", "--id", job, *context.files]
    context.result = CliRunner().invoke(cli.app, command)


@when("the engineer asks for that task")
def step_ask_task(context: Any) -> None:
    step_ask_id(context, TWICE)


@then("the story goes: {events}")
def step_story(context: Any, events: str) -> None:
    story = context.result.output
    assert context.result.exit_code == 0, story
    places = [story.find(each) for each in events.split(", ")]
    assert -1 not in places, (events, story)
    assert places == sorted(places), story


@then("the task's story goes: {events}")
def step_task_story(context: Any, events: str) -> None:
    story = context.result.output
    assert context.result.exit_code == 0, story
    place = 0
    for event in events.split(", "):
        place = story.find(f": {event} ", place) + 1
        assert place, (event, events, story)


@then("the story names the proof, the fence and the worker's clock")
def step_proof(context: Any) -> None:
    gone = next(
        line for line in context.result.output.splitlines() if "run gone" in line
    )
    for each in ("proof=life over", "fence=", "worker_clock=", "heard_ago="):
        assert each in gone, gone


@then("the story leaves out what is of other tasks and workers")
def step_left_out(context: Any) -> None:
    story = context.result.output
    assert f"{PATIENT}.0.0.0" not in story, story
    # One worker ran the other task only.
    named = {each for each in ("w0", "w1", "w2", "w9") if f"worker={each} " in story}
    assert len(named) == 2, (named, story)


@then("the story names the guaranteed job as the one that gained")
def step_gainer(context: Any) -> None:
    assert f"gainer={URGENT}" in context.result.output


@then("the engineer is told to give the logs of all processes")
def step_told(context: Any) -> None:
    assert context.result.exit_code == 5
    assert "logs of all processes" in context.result.output


@when("{count:d} lines are logged within a second and one in the next")
def step_flood(context: Any, count: int) -> None:
    now = [10.0]
    bound = _Bound(lambda: now[0])
    context.written = 0
    for _ in range(count):
        with contextlib.suppress(structlog.DropEvent):
            bound(None, "info", {})
            context.written += 1
    now[0] = 11.0
    context.next = json.loads(json.dumps(bound(None, "info", {})))


@then("{count:d} of them are written")
def step_written(context: Any, count: int) -> None:
    assert context.written == count == LINES_PER_SECOND


@then("the next line says that {count:d} were dropped")
def step_dropped(context: Any, count: int) -> None:
    assert context.next["lines_dropped"] == count

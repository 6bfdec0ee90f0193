"""Steps for logs and the command that explains an id from them."""

import asyncio
import contextlib
import io
import json
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import structlog
from behave import given, then, when
from features.doubles.fleet_world import FleetWorld, make_policy
from typer.testing import CliRunner

from primrosestile.clock import read_clock
from primrosestile.platform.policy import POLICY_KEY
from primrosestile.programs import cli
from primrosestile.programs.cli_timeline import collect_timeline
from primrosestile.programs.log_limits import OTHER_LINES_PER_SECOND, LineBounds
from primrosestile.programs.logs import set_up_logs
from primrosestile.programs.metrics import Metrics
from primrosestile.state.work import Need
from primrosestile_standin.fleet_script import Script

LOW_PRIORITY_JOB = "00000000000000b1"
RESTARTED_TASK = f"{LOW_PRIORITY_JOB}.0.0.1"
GUARANTEED_JOB = "00000000000000c1"
LazyLogger = type(structlog.get_logger())
OTHER_EVENT = "worker_silent"
TASK = {"cpu": 1000, "mem_mb": 1000, "estimate_ms": 60_000}


async def run_reclaim(world: FleetWorld) -> None:
    """Submit a guaranteed job while a low-priority one holds the whole fleet."""
    world.store.put(POLICY_KEY, make_policy(1, guarantees={"domes": 8}))
    for number in range(2):
        world.add_worker(f"w{number}")
    for number in range(3):
        world.add_process(f"p{number}")
    await asyncio.sleep(2.0)
    world.fleet.default = Script(60.0, Need(1000, 1000, 8))
    steps = [{"count": 2, "gpu": 8, **TASK}]
    await world.submit("p0", LOW_PRIORITY_JOB, "patient", "post", steps=steps)
    log = structlog.get_logger()
    log.info("job_accepted", job_id=LOW_PRIORITY_JOB)
    await asyncio.sleep(3.0)
    steps = [{"count": 1, "gpu": 8, **TASK}]
    await world.submit("p1", GUARANTEED_JOB, "urgent", "domes", steps=steps)
    await asyncio.sleep(3.0)


async def run_crash(world: FleetWorld) -> None:
    """Crash a worker under a task; it serves again with a second entry."""
    world.store.put(POLICY_KEY, make_policy(1))
    for number in range(3):
        world.add_worker(f"w{number}")
        world.add_process(f"p{number}")
    await asyncio.sleep(2.0)
    world.fleet.default = Script(4.0, Need(1000, 1000, 8))
    steps = [{"count": 2, "gpu": 8, **TASK}]
    await world.submit("p0", LOW_PRIORITY_JOB, "usual", "post", steps=steps)
    await asyncio.sleep(1.0)
    worker = next(
        each for each in world.fleet.workers.values() if RESTARTED_TASK in each.runs
    )
    worker.crash()
    world.add_worker("w9", worker.entry.address)
    await asyncio.sleep(6.0)


@given(
    "the logs of {count:d} processes on which a guaranteed job stopped a low-priority"
    " one"
)
def step_logs(context: Any, count: int) -> None:
    write_logs(context, count, run_reclaim)


@given("the logs of {count:d} processes on which a worker crashed under a task")
def step_crash_logs(context: Any, count: int) -> None:
    write_logs(context, count, run_crash)


def write_logs(
    context: Any, count: int, run: Callable[[FleetWorld], Coroutine[Any, Any, None]]
) -> None:
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        try:
            set_up_logs("p")
            world = FleetWorld()
            world.run(run(world))
            world.close()
        finally:
            structlog.contextvars.clear_contextvars()
            structlog.reset_defaults()
    folder = tempfile.TemporaryDirectory()
    context.cleanups.append(folder.cleanup)
    # Each file holds some of the lines, mixed with those of another program.
    lines = output.getvalue().splitlines()
    context.files = []
    for number in range(count):
        path = Path(folder.name) / f"p{number}.log"
        path.write_text("not ours\n" + "\n".join(lines[number::count]) + "\n{broken\n")
        context.files.append(str(path))


@when("the engineer asks for the low-priority job's id")
def step_ask(context: Any) -> None:
    step_ask_id(context, LOW_PRIORITY_JOB)


@when("the engineer asks for the id {job}")
def step_ask_id(context: Any, job: str) -> None:
    command = ["explain", "--id", job, *context.files]
    context.result = CliRunner().invoke(cli.app, command)


@when("the engineer asks for that task")
def step_ask_task(context: Any) -> None:
    step_ask_id(context, RESTARTED_TASK)


@then("the timeline has in order: {events}")
def step_timeline(context: Any, events: str) -> None:
    timeline = context.result.output
    assert context.result.exit_code == 0, timeline
    places = [timeline.find(each) for each in events.split(", ")]
    assert -1 not in places, (events, timeline)
    assert places == sorted(places), timeline


@then("the task's timeline has in order: {events}")
def step_task_timeline(context: Any, events: str) -> None:
    timeline = context.result.output
    assert context.result.exit_code == 0, timeline
    place = 0
    for event in events.split(", "):
        place = timeline.find(f": {event} ", place) + 1
        assert place, (event, events, timeline)


@then("the timeline shows the proof, the fence and the worker's clock")
def step_proof(context: Any) -> None:
    gone = next(
        line for line in context.result.output.splitlines() if "run gone" in line
    )
    for each in ("proof=incarnation over", "fence=", "worker_clock=", "heard_ago="):
        assert each in gone, gone


@then("the timeline omits other tasks and their workers")
def step_left_out(context: Any) -> None:
    timeline = context.result.output
    assert f"{LOW_PRIORITY_JOB}.0.0.0" not in timeline, timeline
    # One worker ran the other task only.
    named = {each for each in ("w0", "w1", "w2", "w9") if f"worker={each} " in timeline}
    assert len(named) == 2, (named, timeline)


@then("the timeline shows the guaranteed job as the one that gets the room")
def step_gainer(context: Any) -> None:
    assert f"gainer={GUARANTEED_JOB}" in context.result.output


@then("the engineer is told to give the logs of all processes")
def step_told(context: Any) -> None:
    assert context.result.exit_code == 5
    assert "logs of all processes" in context.result.output


@when("{count:d} lines are logged within a second and one in the next")
def step_flood(context: Any, count: int) -> None:
    now = [10.0]
    context.metrics = Metrics("p")
    bound = LineBounds(context.metrics.count_dropped_line, lambda: now[0])
    context.written = 0
    for _ in range(count):
        with contextlib.suppress(structlog.DropEvent):
            bound(None, "info", {"event": OTHER_EVENT})
            context.written += 1
    now[0] = 11.0
    context.next = json.loads(json.dumps(bound(None, "info", {})))


@then("{count:d} of them are written")
def step_written(context: Any, count: int) -> None:
    assert context.written == count == OTHER_LINES_PER_SECOND


@then("the next line reports {count:d} dropped lines")
def step_dropped(context: Any, count: int) -> None:
    assert context.next["lines_dropped"] == count


@then("the metrics of the process count {count:d} dropped lines of that event")
def step_counted(context: Any, count: int) -> None:
    page, _ = context.metrics.render([])
    lines = page.decode().splitlines()
    (line,) = [each for each in lines if each.startswith("log_lines_dropped_total")]
    assert f'event="{OTHER_EVENT}"' in line and line.endswith(f" {count}"), line


@when(
    "{fleet:d} lines about workers and then {runs:d} about runs are logged within"
    " a second"
)
def step_both(context: Any, fleet: int, runs: int) -> None:
    dropped: Counter[str] = Counter()

    def count_dropped(event: str) -> None:
        dropped[event] += 1

    bound = LineBounds(count_dropped, lambda: 10.0)
    for event, count in ((OTHER_EVENT, fleet), ("run_started", runs)):
        for _ in range(count):
            with contextlib.suppress(structlog.DropEvent):
                bound(None, "info", {"event": event})
    context.dropped = dropped


@then("all of those about runs are written")
def step_runs_written(context: Any) -> None:
    assert context.dropped[OTHER_EVENT] and not context.dropped["run_started"]


@given(
    "the log of {processes:d} processes that run {jobs:d} jobs of {tasks:d} tasks"
    " on {workers:d} workers"
)
def step_large(
    context: Any, processes: int, jobs: int, tasks: int, workers: int
) -> None:
    context.tasks = tasks
    context.output = io.StringIO()
    context.dropped = []
    context.world = world = FleetWorld()
    context.cleanups.append(world.close)
    context.jobs = [f"{number:016x}" for number in range(jobs)]
    steps = [{"count": tasks, "gpu": 1, **TASK}]

    async def begin() -> None:
        world.store.put(POLICY_KEY, make_policy(1))
        for number in range(workers):
            world.add_worker(f"w{number}", rack=f"r{number // 20}")
        for number in range(processes):
            world.add_process(f"p{number}")
        await asyncio.sleep(2.0)
        world.fleet.default = Script(8.0, Need(1000, 1000, 1))
        for job in context.jobs:
            await world.submit("p0", job, "usual", "post", steps=steps)
        await asyncio.sleep(2.0)

    run_logged(context, begin())


@when("their owner is killed, {count:d} urgent jobs come and the other one takes over")
def step_take_over(context: Any, count: int) -> None:
    world: FleetWorld = context.world
    urgent = [f"a{number:015x}" for number in range(count)]
    context.jobs += urgent
    steps = [{"count": context.tasks, "gpu": 1, **TASK}]

    async def take_over() -> None:
        owner = world.find_owner()
        assert owner is not None
        await world.kill(owner.name)
        context.killed_at = read_clock()
        other = next(name for name in world.processes if name != owner.name)
        for job in urgent:
            await world.submit(other, job, "urgent", "post", steps=steps)
        await asyncio.sleep(14.0)

    run_logged(context, take_over())


def run_logged(context: Any, work: Coroutine[Any, Any, None]) -> None:
    """Run on the paused clock, which the log's rate limits use as well."""
    loop = context.world.runner.get_loop()
    forget_loggers()
    with contextlib.redirect_stdout(context.output):
        try:
            set_up_logs("p", "info", context.dropped.append, loop.time)
            context.world.run(work)
        finally:
            structlog.contextvars.clear_contextvars()
            structlog.reset_defaults()
            forget_loggers()


def forget_loggers() -> None:
    """Reset each module's cached logger, so that it uses this scenario's limits."""
    for module in list(sys.modules.values()):
        logger = getattr(module, "_log", None)
        if isinstance(logger, LazyLogger):
            logger.__dict__.pop("bind", None)


def read_lines(context: Any) -> list[Any]:
    return [json.loads(line) for line in context.output.getvalue().splitlines()]


@then("each decision, start and end of these jobs is logged")
def step_all_logged(context: Any) -> None:
    seen = Counter((line["event"], line["job_id"]) for line in read_lines(context))
    for job in context.jobs:
        assert seen["job_admitted", job] >= 1, job
        for event in ("run_decided", "run_started", "run_ended"):
            assert seen[event, job] >= context.tasks, (event, job, seen[event, job])


@then("no line was dropped")
def step_none_dropped(context: Any) -> None:
    assert not context.dropped, Counter(context.dropped)


@then("the takeover's lines about workers are fewer than {most:d}")
def step_fleet_lines(context: Any, most: int) -> None:
    lines = read_lines(context)
    gained = [n for n, line in enumerate(lines) if line["event"] == "ownership_gained"]
    taken_over = lines[gained[-1] :]
    worker_lines = [line for line in taken_over if line["event"].startswith("worker")]
    assert 0 < len(worker_lines) < most, Counter(line["event"] for line in worker_lines)


@given("the logs of {files:d} processes with {count:d} lines each")
def step_many_lines(context: Any, files: int, count: int) -> None:
    folder = tempfile.TemporaryDirectory()
    context.cleanups.append(folder.cleanup)
    context.files = []
    for number in range(files):
        path = Path(folder.name) / f"p{number}.log"
        with path.open("w") as file:
            for line in range(count):
                file.write(make_line(number, line) + "\n")
        context.files.append(path)


def make_line(process: int, number: int) -> str:
    line = {
        "job_id": f"{number % 1000:016x}",
        "task": f"{number % 1000:016x}.0.0.{process}",
        "run": 1,
        "worker": f"w{number % 270}",
        "event": "run_started",
        "process": f"p{process}",
        "timestamp": f"2026-01-01T00:{number // 60 % 60:02}:{number % 60:02}Z",
    }
    return json.dumps(line)


@then("the timeline of a task in them is collected within {seconds:g} s")
def step_collected(context: Any, seconds: float) -> None:
    began = time.monotonic()
    timeline = collect_timeline(context.files, f"{7:016x}.0.0.3")
    assert timeline
    assert time.monotonic() - began < seconds

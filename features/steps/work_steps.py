"""Steps for jobs of several steps on the stand-in of the platform."""

import asyncio
import json
from collections import Counter
from typing import Any

from behave import given, step, then, when
from features.doubles.fleet_world import FleetWorld, make_address, make_policy
from features.doubles.shared_faults import take_store_down

from primrosestile.clock import read_wall_clock
from primrosestile.errors import ErrorKind, Failure
from primrosestile.platform.policy import POLICY_KEY
from primrosestile.state.work import JobState
from primrosestile.state.workers import EndKind
from primrosestile_standin.fleet_script import Script
from primrosestile_standin.fleet_worker import FleetWorker

SETTLE_SECONDS = 2.0


def make_id(name: str) -> str:
    """Return a job's id for a scenario's short name for it."""
    return name.encode().hex().rjust(16, "0")


def list_running(world: FleetWorld, job: str) -> list[str]:
    return [
        task
        for worker in world.fleet.workers.values()
        if worker.alive
        for task in worker.runs
        if task.startswith(job)
    ]


def read_steps(table: Any) -> list[dict[str, Any]]:
    steps = []
    for row in table:
        one: dict[str, Any] = {
            "count": int(row["count"]),
            "cpu": 1000,
            "mem_mb": 1000,
            "gpu": int(row["accelerators"]),
            "estimate_ms": 2000,
        }
        headings = table.headings
        if "after" in headings and row["after"]:
            one["after"] = [int(each) for each in row["after"].split(",")]
        if "most per worker" in headings and row["most per worker"]:
            one["anti_affinity"] = int(row["most per worker"])
        if "checkpoints" in headings and row["checkpoints"] == "yes":
            one["checkpoint"] = True
        if "gang" in headings and row["gang"] == "yes":
            one["gang"] = True
        steps.append(one)
    return steps


@given("a fleet of {count:d} workers with {each:d} accelerators in {racks:d} racks")
def step_fleet(context: Any, count: int, each: int, racks: int) -> None:
    world = context.world = FleetWorld()
    context.cleanups.append(world.close)
    context.scripts = {}
    context.queues = {}

    async def build() -> None:
        world.store.put(POLICY_KEY, make_policy(1))
        for number in range(1, count + 1):
            world.add_worker(f"w{number}", rack=f"r{number % racks}", accelerators=each)

    world.run(build())


@given("{count:d} processes of ours")
def step_processes(context: Any, count: int) -> None:
    async def build() -> None:
        for number in range(1, count + 1):
            context.world.add_process(f"p{number}")
        await asyncio.sleep(SETTLE_SECONDS)

    context.world.run(build())


@given(
    "processes of ours on machines of {first:g}, {second:g} and {third:g} cores,"
    " the larger one last"
)
def step_sizes(context: Any, first: float, second: float, third: float) -> None:
    async def build() -> None:
        for number, processor in enumerate((first, second, third), 1):
            context.world.add_process(f"p{number}", processor)
        await asyncio.sleep(SETTLE_SECONDS)

    context.world.run(build())


@then("{name} schedules")
def step_schedules(context: Any, name: str) -> None:
    owners = [
        process.name
        for process in context.world.processes.values()
        if process.election.term is not None
    ]
    assert owners == [name], owners


@given("{organisation} is guaranteed {count:d} accelerators")
def step_guarantee(context: Any, organisation: str, count: int) -> None:
    async def change() -> None:
        policy = make_policy(2, guarantees={organisation: count})
        context.world.store.put(POLICY_KEY, policy)
        await asyncio.sleep(SETTLE_SECONDS)

    context.world.run(change())


@given("the tasks of {name} take {seconds:d} s")
def step_takes(context: Any, name: str, seconds: int) -> None:
    context.scripts.setdefault(make_id(name), {})["seconds"] = float(seconds)


@given("job {name} fails wherever it runs")
def step_poison(context: Any, name: str) -> None:
    context.scripts[make_id(name)] = {"fails": True}


def write_script(context: Any, job: str, steps: list[dict[str, Any]]) -> None:
    """Set how the workers run a job's tasks."""
    known = context.scripts.get(job, {})
    for number, one in enumerate(steps):
        need = Script().need
        need = type(need)(one["cpu"], one["mem_mb"], one["gpu"])
        gang = one["count"] if one.get("gang") else 1
        for occurrence in range(8):
            for index in range(one["count"]):
                task = f"{job}.{occurrence}.{number}.{index}"
                context.world.fleet.scripts[task] = Script(
                    need=need, gang=gang, **known
                )


def hand_in(context: Any, name: str, queue: str, organisation: str, **job: Any) -> None:
    job_id = make_id(name)
    write_script(context, job_id, job["steps"])
    context.queues[job_id] = queue

    async def send() -> None:
        world = context.world
        for process in list(world.processes) * 4:
            running = world.processes[process].task
            if running is None or running.done():
                continue
            try:
                await world.submit(process, job_id, queue, organisation, **job)
                return
            except Failure:
                await asyncio.sleep(0.5)
        raise AssertionError("the job was not accepted")

    context.world.run(send())


@when("job {name} is handed in with steps")
def step_hand_in(context: Any, name: str) -> None:
    hand_in(context, name, "usual", "domes", steps=read_steps(context.table))


@when("job {name} is handed in to {queue} by {organisation} with steps")
def step_hand_in_to(context: Any, name: str, queue: str, organisation: str) -> None:
    hand_in(context, name, queue, organisation, steps=read_steps(context.table))


@when("{count:d} jobs {name} are handed in, each with steps")
def step_hand_in_many(context: Any, count: int, name: str) -> None:
    for number in range(count):
        steps = read_steps(context.table)
        hand_in(context, f"{name}{number}", "usual", "domes", steps=steps)


@when(
    "job {name} is handed in to run {count:d} times every {gap:d} s from {first:d} s on"
)
def step_repeat(context: Any, name: str, count: int, gap: int, first: int) -> None:
    async def read() -> float:
        return read_wall_clock()

    context.due = context.world.run(read()) + first
    context.gap = gap
    hand_in(
        context,
        name,
        "usual",
        "domes",
        steps=[{"count": 1, "cpu": 1000, "mem_mb": 1000, "gpu": 1}],
        repeat_count=count,
        start_at_ms=context.due * 1000,
        interval_ms=gap * 1000,
    )
    context.world.fleet.record_start = record_times(context)


def record_times(context: Any) -> Any:
    """Return a start hook of the ledger that also records each start's time."""
    context.times = {}
    note = context.world.fleet.record_start

    def note_and_record(worker: Any, order: Any) -> None:
        context.times.setdefault(order.task, read_wall_clock())
        note(worker, order)

    return note_and_record


@then("each occurrence of {name} started at its time")
def step_on_time(context: Any, name: str) -> None:
    for task, at in context.times.items():
        due = context.due + int(task.split(".")[1]) * context.gap
        assert due <= at <= due + 0.5, f"{task} started {at - due:.3f} s after its time"


@step("{name} runs on the fleet")
def step_runs(context: Any, name: str) -> None:
    wait_until_runs(context, name, 5.0)


@then("{name} runs on the fleet within {seconds:g} s")
def step_runs_within(context: Any, name: str, seconds: float) -> None:
    wait_until_runs(context, name, seconds)


def wait_until_runs(context: Any, name: str, seconds: float) -> None:
    world = context.world
    job = make_id(name)
    wanted = {task for task in world.fleet.scripts if task.startswith(f"{job}.0.0.")}

    async def wait() -> None:
        await world.wait_for(lambda: wanted <= set(list_running(world, job)), seconds)

    world.run(wait())


@when("{count:d} tasks of {name} run on the fleet")
def step_count_runs(context: Any, count: int, name: str) -> None:
    async def wait() -> None:
        await context.world.wait_for(
            lambda: len(list_running(context.world, make_id(name))) == count, 5.0
        )

    context.world.run(wait())


@when("job {name} is cancelled")
def step_cancel(context: Any, name: str) -> None:
    async def cancel() -> None:
        process = context.world.processes["p1"]
        queue = process.policies.require().find_queue_by_name("usual")
        assert await process.submitting.cancel(make_id(name), queue, "domes")

    context.world.run(cancel())


@then("nothing of {name} runs after {seconds:g} s")
def step_nothing(context: Any, name: str, seconds: float) -> None:
    async def check() -> None:
        await asyncio.sleep(seconds)
        assert not list_running(context.world, make_id(name))

    context.world.run(check())


@when("the scheduling process dies")
def step_owner_dies(context: Any) -> None:
    async def kill() -> None:
        owner = next(
            process
            for process in context.world.processes.values()
            if process.election.term is not None
        )
        context.dead = owner.name
        await context.world.kill(owner.name)

    context.world.run(kill())


@then("another process schedules within {seconds:g} s")
def step_other_owner(context: Any, seconds: float) -> None:
    def holds() -> bool:
        owner = context.world.find_owner()
        return owner is not None and owner.name != context.dead

    context.world.run(context.world.wait_for(holds, seconds))


@when("the scheduling process is suspended for {seconds:d} s")
def step_suspend(context: Any, seconds: int) -> None:
    async def suspend() -> None:
        owner = context.world.find_owner()
        assert owner is not None, "no process schedules"
        context.dead = owner.name
        # Its renewals stop, and its own clock shows the time that has passed.
        context.world.store.faults.silent.add(owner.name)
        owner.frozen_for += seconds

    context.world.run(suspend())


@then("it gives no order")
def step_no_order(context: Any) -> None:
    async def check() -> None:
        term = context.world.processes[context.dead].election.term
        assert term is None or not term.may_act()

    context.world.run(check())


@when("all processes die and are back after {seconds:g} s")
def step_all_die(context: Any, seconds: float) -> None:
    async def restart() -> None:
        world = context.world
        for name in list(world.processes):
            await world.kill(name)
        await asyncio.sleep(seconds)
        for name in list(world.processes):
            world.add_process(name)

    context.world.run(restart())


@given("the next {count:d} orders to worker {name} are carried out {seconds:g} s late")
def step_late_orders(context: Any, count: int, name: str, seconds: float) -> None:
    context.world.fleet.workers[name].faults.late_orders = [seconds] * count


@when("worker {name} resets every connection for {seconds:g} s from now on")
def step_resets(context: Any, name: str, seconds: float) -> None:
    async def reset() -> None:
        worker = context.world.fleet.workers[name]
        worker.reset_connections()
        loop = asyncio.get_running_loop()
        loop.call_later(seconds, setattr, worker.faults, "resets", False)

    context.world.run(reset())


@when("worker {name} is draining")
def step_drains(context: Any, name: str) -> None:
    async def put() -> None:
        rack = f"r{int(name[1:]) % 2}"
        context.world.list_worker(name, rack=rack, state="draining")

    context.world.run(put())


def find_running_worker(context: Any, task: str) -> FleetWorker:
    """Return a worker that runs a task whose name begins so."""
    worker: FleetWorker = next(
        worker
        for worker in context.world.fleet.workers.values()
        if any(each.startswith(task) for each in worker.runs)
    )
    return worker


@when("a worker that runs {name} is cut off")
def step_cut_running(context: Any, name: str) -> None:
    context.cut = find_running_worker(context, make_id(name))
    context.cut.faults.cut = True


@when("the store goes down and its leases pause")
def step_store_goes(context: Any) -> None:
    context.world.store.faults.down = True
    context.world.store.faults.leases_pause = True


@when("the store is back")
def step_store_back(context: Any) -> None:
    context.world.store.faults.down = False


@given("the answers to the next {count:d} orders to every worker are lost")
def step_lost_answers(context: Any, count: int) -> None:
    for worker in context.world.fleet.workers.values():
        worker.faults.lose_answers = count


@given("worker {name} fails all that it runs")
def step_fails_all(context: Any, name: str) -> None:
    context.world.fleet.workers[name].faults.fails_all = True


@when("every worker that runs both {first} and {second} answers no poll")
def step_unpolled(context: Any, first: str, second: str) -> None:
    workers = [
        worker
        for worker in context.world.fleet.workers.values()
        if all(
            any(task.startswith(make_id(name)) for task in worker.runs)
            for name in (first, second)
        )
    ]
    assert workers, "no worker runs both"
    for worker in workers:
        worker.faults.ignores_polls = True


@when("every worker answers polls again")
def step_polled_again(context: Any) -> None:
    for worker in context.world.fleet.workers.values():
        worker.faults.ignores_polls = False


@when("the entry of {name} names the address of {other}")
def step_foreign_address(context: Any, name: str, other: str) -> None:
    async def put() -> None:
        rack = context.world.fleet.workers[name].entry.rack
        context.world.list_worker(name, make_address(other), rack=rack)

    context.world.run(put())


@when("the entry of {name} is right again")
def step_right_entry(context: Any, name: str) -> None:
    async def put() -> None:
        rack = context.world.fleet.workers[name].entry.rack
        context.world.list_worker(name, rack=rack)

    context.world.run(put())


@when("worker {name} is cut off")
def step_cut(context: Any, name: str) -> None:
    context.world.fleet.workers[name].faults.cut = True


@when("the entry of {name} is gone")
def step_entry_gone(context: Any, name: str) -> None:
    async def remove() -> None:
        context.world.store.remove(f"servers/{name}")

    context.world.run(remove())


@when("worker {name} is back under its name")
def step_back(context: Any, name: str) -> None:
    async def put() -> None:
        context.world.fleet.workers[name].faults.cut = False
        context.world.list_worker(name, rack=f"r{int(name[1:]) % 2}")

    context.world.run(put())


@when("worker {name} crashes and starts again as {other}")
def step_crash(context: Any, name: str, other: str) -> None:
    async def crash() -> None:
        worker = context.world.fleet.workers[name]
        worker.crash()
        context.world.store.remove(f"servers/{name}")
        context.world.add_worker(other, worker.entry.address, rack=worker.entry.rack)

    context.world.run(crash())


@when("worker {name} crashes, and {other} serves at its address beside its entry")
def step_crash_listed(context: Any, name: str, other: str) -> None:
    async def crash() -> None:
        worker = context.world.fleet.workers[name]
        worker.crash()
        context.world.add_worker(other, worker.entry.address, rack=worker.entry.rack)

    context.world.run(crash())


@when("{seconds:g} s pass")
def step_pass(context: Any, seconds: float) -> None:
    context.world.run(asyncio.sleep(seconds))


@when("the store is down for {seconds:g} s")
def step_store_down(context: Any, seconds: float) -> None:
    context.world.run(take_store_down(context.world, seconds))


@when("the answers to the next {count:d} writes are lost")
def step_lost_writes(context: Any, count: int) -> None:
    context.world.store.faults.lose_writes = count


@when("the next {count:d} writes of records are carried out {seconds:g} s late")
def step_late_writes(context: Any, count: int, seconds: float) -> None:
    world = context.world
    apply = world.store.apply
    left = [count]

    def apply_or_delay(conditions: Any, writes: Any, removals: Any) -> Any:
        of_records = any(write.key.startswith("progress/") for write in writes)
        if not of_records or not left[0]:
            return apply(conditions, writes, removals)
        left[0] -= 1
        loop = asyncio.get_running_loop()
        loop.call_later(seconds, apply, conditions, writes, removals)
        raise Failure(ErrorKind.STORE_ANSWER_LOST, "late")

    world.store.apply = apply_or_delay


@then("job {name} is shown as {state} within {seconds:g} s")
def step_state(context: Any, name: str, state: str, seconds: float) -> None:
    wait_for_state(context, name, state, seconds)


@then("the {count:d} jobs {name} are shown as {state} within {seconds:g} s")
def step_states(
    context: Any, count: int, name: str, state: str, seconds: float
) -> None:
    for number in range(count):
        wait_for_state(context, f"{name}{number}", state, seconds)


def wait_for_state(context: Any, name: str, state: str, seconds: float) -> None:
    world = context.world
    job = make_id(name)
    alive = next(
        name
        for name, process in world.processes.items()
        if process.task is not None and not process.task.done()
    )
    world.run(
        world.wait_for_state(alive, job, JobState(state), seconds, context.queues[job])
    )


@then("the fleet's ledger shows nothing wrong")
def step_ledger(context: Any) -> None:
    found = context.world.fleet.violations
    assert not found, json.dumps(found, indent=1)


@then("every task of {name} was started once")
def step_once(context: Any, name: str) -> None:
    starts = Counter(
        task
        for task, _, _ in context.world.fleet.starts
        if task.startswith(make_id(name))
    )
    assert starts and set(starts.values()) == {1}, starts


@then("no task of {name} was started twice")
def step_never_twice(context: Any, name: str) -> None:
    starts = Counter(
        task
        for task, _, _ in context.world.fleet.starts
        if task.startswith(make_id(name))
    )
    assert starts and max(starts.values()) == 1, starts


@then("{name} was started {count:d} times")
def step_times(context: Any, name: str, count: int) -> None:
    starts = [
        task
        for task, _, _ in context.world.fleet.starts
        if task.startswith(make_id(name))
    ]
    assert len(starts) == count, starts


@then("at most {most:d} tasks of {name} ran on one worker")
def step_spread(context: Any, most: int, name: str) -> None:
    counts = Counter(
        worker
        for task, _, worker in context.world.fleet.starts
        if task.startswith(make_id(name))
    )
    assert counts and max(counts.values()) <= most, counts


@then("no task of step {later:d} of {name} started before step {earlier:d} had ended")
def step_order(context: Any, later: int, name: str, earlier: int) -> None:
    job = make_id(name)
    fleet = context.world.fleet
    first = {task for task in fleet.scripts if task.startswith(f"{job}.0.{earlier}.")}
    done = {task for task, _, kind in fleet.ends if kind is EndKind.DONE}
    assert first <= done
    order = [task for task, _, _ in fleet.starts if task.startswith(job)]
    assert all(each in first for each in order[: len(first)]), order


@then("after {seconds:g} s {count:d} tasks of {name} run without it")
def step_moved(context: Any, seconds: float, count: int, name: str) -> None:
    async def check() -> None:
        await asyncio.sleep(seconds)
        context.cut.sweep()
        assert not context.cut.runs
        assert len(list_running(context.world, make_id(name))) == count

    context.world.run(check())

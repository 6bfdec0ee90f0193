"""Gangs on real processes whose owners are killed or paused."""

import signal
import time
from collections import defaultdict
from typing import Any

from behave import given, then, when
from failures_checks import check_gang, group_attempts
from failures_world import World, restart, start_world
from path_steps import list_owned
from tools.launch import call_json

WAVE_RESTARTABLE = 3
GANG_SIZE = 16
GANG_SECONDS = 2.0
POLL_SECONDS = 0.005
SLOW_RECORD_SECONDS = 0.8
BOUND_SECONDS = 60.0


@given("{vms:d} VMs hold the cells")
def start_cells(context: Any, vms: int) -> None:
    context.world = start_world(context, vms)


def submit_wave(
    world: World, name: str, vm: str, seconds: float = GANG_SECONDS
) -> None:
    """Submit gangs that may be run again, and one that may not."""
    ids = [f"{name}-{number}" for number in range(WAVE_RESTARTABLE)]
    sent = [world.callers.submit(world.submit, vm, i, "wide", seconds) for i in ids]
    sent.append(world.callers.submit(world.submit, vm, f"once-{name}", "once", seconds))
    for sending in sent:
        sending.result()


def count_starts(world: World, known: int) -> int:
    return len(world.deployment.workers.read_ledger().tasks) - known


def find_owners(world: World) -> dict[str, str]:
    """Return the VM that owns each cell."""
    return {
        each["cell"]: name
        for name in world.deployment.vms
        for each in world.read_cells(name)
    }


def find_latest_cell(world: World) -> str:
    """Return the cell in which a task started last."""
    runs = world.deployment.workers.read_ledger().tasks
    return max(runs, key=lambda run: run.start).job_id.split(".")[0]


@when("gangs are submitted and the owner is killed after each count of starts")
def kill_owners(context: Any) -> None:
    world: World = context.world
    for row in context.table:
        known = count_starts(world, 0)
        name = f"wave{row['starts']}"
        sending = world.callers.submit(submit_wave, world, name, "vm-1")
        owners = find_owners(world)
        end = time.monotonic() + BOUND_SECONDS
        while count_starts(world, known) < int(row["starts"]):
            assert time.monotonic() < end, world.deployment.describe_logs()
            time.sleep(POLL_SECONDS)
        owner = owners[find_latest_cell(world)]
        world.send_signal(owner, "placer", signal.SIGKILL)
        sending.result()
        restart(world, owner, "placer")
        world.wait_for_owners()


@then("every gang has ended, whole and once")
def check_gangs(context: Any) -> None:
    world: World = context.world
    states = world.wait_for_ends("vm-1", list(world.jobs))
    runs = world.read_runs("")
    for request_id, state in states.items():
        if state == "unknown" and request_id.startswith("once-"):
            # It may not be run again, so its caller is told "unknown".
            continue
        assert state == "finished", (request_id, state, runs[request_id])
        check_gang(runs[request_id], GANG_SIZE)


@then("no gang that may not be run again has started twice")
def check_once(context: Any) -> None:
    for request_id, runs in context.world.read_runs("once-").items():
        assert len(group_attempts(runs)) == 1, (request_id, runs)


@given("gangs run in each cell")
def start_gangs(context: Any) -> None:
    world: World = context.world
    submit_wave(world, "before", "vm-1", seconds=12.0)
    wanted = 2 * (WAVE_RESTARTABLE + 1)
    world.wait_until(lambda: count_starts(world, 0) >= wanted)


@when("the owner of the most cells is paused until others own its cells")
def pause_owner(context: Any) -> None:
    world: World = context.world
    before = dict(list_owned(world.deployment))
    context.paused = world.find_owner()
    context.lost = {each["cell"] for each in world.read_cells(context.paused)}
    world.send_signal(context.paused, "placer", signal.SIGSTOP)
    others = [name for name in world.deployment.vms if name != context.paused]

    def are_taken_over() -> bool:
        found = {
            each["cell"]: each["epoch"]
            for name in others
            for each in world.read_cells(name)
            if each["recovered"]
        }
        return all(found.get(cell, 0) > before[cell] for cell in context.lost)

    world.wait_until(are_taken_over)


@when("it resumes and more gangs are submitted")
def resume_owner(context: Any) -> None:
    world: World = context.world
    sending = world.callers.submit(submit_wave, world, "after", "vm-1")
    world.send_signal(context.paused, "placer", signal.SIGCONT)
    sending.result()


@then("on each worker the epochs of started tasks never fall")
def check_epochs(context: Any) -> None:
    started = defaultdict(list)
    for run in context.world.deployment.workers.read_ledger().tasks:
        started[run.worker].append((run.start, run.epoch))
    for worker, starts in started.items():
        epochs = [epoch for _, epoch in sorted(starts)]
        assert epochs == sorted(epochs), (worker, starts)


@then("each cell has one owner")
def check_owners(context: Any) -> None:
    world: World = context.world
    world.wait_for_owners()
    cells = [name for name, _ in list_owned(world.deployment)]
    assert len(cells) == len(set(cells)), cells


def list_held(world: World) -> list[str]:
    """Return the workers that hold a task not yet told to go."""
    held = []
    for worker in world.deployment.settings.fleet.workers:
        url = f"http://{worker.address}/control/report"
        report = call_json("POST", url, {"cell": "", "epoch": 0})
        if any(task["phase"] == "held" for task in report["tasks"]):
            held.append(worker.name)
    return held


def set_frozen(world: World, worker: str, frozen: bool) -> None:
    world.deployment.workers.set_faults(workers={worker: {"frozen": frozen}})


@when("one member of a gang goes, the other's worker hangs, and the owner dies")
def kill_between_goes(context: Any) -> None:
    world: World = context.world
    owners = find_owners(world)
    # While the store is slow to record the start, both members are held and neither
    # has been told to go.
    store = world.deployment.store
    store.set_faults(store={"slow_seconds": SLOW_RECORD_SECONDS})
    world.submit("vm-1", "halved", "wide", GANG_SECONDS)
    world.wait_until(lambda: len(list_held(world)) == 2 or count_starts(world, 0) > 0)
    held = list_held(world)
    assert len(held) == 2, "it had started before the store was slow"
    context.frozen = held[0]
    set_frozen(world, context.frozen, True)
    world.wait_until(lambda: count_starts(world, 0) == 1)
    world.send_signal(owners[find_latest_cell(world)], "placer", signal.SIGKILL)
    store.set_faults(store={"slow_seconds": 0.0})


@when("the worker answers again")
def unfreeze(context: Any) -> None:
    set_frozen(context.world, context.frozen, False)

"""An outage of the store while real processes serve."""

import signal
import time
from typing import Any

from behave import given, then, when
from failures_checks import check_gang, check_request, group_attempts
from failures_requests_steps import wait_for_runs
from failures_world import TASK_LEASE_SECONDS, World
from path_steps import TEAM

LEASES = 3
GANG_SIZE = 16
WORKER_ACCELERATORS = 8
SEND_EVERY_SECONDS = 1.0
WAITING_SECONDS = 2.0
OTHERS = ("vm-2", "vm-3")
VMS = ("vm-1", *OTHERS)


def set_down(world: World, down: bool) -> None:
    world.deployment.store.set_faults(store={"down": down})


def count_members(world: World, prefix: str) -> int:
    return sum(len(runs) for runs in world.read_runs(prefix).values())


@given("{count:d} gangs of {seconds:d} seconds run")
def start_gangs(context: Any, count: int, seconds: int) -> None:
    start_sized_gangs(context, count, GANG_SIZE, seconds)


@given("{count:d} gangs over {size:d} accelerators run for {seconds:d} seconds")
def start_sized_gangs(context: Any, count: int, size: int, seconds: int) -> None:
    world: World = context.world
    prefix = f"gang{seconds}-"
    for number in range(count):
        request_id = f"{prefix}{number}"
        world.submit("vm-1", request_id, "wide", float(seconds), size=size)
    members = size // WORKER_ACCELERATORS
    world.wait_until(lambda: count_members(world, prefix) == members * count)


@given("{count:d} gangs wait for room")
def add_waiting(context: Any, count: int) -> None:
    for number in range(count):
        request_id = f"waiting-{number}"
        context.world.submit("vm-1", request_id, "wide", WAITING_SECONDS)
    started = context.world.read_runs("waiting-")
    assert not started, started


@given("{count:d} caption passes run when the store goes down")
def start_passes(context: Any, count: int) -> None:
    world: World = context.world
    context.running = [f"running-{number}" for number in range(count)]
    world.start_asking("vm-1", "caption", context.running)
    wait_for_runs(world, "running-", count)
    set_down(world, True)


@when("callers send requests and jobs until three worker leases have passed")
def send_in_outage(context: Any) -> None:
    world: World = context.world
    context.previews, context.refused, context.jobs = [], [], []
    end = time.monotonic() + LEASES * TASK_LEASE_SECONDS
    number = 0
    while time.monotonic() < end:
        for vm in VMS:
            number += 1
            context.previews.append(world.ask(vm, "preview", f"preview-{number}"))
            request_id = f"refused-{number}"
            context.refused.append(world.ask(vm, "caption", request_id, attempt=1))
            body = {"team": TEAM, "class": "wide", "payload": request_id}
            job = world.call(vm, "POST", "/v1/jobs", body, X_Request_Id=request_id)
            context.jobs.append(job)
        time.sleep(SEND_EVERY_SECONDS)
    world.finish_asking()
    set_down(world, False)


@then("every preview was answered")
def check_previews(context: Any) -> None:
    assert context.previews
    for reply in context.previews:
        assert reply is not None
        assert reply.status == 200, reply


@then(
    "every first caption pass and every job was refused as not run, with a retry time"
)
def check_refused(context: Any) -> None:
    for reply in (*context.refused, *context.jobs):
        assert reply is not None
        assert reply.not_run, reply
        assert reply.fields["retry_after"] is not None, reply


@then("the passes that ran when it went down were answered")
def check_running(context: Any) -> None:
    for each in context.running:
        (reply,) = context.world.replies[each]
        assert reply is not None
        assert reply.status == 200, reply


@then("after the store's return the gangs end without a second start")
@then("all gangs end without a second start")
def check_gangs(context: Any) -> None:
    world: World = context.world
    states = world.wait_for_ends("vm-1", list(world.jobs))
    assert set(states.values()) == {"finished"}, states
    for request_id, runs in world.read_runs("").items():
        if request_id not in world.jobs:
            continue
        assert len(group_attempts(runs)) == 1, runs
        check_gang(runs, world.sizes.get(request_id, GANG_SIZE))


@then("repeated passes have their answer and ran once, refused ones did not run")
def check_repeats(context: Any) -> None:
    world: World = context.world
    for each in context.running:
        assert world.ask_until_final("vm-2", "caption", each).status == 200
        check_request(world, each)
    repeated = "refused-1"
    assert world.ask_until_final("vm-3", "caption", repeated).status == 200
    check_request(world, repeated)
    assert not world.read_runs("refused-")
    refused = [each for each in world.replies if each.startswith("refused-")]
    for each in refused:
        if each != repeated:
            assert world.read_requests(each) == [], each


@when("the store goes down, the owner of cells dies, and three worker leases pass")
def kill_in_outage(context: Any) -> None:
    world: World = context.world
    owner = world.find_owner()
    context.started = count_members(world, "")
    set_down(world, True)
    world.send_signal(owner, "placer", signal.SIGKILL)
    time.sleep(LEASES * TASK_LEASE_SECONDS)


@then("the gangs that ran have ended or still run, and nothing new has started")
def check_in_outage(context: Any) -> None:
    runs = context.world.read_runs("")
    assert sum(len(each) for each in runs.values()) == context.started, runs
    for request_id, each in runs.items():
        wanted = "finished" if request_id.startswith("gang8-") else "running"
        assert {run.outcome for run in each} <= {wanted, "finished"}, each


@then("after the store's return each cell has a new or old owner")
def check_owners(context: Any) -> None:
    set_down(context.world, False)
    context.world.wait_for_owners()

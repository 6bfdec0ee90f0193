"""Short requests on real processes whose entry is killed or paused."""

import base64
import json
import signal
import time
from typing import Any

from behave import given, then, when
from failures_checks import check_request
from failures_world import World, start_world
from tools.launch import call_json

SLOW_SECONDS = 0.8
POLL_SECONDS = 0.005
READ_INTERVAL_SECONDS = 0.02
MAX_READS = 500
BOUND_SECONDS = 60.0
# One caller in so many accepts "not run" as final and does not retry.
ACCEPTS_NOT_RUN_EVERY = 3


@given("{vms:d} VMs serve requests")
def start_requests(context: Any, vms: int) -> None:
    context.world = start_world(context, vms)


@given("{vms:d} VMs serve requests and operators")
def start_all(context: Any, vms: int) -> None:
    context.world = start_world(context, vms, ("entry", "placer", "steward"))


def wait_for_runs(world: World, prefix: str, count: int) -> None:
    """Poll at short intervals until so many requests have started to run."""
    end = time.monotonic() + BOUND_SECONDS
    while True:
        ledger = world.deployment.workers.read_ledger()
        runs = [run for run in ledger.requests if run.request_id.startswith(prefix)]
        if len(runs) >= count:
            return
        assert time.monotonic() < end, world.deployment.describe_logs()
        time.sleep(POLL_SECONDS)


@when(
    "{count:d} caption passes are sent to one entry, "
    "which is killed once {running:d} of them run"
)
def kill_entry(context: Any, count: int, running: int) -> None:
    world: World = context.world
    context.passes = [f"pass-{number}" for number in range(count)]
    world.start_asking("vm-1", "caption", context.passes)
    wait_for_runs(world, "pass-", running)
    world.send_signal("vm-1", "entry", signal.SIGKILL)


@when("each caller repeats its pass at another entry until the answer is final")
def repeat_all(context: Any) -> None:
    world: World = context.world
    world.finish_asking()
    cut = [each for each in context.passes if world.replies[each] == [None]]
    assert cut, "the entry was killed after its last answer"
    repeats = [
        world.callers.submit(
            world.ask_until_final,
            "vm-2",
            "caption",
            each,
            accepts_not_run=number % ACCEPTS_NOT_RUN_EVERY == 0,
        )
        for number, each in enumerate(context.passes)
    ]
    for repeat in repeats:
        repeat.result()


@then("each pass ran at most once, and what callers were told is true")
def check_passes(context: Any) -> None:
    world: World = context.world
    for each in context.passes:
        check_request(world, each)
        last = world.replies[each][-1]
        assert last is not None
        if last.not_run:
            assert world.read_requests(each) == [], each


@when("an entry is paused while its claim is written, and a repeat ends elsewhere")
def pause_at_claim(context: Any) -> None:
    world: World = context.world
    # The shared lease of claims is granted with the first pass.
    assert world.ask("vm-1", "caption", "warm") is not None
    world.deployment.store.set_faults(store={"slow_seconds": SLOW_SECONDS})
    known = world.deployment.store.read_calls()["txn"]
    world.start_asking("vm-1", "caption", ["paused-claim"])
    end = time.monotonic() + BOUND_SECONDS
    while world.deployment.store.read_calls()["txn"] == known:
        assert time.monotonic() < end, world.deployment.describe_logs()
        time.sleep(POLL_SECONDS)
    context.passes = ["paused-claim"]
    finish_elsewhere(world, "paused-claim")


@when("an entry is paused while its dispatch is written, and a repeat ends elsewhere")
def pause_at_dispatch(context: Any) -> None:
    world: World = context.world
    world.deployment.store.set_faults(store={"slow_seconds": SLOW_SECONDS})
    world.start_asking("vm-1", "caption", ["paused-dispatch"])
    # Reads overlap, since each of them is as slow as the write that it waits for.
    for _ in range(MAX_READS):
        reading = world.callers.submit(read_claim, world, "paused-dispatch")
        context.reads = [*getattr(context, "reads", []), reading]
        time.sleep(READ_INTERVAL_SECONDS)
        if any(each.done() and each.result() == "claimed" for each in context.reads):
            break
    else:
        raise AssertionError("the claim was never seen")
    context.passes.append("paused-dispatch")
    finish_elsewhere(world, "paused-dispatch")


def read_claim(world: World, request_id: str) -> str:
    """Return the state of a claim in the store; empty when there is none."""
    key = f"claims/producers/{request_id}".encode()
    url = f"http://{world.deployment.store_address}/v3/kv/range"
    answer = call_json("POST", url, {"key": base64.b64encode(key).decode()})
    found = answer.get("kvs", [])
    if not found:
        return ""
    return str(json.loads(base64.b64decode(found[0]["value"]))["state"])


def finish_elsewhere(world: World, request_id: str) -> None:
    """Pause the first entry until a repeat at another has its final answer."""
    world.send_signal("vm-1", "entry", signal.SIGSTOP)
    world.deployment.store.set_faults(store={"slow_seconds": 0.0})
    # Its write is still in flight, and the repeat must not be sent before it lands.
    world.wait_until(lambda: bool(read_claim(world, request_id)))
    world.ask_until_final("vm-2", "caption", request_id)
    world.send_signal("vm-1", "entry", signal.SIGCONT)
    world.finish_asking()
    # The first entry has finished its pending work once it has answered another pass
    # that was sent later.
    reply = world.ask_until_final("vm-1", "caption", f"after-{request_id}")
    assert reply.status == 200, reply

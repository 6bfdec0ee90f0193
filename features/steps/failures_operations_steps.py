"""Rolling restarts, racing operators and mass cancellations."""

import subprocess
import threading
import time
from functools import partial
from typing import Any

from behave import given, then, when
from failures_outages_steps import VMS
from failures_world import World, restart
from tools.launch import is_ready

BALANCER_SECONDS = 0.5
LOAD_CALLERS = 6
CAPTION_EVERY = 20
EXIT_BOUND_SECONDS = 60.0
INITIAL_QUEUE_LIMIT = 1000
RAISED_COUNT = 8
RAISED = ("producers", "planetaria")
CANCEL_SECONDS = 30.0
CANCEL_BOUND_SECONDS = 60.0
PAUSE_SECONDS = 0.2


class Balancer:
    """Routes callers to entries that were ready at its last poll."""

    def __init__(self, world: World) -> None:
        self.replies: list[tuple[str, Any]] = []
        self._world = world
        self._ready = list(VMS)
        self._ended = threading.Event()
        self._threads = [threading.Thread(target=self._poll)]
        self._threads += [
            threading.Thread(target=self._send, args=(number,))
            for number in range(LOAD_CALLERS)
        ]
        for each in self._threads:
            each.start()

    def _poll(self) -> None:
        while not self._ended.wait(BALANCER_SECONDS):
            replies = {vm: self._world.call(vm, "GET", "/readyz") for vm in VMS}
            self._ready = [
                vm for vm, reply in replies.items() if reply and reply.status == 200
            ]

    def _send(self, caller: int) -> None:
        number = 0
        while not self._ended.is_set():
            number += 1
            ready = self._ready
            vm = ready[(caller + number) % len(ready)] if ready else VMS[0]
            name = "caption" if number % CAPTION_EVERY == 0 else "preview"
            request_id = f"rolled-{caller}-{number}"
            reply = self._world.ask(vm, name, request_id, attempt=1)
            self.replies.append((request_id, reply))

    def end(self) -> None:
        self._ended.set()
        for each in self._threads:
            each.join()


@given("callers follow the readiness of entries with a lag")
def start_callers(context: Any) -> None:
    context.balancer = Balancer(context.world)
    context.cleanups.append(context.balancer.end)


@when("each VM in turn is shut down and replaced")
def roll(context: Any) -> None:
    world: World = context.world
    context.exits = {}
    context.bad_ends = {}
    for name in VMS:
        programs = dict(world.deployment.vms[name].programs)
        world.deployment.drain_vm(name)
        for kind, program in programs.items():
            try:
                code = program.process.wait(EXIT_BOUND_SECONDS)
            except subprocess.TimeoutExpired:
                code = None
            context.exits[program.name] = code
            if code != 0:
                # The restart overwrites the log, so the cause is read now.
                context.bad_ends[program.name] = program.read_log_tail()
            restart(world, name, kind)
        world.deployment.workers.set_faults(vms={name: False})
        for program in world.deployment.vms[name].programs.values():
            world.wait_until(partial(is_ready, program))
        world.wait_for_owners()
        # The balancer must see the new entry before the next one is shut down.
        time.sleep(2 * BALANCER_SECONDS)
    context.balancer.end()


@then("each program exited with code 0")
def check_exits(context: Any) -> None:
    shown = "\n".join(f"{name}:\n{log}" for name, log in context.bad_ends.items())
    assert set(context.exits.values()) == {0}, f"{context.exits}\n{shown}"


@then("no request was interrupted or refused")
def check_replies(context: Any) -> None:
    assert context.balancer.replies
    wrong = [
        (request_id, reply)
        for request_id, reply in context.balancer.replies
        if reply is None or reply.status != 200
    ]
    assert not wrong, (len(wrong), len(context.balancer.replies), wrong[:5])


def send_together(world: World, path: str, values: list[Any]) -> list[Any]:
    """Send changes of one revision through different stewards at once."""
    revision = world.read_setting("vm-1", path)["revision"]
    barrier = threading.Barrier(len(values))

    def send(vm: str, value: Any) -> Any:
        barrier.wait()
        return world.change_setting(vm, path, revision, value)

    sent = [
        world.callers.submit(send, vm, value)
        for vm, value in zip(VMS, values, strict=False)
    ]
    return [each.result() for each in sent]


def check_one_won(replies: list[Any]) -> Any:
    """Check that one change was accepted and the other refused; return the other."""
    won = [each for each in replies if each is not None and each.status == 200]
    lost = [each for each in replies if each is not None and each.status == 409]
    assert (len(won), len(lost)) == (1, 1), replies
    assert lost[0].fields["error"] == "conflict", lost
    assert lost[0].fields["ran"] == "not run", lost
    assert lost[0].fields["remedy"], lost
    return lost[0]


@when("two operators send a change of the same revision at once, {times:d} times")
def race(context: Any, times: int) -> None:
    world: World = context.world
    context.path = "policy"
    context.races = []
    for number in range(times):
        value = world.read_setting("vm-1", "policy")["value"]
        values = [
            {**value, "queue_limit": INITIAL_QUEUE_LIMIT + 10 * number + operator}
            for operator in range(2)
        ]
        replies = send_together(world, "policy", values)
        context.races.append((values, replies))


@then("each time one was accepted and the other was told of a conflict")
def check_races(context: Any) -> None:
    for values, replies in context.races:
        check_one_won(replies)
        winner = next(
            value
            for value, reply in zip(values, replies, strict=True)
            if reply.status == 200
        )
        context.value = winner


@then("every process has the last accepted change")
def check_applied(context: Any) -> None:
    world: World = context.world
    shown = [world.read_setting(vm, context.path) for vm in VMS]
    assert all(each == shown[0] for each in shown), shown
    assert shown[0]["value"] == context.value, (shown[0], context.value)
    world.wait_for_applied(context.path, shown[0]["revision"])


def raise_guarantee(value: Any, organisation: str) -> Any:
    """Return the guarantees with more whole workers for an organisation."""
    guarantees = [
        {**each, "count": RAISED_COUNT}
        if each["organisation"] == organisation and each["shape"]["accelerators"] == 8
        else each
        for each in value["guarantees"]
    ]
    return {**value, "guarantees": guarantees}


@when("two operators raise the guarantees of two organisations at once")
def race_guarantees(context: Any) -> None:
    world: World = context.world
    context.path = "guarantees"
    value = world.read_setting("vm-1", "guarantees")["value"]
    context.values = [raise_guarantee(value, each) for each in RAISED]
    context.replies = send_together(world, "guarantees", context.values)


@then("one raise was accepted and the other was told of a conflict")
def check_raise(context: Any) -> None:
    check_one_won(context.replies)
    statuses = [each.status for each in context.replies]
    context.winner = statuses.index(200)
    context.value = context.values[context.winner]


@then("the other's raise on top of it is refused with the reason")
def check_impossible(context: Any) -> None:
    world: World = context.world
    shown = world.read_setting("vm-2", "guarantees")
    both = raise_guarantee(shown["value"], RAISED[1 - context.winner])
    reply = world.change_setting("vm-2", "guarantees", shown["revision"], both)
    assert reply is not None
    assert reply.status == 422, reply
    assert reply.fields["error"] == "invalid_settings", reply
    assert reply.fields["faults"], reply


@when("{count:d} jobs are submitted and each is cancelled at once")
def submit_and_cancel(context: Any, count: int) -> None:
    world: World = context.world
    context.cancelled = [f"cancelled-{number}" for number in range(count)]
    sent = [
        world.callers.submit(cancel_at_once, world, each, VMS[number % 3])
        for number, each in enumerate(context.cancelled)
    ]
    for each in sent:
        each.result()


def cancel_at_once(world: World, request_id: str, vm: str) -> None:
    """Submit a job at one entry and cancel it at another until that is accepted."""
    world.submit("vm-1", request_id, "small", CANCEL_SECONDS)
    end = time.monotonic() + CANCEL_BOUND_SECONDS
    while True:
        reply = world.call(vm, "DELETE", f"/v1/jobs/{world.jobs[request_id]}")
        if reply is not None and reply.status == 200:
            return
        assert time.monotonic() < end, reply
        time.sleep(PAUSE_SECONDS)


@then("all of them end as cancelled and none of them runs to its end")
def check_cancelled(context: Any) -> None:
    world: World = context.world
    states = world.wait_for_ends("vm-2", context.cancelled)
    assert set(states.values()) == {"cancelled"}, states
    for runs in world.read_runs("cancelled-").values():
        assert all(run.outcome == "stopped" for run in runs), runs
    for each in context.cancelled:
        del world.jobs[each]

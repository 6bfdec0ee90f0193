"""A store that loses answers or is slow, and connections that go silent."""

import threading
import time
from typing import Any

from behave import given, then, when
from failures_checks import check_gang, check_request, group_attempts
from failures_gangs_steps import GANG_SIZE, submit_wave
from failures_outages_steps import VMS
from failures_requests_steps import SLOW_SECONDS
from failures_world import World
from tools.launch import StandinControl

LOSE_EVERY_SECONDS = 0.05
JOBS = 5
PASSES = 10
CHANGES = 8
INITIAL_QUEUE_LIMIT = 1000
PREVIEWS = 5
GANG_SECONDS = 1.0


class AnswerDropper:
    """Makes the store drop the answer to one write after the other."""

    def __init__(self, store: StandinControl) -> None:
        self._store = store
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def _run(self) -> None:
        while not self._ended.wait(LOSE_EVERY_SECONDS):
            self._store.set_faults(store={"lose_answers": 1})
        self._store.set_faults(store={"lose_answers": 0})

    def end(self) -> None:
        self._ended.set()
        self._thread.join()


@given("answers of the store are lost repeatedly")
def start_dropping(context: Any) -> None:
    context.answer_dropper = AnswerDropper(context.world.deployment.store)
    context.cleanups.append(context.answer_dropper.end)


@when(
    "the same jobs are submitted through two entries, with passes and changes between"
)
def submit_all(context: Any) -> None:
    world: World = context.world
    context.seen = []
    sent = []
    for number in range(JOBS):
        request_id = f"lost-{number}"
        for vm in VMS[:2]:
            arguments = (vm, request_id, "wide", GANG_SECONDS)
            sending = world.callers.submit(world.submit, *arguments)
            sent.append((request_id, sending))
    context.passes = [f"between-{number}" for number in range(PASSES)]
    passes = [
        world.callers.submit(world.ask_until_final, VMS[number % 3], "caption", each)
        for number, each in enumerate(context.passes)
    ]
    change_often(context)
    context.named = [
        (each, sending.result().fields["job_id"]) for each, sending in sent
    ]
    for each in passes:
        each.result()
    context.answer_dropper.end()


def change_often(context: Any) -> None:
    """Change one path repeatedly; the next read settles a lost answer."""
    world: World = context.world
    context.accepted = []
    for number in range(CHANGES):
        vm = VMS[number % 3]
        shown = world.read_setting(vm, "policy")
        value = {**shown["value"], "queue_limit": INITIAL_QUEUE_LIMIT + number}
        reply = world.change_setting(vm, "policy", shown["revision"], value)
        if reply is not None and reply.status == 200:
            context.accepted.append(
                (reply.fields["revision"], INITIAL_QUEUE_LIMIT + number)
            )
        context.seen.append(world.read_applied())
    assert context.accepted


@then("each submission names one job, and each job ends whole and once")
def check_submissions(context: Any) -> None:
    world: World = context.world
    assert len(set(context.named)) == JOBS, context.named
    states = world.wait_for_ends("vm-1", list(world.jobs))
    assert set(states.values()) == {"finished"}, states
    for request_id, runs in world.read_runs("").items():
        assert request_id in world.jobs, runs
        check_gang(runs, GANG_SIZE)


@then("each pass between ran at most once, and what callers were told is true")
def check_passes_between(context: Any) -> None:
    for each in context.passes:
        check_request(context.world, each)


@then("every process has the last accepted change, and none applied an older one")
def check_settings(context: Any) -> None:
    world: World = context.world
    shown = world.read_setting("vm-1", "policy")
    world.wait_for_applied("policy", shown["revision"])
    context.seen.append(world.read_applied())
    for name in context.seen[-1]:
        revisions = [each[name].get("policy", 0) for each in context.seen]
        assert revisions == sorted(revisions), (name, revisions)
    history = world.call("vm-2", "GET", "/v1/history/policy", kind="steward")
    assert history is not None
    kept = {
        each["revision"]: each["after"]["queue_limit"]
        for each in history.fields["entries"]
    }
    for revision, limit in context.accepted:
        assert kept[revision] == limit, (revision, limit, kept)
    assert shown["value"]["queue_limit"] == kept[shown["revision"]], (shown, kept)


@given("the store takes {seconds:f} seconds for each call")
def slow_down(context: Any, seconds: float) -> None:
    assert seconds == SLOW_SECONDS
    store = context.world.deployment.store
    store.set_faults(store={"slow_seconds": SLOW_SECONDS})


@when("a caption pass is sent, and previews one after the other")
def send_both(context: Any) -> None:
    world: World = context.world
    world.start_asking("vm-1", "caption", ["slow-pass"])
    context.previews = [
        world.ask("vm-1", "preview", f"quick-{number}") for number in range(PREVIEWS)
    ]
    world.finish_asking()


@then("the previews were answered before the pass")
def check_order(context: Any) -> None:
    (last,) = context.world.replies["slow-pass"]
    assert last is not None
    assert last.status == 200, last
    for reply in context.previews:
        assert reply is not None
        assert reply.status == 200, reply
        assert reply.time < last.time, (reply, last)


@then("gangs that are submitted now, whose owner is killed, end whole and once")
def check_slow_gangs(context: Any) -> None:
    world: World = context.world
    submit_wave(world, "slow", "vm-1")
    world.wait_until(lambda: bool(world.read_runs("")))
    owner = world.find_owner()
    world.deployment.kill_vm(owner)
    alive = next(vm for vm in VMS if vm != owner)
    states = world.wait_for_ends(alive, list(world.jobs))
    for request_id, runs in world.read_runs("").items():
        if request_id.startswith("once-"):
            assert len(group_attempts(runs)) == 1, runs
        else:
            assert states[request_id] == "finished", states
            check_gang(runs, GANG_SIZE)


@given("previews have been answered through each entry")
@then("previews through each entry are answered")
def check_previews(context: Any) -> None:
    world: World = context.world
    for number in range(PREVIEWS):
        for vm in VMS:
            reply = world.ask(vm, "preview", f"preview-{number}-{time.monotonic()}")
            assert reply is not None
            assert reply.status == 200, reply


@when("all open connections to the workers and the store go silent")
def silence_connections(context: Any) -> None:
    deployment = context.world.deployment
    # While the fault is on, each further fault request would silence new connections.
    for silent in (True, False):
        deployment.workers.set_faults(workers={"*": {"silent": silent}})
        deployment.store.set_faults(store={"silent": silent})


@then("a change of settings comes into force everywhere")
def check_change(context: Any) -> None:
    world: World = context.world
    shown = world.read_setting("vm-2", "policy")
    value = {**shown["value"], "queue_limit": INITIAL_QUEUE_LIMIT}
    reply = world.change_setting("vm-2", "policy", shown["revision"], value)
    assert reply is not None
    assert reply.status == 200, reply
    world.wait_for_applied("policy", shown["revision"] + 1)

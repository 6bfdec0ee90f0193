"""Workers that fail every task, leave or are partitioned."""

import threading
import time
from typing import Any

from behave import given, then, when
from failures_checks import check_gang, group_attempts
from failures_world import World

VMS = ("vm-1", "vm-2", "vm-3")
FAILING = "fail"
LONG_SECONDS = 20.0
SHORT_SECONDS = 0.5
LISTED_LAG_SECONDS = 0.5
LEAVING_BOUND_SECONDS = 5.0
LOAD_SECONDS = 12.0
LOAD_CALLERS = 8
SUBMIT_EVERY_SECONDS = 0.25
NEVER_SECONDS = 3600.0
GUARANTEED_TEAM = "dome-operations"
GUARANTEED_COUNT = 3


@given("a worker on which work runs begins to fail every task")
def break_worker(context: Any) -> None:
    world: World = context.world
    world.submit("vm-1", "first", "small", SHORT_SECONDS)
    world.wait_until(lambda: bool(world.read_runs("first")))
    context.bad = world.read_runs("first")["first"][0].worker
    world.wait_for_ends("vm-1", ["first"])
    world.deployment.workers.set_faults(workers={context.bad: {"fail_tasks": True}})


@when("{count:d} small jobs are submitted, and one that fails everywhere")
def submit_small(context: Any, count: int) -> None:
    world: World = context.world
    context.small = [f"small-{number}" for number in range(count)]
    sent = [
        world.callers.submit(world.submit, "vm-1", each, "small", SHORT_SECONDS)
        for each in (*context.small, FAILING)
    ]
    for each in sent:
        each.result()


@then("that worker is in quarantine and no other")
def check_quarantine(context: Any) -> None:
    world: World = context.world

    def list_quarantined() -> set[str]:
        pages = [each for vm in VMS for each in world.read_cells(vm)]
        return {name for each in pages for name in each["quarantined"]}

    world.wait_until(lambda: bool(list_quarantined()))
    world.wait_for_ends("vm-1", [*context.small, FAILING])
    assert list_quarantined() == {context.bad}, list_quarantined()


@then("the job that fails everywhere ends as failed, and the others finish")
def check_failed(context: Any) -> None:
    states = context.world.wait_for_ends("vm-1", [*context.small, FAILING])
    assert states.pop(FAILING) == "failed", states
    assert set(states.values()) == {"finished"}, states
    for runs in context.world.read_runs("small-").values():
        finished = [run for run in runs if run.outcome == "finished"]
        assert len(finished) == 1, runs


@given("gangs run on a worker and on another")
def start_two(context: Any) -> None:
    world: World = context.world
    for name, job_class in (("wide-job", "wide"), ("small-job", "small")):
        world.submit("vm-1", name, job_class, LONG_SECONDS)
    world.wait_until(lambda: len(world.read_runs("")) == 2)
    runs = world.read_runs("")
    context.listed = runs["wide-job"][0].worker
    context.announcing = runs["small-job"][0].worker


class PreviewLoad:
    """Callers that send previews one after the other until `end` is called."""

    def __init__(self, world: World) -> None:
        self.replies: list[Any] = []
        self._world = world
        self._ended = threading.Event()
        self._callers = [
            world.callers.submit(self._run, number) for number in range(LOAD_CALLERS)
        ]

    def _run(self, caller: int) -> None:
        number = 0
        while not self._ended.is_set():
            number += 1
            vm = VMS[(caller + number) % len(VMS)]
            request_id = f"load-{caller}-{number}"
            self.replies.append(self._world.ask(vm, "preview", request_id))

    def end(self) -> None:
        self._ended.set()
        for each in self._callers:
            each.result()


@when("the VM list reports one as leaving and the other reports it itself, under load")
def leave(context: Any) -> None:
    world: World = context.world
    workers = world.deployment.workers
    context.load = PreviewLoad(world)
    wait_for_work(world, context.listed)
    wait_for_work(world, context.announcing)
    context.left_at = time.monotonic()
    workers.set_faults(vms={context.listed: True})
    # The list reports the second one only long after the scenario.
    workers.set_faults(lag_seconds=NEVER_SECONDS, leave=[context.announcing])
    end = time.monotonic() + LOAD_SECONDS
    number = 0
    while time.monotonic() < end:
        number += 1
        world.submit("vm-2", f"late-{number}", "small", SHORT_SECONDS)
        time.sleep(SUBMIT_EVERY_SECONDS)
    context.load.end()


def wait_for_work(world: World, worker: str) -> None:
    """Wait until a worker has run a request; otherwise getting none proves little."""
    ledger = world.deployment.workers.read_ledger
    world.wait_until(lambda: any(run.worker == worker for run in ledger().requests))


@then("neither got new work after 5 seconds and the list's lag")
def check_no_work(context: Any) -> None:
    ledger = context.world.deployment.workers.read_ledger()
    latest = context.left_at + LEAVING_BOUND_SECONDS + LISTED_LAG_SECONDS
    for run in (*ledger.requests, *ledger.tasks):
        if run.worker in (context.listed, context.announcing):
            assert run.start <= latest, (run, context.left_at)


@then("the jobs there have finished there or elsewhere, and every preview was answered")
def check_moved(context: Any) -> None:
    world: World = context.world
    states = world.wait_for_ends("vm-1", list(world.jobs))
    assert set(states.values()) == {"finished"}, states
    check_gang(world.read_runs("wide-job")["wide-job"], 16)
    check_gang(world.read_runs("small-job")["small-job"], 1)
    for reply in context.load.replies:
        assert reply is not None
        assert reply.status == 200, reply


@when("all workers of the failure domain where they run are partitioned")
def cut_off(context: Any) -> None:
    world: World = context.world
    domain = context.listed.split("-")[0]
    names = [each.name for each in world.deployment.settings.fleet.workers]
    context.cut = [each for each in names if each.startswith(domain)]
    world.deployment.workers.set_faults(
        workers={each: {"frozen": True} for each in context.cut}
    )


@when("an organisation submits jobs for its whole guarantee")
def submit_guaranteed(context: Any) -> None:
    world: World = context.world
    context.guaranteed = [f"guaranteed-{n}" for n in range(GUARANTEED_COUNT)]
    for each in context.guaranteed:
        name, team = "starfield-render", GUARANTEED_TEAM
        world.submit("vm-1", each, name, SHORT_SECONDS, team=team)


@then("the jobs for the guarantee and the gangs have finished elsewhere, once")
def check_elsewhere(context: Any) -> None:
    world: World = context.world
    states = world.wait_for_ends("vm-1", list(world.jobs))
    assert set(states.values()) == {"finished"}, states
    runs = world.read_runs("")
    for each in context.guaranteed:
        check_gang(runs[each], 8)
    for name, size in (("wide-job", 16), ("small-job", 1)):
        check_gang(runs[name], size)
    for each in runs.values():
        for members in group_attempts(each).values():
            if any(run.worker in context.cut for run in members):
                assert all(run.outcome == "stopped" for run in members), members

"""Targets whose answers are late, swapped or truncated."""

from typing import Any

from behave import given, then, when
from failures_checks import check_request
from failures_outages_steps import VMS
from failures_world import World

# By failure domain, so that a retry finds targets of each kind.
FAULTS = {
    "osborne": {"late_seconds": 0.5},
    "malaga": {"crossed": True},
    "welshpool": {"truncated": True},
}


@given("a third of the targets each answers late, swapped or truncated")
def set_faults(context: Any) -> None:
    deployment = context.world.deployment
    faults = {
        each.name: FAULTS[each.name.split("-")[0]]
        for each in deployment.settings.fleet.workers
    }
    deployment.workers.set_faults(workers=faults)


@when("{previews:d} previews and {passes:d} passes are sent concurrently")
def send_many(context: Any, previews: int, passes: int) -> None:
    world: World = context.world
    context.previews = [f"preview-{number}" for number in range(previews)]
    context.passes = [f"pass-{number}" for number in range(passes)]
    for number, vm in enumerate(VMS):
        world.start_asking(vm, "preview", context.previews[number::3])
        world.start_asking(vm, "caption", context.passes[number::3])
    world.finish_asking()


@then("each caller has its own whole answer or a true error")
def check_answers(context: Any) -> None:
    world: World = context.world
    for each in context.previews:
        (reply,) = world.replies[each]
        assert reply is not None
        if reply.status == 200:
            assert reply.body == f"answer to {each}: {each}".encode(), (each, reply)
        elif reply.not_run:
            assert world.read_requests(each) == [], (each, reply)
    for each in context.passes:
        check_request(world, each)


@then("some faulty answers were detected")
def check_caught(context: Any) -> None:
    world: World = context.world
    ids = (*context.previews, *context.passes)
    replies = [reply for each in ids for reply in world.replies[each]]
    assert any(reply is not None and reply.status != 200 for reply in replies)
    assert any(reply is not None and reply.status == 200 for reply in replies)

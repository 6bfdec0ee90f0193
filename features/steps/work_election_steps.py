"""Steps for the processes that wait for the ownership."""

from typing import Any

from behave import then, when

from primrosestile.coordination.work.keys import OWNER_KEY


@when("the store has dropped the history of the owner's key")
def step_compact(context: Any) -> None:
    world = context.world
    world.store.put("op/other", b"{}")
    world.store.compact()
    world.store.calls_by_key.clear()
    context.began = world.runner.get_loop().time()


@then(
    "the waiting processes made at most {most:g} calls a second each for the"
    " owner's key"
)
def step_calls(context: Any, most: float) -> None:
    world = context.world
    seconds = world.runner.get_loop().time() - context.began
    waiting = len(world.processes) - 1
    calls = world.store.calls_by_key[OWNER_KEY]
    assert 0 < calls <= most * seconds * waiting, calls / seconds / waiting


@when("the scheduling process hands over")
def step_hand_over(context: Any) -> None:
    async def leave() -> None:
        owner = context.world.find_owner()
        assert owner is not None, "no process schedules"
        context.dead = owner.name
        await owner.election.leave()

    context.world.run(leave())

"""Steps for workers whose answers hold a wrong figure."""

from typing import Any

from behave import when

# A change of owner, and a look.
TOLD_SECONDS = 6.0
# More answers than anybody waits for.
FOR_GOOD = 1000


@when(
    "worker {name} tells a time that is {wrong:g} s wrong in its next {count:d} answers"
)
def step_wrong_time(context: Any, name: str, wrong: float, count: int) -> None:
    """Return as soon as those answers are given."""
    world = context.world
    jumps = world.fleet.workers[name].faults.clock_jumps
    jumps += [wrong] * count

    async def wait() -> None:
        if count < FOR_GOOD:
            await world.wait_for(lambda: not jumps, TOLD_SECONDS + count)

    world.run(wait())


@when(
    "each worker numbers the last end too high by {much:d} in its next {count:d} looks"
)
def step_wrong_number(context: Any, much: int, count: int) -> None:
    for worker in context.world.fleet.workers.values():
        worker.faults.number_jumps = [much] * count


@when("the store takes {seconds:g} s for each call")
def step_slow_store(context: Any, seconds: float) -> None:
    context.world.store.faults.slow_seconds = seconds

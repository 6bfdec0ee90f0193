"""Steps for workers whose answers contain a wrong figure."""

from typing import Any

from behave import when

# Covers a change of owner and a poll.
ANSWER_TIMEOUT_SECONDS = 6.0
# With this many wrong answers the step does not wait for them.
UNBOUNDED_ANSWERS = 1000


@when(
    "worker {name} returns a time that is {wrong:g} s wrong in its next {count:d}"
    " answers"
)
def step_wrong_time(context: Any, name: str, wrong: float, count: int) -> None:
    """Return as soon as the worker has given those answers."""
    world = context.world
    jumps = world.fleet.workers[name].faults.clock_jumps
    jumps += [wrong] * count

    async def wait() -> None:
        if count < UNBOUNDED_ANSWERS:
            await world.wait_for(lambda: not jumps, ANSWER_TIMEOUT_SECONDS + count)

    world.run(wait())


@when(
    "each worker numbers the last end too high by {much:d} in its next {count:d} polls"
)
def step_wrong_number(context: Any, much: int, count: int) -> None:
    for worker in context.world.fleet.workers.values():
        worker.faults.number_jumps = [much] * count


@when("the store takes {seconds:g} s for each call")
def step_slow_store(context: Any, seconds: float) -> None:
    context.world.store.faults.slow_seconds = seconds

"""Steps for starts that share the link of the owner's VM."""

import asyncio
from typing import Any

from behave import given, then, when

from primrosestile.coordination.work.order_window import OrderWindow
from primrosestile.platform.store import find_transfer_seconds

USUAL = (True, 1)


@given("starts with arguments of {size:d} bytes over a link of {megabits:g} Mbit/s")
def step_starts(context: Any, size: int, megabits: float) -> None:
    context.seconds = find_transfer_seconds(size, megabits)


async def send(window: OrderWindow, seconds: float, sent: list[asyncio.Event]) -> None:
    """Send one start that is answered once its event is set."""
    answered = asyncio.Event()
    async with window.reserve(seconds, USUAL):
        sent.append(answered)
        await answered.wait()


async def settle() -> None:
    """Let all tasks run until they wait."""
    for _ in range(5):
        await asyncio.sleep(0)


@when("{count:d} of them are to be sent at once")
def step_send(context: Any, count: int) -> None:
    async def play() -> None:
        window = OrderWindow()
        sent: list[asyncio.Event] = []
        sends = [
            asyncio.create_task(send(window, context.seconds, sent))
            for _ in range(count)
        ]
        await settle()
        context.together = len(sent)
        sent[0].set()
        await settle()
        context.after_one = len(sent)
        # The next ones are cancelled just as they are admitted, the rest later.
        sent[1 % len(sent)].set()
        for task in sends[1::2]:
            task.cancel()
        await settle()
        for task in sends:
            task.cancel()
        await asyncio.gather(*sends, return_exceptions=True)
        async with window.reserve(1000.0, USUAL) as queued:
            context.left_over = queued

    context.count = count
    asyncio.run(play())


@then("{together:d} are sent together, and the others as these are answered")
def step_together(context: Any, together: int) -> None:
    assert context.together == together, context.together
    assert context.after_one == min(together + 1, context.count), context.after_one


@then("none holds a share of the link after all were sent or cancelled")
def step_none_left(context: Any) -> None:
    assert context.left_over is False

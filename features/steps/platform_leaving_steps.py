"""Steps for a process that ends while callers use it."""

import asyncio
import os
import signal
from typing import Any

import aiohttp
from behave import then, when
from features.doubles.fleet_world import HOST

from primrosestile.clock import read_clock

QUERY_PATH = "/usual/00000000000000aa"
TIMEOUT_SECONDS = 10.0


async def ask_until_gone(
    url: str, interval: float, answers: list[tuple[float, int, bool]]
) -> None:
    """Query until nothing listens; record time, status and whether it closes."""
    headers = {"Host": HOST, "Authorization": "Token key-domes"}
    async with aiohttp.ClientSession(headers=headers) as session:
        while True:
            try:
                async with session.get(url) as response:
                    await response.read()
                    closes = response.headers.get("Connection", "") == "close"
                    answers.append((read_clock(), response.status, closes))
            except aiohttp.ClientConnectorError:
                return
            await asyncio.sleep(interval)


@when(
    "{count:d} callers ask for its state every {interval:g} s while the process is told"
    " to end"
)
def step_ask(context: Any, count: int, interval: float) -> None:
    platform = context.platform
    context.answers = []
    url = f"http://127.0.0.1:{platform.ports['front']}{QUERY_PATH}"

    async def ask() -> None:
        asking = [
            asyncio.create_task(ask_until_gone(url, interval, context.answers))
            for _ in range(count)
        ]
        await asyncio.sleep(0.3)
        os.kill(os.getpid(), signal.SIGTERM)
        context.told_at = read_clock()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await asyncio.gather(*asking)

    platform.runner.run(ask())


@then("they were answered until nothing listened any more")
def step_answered(context: Any) -> None:
    statuses = {status for _, status, _ in context.answers}
    assert statuses == {200}, statuses


@then("each answer of the last {seconds:g} s closed its connection")
def step_closed(context: Any, seconds: float) -> None:
    last = max(at for at, _, _ in context.answers)
    assert last - context.told_at > seconds, last - context.told_at
    kept = [at for at, _, closes in context.answers if not closes]
    assert all(at < last - seconds for at in kept), kept

"""Steps for asking an owner over HTTP for its summary of the load."""

import asyncio
import math
import socket
from typing import Any

from aiohttp import web
from behave import given, then, when

from primrosestile.clock import read_clock
from primrosestile.errors import Failure
from primrosestile.state.load import (
    MAX_SUMMARY_BYTES,
    LoadSummary,
    QueueLoad,
    encode_load,
)
from primrosestile.transport.connections import Connections
from primrosestile.transport.load_views import LOAD_VIEW_PATH, HttpLoadViews

SUMMARY = LoadSummary(5, 7, 0.5, {"usual": QueueLoad("engine", 8, 1.0, 8.0, 4.0)})
BAD = LoadSummary(5, 7, 0.5, {"usual": QueueLoad("engine", 8, 1.0, math.nan)})
BODIES = {
    "a summary": encode_load(SUMMARY),
    "404": b"",
    "broken": b"\xc1",
    "of bad ranges": encode_load(BAD),
    "too large": bytes(MAX_SUMMARY_BYTES + 1),
    "nested deeply": b"\x91" * 50_000,
    "never sent": b"",
}


@given("an owner whose answer to a load query is {answer}")
def step_owner(context: Any, answer: str) -> None:
    context.answer = answer


@when("it is asked for the load")
def step_ask(context: Any) -> None:
    asyncio.run(ask(context))


async def ask(context: Any) -> None:
    async def answer(request: web.BaseRequest) -> web.Response:
        assert (request.method, request.path) == ("GET", LOAD_VIEW_PATH)
        if context.answer == "never sent":
            await asyncio.sleep(5.0)
        status = 404 if context.answer == "404" else 200
        return web.Response(status=status, body=BODIES[context.answer])

    runner = web.ServerRunner(web.Server(answer), shutdown_timeout=0.1)
    await runner.setup()
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    await web.SockSite(runner, listener).start()
    connections = Connections()
    began = read_clock()
    try:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        context.result = await HttpLoadViews(connections).fetch(address)
    except Failure as failure:
        context.result = failure
    context.took = read_clock() - began
    await connections.close()
    await runner.cleanup()


@then("the result is {result}, within {seconds:g} s")
def step_result(context: Any, result: str, seconds: float) -> None:
    found = context.result
    if isinstance(found, Failure):
        assert found.kind.value == result, found
    elif found is None:
        assert result == "none"
    else:
        assert result == "a summary" and found == SUMMARY, found
    assert context.took < seconds, context.took

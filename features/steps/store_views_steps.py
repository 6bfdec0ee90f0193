"""Steps for asking another process over HTTP whether the store answers it."""

import asyncio
import socket
from typing import Any

from aiohttp import web
from behave import given, then, when

from primrosestile.clock import read_clock
from primrosestile.transport.connections import Connections
from primrosestile.transport.store_views import HttpStoreViews, StoreView


@given("a process that {behaviour}")
def step_process(context: Any, behaviour: str) -> None:
    context.behaviour = behaviour


@when("it is asked whether the store answers")
def step_ask(context: Any) -> None:
    asyncio.run(ask(context))


async def ask(context: Any) -> None:
    async def answer(request: web.BaseRequest) -> web.Response:
        if context.behaviour == "never answers":
            await asyncio.sleep(5.0)
        return web.Response(status=503 if context.behaviour == "says no" else 200)

    runner = web.ServerRunner(web.Server(answer), shutdown_timeout=0.1)
    await runner.setup()
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    if context.behaviour == "is not there":
        listener.close()
    else:
        await web.SockSite(runner, listener).start()
    connections = Connections()
    began = read_clock()
    context.view = await HttpStoreViews(connections).ask(address)
    context.took = read_clock() - began
    await connections.close()
    await runner.cleanup()


@then("the answer is {view}, within {seconds:g} s")
def step_answer(context: Any, view: str, seconds: float) -> None:
    assert context.view is StoreView[view.upper()], context.view
    assert context.took < seconds, context.took

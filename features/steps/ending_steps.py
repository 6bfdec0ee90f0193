"""How a program ends, on the real event loop and real sockets."""

import asyncio
import os
import signal
from typing import Any

from behave import given, then, when
from tools.launch import HOST, iterate_ports

from primrosestile.errors import Failure
from primrosestile.programs.common import run_until_signal
from primrosestile.protocol.messages import SettingsDigest
from primrosestile.transport.peers import make_peers

ASK_SECONDS = 0.01


@given("a program of which a service asks a peer all the time")
def step_program(context: Any) -> None:
    ports = iterate_ports()
    context.address = f"{HOST}:{next(ports)}"
    context.silent = f"{HOST}:{next(ports)}"


@when("it is told to end while it drains for {seconds:g} s")
def step_told(context: Any, seconds: float) -> None:
    async def run() -> None:
        peers = make_peers("p", context.address, None)

        async def ask() -> None:
            while True:
                try:
                    await peers.ask(context.silent, SettingsDigest({}), ASK_SECONDS)
                except Failure:
                    context.asked = context.closed

        async def tell() -> None:
            os.kill(os.getpid(), signal.SIGTERM)

        async def close() -> None:
            peers.close()
            # Other connections take a moment to close, as those of the store do.
            await asyncio.sleep(seconds)
            context.closed = True

        async def drain() -> None:
            await asyncio.sleep(seconds)

        await run_until_signal([ask(), tell()], drain, close)

    context.closed = context.asked = False
    context.error = None
    try:
        asyncio.run(run())
    except BaseExceptionGroup as error:
        context.error = error


@then("it ends without an error, and its connections are closed")
def step_ended(context: Any) -> None:
    assert context.error is None, context.error
    assert context.closed
    assert not context.asked, "a service went on after the connections were closed"

"""Steps for the shutdown of a program, on the real event loop and real sockets."""

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

ASK_TIMEOUT_SECONDS = 0.01


@given("a program with a service that sends requests to a peer continuously")
def step_program(context: Any) -> None:
    ports = iterate_ports()
    context.address = f"{HOST}:{next(ports)}"
    context.silent = f"{HOST}:{next(ports)}"


@when("it gets SIGTERM and drains for {seconds:g} s")
def step_signal(context: Any, seconds: float) -> None:
    async def run() -> None:
        peers = make_peers("p", context.address, None)

        async def ask() -> None:
            while True:
                try:
                    await peers.ask(
                        context.silent, SettingsDigest({}), ASK_TIMEOUT_SECONDS
                    )
                except Failure:
                    context.asked = context.closed

        async def send_signal() -> None:
            os.kill(os.getpid(), signal.SIGTERM)

        async def close() -> None:
            peers.close()
            # Other connections, such as those of the store, take a moment to close.
            await asyncio.sleep(seconds)
            context.closed = True

        async def drain() -> None:
            await asyncio.sleep(seconds)

        await run_until_signal([ask(), send_signal()], drain, close)

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
    assert not context.asked, "a service ran after the connections were closed"

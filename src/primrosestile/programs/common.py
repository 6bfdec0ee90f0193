"""Code that all programs share: settings, health routes, metrics and shutdown.

A program shuts down on SIGTERM or SIGINT. It turns its readiness off and keeps serving
for as long as the balancer may lag, because the balancer goes on sending until its
next readiness check. Then it stops listening, finishes what is in progress, and exits.
"""

import argparse
import asyncio
import math
import signal
import sys
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import structlog
import uvloop
from aiohttp import web

from primrosestile.errors import Failure
from primrosestile.programs.metrics import Metrics
from primrosestile.programs.time_correction import follow_vm_clock
from primrosestile.state.decoding import Undecodable, decode_json
from primrosestile.state.process import ProcessSettings
from primrosestile.transport.wire import encode_json

EXIT_BAD_SETTINGS = 2

_log = structlog.get_logger()


def read_process_settings(path: Path) -> ProcessSettings:
    """Read the settings of one process; exit with 2 if they are invalid."""
    try:
        return decode_json(path.read_bytes(), ProcessSettings)
    except (OSError, Undecodable) as error:
        print(f"{path}: {error}", file=sys.stderr)
        print("Correct the file; docs/OPERATIONS.md has an example.", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)


def parse_arguments(program: str, summary: str) -> ProcessSettings:
    """Return the settings from the file that the command line names."""
    parser = argparse.ArgumentParser(prog=program, description=summary)
    parser.add_argument(
        "--settings",
        type=Path,
        required=True,
        metavar="FILE",
        help="JSON settings of this process",
    )
    return read_process_settings(parser.parse_args().settings)


@dataclass(slots=True)
class Health:
    """Whether the balancer should send to this process.

    Attributes:
        reasons: Why it should not, by name of the part; empty when ready.
        applied: Returns the revision of each settings path in force here.
    """

    reasons: dict[str, str] = field(default_factory=dict)
    applied: Callable[[], Mapping[str, int]] = dict

    @property
    def ready(self) -> bool:
        """Whether there is no reason against it."""
        return not self.reasons


def answer_json(value: Any, status: int = 200) -> web.Response:
    """Return an answer with a JSON body."""
    return web.Response(
        body=encode_json(value), status=status, content_type="application/json"
    )


def answer_failure(failure: Failure, request_id: str = "") -> web.Response:
    """Return the error answer for a failure, from the table of errors."""
    answer = failure.answer
    after = failure.retry_delay
    body = {
        "error": failure.kind.value,
        "detail": failure.detail,
        "ran": answer.ran.value,
        "remedy": answer.remedy,
        "retry_after": after,
        "request_id": request_id,
    }
    response = answer_json(body, answer.status)
    if after is not None:
        response.headers["Retry-After"] = str(max(1, math.ceil(after)))
    return response


def add_health_routes(
    app: web.Application, settings: ProcessSettings, health: Health, metrics: Metrics
) -> None:
    """Add the health, metrics and settings routes that every program serves."""

    async def show_health(request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def show_ready(request: web.Request) -> web.Response:
        if health.ready:
            return web.Response(text="ready\n")
        return answer_json({"not_ready": health.reasons}, 503)

    async def show_metrics(request: web.Request) -> web.Response:
        body, headers = metrics.render(request.headers.getall("Accept", []))
        return web.Response(body=body, headers=dict(headers))

    async def show_applied(request: web.Request) -> web.Response:
        return answer_json(
            {"process": settings.name, "revisions": dict(health.applied())}
        )

    app.router.add_get("/healthz", show_health)
    app.router.add_get("/readyz", show_ready)
    app.router.add_get("/metrics", show_metrics)
    app.router.add_get("/v1/applied", show_applied)


async def start_http(app: web.Application, address: str) -> web.AppRunner:
    """Listen on `ip:port`; the runner's `cleanup` finishes requests in progress."""
    host, _, port = address.rpartition(":")
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=60.0)
    await runner.setup()
    site = web.TCPSite(runner, host, int(port), backlog=1024, reuse_address=True)
    await site.start()
    return runner


async def wait_for_stop_signal() -> None:
    """Return once SIGTERM or SIGINT arrives."""
    signalled = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, signalled.set)
    await signalled.wait()


async def run_until_signal(
    services: list[Awaitable[None]],
    drain: Callable[[], Awaitable[None]],
    close: Callable[[], Awaitable[None]],
) -> None:
    """Run services until SIGTERM or SIGINT, then drain and stop them.

    Connections are closed after all services have stopped. When they were closed
    earlier, a service that was using one raised, and the process exited with 1 although
    it had drained completely.

    Args:
        services: Each runs until it is cancelled.
        drain: Finishes what is in progress while the services keep running.
        close: Closes the connections of the services.

    Raises:
        BaseExceptionGroup: A service ended with an exception.
    """
    async with asyncio.TaskGroup() as group:
        tasks = [
            group.create_task(_run_service(each))
            for each in [*services, follow_vm_clock()]
        ]
        await wait_for_stop_signal()
        _log.info("draining")
        await drain()
        for task in tasks:
            task.cancel()
    await close()
    _log.info("ended")


async def _run_service(service: Awaitable[None]) -> None:
    await service


def run_program(main: Awaitable[None]) -> None:
    """Run a program's main coroutine on uvloop."""

    async def run() -> None:
        await main

    uvloop.run(run())

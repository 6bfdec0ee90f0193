"""What every program does alike: settings, logs, metrics, health, the end.

A program is told to end by SIGTERM or SIGINT. It then turns its readiness off and
keeps serving for as long as the balancer may lag, because a balancer that has not
looked yet goes on sending; only then does it stop listening, finish what is in
progress, and exit.
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

import msgspec
import structlog
import uvloop
from aiohttp import web

from primrosestile.errors import Failure
from primrosestile.programs.metrics import Metrics
from primrosestile.programs.timekeeping import keep_time
from primrosestile.state.process import ProcessSettings
from primrosestile.transport.wire import encode_json

EXIT_BAD_SETTINGS = 2

_log = structlog.get_logger()


def read_process_settings(path: Path) -> ProcessSettings:
    """Read one process's settings; end the program with 2 where they are wrong."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=ProcessSettings)
    except (OSError, msgspec.MsgspecError) as error:
        print(f"{path}: {error}", file=sys.stderr)
        print("Mend the file; docs/OPERATIONS.md shows one.", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)


def parse_arguments(program: str, summary: str) -> ProcessSettings:
    """Return the settings that the command line names."""
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
        reasons: Why not, by name of the part; empty when ready.
        applied: The revision of each settings path in force here.
    """

    reasons: dict[str, str] = field(default_factory=dict)
    applied: Callable[[], Mapping[str, int]] = dict

    @property
    def ready(self) -> bool:
        """Whether nothing stands against it."""
        return not self.reasons


def answer_json(value: Any, status: int = 200) -> web.Response:
    """Return an answer with a JSON body."""
    return web.Response(
        body=encode_json(value), status=status, content_type="application/json"
    )


def answer_failure(failure: Failure, request_id: str = "") -> web.Response:
    """Return what a caller is told about a failure, from the one table."""
    answer = failure.answer
    after = failure.come_back_after
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
    """Add what every program serves beside its own routes."""

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
    """Listen on `ip:port`; the runner's clean-up finishes what is in progress."""
    host, _, port = address.rpartition(":")
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=60.0)
    await runner.setup()
    site = web.TCPSite(runner, host, int(port), backlog=1024, reuse_address=True)
    await site.start()
    return runner


async def wait_for_end_signal() -> None:
    """Return once the process is told to end."""
    told = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, told.set)
    await told.wait()


async def run_until_told(
    services: list[Awaitable[None]],
    drain: Callable[[], Awaitable[None]],
    close: Callable[[], Awaitable[None]],
) -> None:
    """Run services until the process is told to end, then drain and stop them.

    Connections are closed only once no service runs any more. Closed before, a
    service that happened to use one raised, and the process ended with 1 though it
    had drained well.

    Args:
        services: Each runs until it is cancelled.
        drain: Finishes what is in progress; the services go on meanwhile.
        close: Closes what the services use.

    Raises:
        BaseExceptionGroup: What ended a service that should have gone on.
    """
    async with asyncio.TaskGroup() as group:
        tasks = [group.create_task(_keep(each)) for each in [*services, keep_time()]]
        await wait_for_end_signal()
        _log.info("draining")
        await drain()
        for task in tasks:
            task.cancel()
    await close()
    _log.info("ended")


async def _keep(service: Awaitable[None]) -> None:
    await service


def run_program(main: Awaitable[None]) -> None:
    """Run a program's main coroutine on uvloop."""

    async def run() -> None:
        await main

    uvloop.run(run())

"""What every program does alike: settings, logs, metrics, health, the end.

A program is told to end by SIGTERM or SIGINT. It then turns its readiness off and
keeps serving for as long as the balancer may lag, because a balancer that has not
looked yet goes on sending; only then does it stop listening, finish what is in
progress, and exit.
"""

import argparse
import asyncio
import logging
import math
import signal
import sys
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field, is_dataclass
from pathlib import Path
from typing import Any

import msgspec
import structlog
import uvloop
from aiohttp import web
from aioprometheus import Counter, Gauge, Histogram, Registry, render

from primrosestile.errors import Failure
from primrosestile.state.process import ProcessSettings
from primrosestile.transport.wire import encode_json

EXIT_BAD_SETTINGS = 2
# Every line carries these, so that a search for one id finds every line of it.
LINE_FIELDS = ("request_id", "job_id", "epoch")
LATENCY_BUCKETS = (0.002, 0.005, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 60.0)

# Local variables stay out of traces: they hold callers' tokens and our keys.
_TRACES = structlog.tracebacks.ExceptionDictTransformer(show_locals=False)

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


def _add_line_fields(
    logger: Any, method: str, event: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    for name in LINE_FIELDS:
        event.setdefault(name, "")
    return event


def set_up_logs(settings: ProcessSettings) -> None:
    """Write one JSON object a line to standard output."""
    level = logging.getLevelNamesMapping().get(settings.log_level.upper(), logging.INFO)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.ExceptionRenderer(_TRACES),
            _add_line_fields,
            structlog.processors.JSONRenderer(serializer=_dump),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(process=settings.name)


def _dump(value: Any, default: Callable[[Any], Any]) -> str:
    return msgspec.json.encode(_show_records(value), enc_hook=str).decode()


def _show_records(value: Any) -> Any:
    """Return a value with records as text, which leaves out their secrets."""
    if is_dataclass(value):
        return str(value)
    if isinstance(value, Mapping):
        return {key: _show_records(each) for key, each in value.items()}
    if isinstance(value, list | tuple):
        return [_show_records(each) for each in value]
    return value


class Metrics:
    """The counters and times of one process, rendered for Prometheus."""

    def __init__(self, program: str) -> None:
        self.registry = Registry()
        labels = {"program": program}
        self.requests = Counter("requests_total", "Answers by kind", labels)
        self.jobs = Counter("jobs_total", "Jobs accepted or refused, by kind", labels)
        self.seconds = Histogram(
            "request_seconds",
            "Seconds from arrival to answer",
            labels,
            buckets=list(LATENCY_BUCKETS),
        )
        self.state = Gauge("state", "Figures of the moment, by name", labels)
        for collector in (self.requests, self.jobs, self.seconds, self.state):
            self.registry.register(collector)

    def render(self, accept: list[str]) -> tuple[bytes, Mapping[str, str]]:
        """Return the page and its headers."""
        return render(self.registry, accept)


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
    services: list[Awaitable[None]], drain: Callable[[], Awaitable[None]]
) -> None:
    """Run services until the process is told to end, then drain and stop them.

    Raises:
        BaseExceptionGroup: What ended a service that should have gone on.
    """
    async with asyncio.TaskGroup() as group:
        tasks = [group.create_task(_keep(each)) for each in services]
        await wait_for_end_signal()
        _log.info("draining")
        await drain()
        for task in tasks:
            task.cancel()
    _log.info("ended")


async def _keep(service: Awaitable[None]) -> None:
    await service


def run_program(main: Awaitable[None]) -> None:
    """Run a program's main coroutine on uvloop."""

    async def run() -> None:
        await main

    uvloop.run(run())

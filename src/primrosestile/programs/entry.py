"""`primrosestile-entry`: the HTTP interface for callers.

Short requests are queued here and dispatched to slots of workers. Gang jobs are
written to the store, where the owner of their cell finds them.
"""

import asyncio
from dataclasses import dataclass

import structlog
from aiohttp import web

from primrosestile.coordination.cell_watch import CellWatch
from primrosestile.coordination.claims import Claims
from primrosestile.coordination.dispatcher import Dispatcher
from primrosestile.coordination.membership import Directory
from primrosestile.coordination.submission import Submissions
from primrosestile.decisions.request_queue import make_queue
from primrosestile.decisions.routing import make_router
from primrosestile.programs.common import (
    add_health_routes,
    parse_arguments,
    run_program,
    run_until_signal,
    start_http,
)
from primrosestile.programs.entry_app import EntryParts, make_entry_app
from primrosestile.programs.logs import set_up_logs
from primrosestile.programs.metrics import Metrics
from primrosestile.programs.parts import AddressBook, Parts, make_parts
from primrosestile.state.process import ProcessSettings
from primrosestile.state.settings import Settings
from primrosestile.state.tenancy import Policy
from primrosestile.transport.targets import HttpTargets, make_targets

PROGRAM = "entry"
GAUGE_INTERVAL_SECONDS = 1.0
NO_CELLS = "no placer has reported its cells yet"
# During an outage of the store no placer is known; after this time short requests are
# served without cell information.
CELLS_TIMEOUT_SECONDS = 5.0

_log = structlog.get_logger()


class DirectoryCheck:
    """Treats the holder of a claim as ended only when the directory shows it."""

    def __init__(self, directory: Directory) -> None:
        self._directory = directory

    def is_alive(self, holder: str) -> bool:
        """Return True unless the holder is known to have ended."""
        if not self._directory.listed.is_set():
            return True
        name, _, incarnation = holder.partition("/")
        if self._directory.is_unreadable(name):
            return True
        record = self._directory.find(name)
        return record is not None and record.incarnation == incarnation


@dataclass(frozen=True, slots=True)
class Entry:
    """The parts of an entry, including the common ones."""

    parts: Parts
    targets: HttpTargets
    dispatcher: Dispatcher
    cells: CellWatch
    submissions: Submissions


def make_entry(settings: ProcessSettings, metrics: Metrics) -> Entry:
    """Build an entry whose parts follow the settings in force."""
    parts = make_parts(settings, PROGRAM, metrics)
    record = parts.registration.record
    holder = f"{record.name}/{record.incarnation}"
    claims = Claims(parts.store, holder, DirectoryCheck(parts.directory))
    targets = make_targets(AddressBook(parts.follower).find)
    policy = Policy()
    dispatcher = Dispatcher(
        make_queue(policy), make_router(settings.name, policy), targets, claims
    )
    cells = CellWatch(
        settings.name,
        settings.failure_domain,
        parts.peers,
        parts.directory,
        dispatcher,
        parts.vm_list,
        lambda: parts.follower.settings,
    )

    def follow_settings(changed: Settings) -> None:
        dispatcher.queue.set_policy(changed.policy)
        dispatcher.router.set_policy(changed.policy)
        cells.refresh_targets()

    parts.follower.add_handler(follow_settings)
    return Entry(parts, targets, dispatcher, cells, Submissions(parts.store, claims))


async def run_entry(settings: ProcessSettings) -> None:
    """Run one entry until SIGTERM or SIGINT."""
    metrics = Metrics(PROGRAM)
    set_up_logs(settings.name, settings.log_level, metrics.count_dropped_line)
    entry = make_entry(settings, metrics)
    parts = entry.parts
    app = make_entry_app(
        EntryParts(
            entry.dispatcher,
            entry.submissions,
            entry.cells,
            parts.metrics,
            lambda: parts.follower.settings,
        )
    )
    add_health_routes(app, settings, parts.health, parts.metrics)
    runner = await start_http(app, settings.http)
    services = [
        *parts.list_services(),
        entry.dispatcher.run(),
        entry.cells.run(),
        _update_gauges(parts, entry.dispatcher),
        _wait_for_cells(parts, entry.cells),
    ]
    await run_until_signal(
        services, lambda: _drain(entry, runner), lambda: _close(entry)
    )


async def _drain(entry: Entry, runner: web.AppRunner) -> None:
    """Shut down without interrupting any request.

    The balancer goes on sending until its next readiness check. Readiness is therefore
    turned off first (READINESS_OFF_FIRST), requests are served until the balancer must
    have noticed (LISTEN_WHILE_BALANCER_LAGS), and then the runner's `cleanup` closes
    idle connections and waits for those in use (DRAIN_BEFORE_EXIT).
    """
    parts = entry.parts
    parts.health.reasons["leaving"] = "the process is shutting down"
    await parts.registration.announce_leaving()
    await asyncio.sleep(parts.settings.drain_seconds)
    await runner.cleanup()
    await entry.dispatcher.finish_claims()


async def _close(entry: Entry) -> None:
    await entry.targets.close()
    await entry.parts.close()


async def _wait_for_cells(parts: Parts, cells: CellWatch) -> None:
    """Become ready once the cells are known or `CELLS_TIMEOUT_SECONDS` have passed."""
    parts.health.reasons["cells"] = NO_CELLS
    try:
        async with asyncio.timeout(CELLS_TIMEOUT_SECONDS):
            await cells.informed.wait()
    except TimeoutError:
        _log.warning("cells_unknown")
    del parts.health.reasons["cells"]


async def _update_gauges(parts: Parts, dispatcher: Dispatcher) -> None:
    while True:
        parts.metrics.state.set({"name": "in_progress"}, dispatcher.in_progress)
        parts.metrics.state.set({"name": "queued"}, len(dispatcher.queue))
        await asyncio.sleep(GAUGE_INTERVAL_SECONDS)


def main() -> None:
    """Start the program."""
    settings = parse_arguments("primrosestile-entry", "Serve callers' requests.")
    run_program(run_entry(settings))


if __name__ == "__main__":
    main()

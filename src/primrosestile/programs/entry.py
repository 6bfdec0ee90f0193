"""`primrosestile-entry`: callers' HTTP.

Short requests are queued here and sent to workers' slots; gang jobs are accepted
into the store, where the owner of their cell finds them.
"""

import asyncio

import structlog

from primrosestile.coordination.cellwatch import CellWatch
from primrosestile.coordination.claims import Claims
from primrosestile.coordination.dispatch import Dispatcher
from primrosestile.coordination.membership import Directory
from primrosestile.coordination.submission import Submissions
from primrosestile.decisions.queueing import make_queue
from primrosestile.decisions.routing import make_router
from primrosestile.programs.common import (
    add_health_routes,
    parse_arguments,
    run_program,
    run_until_told,
    set_up_logs,
    start_http,
)
from primrosestile.programs.entryapp import EntryParts, make_entry_app
from primrosestile.programs.parts import AddressBook, Parts, make_parts
from primrosestile.state.process import ProcessSettings
from primrosestile.state.settings import Settings
from primrosestile.transport.targets import make_targets

PROGRAM = "entry"
GAUGE_SECONDS = 1.0
NO_CELLS = "no placer has told of its cells yet"
# In an outage of the store no placer is known; short requests are served without.
INFORMED_SECONDS = 5.0

_log = structlog.get_logger()


class DirectoryCheck:
    """Takes a claim's holder for ended only when the directory says so."""

    def __init__(self, directory: Directory) -> None:
        self._directory = directory

    def is_alive(self, holder: str) -> bool:
        """Return True unless the holder is known to have ended."""
        if not self._directory.listed.is_set():
            return True
        name, _, incarnation = holder.partition("/")
        record = self._directory.find(name)
        return record is not None and record.incarnation == incarnation


async def run_entry(settings: ProcessSettings) -> None:
    """Run one entry until it is told to end."""
    set_up_logs(settings)
    parts = make_parts(settings, PROGRAM)
    addresses = AddressBook(parts.follower)
    record = parts.registration.record
    claims = Claims(
        parts.store,
        f"{record.name}/{record.incarnation}",
        DirectoryCheck(parts.directory),
    )
    policy = parts.follower.settings.policy
    targets = make_targets(addresses.find)
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
    app = make_entry_app(
        EntryParts(
            dispatcher,
            Submissions(parts.store, claims),
            cells,
            parts.metrics,
            lambda: parts.follower.settings,
        )
    )
    add_health_routes(app, settings, parts.health, parts.metrics)
    runner = await start_http(app, settings.http)

    async def drain() -> None:
        # READINESS_OFF_FIRST and LISTEN_WHILE_BALANCER_LAGS: requests go on being
        # served until the balancer must have seen it; the clean-up then ends idle
        # connections and waits for those in use.
        parts.health.reasons["leaving"] = "the process is ending"
        await parts.registration.announce_leaving()
        await asyncio.sleep(settings.drain_seconds)
        # DRAIN_BEFORE_EXIT.
        await runner.cleanup()
        await dispatcher.finish_settling()
        await targets.close()
        await parts.close()

    services = [
        *parts.list_services(),
        dispatcher.run(),
        cells.run(),
        _measure(parts, dispatcher),
        _wait_for_cells(parts, cells),
    ]
    await run_until_told(services, drain)


async def _wait_for_cells(parts: Parts, cells: CellWatch) -> None:
    """Take traffic once the cells are known, or could not be within some seconds."""
    parts.health.reasons["cells"] = NO_CELLS
    try:
        async with asyncio.timeout(INFORMED_SECONDS):
            await cells.informed.wait()
    except TimeoutError:
        _log.warning("cells_unknown")
    del parts.health.reasons["cells"]


async def _measure(parts: Parts, dispatcher: Dispatcher) -> None:
    while True:
        parts.metrics.state.set({"name": "in_progress"}, dispatcher.in_progress)
        parts.metrics.state.set({"name": "queued"}, len(dispatcher.queue))
        await asyncio.sleep(GAUGE_SECONDS)


def main() -> None:
    """Start the program."""
    settings = parse_arguments("primrosestile-entry", "Serve callers' requests.")
    run_program(run_entry(settings))


if __name__ == "__main__":
    main()

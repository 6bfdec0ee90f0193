"""`primrosestile-steward`: settings, their audit trail, and views for operators.

Any number of stewards may run. They have no state of their own, and the store's
compare-and-swap detects concurrent changes of one path.
"""

import asyncio

from primrosestile.programs.common import (
    add_health_routes,
    parse_arguments,
    run_program,
    run_until_signal,
    start_http,
)
from primrosestile.programs.logs import set_up_logs
from primrosestile.programs.metrics import Metrics
from primrosestile.programs.parts import make_parts
from primrosestile.programs.steward_app import make_steward_app
from primrosestile.state.process import ProcessSettings
from primrosestile.transport.connections import Connections

PROGRAM = "steward"


async def run_steward(settings: ProcessSettings) -> None:
    """Run one steward until SIGTERM or SIGINT."""
    metrics = Metrics(PROGRAM)
    set_up_logs(settings.name, settings.log_level, metrics.count_dropped_line)
    parts = make_parts(settings, PROGRAM, metrics)
    connections = Connections()
    app = make_steward_app(
        parts.store, parts.follower, parts.directory.records, connections
    )
    add_health_routes(app, settings, parts.health, parts.metrics)
    runner = await start_http(app, settings.http)

    async def drain() -> None:
        parts.health.reasons["leaving"] = "the process is shutting down"
        await parts.registration.announce_leaving()
        await asyncio.sleep(settings.drain_seconds)
        await runner.cleanup()

    async def close() -> None:
        await connections.close()
        await parts.close()

    await run_until_signal(parts.list_services(), drain, close)


def main() -> None:
    """Start the program."""
    settings = parse_arguments("primrosestile-steward", "Serve operators.")
    run_program(run_steward(settings))


if __name__ == "__main__":
    main()

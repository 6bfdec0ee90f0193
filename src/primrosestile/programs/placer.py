"""`primrosestile-placer`: owns cells, places gangs and renews their leases."""

import asyncio
from dataclasses import dataclass

from aiohttp import web

from primrosestile.coordination.caretaker import Caretaker
from primrosestile.coordination.digest_exchange import DigestExchange
from primrosestile.coordination.ownership import Ownership
from primrosestile.coordination.vm_watch import VmWatch
from primrosestile.programs.common import (
    add_health_routes,
    answer_json,
    parse_arguments,
    run_program,
    run_until_signal,
    start_http,
)
from primrosestile.programs.logs import set_up_logs
from primrosestile.programs.metrics import Metrics
from primrosestile.programs.parts import AddressBook, Parts, make_parts
from primrosestile.protocol.messages import (
    Body,
    CellDigest,
    CellDigests,
    DemandReport,
    DigestRequest,
    Envelope,
)
from primrosestile.state.process import ProcessSettings
from primrosestile.transport.workers import HttpWorkers, make_workers

PROGRAM = "placer"
LOST_CHECK_INTERVAL_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class Placer:
    """The parts of a placer, including the common ones."""

    parts: Parts
    workers: HttpWorkers
    ownership: Ownership
    exchange: DigestExchange
    vms: VmWatch
    caretaker: Caretaker


def make_placer(settings: ProcessSettings, metrics: Metrics) -> Placer:
    """Build a placer whose parts follow the settings in force."""
    parts = make_parts(settings, PROGRAM, metrics)
    workers = make_workers(AddressBook(parts.follower).find)
    exchange = DigestExchange(
        settings.name, parts.peers, parts.directory, lambda: parts.follower.settings
    )
    ownership = Ownership(
        parts.store,
        workers,
        parts.lease,
        parts.directory,
        parts.registration.record,
        settings.task_lease_seconds,
        exchange,
    )
    exchange.set_own_digests(lambda: _list_digests(ownership))
    parts.follower.add_handler(ownership.take_settings)
    caretaker = Caretaker(
        settings.name,
        workers,
        parts.lease,
        parts.directory,
        lambda: parts.follower.settings,
        lambda: ownership.keepers,
        settings.task_lease_seconds,
    )
    vms = VmWatch(parts.vm_list, ownership.note_listed)
    return Placer(parts, workers, ownership, exchange, vms, caretaker)


def _add_message_handlers(placer: Placer) -> None:
    async def answer_demand(envelope: Envelope) -> Body:
        return _answer_demand(placer.ownership, envelope.body)

    async def answer_digests(envelope: Envelope) -> Body:
        return CellDigests(tuple(_list_digests(placer.ownership)))

    placer.parts.messages.add(DemandReport, answer_demand)
    placer.parts.messages.add(DigestRequest, answer_digests)


def _make_app(placer: Placer) -> web.Application:
    async def show_cells(request: web.Request) -> web.Response:
        keepers = placer.ownership.keepers.values()
        return answer_json([keeper.describe() for keeper in keepers])

    app = web.Application()
    app.router.add_get("/v1/cells", show_cells)
    parts = placer.parts
    add_health_routes(app, parts.settings, parts.health, parts.metrics)
    return app


async def run_placer(settings: ProcessSettings) -> None:
    """Run one placer until SIGTERM or SIGINT."""
    metrics = Metrics(PROGRAM)
    set_up_logs(settings.name, settings.log_level, metrics.count_dropped_line)
    placer = make_placer(settings, metrics)
    parts = placer.parts
    _add_message_handlers(placer)
    runner = await start_http(_make_app(placer), settings.http)
    services = [
        *parts.list_services(),
        _run_when_ready(placer),
        placer.caretaker.run(),
        placer.exchange.run(),
        _report_lost_domains(placer.exchange, placer.ownership),
        placer.vms.run(),
    ]
    await run_until_signal(
        services, lambda: _drain(placer, runner), lambda: _close(placer)
    )


async def _drain(placer: Placer, runner: web.AppRunner) -> None:
    """Hand the cells over; no balancer sends here, so there is no lag to wait for.

    HAND_OVER_BEFORE_EXIT: each cell finishes the starts in progress and then releases
    its key, and the next owner takes over at once.
    """
    parts = placer.parts
    parts.health.reasons["leaving"] = "the process is shutting down"
    await parts.registration.announce_leaving()
    await placer.ownership.leave()
    await runner.cleanup()


async def _close(placer: Placer) -> None:
    await placer.workers.close()
    await placer.parts.close()


async def _run_when_ready(placer: Placer) -> None:
    """Own cells after the first settings and the first try to read the VM list."""
    await placer.parts.follower.wait_for_first()
    await placer.vms.first_read.wait()
    placer.ownership.take_settings(placer.parts.follower.settings)
    await placer.ownership.run()


def _answer_demand(ownership: Ownership, report: object) -> CellDigests:
    assert isinstance(report, DemandReport)
    keepers = [each for each in ownership.keepers.values() if each.recovered.is_set()]
    for keeper in keepers:
        keeper.note_demand(report)
    return CellDigests(tuple(each.make_digest(report.entry) for each in keepers))


def _list_digests(ownership: Ownership) -> list[CellDigest]:
    """Return the digests of recovered cells, without grants of slots."""
    keepers = ownership.keepers.values()
    return [each.make_digest("") for each in keepers if each.recovered.is_set()]


async def _report_lost_domains(exchange: DigestExchange, ownership: Ownership) -> None:
    while True:
        await asyncio.sleep(LOST_CHECK_INTERVAL_SECONDS)
        lost = exchange.list_lost_domains()
        for keeper in ownership.keepers.values():
            keeper.note_lost(lost)


def main() -> None:
    """Start the program."""
    settings = parse_arguments("primrosestile-placer", "Own cells and place gangs.")
    run_program(run_placer(settings))


if __name__ == "__main__":
    main()

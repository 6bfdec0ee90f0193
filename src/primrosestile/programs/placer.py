"""`primrosestile-placer`: owns cells, places gangs, renews what runs."""

import asyncio

from aiohttp import web

from primrosestile.coordination.caretaking import Caretaker
from primrosestile.coordination.exchange import Exchange
from primrosestile.coordination.ownership import Ownership
from primrosestile.coordination.vmwatch import VmWatch
from primrosestile.programs.common import (
    add_health_routes,
    answer_json,
    parse_arguments,
    run_program,
    run_until_told,
    set_up_logs,
    start_http,
)
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
from primrosestile.transport.workers import make_workers

PROGRAM = "placer"
LOST_CHECK_SECONDS = 2.0


async def run_placer(settings: ProcessSettings) -> None:
    """Run one placer until it is told to end."""
    set_up_logs(settings)
    parts = make_parts(settings, PROGRAM)
    workers = make_workers(AddressBook(parts.follower).find)
    exchange = Exchange(
        settings.name,
        parts.peers,
        parts.directory,
        lambda: parts.follower.settings,
        lambda: _list_digests(ownership),
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
    parts.follower.add_handler(ownership.take_settings)
    vms = VmWatch(parts.vm_list, ownership.note_listed)
    caretaker = Caretaker(
        settings.name,
        workers,
        parts.lease,
        parts.directory,
        lambda: parts.follower.settings,
        lambda: ownership.keepers,
        settings.task_lease_seconds,
    )

    async def answer_demand(envelope: Envelope) -> Body:
        return _answer_demand(ownership, envelope.body)

    async def answer_digests(envelope: Envelope) -> Body:
        return CellDigests(tuple(_list_digests(ownership)))

    parts.messages.add(DemandReport, answer_demand)
    parts.messages.add(DigestRequest, answer_digests)

    async def show_cells(request: web.Request) -> web.Response:
        return answer_json([each.describe() for each in ownership.keepers.values()])

    app = web.Application()
    app.router.add_get("/v1/cells", show_cells)
    add_health_routes(app, settings, parts.health, parts.metrics)
    runner = await start_http(app, settings.http)

    async def drain() -> None:
        parts.health.reasons["leaving"] = "the process is ending"
        await parts.registration.announce_leaving()
        await ownership.leave()
        await runner.cleanup()
        await workers.close()
        await parts.close()

    services = [
        *parts.list_services(),
        _run_when_ready(parts, ownership, vms),
        caretaker.run(),
        exchange.run(),
        _tell_lost_domains(exchange, ownership),
        vms.run(),
    ]
    await run_until_told(services, drain)


async def _run_when_ready(parts: Parts, ownership: Ownership, vms: VmWatch) -> None:
    await parts.follower.wait_for_first()
    await vms.looked.wait()
    ownership.take_settings(parts.follower.settings)
    await ownership.run()


def _answer_demand(ownership: Ownership, report: object) -> CellDigests:
    assert isinstance(report, DemandReport)
    keepers = [each for each in ownership.keepers.values() if each.recovered.is_set()]
    for keeper in keepers:
        keeper.note_demand(report)
    return CellDigests(tuple(each.make_digest(report.entry) for each in keepers))


def _list_digests(ownership: Ownership) -> list[CellDigest]:
    """Return the digests of recovered cells, for nobody's slots."""
    keepers = ownership.keepers.values()
    return [each.make_digest("") for each in keepers if each.recovered.is_set()]


async def _tell_lost_domains(exchange: Exchange, ownership: Ownership) -> None:
    while True:
        await asyncio.sleep(LOST_CHECK_SECONDS)
        lost = exchange.list_lost_domains()
        for keeper in ownership.keepers.values():
            keeper.note_lost(lost)


def main() -> None:
    """Start the program."""
    settings = parse_arguments("primrosestile-placer", "Own cells and place gangs.")
    run_program(run_placer(settings))


if __name__ == "__main__":
    main()

"""Steps for the list of VMs and maintenance orders, against a minimal HTTP server."""

import asyncio
import json
from collections.abc import Callable, Coroutine
from typing import Any

from aiohttp import web
from behave import then
from platform_steps import find_free_port

from primrosestile.errors import ErrorKind, Failure
from primrosestile.platform.maintenance import PlatformMaintenance
from primrosestile.protocol.maintenance import MaintenanceAnswer
from primrosestile.state.maintenance import VmState, WorkerVm
from primrosestile.transport.connections import Connections
from primrosestile_standin.fleet_store import FleetStore

PAGES = {
    "": {
        "machines": [
            {"machine": "m1", "pool": "engine", "state": "up", "id": "w1", "zone": "z"}
        ],
        "next_token": "more",
    },
    "more": {"machines": [{"machine": "m2", "pool": "engine", "state": "upkeep"}]},
}
REFUSED = {
    "m3": (409, "fence", MaintenanceAnswer.FENCE),
    "m4": (409, "busy", MaintenanceAnswer.BUSY),
    "m5": (409, "wave", MaintenanceAnswer.NOT_IN_WAVE),
    "m6": (400, "", MaintenanceAnswer.NOT_IN_WAVE),
    "m7": (429, "", MaintenanceAnswer.THROTTLED),
}
UNKNOWN_STATUSES = {"m8": 500, "m9": 502, "m10": 503, "m11": 504, "m12": 404}


def with_vm_list(
    use: Callable[[PlatformMaintenance, list[Any]], Coroutine[Any, Any, None]],
):
    """Run a coroutine with an adapter to a local server, and the orders it received."""

    async def run() -> None:
        orders: list[Any] = []

        async def show(request: web.Request) -> web.Response:
            return web.json_response(PAGES[request.query.get("page_token", "")])

        async def order(request: web.Request) -> web.Response:
            body = await request.json()
            orders.append((dict(request.headers), body))
            name = body["machine"]
            unknown = (UNKNOWN_STATUSES.get(name, 200), "", None)
            status, reason, _ = REFUSED.get(name, unknown)
            return web.Response(status=status, text=json.dumps({"reason": reason}))

        app = web.Application()
        app.router.add_get("/v1/machines", show)
        app.router.add_post("/v1/machine-upkeep", order)
        end = web.AppRunner(app, shutdown_timeout=0.1, access_log=None)
        await end.setup()
        port = find_free_port()
        await web.TCPSite(end, "127.0.0.1", port).start()
        connections = Connections()
        try:
            store = FleetStore().connect("p1")
            address = f"127.0.0.1:{port}"
            await use(PlatformMaintenance(address, "p1", store, connections), orders)
        finally:
            await connections.close()
            await end.cleanup()

    asyncio.run(run())


@then("the VMs on two pages are listed")
def step_pages(context: Any) -> None:
    async def use(calls: PlatformMaintenance, orders: list[Any]) -> None:
        assert await calls.list_vms() == (
            WorkerVm("m1", "engine", VmState.UP, "w1"),
            WorkerVm("m2", "engine", VmState.MAINTENANCE, ""),
        )

    with_vm_list(use)


@then("a maintenance order carries its holder and fence")
def step_order(context: Any) -> None:
    async def use(calls: PlatformMaintenance, orders: list[Any]) -> None:
        assert await calls.begin("m1", 7, 42) is MaintenanceAnswer.BEGUN
        headers, body = orders[0]
        assert body == {"machine": "m1", "wave": 7}
        assert headers["Duty-Holder"] == "p1"
        assert headers["Fence-Token"] == "42"

    with_vm_list(use)


@then("a refused order returns its reason")
def step_refused(context: Any) -> None:
    async def use(calls: PlatformMaintenance, orders: list[Any]) -> None:
        for machine, (_, _, answer) in REFUSED.items():
            assert await calls.begin(machine, 7, 42) is answer, machine

    with_vm_list(use)


@then("an order with any other answer fails as unanswered")
def step_unanswered(context: Any) -> None:
    async def use(calls: PlatformMaintenance, orders: list[Any]) -> None:
        for machine in UNKNOWN_STATUSES:
            try:
                answer = await calls.begin(machine, 7, 42)
            except Failure as failure:
                assert failure.kind is ErrorKind.LIST_UNAVAILABLE, failure
            else:
                raise AssertionError(f"{machine}: {answer}")

    with_vm_list(use)

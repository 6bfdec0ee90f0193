"""The complete stand-in: a store, a VM list, workers, and the control of faults.

Each part may have its own address, so that one can be down while the others serve,
and so that parts can run in separate processes. The fault control always has its own.
"""

from collections import defaultdict
from dataclasses import dataclass, field, replace
from typing import Any

from aiohttp import web

from primrosestile.state.decoding import Undecodable, decode_json
from primrosestile.state.fleet import Worker
from primrosestile.transport.vms import VMS_PATH
from primrosestile.transport.wire import encode_json
from primrosestile_standin.fleet import MemoryVmList
from primrosestile_standin.ledger import Ledger
from primrosestile_standin.listener import Listener
from primrosestile_standin.store import MemoryStore
from primrosestile_standin.store_http import make_store_app
from primrosestile_standin.worker import MemoryWorker
from primrosestile_standin.workers_http import ServedWorkers

FAULTS_PATH = "/faults"
CALLS_PATH = "/calls"
LEDGER_PATH = "/ledger"
EVERY_WORKER = "*"


@dataclass(frozen=True, slots=True)
class FaultOrder:
    """The body of `POST /faults`; omitted fields stay unchanged.

    Attributes:
        store: Fields of `StoreFaults` to set.
        workers: Fields of `WorkerFaults` to set, by worker; `*` means each.
        leave: Workers that report from now on that they are leaving.
        vms: VMs to list; the value says whether each is leaving.
        remove_vms: VMs to remove from the list.
        lag_seconds: Delay of changes in the VM list.
    """

    store: dict[str, Any] = field(default_factory=dict)
    workers: dict[str, dict[str, Any]] = field(default_factory=dict)
    leave: tuple[str, ...] = ()
    vms: dict[str, bool] = field(default_factory=dict)
    remove_vms: tuple[str, ...] = ()
    lag_seconds: float | None = None


@dataclass(slots=True)
class _Group:
    """Workers at one address."""

    workers: dict[str, MemoryWorker]
    listener: Listener


class Platform:
    """All parts of the stand-in in one process.

    Attributes:
        store: The store's core.
        vms: The VM list's core.
        workers: The workers' cores by name.
    """

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.vms = MemoryVmList()
        self.workers: dict[str, MemoryWorker] = {}
        self._groups: list[_Group] = []
        self._store_listener: Listener | None = None
        self._others: list[Listener] = []

    async def serve_store(self, address: str) -> str:
        """Serve the store; return its address."""
        self._store_listener = Listener(make_store_app(self.store), address)
        await self._store_listener.open()
        return self._store_listener.address

    async def serve_vms(self, address: str) -> str:
        """Serve the VM list; return its address."""
        app = web.Application()
        app.router.add_get(VMS_PATH, self._answer_vms)
        return await self._serve_other(app, address)

    async def serve_switches(self, address: str) -> str:
        """Serve fault control, call counts and the ledger; return the address."""
        app = web.Application()
        app.router.add_post(FAULTS_PATH, self._answer_faults)
        app.router.add_get(CALLS_PATH, self._answer_calls)
        app.router.add_get(LEDGER_PATH, self._answer_ledger)
        return await self._serve_other(app, address)

    async def serve_workers(
        self, workers: tuple[Worker, ...], address: str | None = None
    ) -> str:
        """Serve workers; return the address of the last group.

        Args:
            workers: The workers as the settings list them.
            address: Where to serve all of them; None means each at its own address.
        """
        groups: dict[str, list[Worker]] = defaultdict(list)
        for worker in workers:
            groups[address or worker.address.split("/")[0]].append(worker)
        served_at = ""
        for where, members in groups.items():
            served_at = await self._serve_group(where, members)
        return served_at

    def add_worker(self, worker: Worker) -> MemoryWorker:
        """Add a worker from the settings, without serving it."""
        core = MemoryWorker(worker.name, worker.accelerators, worker.slots)
        self.workers[worker.name] = core
        self.vms.show(worker.name)
        return core

    async def apply(self, order: FaultOrder) -> None:
        """Apply a fault order immediately."""
        self.store.faults = replace(self.store.faults, **order.store)
        for name, fields in order.workers.items():
            chosen = self.workers if name == EVERY_WORKER else {name}
            for each in chosen:
                worker = self.workers[each]
                worker.faults = replace(worker.faults, **fields)
        if order.lag_seconds is not None:
            self.vms.lag_seconds = order.lag_seconds
        for name in order.leave:
            self.workers[name].leave()
            self.vms.show(name, leaving=True)
        for name, leaving in order.vms.items():
            self.vms.show(name, leaving)
        for name in order.remove_vms:
            self.vms.remove(name)
        await self._apply_to_listeners()

    def read_ledger(self) -> Ledger:
        """Return what ran on all workers."""
        ledger = Ledger()
        for worker in self.workers.values():
            ledger.requests += worker.ledger.requests
            ledger.tasks += worker.ledger.tasks
        return ledger

    async def close(self) -> None:
        """Stop serving."""
        listeners = [group.listener for group in self._groups] + self._others
        if self._store_listener is not None:
            listeners.append(self._store_listener)
        for listener in listeners:
            await listener.close()

    async def _serve_group(self, address: str, members: list[Worker]) -> str:
        cores = {each.name: self.add_worker(each) for each in members}
        listener = Listener(ServedWorkers(cores).make_app(), address)
        await listener.open()
        self._groups.append(_Group(cores, listener))
        return listener.address

    async def _serve_other(self, app: web.Application, address: str) -> str:
        listener = Listener(app, address)
        await listener.open()
        self._others.append(listener)
        return listener.address

    async def _apply_to_listeners(self) -> None:
        if self._store_listener is not None:
            await set_open(self._store_listener, not self.store.faults.down)
            if self.store.faults.silent:
                self._store_listener.silence()
        for group in self._groups:
            faults = [worker.faults for worker in group.workers.values()]
            await set_open(group.listener, not all(each.down for each in faults))
            if any(each.silent for each in faults):
                group.listener.silence()

    async def _answer_faults(self, request: web.Request) -> web.Response:
        try:
            await self.apply(decode_json(await request.read(), FaultOrder))
        except (Undecodable, TypeError, KeyError) as fault:
            return web.Response(status=400, text=str(fault))
        return web.Response(body=b"{}", content_type="application/json")

    async def _answer_calls(self, request: web.Request) -> web.Response:
        return answer(dict(self.store.calls))

    async def _answer_ledger(self, request: web.Request) -> web.Response:
        return answer(self.read_ledger())

    async def _answer_vms(self, request: web.Request) -> web.Response:
        return answer(self.vms.list_vms())


async def set_open(listener: Listener, is_open: bool) -> None:
    """Open or shut a listener."""
    if is_open:
        await listener.open()
    else:
        await listener.shut()


def answer(value: object) -> web.Response:
    """Return an answer in JSON."""
    return web.Response(body=encode_json(value), content_type="application/json")

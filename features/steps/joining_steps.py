"""Entries that share the slots of one owner's cells, on a paused clock.

The owner and the entries are the real ones; the workers, the store and the connections
between processes are doubles.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass, field
from typing import Any, cast

import msgspec
from behave import given, then, when
from features.settings.doubles import read_example_settings, run_paused

from primrosestile.clock import read_clock
from primrosestile.coordination.cell import CellKeeper
from primrosestile.coordination.cell_watch import CellWatch
from primrosestile.coordination.claims import Claims
from primrosestile.coordination.digest_exchange import DigestExchange
from primrosestile.coordination.dispatcher import Dispatcher
from primrosestile.coordination.gangs import Command
from primrosestile.coordination.membership import PROCESSES_PREFIX, Directory
from primrosestile.decisions.request_queue import QueuedRequest, make_queue
from primrosestile.decisions.routing import make_router
from primrosestile.decisions.settings_view import view_settings
from primrosestile.errors import Failure
from primrosestile.protocol.messages import Body, CellDigests, DemandReport
from primrosestile.protocol.workers import (
    ListedVm,
    RequestAnswer,
    RequestOrder,
    WorkerReport,
    Workers,
)
from primrosestile.state.jobs import ProcessRecord
from primrosestile.state.settings import Settings
from primrosestile.state.tenancy import Policy, Urgency
from primrosestile_standin.store import MemoryStore

DOMAIN = "north"
SEED = 1
RUN_SECONDS = 0.05
DEADLINE_SECONDS = 5.8
LEASE_SECONDS = 6.0
ANSWER_SECONDS = 0.005
WARM_UP_SECONDS = 1.0


class IdleWorkers:
    """Workers without any task."""

    async def report(self, worker: str, cell: str, epoch: int) -> WorkerReport:
        return WorkerReport(worker, epoch, 8, leaving=False)

    async def renew(
        self,
        worker: str,
        cell: str,
        epoch: int,
        task_ids: Sequence[str],
        lease_seconds: float,
    ) -> WorkerReport:
        return WorkerReport(worker, epoch, 8, leaving=False)


class SlotTargets:
    """Workers that run one request in each slot and refuse further ones."""

    def __init__(self, slots: dict[str, int]) -> None:
        self._slots = slots
        self._running: Counter[str] = Counter()

    async def send(
        self, target: str, order: RequestOrder, timeout: float
    ) -> RequestAnswer:
        if self._running[target] >= self._slots[target]:
            await asyncio.sleep(ANSWER_SECONDS)
            return RequestAnswer(order.request_id, ran=False, ok=False, body=b"")
        self._running[target] += 1
        try:
            await asyncio.sleep(RUN_SECONDS)
        finally:
            self._running[target] -= 1
        return RequestAnswer(order.request_id, ran=True, ok=True, body=b"")


class EmptyList:
    """A list that shows no VM as leaving."""

    async def read(self) -> tuple[ListedVm, ...]:
        return ()


@dataclass
class OwnerPeers:
    """The connection to one placer that owns every cell."""

    keepers: list[CellKeeper] = field(default_factory=list)

    async def ask(self, peer: str, body: Body, timeout: float, epoch: int = 0) -> Body:
        assert isinstance(body, DemandReport)
        await asyncio.sleep(ANSWER_SECONDS)
        for keeper in self.keepers:
            keeper.note_demand(body)
        return CellDigests(tuple(each.make_digest(body.entry) for each in self.keepers))


@dataclass(frozen=True)
class EntryPart:
    """The parts of an entry that take part in the sharing."""

    name: str
    dispatcher: Dispatcher
    cells: CellWatch


@dataclass
class Fleet:
    """One owner, its entries, and the outcomes of the requests of each entry."""

    group: asyncio.TaskGroup
    settings: Settings
    targets: SlotTargets
    store: MemoryStore = field(default_factory=MemoryStore)
    peers: OwnerPeers = field(default_factory=OwnerPeers)
    entries: dict[str, EntryPart] = field(default_factory=dict)
    served: Counter[str] = field(default_factory=Counter)
    refused: dict[str, list[str]] = field(default_factory=dict)
    services: list["asyncio.Task[None]"] = field(default_factory=list)
    number: int = 0

    def start(self, service: Coroutine[Any, Any, None]) -> None:
        self.services.append(self.group.create_task(service))

    async def register(self, name: str, program: str) -> None:
        record = ProcessRecord(name, name, program, DOMAIN, "http", f"peer-{name}")
        value = msgspec.json.encode(record)
        await self.store.put(PROCESSES_PREFIX + name, value, 0)

    async def start_owner(self) -> None:
        """Run every cell, until entries may be granted slots."""
        directory = Directory(self.store)
        exchange = DigestExchange(
            "placer", self.peers, directory, lambda: self.settings
        )
        for cell in self.settings.fleet.cells:
            workers = cast(Workers, IdleWorkers())
            command = Command(
                workers, cell.name, 1, LEASE_SECONDS, lambda: True, lambda: False
            )
            keeper = CellKeeper(
                cell,
                self.store,
                command,
                lambda: self.settings,
                exchange,
                lambda: 0,
                Counter,
            )
            self.start(keeper.run())
            await keeper.recovered.wait()
            self.peers.keepers.append(keeper)
        await self.register("placer", "placer")

    async def start_entry(self, name: str) -> EntryPart:
        """Start an entry, and return it once it would take traffic."""
        policy = Policy(retry_ratio=0.1)
        directory = Directory(self.store)
        claims = Claims(self.store, name, cast(Any, None))
        queue, router = make_queue(policy), make_router(name, policy)
        dispatcher = Dispatcher(queue, router, self.targets, claims)
        cells = CellWatch(
            name,
            DOMAIN,
            self.peers,
            directory,
            dispatcher,
            EmptyList(),
            lambda: self.settings,
        )
        for service in (directory.run(), dispatcher.run(), cells.run()):
            self.start(service)
        await cells.informed.wait()
        part = self.entries[name] = EntryPart(name, dispatcher, cells)
        self.refused[name] = []
        return part

    def make_waiting(self) -> QueuedRequest:
        self.number += 1
        now = read_clock()
        return QueuedRequest(
            request_id=f"request-{self.number}",
            organisation="organisation",
            team="team",
            job_class="preview",
            urgency=Urgency.URGENT,
            idempotent=True,
            arrived_at=now,
            deadline=now + DEADLINE_SECONDS,
            expected_seconds=RUN_SECONDS,
        )

    async def call(self, name: str) -> None:
        """Send one request after another to an entry, for ever."""
        dispatcher = self.entries[name].dispatcher
        while True:
            waiting = self.make_waiting()
            order = RequestOrder(
                waiting.request_id, "organisation", "preview", True, RUN_SECONDS, b""
            )
            try:
                await dispatcher.answer(order, waiting, 1)
                self.served[name] += 1
            except Failure as failure:
                self.refused[name].append(f"{failure.kind.value}: {failure.detail}")
                await asyncio.sleep(ANSWER_SECONDS)

    def start_callers(self, name: str, callers: int) -> None:
        for _ in range(callers):
            self.start(self.call(name))

    def count_slots(self) -> dict[str, int]:
        """Return how many slots each entry may use now."""
        return {
            name: each.dispatcher.router.count_slots(read_clock())
            for name, each in self.entries.items()
        }


def run_fleet(context: Any, work: Callable[[Fleet], Coroutine[Any, Any, None]]) -> None:
    """Run some work on a new fleet; its results are left in the context."""
    settings = read_example_settings("domeworks")

    async def run() -> None:
        async with asyncio.TaskGroup() as group:
            targets = SlotTargets(dict(view_settings(settings).slots))
            fleet = context.fleet = Fleet(group, settings, targets)
            await work(fleet)
            context.slots = fleet.count_slots()
            for service in fleet.services:
                service.cancel()

    # Entries and owners randomise their intervals; the seed makes runs repeatable.
    chance = random.getstate()
    random.seed(SEED)
    run_paused(run())
    random.setstate(chance)


@given(
    "{count:d} entries that have shared the slots of all workers "
    "for {seconds:d} seconds"
)
def plan_entries(context: Any, count: int, seconds: int) -> None:
    context.old = [f"entry-{number}" for number in range(1, count + 1)]
    context.shared_seconds = seconds
    context.busy_callers = 0


@given("{callers:d} callers ask each of them one after another")
def plan_callers(context: Any, callers: int) -> None:
    context.busy_callers = callers


@when(
    "a third entry joins, and {callers:d} callers ask it one after another "
    "for {seconds:d} seconds"
)
def join_third(context: Any, callers: int, seconds: int) -> None:
    context.asked = "entry-3"

    async def join(fleet: Fleet) -> None:
        await fleet.start_owner()
        for name in context.old:
            await fleet.register(name, "entry")
            await fleet.start_entry(name)
            fleet.start_callers(name, context.busy_callers)
        await asyncio.sleep(context.shared_seconds)
        for refused in fleet.refused.values():
            # Refusals during the owner's own start are not checked here.
            refused.clear()
        await fleet.register(context.asked, "entry")
        await fleet.start_entry(context.asked)
        fleet.start_callers(context.asked, callers)
        await asyncio.sleep(seconds)

    run_fleet(context, join)


@given("the list of processes shows {count:d} entries and not the one that is asked")
def plan_unlisted(context: Any, count: int) -> None:
    context.old = [f"entry-{number}" for number in range(1, count + 1)]


@when("{callers:d} callers ask it one after another for {seconds:d} seconds")
def ask_unlisted(context: Any, callers: int, seconds: int) -> None:
    context.asked = "entry-3"

    async def ask(fleet: Fleet) -> None:
        for name in context.old:
            await fleet.register(name, "entry")
        await fleet.start_entry(context.asked)
        await asyncio.sleep(WARM_UP_SECONDS)
        fleet.start_callers(context.asked, callers)
        await asyncio.sleep(seconds)

    run_fleet(context, ask)


@then("none of its requests is refused or fails")
def check_asked(context: Any) -> None:
    fleet: Fleet = context.fleet
    refused = fleet.refused[context.asked]
    assert not refused, (len(refused), fleet.served, refused[:3])
    assert fleet.served[context.asked], "nothing was served"


@then("no request of any entry is refused or fails")
def check_all(context: Any) -> None:
    fleet: Fleet = context.fleet
    for name, refused in fleet.refused.items():
        assert not refused, (name, len(refused), fleet.served, refused[:3])
        assert fleet.served[name], name


@then("at the end each entry may use at least a quarter of the slots")
def check_shares(context: Any) -> None:
    total = sum(view_settings(context.fleet.settings).slots.values())
    assert min(context.slots.values()) >= total / 4, context.slots
    assert sum(context.slots.values()) <= total, context.slots

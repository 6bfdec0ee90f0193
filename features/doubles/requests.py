"""Entries, a store and targets on a virtual clock, and the oracle for them."""

import asyncio
import random
from dataclasses import dataclass, field

from features.doubles.network import (
    FaultyStore,
    FaultyTargets,
    Link,
    Reached,
    current_call,
)
from features.doubles.processes import PausedRunner, Running, SimulatedProcess

from primrosestile.clock import read_clock
from primrosestile.coordination.claims import Claims
from primrosestile.coordination.dispatcher import Dispatcher
from primrosestile.coordination.membership import (
    Directory,
    ProcessLease,
    Registration,
)
from primrosestile.decisions.request_queue import QueuedRequest, make_queue
from primrosestile.decisions.routing import make_router
from primrosestile.errors import ErrorKind, Failure
from primrosestile.programs.entry import DirectoryCheck
from primrosestile.protocol.workers import RequestAnswer, RequestOrder
from primrosestile.state.jobs import ProcessRecord
from primrosestile.state.tenancy import Policy, Urgency
from primrosestile_standin.fleet import MemoryTargets, MemoryVmList
from primrosestile_standin.ledger import RequestRun
from primrosestile_standin.store import MemoryStore
from primrosestile_standin.worker import MemoryWorker, make_answer_body

ENTRIES = ("e0", "e1")
TARGETS = ("w0", "w1", "w2")
SLOTS = 2
ORGANISATION = "thistlegate"
LEASE_SECONDS = 4
DEADLINE_SECONDS = 10.0
POLL_SECONDS = 2.0
LEAVING_BOUND_SECONDS = 5.0
SETTLE_SECONDS = 40.0


class Entry:
    """One entry process, wired as its program wires it but for HTTP and grants."""

    def __init__(self, world: "Counter", name: str, incarnation: int) -> None:
        self.process = SimulatedProcess(name)
        self.store_link = Link()
        self.target_link = Link()
        self._world = world
        store = FaultyStore(world.store, self.store_link)
        targets = FaultyTargets(world.targets, self.target_link, world.reached)
        self.lease = ProcessLease(store, LEASE_SECONDS)
        self.directory = Directory(store)
        record = ProcessRecord(
            name, name, "entry", "leith", "", f"{name}:1", str(incarnation)
        )
        self.registration = Registration(store, self.lease, record)
        claims = Claims(store, f"{name}/{incarnation}", DirectoryCheck(self.directory))
        # Retries may run a request twice, so the budget does not limit them here.
        policy = Policy(retry_ratio=1.0)
        self.dispatcher = Dispatcher(
            make_queue(policy), make_router(name, policy), targets, claims
        )

    def start(self) -> None:
        self.process.main = self.process.start(self._run())

    async def _run(self) -> None:
        async with asyncio.TaskGroup() as group:
            for work in (
                self.lease.run(),
                self.directory.run(),
                self.registration.run(),
                self.dispatcher.run(),
                self._follow_targets(),
            ):
                group.create_task(work)

    async def _follow_targets(self) -> None:
        router = self.dispatcher.router
        router.set_entries(ENTRIES)
        slots = dict.fromkeys(TARGETS, SLOTS)
        while True:
            listed = await self._world.vm_list.read()
            leaving = frozenset(each.name for each in listed if each.leaving)
            router.set_targets(slots, leaving, read_clock())
            grants = dict.fromkeys(TARGETS, 1)
            router.set_grants(TARGETS, grants, read_clock() + 3 * POLL_SECONDS)
            self.dispatcher.wake()
            await asyncio.sleep(POLL_SECONDS)


@dataclass(eq=False, slots=True)
class Call:
    """One attempt of a caller to send a request.

    Attributes:
        answer: The whole answer, if there was one.
        kind: The error, if there was no answer.
        at: Loop time at which the caller got the answer or error.
    """

    order: RequestOrder
    entry: str
    answer: RequestAnswer | None = None
    kind: ErrorKind | None = None
    not_run: bool = False
    at: float = 0.0
    task: "asyncio.Task[None] | None" = None


@dataclass(slots=True)
class Request:
    """One request with all its attempts; idempotent work may run twice."""

    order: RequestOrder
    calls: list[Call] = field(default_factory=list)


class Counter:
    """All parts of one fuzzed run: callers, entries, store and targets."""

    def __init__(self, seed: int = 0) -> None:
        random.seed(seed)
        self.runner = PausedRunner()
        self.requests: list[Request] = []
        self.reached: list[Reached] = []
        self.left: dict[str, float] = {}
        self.paused_until = 0.0
        self.entries: dict[str, Entry] = {}
        self._incarnations = 0
        self.runner.run(self._build())

    async def _build(self) -> None:
        self.store = MemoryStore()
        self.workers = {name: MemoryWorker(name, slots=SLOTS) for name in TARGETS}
        self.targets = MemoryTargets(self.workers)
        self.vm_list = MemoryVmList()
        for name in ENTRIES:
            self._start_entry(name)

    def _start_entry(self, name: str) -> None:
        self._incarnations += 1
        self.entries[name] = Entry(self, name, self._incarnations)
        self.entries[name].start()

    def advance(self, seconds: float) -> None:
        self.runner.advance(seconds)

    def send_new(self, entry: str, idempotent: bool, seconds: float) -> None:
        """Send a new request to an entry."""
        order = RequestOrder(
            request_id=f"r{len(self.requests)}",
            organisation=ORGANISATION,
            job_class="quote" if idempotent else "surcharge",
            idempotent=idempotent,
            expected_seconds=seconds,
            body=f"body {len(self.requests)}".encode(),
        )
        self.requests.append(Request(order))
        self.send_again(len(self.requests) - 1, entry)

    def send_again(self, number: int, entry: str) -> None:
        """Send a request again under its id, as a caller without an answer does."""
        self.runner.run(self._send(self.requests[number], entry))

    async def _send(self, request: Request, entry: str) -> None:
        call = Call(request.order, entry)
        request.calls.append(call)
        work = self._answer(call, self.entries[entry].dispatcher, len(request.calls))
        call.task = self.entries[entry].process.start(work)

    async def _answer(self, call: Call, dispatcher: Dispatcher, attempt: int) -> None:
        current_call.set(call)
        order = call.order
        now = read_clock()
        waiting = QueuedRequest(
            request_id=order.request_id,
            organisation=order.organisation,
            team="counters",
            job_class=order.job_class,
            urgency=Urgency.URGENT if order.idempotent else Urgency.PATIENT,
            idempotent=order.idempotent,
            arrived_at=now,
            deadline=now + DEADLINE_SECONDS,
            expected_seconds=order.expected_seconds,
        )
        try:
            call.answer = await dispatcher.answer(order, waiting, attempt)
        except Failure as failure:
            call.kind = failure.kind
            call.not_run = failure.not_run
        call.at = read_clock()

    def hang_up(self, number: int) -> None:
        """Close the caller's connection of the latest attempt of a request."""
        task = self.requests[number].calls[-1].task
        if task is not None:
            self.runner.run(self._cancel(task))

    async def _cancel(self, task: "asyncio.Task[None]") -> None:
        task.cancel()

    def pause(self, name: str) -> None:
        self.entries[name].process.pause()

    def resume(self, name: str) -> None:
        self.runner.run(self._resume(name))

    async def _resume(self, name: str) -> None:
        self.entries[name].process.resume()
        self.paused_until = read_clock()

    def restart(self, name: str) -> None:
        self.entries[name].process.kill()
        self.runner.run(self._restart(name))

    async def _restart(self, name: str) -> None:
        self._start_entry(name)

    def leave(self, name: str) -> None:
        self.left.setdefault(name, self.runner.now)
        self.vm_list.show(name, leaving=True)

    def heal(self) -> None:
        """End every fault; a killed entry is replaced."""
        self.store.faults.down = False
        self.store.faults.slow_seconds = 0.0
        for worker in self.workers.values():
            worker.faults.down = worker.faults.frozen = False
            worker.faults.refuse_requests = worker.faults.fail_requests = False
            worker.faults.late_seconds = 0.0
        for name, entry in list(self.entries.items()):
            for link in (entry.store_link, entry.target_link):
                link.fates.clear()
                link.cut = False
                link.cut_workers.clear()
            self.resume(name)
            if entry.process.state is Running.KILLED:
                self.restart(name)

    def close(self) -> None:
        self.runner.close()

    def list_runs(self) -> list[RequestRun]:
        return [run for each in self.workers.values() for run in each.ledger.requests]


# The oracle: checks over the targets' ledgers and the answers that callers got.


def check_requests(world: Counter) -> None:
    """Check every guarantee about requests that must hold at any time."""
    runs = world.list_runs()
    for request in world.requests:
        order = request.order
        own = [run for run in runs if run.request_id == order.request_id]
        assert order.idempotent or len(own) <= 1, (
            f"{order.request_id} ran {len(own)} times"
        )
        for index, call in enumerate(request.calls):
            check_call(call, request.calls[:index], own, world.reached)
    for name, since in world.left.items():
        latest = max(since, world.paused_until) + LEAVING_BOUND_SECONDS
        late = [run for run in runs if run.worker == name and run.start > latest]
        assert not late, f"{late[0].request_id} was sent to {name}, which is leaving"
    for entry in world.entries.values():
        main = entry.process.main
        ended = main is not None and main.done() and not main.cancelled()
        assert not ended, f"{entry.process.name} ended"


def check_call(
    call: Call, earlier: list[Call], runs: list[RequestRun], reached: list[Reached]
) -> None:
    """Check that a caller got its own whole answer, or a true error.

    "Not run" must stay true of this attempt, and hold for all earlier ones up to the
    time of the error. A later attempt that overtook this one is the caller's own and
    has an answer of its own.
    """
    order = call.order
    if call.answer is not None:
        assert call.answer.body == make_answer_body(order), "a foreign answer"
        assert any(run.ok for run in runs), f"{order.request_id} has not run"
    if not call.not_run:
        return
    by_this_call = find_caused_runs([call], runs, reached)
    assert not by_this_call, f"{order.request_id} was told {call.kind} and ran"
    if not order.idempotent:
        by_earlier = find_caused_runs(earlier, runs, reached)
        before = [run for run in by_earlier if run.start <= call.at]
        assert not before, f"{order.request_id} was told {call.kind} and had run"


def find_caused_runs(
    calls: list[Call], runs: list[RequestRun], reached: list[Reached]
) -> list[RequestRun]:
    """Return the runs that some attempts caused."""
    arrivals = {(each.target, each.time) for each in reached if each.call in calls}
    return [run for run in runs if (run.worker, run.start) in arrivals]


def check_answerable(world: Counter) -> None:
    """Check that without faults each id is answered, or its outcome is unknown.

    A request that never ran and is sent again runs.
    """
    final = (ErrorKind.OUTCOME_UNKNOWN, ErrorKind.ALREADY_DONE, ErrorKind.TARGET_FAILED)
    for number, request in enumerate(world.requests):
        if request.order.idempotent:
            continue
        world.send_again(number, ENTRIES[0])
        world.advance(DEADLINE_SECONDS)
        call = request.calls[-1]
        assert call.answer is not None or call.kind in final, (
            f"{request.order.request_id} gets {call.kind} for ever"
        )

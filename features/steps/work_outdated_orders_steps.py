"""Steps for orders that are settled after the run that they were for."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

from behave import given, step, then, when
from features.doubles.fleet_world import FleetWorld
from features.steps.work_decisions_steps import add_job, add_worker, make_fleet_state
from features.steps.work_steps import (
    make_id,
)

from primrosestile.clock import read_clock
from primrosestile.coordination.work.keys import make_progress_key
from primrosestile.coordination.work.orders import START_TRIES, Orders
from primrosestile.coordination.work.scheduler import Scheduler
from primrosestile.decisions.work.durations import Durations
from primrosestile.decisions.work.paces import Pace
from primrosestile.decisions.work.permits import Permit
from primrosestile.decisions.work.plan import Assignment
from primrosestile.decisions.work.proofs import Proof
from primrosestile.decisions.work.queue_order import rank_unit
from primrosestile.decisions.work.units import Member, MemberState, Unit
from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.fleet import OrderAnswer, Refusal
from primrosestile.state.work import Need, Phase, Step

# At 3.1 s all of a2 ends: both a1's second step and a3 need two workers of it.
SHARED_PASS = """
Given a fleet of 5 workers with 8 accelerators in 1 racks
And 1 processes of ours
And crashed workers restart after 0.02 s
And the tasks of a1 take 3 s
And the tasks of a2 take 3 s
And the tasks of a3 take 5 s
And the tasks of a4 take 3 s
When job a1 is handed in with steps
  | count | accelerators | after | gang |
  | 1     | 8            |       |      |
  | 2     | 8            | 0     | yes  |
And a1 runs on the fleet
And 0.1 s pass
And job a2 is handed in with steps
  | count | accelerators |
  | 3     | 8            |
And a2 runs on the fleet
And 0.1 s pass
And job a4 is handed in with steps
  | count | accelerators |
  | 1     | 8            |
And job a3 is handed in with steps
  | count | accelerators | gang |
  | 2     | 8            | yes  |
And the next record of a1 is stored, and not answered for {seconds} s
"""
STEP = Step(1, Need(1000, 1000, 1))
TICKET_SECONDS = 60.0


@dataclass
class HeldOrders:
    """Orders for one task, with each step blocked until the test continues it.

    Attributes:
        held: What the first run waits for; all other steps take no time.
        calls: The unanswered calls to workers.
    """

    held: str
    calls: list["asyncio.Future[OrderAnswer]"] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.fleet_state = make_fleet_state()
        for number in (1, 2):
            add_worker(self.fleet_state, number, 8)
        add_job(self.fleet_state, 1, 1, (STEP,))
        (self.unit,) = self.fleet_state.jobs[f"{1:016x}"].units.values()
        self.first: Member
        self.links = {
            worker.name: SimpleNamespace(
                worker=worker,
                entry=worker.entry,
                find_lease_end=lambda: 9.0,
                record_order_answer=lambda clock, sent_at: None,
                record_silence=lambda failure: None,
            )
            for worker in self.fleet_state.workers.values()
        }
        self.gate = asyncio.Event()
        self.passed = 0

    async def hold(self, what: str) -> None:
        """Block the first run's step of this name until the gate opens."""
        if what == self.held and not self.passed:
            self.passed = 1
            await self.gate.wait()

    async def save(self, jobs: Any) -> None:
        await self.hold("its record")

    async def confirm(self, workers: Any, seconds: float) -> None:
        await self.hold("the entry of its worker")

    async def start(self, entry: Any, fence: int, order: Any) -> OrderAnswer:
        if entry.worker != "w1":
            return OrderAnswer(1.0)
        return await self.call()

    async def pace(
        self, entry: Any, fence: int, task: str, run: int, percent: int
    ) -> OrderAnswer:
        return await self.call()

    async def call(self) -> OrderAnswer:
        self.calls.append(asyncio.get_running_loop().create_future())
        return await self.calls[-1]

    def make_orders(self, tasks: asyncio.TaskGroup) -> Orders:
        return Orders(
            SimpleNamespace(
                start=self.start,
                pace=self.pace,
                find_transfer_seconds=lambda payload: 0.0,
            ),
            SimpleNamespace(may_act=lambda: True, fence=1, lost=asyncio.Event()),
            self.fleet_state,
            SimpleNamespace(save=self.save, request_round=lambda: None),
            self.links,
            tasks,
            lambda: None,
            SimpleNamespace(
                confirm=self.confirm, is_recent=lambda worker, seconds: True
            ),
        )

    def order(self, worker: str) -> None:
        rank = rank_unit(self.unit, 0.0, False, Durations())
        self.orders.start(
            [Assignment(self.unit, (self.fleet_state.workers[worker],), rank)]
        )


async def settle() -> None:
    """Let all tasks run until they wait."""
    for _ in range(20):
        await asyncio.sleep(0)


def find_unit(context: Any) -> Unit:
    unit: Unit = context.held.unit
    return unit


def play(context: Any, action: Callable[[HeldOrders], Any]) -> None:
    """Do something while the orders' tasks run."""

    async def run() -> None:
        result = action(context.held)
        if asyncio.iscoroutine(result):
            await result
        await settle()

    context.world.run(run())


def begin(context: Any, what: str) -> None:
    """Begin a term whose orders are held at a step."""
    world = context.world = FleetWorld()
    context.cleanups.append(world.close)

    async def build() -> None:
        held = context.held = HeldOrders(what)
        ready = asyncio.Event()

        async def run() -> None:
            async with asyncio.TaskGroup() as tasks:
                held.orders = held.make_orders(tasks)
                ready.set()
                await asyncio.Event().wait()

        context.term = asyncio.create_task(run())
        await ready.wait()

    world.run(build())


@given("a task whose first run waits for {what}")
def step_first_run(context: Any, what: str) -> None:
    begin(context, what)

    async def order(held: HeldOrders) -> None:
        if what == "a refusal of its ticket":
            give_ticket(held, "old")
        held.order("w1")
        (held.first,) = held.unit.members
        await settle()
        if what != "the last failure of its start":
            return
        for _ in range(START_TRIES - 1):
            held.calls[-1].set_exception(
                Failure(ErrorKind.WORKER_UNREACHABLE, "no answer")
            )
            await settle()

    play(context, order)


def give_ticket(held: HeldOrders, ticket: str) -> None:
    until = read_clock() + TICKET_SECONDS
    held.unit.permits.granted["w1"] = Permit(ticket, until)


@when("its worker is lost, and its second run is started elsewhere")
def step_second_run(context: Any) -> None:
    async def lose(held: HeldOrders) -> None:
        held.fleet_state.drop_worker("w1", Proof.INCARNATION_OVER)
        del held.links["w1"]
        assert held.unit.idle
        held.order("w2")
        await settle()
        assert held.unit.members[0].state is MemberState.UP

    play(context, lose)


@when("its worker starts again under its id")
def step_restarts(context: Any) -> None:
    def restart(held: HeldOrders) -> None:
        successor = held.fleet_state.workers["w2"]
        held.fleet_state.record_restart("w1", successor)

    play(context, restart)


@when("{what} arrives")
def step_arrives(context: Any, what: str) -> None:
    def arrive(held: HeldOrders) -> None:
        if what == "a refusal of its start":
            held.calls[-1].set_result(OrderAnswer(1.0, Refusal.ROOM))
        elif what == "a refusal of its ticket":
            held.calls[-1].set_result(OrderAnswer(1.0, Refusal.TICKET))
        elif what == "an acceptance of its start":
            held.calls[-1].set_result(OrderAnswer(1.0))
        elif what == "the last failure of its start":
            held.calls[-1].set_exception(
                Failure(ErrorKind.WORKER_UNREACHABLE, "no answer")
            )
        elif what == "the failure of the first pace":
            held.calls[0].set_exception(
                Failure(ErrorKind.WORKER_UNREACHABLE, "no answer")
            )
        else:
            held.gate.set()

    play(context, arrive)


@then("the second run goes on")
def step_goes_on(context: Any) -> None:
    unit = find_unit(context)
    assert unit.phase is Phase.ORDERED and not unit.abandoned, unit.phase
    assert [member.state for member in unit.members] == [MemberState.UP]


@then("the first run does not count as up")
def step_not_up(context: Any) -> None:
    assert context.held.first.state is not MemberState.UP


@when("the advice service gives another ticket")
def step_ticket(context: Any) -> None:
    play(context, lambda held: give_ticket(held, "new"))


@then("the newer ticket is still valid")
def step_valid(context: Any) -> None:
    permit = find_unit(context).permits.granted["w1"]
    assert permit.until > 0.0, permit


@given("a best-effort task whose pace of 50 waits for its answer")
def step_pace(context: Any) -> None:
    begin(context, "")

    async def pace(held: HeldOrders) -> None:
        held.fleet_state.order(held.unit, ["w1"], read_clock())
        (held.first,) = held.unit.members
        held.orders.pace([Pace(held.first, 50)])
        await settle()

    play(context, pace)


@when("its pace of 25 is answered")
def step_newer_pace(context: Any) -> None:
    async def pace(held: HeldOrders) -> None:
        await asyncio.sleep(0.1)
        held.orders.pace([Pace(held.first, 25)])
        await settle()
        held.calls[1].set_result(OrderAnswer(1.0))

    play(context, pace)


@then("the task counts as paced to 25")
def step_paced(context: Any) -> None:
    assert context.held.first.pace == 25, context.held.first.pace


@given(
    "one pass is to start a1 and a3, and the record of a1 is {seconds:g} s late",
)
def step_shared_pass(context: Any, seconds: float) -> None:
    context.execute_steps(SHARED_PASS.format(seconds=seconds))


def find_scheduler(world: FleetWorld) -> Scheduler:
    """Return the scheduler of the process that is the owner."""
    return next(
        process.scheduler
        for process in world.processes.values()
        if process.election.term is not None and process.scheduler is not None
    )


@step("the next record of {name} is stored, and not answered for {seconds:g} s")
def step_late_answer(context: Any, name: str, seconds: float) -> None:
    client = find_scheduler(context.world)._store
    commit = client.commit
    key = make_progress_key(make_id(name))

    async def commit_late(
        conditions: Any, writes: Any = (), *rest: Any, **named: Any
    ) -> Any:
        result = await commit(conditions, writes, *rest, **named)
        if any(write.key == key for write in writes):
            client.commit = commit
            await asyncio.sleep(seconds)
            raise Failure(ErrorKind.STORE_ANSWER_LOST, "late")
        return result

    client.commit = commit_late


async def wait_for_decision(context: Any, name: str) -> Member:
    """Return the last member of a job's first run, once that is decided."""

    def list_members() -> list[Member]:
        job = find_scheduler(context.world).fleet_state.jobs[make_id(name)]
        return [each for unit in job.units.values() for each in unit.members]

    await context.world.wait_for(lambda: bool(list_members()), 6.0)
    return list_members()[-1]


@when("{name} is to be started")
def step_decided(context: Any, name: str) -> None:
    context.world.run(wait_for_decision(context, name))


@when("a worker for {name} crashes {seconds:g} s after the decision")
def step_crash_decided(context: Any, name: str, seconds: float) -> None:
    async def crash() -> None:
        decided = await wait_for_decision(context, name)
        await asyncio.sleep(seconds)
        context.restarts.crash(decided.worker)

    context.world.run(crash())

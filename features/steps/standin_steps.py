"""Steps that test the stand-in's in-memory cores and the adapters to them alike."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import looptime
from behave import given, then, when

from primrosestile.errors import Failure
from primrosestile.protocol.store import Change
from primrosestile.protocol.workers import RequestOrder, TaskOrder, TaskPhase
from primrosestile.state.decoding import decode_json
from primrosestile.state.fleet import Worker
from primrosestile.state.jobs import Member
from primrosestile.transport.store import make_store
from primrosestile.transport.targets import make_targets
from primrosestile.transport.vms import make_vm_list
from primrosestile.transport.workers import make_workers
from primrosestile_standin.fleet import MemoryTargets, MemoryWorkers
from primrosestile_standin.platform import FaultOrder, Platform

MAX_WAIT_SECONDS = 60.0
POLL_SECONDS = 0.02
LEASE_SECONDS = 3.0
LONG_TASK_SECONDS = 100.0
CONNECTION_LIMIT = 4
WORKERS = ("w1", "w2")
ANY_PORT = "127.0.0.1:0"
DEAD_ADDRESS = "127.0.0.1:1"


class Harness:
    """The stand-in and its clients, on one loop."""

    def __init__(self, how: str) -> None:
        self.loop = asyncio.new_event_loop()
        self.over_http = how == "over HTTP"
        if not self.over_http:
            self.loop = looptime.patch_event_loop(self.loop)
            self.loop.setup_looptime()
        self.platform: Any = None
        self.failure: Failure | None = None
        self.result: Any = None
        self.changes: list[Change] = []
        self.watching: asyncio.Task[None] | None = None
        self.lease = 0
        self.paths = {name: f"/workers/{name}" for name in WORKERS}
        self.store_addresses: list[str] = []
        self.seconds = 0.2
        self.run(self.start())

    async def start(self) -> None:
        self.platform = Platform()
        fleet = tuple(Worker(name, "rack", ANY_PORT) for name in WORKERS)
        if not self.over_http:
            for worker in fleet:
                self.platform.add_worker(worker)
            self.store = self.platform.store
            self.vms = self.platform.vms
            self.workers = MemoryWorkers(self.platform.workers)
            self.targets = MemoryTargets(self.platform.workers)
            return
        self.store_addresses.append(await self.platform.serve_store(ANY_PORT))
        at = await self.platform.serve_workers(fleet, ANY_PORT)
        self.store = make_store(lambda: self.store_addresses, 1.0, 2.5)
        self.vms = make_vm_list(await self.platform.serve_vms(ANY_PORT))
        self.workers = make_workers(lambda name: at + self.paths[name])
        self.targets = make_targets(
            lambda name: at + self.paths[name], CONNECTION_LIMIT
        )

    def run(self, work: Awaitable[Any]) -> Any:
        return self.loop.run_until_complete(asyncio.wait_for(work, MAX_WAIT_SECONDS))

    def attempt(self, work: Awaitable[Any]) -> None:
        self.failure = self.result = None
        try:
            self.result = self.run(work)
        except Failure as failure:
            self.failure = failure

    def wait_until(self, condition: Callable[[], bool]) -> None:
        async def wait() -> None:
            for _ in range(int(MAX_WAIT_SECONDS / POLL_SECONDS)):
                if condition():
                    return
                await asyncio.sleep(POLL_SECONDS)
            raise AssertionError("the condition did not hold in time")

        self.run(wait())

    def close(self) -> None:
        self.run(self.finish())
        if self.watching is not None and self.watching.done():
            self.watching.exception()
        left = asyncio.all_tasks(self.loop)
        for task in left:
            task.cancel()
        if left:
            self.loop.run_until_complete(asyncio.wait(left))
        self.loop.run_until_complete(self.loop.shutdown_asyncgens())
        self.loop.close()

    async def finish(self) -> None:
        if self.over_http:
            for each in (self.store, self.vms, self.workers, self.targets):
                await each.close()
        await self.platform.close()

    async def watch(self, prefix: str, revision: int) -> None:
        async for changes in self.store.watch(prefix, revision):
            self.changes += changes

    async def send_command(
        self, worker: str, epoch: int, command: str, task_id: str
    ) -> None:
        order = TaskOrder(
            task_id,
            task_id.split(".")[0],
            "producer",
            1,
            Member(worker, (0, 1)),
            lease_seconds=LEASE_SECONDS,
            seconds=self.seconds,
        )
        route = (worker, "cell", epoch)
        if command in ("reserve", "prepare"):
            await getattr(self.workers, command)(*route, order)
        elif command == "throttle":
            await self.workers.throttle(*route, task_id, 0.01)
        elif command == "report":
            await self.workers.report(*route)
        else:
            await getattr(self.workers, command)(*route, task_id)

    def read_phase(self, worker: str, task_id: str) -> TaskPhase | None:
        async def read_report() -> Any:
            return self.platform.workers[worker].report(0)

        tasks = self.run(read_report()).tasks
        return next((each.phase for each in tasks if each.task_id == task_id), None)

    def make_request(self, request_id: str, seconds: float) -> RequestOrder:
        body = request_id.encode() * 10
        return RequestOrder(request_id, "producer", "preview", False, seconds, body)


@given("the stand-in accessed {how}")
def start_standin(context: Any, how: str) -> None:
    context.harness = Harness(how)
    context.cleanups.append(context.harness.close)


@given('a watch of "{prefix}" from revision {revision:d}')
@when('a watch of "{prefix}" from revision {revision:d}')
def start_watch(context: Any, prefix: str, revision: int) -> None:
    harness = context.harness
    harness.watching = harness.loop.create_task(harness.watch(prefix, revision))
    harness.wait_until(lambda: harness.platform.store.calls["watch"] > 0)


@given("a dead address before the store's own")
def add_dead_address(context: Any) -> None:
    context.harness.store_addresses.insert(0, DEAD_ADDRESS)


@given('the address of "{one}" leads to "{other}"')
def cross_addresses(context: Any, one: str, other: str) -> None:
    context.harness.paths[one] = f"/workers/{other}"


@when("the stand-in's faults become {faults}")
def switch_faults(context: Any, faults: str) -> None:
    order = decode_json(faults.encode(), FaultOrder)
    context.harness.run(context.harness.platform.apply(order))


@when('"{value}" is put at "{key}" expecting revision {expected:d}')
def put_value(context: Any, value: str, key: str, expected: int) -> None:
    harness = context.harness
    harness.attempt(harness.store.put(key, value.encode(), expected))


@when('"{value}" is put at "{key}" expecting the revision found')
def put_over_found(context: Any, value: str, key: str) -> None:
    put_value(context, value, key, context.harness.result.current.mod_revision)


@when('"{value}" is put at "{key}" under that lease')
def put_under_lease(context: Any, value: str, key: str) -> None:
    harness = context.harness
    harness.attempt(harness.store.put(key, value.encode(), 0, harness.lease))


@when('{count:d} bytes are put at "{key}"')
def put_bytes(context: Any, count: int, key: str) -> None:
    context.harness.attempt(context.harness.store.put(key, b"x" * count, 0))


@when('"{key}" is deleted expecting the revision found')
def delete_found(context: Any, key: str) -> None:
    harness = context.harness
    current = harness.result.current
    expected = current.mod_revision if current else 1
    harness.attempt(harness.store.delete(key, expected))


@when("a lease of {seconds:d} seconds is granted")
def grant_lease(context: Any, seconds: int) -> None:
    harness = context.harness
    harness.lease = harness.run(harness.store.grant_lease(seconds))


@when("{seconds:g} seconds pass")
def pass_time(context: Any, seconds: float) -> None:
    context.harness.run(asyncio.sleep(seconds))


@when('worker "{worker}" receives under epoch {epoch:d}: {commands}')
def send_commands(context: Any, worker: str, epoch: int, commands: str) -> None:
    harness = context.harness
    harness.seconds = LONG_TASK_SECONDS if "long" in commands else 0.2
    for command in commands.replace("long ", "").split(", "):
        command, _, task = command.partition(" of ")
        task_id = task.strip('"') or "j.1"
        harness.attempt(harness.send_command(worker, epoch, command, task_id))


@when(
    'request "{request_id}" of {length:g} seconds is sent to "{target}"'
    " with {timeout:g} seconds to answer"
)
def send_request(
    context: Any, request_id: str, length: float, target: str, timeout: float
) -> None:
    harness = context.harness
    order = harness.make_request(request_id, length)
    harness.attempt(harness.targets.send(target, order, timeout))


@when('{count:d} requests of {length:g} seconds are sent to "{target}" at once')
def send_requests(context: Any, count: int, length: float, target: str) -> None:
    harness = context.harness
    context.most_open = 0

    async def count_open() -> None:
        listener = harness.platform._groups[0].listener
        while True:
            open_now = len(listener.list_transports())
            context.most_open = max(context.most_open, open_now)
            await asyncio.sleep(0.01)

    async def send_all() -> None:
        counting = asyncio.ensure_future(count_open())
        orders = (harness.make_request(f"m{each}", length) for each in range(count))
        await asyncio.gather(
            *(harness.targets.send(target, order, 10.0) for order in orders)
        )
        counting.cancel()

    harness.run(send_all())


@then('the swap was not made and found "{value}"')
def check_swap(context: Any, value: str) -> None:
    result = context.harness.result
    assert not result.done
    assert result.current.value.decode() == value


@then('"{key}" is stored as "{value}"')
def check_stored(context: Any, key: str, value: str) -> None:
    assert context.harness.platform.store.read_all()[key].value.decode() == value


@then('"{key}" is eventually stored as "{value}"')
def await_stored(context: Any, key: str, value: str) -> None:
    store = context.harness.platform.store
    context.harness.wait_until(lambda: key in store.read_all())
    check_stored(context, key, value)


@then('"{key}" is not stored')
def check_not_stored(context: Any, key: str) -> None:
    assert key not in context.harness.platform.store.read_all()


@then('a page of {limit:d} under "{prefix}" after "{after}" is "{keys}" and {more}')
@then('a page of {limit:d} under "{prefix}" after "" is "{keys}" and {more}')
@then('a page of {limit:d} under "" after "" is "{keys}" and {more}')
def check_page(
    context: Any, limit: int, keys: str, more: str, prefix: str = "", after: str = ""
) -> None:
    harness = context.harness
    page = harness.run(harness.store.list(prefix, after, limit))
    assert " ".join(entry.key for entry in page.entries) == keys, page
    assert page.more == (more == "more"), page


@then("the lease can {whether}be renewed")
@then("the lease can be renewed")
def check_lease(context: Any, whether: str = "") -> None:
    harness = context.harness
    assert harness.run(harness.store.keep_lease(harness.lease)) == (not whether)


@then('the watch eventually shows "{expected}"')
def await_changes(context: Any, expected: str) -> None:
    harness = context.harness

    def describe() -> str:
        return ", ".join(
            f"{'put' if change.entry else 'removed'} {change.key}"
            for change in harness.changes
        )

    harness.wait_until(lambda: describe() == expected)


@then("the watch eventually fails as {kind}")
def await_broken_watch(context: Any, kind: str) -> None:
    harness = context.harness
    harness.wait_until(harness.watching.done)
    assert harness.watching.exception().kind.value == kind


@then("the store has counted {watches:d} watch calls and {writes:d} txn calls")
def check_calls(context: Any, watches: int, writes: int) -> None:
    calls = context.harness.platform.store.calls
    assert (calls["watch"], calls["txn"]) == (watches, writes), calls


@then("the stand-in's call failed as {kind}")
def check_failure(context: Any, kind: str) -> None:
    failure = context.harness.failure
    assert failure is not None and failure.kind.value == kind, failure


@then('task "{task_id}" is {phase} on "{worker}"')
def check_phase(context: Any, task_id: str, phase: str, worker: str) -> None:
    found = context.harness.read_phase(worker, task_id)
    assert found is TaskPhase(phase), found


@then('task "{task_id}" becomes {phase} on "{worker}"')
def await_phase(context: Any, task_id: str, phase: str, worker: str) -> None:
    harness = context.harness
    runs = harness.platform.workers[worker].ledger.tasks
    harness.wait_until(lambda: any(run.outcome == phase for run in runs))
    check_phase(context, task_id, phase, worker)


@then('the ledger shows {count:d} run of task "{task_id}", {outcome}')
def check_task_runs(context: Any, count: int, task_id: str, outcome: str) -> None:
    runs = context.harness.platform.read_ledger().tasks
    found = [run.outcome for run in runs if run.task_id == task_id]
    assert found == [outcome] * count, found


@then('a checkpoint of task "{task_id}" on "{worker}" saves under {most:g} seconds')
def check_checkpoint(context: Any, task_id: str, worker: str, most: float) -> None:
    harness = context.harness
    saved = harness.run(harness.workers.checkpoint(worker, "cell", 5, task_id))
    assert 0 < saved < most, saved


@then('the VM list eventually shows "{name}" as leaving')
def await_leaving(context: Any, name: str) -> None:
    harness = context.harness
    listed = harness.run(harness.vms.read())
    assert name in [vm.name for vm in listed if not vm.leaving], listed
    harness.wait_until(
        lambda: any(vm.leaving for vm in harness.platform.vms.list_vms())
    )
    listed = harness.run(harness.vms.read())
    assert name in [vm.name for vm in listed if vm.leaving], listed


@then('the answer to "{request_id}" is its own, run and {outcome}')
def check_answer(context: Any, request_id: str, outcome: str) -> None:
    answer = context.harness.result
    assert answer.request_id == request_id and answer.ran
    assert answer.body.startswith(f"answer to {request_id}: ".encode())
    assert answer.ok == (outcome == "ok")


@then('the answer to "{request_id}" says that it was not run')
def check_not_run(context: Any, request_id: str) -> None:
    answer = context.harness.result
    assert answer.request_id == request_id and not answer.ran


@then('the ledger shows {count:d} runs of request "{request_id}"')
def check_request_runs(context: Any, count: int, request_id: str) -> None:
    ledger = context.harness.platform.read_ledger()
    assert ledger.count_request(request_id) == count


@then('at most {most:d} connections were open to "{target}"')
def check_connections(context: Any, most: int, target: str) -> None:
    assert 0 < context.most_open <= most, context.most_open

"""Steps for what callers are told while the store is away."""

import asyncio
import json
import math
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any
from unittest import mock

import looptime
import msgspec
from aiohttp import StreamReader, web
from aiohttp.test_utils import make_mocked_request
from behave import given, step, then, when
from features.doubles.fleet_world import HOST, make_policy

from primrosestile.clock import read_clock
from primrosestile.coordination.work.job_submissions import JobSubmissions
from primrosestile.coordination.work.outage_scope import OutageScope
from primrosestile.coordination.work.policy_watch import PolicyWatch
from primrosestile.errors import ErrorKind, Failure
from primrosestile.platform.policy import POLICY_KEY, read_policy
from primrosestile.programs.metrics import Metrics
from primrosestile.programs.node_calls import CallerCalls
from primrosestile.protocol.policies import StoredVersion
from primrosestile.protocol.store import Entry
from primrosestile.protocol.store_views import StoreView
from primrosestile.protocol.transactions import CommitResult, Condition, Write
from primrosestile.state.policy import Policy
from primrosestile.state.work import decode_owner
from primrosestile.transport.call_progress import do_nothing
from primrosestile.transport.peer_queries import TIMEOUT_SECONDS
from primrosestile.transport.store_views import STORE_VIEW_PATH

ANSWERS = {
    "served": StoreView.ANSWERS,
    "silent": StoreView.SILENT,
    "not served": StoreView.AWAY,
    "absent": StoreView.ABSENT,
}


class PolicyStore:
    """The store and the policy in it; it answers, refuses every read, or answers none.

    Attributes:
        policy_seconds: How long a read of the policy takes.
        policy_reads: How many reads of the policy were begun.
        other_reads: How many other reads were begun.
    """

    def __init__(self, fault: str = "refuses") -> None:
        self.fault = fault
        self.policy_seconds = 0.004
        self.policy_reads = 0
        self.other_reads = 0

    async def read(self, on_part: Callable[[], None]) -> StoredVersion:
        self.policy_reads += 1
        await self._answer(self.policy_seconds)
        on_part()
        return StoredVersion(1, Entry("policy", make_policy(1), 1, 1))

    async def get(
        self,
        key: str,
        recent: bool = True,
        on_part: Callable[[], None] = do_nothing,
    ) -> Entry | None:
        self.other_reads += 1
        await self._answer(0.004)
        return None

    async def commit(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write] = (),
        removals: Sequence[str] = (),
        found_bytes: float = math.inf,
    ) -> CommitResult:
        await self._answer(0.004)
        return CommitResult(done=True, revision=2)

    async def _answer(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
        if self.fault == "answers":
            return
        silent = self.fault == "leaves unanswered"
        if silent:
            await asyncio.sleep(1.0)
        raise Failure(ErrorKind.STORE_UNAVAILABLE, "away", silent=silent)

    def decode(self, entry: Entry) -> Policy:
        return read_policy(entry)


class Peers:
    """What other VMs see of the store, and how often each was asked."""

    def __init__(self) -> None:
        self.answers: dict[str, StoreView] = {}
        self.asked: Counter[str] = Counter()

    async def ask(self, address: str) -> StoreView:
        self.asked[address] += 1
        answer = self.answers[address]
        await asyncio.sleep(TIMEOUT_SECONDS if answer is StoreView.SILENT else 0.01)
        return answer


@given("a VM that can't read the policy and knows {names}")
def step_vm(context: Any, names: str) -> None:
    make_vm(context, PolicyStore(), [] if names == "no other" else names.split(" and "))


def make_vm(context: Any, store: PolicyStore, peers: list[str]) -> None:
    context.peers = Peers()
    context.known = peers
    context.runner = asyncio.Runner(loop_factory=looptime.new_event_loop)
    context.cleanups.append(context.runner.close)
    context.store = store

    async def make() -> PolicyWatch:
        return PolicyWatch(store, 1.6, read_clock)

    policies = context.policies = context.runner.run(make())
    scope = OutageScope(context.peers, lambda: peers, lambda: policies.silent)
    connected: Any = store
    submissions = JobSubmissions(connected, policies, POLICY_KEY)
    context.calls = CallerCalls(submissions, policies, scope, Metrics("node"))


@step("peer {peer} is {answer}")
def step_peer(context: Any, peer: str, answer: str) -> None:
    context.peers.answers[peer] = ANSWERS[answer]


@given("{seconds:g} s have passed")
def step_passed(context: Any, seconds: float) -> None:
    context.runner.run(asyncio.sleep(seconds))


@given("the store {fault} this VM's reads")
def step_store(context: Any, fault: str) -> None:
    context.store.fault = fault

    async def read() -> None:
        try:
            await context.policies.refresh()
        except Failure:
            return
        raise AssertionError("the store answered")

    context.runner.run(read())


async def submit(context: Any) -> web.Response:
    request = make_mocked_request("POST", "/q/00000000000000a1")
    response: web.Response = await context.calls.answer(request)
    return response


@when("a caller submits a job")
def step_submit(context: Any) -> None:
    context.response = context.runner.run(submit(context))


@when("{seconds:g} s pass and a caller submits a job")
def step_submit_later(context: Any, seconds: float) -> None:
    context.runner.run(asyncio.sleep(seconds))
    step_submit(context)


@when("{count:d} callers submit jobs at once")
def step_submit_many(context: Any, count: int) -> None:
    async def submit_all() -> None:
        await asyncio.gather(*(submit(context) for _ in range(count)))

    context.runner.run(submit_all())


@when(
    "the store answers again {seconds:g} s later, and a caller makes {count:d} attempts"
    " meanwhile"
)
def step_attempts(context: Any, seconds: float, count: int) -> None:
    async def attempt_all() -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(seconds, setattr, context.store, "fault", "answers")
        polling = loop.create_task(context.policies.run())
        context.statuses = []
        for _ in range(count):
            response = await context.calls.answer(make_submission())
            context.statuses.append(response.status)
            if response.status == 200:
                break
            await asyncio.sleep(float(response.headers["Retry-After"]))
        polling.cancel()
        await asyncio.wait({polling})

    context.runner.run(attempt_all())


def make_submission(number: int = 1, gpu: int = 0, **headers: str) -> web.Request:
    """Return a call that submits a job of one task."""
    steps = [{"count": 1, "gpu": gpu}]
    return make_call(json.dumps({"spec": "", "steps": steps}).encode(), number, headers)


def make_call(body: bytes, number: int, headers: dict[str, str]) -> web.Request:
    """Return a call with a body that submits a job."""
    protocol = mock.Mock(_reading_paused=False)
    loop = asyncio.get_running_loop()
    payload = StreamReader(protocol, limit=2**16, loop=loop)
    payload.feed_data(body)
    payload.feed_eof()
    path = f"/usual/{number:016x}"
    headers = {"Host": HOST, "Authorization": "Token key-domes", **headers}
    return make_mocked_request("POST", path, headers=headers, payload=payload)


@then("one of its attempts is accepted")
def step_attempt_accepted(context: Any) -> None:
    assert context.statuses[-1] == 200, context.statuses


@then("it is refused as not run, to return after {delay} s")
def step_refused(context: Any, delay: str) -> None:
    assert context.response.status == 503, context.response.status
    assert context.response.headers["Retry-After"] == delay


@then("peer {peer} was asked {count:d} times")
def step_asked(context: Any, peer: str, count: int) -> None:
    assert context.peers.asked[peer] == count, context.peers.asked


@then("an owner's record without a peer address is still read as its own")
def step_earlier_record(context: Any) -> None:
    owner = decode_owner(msgspec.msgpack.encode(["vm-1", "10.1.0.1:8521"]))
    assert (owner.process, owner.address) == ("vm-1", "10.1.0.1:8521")
    assert owner.peer_address == ""


@given("a VM that has read the policy {seconds:g} s ago")
def step_read_before(context: Any, seconds: float) -> None:
    make_vm(context, PolicyStore("answers"), [])

    async def read() -> None:
        # The first read brings the policy, the second proves that it is the newest.
        await context.policies.refresh()
        await context.policies.refresh()
        await asyncio.sleep(seconds)

    context.runner.run(read())


@given("the store {fault} its reads now")
def step_store_now(context: Any, fault: str) -> None:
    context.store.fault = fault


@given("a read of the policy takes {seconds:g} s now")
def step_slow_policy(context: Any, seconds: float) -> None:
    context.store.policy_seconds = seconds


@when("another VM asks it whether the store answers")
def step_ask(context: Any) -> None:
    step_ask_many(context, 1)


@when("{count:d} other VMs ask it at once whether the store answers")
def step_ask_many(context: Any, count: int) -> None:
    context.store.policy_reads = 0

    async def ask() -> None:
        began = read_clock()
        requests = [make_mocked_request("GET", STORE_VIEW_PATH) for _ in range(count)]
        answers = await asyncio.gather(*map(context.calls.answer_peer, requests))
        context.response = answers[0]
        context.took = read_clock() - began

    context.runner.run(ask())


@then("it has made {count:d} small read of the store and none of the policy")
def step_small_read(context: Any, count: int) -> None:
    assert context.store.other_reads == count, context.store.other_reads
    assert not context.store.policy_reads, context.store.policy_reads


@then("it says {answer} within {seconds:g} s")
def step_says(context: Any, answer: str, seconds: float) -> None:
    assert context.response.status == {"yes": 200, "no": 503}[answer]
    assert context.took <= seconds, context.took


@then("its connection is closed")
def step_closed(context: Any) -> None:
    assert context.response.keep_alive is False


@then("its connection stays open")
def step_open(context: Any) -> None:
    assert context.response.keep_alive is not False

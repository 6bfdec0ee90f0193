"""Steps for what callers are told while the store is away."""

import asyncio
from collections import Counter
from typing import Any

import looptime
import msgspec
from aiohttp import web
from aiohttp.test_utils import make_mocked_request
from behave import given, step, then, when
from features.doubles.fleet_world import make_policy

from primrosestile.clock import read_clock
from primrosestile.coordination.work.job_submissions import JobSubmissions
from primrosestile.coordination.work.outage_scope import OutageScope
from primrosestile.coordination.work.policy_watch import PolicyWatch
from primrosestile.errors import ErrorKind, Failure
from primrosestile.platform.policy import POLICY_KEY, read_policy
from primrosestile.programs.metrics import Metrics
from primrosestile.programs.node_calls import CallerCalls
from primrosestile.protocol.store import Entry
from primrosestile.protocol.store_views import StoreView
from primrosestile.state.policy import Policy
from primrosestile.state.work import decode_owner
from primrosestile.transport.store_views import STORE_VIEW_PATH, TIMEOUT_SECONDS

ANSWERS = {
    "served": StoreView.ANSWERS,
    "silent": StoreView.SILENT,
    "not served": StoreView.AWAY,
    "absent": StoreView.ABSENT,
}


class PolicyStore:
    """The policy's source; it answers, refuses every read, or answers none."""

    def __init__(self, fault: str = "refuses") -> None:
        self.fault = fault

    async def read(self) -> Entry:
        await asyncio.sleep(0.004)
        if self.fault == "answers":
            return Entry("policy", make_policy(1), 1, 1)
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
    # No submission reaches the store without a recent policy.
    submissions: Any = JobSubmissions(None, policies, POLICY_KEY)  # type: ignore[arg-type]
    context.calls = CallerCalls(submissions, policies, scope, Metrics("node"))


@step("peer {peer} is {answer}")
def step_peer(context: Any, peer: str, answer: str) -> None:
    context.peers.answers[peer] = ANSWERS[answer]


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


@when("another VM asks it whether the store answers")
def step_ask(context: Any) -> None:
    async def ask() -> None:
        began = read_clock()
        request = make_mocked_request("GET", STORE_VIEW_PATH)
        context.response = await context.calls.answer_peer(request)
        context.took = read_clock() - began

    context.runner.run(ask())


@then("it says {answer} within {seconds:g} s")
def step_says(context: Any, answer: str, seconds: float) -> None:
    assert context.response.status == {"yes": 200, "no": 503}[answer]
    assert context.took <= seconds, context.took

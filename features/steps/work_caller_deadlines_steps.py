"""Steps for answers to callers who wait for a limited time."""

import asyncio
from collections.abc import Callable
from typing import Any

import structlog.testing
from aiohttp import web
from aiohttp.test_utils import make_mocked_request
from behave import given, then, when
from features.doubles.fleet_world import HOST
from features.steps.work_outage_scope_steps import (
    ANSWERS,
    PolicyStore,
    make_submission,
    make_vm,
)

from primrosestile.clock import read_clock
from primrosestile.coordination.work.job_submissions import JobSubmissions
from primrosestile.errors import ErrorKind, Failure
from primrosestile.platform.callers import DEADLINE_HEADER
from primrosestile.platform.policy import POLICY_KEY
from primrosestile.protocol.store import Entry
from primrosestile.transport.call_progress import do_nothing

JOB_ID = "00000000000000a1"


class LateStore:
    """A store that refuses each read after a time."""

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds

    async def get(
        self,
        key: str,
        recent: bool = True,
        on_answer: Callable[[], None] = do_nothing,
    ) -> Entry | None:
        await asyncio.sleep(self._seconds)
        raise Failure(ErrorKind.STORE_UNAVAILABLE, "refused")


@given("it knows {name}, which is {answer}")
def step_peer(context: Any, name: str, answer: str) -> None:
    context.known.append(name)
    context.peers.answers[name] = ANSWERS[answer]


@given("the store refuses its other reads after {seconds:g} s")
def step_late_reads(context: Any, seconds: float) -> None:
    store: Any = LateStore(seconds)
    context.calls._submissions = JobSubmissions(store, context.policies, POLICY_KEY)


@given("a VM that has just started")
def step_just_started(context: Any) -> None:
    make_vm(context, PolicyStore("answers"), [])


@given("its process has been suspended for {seconds:g} s")
def step_suspended(context: Any, seconds: float) -> None:
    if not seconds:
        return

    async def suspend() -> None:
        slow = context.store.policy_seconds
        context.store.policy_seconds = 0.004
        await context.policies.refresh()
        context.store.policy_seconds = slow
        read_steady = context.policies._read_steady
        context.policies._read_steady = lambda: read_steady() + seconds

    context.runner.run(suspend())


@given("a call to the store has just failed")
def step_doubtful(context: Any) -> None:
    context.policies.doubtful = True
    context.store.policy_reads = 0


def call(context: Any, method: str, deadline_header: str | None) -> None:
    """Send one call and record its answer, duration and log."""
    headers = {"Host": HOST, "Authorization": "Token key-domes"}
    if deadline_header is not None:
        headers[DEADLINE_HEADER] = deadline_header

    async def send() -> None:
        request = make_mocked_request(method, f"/usual/{JOB_ID}", headers=headers)
        began = read_clock()
        context.response = await context.calls.answer(request)
        context.took = read_clock() - began

    with structlog.testing.capture_logs() as context.log:
        context.runner.run(send())


def call_within(context: Any, method: str, seconds: float) -> None:
    context.deadline = seconds
    call(context, method, f"{seconds * 1000:g}")


@when("a caller with a deadline of {seconds:g} s submits a job")
def step_submit(context: Any, seconds: float) -> None:
    call_within(context, "POST", seconds)


@when(
    "a caller with a deadline of {seconds:g} s asks for the state of a job while the"
    " policy is polled"
)
def step_query_polled(context: Any, seconds: float) -> None:
    polling = context.runner.get_loop().create_task(context.policies.run())
    context.cleanups.append(polling.cancel)
    call_within(context, "GET", seconds)


@then("it is told {status:d} within {seconds:g} s")
def step_told(context: Any, status: int, seconds: float) -> None:
    assert context.response.status == status, context.response.status
    assert context.took <= seconds, context.took


@when("a caller with a deadline of {seconds:g} s asks for the state of a job")
def step_query(context: Any, seconds: float) -> None:
    call_within(context, "GET", seconds)


@when("{pause:g} s pass and a caller with a deadline of {seconds:g} s submits a job")
def step_submit_later(context: Any, pause: float, seconds: float) -> None:
    context.runner.run(asyncio.sleep(pause))
    call_within(context, "POST", seconds)


@when('a caller with the deadline "{header}" submits a job')
def step_header(context: Any, header: str) -> None:
    call(context, "POST", header)


@when('a caller with the deadline "" submits a job')
def step_no_header(context: Any) -> None:
    call(context, "POST", None)


@then("it was answered within its deadline")
def step_in_time(context: Any) -> None:
    assert context.took < context.deadline, context.took


@then("the log of its refusal has the deadline {seconds:g} s")
def step_logged(context: Any, seconds: float) -> None:
    lines = [line for line in context.log if line["event"] == "call_refused"]
    assert [line["deadline"] for line in lines] == [seconds], lines


@when("{count:d} callers with a deadline of {seconds:g} s submit jobs at once")
def step_submit_many(context: Any, count: int, seconds: float) -> None:
    headers = {DEADLINE_HEADER: f"{seconds * 1000:g}"}

    async def send(number: int) -> int:
        request = make_submission(number, **headers)
        response: web.Response = await context.calls.answer(request)
        return response.status

    async def send_all() -> None:
        began = read_clock()
        context.statuses = await asyncio.gather(*map(send, range(count)))
        context.took = read_clock() - began

    context.runner.run(send_all())


@then("they are accepted within {seconds:g} s")
def step_accepted(context: Any, seconds: float) -> None:
    assert set(context.statuses) == {200}, context.statuses
    assert context.took <= seconds, context.took

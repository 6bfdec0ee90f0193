"""Steps for answers about jobs whose records are damaged."""

import asyncio
import json
from typing import Any

import looptime
import structlog.testing
from aiohttp import web
from aiohttp.test_utils import make_mocked_request
from behave import given, then, when
from features.doubles.fleet_world import HOST, make_policy
from features.steps.work_outage_scope_steps import make_submission

from primrosestile.clock import read_clock
from primrosestile.coordination.work.job_submissions import JobSubmissions
from primrosestile.coordination.work.keys import (
    make_ended_key,
    make_job_key,
    make_progress_key,
)
from primrosestile.coordination.work.outage_scope import OutageScope
from primrosestile.coordination.work.policy_watch import PolicyWatch
from primrosestile.platform.policy import POLICY_KEY, PlatformPolicies
from primrosestile.programs.metrics import Metrics
from primrosestile.programs.node_calls import CallerCalls
from primrosestile.state.work import (
    EndedRecord,
    JobState,
    Progress,
    Step,
    Submission,
    encode_record,
)
from primrosestile_standin.fleet_store import FleetStore

JOB_ID = f"{1:016x}"
DAMAGED = {
    "damaged": b"\xc1\x00not ours",
    # More nested than a decoder follows, behind the fields of any record of ours.
    "nested": b"\xdc\x00\x07\xa7running\x90\x00\x80" + b"\x91" * 5000,
}


def make_submission_record(job_id: str) -> bytes:
    steps = (Step(1),)
    submission = Submission(job_id, "usual", "domes", "engine", "", steps)
    return encode_record(submission)


RECORDS = {
    **DAMAGED,
    "queued": make_submission_record(JOB_ID),
    "another job's": make_submission_record(f"{2:016x}"),
    "running": encode_record(Progress(JobState.RUNNING)),
    "completed": encode_record(EndedRecord(JobState.COMPLETED, "usual", "domes")),
}


@given("a job whose end, progress and submission are {end}, {progress}, {submission}")
def step_records(context: Any, end: str, progress: str, submission: str) -> None:
    context.runner = asyncio.Runner(loop_factory=looptime.new_event_loop)
    context.cleanups.append(context.runner.close)
    context.log = []
    keys = [make_ended_key(JOB_ID), make_progress_key(JOB_ID), make_job_key(JOB_ID)]
    kinds = dict(zip(keys, (end, progress, submission), strict=True))
    context.records = {
        key: RECORDS[kind] for key, kind in kinds.items() if kind != "absent"
    }
    context.damaged = [
        key for key, kind in kinds.items() if kind in (*DAMAGED, "another job's")
    ]

    async def start() -> None:
        context.store = FleetStore()
        context.store.put(POLICY_KEY, make_policy(1))
        for key, value in context.records.items():
            context.store.put(key, value)
        store = context.store.connect("p1")
        policies = PolicyWatch(PlatformPolicies(store), 60.0, read_clock)
        await policies.refresh()
        scope = OutageScope(None, list, lambda: False)  # type: ignore[arg-type]
        submissions = JobSubmissions(store, policies, POLICY_KEY)
        context.calls = CallerCalls(submissions, policies, scope, Metrics("node"))

    context.runner.run(start())


def call(context: Any, make_request: Any, count: int) -> None:
    async def call_all() -> list[web.Response]:
        return [await context.calls.answer(make_request()) for _ in range(count)]

    with structlog.testing.capture_logs() as context.log:
        context.answers = context.runner.run(call_all())


def make_request(method: str) -> web.Request:
    headers = {"Host": HOST, "Authorization": "Token key-domes"}
    return make_mocked_request(method, f"/usual/{JOB_ID}", headers=headers)


@when("its caller asks for its state {count:d} times")
def step_ask(context: Any, count: int) -> None:
    call(context, lambda: make_request("GET"), count)


@when("its caller submits it again")
def step_submit_again(context: Any) -> None:
    call(context, make_submission, 3)


@when("its caller cancels it")
def step_cancel(context: Any) -> None:
    call(context, lambda: make_request("DELETE"), 3)


@then("each answer is {status:d} with the state {state}")
def step_answers(context: Any, status: int, state: str) -> None:
    statuses = {answer.status for answer in context.answers}
    assert statuses == {status}, statuses
    states = {json.loads(each.body)["state"] for each in context.answers if each.body}
    assert states == (set() if state == "unknown" else {state}), states


@then("the log names {count:d} damaged records, each once")
def step_log(context: Any, count: int) -> None:
    events = [line["event"] for line in context.log]
    assert "call_failed" not in events, events
    named = [
        each["key"] for each in context.log if each["event"] == "record_unreadable"
    ]
    assert len(named) == len(set(named)) == count, named
    assert set(named) <= set(context.damaged), named


@then("the job's records are unchanged")
def step_unchanged(context: Any) -> None:
    async def read() -> None:
        for key, value in context.records.items():
            entry = context.store.read(key)
            assert entry is not None and entry.value == value, key

    context.runner.run(read())

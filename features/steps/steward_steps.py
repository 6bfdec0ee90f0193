"""Steps on the steward's pages, over loopback in this process."""

from dataclasses import replace
from typing import Any

import msgspec
import structlog
from aiohttp import web
from behave import given, then, when
from features.settings.doubles import ACTOR, encode_text, read_example_settings
from features.settings.stewardworld import StewardWorld

from primrosestile.coordination.setting_store import put_setting, read_setting
from primrosestile.errors import ANSWERS, ErrorKind
from primrosestile.protocol.store import Entry
from primrosestile.state.jobs import (
    JobRecord,
    JobSpec,
    JobState,
    Reason,
    ReasonCode,
)
from primrosestile.state.tenancy import Policy, Shape, Urgency
from primrosestile_standin.store import MemoryStore

OPERATOR_TOKEN = "demo-domeworks-operator"
JOB_ID = "osborne-cell-1.0001"


@given("a steward of the domeworks example")
def give_steward(context: Any) -> None:
    context.steward = StewardWorld()
    context.cleanups.append(context.steward.close)


@given("the steward is asked with the token {token}")
def give_token(context: Any, token: str) -> None:
    context.steward.token = "" if token == "none" else token


@given("the steward's store is down")
def give_down(context: Any) -> None:
    context.steward.store.faults.down = True


def make_policy(limit: int) -> Any:
    policy = read_example_settings("domeworks").policy
    return msgspec.to_builtins(replace(policy, queue_limit=limit))


@when("the queue limit is put as {limit:d} on revision {revision:d}")
def put_limit(context: Any, limit: int, revision: int) -> None:
    context.steward.put("policy", revision, make_policy(limit))


@when("policy is put with a share of 7 and an unknown key")
def put_faulty(context: Any) -> None:
    value = {**make_policy(5), "patient_share": 7, "colour": "blue"}
    context.steward.put("policy", 1, value)


@when("the steward removes {path} on revision {revision:d}")
def remove_path(context: Any, path: str, revision: int) -> None:
    context.steward.put(path, revision, None)


@when("the steward is asked for policy")
def ask_policy(context: Any) -> None:
    context.steward.call("GET", "/v1/settings/policy")


@when("the steward is asked for the status")
def ask_status(context: Any) -> None:
    context.steward.call("GET", "/v1/status")


class CrossingStore(MemoryStore):
    """Raises guarantees just before a change of the fleet is written."""

    rising = ""

    async def put(self, key: str, value: bytes, expected: int, lease: int = 0) -> Any:
        if key == "settings/workers/osborne" and self.rising:
            rising, self.rising = self.rising, ""
            await put_setting(self, "guarantees", rising, 1, ACTOR)
        return await super().put(key, value, expected, lease)


@when("guarantees rise in the store while the steward stores a fleet without a rack")
def cross_paths(context: Any) -> None:
    world = context.steward
    store = world.store
    before = read_example_settings("domeworks")
    raised = list(before.guarantees.guarantees)
    raised[0] = replace(raised[0], count=8)
    rising = replace(before.guarantees, guarantees=tuple(raised))
    store.__class__ = CrossingStore
    store.rising = encode_text(rising)
    # Four of the eight workers of one rack are removed: the former guarantees still
    # fit, and the raised ones fitted the whole fleet.
    osborne = before.fleet.workers_of(before.fleet.cells[0])
    world.put("workers/osborne", 1, msgspec.to_builtins(osborne[4:]))


@then("the steward warns about {path}")
def check_warning(context: Any, path: str) -> None:
    warned = {each["path"] for each in context.steward.answer["warnings"]}
    assert path in warned, context.steward.answer


@then("the steward answers {status:d}")
def check_status(context: Any, status: int) -> None:
    assert context.steward.status == status, context.steward.answer


@then("the steward answers {status:d} {error}")
def check_error(context: Any, status: int, error: str) -> None:
    world = context.steward
    assert (world.status, world.answer["error"]) == (status, error), world.answer
    assert world.answer["remedy"] == ANSWERS[ErrorKind(error)].remedy
    assert world.answer["request_id"]


@then("the stored policy is at revision {revision:d}")
def check_revision(context: Any, revision: int) -> None:
    stored, _ = context.steward.run(read_setting(context.steward.store, "policy"))
    assert stored.revision == revision


@then("the history of {path} begins with revision {revision:d} by {actor}")
def check_history(context: Any, path: str, revision: int, actor: str) -> None:
    context.steward.call("GET", f"/v1/history/{path}?limit=1")
    newest = context.steward.answer["entries"][0]
    assert (newest["revision"], newest["actor"]) == (revision, actor)
    assert newest["before"]["queue_limit"] == Policy().queue_limit
    assert newest["after"]["queue_limit"] == 5


@then("the steward's answer shows a queue limit of {first:d} and of {second:d}")
def check_both(context: Any, first: int, second: int) -> None:
    detail = context.steward.answer["detail"]
    assert f'"queue_limit":{first}' in detail, detail
    assert f'"queue_limit":{second}' in detail, detail


@then("the steward shows faults at {first} and {second}")
def check_faults(context: Any, first: str, second: str) -> None:
    found = {fault["path"] for fault in context.steward.answer["faults"]}
    assert found == {first, second}


@then("the steward shows {path} at revision {revision:d} as null")
def check_removed(context: Any, path: str, revision: int) -> None:
    context.steward.call("GET", f"/v1/settings/{path}")
    answer = context.steward.answer
    assert (answer["revision"], answer["value"]) == (revision, None)


@then("the steward marks its answer as stale")
def check_stale(context: Any) -> None:
    assert context.steward.answer["stale"] is True
    assert context.steward.answer["value"]


@given("a process named {name} that has applied policy at revision {revision:d}")
def give_process(context: Any, name: str, revision: int) -> None:
    world = context.steward
    applied = {**world.follower.revisions, "policy": revision}

    async def show(_: web.Request) -> web.Response:
        return web.json_response({"process": name, "revisions": applied})

    app = web.Application()
    app.router.add_get("/v1/applied", show)
    world.register(name, world.run(world.listen(app)))


@given("a process named {name} that does not answer")
def give_silent(context: Any, name: str) -> None:
    context.steward.register(name, "127.0.0.1:1")


@then("the status shows {name} behind at policy")
def check_behind(context: Any, name: str) -> None:
    processes = {each["name"]: each for each in context.steward.answer["processes"]}
    assert set(processes[name]["behind"]) == {"policy"}


@then("the status names {behind} as behind at policy and {silent} as silent")
def check_processes(context: Any, behind: str, silent: str) -> None:
    answer = context.steward.answer
    processes = {each["name"]: each for each in answer["processes"]}
    assert processes[behind]["answered"] is True
    assert processes[behind]["behind"] == {"policy": 1}
    assert processes[silent]["answered"] is False
    assert answer["in_force_everywhere"] is False


@given("a stored job of dome-operations that was placed and reclaimed")
def give_job(context: Any) -> None:
    spec = JobSpec(
        job_id=JOB_ID,
        organisation="planetaria",
        team="dome-operations",
        job_class="starfield-render",
        shape=Shape(8),
        urgency=Urgency.PATIENT,
        restartable=True,
        checkpoints=True,
        declared_seconds=60.0,
    )
    history = (
        Reason(ReasonCode.PLACED_BORROWING, 1.0, "worker osborne-1"),
        Reason(ReasonCode.RECLAIMED, 2.0, "for organisation producers"),
    )
    record = JobRecord(spec, JobState.ACCEPTED, 0.0, history=history)
    key = f"jobs/osborne-cell-1/{JOB_ID}"
    world = context.steward
    world.run(world.store.put(key, msgspec.json.encode(record), 0))


@when("{team} asks why its job waits")
@when("{team} asks why the job waits")
def ask_why(context: Any, team: str) -> None:
    context.steward.token = f"demo-domeworks-{team}"
    context.steward.call("GET", f"/v1/jobs/{JOB_ID}/explain")


@then("the explanation names each decision as a sentence")
def check_explanation(context: Any) -> None:
    assert context.steward.status == 200
    sentences = [each["sentence"] for each in context.steward.answer["reasons"]]
    assert len(sentences) == 2
    assert sentences[1].endswith("guarantee: for organisation producers.")


@then("no token shows in any answer, log line or stored value of the steward")
def check_secrets(context: Any) -> None:
    world = context.steward
    tokens = [OPERATOR_TOKEN, "demo-domeworks-dome-operations", "a-pasted-token"]
    with structlog.testing.capture_logs() as logs:
        for token in (*tokens, "a-wrong-token"):
            world.token = token
            call_everything(world)
    entries: dict[str, Entry] = world.store.read_all()
    places = [*world.texts, repr(logs), *(repr(each) for each in entries.values())]
    for token in (*tokens, "a-wrong-token"):
        assert not any(token in place for place in places), token


def call_everything(world: StewardWorld) -> None:
    for path in (
        *("settings", "settings/policy", "settings/teams/dome-operations"),
        *("history/policy", "status", "fleet", "guarantees", "applied"),
        "jobs/osborne-cell-1.0009/explain",
    ):
        world.call("GET", f"/v1/{path}")
    world.put("policy", 1, make_policy(5))
    world.put("policy", 1, make_policy(6))
    team = msgspec.to_builtins(
        read_example_settings("domeworks").find_team("dome-operations")
    )
    team["keys"][0]["sha256"] = "a-pasted-token"
    world.put("teams/dome-operations", 1, team)


@then("each malformed call to the steward is answered by an error of the table")
def check_malformed(context: Any) -> None:
    world = context.steward
    bodies = (b"", b"{", b"[]", b"null", b'{"revision": "1", "value": 1}', b"\xff")
    for body in bodies:
        world.call("PUT", "/v1/settings/policy", body)
        check_table(world, body)
    for value in (None, 1, "x", [], {"name": 1}, {"name": "x", "classes": 1}):
        for path in PATHS:
            world.put(path, 0, value)
            check_table(world, (path, value))
    for path in (
        *("settings/none", "history/policy?before=x", "history/policy?limit=-1"),
        *(
            "jobs/none/explain",
            "jobs/..%2F/explain",
            "history/policy?before=99999999999",
        ),
    ):
        world.call("GET", f"/v1/{path}")
        check_table(world, path)


PATHS = (
    *("policy", "fleet", "guarantees", "teams/x", "teams/", "other"),
    *("workers/nowhere", "workers/"),
)


def check_table(world: StewardWorld, cause: Any) -> None:
    assert world.status >= 400, (cause, world.answer)
    kind = ErrorKind(world.answer["error"])
    assert kind is not ErrorKind.INTERNAL, (cause, world.answer)
    assert world.status == ANSWERS[kind].status

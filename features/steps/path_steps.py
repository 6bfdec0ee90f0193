"""Steps for the whole path on real processes; they poll for conditions."""

import json
import os
import subprocess
import sys
import urllib.error
import urllib.request
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from behave import given, then, when
from tools.launch import Deployment, call_json, read_settings

from primrosestile_standin.ledger import Ledger, TaskRun

EXAMPLES = Path("examples")
TEAM = "show-production"
HOUR_SECONDS = 3600.0
CALL_TIMEOUT_SECONDS = 60.0


@dataclass(frozen=True)
class Answer:
    """An answer of an entry."""

    status: int
    body: bytes

    def read(self) -> Any:
        return json.loads(self.body)


class Client:
    """A caller with a team's key, which addresses entries by number."""

    def __init__(self, deployment: Deployment, token: str) -> None:
        self.deployment = deployment
        self.token = token

    def send(
        self,
        entry: int,
        method: str,
        path: str,
        body: Any = None,
        **headers: str,
    ) -> Answer:
        program = self.deployment.list_programs("entry")[entry - 1]
        assert program.settings is not None
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        request = urllib.request.Request(
            f"http://{program.settings.http}{path}",
            data=data if method == "POST" else None,
            method=method,
        )
        request.add_header("Authorization", f"Bearer {self.token}")
        for name, value in headers.items():
            request.add_header(name.replace("_", "-"), value)
        try:
            with urllib.request.urlopen(
                request, timeout=CALL_TIMEOUT_SECONDS
            ) as answer:
                return Answer(answer.status, answer.read())
        except urllib.error.HTTPError as error:
            return Answer(error.code, error.read())

    def ask(self, entry: int, name: str, text: str, request_id: str = "") -> Answer:
        body = {"team": TEAM, "class": name, "body": text}
        headers = {"X_Request_Id": request_id} if request_id else {}
        return self.send(entry, "POST", "/v1/requests", body, **headers)

    def submit(self, entry: int, request_id: str, **fields: Any) -> str:
        body = {"team": TEAM, **fields}
        answer = self.send(entry, "POST", "/v1/jobs", body, X_Request_Id=request_id)
        assert answer.status == 202, answer
        return str(answer.read()["job_id"])

    def read_job(self, job_id: str) -> Any:
        return self.send(1, "GET", f"/v1/jobs/{job_id}").read()

    def wait_for_state(self, job_id: str, state: str) -> None:
        self.deployment.wait_until(lambda: self.read_job(job_id)["state"] == state)


def start_deployment(
    context: Any, name: str, vms: int, **process_settings: Any
) -> None:
    """Start a deployment that is closed at the end of the scenario."""
    settings = read_settings(EXAMPLES / name / "settings.json")
    tokens = json.loads((EXAMPLES / name / "tokens.json").read_text())
    deployment = Deployment(settings, drain_seconds=0.5, **process_settings)
    context.cleanups.append(deployment.close)
    deployment.start_platform()
    domains = [domain.name for domain in settings.fleet.failure_domains]
    for number in range(1, vms + 1):
        deployment.start_vm(f"vm-{number}", domains[(number - 1) % len(domains)])
    deployment.wait_until_ready()
    context.deployment = deployment
    context.tokens = tokens
    context.client = Client(deployment, tokens["teams"].get(TEAM, ""))
    wait_for_cells(deployment)


def wait_for_cells(deployment: Deployment) -> None:
    """Wait until a placer has recovered each cell."""
    wanted = {cell.name for cell in deployment.settings.fleet.cells}

    def are_all_owned() -> bool:
        return {name for name, _ in list_owned(deployment)} == wanted

    deployment.wait_until(are_all_owned)


def list_owned(deployment: Deployment) -> list[tuple[str, int]]:
    """Return recovered cells with their epochs."""
    found = []
    for program in deployment.list_programs("placer"):
        assert program.settings is not None
        cells = call_json("GET", f"http://{program.settings.http}/v1/cells")
        found += [(each["cell"], each["epoch"]) for each in cells if each["recovered"]]
    return found


def read_runs(context: Any, job_id: str) -> list[TaskRun]:
    ledger: Ledger = context.deployment.workers.read_ledger()
    return [run for run in ledger.tasks if run.job_id == job_id]


@given("{name:w} runs on {vms:d} VMs")
def start(context: Any, name: str, vms: int) -> None:
    start_deployment(context, name, vms)


@when('a technician asks entry {entry:d} for the preview "{text}"')
def ask_preview(context: Any, entry: int, text: str) -> None:
    context.answer = context.client.ask(entry, "preview", text, "preview-1")


@then('the answer is complete and belongs to the preview "{text}"')
def check_preview(context: Any, text: str) -> None:
    assert context.answer.status == 200, context.answer
    assert context.answer.body == f"answer to preview-1: {text}".encode()


@when('a technician sends the caption pass "{name}" to entry {entry:d}')
@when('the technician sends the caption pass "{name}" again to entry {entry:d}')
def send_caption(context: Any, name: str, entry: int) -> None:
    answers = getattr(context, "answers", [])
    answers.append(context.client.ask(entry, "caption-pass", name, name))
    context.answers = answers


@then("both callers have the same answer and it ran once")
def check_once(context: Any) -> None:
    first, second = context.answers
    assert first.status == 200, first
    assert first == second, (first, second)
    ledger = context.deployment.workers.read_ledger()
    runs = [run for run in ledger.requests if not run.idempotent]
    assert len(runs) == 1, runs


@when("a producer submits a render of 8 and a gang of 16 accelerators")
def submit_both(context: Any) -> None:
    client: Client = context.client
    classes = ("starfield-render", "wide-render")
    context.jobs = [
        client.submit(1, name, **{"class": name, "declared_seconds": 1.0})
        for name in classes
    ]


@then("both jobs finish")
def check_finished(context: Any) -> None:
    for job_id in context.jobs:
        context.client.wait_for_state(job_id, "finished")


@then("each of them ran once on all its accelerators at the same time")
def check_whole(context: Any) -> None:
    for job_id, size in zip(context.jobs, (8, 16), strict=True):
        runs = read_runs(context, job_id)
        assert sum(len(run.accelerators) for run in runs) == size, runs
        assert {run.attempt for run in runs} == {1}, runs
        latest_start = max(run.start for run in runs)
        assert all(run.end > latest_start for run in runs), runs


@when("a producer submits the same render to entry 1 and to entry 2")
def submit_twice(context: Any) -> None:
    fields = {"class": "starfield-render", "declared_seconds": 1.0}
    context.jobs = [
        context.client.submit(entry, "evening", **fields) for entry in (1, 2)
    ]


@then("both submissions name one job")
def check_one_job(context: Any) -> None:
    assert context.jobs[0] == context.jobs[1], context.jobs
    context.client.wait_for_state(context.jobs[0], "finished")


@when("a producer submits a render of an hour and cancels it once it runs")
def submit_and_cancel(context: Any) -> None:
    client: Client = context.client
    fields = {"class": "starfield-render", "declared_seconds": HOUR_SECONDS}
    context.job = client.submit(1, "long", **fields)
    client.wait_for_state(context.job, "started")
    answer = client.send(2, "DELETE", f"/v1/jobs/{context.job}")
    assert answer.status == 200, answer


@then("the job is cancelled and its workers run nothing")
def check_cancelled(context: Any) -> None:
    context.client.wait_for_state(context.job, "cancelled")
    runs = read_runs(context, context.job)
    assert runs, "it never ran"
    assert all(run.outcome == "stopped" for run in runs), runs


@when("the operator sets the queue limit to {limit:d} with the command line")
def set_limit(context: Any, limit: int) -> None:
    deployment: Deployment = context.deployment
    steward = deployment.list_programs("steward")[0]
    assert steward.settings is not None
    address = steward.settings.http
    token = context.tokens["operator"]
    stored = call_json("GET", f"http://{address}/v1/settings/policy", token=token)
    value = {**stored["value"], "queue_limit": limit}
    run_cli(context, address, token, stored["revision"], value)
    context.revision = stored["revision"] + 1


def run_cli(context: Any, address: str, token: str, revision: int, value: Any) -> None:
    """Run `primrosestile settings put` as an operator."""
    path = context.deployment.folder / "policy.json"
    path.write_text(json.dumps(value))
    command = [sys.executable, "-m", "primrosestile.programs.cli", "settings", "put"]
    command += ["policy", str(path), "--revision", str(revision)]
    environment = {
        **os.environ,
        "PRIMROSESTILE_STEWARD": address,
        "PRIMROSESTILE_TOKEN": token,
    }
    done = subprocess.run(command, env=environment, capture_output=True, text=True)
    assert done.returncode == 0, (done.stdout, done.stderr)


@then("every process has applied that revision")
def check_applied(context: Any) -> None:
    deployment: Deployment = context.deployment
    programs = [
        program for vm in deployment.vms.values() for program in vm.programs.values()
    ]
    for program in programs:
        deployment.wait_until(make_applied_check(program, context.revision))


def make_applied_check(program: Any, revision: int) -> Callable[[], bool]:
    url = f"http://{program.settings.http}/v1/applied"
    return lambda: call_json("GET", url)["revisions"].get("policy", 0) >= revision


INVALID = (
    (b"{", {}, "malformed"),
    (b"x" * 300_000, {}, "too_large"),
    ({"team": TEAM, "class": "preview", "colour": "red"}, {}, "malformed"),
    ({"team": "nobody", "class": "preview"}, {}, "forbidden"),
    ({"team": TEAM, "class": "no-such-class"}, {}, "unknown_class"),
    ({"team": TEAM, "class": "caption-pass"}, {}, "missing_request_id"),
    (
        {"team": TEAM, "class": "preview", "deadline_seconds": -1},
        {},
        "malformed",
    ),
    ({"team": TEAM, "class": "preview"}, {"Authorization": "x"}, "unauthenticated"),
)


@when("callers send every kind of invalid request to entry 1")
def send_invalid(context: Any) -> None:
    client: Client = context.client
    context.refused = [
        (kind, client.send(1, "POST", "/v1/requests", body, **headers))
        for body, headers, kind in INVALID
    ]
    shape = {"accelerators": 100, "adjacency": "worker"}
    body = {"team": TEAM, "class": "starfield-render", "shape": shape}
    context.refused.append(("never_fits", client.send(1, "POST", "/v1/jobs", body)))


@then("each has its own error kind and says that it was not run")
def check_invalid(context: Any) -> None:
    for kind, answer in context.refused:
        refusal = answer.read()
        assert refusal["error"] == kind, (kind, refusal)
        assert refusal["ran"] == "not run", refusal
        assert refusal["remedy"], refusal
    assert context.deployment.workers.read_ledger().requests == []


@then("a preview through entry 1 is answered as before")
def check_unaffected(context: Any) -> None:
    assert context.client.ask(1, "preview", "sky", "after").status == 200

"""Commands on gang jobs: `primrosestile job ...`."""

import asyncio
import secrets
from collections.abc import Iterator
from typing import Annotated, Any

import msgspec
import typer

from primrosestile.clock import read_clock
from primrosestile.errors import ErrorKind, Failure
from primrosestile.programs.cli_client import Client, run_client, show_answer
from primrosestile.programs.cli_options import (
    ENTRY_DEFAULT,
    STEWARD_DEFAULT,
    AsJson,
    Entry,
    Steward,
    TokenFile,
    WaitSeconds,
)
from primrosestile.programs.cli_output import (
    Exit,
    Progress,
    print_note,
    print_result,
    run_command,
)
from primrosestile.programs.reasons import describe_reason
from primrosestile.state.jobs import JobState, Reason
from primrosestile.state.tenancy import Adjacency

POLL_SECONDS = 1.0
JOB_WAIT_SECONDS = 24 * 3600.0

app = typer.Typer(no_args_is_help=True, help="Submit, follow and cancel gang jobs.")

JobArgument = Annotated[str, typer.Argument(help="The id that `job submit` printed.")]


@app.command(
    epilog="Example: primrosestile job submit --team show-production"
    " --class nightly-render --seconds 5400 --wait"
)
def submit(
    team: Annotated[str, typer.Option(help="Your team.")],
    job_class: Annotated[str, typer.Option("--class", help="A job class of the team.")],
    accelerators: Annotated[
        int | None,
        typer.Option(
            min=1, help="Number of accelerators; default: the shape of the class."
        ),
    ] = None,
    adjacency: Annotated[
        Adjacency, typer.Option(help="How close the accelerators must be.")
    ] = Adjacency.WORKER,
    seconds: Annotated[
        float | None, typer.Option(min=0, help="Estimated run time in seconds.")
    ] = None,
    payload: Annotated[str, typer.Option(help="Text for the engine.")] = "",
    request_id: Annotated[
        str,
        typer.Option(help="Your own id; retry with the same id to submit only once."),
    ] = "",
    wait: Annotated[
        bool, typer.Option("--wait", help="Wait until the job ends.")
    ] = False,
    wait_seconds: WaitSeconds = JOB_WAIT_SECONDS,
    as_json: AsJson = False,
    entry: Entry = ENTRY_DEFAULT,
    token_file: TokenFile = None,
) -> None:
    """Submit a gang job; its id is printed once it is durable."""
    own_id = request_id or secrets.token_hex(8)
    body: dict[str, Any] = {"team": team, "class": job_class, "payload": payload}
    if accelerators is not None:
        shape = {"accelerators": accelerators, "adjacency": adjacency}
        body["shape"] = shape
    if seconds is not None:
        body["declared_seconds"] = seconds

    async def send(client: Client) -> Any:
        answer = await client.call("POST", "/v1/jobs", body, own_id)
        if not wait:
            return answer
        print_note(f"accepted as {answer['job_id']}")
        return await _wait_for_end(client, answer["job_id"], wait_seconds)

    def work() -> None:
        # Printed before the call: if the answer is lost, a retry with the same id
        # does not submit a second job.
        if not request_id:
            print_note(f"request id {own_id}")
        found = run_client(entry, token_file, send)
        print_result(found, as_json, _describe_job)
        if found.get("state") in ENDED_BADLY:
            raise typer.Exit(Exit.ENDED_BADLY)

    run_command(work, as_json)


@app.command(epilog="Example: primrosestile job status osborne-cell-1.00c5")
def status(
    job_id: JobArgument,
    as_json: AsJson = False,
    entry: Entry = ENTRY_DEFAULT,
    token_file: TokenFile = None,
) -> None:
    """Show the state and history of a job."""
    show_answer(entry, token_file, f"/v1/jobs/{job_id}", _describe_job, as_json)


@app.command(epilog="Example: primrosestile job cancel osborne-cell-1.00c5")
def cancel(
    job_id: JobArgument,
    as_json: AsJson = False,
    entry: Entry = ENTRY_DEFAULT,
    token_file: TokenFile = None,
) -> None:
    """Request the cancellation of a job."""

    def describe(found: dict[str, Any]) -> Iterator[str]:
        ended = found["state"] in ENDED
        yield f"{job_id} is {found['state'] if ended else 'to be cancelled'}"

    show_answer(entry, token_file, f"/v1/jobs/{job_id}", describe, as_json, "DELETE")


@app.command(epilog="Example: primrosestile job explain osborne-cell-1.00c5")
def explain(
    job_id: JobArgument,
    as_json: AsJson = False,
    steward: Steward = STEWARD_DEFAULT,
    token_file: TokenFile = None,
) -> None:
    """Show each decision about a job and its reason."""

    def describe(found: dict[str, Any]) -> Iterator[str]:
        yield f"{job_id}: {found['state']}. {found['summary']}"
        yield from (f"  {reason['sentence']}" for reason in found["reasons"])

    show_answer(steward, token_file, f"/v1/jobs/{job_id}/explain", describe, as_json)


def _describe_job(found: dict[str, Any]) -> Iterator[str]:
    if "spec" not in found:
        yield found["job_id"]
        return
    yield f"{found['spec']['job_id']} {found['state']}"
    yield from (f"  {describe_reason(each)}" for each in _read_history(found))


def _read_history(found: dict[str, Any]) -> tuple[Reason, ...]:
    return msgspec.convert(found["history"], tuple[Reason, ...])


ENDED_BADLY = {
    state.value
    for state in JobState
    if state.is_final and state is not JobState.FINISHED
}
ENDED = ENDED_BADLY | {JobState.FINISHED.value}


async def _wait_for_end(client: Client, job_id: str, seconds: float) -> Any:
    started = read_clock()
    progress = Progress()
    try:
        while True:
            found = await client.call("GET", f"/v1/jobs/{job_id}")
            if found["state"] in ENDED:
                return found
            waited = read_clock() - started
            if waited >= seconds:
                detail = f"{job_id} is {found['state']} after {waited:.0f} s"
                raise Failure(ErrorKind.DEADLINE_PASSED, detail)
            progress.show(f"{job_id} {found['state']}, {waited:.0f} s")
            await asyncio.sleep(POLL_SECONDS)
    finally:
        progress.end()

"""Commands on settings: `primrosestile settings ...`."""

from collections.abc import Iterator
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated, Any

import typer

from primrosestile.decisions.settings_check import check_document
from primrosestile.decisions.settings_parts import split_document
from primrosestile.programs.cli_client import Client, call_once, read_file, run_client
from primrosestile.programs.cli_documents import (
    compare_values,
    read_json,
)
from primrosestile.programs.cli_options import (
    STEWARD_DEFAULT,
    WAIT_DEFAULT_SECONDS,
    AsJson,
    Steward,
    TokenFile,
    Wait,
    WaitSeconds,
)
from primrosestile.programs.cli_output import (
    Exit,
    print_faults,
    print_lines,
    print_note,
    print_result,
    print_value,
    run_command,
)
from primrosestile.programs.cli_rollout import wait_in_force

app = typer.Typer(no_args_is_help=True, help="Check, read, change and follow settings.")

PathArgument = Annotated[
    str,
    typer.Argument(
        help="fleet, workers/<failure domain>, guarantees, policy or teams/<team>."
    ),
]
FileArgument = Annotated[Path, typer.Argument(help="A JSON file.")]


@app.command(epilog="Example: primrosestile settings check settings.json")
def check(file: FileArgument, as_json: AsJson = False) -> None:
    """Check a complete settings file and show each fault with its remedy.

    Needs no connection. Exits with 2 if there are faults.
    """

    def work() -> None:
        require_valid(file, as_json)
        if as_json:
            print_value({"faults": []})
        else:
            print_lines([f"{file}: no faults"])

    run_command(work, as_json)


def require_valid(file: Path, as_json: bool) -> dict[str, Any]:
    """Return the document of a file, or print its faults and exit."""
    data = read_file(file)
    faults = check_document(data)
    if faults:
        print_faults(faults, as_json)
        raise typer.Exit(Exit.INVALID)
    return read_json(data, str(file))


@app.command(epilog="Example: primrosestile settings get teams/preview > preview.json")
def get(
    path: Annotated[str, typer.Argument(help="A path; default: all paths.")] = "",
    as_json: AsJson = False,
    steward: Steward = STEWARD_DEFAULT,
    token_file: TokenFile = None,
) -> None:
    """Show the value and revision of a path, or list all paths."""

    def work() -> None:
        url = f"/v1/settings/{path}" if path else "/v1/settings"
        shown = call_once(steward, token_file, url)
        if as_json:
            print_value(shown)
        elif path:
            print_note(f"{path} at revision {shown['revision']}{_format_stale(shown)}")
            print_value(shown["value"])
        else:
            print_lines(
                f"{each['path']} at revision {each['revision']}{_format_stale(each)}"
                for each in shown["settings"]
            )

    run_command(work, as_json)


def _format_stale(shown: dict[str, Any]) -> str:
    return " (the store is down; this may be outdated)" if shown["stale"] else ""


@app.command(epilog="Example: primrosestile settings diff settings.json")
def diff(
    file: FileArgument,
    as_json: AsJson = False,
    steward: Steward = STEWARD_DEFAULT,
    token_file: TokenFile = None,
) -> None:
    """Show how a settings file differs from the settings in force."""

    def work() -> None:
        document = require_valid(file, as_json)
        listed = call_once(steward, token_file, "/v1/settings")
        current = {each["path"]: each["value"] for each in listed["settings"]}
        wanted = dict(split_document(document))
        changed = {
            path: compare_values(path, current.get(path), wanted.get(path))
            for path in sorted(current.keys() | wanted.keys())
        }
        changed = {path: lines for path, lines in changed.items() if lines}
        if as_json:
            print_value({"changed": changed})
        else:
            print_lines(line for lines in changed.values() for line in lines)

    run_command(work, as_json)


@app.command(epilog="Example: primrosestile settings history policy --limit 5")
def history(
    path: PathArgument,
    limit: Annotated[int, typer.Option(min=1, max=50, help="Entries per page.")] = 20,
    before: Annotated[
        int | None, typer.Option(help="Only entries before this revision.")
    ] = None,
    as_json: AsJson = False,
    steward: Steward = STEWARD_DEFAULT,
    token_file: TokenFile = None,
) -> None:
    """Show the changes of a path with author, time and comment; newest first."""

    def work() -> None:
        url = f"/v1/history/{path}?limit={limit}"
        url += f"&before={before}" if before is not None else ""
        page = call_once(steward, token_file, url)
        if as_json:
            print_value(page)
            return
        for entry in page["entries"]:
            when = _format_time(entry["time"])
            actor, comment = entry["actor"], entry["comment"]
            print_lines(
                [f"revision {entry['revision']} at {when} by {actor}: {comment}"]
            )
            print_lines(compare_values(path, entry["before"], entry["after"])[2:])
        if page["next_before"] is not None:
            print_note(f"More: --before {page['next_before']}")

    run_command(work, as_json)


def _format_time(seconds: float) -> str:
    return datetime.fromtimestamp(seconds, UTC).isoformat(timespec="seconds")


@app.command(epilog="Example: primrosestile settings status --wait")
def status(
    wait: Wait = False,
    wait_seconds: WaitSeconds = WAIT_DEFAULT_SECONDS,
    as_json: AsJson = False,
    steward: Steward = STEWARD_DEFAULT,
    token_file: TokenFile = None,
) -> None:
    """Show which settings revision each process has applied.

    Exits with 10 if a process lags or does not answer.
    """

    async def read(client: Client) -> Any:
        if wait:
            return await wait_in_force(client, wait_seconds)
        return await client.call("GET", "/v1/status")

    def work() -> None:
        found = run_client(steward, token_file, read)
        print_result(found, as_json, _describe_status)
        if not found["in_force_everywhere"]:
            raise typer.Exit(Exit.NOT_IN_FORCE)

    run_command(work, as_json)


def _describe_status(found: dict[str, Any]) -> Iterator[str]:
    for each in found["paths"]:
        applied = f"{each['applied']} of {each['processes']} processes"
        yield f"{each['path']} revision {each['revision']}: {applied}"
    for process in found["processes"]:
        if not process["answered"]:
            yield f"{process['name']} does not answer"
        elif process["behind"]:
            yield f"{process['name']} lags: {process['behind']}"

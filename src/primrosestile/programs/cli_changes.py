"""Commands that change settings: put, edit, rollback, load."""

import asyncio
from typing import Annotated, Any

import typer

from primrosestile.coordination.setting_store import decode_stored, put_setting
from primrosestile.coordination.settled_writes import list_all
from primrosestile.decisions.settings_parts import list_load_steps
from primrosestile.errors import ErrorKind, Failure
from primrosestile.programs.cli_client import Client, read_file, run_client
from primrosestile.programs.cli_documents import read_json, set_part
from primrosestile.programs.cli_options import (
    STEWARD_DEFAULT,
    WAIT_DEFAULT_SECONDS,
    AsJson,
    Comment,
    Steward,
    TokenFile,
    Wait,
    WaitSeconds,
)
from primrosestile.programs.cli_output import (
    Progress,
    print_lines,
    print_note,
    print_value,
    run_command,
)
from primrosestile.programs.cli_rollout import wait_in_force
from primrosestile.programs.cli_settings import (
    FileArgument,
    PathArgument,
    app,
    require_valid,
)
from primrosestile.state.settings import SETTINGS_PREFIX
from primrosestile.transport.store import make_store
from primrosestile.transport.wire import encode_json

DIRECT_ACTOR = "store-access"


@app.command(
    epilog="Example: primrosestile settings put teams/preview preview.json --revision 4"
)
def put(
    path: PathArgument,
    file: FileArgument,
    revision: Annotated[
        int | None,
        typer.Option(
            help="The revision that the change is based on; default: the current one."
        ),
    ] = None,
    comment: Comment = "",
    wait: Wait = False,
    wait_seconds: WaitSeconds = WAIT_DEFAULT_SECONDS,
    as_json: AsJson = False,
    steward: Steward = STEWARD_DEFAULT,
    token_file: TokenFile = None,
) -> None:
    """Store the value of one path; `null` removes a team or a domain's workers."""

    def work() -> None:
        value = read_json(read_file(file), str(file))

        async def change(client: Client) -> Any:
            seen = await _read_revision(client, path) if revision is None else revision
            return await _change(client, path, seen, value, comment, wait, wait_seconds)

        _print_accepted(run_client(steward, token_file, change), as_json)

    run_command(work, as_json)


async def _read_revision(client: Client, path: str) -> int:
    listed = await client.call("GET", "/v1/settings")
    revisions = {each["path"]: each["revision"] for each in listed["settings"]}
    return int(revisions.get(path, 0))


async def _change(
    client: Client,
    path: str,
    revision: int,
    value: Any,
    comment: str,
    wait: bool,
    wait_seconds: float,
) -> Any:
    body = {"revision": revision, "value": value, "comment": comment}
    accepted = await client.call("PUT", f"/v1/settings/{path}", body)
    if wait:
        await wait_in_force(client, wait_seconds)
    return accepted


def _print_accepted(accepted: dict[str, Any], as_json: bool) -> None:
    if as_json:
        print_value(accepted)
        return
    print_lines([f"{accepted['path']} is at revision {accepted['revision']}"])
    for fault in accepted["warnings"]:
        print_note(f"warning: {fault['path']}: {fault['reason']} {fault['remedy']}")


@app.command(
    epilog="Example: primrosestile settings edit teams/preview"
    " --set quota_accelerators=32 --set 'classes[0].deadline_seconds=4.5'"
)
def edit(
    path: PathArgument,
    assignments: Annotated[
        list[str], typer.Option("--set", help="NAME=JSON; may be repeated.")
    ],
    comment: Comment = "",
    wait: Wait = False,
    wait_seconds: WaitSeconds = WAIT_DEFAULT_SECONDS,
    as_json: AsJson = False,
    steward: Steward = STEWARD_DEFAULT,
    token_file: TokenFile = None,
) -> None:
    """Change single parts of a value; a concurrent change is a conflict.

    For larger changes, write the value to a file with `get`, edit it, and `put` it
    with the revision that `get` printed.
    """

    async def change(client: Client) -> Any:
        shown = await client.call("GET", f"/v1/settings/{path}")
        for assignment in assignments:
            set_part(shown["value"], assignment)
        revision, value = shown["revision"], shown["value"]
        return await _change(client, path, revision, value, comment, wait, wait_seconds)

    def work() -> None:
        _print_accepted(run_client(steward, token_file, change), as_json)

    run_command(work, as_json)


@app.command(epilog="Example: primrosestile settings rollback policy 3 -m 'too strict'")
def rollback(
    path: PathArgument,
    revision: Annotated[int, typer.Argument(help="The revision to restore.")],
    comment: Comment = "",
    wait: Wait = False,
    wait_seconds: WaitSeconds = WAIT_DEFAULT_SECONDS,
    as_json: AsJson = False,
    steward: Steward = STEWARD_DEFAULT,
    token_file: TokenFile = None,
) -> None:
    """Restore an earlier value as a new change, which is checked like any other."""

    async def change(client: Client) -> Any:
        url = f"/v1/history/{path}?limit=1&before={revision + 1}"
        entries = (await client.call("GET", url))["entries"]
        if not entries or entries[0]["revision"] != revision:
            raise Failure(ErrorKind.NOT_FOUND, f"{path} has no revision {revision}")
        reason = comment or f"rollback to revision {revision}"
        value = entries[0]["after"]
        seen = await _read_revision(client, path)
        return await _change(client, path, seen, value, reason, wait, wait_seconds)

    def work() -> None:
        _print_accepted(run_client(steward, token_file, change), as_json)

    run_command(work, as_json)


@app.command(epilog="Example: primrosestile settings load settings.json")
def load(
    file: FileArgument,
    store: Annotated[
        str,
        typer.Option(
            help="Write directly to the store at ip:port, for the first load."
        ),
    ] = "",
    comment: Comment = "",
    wait: Wait = False,
    wait_seconds: WaitSeconds = WAIT_DEFAULT_SECONDS,
    as_json: AsJson = False,
    steward: Steward = STEWARD_DEFAULT,
    token_file: TokenFile = None,
) -> None:
    """Check a settings file and store each part that differs from the store.

    The first load of a deployment writes directly to the store, because no operator
    key is in force yet. Teams that are not in the file are left unchanged.
    """

    def work() -> None:
        document = require_valid(file, as_json)
        if store:
            accepted = asyncio.run(_load_store(store, document, comment))
        else:
            accepted = run_client(
                steward,
                token_file,
                lambda client: _load_all(client, document, comment),
            )
        if wait:
            run_client(
                steward,
                token_file,
                lambda client: wait_in_force(client, wait_seconds),
            )
        if as_json:
            print_value({"accepted": accepted})
        for each in () if as_json else accepted:
            _print_accepted(each, as_json)

    run_command(work, as_json)


async def _load_all(
    client: Client, document: dict[str, Any], comment: str
) -> list[Any]:
    listed = (await client.call("GET", "/v1/settings"))["settings"]
    current = {each["path"]: each["value"] for each in listed}
    revisions = {each["path"]: each["revision"] for each in listed}
    steps = list_load_steps(document, current)
    accepted = []
    progress = Progress()
    for number, (path, value) in enumerate(steps, start=1):
        progress.show(f"{number} of {len(steps)}: {path}")
        if current.get(path) == value:
            continue
        body = {"revision": revisions.get(path, 0), "value": value, "comment": comment}
        change = await client.call("PUT", f"/v1/settings/{path}", body)
        current[path], revisions[path] = value, change["revision"]
        accepted.append(change)
    progress.end()
    return accepted


async def _load_store(
    address: str, document: dict[str, Any], comment: str
) -> list[Any]:
    store = make_store(lambda: (address,))
    accepted = []
    try:
        entries, _ = await list_all(store, SETTINGS_PREFIX)
        stored = {
            each.key.removeprefix(SETTINGS_PREFIX): decode_stored(each.value)
            for each in entries
        }
        current = {
            path: read_json(s.value or "null", path) for path, s in stored.items()
        }
        revisions = {path: setting.revision for path, setting in stored.items()}
        for path, value in list_load_steps(document, current):
            if current.get(path) == value:
                continue
            text = "" if value is None else encode_json(value).decode()
            change = await put_setting(
                store, path, text, revisions.get(path, 0), DIRECT_ACTOR, comment
            )
            current[path], revisions[path] = value, change.revision
            accepted.append({"path": path, "revision": change.revision, "warnings": []})
    finally:
        await store.close()
    return accepted

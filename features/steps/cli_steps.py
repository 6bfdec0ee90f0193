"""Steps for the command line, run in this process."""

import contextlib
import io
import json
import shlex
import tempfile
from pathlib import Path
from typing import Any
from unittest.mock import patch

import typer
from behave import given, then, when
from features.settings.doubles import read_example
from features.settings.stewardworld import StewardWorld
from typer.testing import CliRunner

from primrosestile.coordination.setting_store import decode_stored
from primrosestile.errors import ANSWERS, ErrorKind, Failure, Ran
from primrosestile.programs import cli
from primrosestile.programs.cli_client import TOKEN_VARIABLE
from primrosestile.programs.cli_output import (
    EXIT_MEANINGS,
    Exit,
    choose_exit,
    make_failure_body,
)
from primrosestile_standin.store import MemoryStore
from primrosestile_standin.store_http import make_store_app

ROOT = Path(__file__).parents[2]
MAY_HAVE_RUN_EXITS = {Exit.FAULT, Exit.UNKNOWN}


def run_line(context: Any, line: str) -> None:
    words = {"FILE": "file", "STORE": "store_address"}
    parts = [
        str(getattr(context, words[part])) if part in words else part
        for part in shlex.split(line)
    ]
    variables = getattr(context, "variables", {})
    with contextlib.chdir(ROOT):
        context.result = CliRunner().invoke(cli.app, parts, env=variables)


@when('the command "{line}" is run')
def run_command(context: Any, line: str) -> None:
    run_line(context, line)


@then("the command exits with {code:d}")
def check_exit(context: Any, code: int) -> None:
    result = context.result
    assert result.exit_code == code, (result.exit_code, result.output)
    assert "Traceback" not in result.output


@then('the command shows "{text}"')
def check_text(context: Any, text: str) -> None:
    assert text in context.result.output, context.result.output


@then("the command shows nothing")
def check_nothing(context: Any) -> None:
    assert context.result.output == "", context.result.output
    assert context.result.exit_code == 0


@then("the command's JSON holds a fault at {path}")
def check_json_fault(context: Any, path: str) -> None:
    faults = json.loads(context.result.stdout)["faults"]
    assert path in {fault["path"] for fault in faults}


@then("the command's JSON holds a queue_limit of {limit:d}")
def check_json_limit(context: Any, limit: int) -> None:
    assert json.loads(context.result.stdout)["queue_limit"] == limit


@then("the command's JSON holds no accepted change")
def check_json_none(context: Any) -> None:
    assert json.loads(context.result.stdout) == {"accepted": []}


def write_file(context: Any, value: Any) -> None:
    folder = tempfile.TemporaryDirectory()
    context.cleanups.append(folder.cleanup)
    context.file = Path(folder.name) / "value.json"
    context.file.write_text(json.dumps(value))


@given("a settings file whose first worker is in rack nowhere")
def give_faulty_file(context: Any) -> None:
    document = read_example("domeworks")
    document["fleet"]["workers"][0]["rack"] = "nowhere"
    write_file(context, document)


@given("the file FILE holds a policy with a queue limit of {limit:d}")
def give_policy_file(context: Any, limit: int) -> None:
    policy = read_example("domeworks")["policy"]
    write_file(context, {**policy, "queue_limit": limit})


@given("a steward for the command line with the operator's token")
def give_operator(context: Any) -> None:
    give_steward(context, "demo-domeworks-operator")


@given("a steward for the command line with the token {token}")
def give_steward(context: Any, token: str) -> None:
    world = StewardWorld()
    context.cleanups.append(world.close)
    context.variables = {
        "PRIMROSESTILE_STEWARD": world.address,
        TOKEN_VARIABLE: token,
    }


@given("an empty store behind its gateway")
def give_gateway(context: Any) -> None:
    context.gateway = MemoryStore()
    world = StewardWorld()
    context.cleanups.append(world.close)
    app = make_store_app(context.gateway)
    context.store_address = world.run(world.listen(app))


@then("the store behind the gateway holds the {name} example")
def check_gateway(context: Any, name: str) -> None:
    document = read_example(name)
    stored = {
        key.removeprefix("settings/"): json.loads(decode_stored(entry.value).value)
        for key, entry in context.gateway.read_all().items()
    }
    teams = {f"teams/{team['name']}": team for team in document.pop("teams")}
    racks = {rack["name"]: rack for rack in document["fleet"]["racks"]}
    workers: dict[str, list[Any]] = {}
    for worker in document["fleet"].pop("workers"):
        path = f"workers/{racks[worker['rack']]['failure_domain']}"
        workers.setdefault(path, []).append(worker)
    assert stored == {**document, **teams, **workers}


def list_commands(group: Any, names: tuple[str, ...] = ()) -> list[tuple[str, ...]]:
    inner = getattr(group, "commands", None)
    if inner is None:
        return [names]
    return [
        each
        for name, command in inner.items()
        for each in list_commands(command, (*names, name))
    ]


@then("each command's help shows an example")
def check_help(context: Any) -> None:
    commands = list_commands(typer.main.get_command(cli.app))
    assert ("settings", "check") in commands
    for names in commands:
        run_line(context, " ".join((*names, "--help")))
        text = " ".join(context.result.output.split())
        assert "Example: primrosestile " + " ".join(names) in text, text


@then("each error kind has an exit code that agrees with whether it may have run")
def check_exits(context: Any) -> None:
    assert set(EXIT_MEANINGS) == set(Exit)
    for kind in ErrorKind:
        code = choose_exit(make_failure_body(Failure(kind)))
        may = ANSWERS[kind].ran is Ran.MAY_HAVE_RUN
        assert (code in MAY_HAVE_RUN_EXITS) == may, (kind, code)


@when("the command line raises an unexpected exception")
def raise_unexpected(context: Any) -> None:
    errors = io.StringIO()
    with (
        patch.object(cli, "app", side_effect=RuntimeError("unforeseen")),
        contextlib.redirect_stderr(errors),
    ):
        try:
            cli.main()
        except SystemExit as end:
            context.result = type("Result", (), {})()
            context.result.exit_code = end.code
            context.result.output = errors.getvalue()

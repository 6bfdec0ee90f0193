"""Steps for bearer tokens and rights."""

import contextlib
import io
from dataclasses import replace
from typing import Any
from unittest.mock import patch

import structlog
from behave import given, then, when
from features.settings.doubles import (
    encode_text,
    read_example_settings,
)

from primrosestile.decisions import access
from primrosestile.decisions.access import find_rights, hash_token, read_bearer
from primrosestile.decisions.settings_change import check_change
from primrosestile.errors import ErrorKind, Failure
from primrosestile.programs.common import answer_failure
from primrosestile.programs.logs import set_up_logs
from primrosestile.state.process import PeerKeys, ProcessSettings
from primrosestile.state.settings import Settings
from primrosestile.state.tenancy import Key

TOKEN = "demo-domeworks-{}"


def replace_team(settings: Settings, name: str, **changes: Any) -> Settings:
    teams = [
        replace(team, **changes) if team.name == name else team
        for team in settings.teams
    ]
    return replace(settings, teams=tuple(teams))


def list_faults(context: Any, settings: Settings, name: str) -> Any:
    value = encode_text(settings.find_team(name))
    return check_change(context.settings, f"teams/{name}", value)


@given("the settings of the domeworks example for access")
def give_settings(context: Any) -> None:
    context.settings = read_example_settings("domeworks")


@then("the header {header} gives the rights {words}")
def give_rights(context: Any, header: str, words: str) -> None:
    rights = find_rights(context.settings, read_bearer(header))
    if words == "none":
        assert rights is None
    elif words == "operator":
        assert rights and rights.is_operator
    else:
        assert rights and f"{rights.scope.value} of {rights.team}" == words


@when("team {name} gets a second key for its holder")
def add_key(context: Any, name: str) -> None:
    old = context.settings.find_team(name).keys
    new = replace(old[0], sha256=hash_token("second"))
    context.changed = replace_team(context.settings, name, keys=(*old, new))
    assert list_faults(context, context.changed, name) == ()


@then("both tokens of {name} give the same rights")
def check_both(context: Any, name: str) -> None:
    first = find_rights(context.changed, TOKEN.format(name))
    assert first is not None
    assert first == find_rights(context.changed, "second")


@then("a third key for the same holder is a settings fault")
def check_third(context: Any) -> None:
    keys = context.changed.find_team("dome-operations").keys
    third = replace(keys[0], sha256=hash_token("third"))
    changed = replace_team(context.changed, "dome-operations", keys=(*keys, third))
    assert list_faults(context, changed, "dome-operations")


@when("the first key of {name} is removed")
def remove_key(context: Any, name: str) -> None:
    keys = context.changed.find_team(name).keys
    context.changed = replace_team(context.changed, name, keys=keys[1:])


@then("only the new token of {name} gives rights")
def check_new(context: Any, name: str) -> None:
    assert find_rights(context.changed, TOKEN.format(name)) is None
    assert find_rights(context.changed, "second") is not None


@when("team {name} gives its own key the scope {scope}")
def give_scope(context: Any, name: str, scope: str) -> None:
    key = Key("own", hash_token("own"), scope)
    context.changed = replace_team(context.settings, name, keys=(key,))


@then("its token gives no operator rights and the change is a settings fault")
def check_no_operator(context: Any) -> None:
    rights = find_rights(context.changed, "own")
    assert rights is not None and not rights.is_operator
    assert list_faults(context, context.changed, "dome-operations")


@then("its token acts for {name} and not for {other}")
def check_organisation(context: Any, name: str, other: str) -> None:
    rights = find_rights(context.changed, "own")
    assert rights is not None
    assert rights.may_act_for(context.changed.find_team(name))
    assert not rights.may_act_for(context.changed.find_team(other))
    assert list_faults(context, context.changed, name) == ()


@then("a token of a million letters gives no rights without being hashed")
def check_overlong(context: Any) -> None:
    with patch.object(access, "hash_token", side_effect=AssertionError):
        assert find_rights(context.settings, "a" * 1_000_000) is None


SECRET = "secret-of-a-pair-of-keys"
BEARER = "Bearer of-an-operator"


def raise_with(header: str) -> None:
    if header:
        raise RuntimeError("a fault of the program")


@then("no secret shows in the settings of a process, or in a line or trace logged")
def check_logged(context: Any) -> None:
    keys = PeerKeys("public-part", SECRET)
    settings = ProcessSettings("vm-1", "vm-1", "d", (), "", "", "", peer_keys=keys)
    assert SECRET not in repr(settings)
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        try:
            set_up_logs(settings.name, settings.log_level)
            log = structlog.get_logger()
            log.info("started", settings=settings, listed=[keys], keys={"pair": keys})
            try:
                raise_with(BEARER)
            except RuntimeError:
                log.exception("request_failed")
        finally:
            structlog.contextvars.clear_contextvars()
            structlog.reset_defaults()
    assert "public-part" in output.getvalue()
    assert "a fault of the program" in output.getvalue()
    assert SECRET not in output.getvalue()
    assert BEARER not in output.getvalue()


@then(
    "a wait of {first:g} seconds is answered as {a}, and of {second:g} seconds as {b}"
)
def check_wait(context: Any, first: float, a: str, second: float, b: str) -> None:
    for seconds, shown in ((first, a), (second, b)):
        failure = Failure(ErrorKind.QUEUE_FULL, retry_after=seconds)
        assert answer_failure(failure).headers["Retry-After"] == shown

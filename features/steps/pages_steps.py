"""Steps for the documentation pages for operators and callers."""

import json
import re
from pathlib import Path
from typing import Any

import msgspec
import typer
from behave import then
from tools import errorpage, settingspage

from primrosestile.platform.rejections import Source
from primrosestile.platform.settings import FEATURES
from primrosestile.programs import cli
from primrosestile.state.process import ProcessSettings

DOCS = Path(__file__).parents[2] / "docs"


@then("docs/errors.md is as the table of errors makes it")
def check_errors(context: Any) -> None:
    made = errorpage.render_page()
    assert errorpage.PAGE.read_text() == made, "run: python -m tools.errorpage"


@then("docs/settings.md is as the settings make it")
def check_settings(context: Any) -> None:
    made = settingspage.render_page()
    assert settingspage.PAGE.read_text() == made, "run: python -m tools.settingspage"


@then("every setting has a meaning on docs/settings.md")
def check_meanings(context: Any) -> None:
    rows = [line for line in settingspage.render_page().splitlines() if "| `" in line]
    assert len(rows) > 40
    for row in rows:
        assert re.search(r"\| \S.* \|$", row.replace("|  |", "| |")), row
        assert not row.endswith("|  |"), row


@then("docs/settings.md has each scheduling feature, with what auto means")
def check_features(context: Any) -> None:
    text = settingspage.PAGE.read_text()
    for feature in FEATURES:
        line = rf"^\| `scheduling\.{feature}` \|"
        row = rf"{line} .* \| auto \| \w.*\. \| (on where \w.*|off)\. \|$"
        assert re.search(row, text, re.MULTILINE), feature


@then("each command on docs/OPERATIONS.md exists")
def check_commands(context: Any) -> None:
    text = (DOCS / "OPERATIONS.md").read_text()
    used = re.findall(r"primrosestile ((?:settings|job) [a-z]+|fleet|guarantees)", text)
    assert len(used) > 8
    root = typer.main.get_command(cli.app)
    for words in used:
        group: Any = root
        for word in words.split():
            assert word in group.commands, words
            group = group.commands[word]


@then("each program setting on docs/OPERATIONS.md exists")
def check_process_settings(context: Any) -> None:
    text = (DOCS / "OPERATIONS.md").read_text()
    examples = re.findall(r"```json\n(.*?)```", text, re.DOTALL)
    assert examples
    for example in examples:
        shown = json.loads(example)
        assert set(shown) <= set(ProcessSettings.__dataclass_fields__)
        msgspec.convert(shown, ProcessSettings)


LOG_CALL = re.compile(r"log\.(?:warning|error|exception)\(\s*\"(\w+)\"")


@then("each warning that a program logs stands on docs/OPERATIONS.md, and no other")
def check_alarms(context: Any) -> None:
    sources = (DOCS.parent / "src" / "primrosestile").rglob("*.py")
    logged = {name for path in sources for name in LOG_CALL.findall(path.read_text())}
    # These names are derived from their source, so they are not literals in the code.
    logged |= {f"{source.value}_unreadable" for source in Source}
    _, _, table = (DOCS / "OPERATIONS.md").read_text().partition("## Alarms")
    shown = set(re.findall(r"^\| `(\w+)` \|", table, re.MULTILINE))
    assert shown == logged, shown ^ logged

"""Steps for the command that shows where jobs lose time before they start."""

import json
import tempfile
from pathlib import Path
from typing import Any

from behave import given, then, when
from typer.testing import CliRunner

from primrosestile.programs import cli

GANG = "00000000000000d1"
OTHER_JOB = "00000000000000d2"


def make_lines() -> list[dict[str, Any]]:
    """Return the lines of an urgent gang of two, whose second run is not counted."""
    accepted = {"event": "job_accepted", "seconds": 0.01, "at": 10.0}
    admitted = {"event": "job_admitted", "priority": 0, "at": 10.02}
    decided = {"event": "run_decided", "step": 0, "position": 0}
    started = {"event": "run_started", "record_seconds": 0.4}
    return [
        accepted | {"job_id": GANG},
        admitted | {"job_id": GANG},
        decided | {"job_id": GANG, "run": 1, "at": 10.05},
        started | {"job_id": GANG, "task": f"{GANG}.0.0.0", "run": 1, "at": 10.5},
        started | {"job_id": GANG, "task": f"{GANG}.0.0.1", "run": 1, "at": 10.6},
        decided | {"job_id": GANG, "run": 2, "at": 12.0},
        started | {"job_id": GANG, "task": f"{GANG}.0.0.0", "run": 2, "at": 13.0},
        accepted | {"job_id": OTHER_JOB},
        admitted | {"job_id": OTHER_JOB, "priority": 2},
    ]


@given(
    "the logs of {count:d} processes in which an urgent gang waits 0.4 s for its record"
)
def step_slow_record(context: Any, count: int) -> None:
    folder = tempfile.TemporaryDirectory()
    context.cleanups.append(folder.cleanup)
    lines = []
    for line in make_lines():
        seconds = line.pop("at")
        lines.append(
            json.dumps({**line, "timestamp": f"2026-01-01T00:00:{seconds:06.3f}Z"})
        )
    context.files = []
    for number in range(count):
        path = Path(folder.name) / f"p{number}.log"
        path.write_text("\n".join(lines[number::count]))
        context.files.append(str(path))


@when("the engineer asks where urgent jobs lose time")
def step_ask_delays(context: Any) -> None:
    context.result = CliRunner().invoke(cli.app, ["delays", *context.files])


@then("the table names {span} as the longest span of that gang")
def step_longest(context: Any, span: str) -> None:
    context.row = context.result.stdout.splitlines()[-1]
    assert context.row.startswith(f"{GANG} {span}: "), context.result.stdout
    assert "1 of 1 jobs took more than 0.25 s" in context.result.stdout


@then("it shows these spans of it")
def step_spans(context: Any) -> None:
    shown = " ".join(
        f"{name} {context.table[0][name]}" for name in context.table.headings
    )
    assert context.row.endswith(shown), context.row

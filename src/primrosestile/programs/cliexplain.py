"""Gathers the lines of one id from the logs of several processes into one story.

The id of a task tells its runs, with what was believed of the workers they were on.


The process that took a call in and the one that scheduled its job are seldom the
same, and a job may pass through several owners. Each line names its process and
its time, so the files can be given in any order.
"""

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer

from primrosestile.programs.clioutput import Exit, print_note
from primrosestile.programs.stories import find_time, parse_task, tell_task

# Shown first, or not at all, since every line has them.
_COMMON = frozenset(
    {"timestamp", "process", "event", "level", "job_id", "request_id", "epoch"}
)


def explain(
    files: Annotated[list[Path], typer.Argument(help="Logs of processes.")],
    id: Annotated[
        str, typer.Option("--id", help="A job's, a request's or a task's id.")
    ],
) -> None:
    """Print what the logs say of one id, in the order of their times."""
    lines = gather_story(files, id)
    if not lines:
        print_note(f"no line of {len(files)} files names {id}")
        print_note("Give the logs of all processes, from before it was handed in.")
        raise typer.Exit(Exit.NOT_FOUND)
    for line in lines:
        print(format_line(line))


def gather_story(files: Iterable[Path], id: str) -> list[Any]:
    """Return the lines that belong to an id, in the order of their times."""
    task = parse_task(id)
    if task is None:
        return sorted(gather_lines(files, id), key=find_time)
    return tell_task(gather_lines(files, ""), task)


def gather_lines(files: Iterable[Path], id: str) -> Iterator[dict[str, Any]]:
    """Yield the lines in which an id stands, in any field; all for an empty one."""
    for path in files:
        with path.open(encoding="utf-8", errors="replace") as file:
            for text in file:
                if id in text:
                    yield from _read_line(text)


def _read_line(text: str) -> Iterator[dict[str, Any]]:
    """Yield the line's object; other programs' lines may stand in the same file."""
    begin = text.find("{")
    if begin < 0:
        return
    try:
        line = msgspec.json.decode(text[begin:])
    except msgspec.MsgspecError:
        return
    if isinstance(line, dict) and "event" in line:
        yield line


def format_line(line: dict[str, Any]) -> str:
    """Return a line for people: when, who, what, and what it rested on."""
    details = " ".join(
        f"{name}={value}" for name, value in line.items() if name not in _COMMON
    )
    event = str(line["event"]).replace("_", " ")
    return f"{find_time(line)} {line.get('process', '')}: {event} {details}".rstrip()

"""Commands on the logs of several processes: timelines, and delays of starts.

For a task's id the timeline contains its runs and the owner's view of their workers.
The process that accepted a call and the one that scheduled its job are usually not
the same, and a job may have several owners. Each line has its process and time, so the
files can be given in any order.
"""

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Annotated, Any

import typer

from primrosestile.programs.cli_output import Exit, print_note
from primrosestile.programs.start_delays import find_delays, format_delays
from primrosestile.programs.task_timeline import (
    find_time,
    parse_task,
    select_task_lines,
)
from primrosestile.state.decoding import Undecodable, decode_json

# Fields of every line; they are printed first or omitted.
_COMMON = frozenset(
    {"timestamp", "process", "event", "level", "job_id", "request_id", "epoch"}
)


def explain(
    files: Annotated[list[Path], typer.Argument(help="Logs of processes.")],
    id: Annotated[
        str, typer.Option("--id", help="The id of a job, a request or a task.")
    ],
) -> None:
    """Print the log lines of one id, ordered by time."""
    lines = collect_timeline(files, id)
    if not lines:
        print_note(f"no line in {len(files)} files contains {id}")
        print_note("Give the logs of all processes, from before it was submitted.")
        raise typer.Exit(Exit.NOT_FOUND)
    for line in lines:
        print(format_line(line))


def delays(
    files: Annotated[list[Path], typer.Argument(help="Logs of processes.")],
    priority: Annotated[
        int, typer.Option(help="Priority of the queues; 0 is urgent.")
    ] = 0,
    over: Annotated[
        float, typer.Option(help="Lists the jobs that took more seconds than this.")
    ] = 0.25,
) -> None:
    """Print where jobs lose time between the call and the start of their last task."""
    found = find_delays(collect_lines(files, ""), priority)
    if not found:
        print_note(f"no job of priority {priority} starts in {len(files)} files")
        print_note("Give the logs of all processes, the owner's among them.")
        raise typer.Exit(Exit.NOT_FOUND)
    for row in format_delays(found, over):
        print(row)


def collect_timeline(files: Iterable[Path], id: str) -> list[Any]:
    """Return the lines that belong to an id, ordered by time."""
    task = parse_task(id)
    if task is None:
        return sorted(collect_lines(files, id), key=find_time)
    return select_task_lines(collect_lines(files, ""), task)


def collect_lines(files: Iterable[Path], id: str) -> Iterator[dict[str, Any]]:
    """Yield the lines that contain an id in any field; all lines for an empty id."""
    for path in files:
        with path.open(encoding="utf-8", errors="replace") as file:
            for text in file:
                if id in text:
                    yield from _read_line(text)


def _read_line(text: str) -> Iterator[dict[str, Any]]:
    """Yield the JSON object of a line; nothing for lines of other programs."""
    begin = text.find("{")
    if begin < 0:
        return
    try:
        line = decode_json(text[begin:])
    except Undecodable:
        return
    if isinstance(line, dict) and "event" in line:
        yield line


def format_line(line: dict[str, Any]) -> str:
    """Return a line for people: time, process, event and details."""
    details = " ".join(
        f"{name}={value}" for name, value in line.items() if name not in _COMMON
    )
    event = str(line["event"]).replace("_", " ")
    return f"{find_time(line)} {line.get('process', '')}: {event} {details}".rstrip()

"""Output of the command line, and the table of its exit codes.

Scripts act on the exit code alone. The codes therefore distinguish failures that need
different actions: correct the input, retry later, or check the outcome before a retry.
"""

import json
import sys
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

import msgspec
import typer

from primrosestile.decisions.settings_check import Fault
from primrosestile.errors import ErrorKind, Failure, Ran


class Exit(IntEnum):
    """Exit codes of every command."""

    DONE = 0
    FAULT = 1
    INVALID = 2
    UNREACHABLE = 3
    NO_RIGHTS = 4
    NOT_FOUND = 5
    CONFLICT = 6
    REFUSED = 7
    UNKNOWN = 8
    ENDED_BADLY = 9
    NOT_IN_FORCE = 10


EXIT_MEANINGS: dict[Exit, str] = {
    Exit.DONE: "done",
    Exit.FAULT: "an internal fault of the program",
    Exit.INVALID: "wrong usage or input, such as faults in settings",
    Exit.UNREACHABLE: "no answer from the address, or the store is down",
    Exit.NO_RIGHTS: "no token, or one without the required rights",
    Exit.NOT_FOUND: "no such path, job or revision",
    Exit.CONFLICT: "changed by another writer in the meantime",
    Exit.REFUSED: "refused and not run; retry later",
    Exit.UNKNOWN: "it may have been done; check before a retry",
    Exit.ENDED_BADLY: "the job ended without finishing",
    Exit.NOT_IN_FORCE: "a process lags or does not answer; settings status names it",
}

_EXITS: dict[ErrorKind, Exit] = {
    ErrorKind.MALFORMED: Exit.INVALID,
    ErrorKind.TOO_LARGE: Exit.INVALID,
    ErrorKind.MISSING_REQUEST_ID: Exit.INVALID,
    ErrorKind.UNKNOWN_CLASS: Exit.INVALID,
    ErrorKind.UNKNOWN_TEAM: Exit.INVALID,
    ErrorKind.UNKNOWN_ORGANISATION: Exit.INVALID,
    ErrorKind.NEVER_FITS: Exit.INVALID,
    ErrorKind.INVALID_SETTINGS: Exit.INVALID,
    ErrorKind.NO_TARGET: Exit.UNREACHABLE,
    ErrorKind.STORE_UNAVAILABLE: Exit.UNREACHABLE,
    ErrorKind.UNAUTHENTICATED: Exit.NO_RIGHTS,
    ErrorKind.FORBIDDEN: Exit.NO_RIGHTS,
    ErrorKind.NOT_FOUND: Exit.NOT_FOUND,
    ErrorKind.CONFLICT: Exit.CONFLICT,
    ErrorKind.INTERNAL: Exit.FAULT,
}


@dataclass(frozen=True, slots=True)
class ErrorBody:
    """The body of an error answer; docs/errors.md lists the kinds."""

    error: str
    detail: str
    ran: str
    remedy: str
    retry_after: float | None
    request_id: str


class CommandFailure(Exception):
    """Raised when a command fails, with the error to print."""

    def __init__(self, body: ErrorBody, faults: Sequence[Fault] = ()) -> None:
        super().__init__(body.detail)
        self.body = body
        self.faults = tuple(faults)

    @property
    def exit(self) -> Exit:
        """The exit code for this failure."""
        return choose_exit(self.body)


def choose_exit(body: ErrorBody) -> Exit:
    """Return the exit code of an error, also for a kind unknown to this version."""
    known = {kind.value: kind for kind in ErrorKind}
    kind = known.get(body.error)
    if kind in _EXITS:
        return _EXITS[kind]
    return Exit.REFUSED if body.ran == Ran.NOT_RUN.value else Exit.UNKNOWN


def make_failure_body(failure: Failure) -> ErrorBody:
    """Return a local failure in the form of a server's error answer."""
    answer = failure.answer
    return ErrorBody(
        error=failure.kind.value,
        detail=failure.detail,
        ran=answer.ran.value,
        remedy=answer.remedy,
        retry_after=failure.retry_delay,
        request_id="",
    )


def print_value(value: Any) -> None:
    """Print any value as indented JSON."""
    plain = msgspec.to_builtins(value)
    typer.echo(json.dumps(plain, indent=1, ensure_ascii=False))


def print_result(
    found: Any, as_json: bool, describe: Callable[[Any], Iterable[str]]
) -> None:
    """Print the result of a command as JSON or as text."""
    if as_json:
        print_value(found)
    else:
        print_lines(describe(found))


def print_lines(lines: Iterable[str]) -> None:
    """Print lines of text."""
    for line in lines:
        typer.echo(line)


def print_note(text: str) -> None:
    """Print a message to standard error, so that pipes get only the result."""
    typer.echo(text, err=True)


def print_faults(faults: Sequence[Fault], as_json: bool) -> None:
    """Print each fault with its path, reason and remedy."""
    if as_json:
        print_value({"faults": faults})
        return
    for fault in faults:
        place = fault.path or "(whole file)"
        typer.echo(f"{place}: {fault.reason}\n  {fault.remedy}")


def print_failure(failure: CommandFailure, as_json: bool) -> None:
    """Print why a command failed, with the remedy."""
    body = failure.body
    if as_json:
        shown = msgspec.to_builtins(body)
        print_value({**shown, "faults": failure.faults} if failure.faults else shown)
        return
    print_note(f"{body.error}: {body.detail or body.remedy} ({body.ran})")
    if body.detail:
        print_note(body.remedy)
    if body.retry_after is not None:
        print_note(f"Retry after {body.retry_after:g} s.")
    if body.request_id:
        print_note(f"Request id: {body.request_id}")
    print_faults(failure.faults, as_json=False)


@dataclass(slots=True)
class Progress:
    """A progress line on the terminal that is overwritten by each update."""

    shown: int = 0

    def show(self, text: str) -> None:
        """Overwrite the line; without a terminal, nothing is written."""
        if sys.stderr.isatty():
            sys.stderr.write("\r" + text.ljust(self.shown))
            sys.stderr.flush()
            self.shown = len(text)

    def end(self) -> None:
        """Finish the line, leaving its last text."""
        if self.shown:
            sys.stderr.write("\n")
            self.shown = 0


def describe_exits() -> str:
    """Return the table of exit codes, for the help."""
    rows = (f"{code.value} {meaning}" for code, meaning in EXIT_MEANINGS.items())
    return "Exit codes: " + "; ".join(rows) + "."


def run_command(command: Callable[[], None], as_json: bool) -> None:
    """Run a command; print a failure and exit with its code."""
    try:
        command()
    except CommandFailure as failure:
        print_failure(failure, as_json)
        raise typer.Exit(failure.exit) from None
    except Failure as failure:
        found = CommandFailure(make_failure_body(failure))
        print_failure(found, as_json)
        raise typer.Exit(found.exit) from None

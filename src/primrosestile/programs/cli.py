"""The command line for operators and callers.

Every failure is reported as a sentence and an exit code, never as a traceback, which
does not say what to do next.
"""

import sys

import typer

from primrosestile.programs import cli_changes, cli_jobs, cli_timeline, cli_views
from primrosestile.programs.cli_output import Exit, describe_exits, print_note

app = typer.Typer(
    name="primrosestile",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="Settings, jobs and views of a primrosestile deployment.",
    epilog=describe_exits(),
)
app.add_typer(cli_changes.app, name="settings")
app.add_typer(cli_jobs.app, name="job")
app.command(epilog="Example: primrosestile fleet --json")(cli_views.fleet)
app.command(epilog="Example: primrosestile guarantees")(cli_views.guarantees)
app.command(epilog="Example: primrosestile explain --id 20e744bf3218dfdb node-*.log")(
    cli_timeline.explain
)
app.command(epilog="Example: primrosestile delays --over 0.25 node-*.log")(
    cli_timeline.delays
)


def main() -> None:
    """Run one command and exit with its code."""
    try:
        app()
    except Exception as error:
        print_note(f"internal: {type(error).__name__}: {error}")
        print_note("This is a fault of the program; report it with the command used.")
        sys.exit(Exit.FAULT)


if __name__ == "__main__":
    main()

"""Options that several commands share."""

from pathlib import Path
from typing import Annotated

import typer

AsJson = Annotated[bool, typer.Option("--json", help="Print JSON.")]
Steward = Annotated[
    str,
    typer.Option(
        "--steward",
        envvar="PRIMROSESTILE_STEWARD",
        help="Address of a steward, ip:port.",
        show_envvar=True,
    ),
]
Entry = Annotated[
    str,
    typer.Option(
        "--entry",
        envvar="PRIMROSESTILE_ENTRY",
        help="Address of an entry, ip:port.",
        show_envvar=True,
    ),
]
TokenFile = Annotated[
    Path | None,
    typer.Option(
        "--token-file",
        envvar="PRIMROSESTILE_TOKEN_FILE",
        help="File with the bearer token; default: PRIMROSESTILE_TOKEN.",
    ),
]
Comment = Annotated[
    str, typer.Option("--comment", "-m", help="The reason, kept in the audit trail.")
]
Wait = Annotated[
    bool, typer.Option("--wait", help="Wait until the change is in force everywhere.")
]
WaitSeconds = Annotated[
    float, typer.Option("--wait-seconds", min=0, help="Longest wait, in seconds.")
]

STEWARD_DEFAULT = "127.0.0.1:17003"
ENTRY_DEFAULT = "127.0.0.1:17001"
WAIT_DEFAULT_SECONDS = 60.0

"""Waiting for a change to be in force in every process."""

import asyncio
from typing import Any

from primrosestile.clock import read_clock
from primrosestile.errors import ErrorKind, Failure
from primrosestile.programs.cli_client import Client
from primrosestile.programs.cli_output import Progress

POLL_SECONDS = 0.5


async def wait_in_force(client: Client, seconds: float) -> Any:
    """Wait until each process has applied each path; return the last status.

    Raises:
        Failure: DEADLINE_PASSED when it takes longer than `seconds`.
    """
    deadline = read_clock() + seconds
    progress = Progress()
    try:
        while True:
            found = await client.call("GET", "/v1/status")
            if found["in_force_everywhere"]:
                return found
            lagging = [
                each["name"]
                for each in found["processes"]
                if each["behind"] or not each["answered"]
            ]
            if read_clock() >= deadline:
                detail = f"not yet in force at {', '.join(lagging)}"
                raise Failure(ErrorKind.DEADLINE_PASSED, detail)
            progress.show(f"waiting for {len(lagging)} processes: {lagging[0]}")
            await asyncio.sleep(POLL_SECONDS)
    finally:
        progress.end()

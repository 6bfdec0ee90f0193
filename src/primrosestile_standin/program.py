"""`primrosestile-standin`: the stand-in for the platform as a program.

It serves the parts for which an address is given, prints the addresses as one
line of JSON, and runs until SIGTERM or SIGINT.
"""

import asyncio
import signal
from pathlib import Path
from typing import Annotated

import msgspec
import typer
import uvloop

from primrosestile.state.decoding import decode_json
from primrosestile.state.settings import Settings
from primrosestile_standin.platform import Platform

Address = Annotated[str | None, typer.Option(metavar="IP:PORT")]
app = typer.Typer(add_completion=False)


class Served(msgspec.Struct, frozen=True, omit_defaults=True):
    """Where each part is served."""

    store: str = ""
    vms: str = ""
    switches: str = ""
    workers: str = ""


@app.command()
def serve(
    settings: Annotated[Path | None, typer.Option(metavar="FILE")] = None,
    store_listen: Address = None,
    vms_listen: Address = None,
    workers_listen: Address = None,
    workers: Annotated[bool, typer.Option(help="Serve the fleet's workers.")] = False,
    listen: Annotated[
        str, typer.Option(metavar="IP:PORT", help="Faults, calls and the ledger.")
    ] = "127.0.0.1:0",
    lag_seconds: Annotated[float, typer.Option(help="Of the VM list.")] = 2.0,
) -> None:
    """Serve a stand-in for the platform; port 0 means any free one."""
    fleet = decode_json(settings.read_bytes(), Settings).fleet if settings else None

    async def run() -> None:
        platform = Platform()
        served = Served(
            store=await platform.serve_store(store_listen) if store_listen else "",
            vms=await platform.serve_vms(vms_listen) if vms_listen else "",
            switches=await platform.serve_switches(listen),
            workers=(
                await platform.serve_workers(fleet.workers, workers_listen)
                if fleet and (workers or workers_listen)
                else ""
            ),
        )
        platform.vms.lag_seconds = lag_seconds
        print(msgspec.json.encode(served).decode(), flush=True)
        await wait_for_end()
        await platform.close()

    uvloop.run(run())


async def wait_for_end() -> None:
    """Return on SIGTERM or SIGINT."""
    end = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, end.set)
    await end.wait()


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()

"""Both deployments at work on this machine, with one VM lost and one drained.

Run it by `scripts/demo`. Each deployment has a stand-in for its platform and three
VMs' worth of programs, all separate processes on loopback. Midway the VM that owns
the most cells is killed and replaced, and then another is told to end. The exit
code is 0 only if the workers' ledger shows that nothing was lost, nothing that is
not idempotent ran twice, no gang ran in part, and the VM that was told to end cut
nothing off.
"""

import argparse
import asyncio
import contextlib
import shutil
import subprocess
import sys
import time
from collections import Counter
from dataclasses import dataclass

import aiohttp
import msgspec
import uvloop

from tools.democallers import Balancer, Callers
from tools.demoverdict import Verdict, format_verdict, judge
from tools.demowork import DemoFiles, Piece, make_pieces, read_files
from tools.launch import ROOT, Deployment, Program, call_json

EXAMPLES = ("domeworks", "thistlegate")
KILL_AT_SECONDS = 4.0
REOWN_BOUND_SECONDS = 15.0
DRAIN_BOUND_SECONDS = 30.0
PROGRESS_SECONDS = 2.0
TASK_LEASE_SECONDS = 6.0
# Work takes a quarter of what its class declares: declared lengths are far off.
WORK_FACTOR = 0.25


@dataclass(frozen=True, slots=True)
class Losses:
    """What became of the VMs that were killed and drained."""

    drained: str
    exits: dict[str, int | None]


def main() -> int:
    """Run the demo of one deployment or of both; return the exit code."""
    parser = argparse.ArgumentParser(prog="scripts/demo", description=__doc__)
    parser.add_argument("--only", choices=EXAMPLES, default=None)
    options = parser.parse_args()
    faults = []
    for name in [options.only] if options.only else EXAMPLES:
        faults += run_demo(read_files(ROOT / "examples" / name))
    print("demo passed" if not faults else f"demo failed: {len(faults)} faults")
    return 1 if faults else 0


def run_demo(files: DemoFiles) -> list[str]:
    """Run one deployment's demo; return what went wrong."""
    began = time.monotonic()
    print(f"== {files.name}")
    with Deployment(files.settings, task_lease_seconds=TASK_LEASE_SECONDS) as made:
        made.start_platform()
        made.workers.set_faults(workers={"*": {"slow_factor": WORK_FACTOR}})
        domains = [each.name for each in files.settings.fleet.failure_domains]
        for number, domain in enumerate(domains, 1):
            made.start_vm(f"vm-{number}", domain)
        made.wait_until_ready()
        wait_for_owners(made, REOWN_BOUND_SECONDS)
        programs = sum(len(vm.programs) for vm in made.vms.values())
        seconds = time.monotonic() - began
        print(f"{programs} programs on {len(made.vms)} VMs ready after {seconds:.1f} s")
        pieces = make_pieces(files)
        losses = uvloop.run(work_through(made, pieces))
        verdict = judge(
            pieces,
            made.workers.read_ledger(),
            made.process_settings["task_lease_seconds"],
            losses.drained,
        )
        verdict.faults += judge_exits(losses)
        print_verdict(verdict)
        if verdict.faults:
            keep_evidence(made, files.name)
    print(f"{files.name}: {time.monotonic() - began:.1f} s")
    return verdict.faults


def judge_exits(losses: Losses) -> list[str]:
    """Return which programs of the drained VM did not end well."""
    return [
        f"{name} was told to end and its exit code is {code}"
        for name, code in losses.exits.items()
        if code != 0
    ]


def print_verdict(verdict: Verdict) -> None:
    """Print the table and each fault."""
    for line in format_verdict(verdict):
        print(line)
    for fault in verdict.faults:
        print(f"FAULT {fault}")


def keep_evidence(deployment: Deployment, name: str) -> None:
    """Copy every log, and what ran, to where a person can look at them."""
    kept = ROOT / "run" / "demo" / name
    shutil.copytree(deployment.folder, kept, dirs_exist_ok=True)
    ledger = deployment.workers.read_ledger()
    (kept / "ledger.json").write_bytes(msgspec.json.encode(ledger))
    print(f"logs and ledger are in {kept.relative_to(ROOT)}")


def count_cells(deployment: Deployment) -> Counter[str]:
    """Return how many cells each VM's placer owns."""
    cells: Counter[str] = Counter()
    for program in deployment.list_programs("placer"):
        assert program.settings is not None
        # One that is just starting does not listen yet and owns nothing.
        with contextlib.suppress(OSError):
            owned = call_json("GET", f"http://{program.settings.http}/v1/cells")
            cells[program.settings.vm] = len(owned)
    return cells


def wait_for_owners(deployment: Deployment, bound: float) -> None:
    """Return when every cell has an owner.

    Raises:
        TimeoutError: When one has none within the bound, in seconds.
    """
    cells = len(deployment.settings.fleet.cells)
    deployment.wait_until(lambda: sum(count_cells(deployment).values()) >= cells, bound)


async def work_through(deployment: Deployment, pieces: list[Piece]) -> Losses:
    """Send all work while VMs are lost; return when every piece has its end."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        balancer = Balancer(session)
        balancer.entries = list_entries(deployment)
        await balancer.look()
        watching = asyncio.create_task(balancer.run())
        telling = asyncio.create_task(tell_progress(pieces, balancer))
        callers = Callers(session, balancer)
        losing = asyncio.create_task(lose_vms(deployment, balancer))
        await asyncio.gather(*(callers.carry(piece) for piece in pieces))
        losses = await losing
        watching.cancel()
        telling.cancel()
    return losses


async def lose_vms(deployment: Deployment, balancer: Balancer) -> Losses:
    """Kill and replace one VM, then tell another to end."""
    await asyncio.sleep(KILL_AT_SECONDS)
    cells = await asyncio.to_thread(count_cells, deployment)
    killed = cells.most_common()[0][0]
    print(f"killing {killed}, which owns {cells[killed]} cells")
    await asyncio.to_thread(deployment.kill_vm, killed)
    domain = deployment.vms[killed].failure_domain
    await asyncio.to_thread(deployment.start_vm, f"{killed}-new", domain)
    balancer.entries |= list_entries(deployment)
    began = time.monotonic()
    await asyncio.to_thread(wait_for_owners, deployment, REOWN_BOUND_SECONDS)
    seconds = time.monotonic() - began
    print(f"every cell has an owner again, {seconds:.1f} s after the new VM started")
    cells = await asyncio.to_thread(count_cells, deployment)
    drained = cells.most_common()[0][0]
    print(f"telling {drained} to end, which owns {cells[drained]} cells")
    programs = list(deployment.vms[drained].programs.values())
    await asyncio.to_thread(deployment.drain_vm, drained)
    exits = await wait_for_exits(programs)
    return Losses(drained, exits)


async def wait_for_exits(programs: list[Program]) -> dict[str, int | None]:
    """Return the exit codes of programs that were told to end."""
    exits = {}
    for each in programs:
        try:
            code = await asyncio.to_thread(each.process.wait, DRAIN_BOUND_SECONDS)
        except subprocess.TimeoutExpired:
            code = None
        exits[each.name] = code
    return exits


def list_entries(deployment: Deployment) -> dict[str, str]:
    """Return the address of each VM's entry."""
    found = {}
    for name, vm in deployment.vms.items():
        settings = vm.programs["entry"].settings
        assert settings is not None
        found[name] = settings.http
    return found


async def tell_progress(pieces: list[Piece], balancer: Balancer) -> None:
    """Print every now and then how far the work has come."""
    began = time.monotonic()
    while True:
        await asyncio.sleep(PROGRESS_SECONDS)
        sent = sum(piece.sent_at > 0 for piece in pieces)
        counts = Counter(piece.outcome for piece in pieces if piece.outcome)
        told = ", ".join(f"{count} {outcome}" for outcome, count in counts.items())
        seconds = time.monotonic() - began
        ready = " ".join(balancer.ready)
        print(f"{seconds:4.0f} s: {sent} of {len(pieces)} sent; {told}; ready: {ready}")


if __name__ == "__main__":
    sys.exit(main())

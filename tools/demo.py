"""Runs both example deployments on this machine; one VM is killed and one drained.

Run it with `scripts/demo`. Each deployment has a stand-in for its platform and the
programs of three VMs, all as separate processes on loopback. Midway the VM that owns
the most cells is killed and replaced, and then another is drained. The exit code is 0
only if the workers' ledger shows that no work was lost, no non-idempotent work ran
twice and no gang ran in part, and the drained VM cut no connection.
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
from tools.demoverdict import Verdict, check_work, format_verdict
from tools.demowork import DemoFiles, WorkItem, make_work_items, read_files
from tools.launch import ROOT, Deployment, Program, call_json

EXAMPLES = ("domeworks", "thistlegate")
KILL_AT_SECONDS = 4.0
REOWN_BOUND_SECONDS = 15.0
DRAIN_BOUND_SECONDS = 30.0
PROGRESS_SECONDS = 2.0
TASK_LEASE_SECONDS = 6.0
# Work takes a quarter of its class's declared time: real declarations are far off.
WORK_FACTOR = 0.25


@dataclass(frozen=True, slots=True)
class VmLosses:
    """The drained VM and the exit codes of its programs."""

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
    """Run the demo of one deployment; return its faults."""
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
        work_items = make_work_items(files)
        losses = uvloop.run(run_work(made, work_items))
        verdict = check_work(
            work_items,
            made.workers.read_ledger(),
            made.process_settings["task_lease_seconds"],
            losses.drained,
        )
        verdict.faults += check_exits(losses)
        print_verdict(verdict)
        if verdict.faults:
            save_evidence(made, files.name)
    print(f"{files.name}: {time.monotonic() - began:.1f} s")
    return verdict.faults


def check_exits(losses: VmLosses) -> list[str]:
    """Return a fault for each program of the drained VM that did not exit with 0."""
    return [
        f"{name} was told to shut down and its exit code is {code}"
        for name, code in losses.exits.items()
        if code != 0
    ]


def print_verdict(verdict: Verdict) -> None:
    """Print the table and each fault."""
    for line in format_verdict(verdict):
        print(line)
    for fault in verdict.faults:
        print(f"FAULT {fault}")


def save_evidence(deployment: Deployment, name: str) -> None:
    """Copy all logs and the workers' ledger into `run/demo` for debugging."""
    folder = ROOT / "run" / "demo" / name
    shutil.copytree(deployment.folder, folder, dirs_exist_ok=True)
    ledger = deployment.workers.read_ledger()
    (folder / "ledger.json").write_bytes(msgspec.json.encode(ledger))
    print(f"logs and ledger are in {folder.relative_to(ROOT)}")


def count_cells(deployment: Deployment) -> Counter[str]:
    """Return how many cells each VM's placer owns."""
    cells: Counter[str] = Counter()
    for program in deployment.list_programs("placer"):
        assert program.settings is not None
        # A placer that is starting does not listen yet and owns nothing.
        with contextlib.suppress(OSError):
            owned = call_json("GET", f"http://{program.settings.http}/v1/cells")
            cells[program.settings.vm] = len(owned)
    return cells


def wait_for_owners(deployment: Deployment, bound: float) -> None:
    """Wait until every cell has an owner.

    Raises:
        TimeoutError: When a cell has none within the bound, in seconds.
    """
    cells = len(deployment.settings.fleet.cells)
    deployment.wait_until(lambda: sum(count_cells(deployment).values()) >= cells, bound)


async def run_work(deployment: Deployment, work_items: list[WorkItem]) -> VmLosses:
    """Send all work while VMs are lost, and wait for the outcome of each item."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        balancer = Balancer(session)
        balancer.entries = list_entries(deployment)
        await balancer.refresh()
        watching = asyncio.create_task(balancer.run())
        printing = asyncio.create_task(print_progress(work_items, balancer))
        callers = Callers(session, balancer)
        vm_losses = asyncio.create_task(lose_vms(deployment, balancer))
        await asyncio.gather(
            *(callers.run_work_item(work_item) for work_item in work_items)
        )
        losses = await vm_losses
        watching.cancel()
        printing.cancel()
    return losses


async def lose_vms(deployment: Deployment, balancer: Balancer) -> VmLosses:
    """Kill and replace one VM, then drain another."""
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
    print(f"draining {drained}, which owns {cells[drained]} cells")
    programs = list(deployment.vms[drained].programs.values())
    await asyncio.to_thread(deployment.drain_vm, drained)
    exits = await wait_for_exits(programs)
    return VmLosses(drained, exits)


async def wait_for_exits(programs: list[Program]) -> dict[str, int | None]:
    """Return programs' exit codes; None for one that didn't exit within the bound."""
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


async def print_progress(work_items: list[WorkItem], balancer: Balancer) -> None:
    """Print the progress of the work at intervals."""
    began = time.monotonic()
    while True:
        await asyncio.sleep(PROGRESS_SECONDS)
        sent = sum(work_item.sent_at > 0 for work_item in work_items)
        counts = Counter(
            work_item.outcome for work_item in work_items if work_item.outcome
        )
        summary = ", ".join(f"{count} {outcome}" for outcome, count in counts.items())
        seconds = time.monotonic() - began
        ready = " ".join(balancer.ready)
        print(
            f"{seconds:4.0f} s: {sent} of {len(work_items)} sent; "
            f"{summary}; ready: {ready}"
        )


if __name__ == "__main__":
    sys.exit(main())

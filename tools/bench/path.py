"""Measures the whole path of a request with real programs on loopback.

`run(output)` starts a stand-in and six VMs of the Domeworks deployment, measures the
latency of a request through an entry against calling the worker directly, and what the
programs use at rest, and writes `path.json` with each figure beside its aim. Requests
through the entry and direct ones alternate, so that both meet the same machine load.
"""

import json
import os
import statistics
import subprocess
import sys
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

import aiohttp
import uvloop

from primrosestile.transport import control
from tools.bench.path_processes import Traffic, read_memory, read_processor_seconds
from tools.launch import ROOT, Deployment, Program, call_json, read_settings

VMS = 6
EXAMPLE = "domeworks"
TEAM = "show-production"
REQUEST_CLASS = "preview"
CLAIMED_CLASS = "caption-pass"
GANG_CLASS = "starfield-render"
REPEATS = 3000
CLAIMED_REQUESTS = 200
CALLERS = 32
SENDERS = 2
LOAD_SECONDS = 5.0
LOAD_RUNS = 3
REST_SECONDS = 20.0
SAMPLE_SECONDS = 0.5
SETTLE_SECONDS = 4.0
JOBS = 40
GANGS = 16
GANGS_SETTLE_SECONDS = 10.0
LONG_SECONDS = 3600.0
SHORT_SECONDS = 0.5
MEGABYTE = 1_000_000
AIMS = {
    "p50_ratio": 2.5,
    "requests_per_second": 1000,
    "memory_mb": 256,
    "bytes_per_second_per_vm": 28_000,
    "processor_share_per_vm": 0.025,
}


def run(output: Path) -> None:
    """Measure everything and write `path.json`."""
    settings = read_settings(ROOT / "examples" / EXAMPLE / "settings.json")
    tokens = json.loads((ROOT / "examples" / EXAMPLE / "tokens.json").read_text())
    token = tokens["teams"][TEAM]
    domains = [each.name for each in settings.fleet.failure_domains]
    with Deployment(settings, log_level="warning") as deployment:
        deployment.start_platform()
        for number in range(VMS):
            deployment.start_vm(f"vm-{number + 1}", domains[number % len(domains)])
        deployment.wait_until_ready()
        time.sleep(SETTLE_SECONDS)
        # Workers take no time, so that only the path is measured.
        deployment.workers.set_faults(workers={"*": {"slow_factor": 0.0}})
        figures = {
            "machine": {"cores": os.cpu_count(), "vms": VMS},
            "aims": AIMS,
            "at_rest": measure_rest(deployment),
            "latency": uvloop.run(measure_latency(deployment, token)),
            "load": [measure_load(deployment, token) for _ in range(LOAD_RUNS)],
            "claimed_requests": uvloop.run(measure_claimed(deployment, token)),
            "jobs": measure_jobs(deployment, token),
            "with_gangs": measure_gangs(deployment, token),
            "memory_mb": measure_memory(deployment),
        }
    figures["summary"] = summarise(figures)
    output.mkdir(parents=True, exist_ok=True)
    (output / "path.json").write_text(json.dumps(figures, indent=2) + "\n")
    print(json.dumps(figures["summary"], indent=2))


def summarise(figures: Mapping[str, Any]) -> dict[str, Any]:
    """Return each figure that has an aim, together with the aim."""
    rates = [each["requests_per_second"] for each in figures["load"]]
    memory = max(figures["memory_mb"].values())
    idle = (figures["at_rest"], figures["with_gangs"])
    found = {
        "p50_ratio": figures["latency"]["p50_ratio"],
        "requests_per_second": statistics.median(rates),
        "memory_mb": memory,
        "bytes_per_second_per_vm": max(
            max(each["bytes_per_second"].values()) for each in idle
        ),
        "processor_share_per_vm": max(
            max(each["processor_share"].values()) for each in idle
        ),
    }
    return {name: {"figure": found[name], "aim": AIMS[name]} for name in found}


def measure_rest(deployment: Deployment) -> dict[str, Any]:
    """Return the load of each VM and of the store while no caller sends anything."""
    groups = {
        vm.name: [each.process.pid for each in vm.programs.values()]
        for vm in deployment.vms.values()
    }
    calls = deployment.store.read_calls()
    used = {name: sum_processor(pids) for name, pids in groups.items()}
    traffic = Traffic(groups)
    began = time.monotonic()
    while time.monotonic() < began + REST_SECONDS:
        time.sleep(SAMPLE_SECONDS)
        traffic.sample()
    seconds = time.monotonic() - began
    return {
        "seconds": round(seconds, 1),
        "store_calls_per_second": subtract_calls(deployment, calls, seconds),
        "bytes_per_second": {
            name: round(traffic.sum_bytes(name) / seconds) for name in groups
        },
        "processor_share": {
            name: round((sum_processor(pids) - used[name]) / seconds, 4)
            for name, pids in groups.items()
        },
    }


def sum_processor(pids: list[int]) -> float:
    """Return the processor seconds that the processes have used."""
    return sum(read_processor_seconds(pid) for pid in pids)


def subtract_calls(
    deployment: Deployment, before: Mapping[str, int], divisor: float
) -> dict[str, float]:
    """Return the store's calls by kind since `before`, divided."""
    after = deployment.store.read_calls()
    return {
        kind: round((count - before.get(kind, 0)) / divisor, 2)
        for kind, count in after.items()
    }


async def measure_latency(deployment: Deployment, token: str) -> dict[str, Any]:
    """Return the times of alternating requests through one entry and directly."""
    times: dict[str, list[float]] = {"direct": [], "entry": []}
    async with aiohttp.ClientSession() as session:
        calls = {
            "direct": make_direct_call(deployment, session),
            "entry": make_entry_call(deployment, session, token, REQUEST_CLASS),
        }
        for number in range(REPEATS):
            for name, call in calls.items():
                began = time.perf_counter()
                await call(number)
                times[name].append(time.perf_counter() - began)
    figures: dict[str, Any] = {
        name: describe_times(found) for name, found in times.items()
    }
    for quantile in ("p50", "p99"):
        ratio = figures["entry"][f"{quantile}_ms"] / figures["direct"][f"{quantile}_ms"]
        figures[f"{quantile}_ratio"] = round(ratio, 2)
    return figures


def describe_times(times: list[float]) -> dict[str, float]:
    """Return p50 and p99 in milliseconds."""
    times = sorted(times)
    return {
        "p50_ms": round(times[len(times) // 2] * 1000, 3),
        "p99_ms": round(times[len(times) * 99 // 100] * 1000, 3),
    }


def make_direct_call(
    deployment: Deployment, session: aiohttp.ClientSession
) -> Callable[[int], Any]:
    """Return a function that sends one request to a worker."""
    worker = deployment.settings.fleet.workers[0]
    url = f"http://{worker.address}{control.REQUESTS_PATH}"
    headers = {
        control.ORGANISATION_HEADER: "producers",
        control.JOB_CLASS_HEADER: REQUEST_CLASS,
        control.IDEMPOTENT_HEADER: control.TRUE,
        control.EXPECTED_SECONDS_HEADER: "1",
    }

    async def call(number: int) -> None:
        own = {**headers, control.REQUEST_ID_HEADER: f"direct-{number}"}
        async with session.post(url, data=b"x" * 200, headers=own) as answer:
            await answer.read()
            assert answer.status == 200

    return call


def make_entry_call(
    deployment: Deployment, session: aiohttp.ClientSession, token: str, job_class: str
) -> Callable[[int], Any]:
    """Return a function that sends one request to the first entry."""
    url = f"http://{find_address(deployment.list_programs('entry')[0])}/v1/requests"
    text = {"team": TEAM, "class": job_class, "body": "x" * 200}
    body = json.dumps(text).encode()

    async def call(number: int) -> None:
        own = {
            "Authorization": f"Bearer {token}",
            "X-Request-Id": f"{job_class}-{number}",
            "X-Attempt": "1",
        }
        async with session.post(url, data=body, headers=own) as answer:
            found = await answer.read()
            assert answer.status == 200, found

    return call


def find_address(program: Program) -> str:
    """Return the address of a program's HTTP."""
    assert program.settings is not None
    return program.settings.http


def measure_load(deployment: Deployment, token: str) -> dict[str, Any]:
    """Return how many requests one entry answers a second."""
    entry = deployment.list_programs("entry")[0]
    url = f"http://{find_address(entry)}/v1/requests"
    command = (
        *(sys.executable, "-m", "tools.bench.path_load", url, token, TEAM),
        *(REQUEST_CLASS, str(CALLERS // SENDERS), str(LOAD_SECONDS)),
    )
    used = read_processor_seconds(entry.process.pid)
    senders = [
        subprocess.Popen(command, stdout=subprocess.PIPE, text=True, cwd=ROOT)
        for _ in range(SENDERS)
    ]
    found = [json.loads(sender.communicate()[0]) for sender in senders]
    used = read_processor_seconds(entry.process.pid) - used
    answers = sum(each["answers"] for each in found)
    return {
        "requests_per_second": round(answers / LOAD_SECONDS),
        "failed": sum(each["failed"] for each in found),
        "p50_ms": round(max(each["p50_ms"] for each in found), 2),
        "p99_ms": round(max(each["p99_ms"] for each in found), 2),
        "entry_processor_ms_per_request": round(used / max(1, answers) * 1000, 3),
        "callers": CALLERS,
    }


async def measure_claimed(deployment: Deployment, token: str) -> dict[str, Any]:
    """Return the times of non-idempotent requests, and their calls to the store."""
    before = deployment.store.read_calls()
    times = []
    async with aiohttp.ClientSession() as session:
        call = make_entry_call(deployment, session, token, CLAIMED_CLASS)
        for number in range(CLAIMED_REQUESTS):
            began = time.perf_counter()
            await call(number)
            times.append(time.perf_counter() - began)
    calls = subtract_calls(deployment, before, CLAIMED_REQUESTS)
    return {**describe_times(times), "txn_calls_per_request": calls["txn"]}


def measure_jobs(deployment: Deployment, token: str) -> dict[str, Any]:
    """Return the store calls for each job from acceptance to its end."""
    rest = deployment.store.read_calls()
    time.sleep(SETTLE_SECONDS)
    at_rest = subtract_calls(deployment, rest, SETTLE_SECONDS)
    before = deployment.store.read_calls()
    began = time.monotonic()
    jobs = [submit_job(deployment, token, SHORT_SECONDS) for _ in range(JOBS)]
    deployment.wait_until(lambda: is_finished(deployment, jobs))
    seconds = time.monotonic() - began
    calls = subtract_calls(deployment, before, 1.0)
    return {
        "jobs": JOBS,
        "seconds": round(seconds, 1),
        "store_calls_per_job": {
            kind: round((count - at_rest.get(kind, 0.0) * seconds) / JOBS, 2)
            for kind, count in calls.items()
        },
    }


def submit_job(deployment: Deployment, token: str, seconds: float) -> str:
    """Submit one gang of eight accelerators; return the job's id."""
    body = {"team": TEAM, "class": GANG_CLASS, "declared_seconds": seconds}
    address = find_address(deployment.list_programs("entry")[0])
    answer = call_json("POST", f"http://{address}/v1/jobs", body, token)
    return str(answer["job_id"])


def is_finished(deployment: Deployment, jobs: list[str]) -> bool:
    """Return whether the workers have run all jobs and the fleet is empty again."""
    runs = deployment.workers.read_ledger().tasks
    done = {each.job_id for each in runs if each.outcome == "finished"}
    held = sum(len(each["held"]) for each in read_cells(deployment))
    # A job that was moved to another cell runs under another id.
    return len(done) >= len(jobs) and held == 0


def read_cells(deployment: Deployment) -> list[dict[str, Any]]:
    """Return the cells that each placer reports."""
    cells = []
    for placer in deployment.list_programs("placer"):
        cells += call_json("GET", f"http://{find_address(placer)}/v1/cells")
    return cells


def measure_gangs(deployment: Deployment, token: str) -> dict[str, Any]:
    """Return the load of the VMs while gangs run and nothing else happens."""
    for _ in range(GANGS):
        submit_job(deployment, token, LONG_SECONDS)
    time.sleep(GANGS_SETTLE_SECONDS)
    running = sum(len(each["held"]) for each in read_cells(deployment))
    return {"submitted": GANGS, "running": running, **measure_rest(deployment)}


def measure_memory(deployment: Deployment) -> dict[str, float]:
    """Return the resident memory of each program in megabytes."""
    found = {}
    for vm in deployment.vms.values():
        for program in vm.programs.values():
            memory = read_memory(program.process.pid) / MEGABYTE
            found[program.name] = round(memory, 1)
    return found

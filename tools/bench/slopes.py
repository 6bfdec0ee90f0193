"""Measures what each role costs at several sizes, and the slopes.

Every figure comes from the real programs with small stand-ins on one machine.
`docs/CAPACITY.md` extrapolates from the slopes; nothing here is extrapolated.
"""

import json
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import aiohttp
import msgspec

from primrosestile.decisions.settings_view import SettingsView
from primrosestile.state.jobs import (
    JobRecord,
    JobSpec,
    JobState,
    Member,
    Reason,
    ReasonCode,
)
from primrosestile.state.tenancy import Shape, Urgency
from tools.bench.fleets import TEAM, TOKEN, make_settings
from tools.bench.readings import (
    Reading,
    fit_line,
    list_programs,
    measure,
    measure_at_rest,
    read_memory,
    run_calls,
)
from tools.launch import Deployment, call_json

WORKER_COUNTS = (24, 96, 240, 480)
TASK_COUNTS = (0, 240, 720)
TASK_WORKERS = 96
VM_COUNTS = (1, 3, 6, 9)
REQUESTS = 4000
CONCURRENCY = 32
REST_SECONDS = 20.0
SETTLE_SECONDS = 4.0
LARGE_WORKERS = (24, 1_024, 15_000)
DOMAINS_AT_SIZE = 19
KINDS = ("entry", "placer", "steward")

Call = Callable[[aiohttp.ClientSession], Any]


def start(workers: int, vms: int, **process_settings: Any) -> Deployment:
    """Start a deployment whose cells are all owned."""
    settings = make_settings(workers)
    deployment = Deployment(settings, **process_settings)
    deployment.start_platform()
    for number in range(vms):
        deployment.start_vm(f"vm-{number}", f"domain-{number % 3}")
    deployment.wait_until_ready()
    cells = len(settings.fleet.cells)
    deployment.wait_until(lambda: count_owned(deployment) == cells)
    time.sleep(SETTLE_SECONDS)
    return deployment


def count_owned(deployment: Deployment) -> int:
    owned = 0
    for program in deployment.list_programs("placer"):
        assert program.settings is not None
        cells = call_json("GET", f"http://{program.settings.http}/v1/cells")
        owned += sum(each["recovered"] for each in cells)
    return owned


def sum_by_kind(values: dict[str, float]) -> dict[str, float]:
    """Sum the figures of programs by kind; the program names end in the kind."""
    return {
        kind: sum(each for name, each in values.items() if name.endswith(kind))
        for kind in KINDS
    }


def describe(reading: Reading, **size: int) -> dict[str, Any]:
    return {
        **size,
        "seconds": reading.seconds,
        "processor": sum_by_kind(reading.processor),
        "memory": sum_by_kind(reading.memory),
        "traffic": reading.traffic,
        "store_calls": reading.store_calls,
    }


def fit(rows: Sequence[dict[str, Any]], size: str) -> dict[str, Any]:
    """Return the base and slope of each figure over a size."""

    def line(read: Callable[[dict[str, Any]], float]) -> dict[str, float]:
        base, slope = fit_line([(row[size], read(row)) for row in rows])
        return {"base": base, "slope": slope}

    return {
        **{
            f"processor_{kind}": line(lambda row, kind=kind: row["processor"][kind])
            for kind in KINDS
        },
        **{
            f"memory_{kind}": line(lambda row, kind=kind: row["memory"][kind])
            for kind in KINDS
        },
        "traffic": line(lambda row: row["traffic"]),
        "store_calls": line(lambda row: sum(row["store_calls"].values())),
    }


def measure_workers() -> dict[str, Any]:
    """Measure one VM at rest with fleets of several sizes."""
    rows = []
    for count in WORKER_COUNTS:
        with start(count, 1) as deployment:
            rows.append(
                describe(measure_at_rest(deployment, REST_SECONDS), workers=count)
            )
    return {"rows": rows, "fit": fit(rows, "workers")}


def measure_vms() -> dict[str, Any]:
    """Measure several VMs at rest with one fleet."""
    rows = []
    for count in VM_COUNTS:
        with start(TASK_WORKERS, count) as deployment:
            rows.append(describe(measure_at_rest(deployment, REST_SECONDS), vms=count))
    return {"rows": rows, "fit": fit(rows, "vms")}


def make_submission(address: str, number: int) -> Call:
    async def submit(session: aiohttp.ClientSession) -> None:
        async with session.post(
            f"http://{address}/v1/jobs",
            json={"team": TEAM, "class": "render"},
            headers={
                "Authorization": f"Bearer {TOKEN}",
                "X-Request-Id": f"job-{number}",
            },
        ) as answer:
            assert answer.status == 202, await answer.text()

    return submit


def count_running(deployment: Deployment) -> int:
    running = 0
    for program in deployment.list_programs("placer"):
        assert program.settings is not None
        cells = call_json("GET", f"http://{program.settings.http}/v1/cells")
        running += sum(len(each["held"]) for each in cells)
    return running


def find_entry(deployment: Deployment) -> str:
    settings = deployment.list_programs("entry")[0].settings
    assert settings is not None
    return settings.http


def measure_tasks() -> dict[str, Any]:
    """Measure one VM while tasks start, and at rest while they run."""
    rows = []
    starts = []
    for count in TASK_COUNTS:
        with start(TASK_WORKERS, 1) as deployment:
            address = find_entry(deployment)
            calls = [make_submission(address, number) for number in range(count)]

            def begin(calls: Any = calls, count: int = count) -> None:
                run_calls(calls, CONCURRENCY)
                deployment.wait_until(lambda: count_running(deployment) == count)

            if count:
                starts.append(describe(measure(deployment, begin), tasks=count))
                time.sleep(SETTLE_SECONDS)
            rows.append(
                describe(measure_at_rest(deployment, REST_SECONDS), tasks=count)
            )
    return {"rows": rows, "starts": starts, "fit": fit(rows, "tasks")}


def make_request(address: str, class_name: str, number: int) -> Call:
    async def ask(session: aiohttp.ClientSession) -> None:
        async with session.post(
            f"http://{address}/v1/requests",
            json={"team": TEAM, "class": class_name, "body": "parcel"},
            headers={
                "Authorization": f"Bearer {TOKEN}",
                "X-Request-Id": f"{class_name}-{number}",
            },
        ) as answer:
            assert answer.status == 200, await answer.text()

    return ask


def measure_requests(class_name: str, count: int) -> dict[str, Any]:
    """Measure one entry under short requests that take no time at their target."""
    with start(24, 1) as deployment:
        address = find_entry(deployment)
        calls = [make_request(address, class_name, each) for each in range(count)]
        reading = measure(deployment, lambda: run_calls(calls, CONCURRENCY))
    return {
        "class": class_name,
        "requests": count,
        "requests_a_second": count / reading.seconds,
        "entry_milliseconds": 1e3
        * sum_by_kind(reading.processor)["entry"]
        * reading.seconds
        / count,
        "store_calls_each": {
            kind: rate * reading.seconds / count
            for kind, rate in reading.store_calls.items()
        },
        "entry_memory": sum_by_kind(reading.memory)["entry"],
    }


def make_record(members: int) -> JobRecord:
    """Return the stored record of a running gang."""
    spec = JobSpec(
        job_id="cell-12-48.0123456789abcdef",
        organisation="organisation-3",
        team="team-117",
        job_class="render",
        shape=Shape(members * 8),
        urgency=Urgency.PATIENT,
        restartable=True,
        checkpoints=True,
        declared_seconds=14_400.0,
    )
    reason = Reason(ReasonCode.PLACED_BORROWING, 1.79e9, "8 accelerators (worker)")
    return JobRecord(
        spec=spec,
        state=JobState.STARTED,
        accepted_at=1.79e9,
        attempt=1,
        members=tuple(
            Member(f"worker-{number}", tuple(range(8))) for number in range(members)
        ),
        history=(reason,) * 3,
    )


def measure_values() -> dict[str, Any]:
    """Measure the sizes of stored values, and the time to index settings."""
    indexed = []
    for count in LARGE_WORKERS:
        settings = make_settings(
            count,
            teams=210 if count > 24 else 4,
            domains=DOMAINS_AT_SIZE,
            racks_per_cell=16,
        )
        started = time.perf_counter()
        SettingsView(settings).find_guaranteed_shapes()
        seconds = time.perf_counter() - started
        fleet = msgspec.json.encode(settings.fleet)
        workers = msgspec.json.encode(settings.fleet.workers)
        indexed.append(
            {
                "workers": count,
                "index_seconds": seconds,
                "fleet_bytes": len(fleet),
                "workers_bytes_per_domain": len(workers) / DOMAINS_AT_SIZE,
                "team_bytes": len(msgspec.json.encode(settings.teams[0])),
            }
        )
    return {
        "settings": indexed,
        "job_record_bytes": {
            str(members): len(msgspec.json.encode(make_record(members)))
            for members in (1, 8, 64)
        },
    }


def measure_memory_at_rest() -> dict[str, float]:
    """Measure the resident memory of each program on the smallest deployment."""
    with start(24, 1) as deployment:
        programs = list_programs(deployment)
        return sum_by_kind({name: read_memory(each) for name, each in programs.items()})


MEASUREMENTS: dict[str, Callable[[], Any]] = {
    "values": measure_values,
    "memory": measure_memory_at_rest,
    "requests": lambda: [
        measure_requests("quote", REQUESTS),
        measure_requests("surcharge", REQUESTS // 4),
    ],
    "workers": measure_workers,
    "tasks": measure_tasks,
    "vms": measure_vms,
}


def run(output: Path) -> dict[str, Any]:
    """Run all measurements and write `slopes.json`."""
    figures = {}
    for name, measurement in MEASUREMENTS.items():
        print(f"measuring {name}", flush=True)
        figures[name] = measurement()
    text = json.dumps(figures, indent=1)
    (output / "slopes.json").write_text(text)
    print(text)
    return figures

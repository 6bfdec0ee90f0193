"""Measures how long callers and operators wait after a failure.

Every figure is the time from an event to its effect as seen from outside, on real
processes with the stand-in. The effect is polled every 20 ms, so each figure is too
high by up to that.
"""

import contextlib
import json
import signal
import time
import urllib.error
import urllib.request
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

from primrosestile.state.settings import POLICY_PATH
from tools.bench.fleets import OPERATOR_TOKEN, TEAM, TOKEN, make_settings
from tools.launch import Deployment, Program, call_json

POLL_SECONDS = 0.02
TIMEOUT_SECONDS = 120.0
TRIALS = 5
CHANGES = 10
SETTINGS_VMS = (3, 9, 27)
OUTAGE_SECONDS = 60.0
LEAVING_SECONDS = 15.0
SETTLE_SECONDS = 5.0
TASK_LEASE_SECONDS = 15.0


@contextlib.contextmanager
def run_deployment(workers: int, vms: int, kinds: Any = None) -> Iterator[Deployment]:
    """Run a deployment and yield it when its programs are ready and settled."""
    with Deployment(make_settings(workers), drain_seconds=0.5) as deployment:
        deployment.start_platform()
        for number in range(vms):
            arguments = {"kinds": kinds} if kinds else {}
            deployment.start_vm(f"vm-{number}", f"domain-{number % 3}", **arguments)
        deployment.wait_until_ready()
        time.sleep(SETTLE_SECONDS)
        yield deployment


def time_until(condition: Callable[[], bool]) -> float:
    """Return the seconds until a condition holds."""
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > TIMEOUT_SECONDS:
            raise TimeoutError("the condition did not hold in time")
        time.sleep(POLL_SECONDS)
    return time.monotonic() - started


def find_address(program: Program) -> str:
    assert program.settings is not None
    return program.settings.http


def read_cells(program: Program) -> list[dict[str, Any]]:
    try:
        return list(call_json("GET", f"http://{find_address(program)}/v1/cells"))
    except OSError:
        return []


def list_recovered(deployment: Deployment) -> dict[str, int]:
    """Return the epochs of the cells that placers have recovered."""
    return {
        cell["cell"]: cell["epoch"]
        for program in deployment.list_programs("placer")
        for cell in read_cells(program)
        if cell["recovered"]
    }


def post(address: str, path: str, body: Any, request_id: str = "") -> int:
    """Return the status of one call as a caller; 0 when there was no answer."""
    request = urllib.request.Request(
        f"http://{address}{path}",
        data=json.dumps(body).encode(),
        headers={"Authorization": f"Bearer {TOKEN}", "X-Request-Id": request_id},
        method="POST",
    )
    try:
        with urllib.request.urlopen(request, timeout=5.0) as answer:
            return int(answer.status)
    except urllib.error.HTTPError as error:
        return error.code
    except OSError:
        return 0


def ask_quote(deployment: Deployment) -> bool:
    address = find_address(deployment.list_programs("entry")[0])
    body = {"team": TEAM, "class": "quote", "body": "parcel"}
    return post(address, "/v1/requests", body) == 200


def measure_takeover() -> dict[str, Any]:
    """Measure from the kill of a cell's owner until the cell is recovered."""
    seconds = []
    store_calls = []
    with run_deployment(24, 4) as deployment:
        for trial in range(TRIALS):
            owners = [
                each for each in deployment.list_programs("placer") if read_cells(each)
            ]
            victim = owners[0]
            lost = {cell["cell"]: cell["epoch"] for cell in read_cells(victim)}
            before = deployment.store.read_calls()
            victim.process.send_signal(signal.SIGKILL)
            victim.process.wait()

            def is_recovered(lost: dict[str, int] = lost) -> bool:
                now = list_recovered(deployment)
                return all(now.get(cell, 0) > epoch for cell, epoch in lost.items())

            seconds.append(time_until(is_recovered))
            after = deployment.store.read_calls()
            store_calls.append(sum(after.values()) - sum(before.values()))
            vm = next(
                vm for vm in deployment.vms.values() if victim in vm.programs.values()
            )
            deployment.start_program(vm, "placer")
            deployment.wait_until_ready()
            time.sleep(SETTLE_SECONDS)
            print(f"takeover {trial}: {seconds[-1]:.2f} s", flush=True)
    return {"seconds": seconds, "store_calls": store_calls}


def measure_retry() -> dict[str, Any]:
    """Measure from the loss of a VM until an answer through another entry."""
    seconds = []
    with run_deployment(24, 4) as deployment:
        for number in range(3):
            deployment.kill_vm(f"vm-{number}")
            seconds.append(time_until(lambda: ask_quote(deployment)))
    return {"seconds": seconds}


def measure_leaving(**order: Any) -> dict[str, Any]:
    """Measure from a worker's leaving until the last new work that it was given.

    Args:
        order: How the stand-in announces it, by the VM list or by the worker.
    """
    with run_deployment(24, 3) as deployment:
        worker = deployment.settings.fleet.workers[0].name
        for _ in range(200):
            ask_quote(deployment)
        # The stand-in's clock is the machine's monotonic clock too.
        left_at = time.monotonic()
        deployment.workers.set_faults(**order)
        while time.monotonic() < left_at + LEAVING_SECONDS:
            ask_quote(deployment)
        ledger = deployment.workers.read_ledger()
    starts = [run.start - left_at for run in ledger.requests if run.worker == worker]
    return {
        "last_new_work_after_seconds": max(starts),
        "runs_after": sum(start > 0.0 for start in starts),
    }


def put_policy(deployment: Deployment, revision: int, limit: int) -> None:
    address = find_address(deployment.list_programs("steward")[0])
    path = f"http://{address}/v1/settings/{POLICY_PATH}"
    stored = call_json("GET", path, token=OPERATOR_TOKEN)
    assert stored["revision"] == revision, stored
    body = {
        "revision": revision,
        "value": {**stored["value"], "queue_limit": limit},
        "comment": "bench",
    }
    call_json("PUT", path, body, token=OPERATOR_TOKEN)


def is_applied(program: Program, revision: int) -> bool:
    applied = call_json("GET", f"http://{find_address(program)}/v1/applied")
    return int(applied["revisions"].get(POLICY_PATH, 0)) >= revision


def measure_settings(vms: int) -> dict[str, Any]:
    """Measure from an accepted change until it is in force in every process."""
    seconds = []
    with run_deployment(24, vms) as deployment:
        programs = [
            program
            for vm in deployment.vms.values()
            for program in vm.programs.values()
        ]
        calls = deployment.store.read_calls()
        for change in range(CHANGES):
            put_policy(deployment, change + 1, 1000 + change)
            started = time.monotonic()
            waiting = list(programs)
            while waiting:
                waiting = [each for each in waiting if not is_applied(each, change + 2)]
            seconds.append(time.monotonic() - started)
        watches = deployment.store.read_calls()
    return {
        "vms": vms,
        "processes": len(programs),
        "seconds": seconds,
        "store_calls": sum(watches.values()) - sum(calls.values()),
    }


def submit_render(deployment: Deployment) -> str:
    address = find_address(deployment.list_programs("entry")[0])
    body = {"team": TEAM, "class": "render", "shape": {"accelerators": 16}}
    body["shape"]["adjacency"] = "rack"  # type: ignore[index]
    request = urllib.request.Request(
        f"http://{address}/v1/jobs",
        data=json.dumps(body).encode(),
        headers={"Authorization": f"Bearer {TOKEN}"},
        method="POST",
    )
    with urllib.request.urlopen(request, timeout=5.0) as answer:
        return str(json.loads(answer.read())["job_id"])


def count_running(deployment: Deployment) -> int:
    ledger = deployment.workers.read_ledger()
    return sum(1 for run in ledger.tasks if not run.end)


def measure_outage() -> dict[str, Any]:
    """Measure a store outage of a minute, four task leases, with the owner killed."""
    with run_deployment(24, 4) as deployment:
        submit_render(deployment)
        time_until(lambda: count_running(deployment) == 2)
        owner = next(
            each
            for each in deployment.list_programs("placer")
            if any(cell["held"] for cell in read_cells(each))
        )
        deployment.store.set_faults(store={"down": True})
        time.sleep(SETTLE_SECONDS)
        owner.process.send_signal(signal.SIGKILL)
        owner.process.wait()
        quotes = []
        ended = time.monotonic() + OUTAGE_SECONDS
        while time.monotonic() < ended:
            quotes.append(ask_quote(deployment))
            time.sleep(0.5)
        running = count_running(deployment)
        before = deployment.store.read_calls()
        deployment.store.set_faults(store={"down": False})
        recovery_seconds = time_until(lambda: len(list_recovered(deployment)) == 3)
        after = deployment.store.read_calls()
        running_after = count_running(deployment)
    return {
        "outage_seconds": OUTAGE_SECONDS,
        "task_lease_seconds": TASK_LEASE_SECONDS,
        "members_running_at_end": running,
        "members_running_after_return": running_after,
        "quotes_answered": sum(quotes),
        "quotes_sent": len(quotes),
        "owned_again_seconds": recovery_seconds,
        "store_calls_on_return": sum(after.values()) - sum(before.values()),
    }


def run(output: Path) -> dict[str, Any]:
    """Measure and write `recovery.json`."""
    figures = {
        "takeover": measure_takeover(),
        "retry": measure_retry(),
        "leaving_by_list": measure_leaving(vms={"worker-0": True}),
        "leaving_by_own_word": measure_leaving(leave=["worker-0"]),
        "outage": measure_outage(),
        "settings": [measure_settings(vms) for vms in SETTINGS_VMS],
    }
    text = json.dumps(figures, indent=1)
    (output / "recovery.json").write_text(text)
    print(text)
    return figures

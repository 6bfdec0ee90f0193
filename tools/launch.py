"""Starts and ends the programs of one deployment as separate processes.

The demo, the benchmarks and the failure tests run the real programs on loopback with a
stand-in for the platform. A deployment ends only the processes that it started, each
by its id.
"""

import asyncio
import contextlib
import fcntl
import importlib.util
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field, replace
from functools import partial
from pathlib import Path
from types import TracebackType
from typing import IO, Any, Self

import msgspec

from primrosestile.coordination.setting_store import put_setting
from primrosestile.decisions.settings_parts import split_document
from primrosestile.state.fleet import Fleet
from primrosestile.state.process import ProcessSettings
from primrosestile.state.settings import Settings
from primrosestile.transport.store import make_store
from primrosestile_standin.ledger import Ledger

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
KINDS = ("entry", "placer", "steward")
# Below the ephemeral port range of outgoing connections, so that a restarted program
# finds its port free.
PORTS = range(20_000, 32_000)
START_BOUND_SECONDS = 60.0
STEP_SECONDS = 0.05
CALL_TIMEOUT_SECONDS = 10.0
LOG_TAIL_LINES = 20
# Open lock files of the ports that this process has taken.
_port_locks: list[IO[str]] = []


@dataclass(slots=True)
class Program:
    """A process that a deployment started.

    Attributes:
        settings: None for a stand-in.
        log: The file that its output goes to.
    """

    name: str
    process: "subprocess.Popen[str]"
    log: Path
    settings: ProcessSettings | None = None

    @property
    def is_running(self) -> bool:
        """Whether the process has not exited."""
        return self.process.poll() is None

    def read_log_tail(self) -> str:
        """Return the last lines of its output, for debugging."""
        lines = self.log.read_text(errors="replace").splitlines()
        return "\n".join(lines[-LOG_TAIL_LINES:])


@dataclass(frozen=True, slots=True)
class StandinControl:
    """Client of the address where a stand-in takes faults and reports what happened."""

    address: str

    def set_faults(self, **order: Any) -> None:
        """Set faults; the arguments are the fields of the stand-in's `FaultOrder`."""
        call_json("POST", f"http://{self.address}/faults", order)

    def read_calls(self) -> dict[str, int]:
        """Return the number of calls to the store by kind."""
        return dict(call_json("GET", f"http://{self.address}/calls"))

    def read_ledger(self) -> Ledger:
        """Return the ledger of what ran on the workers."""
        ledger = call_json("GET", f"http://{self.address}/ledger")
        return msgspec.convert(ledger, Ledger)


@dataclass(frozen=True, slots=True)
class Vm:
    """The programs of one VM, by kind."""

    name: str
    failure_domain: str
    programs: dict[str, Program] = field(default_factory=dict)


class Deployment:
    """One deployment: a store, workers, a VM list, and VMs with the programs.

    Attributes:
        settings: The operators' settings, with the workers' addresses on loopback.
        folder: Holds the settings and logs of each process.
        process_settings: Fields of `ProcessSettings` that all processes get.
    """

    def __init__(self, settings: Settings, **process_settings: Any) -> None:
        self._resources = contextlib.ExitStack()
        name = self._resources.enter_context(
            tempfile.TemporaryDirectory(prefix="tile-")
        )
        self.folder = Path(name)
        self.settings = settings
        self.process_settings = process_settings
        self.vms: dict[str, Vm] = {}
        self.started: list[Program] = []
        self._ports = iterate_ports()
        self.store_address = self.vms_address = ""
        self.store = StandinControl("")
        self.workers = StandinControl("")

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    def start_platform(self, lag_seconds: float = 1.0) -> None:
        """Start the store, and the workers with the VM list, as two processes."""
        self.store_address = self.take_address()
        self.vms_address = self.take_address()
        workers_address = self.take_address()
        self.settings = move_workers(self.settings, workers_address)
        fleet = self.folder / "fleet.json"
        fleet.write_bytes(msgspec.json.encode(self.settings))
        self.store = self._start_standin("store", "--store-listen", self.store_address)
        asyncio.run(store_settings(self.store_address, self.settings))
        self.workers = self._start_standin(
            "workers",
            *("--settings", str(fleet), "--workers-listen", workers_address),
            *("--vms-listen", self.vms_address, "--lag-seconds", str(lag_seconds)),
        )

    def start_vm(
        self, name: str, failure_domain: str, kinds: Sequence[str] = KINDS
    ) -> Vm:
        """Start a VM's programs and add the VM to the list."""
        vm = self.vms[name] = Vm(name, failure_domain)
        for kind in kinds:
            if has_program(kind):
                self.start_program(vm, kind)
        self.workers.set_faults(vms={name: False})
        return vm

    def start_program(self, vm: Vm, kind: str) -> Program:
        """Start one program of a VM; a restart keeps its addresses."""
        before = vm.programs.get(kind)
        settings = before.settings if before else self._make_settings(vm, kind)
        assert settings is not None
        path = self.folder / f"{settings.name}.json"
        path.write_bytes(msgspec.json.encode(settings))
        command = (f"primrosestile.programs.{kind}", "--settings", str(path))
        program = self._start(settings.name, command, settings)
        vm.programs[kind] = program
        return program

    def kill_vm(self, name: str) -> None:
        """Kill a VM's programs at once, as the loss of the machine does."""
        for program in self.vms[name].programs.values():
            program.process.send_signal(signal.SIGKILL)
        for program in self.vms[name].programs.values():
            program.process.wait()
        self.workers.set_faults(remove_vms=[name])

    def drain_vm(self, name: str) -> None:
        """Make a VM's programs drain and shut down."""
        self.workers.set_faults(vms={name: True})
        for program in self.vms[name].programs.values():
            program.process.send_signal(signal.SIGTERM)

    def list_programs(self, kind: str) -> list[Program]:
        """Return the running programs of one kind."""
        found = (vm.programs.get(kind) for vm in self.vms.values())
        return [each for each in found if each is not None and each.is_running]

    def wait_until_ready(self, bound: float = START_BOUND_SECONDS) -> None:
        """Wait until every program reports that it is ready.

        Raises:
            TimeoutError: When one isn't within the bound; has every program's log.
        """
        for vm in self.vms.values():
            for program in vm.programs.values():
                self.wait_until(partial(is_ready, program), bound)

    def wait_until(
        self, condition: Callable[[], bool], bound: float = START_BOUND_SECONDS
    ) -> None:
        """Wait until a condition holds.

        Raises:
            TimeoutError: When it doesn't hold within the bound, in seconds.
        """
        end = time.monotonic() + bound
        while not condition():
            if time.monotonic() > end:
                raise TimeoutError(self.describe_logs())
            time.sleep(STEP_SECONDS)

    def describe_logs(self) -> str:
        """Return the last lines of every process's output."""
        return "\n".join(
            f"---- {each.name}: exit {each.process.poll()}\n{each.read_log_tail()}"
            for each in self.started
        )

    def take_address(self) -> str:
        """Return an address with a free port."""
        return f"{HOST}:{next(self._ports)}"

    def close(self) -> None:
        """Kill every process that this deployment started."""
        running = [each.process for each in self.started if each.is_running]
        for process in running:
            process.kill()
        for process in running:
            process.wait()
        self._resources.close()

    def _make_settings(self, vm: Vm, kind: str) -> ProcessSettings:
        settings = ProcessSettings(
            name=f"{vm.name}-{kind}",
            vm=vm.name,
            failure_domain=vm.failure_domain,
            store=(self.store_address,),
            vm_list=self.vms_address,
            http=self.take_address(),
            peer=self.take_address(),
        )
        return replace(settings, **self.process_settings)

    def _start_standin(self, name: str, *arguments: str) -> StandinControl:
        address = self.take_address()
        command = ("primrosestile_standin.program", *arguments, "--listen", address)
        program = self._start(f"standin-{name}", command)
        self.wait_until(
            lambda: bool(program.log.read_text().strip()) or not program.is_running
        )
        if not program.is_running:
            raise RuntimeError(program.read_log_tail())
        return StandinControl(address)

    def _start(
        self,
        name: str,
        command: Sequence[str],
        settings: ProcessSettings | None = None,
    ) -> Program:
        log = self.folder / f"{name}.log"
        environment = {**os.environ, "PYTHONPATH": str(ROOT / "src")}
        with log.open("a") as output:
            process = subprocess.Popen(
                (sys.executable, "-m", *command),
                stdout=output,
                stderr=subprocess.STDOUT,
                cwd=ROOT,
                env=environment,
                text=True,
            )
        program = Program(name, process, log, settings)
        self.started.append(program)
        return program


def has_program(kind: str) -> bool:
    """Return whether this version has a program of that kind."""
    return importlib.util.find_spec(f"primrosestile.programs.{kind}") is not None


def read_settings(path: Path) -> Settings:
    """Return the settings in a file."""
    return msgspec.json.decode(path.read_bytes(), type=Settings)


def move_workers(settings: Settings, address: str) -> Settings:
    """Return the settings with all workers at the stand-in's address."""
    workers = tuple(
        replace(each, address=f"{address}/workers/{each.name}")
        for each in settings.fleet.workers
    )
    fleet: Fleet = replace(settings.fleet, workers=workers)
    return replace(settings, fleet=fleet)


def iterate_ports() -> Iterator[int]:
    """Yield free ports in a random order that differs by process.

    A port stays locked until this process exits. Without the lock, another deployment
    could find a port free before the program here listens on it: its store then failed
    to listen, and callers reached the other deployment's program, whose page for an
    unknown path, "404: Not Found", reads as a number.
    """
    ports = list(PORTS)
    random.Random(os.getpid() * 1_000_003 + time.monotonic_ns()).shuffle(ports)
    for port in ports:
        lock = lock_port(port)
        if lock is None:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                lock.close()
                continue
        _port_locks.append(lock)
        yield port


def lock_port(port: int) -> IO[str] | None:
    """Return the lock file of a port, or None when another process has locked it."""
    lock = (Path(tempfile.gettempdir()) / f"primrosestile-port-{port}").open("w")
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        lock.close()
        return None
    return lock


def is_ready(program: Program) -> bool:
    """Return whether a program reports that it is ready.

    Raises:
        RuntimeError: When it has exited.
    """
    if not program.is_running:
        raise RuntimeError(f"{program.name} has exited:\n{program.read_log_tail()}")
    assert program.settings is not None
    url = f"http://{program.settings.http}/readyz"
    try:
        with urllib.request.urlopen(url, timeout=CALL_TIMEOUT_SECONDS) as answer:
            return bool(answer.status == 200)
    except OSError:
        return False


def call_json(method: str, url: str, body: Any = None, token: str = "") -> Any:
    """Send a request and return the JSON of its answer.

    Raises:
        urllib.error.HTTPError: When the status is an error.
        OSError: When there is no answer.
    """
    data = json.dumps(body).encode() if body is not None else None
    request = urllib.request.Request(url, data=data, method=method)
    if token:
        request.add_header("Authorization", f"Bearer {token}")
    with urllib.request.urlopen(request, timeout=CALL_TIMEOUT_SECONDS) as answer:
        return json.loads(answer.read())


async def store_settings(address: str, settings: Settings) -> None:
    """Write the first revision of all settings into an empty store."""
    store = make_store(lambda: [address])
    for path, value in split_document(msgspec.to_builtins(settings)):
        text = msgspec.json.encode(value).decode()
        await put_setting(store, path, text, 0, "launch", "first settings")
    await store.close()

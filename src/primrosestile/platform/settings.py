"""The settings file that the platform gives to each process.

Lines of the form `a.b=value`. Lines that are not known here are passed over, since
new ones may come.
"""

import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

PATH_VARIABLE = "PRIMROSESTILE_CONFIG"


class BadSettings(Exception):
    """The file lacks something that the program can't run without."""


@dataclass(frozen=True, slots=True)
class Bounds:
    """Times that the platform promises or demands, in seconds.

    Attributes:
        policy_applies: From a policy's acceptance until it must be in force.
        key_revoked: From then until a key that was taken away must be useless.
        lease_longest: A worker shortens a longer lease to this.
        stop_longest: How long a worker takes to stop a run.
        gang_waits: How long a member waits on its worker for the others.
        stop_grace: From SIGTERM until the process is killed.
        leaving_noticed: From a worker's word that it leaves until it must get
            no new work.
        status_kept: How long the state of an ended job can be asked for.
        far_factor: How much longer a task takes away from its data or rack.
        duty_turn: How long one of us keeps the orders for a machine.
        reclaim: From the acceptance of a guaranteed job until all of its first
            step must have begun.
        start_early: How much before its time an occurrence may begin.
        cordoned: From an operator's wish that a failure domain get no new work until
            it gets none; 0 where operators have no such wish.
    """

    policy_applies: float
    key_revoked: float
    lease_longest: float
    stop_longest: float
    gang_waits: float
    stop_grace: float
    leaving_noticed: float
    status_kept: float
    far_factor: float
    duty_turn: float
    reclaim: float
    start_early: float
    cordoned: float


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """What a process learns from the file.

    Attributes:
        callers_address: Where callers' connections arrive.
        ready_address: Where the balancer asks whether we are ready.
        inner_ports: First and last port that are free for our own use.
        advice_address: The service that knows a queue's workers; may be empty.
        list_address: The platform's list of machines; may be empty.
        processor: Of the machine, in cores of the usual speed.
        link: Of the VM, in megabits a second.
    """

    name: str
    ip: str
    failure_domain: str
    callers_address: str
    ready_address: str
    inner_ports: tuple[int, int]
    store_address: str
    advice_address: str
    list_address: str
    heartbeat: float
    processor: float
    link: float
    bounds: Bounds


def read_settings() -> PlatformSettings:
    """Read the file that the environment names.

    Raises:
        BadSettings: When it can't be read or lacks a line that is needed.
    """
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise BadSettings(f"{PATH_VARIABLE} is not set; it names the settings file")
    try:
        text = Path(path).read_text()
    except OSError as error:
        raise BadSettings(f"{path}: {error}; check that it is readable") from error
    return parse_settings(text)


def parse_settings(text: str) -> PlatformSettings:
    """Return the settings of a file's text.

    Raises:
        BadSettings: When a needed line is missing or is not a number.
    """
    values = _split_lines(text)
    try:
        return _make_settings(values)
    except KeyError as error:
        raise BadSettings(f"the line {error} is missing; add it") from error
    except ValueError as error:
        raise BadSettings(f"a value is not a number: {error}") from error


def _split_lines(text: str) -> dict[str, str]:
    values = {}
    for line in text.splitlines():
        name, found, value = line.partition("=")
        if found:
            values[name.strip()] = value.strip()
    return values


def _make_settings(values: Mapping[str, str]) -> PlatformSettings:
    first, _, last = values["port_range"].partition(",")
    return PlatformSettings(
        name=values["node"],
        ip=values["ip"],
        failure_domain=values.get("zone", ""),
        callers_address=values["listen.front"],
        ready_address=values["listen.ready"],
        inner_ports=(int(first), int(last)),
        store_address=values["platform.address"],
        advice_address=values.get("advice", ""),
        list_address=values.get("cloud.address", ""),
        heartbeat=float(values.get("heartbeat_ms", "1500")) / 1000,
        # The share is of a core that is `cores` times as fast as a usual one.
        processor=float(values.get("limits.cpu_share", "1"))
        * float(values.get("limits.cores", "1")),
        link=float(values.get("limits.link_mbps", "1000")),
        bounds=_make_bounds(values),
    )


def _make_bounds(values: Mapping[str, str]) -> Bounds:
    def read_ms(name: str, default: float) -> float:
        return float(values.get(f"bounds.{name}", default)) / 1000

    def read(name: str, default: float) -> float:
        return float(values.get(f"bounds.{name}", default))

    return Bounds(
        policy_applies=read_ms("config_apply_ms", 2000),
        key_revoked=read_ms("revoke_ms", 5000),
        lease_longest=read_ms("max_hold_ms", 10_000),
        stop_longest=read_ms("stop_timeout_ms", 400),
        gang_waits=read_ms("gang_timeout_ms", 3000),
        stop_grace=read("grace_s", 6),
        leaving_noticed=read_ms("drain_ms", 2000),
        status_kept=read("status_s", 120),
        far_factor=read("spread_factor", 3),
        duty_turn=read_ms("lease_ms", 3000),
        reclaim=read_ms("reclaim_ms", 2900),
        start_early=read_ms("early_ms", 250),
        cordoned=read_ms("evacuate_ms", 0),
    )

"""Parses the settings file that the platform gives to each process.

Its lines have the form `a.b=value`. Unknown lines are ignored, since new ones may be
added. Lines that begin with `scheduling.` are the operators' own: there an unknown name
or value is an error, since a feature that is misspelled would silently stay as it is.
"""

import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from primrosestile.state.scheduling import SchedulingSettings, Switch

PATH_VARIABLE = "PRIMROSESTILE_CONFIG"
SCHEDULING_PREFIX = "scheduling."
# The features that an operator can switch.
FEATURES = (
    "headroom",
    "preemption_history",
    "organisation_shares",
    "load_admission",
    "speed_groups",
)


class SettingsError(Exception):
    """The file lacks a setting that the program needs, or one is invalid."""


@dataclass(frozen=True, slots=True)
class Bounds:
    """Time limits that the platform guarantees or requires.

    Attributes:
        policy_apply_seconds: From a policy's acceptance until it must be in force.
        key_revoke_seconds: From then until a removed key must be rejected.
        max_lease_seconds: A worker shortens a longer lease to this.
        gang_wait_seconds: How long a member waits on its worker for the others.
        stop_grace_seconds: From SIGTERM until the process is killed.
        leaving_notice_seconds: From a worker's announcement that it is leaving until it
            must get no new work.
        status_retention_seconds: How long the state of an ended job can be queried.
        remote_slowdown: Factor by which a task takes longer when its step spans racks,
            or its data is in another rack.
        duty_seconds: How long one process holds the right to order a machine.
        reclaim_seconds: From the acceptance of a guaranteed job until all of its first
            step must have started.
        early_start_seconds: How much before its due time an occurrence may start.
        cordon_seconds: From an operator's order to cordon a failure domain until it
            must get no new work; 0 where operators do not cordon.
    """

    policy_apply_seconds: float
    key_revoke_seconds: float
    max_lease_seconds: float
    gang_wait_seconds: float
    stop_grace_seconds: float
    leaving_notice_seconds: float
    status_retention_seconds: float
    remote_slowdown: float
    duty_seconds: float
    reclaim_seconds: float
    early_start_seconds: float
    cordon_seconds: float


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """The settings of one process.

    Attributes:
        callers_address: Listening address for callers.
        ready_address: Listening address for the load balancer's readiness checks.
        peer_address: Listening address for other processes of ours; may be empty.
        seeds: Such addresses of a few other VMs, which may be down.
        internal_ports: First and last port that are free for our own use.
        advice_address: Address of the advice service; may be empty.
        vm_list_address: Address of the platform's list of machines; may be empty.
        processor: Processor share of the VM, in cores of standard speed.
        link: Bandwidth of the VM's link, in megabits a second.
        scheduling: Timing of the workers, and which features are used.
    """

    name: str
    ip: str
    failure_domain: str
    callers_address: str
    ready_address: str
    peer_address: str
    seeds: tuple[str, ...]
    internal_ports: tuple[int, int]
    store_address: str
    advice_address: str
    vm_list_address: str
    heartbeat_seconds: float
    processor: float
    link: float
    bounds: Bounds
    scheduling: SchedulingSettings


def read_settings() -> PlatformSettings:
    """Read the file that the environment variable names.

    Raises:
        SettingsError: When it can't be read, lacks a required line, or holds a bad
            value.
    """
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise SettingsError(f"{PATH_VARIABLE} is not set; it names the settings file")
    try:
        text = Path(path).read_text()
    except OSError as error:
        raise SettingsError(f"{path}: {error}; check that it is readable") from error
    return parse_settings(text)


def parse_settings(text: str) -> PlatformSettings:
    """Parse the text of a settings file.

    Raises:
        SettingsError: When a required line is missing or a value can't be parsed.
    """
    values = _split_lines(text)
    try:
        return _make_settings(values)
    except KeyError as error:
        raise SettingsError(f"the line {error} is missing; add it") from error
    except ValueError as error:
        raise SettingsError(f"a value is not a number: {error}") from error


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
        peer_address=values.get("listen.control", ""),
        seeds=tuple(filter(None, values.get("seeds", "").split(","))),
        internal_ports=(int(first), int(last)),
        store_address=values["platform.address"],
        advice_address=values.get("advice", ""),
        vm_list_address=values.get("cloud.address", ""),
        heartbeat_seconds=float(values.get("heartbeat_ms", "1500")) / 1000,
        # The share is of a core that is `cores` times as fast as a standard one.
        processor=float(values.get("limits.cpu_share", "1"))
        * float(values.get("limits.cores", "1")),
        link=float(values.get("limits.link_mbps", "1000")),
        bounds=_make_bounds(values),
        scheduling=_make_scheduling(values),
    )


def _make_scheduling(values: Mapping[str, str]) -> SchedulingSettings:
    switches = {}
    for line, value in values.items():
        if not line.startswith(SCHEDULING_PREFIX):
            continue
        feature = line.removeprefix(SCHEDULING_PREFIX)
        if feature not in FEATURES:
            known = ", ".join(FEATURES)
            raise SettingsError(f"the line '{line}' names none of {known}")
        try:
            switches[feature] = Switch(value)
        except ValueError:
            choices = ", ".join(Switch)
            raise SettingsError(
                f"the line '{line}' has the value '{value}'; write one of {choices}"
            ) from None
    return SchedulingSettings(
        stop_seconds=float(values.get("bounds.stop_timeout_ms", 400)) / 1000,
        checkpoint_seconds=float(values.get("bounds.checkpoint_s", 2)),
        **switches,
    )


def _make_bounds(values: Mapping[str, str]) -> Bounds:
    def read_ms(name: str, default: float) -> float:
        return float(values.get(f"bounds.{name}", default)) / 1000

    def read(name: str, default: float) -> float:
        return float(values.get(f"bounds.{name}", default))

    return Bounds(
        policy_apply_seconds=read_ms("config_apply_ms", 2000),
        key_revoke_seconds=read_ms("revoke_ms", 5000),
        max_lease_seconds=read_ms("max_hold_ms", 10_000),
        gang_wait_seconds=read_ms("gang_timeout_ms", 3000),
        stop_grace_seconds=read("grace_s", 6),
        leaving_notice_seconds=read_ms("drain_ms", 2000),
        status_retention_seconds=read("status_s", 120),
        remote_slowdown=read("spread_factor", 3),
        duty_seconds=read_ms("lease_ms", 3000),
        reclaim_seconds=read_ms("reclaim_ms", 2900),
        early_start_seconds=read_ms("early_ms", 250),
        cordon_seconds=read_ms("evacuate_ms", 0),
    )

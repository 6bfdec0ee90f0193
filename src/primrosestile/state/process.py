"""Settings of one process: its name, location and addresses.

A process reads nothing about itself from the machine. All of it is in one small JSON
file, so that a VM can be replaced by starting a process with that file elsewhere.
"""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class PeerKeys:
    """CURVE keys for connections between our own processes (Z85 text).

    Attributes:
        public: Shared by all processes of one deployment.
        secret: Shared likewise; never printed or logged.
    """

    public: str
    secret: str = field(repr=False)


@dataclass(frozen=True, slots=True)
class ProcessSettings:
    """What one program needs before it can read the store.

    Attributes:
        name: Unique among running processes, such as `vm-1-entry`.
        vm: Name of the VM as the platform's VM list gives it.
        failure_domain: Failure domain of the VM.
        store: Addresses of the platform's store, `ip:port`.
        vm_list: Address of the platform's VM list, `ip:port`.
        http: Address to listen on for HTTP, `ip:port`.
        peer: Address to listen on for our own processes, `ip:port`.
        peer_keys: CURVE keys; None leaves these connections unencrypted.
        log_level: Name of a structlog level.
        drain_seconds: How long readiness is off before listening ends, since
            the load balancer lags.
        process_lease_seconds: Time to live of this process's lease.
        task_lease_seconds: Time to live of leases on workers; a gang that lost a
            member has stopped everywhere within this time.
        seeds: Addresses of a few processes on other VMs, `ip:port` as in `peer`;
            asked for the settings when the store is down at the start; two of them
            must answer, or the only one. Without seeds the process waits for the store.
    """

    name: str
    vm: str
    failure_domain: str
    store: tuple[str, ...]
    vm_list: str
    http: str
    peer: str
    peer_keys: PeerKeys | None = None
    log_level: str = "info"
    drain_seconds: float = 2.0
    process_lease_seconds: int = 4
    task_lease_seconds: float = 15.0
    seeds: tuple[str, ...] = ()

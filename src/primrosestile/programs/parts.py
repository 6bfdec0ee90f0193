"""The parts that every program is built from.

Each process has its own lease, registration, directory of the other processes and
settings in force; the modules of the programs add the parts in which they differ.
"""

import random
from collections.abc import Awaitable
from dataclasses import dataclass

from primrosestile.coordination.membership import (
    Directory,
    ProcessLease,
    Registration,
)
from primrosestile.coordination.message_table import MessageTable
from primrosestile.coordination.settings_follower import SettingsFollower, make_follower
from primrosestile.coordination.settings_relay import Relay, RelayIdentity, make_relay
from primrosestile.decisions.settings_view import view_settings
from primrosestile.programs.common import Health
from primrosestile.programs.metrics import Metrics
from primrosestile.state.jobs import ProcessRecord
from primrosestile.state.process import ProcessSettings
from primrosestile.transport.peers import ZmqPeers, make_peers
from primrosestile.transport.store import GatewayStore, make_store
from primrosestile.transport.vms import HttpVmList, make_vm_list

NO_SETTINGS = "no settings have been read yet"


@dataclass(frozen=True, slots=True)
class Parts:
    """The common parts of one process."""

    settings: ProcessSettings
    store: GatewayStore
    vm_list: HttpVmList
    peers: ZmqPeers
    messages: MessageTable
    lease: ProcessLease
    directory: Directory
    registration: Registration
    follower: SettingsFollower
    relay: Relay
    health: Health
    metrics: Metrics

    def list_services(self) -> list[Awaitable[None]]:
        """Return the services that every program runs."""
        return [
            self.lease.run(),
            self.directory.run(),
            self.registration.run(),
            self.relay.run(),
            self.peers.serve(self.messages.answer),
            self._wait_for_settings(),
        ]

    async def _wait_for_settings(self) -> None:
        await self.follower.wait_for_first()
        self.health.reasons.pop("settings", None)

    async def close(self) -> None:
        """End the lease and close every connection."""
        await self.lease.end()
        self.peers.close()
        await self.vm_list.close()
        await self.store.close()


class AddressBook:
    """The addresses of workers in the settings in force."""

    def __init__(self, follower: SettingsFollower) -> None:
        self._follower = follower

    def find(self, worker: str) -> str:
        """Return a worker's address; empty when it is not in the settings."""
        known = view_settings(self._follower.settings).workers.get(worker)
        return known.address if known else ""


def make_parts(settings: ProcessSettings, program: str, metrics: Metrics) -> Parts:
    """Build the common parts of one process."""
    store = make_store(lambda: settings.store)
    lease = ProcessLease(store, settings.process_lease_seconds)
    record = ProcessRecord(
        name=settings.name,
        vm=settings.vm,
        program=program,
        failure_domain=settings.failure_domain,
        http=settings.http,
        peer=settings.peer,
        incarnation=f"{random.SystemRandom().getrandbits(48):012x}",
    )
    registration = Registration(store, lease, record)
    follower = make_follower(store, settings.name)
    health = Health({"settings": NO_SETTINGS}, lambda: follower.revisions)
    messages = MessageTable(settings.vm, lambda: registration.record.leaving)
    directory = Directory(store)
    peers = make_peers(settings.name, settings.peer, settings.peer_keys)
    identity = RelayIdentity(settings.name, settings.failure_domain, settings.seeds)
    relay = make_relay(follower, peers, directory.records, identity)
    relay.add_handlers(messages)
    return Parts(
        settings=settings,
        store=store,
        vm_list=make_vm_list(settings.vm_list),
        peers=peers,
        messages=messages,
        lease=lease,
        directory=directory,
        registration=registration,
        follower=follower,
        relay=relay,
        health=health,
        metrics=metrics,
    )

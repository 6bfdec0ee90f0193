"""Passes settings on between processes, so that few of them watch the store.

The watchers of a failure domain send each change to the processes of their domain at
once. Messages get lost, so each process also asks a random peer every few seconds for
newer settings, which repairs a missed change. A process that gets no answer from any
peer watches the store itself.

Values from a peer pass the same check as values from the store: only a higher revision
of a path is applied. So neither a late or repeated message nor a peer that was paused
for an hour can revert a setting.
"""

import asyncio
import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

import structlog

from primrosestile.clock import read_clock
from primrosestile.coordination.message_table import MessageTable
from primrosestile.coordination.settings_follower import SettingsFollower
from primrosestile.decisions.watchers import choose_watchers
from primrosestile.errors import Failure
from primrosestile.protocol.messages import (
    Body,
    Envelope,
    SettingsDigest,
    SettingsValues,
)
from primrosestile.protocol.peers import Peers
from primrosestile.state.jobs import ProcessRecord

ROLE_SECONDS = 1.0
ASK_TIMEOUT_SECONDS = 1.5
# A digest of 232 paths is about 4 KB. Every 2 s it costs 2 KB/s of a process's 28 KB/s,
# and a lost change is repaired within a few requests, inside the 11 s.
REPAIR_LOW_SECONDS = 1.5
REPAIR_HIGH_SECONDS = 2.5
# Two or three requests without an answer. Watching the store then still brings a change
# within 11 s.
ISOLATED_SECONDS = 6.0
SEND_AT_ONCE = 16
# One message stays well below what a peer reads in a second; the rest follows with the
# next request.
VALUES_LIMIT_BYTES = 512 * 1024
# One peer alone may have missed a change. Two that answer are enough, since each of
# them repairs itself from the others every 2 s.
STARTING_PEERS = 2
# Time for the store to answer before peers are asked; it answers in milliseconds when
# it is up.
STORE_WAIT_SECONDS = 2.0

_log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class RelayIdentity:
    """The identity of a process among its peers.

    Attributes:
        name: Its name.
        failure_domain: To whose processes it sends changes when it watches.
        seeds: Addresses of a few other processes, `ip:port`, asked when the store
            is down at the start.
    """

    name: str
    failure_domain: str
    seeds: tuple[str, ...] = ()


class Relay:
    """Follows settings from the store or from peers, and passes them on."""

    def __init__(
        self,
        follower: SettingsFollower,
        peers: Peers,
        list_records: Callable[[], Sequence[ProcessRecord]],
        identity: RelayIdentity,
        chance: random.Random,
    ) -> None:
        self._follower = follower
        self._peers = peers
        self._list_records = list_records
        self._identity = identity
        self._chance = chance
        self._answered_at = 0.0
        self._sending = asyncio.Semaphore(SEND_AT_ONCE)

    def add_handlers(self, messages: MessageTable) -> None:
        """Register the handlers of settings messages."""
        messages.add(SettingsDigest, self.answer)
        messages.add(SettingsValues, self.answer)

    async def answer(self, envelope: Envelope) -> Body:
        """Answer one message on settings."""
        body = envelope.body
        if isinstance(body, SettingsValues):
            self._follower.apply(body.values)
            return SettingsDigest(dict(self._follower.revisions))
        assert isinstance(body, SettingsDigest)
        return SettingsValues(self._pick(self._find_newer(body.revisions)))

    async def run(self) -> None:
        """Follow and pass on until cancelled."""
        self._answered_at = read_clock()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._take_roles())
            group.create_task(self._start_from_peers())
            group.create_task(self._send_changes())
            group.create_task(self._repair())

    def watches(self) -> bool:
        """Whether this process should watch the store now."""
        if not self._follower.is_ready:
            return True
        if read_clock() - self._answered_at > ISOLATED_SECONDS:
            return True
        records = self._list_records()
        if not any(record.name == self._identity.name for record in records):
            # Watchers don't send changes to a process that isn't listed.
            return True
        return self._identity.name in choose_watchers(
            records, self._identity.failure_domain
        )

    async def _take_roles(self) -> None:
        while True:
            await self._wait_until_watching(True)
            async with asyncio.TaskGroup() as group:
                watch = group.create_task(self._follower.run())
                await self._wait_until_watching(False)
                watch.cancel()

    async def _wait_until_watching(self, wanted: bool) -> None:
        while True:
            if self.watches() is wanted:
                return
            await asyncio.sleep(ROLE_SECONDS)

    async def _start_from_peers(self) -> None:
        """Take the settings from several peers when the store is down at the start.

        The highest revision of each path counts. With one peer alone a process could
        revert to settings older than those it had before its restart.
        """
        needed = min(STARTING_PEERS, len(self._identity.seeds))
        answered: set[str] = set()
        await asyncio.sleep(STORE_WAIT_SECONDS)
        while needed and not self._follower.is_ready:
            for seed in self._identity.seeds:
                if await self._take_all(seed):
                    answered.add(seed)
            if len(answered) >= needed and self._follower.values:
                _log.warning("settings_taken_from_peers", peers=sorted(answered))
                self._follower.mark_ready()
                return
            await asyncio.sleep(ROLE_SECONDS)

    async def _repair(self) -> None:
        while True:
            pause = self._chance.uniform(REPAIR_LOW_SECONDS, REPAIR_HIGH_SECONDS)
            await asyncio.sleep(pause)
            others = self._list_others()
            if not others:
                # Without peers a missing answer is no sign of isolation.
                self._answered_at = read_clock()
                continue
            await self._take_newer(self._chance.choice(others).peer)

    async def _take_all(self, peer: str) -> bool:
        """Apply all that is newer at a peer; return whether it answered to the end."""
        while True:
            count = await self._take_newer(peer)
            if not count:
                return count is not None

    async def _take_newer(self, peer: str) -> int | None:
        """Apply what is newer at a peer.

        Returns:
            How many values it sent, 0 if none was applied; None when it did not answer.
        """
        digest = SettingsDigest(dict(self._follower.revisions))
        try:
            answer = await self._peers.ask(peer, digest, ASK_TIMEOUT_SECONDS)
        except Failure:
            return None
        if not isinstance(answer, SettingsValues):
            return None
        self._answered_at = read_clock()
        applied = self._follower.apply(answer.values)
        # Values that can't be read here would be sent again and again.
        return len(answer.values) if applied else 0

    async def _send_changes(self) -> None:
        await self._follower.wait_for_first()
        sent = dict(self._follower.revisions)
        while True:
            newer = self._find_newer(sent)
            if not newer:
                await self._follower.wait_for_change()
                continue
            sent = dict(self._follower.revisions)
            if self.watches():
                await self._send(self._pick(newer))

    async def _send(self, values: dict[str, bytes]) -> None:
        local_records = [
            record
            for record in self._list_others()
            if record.failure_domain == self._identity.failure_domain
        ]
        async with asyncio.TaskGroup() as group:
            for record in local_records:
                group.create_task(self._send_one(record.peer, SettingsValues(values)))

    async def _send_one(self, peer: str, values: SettingsValues) -> None:
        try:
            async with self._sending:
                await self._peers.ask(peer, values, ASK_TIMEOUT_SECONDS)
        except Failure as failure:
            # Not sent again: the peer requests missing values within seconds.
            _log.info("settings_not_passed_on", peer=peer, kind=failure.kind.value)

    def _list_others(self) -> list[ProcessRecord]:
        name = self._identity.name
        return [record for record in self._list_records() if record.name != name]

    def _find_newer(self, revisions: Mapping[str, int]) -> list[str]:
        return [
            path
            for path, revision in self._follower.revisions.items()
            if revision > revisions.get(path, 0)
        ]

    def _pick(self, paths: Sequence[str]) -> dict[str, bytes]:
        """Return the values of paths, as many as fit into one message.

        The smallest go first, so that a large fleet can't delay a team.
        """
        known = self._follower.values
        found = sorted((len(known[path]), path) for path in paths if path in known)
        picked: dict[str, bytes] = {}
        room = VALUES_LIMIT_BYTES
        for size, path in found:
            room -= size
            if picked and room < 0:
                break
            picked[path] = known[path]
        return picked


def make_relay(
    follower: SettingsFollower,
    peers: Peers,
    list_records: Callable[[], Sequence[ProcessRecord]],
    identity: RelayIdentity,
    chance: random.Random | None = None,
) -> Relay:
    """Return the relay of one process; run its `run` as a task.

    Args:
        follower: The settings in force in this process.
        peers: Connections to the other processes.
        list_records: Returns the live processes, this one included.
        identity: Its name, failure domain and seeds.
        chance: Chooses peers and pauses.
    """
    chance = chance or random.Random(identity.name)
    return Relay(follower, peers, list_records, identity, chance)

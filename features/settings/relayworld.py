"""Several relaying processes on one paused clock, and faults between them."""

import asyncio
import random
from dataclasses import replace

from features.settings.doubles import ACTOR, encode_text

from primrosestile.coordination.setting_store import put_setting
from primrosestile.coordination.settings_follower import SettingsFollower, make_follower
from primrosestile.coordination.settings_relay import Relay, RelayIdentity, make_relay
from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.messages import Body, Envelope
from primrosestile.state.jobs import ProcessRecord
from primrosestile.state.tenancy import Policy
from primrosestile_standin.store import MemoryStore

PATH = "policy"


class Process:
    """One relaying process, with a check that no revision decreases."""

    def __init__(
        self, world: "RelayWorld", number: int, seeds: tuple[str, ...]
    ) -> None:
        self.world = world
        self.name = f"process-{number}"
        self.domain = f"domain-{number % 3}"
        self.record = ProcessRecord(
            self.name, f"vm-{number}", "entry", self.domain, "", self.name
        )
        self.follower: SettingsFollower = make_follower(
            world.store, self.name, random.Random(number)
        )
        self.follower.add_handler(self.check)
        self.highest: dict[str, int] = {}
        identity = RelayIdentity(self.name, self.domain, seeds)
        self.relay: Relay = make_relay(
            self.follower, self, world.list_records, identity, random.Random(number)
        )
        self.cut = False
        self.task = asyncio.create_task(self.relay.run())

    def check(self, _: object) -> None:
        for path, revision in self.follower.revisions.items():
            if revision < self.highest.get(path, 0):
                self.world.reverted.append((self.name, path, revision))
            self.highest[path] = revision

    async def ask(self, peer: str, body: Body, timeout: float, epoch: int = 0) -> Body:
        """Implements `protocol.peers.Peers`."""
        try:
            async with asyncio.timeout(timeout):
                return await self.world.carry(self, peer, body)
        except TimeoutError:
            raise Failure(ErrorKind.NO_TARGET, "silent") from None

    async def end(self) -> None:
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


class RelayWorld:
    """The store, the processes, and the faults between them."""

    def __init__(self, seed: int = 1) -> None:
        self.store = MemoryStore()
        self.processes: dict[str, Process] = {}
        self.chance = random.Random(seed)
        self.lose_next = 0
        self.loss = 0.0
        self.repeat = 0.0
        self.delay = 0.01
        self.accepted = 0
        self.reverted: list[tuple[str, str, int]] = []
        self.late: set[asyncio.Task[Body]] = set()

    def list_records(self) -> list[ProcessRecord]:
        return [each.record for each in self.processes.values()]

    def start(self, number: int, seeds: tuple[str, ...] = ()) -> Process:
        process = Process(self, number, seeds)
        self.processes[process.name] = process
        return process

    async def carry(self, sender: Process, peer: str, body: Body) -> Body:
        target = self.processes.get(peer)
        silent = asyncio.Event()
        if target is None or target.cut or sender.cut or self.loses():
            await silent.wait()
        await asyncio.sleep(self.chance.uniform(0, self.delay))
        assert target is not None
        envelope = Envelope(sender.name, 0, 0, "", body)
        if self.chance.random() < self.repeat:
            self.repeat_later(target, envelope)
        answer = await target.relay.answer(envelope)
        if self.loses():
            await silent.wait()
        return answer

    def loses(self) -> bool:
        if self.lose_next:
            self.lose_next -= 1
            return True
        return self.chance.random() < self.loss

    def repeat_later(self, target: Process, envelope: Envelope) -> None:
        async def repeat() -> Body:
            await asyncio.sleep(self.chance.uniform(0, 20))
            return await target.relay.answer(envelope)

        task = asyncio.create_task(repeat())
        self.late.add(task)
        task.add_done_callback(self.late.discard)

    async def change(self) -> None:
        policy = encode_text(replace(Policy(), queue_limit=1 + self.accepted))
        await put_setting(self.store, PATH, policy, self.accepted, ACTOR)
        self.accepted += 1

    def list_lagging(self) -> list[str]:
        return [
            each.name
            for each in self.processes.values()
            if each.follower.revisions.get(PATH, 0) != self.accepted
        ]

    async def count_watchers(self) -> int:
        return sum(each.relay.watches() for each in self.processes.values())

    async def end(self) -> None:
        for process in list(self.processes.values()):
            await process.end()
        for task in list(self.late):
            await task

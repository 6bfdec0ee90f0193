"""The platform's list of machines and its waves of upkeep."""

import msgspec
import structlog

from primrosestile.coordination.work.keys import OWNER_KEY
from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.store import Entry
from primrosestile.protocol.transactions import (
    Condition,
    TransactionalStore,
    Write,
    list_entries,
)
from primrosestile.protocol.upkeep import UpkeepAnswer
from primrosestile.state.upkeep import VmState, Wave, WorkerVm
from primrosestile.transport.connections import Connections, FailureKinds, Reply

WAVES_PREFIX = "op/wave/"
STATUS_PREFIX = "status/wave/"
# The list may be slow for a while; an order that is given up is sent again.
TIMEOUT_SECONDS = 1.0
# One page holds the whole fleet of a few hundred; a list that never ends is a fault.
PAGES_LIMIT = 200

_KINDS = FailureKinds(ErrorKind.LIST_UNAVAILABLE, ErrorKind.LIST_UNAVAILABLE)
_REASONS = {"fence": UpkeepAnswer.FENCE, "wave": UpkeepAnswer.NOT_THERE}

_log = structlog.get_logger()


class _Machine(msgspec.Struct, frozen=True):
    """`machine` names the VM, `id` the life of the worker on it."""

    machine: str
    pool: str = ""
    state: str = "up"
    id: str | None = None


class _Machines(msgspec.Struct, frozen=True):
    machines: list[_Machine] = []
    next_token: str | None = None


class _Wave(msgspec.Struct, frozen=True):
    """`cap` bounds how many are away at one time."""

    wave: int
    machines: list[str] = []
    deadline_s: float = 60.0
    cap: int = 1


class _Refused(msgspec.Struct, frozen=True):
    reason: str = ""


class PlatformUpkeep:
    """Implements `protocol.upkeep.UpkeepCalls` for one process."""

    def __init__(
        self,
        address: str,
        process: str,
        store: TransactionalStore,
        connections: Connections,
    ) -> None:
        self._address = address
        self._process = process
        self._store = store
        self._connections = connections

    async def list_vms(self) -> tuple[WorkerVm, ...]:
        """Return the VMs of all workers."""
        vms: list[WorkerVm] = []
        token = ""
        for _ in range(PAGES_LIMIT):
            query = f"?page_token={token}" if token else ""
            reply = await self._call("GET", f"/v1/machines{query}", b"", {})
            if reply.status != 200:
                raise Failure(ErrorKind.LIST_UNAVAILABLE, f"answered {reply.status}")
            page = _decode(reply)
            vms += [_make_vm(each) for each in page.machines]
            token = page.next_token or ""
            if not token:
                return tuple(vms)
        raise Failure(ErrorKind.LIST_UNAVAILABLE, "the list does not end")

    async def list_waves(self) -> tuple[Wave, ...]:
        """Return the waves that operators have asked for."""
        entries, _ = await list_entries(self._store, WAVES_PREFIX)
        found = (_read_wave(entry) for entry in entries)
        return tuple(each for each in found if each is not None)

    async def begin(self, vm: str, wave: int, fence: int) -> UpkeepAnswer:
        """Begin one VM's upkeep; everything on it ends at once."""
        headers = {
            "Content-Type": "application/json",
            "Duty-Holder": self._process,
            "Fence-Token": str(fence),
        }
        body = msgspec.json.encode({"machine": vm, "wave": wave})
        reply = await self._call("POST", "/v1/machine-upkeep", body, headers)
        if reply.status == 200:
            return UpkeepAnswer.BEGUN
        if reply.status == 400:
            return UpkeepAnswer.NOT_THERE
        if reply.status == 409:
            reason = msgspec.json.decode(reply.body, type=_Refused).reason
            return _REASONS.get(reason, UpkeepAnswer.BUSY)
        if reply.status == 429:
            return UpkeepAnswer.NOT_TAKEN
        # Such an order may have been carried out.
        raise Failure(ErrorKind.LIST_UNAVAILABLE, f"answered {reply.status}")

    async def report(self, wave: int, completed: bool, fence: int) -> bool:
        """Tell operators how a wave stands; False when we are not the owner."""
        state = "completed" if completed else "running"
        value = msgspec.json.encode({"state": state})
        done = await self._store.commit(
            [Condition(OWNER_KEY, fence)], [Write(f"{STATUS_PREFIX}{wave}", value)]
        )
        return done.done

    async def _call(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> Reply:
        return await self._connections.call(
            self._address, path, body, TIMEOUT_SECONDS, _KINDS, headers, method=method
        )


def _decode(reply: Reply) -> _Machines:
    try:
        return msgspec.json.decode(reply.body, type=_Machines)
    except msgspec.MsgspecError as error:
        detail = f"unreadable answer: {error}"
        raise Failure(ErrorKind.LIST_UNAVAILABLE, detail) from error


def _make_vm(machine: _Machine) -> WorkerVm:
    try:
        state = VmState(machine.state)
    except ValueError:
        _log.warning("vm_state_unknown", vm=machine.machine, state=machine.state)
        state = VmState.DOWN
    return WorkerVm(machine.machine, machine.pool, state, machine.id or "")


def _read_wave(entry: Entry) -> Wave | None:
    try:
        wave = msgspec.json.decode(entry.value, type=_Wave)
    except msgspec.MsgspecError as error:
        _log.warning("wave_unreadable", key=entry.key, error=str(error))
        return None
    return Wave(wave.wave, tuple(wave.machines), wave.deadline_s, max(1, wave.cap))

"""Client of the platform's list of machines and of its maintenance waves."""

from typing import Annotated
from urllib.parse import quote

import msgspec

from primrosestile.coordination.work.keys import OWNER_KEY
from primrosestile.errors import ErrorKind, Failure
from primrosestile.platform.rejections import (
    Fault,
    RejectionLog,
    Source,
    Unreadable,
    decode_json,
)
from primrosestile.protocol.maintenance import MaintenanceAnswer
from primrosestile.protocol.store import Entry
from primrosestile.protocol.transactions import (
    Condition,
    TransactionalStore,
    Write,
    list_entries,
)
from primrosestile.state.maintenance import VmState, Wave, WorkerVm
from primrosestile.transport.connections import Connections, FailureKinds, Reply

WAVES_PREFIX = "op/wave/"
STATUS_PREFIX = "status/wave/"
# The list may be slow at times; an order that times out is sent again.
TIMEOUT_SECONDS = 1.0
# One page holds a fleet of a few hundred VMs; a list that never ends is a fault.
MAX_PAGES = 200

_KINDS = FailureKinds(ErrorKind.LIST_UNAVAILABLE, ErrorKind.LIST_UNAVAILABLE)
_REASONS = {
    "fence": MaintenanceAnswer.FENCE,
    "busy": MaintenanceAnswer.BUSY,
    "wave": MaintenanceAnswer.NOT_IN_WAVE,
}
_STATES = {each.value: each for each in VmState}
# A day. A wave of a whole fleet takes minutes.
MAX_DEADLINE_SECONDS = 86_400.0

_Text = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class _Machine(msgspec.Struct, frozen=True):
    """`machine` names the VM, `id` the incarnation of the worker on it."""

    machine: _Text
    pool: str
    state: str
    id: str | None = None


class _Named(msgspec.Struct, frozen=True):
    """The part of a VM's row that must be readable."""

    machine: _Text


class _Machines(msgspec.Struct, frozen=True):
    """VMs are decoded one by one."""

    machines: list[msgspec.Raw]
    next_token: str | None = None


class _Wave(msgspec.Struct, frozen=True):
    """`cap`: the most VMs that may be unavailable at one time."""

    wave: Annotated[int, msgspec.Meta(ge=0, le=2**62)]
    machines: list[_Text]
    deadline_s: Annotated[float, msgspec.Meta(gt=0, le=MAX_DEADLINE_SECONDS)]
    cap: Annotated[int, msgspec.Meta(ge=1)]


class _Refused(msgspec.Struct, frozen=True):
    reason: str


class PlatformMaintenance:
    """Implements `protocol.maintenance.MaintenanceCalls` for one process."""

    def __init__(
        self,
        address: str,
        process: str,
        store: TransactionalStore,
        connections: Connections,
        rejections: RejectionLog | None = None,
    ) -> None:
        self._address = address
        self._process = process
        self._store = store
        self._connections = connections
        self._rejections = rejections or RejectionLog()

    async def list_vms(self) -> tuple[WorkerVm, ...]:
        """Return the VMs of all workers."""
        vms: list[WorkerVm] = []
        rejected: dict[str, Unreadable] = {}
        token = ""
        for _ in range(MAX_PAGES):
            query = f"?page_token={quote(token, safe='')}" if token else ""
            reply = await self._call("GET", f"/v1/machines{query}", b"", {})
            if reply.status != 200:
                raise Failure(ErrorKind.LIST_UNAVAILABLE, f"answered {reply.status}")
            page = self._read_page(reply)
            vms += [self._read_vm(each, rejected) for each in page.machines]
            token = page.next_token or ""
            if not token:
                self._rejections.replace(Source.VM, "", rejected)
                return tuple(vms)
        raise Failure(ErrorKind.LIST_UNAVAILABLE, "the list does not end")

    async def list_waves(self) -> tuple[Wave, ...]:
        """Return the waves that operators have ordered."""
        entries, _ = await list_entries(self._store, WAVES_PREFIX, whole=False)
        waves = []
        rejected: dict[str, Unreadable] = {}
        for entry in entries:
            try:
                waves.append(_read_wave(entry))
            except Unreadable as rejection:
                rejected[entry.key] = rejection
        self._rejections.replace(Source.WAVE, "", rejected)
        return tuple(waves)

    async def begin(self, vm: str, wave: int, fence: int) -> MaintenanceAnswer:
        """Begin one VM's maintenance; everything that runs on it ends at once."""
        headers = {
            "Content-Type": "application/json",
            "Duty-Holder": self._process,
            "Fence-Token": str(fence),
        }
        body = msgspec.json.encode({"machine": vm, "wave": wave})
        reply = await self._call("POST", "/v1/machine-upkeep", body, headers)
        if reply.status == 200:
            return MaintenanceAnswer.BEGUN
        if reply.status == 400:
            return MaintenanceAnswer.NOT_IN_WAVE
        if reply.status == 409:
            return self._read_reason(reply)
        if reply.status == 429:
            return MaintenanceAnswer.THROTTLED
        # The order may have taken effect.
        raise Failure(ErrorKind.LIST_UNAVAILABLE, f"answered {reply.status}")

    async def report(self, wave: int, completed: bool, fence: int) -> bool:
        """Publish a wave's status to operators; False when we are not the owner."""
        state = "completed" if completed else "running"
        value = msgspec.json.encode({"state": state})
        done = await self._store.commit(
            [Condition(OWNER_KEY, fence)], [Write(f"{STATUS_PREFIX}{wave}", value)]
        )
        return done.done

    def _read_reason(self, reply: Reply) -> MaintenanceAnswer:
        """Return why an order was refused; raise if the reason can't be read.

        If an unknown reason counted as "busy", maintenance that has begun would be
        removed from the wave's record, and more VMs than allowed would be unavailable.
        """
        try:
            reason = decode_json(reply.body, _Refused).reason
            if reason not in _REASONS:
                raise Unreadable(Fault.STATE, "reason", reason)
        except Unreadable as rejection:
            raise self._reject("refusal", rejection) from rejection
        return _REASONS[reason]

    def _read_page(self, reply: Reply) -> _Machines:
        try:
            page: _Machines = decode_json(reply.body, _Machines)
        except Unreadable as rejection:
            raise self._reject("page", rejection) from rejection
        return page

    def _read_vm(self, raw: msgspec.Raw, rejected: dict[str, Unreadable]) -> WorkerVm:
        """Decode a VM; one of which only the name can be read is listed as down.

        A VM that is not listed counts as removed, with its maintenance over: a wave
        would be reported as completed while that VM still waits, and more than allowed
        would be unavailable. So no row is left out, and one without a name fails the
        whole list.
        """
        try:
            return _make_vm(decode_json(raw, _Machine))
        except Unreadable as rejection:
            found = rejection
        try:
            name = decode_json(raw, _Named).machine
        except Unreadable as rejection:
            raise self._reject("row", rejection) from rejection
        rejected[name] = found
        return WorkerVm(name, "", VmState.DOWN, "")

    def _reject(self, name: str, rejection: Unreadable) -> Failure:
        self._rejections.replace(Source.VM, "", {name: rejection})
        detail = f"unreadable answer: {rejection}"
        return Failure(ErrorKind.LIST_UNAVAILABLE, detail)

    async def _call(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> Reply:
        return await self._connections.call(
            self._address, path, body, TIMEOUT_SECONDS, _KINDS, headers, method=method
        )


def _make_vm(machine: _Machine) -> WorkerVm:
    state = _STATES.get(machine.state)
    if state is None:
        raise Unreadable(Fault.STATE, "state", machine.state)
    return WorkerVm(machine.machine, machine.pool, state, machine.id or "")


def _read_wave(entry: Entry) -> Wave:
    wave: _Wave = decode_json(entry.value, _Wave)
    if entry.key != f"{WAVES_PREFIX}{wave.wave}":
        raise Unreadable(Fault.KEY, "wave", wave.wave)
    return Wave(wave.wave, tuple(wave.machines), wave.deadline_s, wave.cap)

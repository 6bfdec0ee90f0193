"""Carries out the waves of upkeep that operators ask for.

An order ends everything on its VM, so it is recorded first: the next owner then knows
which VMs were ordered, and counts them as away until the platform shows them back. An
order that was not answered may have been carried out; it is given again, which is
harmless, since the platform says of what is over that it has begun.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import structlog

from primrosestile.clock import read_clock, read_wall_clock
from primrosestile.coordination.work.election import Term
from primrosestile.coordination.work.keys import OWNER_KEY, make_wave_key
from primrosestile.decisions.work.board import Board
from primrosestile.decisions.work.units import Proof
from primrosestile.decisions.work.upkeep import plan_upkeep
from primrosestile.errors import Failure
from primrosestile.protocol.store import Entry
from primrosestile.protocol.transactions import Condition, TransactionalStore, Write
from primrosestile.protocol.upkeep import UpkeepAnswer, UpkeepCalls
from primrosestile.state.upkeep import VmState, Wave, WaveRecord, WorkerVm
from primrosestile.state.work import encode_record

# How often operators' wishes are read while there is none, and while one is open.
IDLE_SECONDS = 2.0
BUSY_SECONDS = 0.5
# Two owners must not order for one VM within 3 s; the one before may have ordered
# until our term began.
TURN_SECONDS = 3.3

# An upkeep takes 2 s and the worker 1.5 s more; a list may be a second old.
RETURN_SECONDS = 5.0

_log = structlog.get_logger()


class _RecordUnreadable(Exception):
    """What stands for a wave can't be read.

    Attributes:
        revision: At which it stands.
    """

    def __init__(self, revision: int) -> None:
        super().__init__(f"at revision {revision}")
        self.revision = revision


def _decode_record(entry: Entry) -> WaveRecord:
    try:
        return msgspec.msgpack.decode(entry.value, type=WaveRecord)
    except msgspec.MsgspecError as error:
        raise _RecordUnreadable(entry.mod_revision) from error


@dataclass(frozen=True, slots=True)
class _Ordered:
    """The life on a VM when its upkeep was ordered, and when that was answered."""

    worker: str
    answered_at: float


class UpkeepDuty:
    """Follows waves for as long as a term lasts."""

    def __init__(
        self,
        calls: UpkeepCalls,
        store: TransactionalStore,
        term: Term,
        board: Board,
        wake: Callable[[], None],
    ) -> None:
        self._calls = calls
        self._store = store
        self._term = term
        self._board = board
        self._wake = wake
        self._began = read_clock()
        self._records: dict[int, tuple[WaveRecord, int]] = {}
        self._completed: set[int] = set()
        self._ordered: dict[str, _Ordered] = {}
        self._unreadable: dict[int, int] = {}

    async def run(self) -> None:
        """Follow operators' wishes until the term is lost."""
        while not self._term.lost.is_set():
            open_waves = 0
            try:
                open_waves = await self._follow()
            except Failure as failure:
                _log.warning("upkeep_delayed", reason=str(failure))
            await asyncio.sleep(BUSY_SECONDS if open_waves else IDLE_SECONDS)

    async def _follow(self) -> int:
        """Take each open wave a step further; return how many there are."""
        waves = [
            wave
            for wave in await self._calls.list_waves()
            if wave.number not in self._completed
        ]
        if not waves:
            self._set_closed(frozenset())
            return 0
        vms = {vm.name: vm for vm in await self._calls.list_vms()}
        closed: set[str] = set()
        for wave in waves:
            try:
                await self._load(wave)
                closed |= await self._advance(wave, vms)
            except _RecordUnreadable as unreadable:
                self._note_unreadable(wave, unreadable.revision)
        self._set_closed(frozenset(closed))
        return len(waves)

    def _set_closed(self, closed: frozenset[str]) -> None:
        for worker in self._board.workers.values():
            worker.closed = worker.name in closed

    async def _load(self, wave: Wave) -> None:
        """Read how far an earlier owner brought a wave."""
        if wave.number in self._records:
            return
        entry = await self._store.get(make_wave_key(wave.number))
        if entry is not None:
            record = _decode_record(entry)
            self._records[wave.number] = (record, entry.mod_revision)
            return
        self._records[wave.number] = (WaveRecord(read_wall_clock()), 0)
        await self._calls.report(wave.number, False, self._term.fence)
        _log.info("wave_taken", wave=wave.number, vms=len(wave.vms), most=wave.most)

    def _note_unreadable(self, wave: Wave, revision: int) -> None:
        """Leave a wave alone whose record can't be read.

        Which of its VMs are away can't be known, so any order might take one too many.
        Other waves go on: raised further, the fault would end the owner's term, and
        that of each owner after it.
        """
        if self._unreadable.get(wave.number) != revision:
            self._unreadable[wave.number] = revision
            _log.error("wave_record_unreadable", wave=wave.number, revision=revision)

    async def _advance(self, wave: Wave, vms: dict[str, WorkerVm]) -> frozenset[str]:
        """Order what may begin; return the workers that are to be emptied."""
        await self._note_over(wave, vms)
        record, _ = self._records[wave.number]
        stays = [name for name in wave.vms if name in vms]
        if all(name in record.over for name in stays):
            await self._complete(wave)
            return frozenset()
        if read_clock() - self._began < TURN_SECONDS:
            return frozenset()
        await self._order_again(wave, record, vms)
        plan = plan_upkeep(
            self._board,
            wave,
            vms,
            record.begun,
            len(set(record.begun) - set(record.over)),
            record.first_seen + wave.deadline_seconds - read_wall_clock(),
            read_clock(),
        )
        for unit in plan.save:
            self._board.abandon(unit)
        if plan.save:
            self._wake()
        for vm in plan.begin:
            await self._begin(wave, vm)
        return plan.empty

    async def _note_over(self, wave: Wave, vms: dict[str, WorkerVm]) -> None:
        """Note the VMs that are back, by another life on them, or gone."""
        record, _ = self._records[wave.number]
        over = set(record.over)
        for name in record.begun:
            vm = vms.get(name)
            if vm is None or self._is_back(vm):
                over.add(name)
        if over != set(record.over):
            await self._write(wave, record.begun, tuple(sorted(over)))

    def _is_back(self, vm: WorkerVm) -> bool:
        """Whether a VM has its upkeep behind it.

        It has another life of its worker, or was still shown as up long after the
        answer: then its upkeep was over before this owner gave the order again.
        """
        ordered = self._ordered.get(vm.name)
        if ordered is None or vm.state is not VmState.UP or not vm.worker:
            return False
        waited = read_clock() - ordered.answered_at
        return vm.worker != ordered.worker or waited > RETURN_SECONDS

    async def _order_again(
        self, wave: Wave, record: WaveRecord, vms: dict[str, WorkerVm]
    ) -> None:
        """Give an earlier owner's orders again: they may not have been carried out."""
        for name in set(record.begun) - set(record.over):
            vm = vms.get(name)
            if name in self._ordered or vm is None or vm.state is not VmState.UP:
                continue
            await self._send(wave, vm, first=False)

    async def _begin(self, wave: Wave, vm: WorkerVm) -> None:
        record, _ = self._records[wave.number]
        begun = (*record.begun, vm.name)
        if await self._write(wave, begun, record.over):
            await self._send(wave, vm, first=True)

    async def _send(self, wave: Wave, vm: WorkerVm, first: bool) -> None:
        """Order one VM's upkeep.

        Only after a first order's answer is everything on the VM known to be gone:
        the answer to a repeated one may mean that it is back and at work again.
        """
        if not self._term.may_act():
            return
        answer = await self._calls.begin(vm.name, wave.number, self._term.fence)
        _log.info(
            "upkeep_ordered", wave=wave.number, vm=vm.name, answer=answer.name.lower()
        )
        record, _ = self._records[wave.number]
        if answer is UpkeepAnswer.FENCE:
            self._term.lost.set()
        elif answer is UpkeepAnswer.BEGUN:
            self._ordered[vm.name] = _Ordered(vm.worker, read_clock())
            if first:
                self._board.drop_worker(vm.worker, Proof.VM_ORDERED)
            self._wake()
        elif answer is UpkeepAnswer.NOT_THERE:
            await self._write(wave, record.begun, (*record.over, vm.name))
        else:
            # It is up but leaves, or is just coming back: chosen again later.
            begun = tuple(name for name in record.begun if name != vm.name)
            await self._write(wave, begun, record.over)

    async def _write(
        self, wave: Wave, begun: tuple[str, ...], over: tuple[str, ...]
    ) -> bool:
        record, revision = self._records[wave.number]
        changed = WaveRecord(record.first_seen, begun, over)
        key = make_wave_key(wave.number)
        done = await self._store.commit(
            [Condition(OWNER_KEY, self._term.fence), Condition(key, revision)],
            [Write(key, encode_record(changed))],
        )
        if not done.done:
            # Ours after a lost answer, or another owner's: read anew either way.
            self._records.pop(wave.number, None)
            await self._load(wave)
            return False
        self._records[wave.number] = (changed, done.revision)
        return True

    async def _complete(self, wave: Wave) -> None:
        if await self._calls.report(wave.number, True, self._term.fence):
            self._completed.add(wave.number)
            _log.info("wave_completed", wave=wave.number)

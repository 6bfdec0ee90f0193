"""Carries out the maintenance waves that operators request.

An order ends everything on its VM, so it is recorded first: the next owner then knows
which VMs were ordered, and counts them as away until the platform shows them as back.
An unanswered order may have been carried out. It is sent again, which is harmless: the
platform answers for finished maintenance that it has begun.

Only answers change the known state of a VM. A refusal applies to one order only: if an
earlier order was unanswered, or was an earlier owner's, the VM stays recorded as
ordered and counts as away until an order is answered as begun. What runs there by then
may be an incarnation that started after the maintenance.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from primrosestile.clock import read_clock
from primrosestile.coordination.work.term import Term
from primrosestile.coordination.work.vm_list import VmList
from primrosestile.coordination.work.wave_records import RecordUnreadable, WaveRecords
from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.decisions.work.maintenance import may_go, plan_maintenance
from primrosestile.decisions.work.proofs import Proof
from primrosestile.errors import Failure
from primrosestile.protocol.maintenance import MaintenanceAnswer, MaintenanceCalls
from primrosestile.protocol.transactions import TransactionalStore
from primrosestile.state.maintenance import VmState, Wave, WaveRecord, WorkerVm

# The interval of polling waves while none is open, and while one is.
IDLE_SECONDS = 2.0
BUSY_SECONDS = 0.5
# Two owners must not give orders for one VM within 3 s; the previous owner may have
# given some until our term began.
HANDOVER_SECONDS = 3.3
# Maintenance takes 2 s and the worker's start 1.5 s more; a list may be a second old.
VM_RETURN_SECONDS = 5.0
LIST_AGE_SECONDS = 1.0

_log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class _Ordered:
    """The incarnation on a VM when maintenance was ordered, and the answer's time."""

    worker: str
    answered_at: float


class MaintenanceRunner:
    """Carries out waves during one term."""

    def __init__(
        self,
        calls: MaintenanceCalls,
        store: TransactionalStore,
        term: Term,
        fleet_state: FleetState,
        wake: Callable[[], None],
    ) -> None:
        self._calls = calls
        self._term = term
        self._fleet_state = fleet_state
        self._wake = wake
        self._began = read_clock()
        self._records = WaveRecords(store, term)
        self._unreadable: dict[int, int] = {}
        self._completed: dict[int, Wave] = {}
        # Both by wave and VM, since the waves are independent: the orders that were
        # answered as begun, and the VMs for which each order so far was ours and was
        # refused.
        self._ordered: dict[tuple[int, str], _Ordered] = {}
        self._not_begun: set[tuple[int, str]] = set()
        self._vms = VmList(calls)

    async def run(self) -> None:
        """Carry out operators' waves until the term is lost."""
        while not self._term.lost.is_set():
            open_waves = 0
            try:
                open_waves = await self._follow()
            except Failure as failure:
                _log.warning("upkeep_delayed", reason=str(failure))
            await asyncio.sleep(BUSY_SECONDS if open_waves else IDLE_SECONDS)

    async def _follow(self) -> int:
        """Advance each open wave; return how many there are."""
        waves = [
            wave
            for wave in await self._calls.list_waves()
            if self._completed.get(wave.number) != wave
        ]
        if not waves:
            self._vms.clear_missing()
            self._set_closed(frozenset())
            return 0
        vms = await self._vms.read({name for wave in waves for name in wave.vms})
        closed: set[str] = set()
        for wave in waves:
            try:
                await self._load(wave)
                await self._reopen(wave)
                closed |= await self._advance(wave, vms)
            except RecordUnreadable as unreadable:
                self._note_unreadable(wave, unreadable.revision)
        self._set_closed(frozenset(closed))
        return len(waves)

    def _is_gone(self, wave: Wave, name: str) -> bool:
        """Whether a VM whose maintenance has begun will not come back.

        A single list without the VM does not count: one VM more than allowed would be
        ordered in addition to it. Nothing is recorded either: if the VM appears in the
        list again, the wave waits for it again.
        """
        ordered = self._ordered.get((wave.number, name))
        if ordered is None:
            return False
        return self._vms.is_missing_since(name, ordered.answered_at)

    def _set_closed(self, closed: frozenset[str]) -> None:
        for worker in self._fleet_state.workers.values():
            worker.closed = worker.name in closed

    async def _load(self, wave: Wave) -> None:
        """Load a wave's record; report to operators a wave that begins."""
        if not await self._records.load(wave):
            return
        await self._calls.report(wave.number, False, self._term.fence)
        _log.info("wave_taken", wave=wave.number, vms=len(wave.vms), most=wave.most)

    def _note_unreadable(self, wave: Wave, revision: int) -> None:
        """Log a wave whose record can't be read; it is not advanced.

        It is unknown which of its VMs are away, so any order might take one too many.
        Other waves go on: if the error propagated, it would end this owner's term, and
        that of each owner after it.
        """
        if self._unreadable.get(wave.number) != revision:
            self._unreadable[wave.number] = revision
            _log.error("wave_record_unreadable", wave=wave.number, revision=revision)

    async def _reopen(self, wave: Wave) -> None:
        """Report that a completed wave goes on, if operators have changed it.

        Only the earlier version of the wave was completed. If completion went by the
        number alone, it would stay reported as completed, and an added VM would never
        be ordered.
        """
        if wave.number not in self._completed:
            return
        if await self._calls.report(wave.number, False, self._term.fence):
            del self._completed[wave.number]
            _log.info("wave_changed", wave=wave.number, vms=len(wave.vms))

    async def _advance(self, wave: Wave, vms: dict[str, WorkerVm]) -> frozenset[str]:
        """Order the VMs that may begin; return the workers to be drained."""
        await self._records.settle(wave)
        await self._record_over(wave, vms)
        record = self._records.find(wave)
        stays = [name for name in wave.vms if not self._is_gone(wave, name)]
        if all(name in record.over for name in stays):
            await self._complete(wave)
            return frozenset()
        if read_clock() - self._began < HANDOVER_SECONDS:
            return frozenset()
        await self._repeat_orders(wave, record, vms)
        away = set(record.begun) - set(record.over)
        plan = plan_maintenance(
            self._fleet_state,
            wave,
            vms,
            record.begun,
            sum(not self._is_gone(wave, name) for name in away),
            wave.deadline_seconds - self._records.find_waited(wave),
            read_clock(),
            self._list_leaving(answered=False),
        )
        for unit in plan.save:
            self._fleet_state.abandon(unit)
        if plan.save:
            self._wake()
        for vm in plan.begin:
            await self._begin(wave, vm)
        return plan.drain

    async def _record_over(self, wave: Wave, vms: dict[str, WorkerVm]) -> None:
        """Record the VMs that are back."""
        record = self._records.find(wave)
        over = set(record.over)
        for name in record.begun:
            vm = None if self._vms.is_missing(name) else vms.get(name)
            if vm is not None and self._is_back(wave, vm):
                over.add(name)
        if over != set(record.over):
            await self._records.write(wave, record.begun, tuple(sorted(over)))

    def _is_back(self, wave: Wave, vm: WorkerVm) -> bool:
        """Whether a VM's maintenance in a wave is over.

        The list must be newer than the answer that maintenance has begun. An older one
        may show an incarnation that replaced the listed one just before the
        maintenance; if that counted as the one after it, the VM would not count as
        away, and one more than allowed would be ordered. A VM that shows the same
        incarnation all along was back before this owner repeated the order.
        """
        ordered = self._ordered.get((wave.number, vm.name))
        if ordered is None or vm.state is not VmState.UP or not vm.worker:
            return False
        waited = self._vms.asked_at - ordered.answered_at
        if vm.worker != ordered.worker:
            return waited > LIST_AGE_SECONDS
        return waited > VM_RETURN_SECONDS

    async def _repeat_orders(
        self, wave: Wave, record: WaveRecord, vms: dict[str, WorkerVm]
    ) -> None:
        """Repeat unanswered orders, which may not have been carried out.

        In that case the runs there end only now, so the limits of their services are
        checked once more. Other VMs with unanswered orders don't count there: two would
        wait for each other.
        """
        for name in set(record.begun) - set(record.over):
            vm = vms.get(name)
            begun = (wave.number, name) in self._ordered
            if begun or vm is None or vm.state is not VmState.UP:
                continue
            if may_go(self._fleet_state, vm, self._list_leaving(answered=True)):
                await self._send(wave, vm)

    def _list_leaving(self, answered: bool) -> frozenset[str]:
        """Return the workers on VMs that are away, or may be after an order.

        Args:
            answered: Only those whose maintenance has certainly begun.
        """
        found = set()
        for number, record in self._records:
            for name in set(record.begun) - set(record.over):
                ordered = self._ordered.get((number, name))
                if ordered is not None:
                    found.add(ordered.worker)
                elif not answered:
                    found.add(self._vms.find_worker(name))
        return frozenset(found)

    async def _begin(self, wave: Wave, vm: WorkerVm) -> None:
        record = self._records.find(wave)
        begun = (*record.begun, vm.name)
        if await self._records.write(wave, begun, record.over):
            self._not_begun.add((wave.number, vm.name))
            await self._send(wave, vm)

    async def _send(self, wave: Wave, vm: WorkerVm) -> None:
        """Order the maintenance of one VM.

        An unanswered order may have been carried out, and the VM may be back and at
        work when a repeated one is answered. If the repeated one counted as the first,
        a working incarnation would count as ended and its tasks would run twice;
        `run_gone` would show "VM ordered" for a worker that started after the
        maintenance. So an answer "begun" ends an incarnation, and a refusal withdraws
        the record of an order, only if all earlier orders were answered by refusals
        that this owner received.
        """
        if not self._term.may_act():
            return
        key = (wave.number, vm.name)
        known_first = key in self._not_begun
        self._not_begun.discard(key)
        try:
            answer = await self._calls.begin(vm.name, wave.number, self._term.fence)
        except Failure as failure:
            # Repeated in the next round. If the failure propagated, an order that is
            # never answered would block all other VMs and waves.
            _log.warning(
                "upkeep_unanswered",
                wave=wave.number,
                vm=vm.name,
                reason=str(failure),
            )
            return
        _log.info(
            "upkeep_ordered",
            wave=wave.number,
            vm=vm.name,
            answer=answer.name.lower(),
            first=known_first,
        )
        if answer is MaintenanceAnswer.FENCE:
            self._term.lost.set()
        elif answer is MaintenanceAnswer.BEGUN:
            self._ordered[key] = _Ordered(vm.worker, read_clock())
            if known_first:
                for worker in self._fleet_state.list_incarnations(vm.worker):
                    self._fleet_state.drop_worker(worker.name, Proof.VM_ORDERED)
            self._wake()
        elif answer is MaintenanceAnswer.NOT_IN_WAVE:
            record = self._records.find(wave)
            await self._records.write(wave, record.begun, (*record.over, vm.name))
        elif known_first:
            self._not_begun.add(key)
            if answer is MaintenanceAnswer.BUSY:
                await self._withdraw_order(wave, vm)

    async def _withdraw_order(self, wave: Wave, vm: WorkerVm) -> None:
        """Withdraw the record of an order, so that the VM can be chosen again later.

        Only for maintenance that certainly has not begun. Otherwise the VM would no
        longer count as away, and one more than allowed would be ordered.
        """
        record = self._records.find(wave)
        begun = tuple(name for name in record.begun if name != vm.name)
        await self._records.write(wave, begun, record.over)

    async def _complete(self, wave: Wave) -> None:
        if await self._calls.report(wave.number, True, self._term.fence):
            self._completed[wave.number] = wave
            _log.info("wave_completed", wave=wave.number)

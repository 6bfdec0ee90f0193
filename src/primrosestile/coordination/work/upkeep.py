"""Carries out the waves of upkeep that operators ask for.

An order ends everything on its VM, so it is recorded first: the next owner then knows
which VMs were ordered, and counts them as away until the platform shows them back. An
order that was not answered may have been carried out; it is given again, which is
harmless, since the platform says of what is over that it has begun.

Only an answer changes what is believed of a VM, and only as far as it goes. A refusal
speaks of one order. Where an earlier one went unanswered, or was an earlier owner's,
the VM stays recorded as ordered, and so counts as away, until an order is answered
with its beginning; what runs there by then may be a life that came after the upkeep.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from primrosestile.clock import read_clock
from primrosestile.coordination.work.term import Term
from primrosestile.coordination.work.vmlist import VmList
from primrosestile.coordination.work.waverecords import RecordUnreadable, WaveRecords
from primrosestile.decisions.work.board import Board
from primrosestile.decisions.work.units import Proof
from primrosestile.decisions.work.upkeep import may_go, plan_upkeep
from primrosestile.errors import Failure
from primrosestile.protocol.transactions import TransactionalStore
from primrosestile.protocol.upkeep import UpkeepAnswer, UpkeepCalls
from primrosestile.state.upkeep import VmState, Wave, WaveRecord, WorkerVm

# How often operators' wishes are read while there is none, and while one is open.
IDLE_SECONDS = 2.0
BUSY_SECONDS = 0.5
# Two owners must not order for one VM within 3 s; the one before may have ordered
# until our term began.
TURN_SECONDS = 3.3
# An upkeep takes 2 s and the worker 1.5 s more; a list may be a second old.
RETURN_SECONDS = 5.0
LIST_AGE_SECONDS = 1.0

_log = structlog.get_logger()


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
        self._term = term
        self._board = board
        self._wake = wake
        self._began = read_clock()
        self._records = WaveRecords(store, term)
        self._unreadable: dict[int, int] = {}
        self._completed: dict[int, Wave] = {}
        # Both by wave and VM, since one wave's upkeep says nothing of another's: the
        # orders that were answered with a beginning, and where each order so far was
        # ours and was refused.
        self._ordered: dict[tuple[int, str], _Ordered] = {}
        self._not_begun: set[tuple[int, str]] = set()
        self._vms = VmList(calls)

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
            if self._completed.get(wave.number) != wave
        ]
        if not waves:
            self._vms.forget_missing()
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
        """Whether a VM whose upkeep has begun does not come back.

        Were one list that lacks it believed, one more than allowed would be ordered
        beside it. So nothing of it is written down either: a VM that is back in the
        list is waited for again.
        """
        ordered = self._ordered.get((wave.number, name))
        if ordered is None:
            return False
        return self._vms.is_missing_since(name, ordered.answered_at)

    def _set_closed(self, closed: frozenset[str]) -> None:
        for worker in self._board.workers.values():
            worker.closed = worker.name in closed

    async def _load(self, wave: Wave) -> None:
        """Know how far a wave got; tell operators of one that is taken up."""
        if not await self._records.load(wave):
            return
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

    async def _reopen(self, wave: Wave) -> None:
        """Tell operators that a wave goes on which they changed once it was completed.

        What was completed is the wave as it was. One that is known by its number only
        would go on being told as completed, and a VM added to it never be ordered.
        """
        if wave.number not in self._completed:
            return
        if await self._calls.report(wave.number, False, self._term.fence):
            del self._completed[wave.number]
            _log.info("wave_changed", wave=wave.number, vms=len(wave.vms))

    async def _advance(self, wave: Wave, vms: dict[str, WorkerVm]) -> frozenset[str]:
        """Order what may begin; return the workers that are to be emptied."""
        await self._records.settle(wave)
        await self._note_over(wave, vms)
        record = self._records.find(wave)
        stays = [name for name in wave.vms if not self._is_gone(wave, name)]
        if all(name in record.over for name in stays):
            await self._complete(wave)
            return frozenset()
        if read_clock() - self._began < TURN_SECONDS:
            return frozenset()
        await self._order_again(wave, record, vms)
        away = set(record.begun) - set(record.over)
        plan = plan_upkeep(
            self._board,
            wave,
            vms,
            record.begun,
            sum(not self._is_gone(wave, name) for name in away),
            wave.deadline_seconds - self._records.find_waited(wave),
            read_clock(),
            self._list_leaving(answered=False),
        )
        for unit in plan.save:
            self._board.abandon(unit)
        if plan.save:
            self._wake()
        for vm in plan.begin:
            await self._begin(wave, vm)
        return plan.empty

    async def _note_over(self, wave: Wave, vms: dict[str, WorkerVm]) -> None:
        """Note the VMs that are back."""
        record = self._records.find(wave)
        over = set(record.over)
        for name in record.begun:
            vm = None if self._vms.is_missing(name) else vms.get(name)
            if vm is not None and self._is_back(wave, vm):
                over.add(name)
        if over != set(record.over):
            await self._records.write(wave, record.begun, tuple(sorted(over)))

    def _is_back(self, wave: Wave, vm: WorkerVm) -> bool:
        """Whether a VM has a wave's upkeep behind it.

        Its list is newer than the answer that the upkeep has begun. An older one may
        show a life that followed the listed one just before; taken for the one that
        follows the upkeep, the VM would not count as away, and one more than allowed
        would be ordered. A VM that shows the same life all along was back before this
        owner gave the order again.
        """
        ordered = self._ordered.get((wave.number, vm.name))
        if ordered is None or vm.state is not VmState.UP or not vm.worker:
            return False
        waited = self._vms.asked_at - ordered.answered_at
        if vm.worker != ordered.worker:
            return waited > LIST_AGE_SECONDS
        return waited > RETURN_SECONDS

    async def _order_again(
        self, wave: Wave, record: WaveRecord, vms: dict[str, WorkerVm]
    ) -> None:
        """Give unanswered orders again: they may not have been carried out.

        Then what runs there goes only now, so its services are asked once more. Those
        of others that are unanswered don't count: two would wait for each other.
        """
        for name in set(record.begun) - set(record.over):
            vm = vms.get(name)
            begun = (wave.number, name) in self._ordered
            if begun or vm is None or vm.state is not VmState.UP:
                continue
            if may_go(self._board, vm, self._list_leaving(answered=True)):
                await self._send(wave, vm)

    def _list_leaving(self, answered: bool) -> frozenset[str]:
        """Return the workers on VMs that are away, or may be by an order of ours.

        Args:
            answered: Only those whose upkeep has begun for certain.
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
        """Order one VM's upkeep.

        An order that goes unanswered may have been carried out, and the VM may be back
        and at work by the time that another is answered. Were that one taken as the
        first, a life at work would count as ended and its tasks would run twice;
        `run_gone` would give "VM ordered" of a worker that came after the upkeep. So a
        beginning ends a life, and a refusal takes the record of an order back, only
        where the answers to all orders before it were refusals that we heard.
        """
        if not self._term.may_act():
            return
        key = (wave.number, vm.name)
        surely_first = key in self._not_begun
        self._not_begun.discard(key)
        try:
            answer = await self._calls.begin(vm.name, wave.number, self._term.fence)
        except Failure as failure:
            # Given again in the next round. Raised further, an order that is never
            # answered would keep all other VMs and waves waiting.
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
            first=surely_first,
        )
        if answer is UpkeepAnswer.FENCE:
            self._term.lost.set()
        elif answer is UpkeepAnswer.BEGUN:
            self._ordered[key] = _Ordered(vm.worker, read_clock())
            if surely_first:
                self._board.drop_worker(vm.worker, Proof.VM_ORDERED)
            self._wake()
        elif answer is UpkeepAnswer.NOT_THERE:
            record = self._records.find(wave)
            await self._records.write(wave, record.begun, (*record.over, vm.name))
        elif surely_first:
            self._not_begun.add(key)
            if answer is UpkeepAnswer.BUSY:
                await self._strike_off(wave, vm)

    async def _strike_off(self, wave: Wave, vm: WorkerVm) -> None:
        """Take back the record of an order: the VM leaves, and is chosen again later.

        Only for one that surely has not begun. Another one that were struck off would
        no longer count as away, and one more than allowed would be ordered.
        """
        record = self._records.find(wave)
        begun = tuple(name for name in record.begun if name != vm.name)
        await self._records.write(wave, begun, record.over)

    async def _complete(self, wave: Wave) -> None:
        if await self._calls.report(wave.number, True, self._term.fence):
            self._completed[wave.number] = wave
            _log.info("wave_completed", wave=wave.number)

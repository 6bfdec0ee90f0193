"""Which VMs of a wave go next, and which workers are emptied for it.

Load: operators ask for the upkeep of many workers' VMs within some time, a few at
once, while the fleet is at work. Harm: an order ends everything on its VM, so taken
in any order a wave throws hours of work away, or takes more tasks of one service away
than its users bear. So VMs with nothing on them go first, then those whose work can be
saved; work that can't be saved is waited for as long as the deadline allows.
"""

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from primrosestile.decisions.work.board import Board
from primrosestile.decisions.work.preempting import find_cost
from primrosestile.decisions.work.units import Member, MemberState, Unit, Worker
from primrosestile.state.upkeep import VmState, Wave, WorkerVm

# One VM's upkeep takes 2 s; its worker is back in the list and in hand 1.5 s later.
ROUND_SECONDS = 3.5
# Kept of the deadline for a change of owner and an order that is not answered.
SPARE_SECONDS = 6.0
FULL_PERCENT = 100


@dataclass(frozen=True, slots=True)
class UpkeepPlan:
    """What to do for a wave now.

    Attributes:
        begin: VMs whose upkeep is to be ordered.
        empty: Workers that get no new work, since theirs is to be ordered soon.
        save: Units on those that are stopped, as they lose nothing by it.
    """

    begin: tuple[WorkerVm, ...] = ()
    empty: frozenset[str] = frozenset()
    save: tuple[Unit, ...] = ()


def plan_upkeep(
    board: Board,
    wave: Wave,
    vms: dict[str, WorkerVm],
    begun: Collection[str],
    away: int,
    seconds_left: float,
    now: float,
    leaving: Collection[str] = (),
) -> UpkeepPlan:
    """Decide on a wave.

    Args:
        board: What runs where.
        wave: The wave.
        vms: By name, as the platform lists them.
        begun: Those that were ordered already.
        away: How many of these are not back yet.
        seconds_left: Until the wave's deadline.
        now: On the loop's clock.
        leaving: Workers whose VMs are away for any wave, or may soon be.
    """
    waiting = [
        vms[name]
        for name in wave.vms
        if name not in begun and name in vms and vms[name].state is VmState.UP
    ]
    rounds = math.ceil(len(waiting) / wave.most)
    pressed = seconds_left - SPARE_SECONDS < rounds * ROUND_SECONDS
    chosen = _choose(board, waiting, wave.most - away, leaving, now)
    begin: list[WorkerVm] = []
    empty: list[Worker] = []
    for vm in chosen:
        worker = board.workers.get(vm.worker)
        if worker is None or pressed or not _is_worth_waiting(worker):
            begin.append(vm)
        else:
            empty.append(worker)
    return UpkeepPlan(
        begin=tuple(begin),
        empty=frozenset(worker.name for worker in empty),
        save=_list_saved(empty),
    )


def _choose(
    board: Board,
    waiting: list[WorkerVm],
    places: int,
    leaving: Collection[str],
    now: float,
) -> list[WorkerVm]:
    """Return the VMs that go next: where the least is lost, and services bear it."""
    chosen: list[WorkerVm] = []
    ranked = sorted(
        waiting, key=lambda vm: _find_loss(board.workers.get(vm.worker), now)
    )
    for vm in ranked:
        if len(chosen) >= places:
            break
        taken = {each.worker for each in chosen}
        if may_go(board, vm, taken.union(leaving)):
            chosen.append(vm)
    return chosen


def may_go(board: Board, vm: WorkerVm, taken: Collection[str]) -> bool:
    """Whether the services on a VM bear its upkeep beside that of others.

    What runs on a worker that is silent may be gone, and counts as away. Taken as there
    until its lease is over, a service would lose one more task than its users bear.

    Args:
        board: What runs where.
        vm: The VM.
        taken: Workers that are away, or go with it.
    """
    worker = board.workers.get(vm.worker)
    silent = {each.name for each in board.workers.values() if not each.in_hand}
    return worker is None or _bears(worker, silent.union(taken))


def _find_loss(worker: Worker | None, now: float) -> tuple[bool, float]:
    if worker is None:
        return (False, 0.0)
    units = {id(member.unit): member.unit for member in worker.members.values()}
    return (bool(units), sum(find_cost(unit, now) for unit in units.values()))


def _is_worth_waiting(worker: Worker) -> bool:
    """Whether something on a worker ends by itself; what lasts never does."""
    return any(not each.unit.step.lasting for each in worker.members.values())


def _is_saved(member: Member) -> bool:
    unit = member.unit
    return unit.step.checkpoints and not unit.step.lasting and not unit.abandoned


def _list_saved(workers: Iterable[Worker]) -> tuple[Unit, ...]:
    """Return the units that are stopped at once, as they go on elsewhere."""
    found = {
        id(member.unit): member.unit
        for worker in workers
        for member in worker.members.values()
        if _is_saved(member)
    }
    return tuple(found.values())


def _bears(worker: Worker, taken: Collection[str]) -> bool:
    """Whether its services bear being away; others of theirs may be just now."""
    for member in worker.members.values():
        step = member.unit.step
        if not step.lasting or not step.away_limit:
            continue
        job = member.unit.job
        others = list(job.list_step(member.unit.key.occurrence, member.unit.key.step))
        away = sum(
            not _serves(unit) or _is_on(unit, taken) or _is_on(unit, {worker.name})
            for unit in others
        )
        if away > step.away_limit:
            return False
    return True


def _serves(unit: Unit) -> bool:
    return bool(unit.members) and all(
        member.state is MemberState.UP and member.percent >= FULL_PERCENT
        for member in unit.members
    )


def _is_on(unit: Unit, workers: Collection[str]) -> bool:
    return any(member.worker in workers for member in unit.members)

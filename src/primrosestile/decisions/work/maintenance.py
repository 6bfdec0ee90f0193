"""Which VMs of a maintenance wave go next, and which workers are drained for it.

Load: operators order the maintenance of many workers' VMs by a deadline, a few at a
time, while the fleet is in use. Harm: an order ends everything on its VM, so in an
arbitrary order a wave wastes hours of work, or stops more tasks of one service at once
than its limit allows. So VMs with the least to lose go first: empty ones, then those
whose work can be saved; work that can't be saved is waited for as long as the deadline
allows.
"""

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.decisions.work.preemption import compute_cost
from primrosestile.decisions.work.units import Member, MemberState, Unit, Worker
from primrosestile.state.maintenance import VmState, Wave, WorkerVm
from primrosestile.state.workers import find_worker_id

# One VM's maintenance takes 2 s; its worker is listed and acquired again 1.5 s later.
ROUND_SECONDS = 3.5
# Slack before the deadline for a change of owner and an order that is not answered.
SPARE_SECONDS = 6.0
FULL_PERCENT = 100


@dataclass(frozen=True, slots=True)
class MaintenancePlan:
    """What to do for a wave now.

    Attributes:
        begin: VMs whose maintenance is to be ordered.
        drain: Workers to drain, since their VMs' maintenance is to be ordered soon.
        save: Units with checkpoints on those workers, to be stopped at once.
    """

    begin: tuple[WorkerVm, ...] = ()
    drain: frozenset[str] = frozenset()
    save: tuple[Unit, ...] = ()


def plan_maintenance(
    fleet_state: FleetState,
    wave: Wave,
    vms: dict[str, WorkerVm],
    begun: Collection[str],
    away: int,
    seconds_left: float,
    now: float,
    leaving: Collection[str] = (),
) -> MaintenancePlan:
    """Decide on a wave.

    Args:
        fleet_state: What runs where.
        wave: The wave.
        vms: By name, as the platform lists them.
        begun: Those whose maintenance was ordered already.
        away: How many of these are not back yet.
        seconds_left: Until the wave's deadline.
        now: On the loop's clock.
        leaving: Ids of workers whose VMs are in maintenance for any wave, or may be
            soon.
    """
    waiting = [
        vms[name]
        for name in wave.vms
        if name not in begun and name in vms and vms[name].state is VmState.UP
    ]
    rounds = math.ceil(len(waiting) / wave.most)
    pressed = seconds_left - SPARE_SECONDS < rounds * ROUND_SECONDS
    chosen = _choose(fleet_state, waiting, wave.most - away, leaving, now)
    begin: list[WorkerVm] = []
    drain: list[Worker] = []
    for vm in chosen:
        worker = _find_worker(fleet_state, vm)
        if worker is None or pressed or not _is_worth_waiting(worker):
            begin.append(vm)
        else:
            drain.append(worker)
    return MaintenancePlan(
        begin=tuple(begin),
        drain=frozenset(worker.name for worker in drain),
        save=_list_saved(drain),
    )


def _choose(
    fleet_state: FleetState,
    waiting: list[WorkerVm],
    places: int,
    leaving: Collection[str],
    now: float,
) -> list[WorkerVm]:
    """Return the next VMs: those with the least loss that services can spare."""
    chosen: list[WorkerVm] = []
    ranked = sorted(
        waiting, key=lambda vm: _find_loss(_find_worker(fleet_state, vm), now)
    )
    for vm in ranked:
        if len(chosen) >= places:
            break
        taken = {each.worker for each in chosen}
        if may_go(fleet_state, vm, taken.union(leaving)):
            chosen.append(vm)
    return chosen


def may_go(fleet_state: FleetState, vm: WorkerVm, taken: Collection[str]) -> bool:
    """Whether a VM's maintenance respects its services' limits on unavailable tasks.

    What runs on a silent worker may be gone, and counts as unavailable. If it counted
    as running until its lease is over, a service could exceed its limit by one task.

    Args:
        fleet_state: What runs where.
        vm: The VM.
        taken: Ids of workers that are away, or go with it.
    """
    worker = _find_worker(fleet_state, vm)
    silent = {
        each.entry.worker_id
        for each in fleet_state.workers.values()
        if not each.acquired
    }
    return worker is None or _respects_away_limits(worker, silent.union(taken))


def _find_worker(fleet_state: FleetState, vm: WorkerVm) -> Worker | None:
    """Return the incarnation on a VM that takes new work, else any that is known."""
    found = fleet_state.list_incarnations(vm.worker)
    return max(found, key=lambda worker: worker.listed, default=None)


def _find_loss(worker: Worker | None, now: float) -> tuple[bool, float]:
    if worker is None:
        return (False, 0.0)
    units = {id(member.unit): member.unit for member in worker.members.values()}
    return (bool(units), sum(compute_cost(unit, now) for unit in units.values()))


def _is_worth_waiting(worker: Worker) -> bool:
    """Whether something on a worker ends by itself; services never do."""
    return any(not each.unit.step.daemon for each in worker.members.values())


def _is_saved(member: Member) -> bool:
    unit = member.unit
    return unit.step.checkpoints and not unit.step.daemon and not unit.abandoned


def _list_saved(workers: Iterable[Worker]) -> tuple[Unit, ...]:
    """Return the units to stop at once, as they resume elsewhere."""
    found = {
        id(member.unit): member.unit
        for worker in workers
        for member in worker.members.values()
        if _is_saved(member)
    }
    return tuple(found.values())


def _respects_away_limits(worker: Worker, taken: Collection[str]) -> bool:
    """Whether its services stay within `max_unavailable` if the worker goes too."""
    for member in worker.members.values():
        step = member.unit.step
        if not step.daemon or not step.max_unavailable:
            continue
        job = member.unit.job
        others = list(job.list_step(member.unit.key.occurrence, member.unit.key.step))
        away = sum(
            not _serves(unit)
            or _is_on(unit, taken)
            or _is_on(unit, {worker.entry.worker_id})
            for unit in others
        )
        if away > step.max_unavailable:
            return False
    return True


def _serves(unit: Unit) -> bool:
    return bool(unit.members) and all(
        member.state is MemberState.UP and member.percent >= FULL_PERCENT
        for member in unit.members
    )


def _is_on(unit: Unit, workers: Collection[str]) -> bool:
    return any(find_worker_id(member.worker) in workers for member in unit.members)

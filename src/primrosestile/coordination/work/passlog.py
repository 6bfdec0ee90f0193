"""What the owner says in the log: of runs that end, and of the fleet in sum."""

from collections import Counter
from collections.abc import Collection, Mapping, Sequence

import structlog

from primrosestile.coordination.work.links import WorkerLink
from primrosestile.coordination.work.logfields import (
    list_names,
    name_member,
    name_unit,
)
from primrosestile.decisions.work.crashes import Crash
from primrosestile.decisions.work.planning import Stop
from primrosestile.decisions.work.rescuing import Rescue
from primrosestile.decisions.work.units import Member, Proof, Worker

_log = structlog.get_logger()


def log_workers_found(workers: Collection[Worker]) -> None:
    """Say which workers a new owner begins with, in one line for all of them."""
    _log.info(
        "workers_found",
        count=len(workers),
        pools=Counter(each.entry.pool for each in workers),
        leaving=list_names(each.name for each in workers if each.entry.leaving),
        unlisted=list_names(each.name for each in workers if not each.listed),
    )


def log_workers_answered(workers: Collection[Worker]) -> None:
    """Say how many workers have answered a new owner, and which have not."""
    silent = [each for each in workers if not each.in_hand]
    _log.info(
        "workers_answered",
        count=len(workers) - len(silent),
        silent_count=len(silent),
        silent=list_names(each.name for each in silent),
    )


def log_gone(
    gone: Sequence[tuple[Member, Proof]], links: Mapping[str, WorkerLink], fence: int
) -> None:
    """Say why runs are taken as gone, before anything is decided by it.

    A task that ran twice is traced back to the proof of its first run's end; an
    end that a worker listed has its own line.
    """
    for member, proof in gone:
        if proof is Proof.ENDED:
            continue
        link = links.get(member.worker)
        _log.info(
            "run_gone",
            **name_member(member),
            proof=proof.value,
            fence=fence,
            **(link.describe() if link else {}),
        )


def log_crashes(crashes: Sequence[Crash]) -> None:
    """Say which tasks were on workers that crashed, and which of them are given up."""
    for each in crashes:
        fields = {
            **name_member(each.member),
            "crashes": each.count.count,
            "alone": each.count.alone,
        }
        _log.info("worker_crashed_under_task", **fields)
        if each.given_up:
            _log.warning("task_given_up", **fields)


def log_stop(stop: Stop) -> None:
    """Say which run makes way for which job."""
    unit = stop.unit
    _log.info(
        "run_preempted",
        **name_unit(unit),
        size=unit.size,
        checkpoints=unit.step.checkpoints,
        gainer=stop.gainer.job.job_id,
        cost=round(stop.cost, 1),
        again=stop.again,
    )


def log_rescue(rescue: Rescue) -> None:
    """Say which run is stopped since a member of it stands still, and where."""
    unit = rescue.unit
    _log.info(
        "run_rescued",
        **name_unit(unit),
        size=unit.size,
        worker=rescue.worker.name,
        lost=round(rescue.lost, 2),
    )

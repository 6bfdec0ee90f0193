"""The owner's log lines on runs that end, and its summaries of the workers."""

from collections import Counter
from collections.abc import Collection, Mapping, Sequence

import structlog

from primrosestile.coordination.work.log_fields import (
    list_names,
    name_member,
    name_unit,
)
from primrosestile.coordination.work.worker_links import WorkerLink
from primrosestile.decisions.work.crashes import Crash
from primrosestile.decisions.work.headroom_state import WINDOW_SECONDS, PoolHeadroom
from primrosestile.decisions.work.organisation_shares import PoolUse
from primrosestile.decisions.work.plan import Stop
from primrosestile.decisions.work.proofs import Proof
from primrosestile.decisions.work.restarts import Restart
from primrosestile.decisions.work.speeds import SpeedChange
from primrosestile.decisions.work.units import Member, Worker

_log = structlog.get_logger()


def log_workers_found(workers: Collection[Worker]) -> None:
    """Log which workers a new owner begins with, in one line for all of them."""
    _log.info(
        "workers_found",
        count=len(workers),
        pools=Counter(each.entry.pool for each in workers),
        leaving=list_names(each.name for each in workers if each.entry.leaving),
        unlisted=list_names(each.name for each in workers if not each.listed),
    )


def log_workers_answered(workers: Collection[Worker]) -> None:
    """Log how many workers have answered a new owner, and which have not."""
    silent = [each for each in workers if not each.acquired]
    _log.info(
        "workers_answered",
        count=len(workers) - len(silent),
        silent_count=len(silent),
        silent=list_names(each.name for each in silent),
    )


def log_gone(
    gone: Sequence[tuple[Member, Proof]], links: Mapping[str, WorkerLink], fence: int
) -> None:
    """Log the proof by which runs count as gone, before any decision relies on it.

    By this line a task that ran twice is traced to the proof of its first run's end.
    An end that a worker listed has its own line.
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
            **(link.make_log_fields() if link else {}),
        )


def log_crashes(crashes: Sequence[Crash]) -> None:
    """Log which tasks were on crashed workers, and which of them are given up."""
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
    """Log which run is preempted for which job."""
    unit = stop.unit
    _log.info(
        "run_preempted",
        **name_unit(unit),
        size=unit.size,
        checkpoints=unit.step.checkpoints,
        gainer=stop.gainer.job.job_id,
        cost=round(stop.cost, 1),
        again=stop.again,
        stops=stop.stops,
        late=stop.effect.late,
        useless=stop.effect.useless,
    )


def log_speed_changes(changes: Sequence[SpeedChange]) -> None:
    """Log which workers joined the group of slow ones or left it."""
    for each in changes:
        _log.info(
            "worker_speed_changed",
            worker=each.worker,
            group="slow" if each.slow else "fast",
            factor=round(each.factor, 2),
            comparisons=each.comparisons,
        )


def log_headroom(
    before: Mapping[str, PoolHeadroom], after: Mapping[str, PoolHeadroom]
) -> None:
    """Log for each pool when more or less room is withheld for urgent work."""
    for pool in sorted({*before, *after}):
        amount = after[pool].amount if pool in after else 0
        if amount == (before[pool].amount if pool in before else 0):
            continue
        inputs = after.get(pool)
        _log.info(
            "headroom_changed",
            pool=pool,
            amount=amount,
            wanted=inputs.wanted if inputs else 0,
            demand=round(inputs.demand, 1) if inputs else 0.0,
            urgent_use=inputs.urgent_use if inputs else 0,
            arrivals=inputs.arrivals if inputs else 0,
            window=WINDOW_SECONDS,
        )


def log_restart(restart: Restart) -> None:
    """Log which run is stopped to restart elsewhere, and because of which worker."""
    unit = restart.unit
    _log.info(
        "run_restarted_elsewhere",
        **name_unit(unit),
        size=unit.size,
        worker=restart.worker.name,
        lost=round(restart.lost, 2),
    )


def log_over_shares(
    before: Collection[tuple[str, str]],
    over: Mapping[tuple[str, str], PoolUse],
) -> None:
    """Log which organisations are over their shares now, or no longer are."""
    for key in [*before, *over]:
        pool, organisation = key
        if key in before and key in over:
            continue
        fields = {}
        if key in over:
            use = over[key]
            fields = {"use": round(use.use, 4), "share": round(use.share, 2)}
            fields["weight"] = use.weight
        _log.info(
            "organisation_over_share",
            pool=pool,
            organisation=organisation,
            over=key in over,
            **fields,
        )

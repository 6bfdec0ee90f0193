"""What a pass says in the log of runs that it ends or takes as gone."""

from collections.abc import Mapping, Sequence

import structlog

from primrosestile.coordination.work.links import WorkerLink
from primrosestile.coordination.work.logfields import name_member, name_unit
from primrosestile.decisions.work.planning import Stop
from primrosestile.decisions.work.rescuing import Rescue
from primrosestile.decisions.work.units import Member, Proof

_log = structlog.get_logger()


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

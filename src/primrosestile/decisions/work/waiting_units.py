"""The units that could start if there were room.

A unit waits from the moment when no member of an earlier run can still be running and
all steps that it comes after are done.
"""

from collections.abc import Iterable, Iterator

from primrosestile.decisions.work.units import Job, Unit


def list_waiting(jobs: Iterable[Job], now: float) -> list[Unit]:
    """Return the waiting units, and record since when each has been one."""
    waiting: list[Unit] = []
    for job in jobs:
        if job.state.final:
            continue
        waiting += _list_startable(job, now)
    return waiting


def _list_startable(job: Job, now: float) -> Iterator[Unit]:
    done: dict[tuple[int, int], bool] = {}
    for unit in job.units.values():
        if not unit.idle:
            continue
        occurrence = unit.key.occurrence
        if _are_done(job, occurrence, unit.step.after, done):
            if unit.ready_at is None:
                unit.ready_at = now
            if unit.crashes and unit.isolating_since is None:
                unit.isolating_since = now
            yield unit


def _are_done(
    job: Job,
    occurrence: int,
    steps: tuple[int, ...],
    known: dict[tuple[int, int], bool],
) -> bool:
    for step in steps:
        if (occurrence, step) not in known:
            known[occurrence, step] = job.is_step_done(occurrence, step)
        if not known[occurrence, step]:
            return False
    return True

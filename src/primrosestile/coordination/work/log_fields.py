"""The log fields that identify a run, so that one search finds all of its lines."""

from collections.abc import Iterable
from itertools import islice
from typing import Any

from primrosestile.decisions.work.units import Member, Unit

# The most names in one line.
NAMES_LISTED = 20


def list_names(names: Iterable[str]) -> list[str]:
    """Return the first names, as many as one line may list."""
    return list(islice(names, NAMES_LISTED))


def name_member(member: Member) -> dict[str, Any]:
    """Return the fields that identify one task's run on its worker."""
    return {
        "job_id": member.unit.job.job_id,
        "task": member.task,
        "run": member.run,
        "worker": member.worker,
    }


def name_unit(unit: Unit) -> dict[str, Any]:
    """Return the fields that identify a unit's current run."""
    return {
        "job_id": unit.job.job_id,
        "step": unit.key.step,
        "position": unit.key.position,
        "run": unit.run,
    }

"""Reads the work of a deployment's demo from its files in `examples/`."""

import json
import random
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from primrosestile.state.settings import Settings
from primrosestile.state.tenancy import JobClass, Kind
from tools.launch import read_settings

SEED = 20


class WorkLine(msgspec.Struct, frozen=True):
    """Several work items of one class, sent at random times.

    Attributes:
        over_seconds: The span of time over which they are sent.
        declared_seconds: The run time of a gang job, which the stand-in follows.
    """

    team: str
    job_class: str = msgspec.field(name="class")
    count: int
    over_seconds: float
    declared_seconds: float | None = None


class WorkFile(msgspec.Struct, frozen=True):
    """All work of one deployment."""

    work: tuple[WorkLine, ...]


@dataclass(slots=True)
class WorkItem:
    """One request or job, and what its caller learns about it.

    Attributes:
        at: Seconds after the start when it is sent.
        outcome: One of `OUTCOMES` once it is known; empty before.
        sent_at: Loop time of its first attempt.
        ended_at: Loop time of its whole answer or final state.
        cut_by: Names of the VMs that cut its connection.
        reasons: Reason codes of a job's steps, from its record.
    """

    work_id: str
    team: str
    token: str
    job_class: JobClass
    at: float
    declared_seconds: float | None
    outcome: str = ""
    detail: str = ""
    job_id: str = ""
    sent_at: float = 0.0
    ended_at: float = 0.0
    attempts: int = 0
    cut_by: list[str] = field(default_factory=list)
    reasons: list[str] = field(default_factory=list)

    @property
    def is_job(self) -> bool:
        """Whether it is a gang job rather than a short request."""
        return self.job_class.kind is Kind.GANG

    @property
    def body(self) -> str:
        """The text that a short request sends and its answer contains."""
        return f"{self.job_class.name} of {self.work_id}"


ANSWERED = "answered"
REFUSED = "refused as not run"
UNKNOWN = "outcome unknown"
LOST = "lost"
OUTCOMES = (ANSWERED, REFUSED, UNKNOWN, LOST)


@dataclass(frozen=True, slots=True)
class DemoFiles:
    """The contents of one deployment's folder in `examples/`."""

    name: str
    settings: Settings
    tokens: dict[str, Any]
    work: WorkFile


def read_files(folder: Path) -> DemoFiles:
    """Read the folder of a deployment."""
    return DemoFiles(
        folder.name,
        read_settings(folder / "settings.json"),
        json.loads((folder / "tokens.json").read_text()),
        msgspec.json.decode((folder / "work.json").read_bytes(), type=WorkFile),
    )


def make_work_items(files: DemoFiles) -> list[WorkItem]:
    """Return all work items in the order in which they are sent."""
    rng = random.Random(SEED)
    work_items = []
    for number, line in enumerate(files.work.work):
        team = files.settings.find_team(line.team)
        job_class = team.find_class(line.job_class) if team else None
        if job_class is None:
            raise ValueError(f"{files.name}: no class {line.job_class} of {line.team}")
        work_items += [
            WorkItem(
                f"{files.name}-{number}-{each}",
                line.team,
                files.tokens["teams"][line.team],
                job_class,
                rng.uniform(0.0, line.over_seconds),
                line.declared_seconds,
            )
            for each in range(line.count)
        ]
    return sorted(work_items, key=lambda work_item: work_item.at)

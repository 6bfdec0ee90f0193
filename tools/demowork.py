"""The work of one deployment's demo, as its files in `examples/` list it."""

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
    """Some pieces of work of one class, sent at random moments.

    Attributes:
        over_seconds: From the first to the last of them.
        declared_seconds: The length of a gang job, which its stand-in keeps to.
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
class Piece:
    """One request or job, and what its caller learns about it.

    Attributes:
        at: Seconds after the start when it is sent.
        outcome: One of the words of `OUTCOMES` once it is known.
        sent_at: Loop time of its first sending.
        ended_at: Loop time of its whole answer or final state.
        cuts: Names of the VMs that cut its connection.
        reasons: Why each step of a job was taken, as its record says.
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
    cuts: list[str] = field(default_factory=list)
    reasons: list[str] = field(default_factory=list)

    @property
    def is_job(self) -> bool:
        """Whether it is a gang job and no short request."""
        return self.job_class.kind is Kind.GANG

    @property
    def body(self) -> str:
        """The text that a short request carries and gets back."""
        return f"{self.job_class.name} of {self.work_id}"


ANSWERED = "answered"
REFUSED = "refused as not run"
UNKNOWN = "outcome unknown"
LOST = "lost"
OUTCOMES = (ANSWERED, REFUSED, UNKNOWN, LOST)


@dataclass(frozen=True, slots=True)
class DemoFiles:
    """What one deployment's folder in `examples/` holds."""

    name: str
    settings: Settings
    tokens: dict[str, Any]
    work: WorkFile


def read_files(folder: Path) -> DemoFiles:
    """Return what a deployment's folder holds."""
    return DemoFiles(
        folder.name,
        read_settings(folder / "settings.json"),
        json.loads((folder / "tokens.json").read_text()),
        msgspec.json.decode((folder / "work.json").read_bytes(), type=WorkFile),
    )


def make_pieces(files: DemoFiles) -> list[Piece]:
    """Return all pieces of work in the order of their sending."""
    chance = random.Random(SEED)
    pieces = []
    for number, line in enumerate(files.work.work):
        team = files.settings.find_team(line.team)
        job_class = team.find_class(line.job_class) if team else None
        if job_class is None:
            raise ValueError(f"{files.name}: no class {line.job_class} of {line.team}")
        pieces += [
            Piece(
                f"{files.name}-{number}-{each}",
                line.team,
                files.tokens["teams"][line.team],
                job_class,
                chance.uniform(0.0, line.over_seconds),
                line.declared_seconds,
            )
            for each in range(line.count)
        ]
    return sorted(pieces, key=lambda piece: piece.at)

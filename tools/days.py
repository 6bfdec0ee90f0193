"""Plays the fault scenarios ("days") of `deploy/days/` and prints which rules broke.

Each day has one kind of fault with its variants, or two that share a mechanism; its
first line says what it tests. The users' player is given on the command line. A day
that doesn't fit a deployment is reported as left out.
"""

import re
import subprocess
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import typer

ROOT = Path(__file__).resolve().parent.parent
DAYS = ROOT / "deploy" / "days"
# A play that takes longer counts as stuck; a day of 50 s plays in 10 to 150 s,
# depending on the size of the deployment.
PLAY_TIMEOUT_SECONDS = 600.0
# Number of days played in parallel; each takes a core.
LANES = 2


@dataclass(frozen=True)
class Outcome:
    """The result of playing one day.

    Attributes:
        broken: The player's line about broken rules; empty when none broke.
        worth: The day's worth, or NaN when it was not played.
        left_out: Why it doesn't fit the deployment; empty when it was played.
    """

    site: str
    day: str
    seed: int
    broken: str = ""
    worth: float = float("nan")
    left_out: str = ""

    def describe(self) -> str:
        """Return the result as one line of text."""
        verdict = self.broken or self.left_out or "nothing broken"
        return f"{self.site} {self.day} seed {self.seed}: {verdict}, {self.worth:.3f}"


def read_purpose(day: Path) -> str:
    """Return the first line of a day, which says what it tests."""
    return day.read_text().splitlines()[0].removeprefix("#").strip()


def play_day(player: Path, site: Path, day: Path, seed: int) -> Outcome:
    """Play one day and parse the player's output."""
    command = [
        *(str(player), "run", str(site), str(day.relative_to(ROOT))),
        *("--vary", "--seed", str(seed), "--jobs", "1", "--why", read_purpose(day)),
    ]
    done = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=PLAY_TIMEOUT_SECONDS
    )
    outcome = read_output(done.stdout + done.stderr)
    return Outcome(site.stem, day.stem, seed, *outcome)


def read_output(output: str) -> tuple[str, float, str]:
    """Return the line about broken rules, the day's worth, and why it was left out."""
    worth = re.search(r"^worth ([-0-9.]+) =", output, re.MULTILINE)
    if worth is None:
        lines = output.strip().splitlines() or ["the player printed nothing"]
        return "", float("nan"), f"left out ({lines[-1]})"
    broken = re.search(r"^rules broken: .*$", output, re.MULTILINE)
    return broken.group() if broken else "", float(worth.group(1)), ""


def play_all(
    player: Annotated[Path, typer.Argument(help="The users' player of days.")],
    sites: Annotated[list[Path], typer.Argument(help="Files of deployments.")],
    seed: Annotated[int, typer.Option(help="Seed of random times and figures.")] = 1,
    day: Annotated[list[str] | None, typer.Option(help="Only these days.")] = None,
) -> None:
    """Play every day on every deployment; exit 1 if anything broke."""
    days = [each for each in sorted(DAYS.glob("*.toml")) if not day or each.stem in day]
    with ThreadPoolExecutor(max_workers=LANES) as lanes:
        plays = [
            lanes.submit(play_day, player, site, each, seed)
            for site in sites
            for each in days
        ]
        outcomes = []
        for play in plays:
            outcomes.append(play.result())
            print(outcomes[-1].describe(), flush=True)
    broken = [each for each in outcomes if each.broken]
    played = sum(not each.left_out for each in outcomes)
    print(f"{played} played, {len(broken)} broken, {len(outcomes) - played} left out")
    raise typer.Exit(1 if broken else 0)


if __name__ == "__main__":
    typer.run(play_all)

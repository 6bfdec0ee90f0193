"""Plays the days of trouble in `deploy/days/` and prints which promises broke.

Each day brings one kind of trouble with its variants, or a pair that shares a
mechanism; its first line says why it is there. The users' player is given on the
command line. A day that doesn't fit a deployment is said to be left out.
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
# A player that has said nothing for this long is taken as stuck; a day of 50 s plays
# in 10 to 150 s, by the size of the deployment.
PLAY_SECONDS = 600.0
# Days that are played side by side; each takes a core.
LANES = 2


@dataclass(frozen=True)
class Outcome:
    """What a play of one day came to.

    Attributes:
        broken: The player's own line about broken promises; empty when none broke.
        worth: The day's figure, or NaN when it was not played.
        left_out: Why it doesn't fit the deployment; empty when it was played.
    """

    site: str
    day: str
    seed: int
    broken: str = ""
    worth: float = float("nan")
    left_out: str = ""

    def describe(self) -> str:
        """Return one line for people."""
        verdict = self.broken or self.left_out or "nothing broken"
        return f"{self.site} {self.day} seed {self.seed}: {verdict}, {self.worth:.3f}"


def read_purpose(day: Path) -> str:
    """Return the first line of a day, which says why it is there."""
    return day.read_text().splitlines()[0].removeprefix("#").strip()


def play_day(player: Path, site: Path, day: Path, seed: int) -> Outcome:
    """Play one day and read what the player says of it."""
    command = [
        *(str(player), "run", str(site), str(day.relative_to(ROOT))),
        *("--vary", "--seed", str(seed), "--jobs", "1", "--why", read_purpose(day)),
    ]
    done = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=PLAY_SECONDS
    )
    outcome = read_output(done.stdout + done.stderr)
    return Outcome(site.stem, day.stem, seed, *outcome)


def read_output(output: str) -> tuple[str, float, str]:
    """Return what broke, the day's figure, and why it was left out."""
    worth = re.search(r"^worth ([-0-9.]+) =", output, re.MULTILINE)
    if worth is None:
        said = output.strip().splitlines() or ["the player printed nothing"]
        return "", float("nan"), f"left out ({said[-1]})"
    broken = re.search(r"^rules broken: .*$", output, re.MULTILINE)
    return broken.group() if broken else "", float(worth.group(1)), ""


def play_all(
    player: Annotated[Path, typer.Argument(help="The users' player of days.")],
    sites: Annotated[list[Path], typer.Argument(help="Files of deployments.")],
    seed: Annotated[int, typer.Option(help="Drawn times and figures.")] = 1,
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

"""Run the formatter, linter, types, layers and every feature, and count them.

A scenario named in KNOWN-RED.txt is passed over and printed, so that one known
fault does not hide a new one. Everything else that fails makes the run fail.
"""

import argparse
import json
import os
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
FEATURES = ROOT / "features"
# Feature folders that start processes, the longest first. Their files run in lanes
# of their own, beside the other folders: with more of them at once, there are more
# processes than their bounds allow for.
PROCESS_FOLDERS = ("failures", "path", "soak")
PROCESS_LANES = 2
# Run after everything else, by itself: it replaces every VM under load and asks
# that no request is refused. What a VM needs to serve again after its start takes
# longer in the lanes, beside others.
ALONE = FEATURES / "failures" / "operations.feature"
# Begun first, so that the whole run is not much longer than the longest of them.
LONG_FOLDERS = ("work", "fuzzing", "requests", "model", "placement")
# Their files run in lanes of their own: as one, each would take longer than the rest.
SPLIT_FOLDERS = ("work", "fuzzing")
# A small file that takes longest: begun late, the whole run would wait for it alone.
LONGEST = FEATURES / "work" / "bound.feature"
# Other folders side by side.
LANES = 4
STATIC_CHECKS = (
    ("formatter", ("ruff", "format", "--check", ".")),
    ("linter", ("ruff", "check", ".")),
    ("types", ("mypy",)),
    ("layers", ("lint-imports", "--no-cache")),
)


@dataclass(frozen=True)
class Result:
    """What one check, or one scenario, came to."""

    name: str
    passed: bool
    detail: str = ""


def run_static(check: tuple[str, tuple[str, ...]]) -> list[Result]:
    name, command = check
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    detail = "" if done.returncode == 0 else done.stdout + done.stderr
    return [Result(name, done.returncode == 0, detail)]


def run_features(folder: str, path: Path) -> list[Result]:
    """Run one folder of features, or one file of it."""
    began = time.monotonic()
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = (
            *("behave", "--no-color", "--format", "json", "--outfile", report.name),
            *("--format", "plain", str(path.relative_to(ROOT))),
        )
        done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
        results = read_report(folder, Path(report.name))
    print(
        f"{path.relative_to(FEATURES)}: {time.monotonic() - began:.0f} s",
        file=sys.stderr,
    )
    if done.returncode and all(result.passed for result in results):
        results.append(Result(f"{folder}: behave", False, done.stdout + done.stderr))
    failed = any(not result.passed for result in results)
    if failed and not results[-1].detail:
        results[-1] = Result(
            results[-1].name, results[-1].passed, done.stdout + done.stderr
        )
    return results


def read_report(folder: str, report: Path) -> list[Result]:
    text = report.read_text()
    if not text.strip():
        return []
    results = []
    for feature in json.loads(text):
        for element in feature.get("elements", ()):
            if element.get("type") == "background":
                continue
            name = f"{folder}: {element['name']}"
            results.append(Result(name, element.get("status") == "passed"))
    return results


def read_known_red() -> list[str]:
    path = ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return []
    return [line for line in path.read_text().splitlines() if line.strip()]


def list_folders(only: list[str]) -> list[str]:
    folders = sorted(
        path.name
        for path in FEATURES.iterdir()
        if path.is_dir() and any(path.glob("*.feature"))
    )
    return [name for name in folders if not only or name in only]


def run_all(only: list[str]) -> list[Result]:
    folders = list_folders(only)
    results: list[Result] = []
    with (
        ThreadPoolExecutor(max_workers=PROCESS_LANES) as process_lanes,
        ThreadPoolExecutor(max_workers=LANES) as lanes,
    ):
        jobs = [
            process_lanes.submit(run_features, name, path)
            for name in PROCESS_FOLDERS
            if name in folders
            for path in sorted((FEATURES / name).glob("*.feature"))
            if path != ALONE
        ]
        parts = [
            (name, path)
            for name in sorted(folders, key=rank_folder)
            if name not in PROCESS_FOLDERS
            for path in list_parts(name)
        ]
        parts.sort(key=lambda part: part[1] != LONGEST)
        jobs += [lanes.submit(run_features, name, path) for name, path in parts]
        if not only:
            jobs += [lanes.submit(run_static, check) for check in STATIC_CHECKS]
        for job in jobs:
            results += job.result()
    if ALONE.parent.name in folders:
        results += run_features(ALONE.parent.name, ALONE)
    return results


def list_parts(folder: str) -> list[Path]:
    """Return what of a folder is run at once, the largest file first."""
    if folder not in SPLIT_FOLDERS:
        return [FEATURES / folder]
    files = (FEATURES / folder).glob("*.feature")
    return sorted(files, key=lambda path: path.stat().st_size, reverse=True)


def rank_folder(name: str) -> tuple[bool, str]:
    """Return what folders are ordered by: the longest ones begin first."""
    return name not in LONG_FOLDERS, name


def report_results(results: list[Result]) -> int:
    known = read_known_red()
    failed = 0
    for result in results:
        if result.passed:
            continue
        scenario = result.name.split(": ", 1)[-1]
        red = next((line for line in known if line.startswith(scenario)), None)
        if red:
            print(f"known red, passed over: {red}")
            continue
        failed += 1
        print(f"FAILED {result.name}")
    for result in results:
        if result.detail:
            print(f"---- {result.name}\n{result.detail}")
    passed = sum(result.passed for result in results)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


def main() -> int:
    parser = argparse.ArgumentParser(prog="scripts/check")
    parser.add_argument("--only", action="append", default=[], metavar="FOLDER")
    parser.add_argument("--explore", type=float, metavar="SECONDS")
    options = parser.parse_args()
    if options.explore:
        os.environ["PRIMROSESTILE_EXPLORE_SECONDS"] = str(options.explore)
        options.only = options.only or ["fuzzing"]
    return report_results(run_all(options.only))


if __name__ == "__main__":
    sys.exit(main())

"""Runs the formatter, linter, type checker, layer check and every feature.

A failing scenario that KNOWN-RED.txt names is printed and not counted as failed, so
that a known fault does not hide a new one. Any other failure fails the run.
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
# Feature folders that start processes, the slowest first. Their files run in separate
# lanes beside the other folders: more of them at once would start more processes than
# the time bounds in their tests allow for.
PROCESS_FOLDERS = ("failures", "path", "soak")
PROCESS_LANES = 2
# Runs alone after everything else: it replaces every VM under load and requires that
# no request is refused, and a VM takes longer to start serving when other features
# run beside it.
LAST_FEATURE = FEATURES / "failures" / "operations.feature"
# Started first, so that the whole run takes little longer than the slowest of them.
LONG_FOLDERS = ("work", "fuzzing", "requests", "model", "placement")
# Their files run separately: run whole, each folder would take longer than the rest.
PER_FILE_FOLDERS = ("work", "fuzzing")
# A small file that takes longest; started late, it would prolong the whole run.
LONGEST_FEATURE = FEATURES / "work" / "bound.feature"
# Number of other folders that run in parallel.
LANES = 4
STATIC_CHECKS = (
    ("formatter", ("ruff", "format", "--check", ".")),
    ("linter", ("ruff", "check", ".")),
    ("types", ("mypy",)),
    ("layers", ("lint-imports", "--no-cache")),
)


@dataclass(frozen=True)
class Result:
    """The result of one check or one scenario."""

    name: str
    passed: bool
    detail: str = ""


def run_static(check: tuple[str, tuple[str, ...]]) -> list[Result]:
    name, command = check
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    detail = "" if done.returncode == 0 else done.stdout + done.stderr
    return [Result(name, done.returncode == 0, detail)]


def run_features(folder: str, path: Path) -> list[Result]:
    """Run a folder of features or one file of it."""
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
        detail = f"exit status {done.returncode}\n{done.stdout}{done.stderr}"
        results.append(Result(f"{folder}: behave", False, detail))
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
            if path != LAST_FEATURE
        ]
        parts = [
            (name, path)
            for name in sorted(folders, key=rank_folder)
            if name not in PROCESS_FOLDERS
            for path in list_parts(name)
        ]
        parts.sort(key=lambda part: part[1] != LONGEST_FEATURE)
        jobs += [lanes.submit(run_features, name, path) for name, path in parts]
        if not only:
            jobs += [lanes.submit(run_static, check) for check in STATIC_CHECKS]
        for job in jobs:
            results += job.result()
    if LAST_FEATURE.parent.name in folders:
        results += run_features(LAST_FEATURE.parent.name, LAST_FEATURE)
    return results


def list_parts(folder: str) -> list[Path]:
    """Return the paths of a folder that run separately, the largest file first."""
    if folder not in PER_FILE_FOLDERS:
        return [FEATURES / folder]
    files = (FEATURES / folder).glob("*.feature")
    return sorted(files, key=lambda path: path.stat().st_size, reverse=True)


def rank_folder(name: str) -> tuple[bool, str]:
    """Return the sort key of a folder; the slowest folders start first."""
    return name not in LONG_FOLDERS, name


def report_results(results: list[Result]) -> int:
    known = read_known_red()
    failed = 0
    for result in results:
        if result.passed:
            continue
        scenario = result.name.split(": ", 1)[-1]
        known_red = next((line for line in known if line.startswith(scenario)), None)
        if known_red:
            print(f"known red, passed over: {known_red}")
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

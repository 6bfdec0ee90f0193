"""Runs the decision benchmarks, placement and requests, and prints their aims."""

import importlib
import importlib.util
import json
from pathlib import Path
from typing import Any

NAMES = ("placement", "requests")


def run(output: Path) -> None:
    table: list[tuple[str, str, Any]] = []
    for name in NAMES:
        module_name = f"tools.bench.{name}"
        if importlib.util.find_spec(module_name) is None:
            print(f"{name}: there is no such benchmark in this tree; not run")
            continue
        importlib.import_module(module_name).run(output)
        table += read_aims(name, output / f"{name}.json")
    for name, aim, values in table:
        print(f"{name:10} {aim:44} {values}")


def read_aims(name: str, path: Path) -> list[tuple[str, str, Any]]:
    """Read the `aims` section that each benchmark writes."""
    if not path.exists():
        return []
    aims = json.loads(path.read_text()).get("aims", {})
    if not isinstance(aims, dict):
        return []
    return [(name, aim, format_aim(values)) for aim, values in aims.items()]


def format_aim(values: Any) -> str:
    if not isinstance(values, dict) or "met" not in values:
        return str(values)
    verdict = "met" if values["met"] else "missed"
    figures = ", ".join(f"{key} {each}" for key, each in values.items() if key != "met")
    return f"{verdict} ({figures})"

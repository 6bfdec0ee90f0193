"""Runs one benchmark by name: `scripts/bench decisions --output run/decisions`."""

import argparse
import importlib
import os
import sys
from pathlib import Path

NAMES = (
    "placement",
    "requests",
    "decisions",
    "path",
    "recovery",
    "slopes",
    "site",
    "takeover",
    "ablation",
    "passes",
)


def main() -> int:
    parser = argparse.ArgumentParser(prog="scripts/bench")
    parser.add_argument("name", choices=NAMES)
    parser.add_argument("--output", type=Path, default=None)
    options = parser.parse_args()
    output = options.output or Path("run/bench") / options.name
    # Benches choose their own number of processes; BLAS must not add threads.
    os.environ.setdefault("OPENBLAS_NUM_THREADS", "1")
    output.mkdir(parents=True, exist_ok=True)
    module = importlib.import_module(f"tools.bench.{options.name}")
    module.run(output)
    return 0


if __name__ == "__main__":
    sys.exit(main())

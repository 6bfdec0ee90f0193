"""Starts one process of the system from a source checkout."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from primrosestile.programs.node import main

main()

#!/bin/sh
# Builds every stand-in that the scripts of the second review start: it is Python, so
# this checks that each file compiles and that its libraries are there. The build of the
# deploy file, which fills target/deps, comes first.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 - <<'END'
import pathlib

import aiohttp

files = [*pathlib.Path("review/platform2").glob("*.py")]
files += pathlib.Path("review/more/advice").glob("*.py")
files += [path for n in range(4, 9) for path in pathlib.Path(f"review/{n}").glob("*.py")]
for path in files:
    compile(path.read_text(), str(path), "exec")
print(f"{len(files)} files compile; aiohttp {aiohttp.__version__}")
END

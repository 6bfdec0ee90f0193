#!/bin/sh
# The stand-ins are Python and need only what the deploy file's build installs.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps exec python3 -B -c 'import sys
sys.path.insert(0, "review")
import standin'

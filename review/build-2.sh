#!/usr/bin/env bash
# Check that the stand-ins of the cases 4 to 8 load. They are Python source:
# after the build of the deploy file there is nothing to build for them.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:src PYTHONDONTWRITEBYTECODE=1 python3 -c '
import sys
sys.path.insert(0, "review")
import stand_ins
'

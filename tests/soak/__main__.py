"""Run the soak test: soak [--first=SEED] [--length=SECONDS] COUNT.

Usage:
  soak [--first=SEED] [--length=SECONDS] COUNT

Options:
  --first=SEED      The first seed; random by default.
  --length=SECONDS  How long one run injects faults [default: 10].
"""

from __future__ import annotations

import asyncio
import random
import sys
import tempfile
from pathlib import Path

from docopt import docopt

from soak.run import run_seed


def main() -> int:
    """Run the seeds in turn; return 1 if any run violates a guarantee."""
    options = docopt(__doc__)
    first = options["--first"] or random.randrange(1_000_000_000)
    exit_code = 0
    for seed in range(int(first), int(first) + int(options["COUNT"])):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        result = asyncio.run(
            run_seed(seed, float(options["--length"]), folder)
        )
        kind = "planned" if result.plan.is_planned_only else "any"
        print(
            f"seed {seed} ({kind}): {len(result.plan.faults)} faults, "
            f"{result.served} of {result.requests} served, "
            f"{len(result.violations)} promises broken",
            flush=True,
        )
        for line in result.violations:
            print(f"  {line}  (logs in {folder})", flush=True)
            exit_code = 1
    return exit_code


if __name__ == "__main__":
    sys.exit(main())

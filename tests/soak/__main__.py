"""Run the soak test: soak [--first=SEED] [--length=SECONDS] COUNT.

Usage:
  soak [options] COUNT
  soak restarts [options] DAEMONS

Restarts starts and terminates that many daemons in series, with signals at
any moment, and reports what they take.

Options:
  --first=SEED      The first seed; random by default.
  --length=SECONDS  How long one run injects faults [default: 10].
  --hosts=NUMBER    How many hosts a run of a seed has [default: 4].
  --other=TREE      A source tree, perhaps of an earlier version, that every
                    second host runs.
"""

from __future__ import annotations

import asyncio
import random
import sys
import tempfile
from pathlib import Path

from docopt import docopt

from soak.restarts import Restarts
from soak.run import Fleet, run_seed


def main() -> int:
    """Run the seeds in turn; return 1 if any run violates a guarantee."""
    options = docopt(__doc__)
    first = int(options["--first"] or random.randrange(1_000_000_000))
    length_s = float(options["--length"])
    if options["restarts"]:
        return _run_restarts(first, int(options["DAEMONS"]), length_s)
    other = options["--other"]
    fleet = Fleet(
        hosts=int(options["--hosts"]),
        other_tree=Path(other).resolve() if other else None,
    )
    return _run_seeds(first, int(options["COUNT"]), length_s, fleet)


def _run_restarts(seed: int, daemons: int, length_s: float) -> int:
    folder = Path(tempfile.mkdtemp(prefix=f"soak-restarts-{seed}-"))
    result = asyncio.run(Restarts(seed, daemons, folder).run(length_s))
    print(
        f"seed {seed}: {len(result.starts_s)} starts, at most "
        f"{max(result.starts_s, default=0):.1f} s, {len(result.ends_s)} ends, "
        f"at most {max(result.ends_s, default=0):.1f} s, "
        f"{result.beyond_grace} beyond the grace period, "
        f"{result.without_line} before their first line, "
        f"{len(result.violations)} that did not start or end as they should"
    )
    for line in result.violations:
        print(f"  {line}  (logs in {folder})")
    return int(bool(result.violations))


def _run_seeds(first: int, count: int, length_s: float, fleet: Fleet) -> int:
    exit_code = 0
    for seed in range(first, first + count):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        result = asyncio.run(run_seed(seed, length_s, folder, fleet))
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
